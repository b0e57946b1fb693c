Feature: Clients that read slowly
  A client may take a response more slowly than its server sends it, or not at all.

  Scenario: Large responses for clients that don't read hold a bounded part of the memory
    # Guards against a process that is killed because it keeps whole responses in the
    # buffers of connections, where no budget counts them.
    Given a store, 2 servers and the node "n1" with 150 MB of memory
    When 12 clients send "GET" "/lookup/a" to "n1" with the script "large:9000000" and don't read
    Then the memory of "n1" has grown by less than 40 MB after 3 s
    When a client gets "/lookup/a" from "n1"
    Then the client gets 200 with the response and the stamp of a server

  Scenario: A client that reads slowly gets a large response whole after its deadline
    # Guards against a ready response that is broken off because its client reads slowly.
    Given a store, 2 servers and the node "n1" with 150 MB of memory
    When a client of "n1" asks for 9000000 bytes within 1 s on a new connection
    And the client begins to read 3 s after that
    Then the client has the whole response

  Scenario: A client that goes away returns the memory of its response
    # Guards against a share of the read budget that is never returned.
    Given a store, 2 servers and the node "n1" with 150 MB of memory
    When 4 clients of "n1" in turn ask for 9000000 bytes and go away
    And a client of "n1" asks for 9000000 bytes on a new connection
    And the client begins to read 0 s after that
    Then the client has the whole response
