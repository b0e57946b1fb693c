Feature: Streams that go on with an error
  When a stream breaks off, clients get the rest of it from another server, or a stream
  that is visibly incomplete. They get nothing else in the middle of a stream.

  Background:
    Given a store, 3 servers and the node "n1"

  Scenario: Events that arrive together with an error reach the client
    # Guards against events that are missing in a stream that looks complete, because they
    # were recorded as sent when an error followed them in the same packet.
    When clients post "/long/a" to "n1" with these responses
      | response                                    |
      | close_delimited:events_and_error:3,stream:6 |
    Then each client gets the events 1 to 6 once each, and nothing else
    And each request was sent 2 times
    And each second server was asked to resume after event 5

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
