Feature: Evacuation of a failure domain, on the users' platform

  Background:
    Given a store, 3 servers and the node "n1"
    And the server "i-2" is in the domain "z2"

  Scenario: Requests avoid the domain until the row is removed, also without the store
    # Guards against requests to an evacuated server, against an evacuation that ends with
    # the contact to the store, and against a server that stays unused after it.
    Given the operator evacuates the domain "z1"
    When the client gets "/lookup/a" 12 times from "n1"
    Then each client gets the response to its own request
    And only the server "i-2" received requests
    Given the store refuses all calls
    When the node "n1" has lost its connection to the store
    And the client gets "/lookup/b" 12 times from "n1"
    Then each client gets the response to its own request
    And only the server "i-2" received requests
    When the store answers again
    And the operator removes the row of the domain "z1"
    Then the server "i-1" soon gets a request for "/lookup/c" from "n1"

  Scenario: A stream that is under way is finished in the domain
    # Guards against running requests that are cut off by an evacuation.
    Given only the server "i-1" is listed
    When a client posts "/long/a" with the script "stream:60" to "n1" in the background
    And the server "i-2" is in the domain "z2"
    And the operator evacuates the domain "z1"
    Then the client gets 200 with the events 1 to 60 once each
    And only the server "i-1" received requests

  Scenario: A stream whose server falls silent goes on in another domain
    # Guards against a second attempt, or the rest of a stream, at a server of the
    # evacuated domain.
    Given only the server "i-1" is listed
    When a client posts "/long/a" with the script "quiet:2:30:6,stream:6" to "n1" in the background
    And the server "i-2" is in the domain "z2"
    And the server "i-3" is in the domain "z1"
    And the operator evacuates the domain "z1"
    Then the client gets 200 with the events 1 to 6 once each
    And only the servers "i-1, i-2" received requests

  Scenario: Without a server left, requests are refused at once
    # Guards against requests that are held, and against a refusal that isn't certain or
    # lacks the time to come back.
    Given the operator evacuates the domain "z1"
    And the operator evacuates the domain "z2"
    When a client posts "/orders/a" with the script "ok" to "n1"
    Then the client gets 503 within 1 seconds
    And its retry time is between 0.5 and 2 seconds
    And the log of "n1" shows for the request the status 503 and "no_upstream"
    And the servers received 0 requests
