Feature: Servers that send bytes without end
  A server in trouble sends bytes that are no response until the node closes the
  connection: in the status line, in headers, in interim responses, in the framing of a
  body, or as the body itself. Such an attempt fails within its time and a stated number
  of bytes.

  Background:
    Given a store, 3 servers and the node "n1"

  Scenario: A request that may be repeated is sent to another server
    # Guards against an attempt that takes all the time of a request, and against junk
    # that is given to a client as its response.
    When a client gets "/lookup/a" from "n1" while the first server sends without end
      | place             | code              | limit                          |
      | status_line       | upstream_protocol | headers exceed 65536 bytes     |
      | header_line       | upstream_protocol | headers exceed 65536 bytes     |
      | headers           | upstream_protocol | headers exceed 65536 bytes     |
      | interim_responses | upstream_protocol | headers exceed 65536 bytes     |
      | no_response       | upstream_protocol | headers exceed 65536 bytes     |
      | chunk_size        | upstream_protocol | Receive buffer too long        |
      | chunk_extension   | upstream_protocol | Receive buffer too long        |
      | chunk_extensions  | upstream_protocol | chunk framing of               |
      | trailer           | upstream_protocol | Receive buffer too long        |
      | body              | upstream_protocol | response exceeds 4000000 bytes |
      | sized_body        | upstream_protocol | response exceeds 4000000 bytes |
      | chunked_body      | upstream_protocol | response exceeds 4000000 bytes |
    Then each client gets 200 with the response and the stamp of the second server
    And the log of "n1" shows for each request the code and the limit
    And the servers saw that each endless response was closed

  Scenario: A request that must not run twice gets an honest error
    # Guards against a second run after junk, and against an error that claims that the
    # request has not run.
    When a client posts "/orders/a" to "n1" while the first server sends without end
      | place             | code              | limit                          |
      | status_line       | upstream_protocol | headers exceed 65536 bytes     |
      | interim_responses | upstream_protocol | headers exceed 65536 bytes     |
      | chunk_extensions  | upstream_protocol | chunk framing of               |
      | body              | upstream_protocol | response exceeds 4000000 bytes |
    Then each client gets 502 within 1.5 seconds
    And each request was sent once
    And the log of "n1" shows for each request the code and the limit

  Scenario: A stream goes on at another server
    # Guards against a stream that waits until its deadline for the end of one event,
    # and against junk events among the numbered ones.
    When a client posts "/long/a" to "n1" while the first server sends without end
      | place             | code              | limit                |
      | event             | upstream_protocol | exceeds 262144 bytes |
      | unnumbered_events | upstream_protocol | without an id        |
    Then each client gets the events 1 to 6 once each
    And the log of "n1" shows for each request the code and the limit

  Scenario: Responses without end at the same time don't exhaust the memory
    # Guards against a process that is killed because it holds one large response for
    # each of several servers.
    When clients using the script "endless:body" get "/doom/a" 12 times at once from "n1"
    Then each client gets 502 within 10 seconds
    And the memory of "n1" has grown by less than 40 MB
    When a client gets "/lookup/a" from "n1"
    Then the client gets 200 with the response and the stamp of a server

  Scenario: A kept connection on which bytes come without end is closed
    # Guards against limits that hold only for the first response of a connection.
    Given "n1" keeps connections to all servers
    When a client gets "/lookup/a" from "n1" while the first server sends without end
      | place       | code              | limit                          |
      | headers     | upstream_protocol | headers exceed 65536 bytes     |
      | no_response | upstream_protocol | headers exceed 65536 bytes     |
      | body        | upstream_protocol | response exceeds 4000000 bytes |
    Then each client gets 200 with the response and the stamp of the second server
    And the log of "n1" shows for each request the code and the limit
    And most of these requests were sent on a kept connection

  Scenario Outline: Clients that don't read hold little of a node's memory
    # Guards against a process that keeps what its servers send faster than its clients
    # read, until its memory is used up.
    When 12 clients send "<method>" "<target>" to "n1" with the script "<script>" and don't read
    Then the memory of "n1" has grown by less than 40 MB after 3 s
    When a client gets "/lookup/a" from "n1"
    Then the client gets 200 with the response and the stamp of a server

    Examples:
      | method | target    | script                  |
      | POST   | /long/a   | endless:numbered_events |
      | GET    | /lookup/a | large:3900000           |
