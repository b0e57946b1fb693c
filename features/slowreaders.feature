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
