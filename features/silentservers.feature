Feature: Servers that are silent for a while, on the users' platform

  Background:
    Given a store, 3 servers and the node "n1"

  Scenario: A stream isn't cut off at a silent server while no retry is allowed
    Given the retry budget of "n1" is used up
    When a client posts "/long/a" with the script "quiet:2:2:6" to "n1"
    Then the client gets 200 with the events 1 to 6 once each
    And 1 server received the request

  Scenario: A stream isn't cut off at a silent server while the others refuse it
    When a client posts "/long/a" with the script "quiet:2:2.5:6,shed" to "n1"
    Then the client gets 200 with the events 1 to 6 once each

  Scenario: A stream isn't cut off at a silent server while the others fail it
    When a client posts "/long/a" with the script "quiet:2:2.5:6,cut" to "n1"
    Then the client gets 200 with the events 1 to 6 once each

  Scenario: A stream isn't cut off at a silent server while another sends only a head
    When a client posts "/long/a" with the script "quiet:2:2.5:6,close_delimited:body_stall" to "n1"
    Then the client gets 200 with the events 1 to 6 once each

  Scenario: A stream isn't cut off at a silent server while another ends without events
    When a client posts "/long/a" with the script "quiet:2:2.5:6,stream:0" to "n1"
    Then the client gets 200 with the events 1 to 6 once each

  Scenario: A prompt isn't cut off at a silent server while another ends without events
    When a client posts "/long/a" with the script "quiet:0:2.5:6,stream:0,hang" to "n1"
    Then the client gets 200 with the events 1 to 6 once each

  Scenario Outline: A slow response is waited for while another server sends none
    When a client using the script "<script>" gets "/lookup/a" from "n1"
    Then the client gets 200 with the response and the stamp of a server

    Examples:
      | script                             |
      | slow:1.5,close_delimited:body_stall |
      | slow:1.5,status:404                 |
      | slow:1.5,hang                       |

  Scenario: A stream isn't cut off at a silent server while the others are silent too
    When a client posts "/long/a" with the script "quiet:2:2.5:6,hang" to "n1"
    Then the client gets 200 with the events 1 to 6 once each

  Scenario: A stream isn't cut off at a silent server while no other one is left
    Given only the server "i-1" is listed
    When a client posts "/long/a" with the script "quiet:2:2:6" to "n1"
    Then the client gets 200 with the events 1 to 6 once each

  Scenario: A prompt that waits at a busy server is answered while no retry is allowed
    Given the retry budget of "n1" is used up
    When a client posts "/long/a" with the script "quiet:0:3:4" to "n1"
    Then the client gets 200 with the events 1 to 4 once each
    And 1 server received the request

  Scenario: A slow response is waited for while no retry is allowed
    Given the retry budget of "n1" is used up
    When a client using the script "slow:1.5" gets "/lookup/a" from "n1"
    Then the client gets 200 with the response and the stamp of a server
    And 1 server received the request

  Scenario Outline: A stream goes on at another server while its server stays silent
    # Guards against a response that waits for a server that has stopped for good.
    When a client posts "/long/a" with the script "<script>" to "n1"
    Then the client gets 200 with the events 1 to 6 once each
    And the second server was asked to resume after event 2
    And the server sees its connection closed

    Examples:
      | script                    |
      | quiet:2:30:6,stream:6     |
      | quiet:2:30:6,quiet:0:1:6  |

  Scenario: A client that leaves while a second server is asked ends both attempts
    # Guards against servers that go on with a request whose client has gone.
    When a client posts "/long/a" with the script "quiet:2:30:6,hang" to "n1" and leaves once 2 servers have it
    Then 2 servers see their connections closed
