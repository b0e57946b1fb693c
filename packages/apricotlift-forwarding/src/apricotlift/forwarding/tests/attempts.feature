Feature: One attempt at one server

  Scenario: A response whose headers arrive at the time limit is read to its end or fails
    # Guards against an attempt that is cancelled by its own time limit and yet counts as
    # complete, because the headers arrived in the moment in which the limit expired.
    Given a server whose response ends with its connection after 0.05 seconds
    When the event loop is blocked from before the response until after the time limit
    Then the attempt has the whole response or fails with upstream_silent

  Scenario Outline: A connection is closed after a refusal
    # Guards against a refusal that is written once more and read as the response to the
    # same request, sent again to this server: both carry its id.
    Given a server that refuses each request with the status <status>
    When an attempt is made
    Then the attempt fails with <code> and no connection is open

    Examples:
      | status | code          |
      | 421    | wrong_server  |
      | 503    | upstream_full |
