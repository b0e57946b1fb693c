Feature: Data residency, on the users' platform

  Background:
    Given settings with the regions "z1=north, z2=south"
    And a store, 3 servers and the node "n1"
    And the server "i-2" is in the domain "z2"

  Scenario: Requests reach only servers in the regions that their route allows
    # Guards against requests, retries or second attempts in another region, and against a
    # refusal that isn't certain where no server is allowed.
    Given the operator allows the routes the region "south"
    When the client gets "/lookup/a" 12 times from "n1"
    Then each client gets the response to its own request
    When a client posts "/long/a" with the script "quiet:2:2:6" to "n1"
    Then the client gets 200 with the events 1 to 6 once each
    And only the server "i-2" received requests
    When the operator allows the routes the region "east"
    And a client posts "/orders/a" with the script "ok" to "n1"
    Then the client gets 503 within 1 seconds
    And its retry time is between 0.5 and 2 seconds
    And the log of "n1" shows for the request the status 503 and "no_upstream"
    And only the server "i-2" received requests
