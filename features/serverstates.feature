Feature: Servers that leave or ask for a pause, on the users' platform
  Servers state in their responses that they leave, or for how long they want no request.
  Their entries in the store go on saying that they are ready.

  Scenario Outline: A leaving server gets no further request while there is another one
    # Guards against a node that learns only from the store that a server leaves, and
    # against one that reads the statement only in successful responses.
    Given a store, 3 servers and the node "n1"
    When a client posts "/orders/a" with the script "<script>" to "n1"
    Then the client gets <status>
    When the client gets "/lookup/b" 12 times from "n1"
    Then each client gets the response to its own request
    And the first server received 1 request

    Examples:
      | script      | status |
      | leaving     | 200    |
      | leaving:500 | 500    |

  Scenario: A leaving server gets no further request while the store is unavailable
    # Guards against requests to a leaving server for as long as its entry can't be read.
    Given a store, 3 servers and the node "n1"
    And the store refuses all calls
    When the node "n1" has lost its connection to the store
    And a client using the script "leaving" gets "/lookup/a" from "n1"
    And the client gets "/lookup/b" 12 times from "n1"
    Then each client gets the response to its own request
    And the first server received 1 request

  Scenario: The last server is used until its drain time is over, and not later
    # Guards against requests that are refused although the only server still takes them,
    # and against requests that reach it after its drain time.
    Given a store, 1 servers and the node "n1"
    When a client using the script "leaving" gets "/lookup/a" from "n1"
    And the client gets "/lookup/b" 3 times from "n1"
    Then each client gets the response to its own request
    When the drain time of 2 s is over
    And a client gets "/lookup/c" from "n1"
    Then the client gets 503 with a retry time
    And the first server received 4 requests
    And the log of "n1" shows for the request the status 503 and "no_upstream"
    And the log of "n1" has 1 line "server_leaving"

  Scenario: A leaving server is known as such when its entry comes back
    # Guards against a node that forgets what a server stated once the entry was removed,
    # and uses the server again when the same incarnation is listed again. No other server
    # is left, so that the choice doesn't depend on the servers' latencies.
    Given a store, 2 servers and the node "n1"
    When a client using the script "leaving" gets "/lookup/a" from "n1"
    And the entry of the first server is removed until "n1" has dropped its connections
    And the entry of the first server comes back
    And the other server starts to drain
    And the drain time of 2 s is over
    And a client gets "/lookup/b" from "n1"
    Then the client gets 503 with a retry time
    And the first server received 1 request

  Scenario: A new incarnation of a server that has left gets requests
    # Guards against a server that stays unused after its restart.
    Given a store, 2 servers and the node "n1"
    When a client using the script "leaving" gets "/lookup/a" from "n1"
    And the other server starts to drain
    And the drain time of 2 s is over
    And a client gets "/lookup/b" from "n1"
    Then the client gets 503 with a retry time
    When the first server is listed with a later start
    And a client gets "/lookup/c" from "n1"
    Then the client gets 200 with the response and the stamp of a server
    And the first server received 2 requests

  Scenario: A stream isn't resumed at a leaving server
    # Guards against the continuation of a stream at a server that is about to stop. The
    # leaving server is the preferred one for this prompt.
    Given a store, 3 servers and the node "n1"
    When a client posts "/long/a" with the script "leaving" to "n1"
    And clients post "/long/a" 4 times with the script "torn:3,stream:6" to "n1"
    Then each of these clients gets the events 1 to 6 once each
    And the first server received 1 request

  Scenario: A server that asked for a pause gets no request for that time
    # Guards against requests to a server that wants none, and against a server that
    # stays unused when the time is over.
    Given a store, 2 servers and the node "n1"
    When a client using the script "busy:2.5,ok" gets "/lookup/a" from "n1"
    Then the client gets 200
    When clients get "/lookup/b" from "n1" for 1.5 seconds
    Then each client gets the response to its own request
    When the other server starts to drain
    Then a client that gets "/lookup/c" from "n1" eventually receives 200
    And the first server got no request for 2.5 seconds, and one after that

  Scenario: While all servers pause, requests are refused at once
    # Guards against requests that are sent to servers that want none because no other
    # server is left, and against refusals without the time to come back.
    Given a store, 2 servers and the node "n1"
    When a client posts "/orders/a" with the script "busy:4" to "n1"
    Then the client gets 503 with a retry time
    When a client posts "/orders/b" with the script "ok" to "n1"
    Then the client gets 503 within 1 seconds
    And its retry time is between 2 and 5 seconds
    And the servers received 2 requests
    And the log of "n1" shows for the request the status 503 and "upstream_paused"
    And a client that gets "/lookup/a" from "n1" eventually receives 200
    And no server got a second request for 4 seconds
    And the metrics of "n1" count 2 for "server_pauses_total"
