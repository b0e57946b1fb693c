Feature: Responses that end with their connection
  A response, a stream too, may have neither a length nor chunks. It is complete when the
  server closes the connection regularly and broken when the connection is reset; a
  stream that ends inside an event is broken in any case.

  Background:
    Given a store, 3 servers and the node "n1"

  Scenario: A response that ends regularly is forwarded with framing of our own
    # Guards against a whole response that is refused, that leaves the node without a
    # length, or that is repeated although it was complete.
    When clients get "/lookup/a" from "n1" with these responses
      | response                            |
      | close_delimited:regular             |
      | close_delimited:close_header        |
      | close_delimited:http_1_0            |
      | close_delimited:http_1_0_keep_alive |
    Then each client gets 200, a length and the whole response
    And each request was sent 1 time

  Scenario: Bytes of a response are never taken for another response
    # Guards against a client that gets bytes of the response to another client's request.
    When clients get "/lookup/a" from "n1" with these responses
      | response                        |
      | close_delimited:response_inside |
      | ok                              |
      | close_delimited:response_inside |
      | ok                              |
      | ok                              |
      | ok                              |
    Then each client gets only the response to its own request
    And each request was sent 1 time

  Scenario: An empty response that ends regularly is complete
    # Guards against a retry of a request whose response is empty.
    When clients get "/lookup/a" from "n1" with these responses
      | response              |
      | close_delimited:empty |
    Then each client gets 200, a length and an empty response
    And each request was sent 1 time

  Scenario: A broken response of a request that may be repeated is repeated
    # Guards against a part of a response that looks complete to the client.
    When clients get "/lookup/a" from "n1" with these responses
      | response                          |
      | close_delimited:body_reset,ok     |
      | close_delimited:http_1_0_reset,ok |
      | close_delimited:empty_reset,ok    |
      | close_delimited:short,ok          |
      | close_delimited:short_reset,ok    |
      | close_delimited:body_stall,ok     |
    Then each client gets 200, a length and the whole response
    And each request was sent 2 times

  Scenario: A broken response of a request that must not run twice is an error
    # Guards against a part of a response that looks complete to the client, and against
    # a second run.
    When clients post "/orders/a" to "n1" with these responses
      | response                          |
      | close_delimited:body_reset,ok     |
      | close_delimited:http_1_0_reset,ok |
      | close_delimited:empty_reset,ok    |
      | close_delimited:short,ok          |
      | close_delimited:short_reset,ok    |
    Then each client gets the error 502
    And each request was sent 1 time

  Scenario: A stream that ends regularly after an event is complete
    # Guards against a whole stream that is taken for a broken one.
    When clients post "/long/a" to "n1" with these responses
      | response                                       |
      | close_delimited:whole_events:6                 |
      | stream:6                                       |
    Then each client gets the events 1 to 6 once each, and nothing else
    And each request was sent 1 time

  Scenario: A broken stream goes on at another server
    # Guards against a stream that is taken for complete after a reset or inside an
    # event, and against parts of events.
    When clients post "/long/a" to "n1" with these responses
      | response                                                                    |
      | close_delimited:whole_events_reset:3,stream:6                               |
      | close_delimited:whole_events_at_once_reset:3,stream:6                       |
      | close_delimited:whole_events_reset:3,close_delimited:whole_events:6         |
      | close_delimited:part_of_field:3,stream:6                                    |
      | close_delimited:line_without_end:3,stream:6                                 |
      | close_delimited:one_line_feed:3,stream:6                                    |
      | close_delimited:one_line_end:3,stream:6                                     |
      | close_delimited:part_of_line_end:3,stream:6                                 |
      | close_delimited:part_of_blank_line:3,stream:6                               |
      | close_delimited:part_of_field_reset:3,stream:6                              |
      | close_delimited:one_line_feed_reset:3,stream:6                              |
    Then each client gets the events 1 to 6 once each, and nothing else
    And each request was sent 2 times
    And each second server was asked to resume after event 3

  Scenario: A broken stream that may not be resumed is visibly incomplete
    # Guards against an incomplete stream that looks complete to the client.
    When clients post "/short/a" to "n1" with these responses
      | response                                                                    |
      | close_delimited:whole_events_reset:3,stream:6                               |
      | close_delimited:whole_events_at_once_reset:3,stream:6                       |
      | close_delimited:part_of_field:3,stream:6                                    |
      | close_delimited:one_line_feed:3,stream:6                                    |
      | close_delimited:part_of_blank_line:3,stream:6                               |
    Then each client gets an incomplete stream
    And each request was sent 1 time

  Scenario: A stream that broke after its last event is complete at another server
    # Guards against an error for a client that has all events, because the server that
    # resumes has none left to send.
    When clients post "/long/a" to "n1" with these responses
      | response                                                                    |
      | close_delimited:whole_events_reset:6,stream:6                               |
      | close_delimited:whole_events_reset:6,close_delimited:whole_events:6         |
    Then each client gets the events 1 to 6 once each, and nothing else
    And each request was sent 2 times

  Scenario: A stream without an event is no answer
    # Guards against an empty success from an engine that crashed after its headers.
    When clients post "/long/a" to "n1" with these responses
      | response                                      |
      | close_delimited:whole_events:0,stream:6       |
      | close_delimited:whole_events_reset:0,stream:6 |
      | close_delimited:part_of_field:0,stream:6      |
      | stream:0,stream:6                             |
    Then each client gets the events 1 to 6 once each, and nothing else
    And each request was sent 2 times

  Scenario: A stream without an event that may not be repeated is an error
    # Guards against an empty success where no other server may be asked.
    When clients post "/short/a" to "n1" with these responses
      | response                                |
      | close_delimited:whole_events:0,stream:6 |
      | stream:0,stream:6                       |
    Then each client gets the error 502
    And each request was sent 1 time

  Scenario Outline: A response that ends inside its head is no response
    # Guards against a 200 with an empty or short body, framed as whole, for a server that
    # stopped in the middle of its answer's head.
    When clients get "/lookup/a" from "n1" on <connection> connections with these responses
      | response                                    |
      | close_delimited:head_in_version,ok          |
      | close_delimited:head_in_status,ok           |
      | close_delimited:head_in_status_line,ok      |
      | close_delimited:head_after_status_line,ok   |
      | close_delimited:head_in_name,ok             |
      | close_delimited:head_in_length,ok           |
      | close_delimited:head_after_length,ok        |
      | close_delimited:head_after_headers,ok       |
      | close_delimited:head_in_blank_line,ok       |
      | close_delimited:head_of_http_1_0,ok         |
      | close_delimited:head_of_chunks,ok           |
      | close_delimited:head_of_events,ok           |
      | close_delimited:head_after_interim,ok       |
      | close_delimited:head_after_headers_reset,ok |
      | close_delimited:head_in_length_reset,ok     |
    Then each client gets 200, a length and the whole response
    And each request was sent 2 times

    Examples:
      | connection |
      | new        |
      | kept       |

  Scenario Outline: An order whose response ends inside its head gets an honest error
    # Guards against a 200 for an order whose outcome isn't known, and against a second run.
    When clients post "/orders/a" to "n1" on <connection> connections with these responses
      | response                                    |
      | close_delimited:head_in_version,ok          |
      | close_delimited:head_in_status,ok           |
      | close_delimited:head_in_status_line,ok      |
      | close_delimited:head_after_status_line,ok   |
      | close_delimited:head_in_name,ok             |
      | close_delimited:head_in_length,ok           |
      | close_delimited:head_after_length,ok        |
      | close_delimited:head_after_headers,ok       |
      | close_delimited:head_in_blank_line,ok       |
      | close_delimited:head_of_http_1_0,ok         |
      | close_delimited:head_of_chunks,ok           |
      | close_delimited:head_of_events,ok           |
      | close_delimited:head_after_interim,ok       |
      | close_delimited:head_after_headers_reset,ok |
      | close_delimited:head_in_length_reset,ok     |
    Then each client gets the error 502
    And each request was sent 1 time

    Examples:
      | connection |
      | new        |
      | kept       |

  Scenario Outline: A stream whose response ends inside its head begins at another server
    # Guards against an empty stream that looks complete.
    When clients post "/long/a" to "n1" on <connection> connections with these responses
      | response                                          |
      | close_delimited:head_in_version,stream:6          |
      | close_delimited:head_in_status,stream:6           |
      | close_delimited:head_in_status_line,stream:6      |
      | close_delimited:head_after_status_line,stream:6   |
      | close_delimited:head_in_name,stream:6             |
      | close_delimited:head_in_length,stream:6           |
      | close_delimited:head_after_length,stream:6        |
      | close_delimited:head_after_headers,stream:6       |
      | close_delimited:head_in_blank_line,stream:6       |
      | close_delimited:head_of_http_1_0,stream:6         |
      | close_delimited:head_of_chunks,stream:6           |
      | close_delimited:head_of_events,stream:6           |
      | close_delimited:head_after_interim,stream:6       |
      | close_delimited:head_after_headers_reset,stream:6 |
      | close_delimited:head_in_length_reset,stream:6     |
    Then each client gets the events 1 to 6 once each, and nothing else
    And each request was sent 2 times

    Examples:
      | connection |
      | new        |
      | kept       |

  Scenario: The rest of a stream that ends inside its head breaks the stream off visibly
    # Guards against a resumed stream that ends as if it were complete, and against parts of
    # a head in the middle of a stream.
    When clients post "/long/a" to "n1" on kept connections with these responses
      | response                                    |
      | torn:3,close_delimited:head_in_version      |
      | torn:3,close_delimited:head_after_headers   |
      | torn:3,close_delimited:head_in_length       |
      | torn:3,close_delimited:head_of_events       |
      | torn:3,close_delimited:head_in_blank_line   |
      | torn:3,close_delimited:head_in_length_reset |
    Then each client gets the events 1 to 3 once each in an incomplete stream, and nothing else
    And each request was sent 2 times
