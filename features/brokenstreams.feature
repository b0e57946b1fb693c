Feature: Streams that go on with an error
  When a stream breaks off, clients get the rest of it from another server, or a stream
  that is visibly incomplete. They get nothing else in the middle of a stream.

  Background:
    Given a store, 3 servers and the node "n1"

  Scenario: Bytes of an error in a stream are no part of it
    # Guards against clients that find the text or the head of an error in their stream,
    # and against a stream that isn't resumed because of its ids.
    When clients post "/long/a" to "n1" with these responses
      | response                                          |
      | close_delimited:head_after_event:3,stream:6       |
      | close_delimited:head_inside_event:3,stream:6      |
      | close_delimited:bare_head_inside_event:3,stream:6 |
      | close_delimited:error_object:3,stream:6           |
      | close_delimited:error_event:3,stream:6            |
      | close_delimited:word_as_id:3,stream:6             |
      | close_delimited:superscript_as_id:3,stream:6      |
      | close_delimited:long_id:3,stream:6                |
      | close_delimited:empty_id:3,stream:6               |
    Then each client gets the events 1 to 6 once each, and nothing else
    And each request was sent 2 times
    And each second server was asked to resume after event 3

  Scenario: Events that arrive together with an error reach the client
    # Guards against events that are missing in a stream that looks complete, because they
    # were recorded as sent when an error followed them in the same packet.
    When clients post "/long/a" to "n1" with these responses
      | response                                    |
      | close_delimited:events_and_error:3,stream:6 |
    Then each client gets the events 1 to 6 once each, and nothing else
    And each request was sent 2 times
    And each second server was asked to resume after event 5

  Scenario Outline: A resumption that is an error ends the stream visibly
    # Guards against clients that find another server's error in their stream, and against
    # an incomplete stream that looks complete. With more failures in one scenario, no
    # server would be left to try.
    When clients post "/long/a" to "n1" with these responses
      | response        |
      | torn:3,<first>  |
      | torn:3,<second> |
      | torn:3,<third>  |
    Then each client gets the events 1 to 3 once each in an incomplete stream, and nothing else

    Examples:
      | first                              | second                              | third                             |
      | status:500                         | status:404                          | status:503                        |
      | status:206                         | ok                                  | shed                              |
      | cut                                | close_delimited:regular             | close_delimited:empty             |
      | close_delimited:chunks_short       | close_delimited:no_content_stream   | close_delimited:repeated_events:2 |
      | close_delimited:head_after_event:3 | close_delimited:head_inside_event:3 | close_delimited:error_object:3    |
      | close_delimited:error_event:3      | close_delimited:word_as_id:3        | close_delimited:part_of_field:3   |
      | torn:3                             | status:500                          | cut                               |

  Scenario: A resumption that begins anew sends only what is missing
    # Guards against repeated events, and against an error for a client that has them all.
    When clients post "/long/a" to "n1" with these responses
      | response                                 |
      | torn:3,close_delimited:repeated_events:6 |
      | torn:6,close_delimited:repeated_events:6 |
    Then each client gets the events 1 to 6 once each, and nothing else

  Scenario: An earlier server's error isn't sent after a stream has begun
    # Guards against an error response in the middle of a stream.
    When clients post "/long/a" to "n1" with these responses
      | response          |
      | status:500,torn:3 |
    Then each client gets the events 1 to 3 once each in an incomplete stream, and nothing else

  Scenario: A stream has no length, because another server may go on with it
    # Guards against a length in the headers that doesn't fit the events of two servers.
    When clients post "/long/a" to "n1" with these responses
      | response                                |
      | close_delimited:sized_events:3,stream:6 |
    Then each client gets the events 1 to 6 once each, and nothing else
    And each client gets no length
