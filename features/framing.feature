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
