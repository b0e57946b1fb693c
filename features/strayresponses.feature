Feature: Responses that belong to another request
  A faulty server may write the refusal of an earlier request once more. A refusal says
  that a request did not run only if it carries the id of this request.

  Scenario Outline: The refusal of another request leaves it unclear whether one ran
    # Guards against a client that is told that its request did not run, although the
    # server ran it and only the refusal of another request arrived in its place.
    Given a store, 2 servers and the node "n1"
    When a client posts "/orders/a" with the script "stray:<refusal>,ok" to "n1"
    Then the client gets 502
    And the servers received 1 request

    Examples:
      | refusal                           |
      | 503 not-run other-id              |
      | 421 not-run other-id              |
      | 429 not-run other-id              |
      | 503 not-run                       |
      | 503 not-run own-instance          |
      | 421                               |
      | 421 not-run own-instance          |
      | 429 not-run                       |
      | 400 not-run                       |
      | 503                               |
      | 429                               |
      | 404                               |

  Scenario Outline: A request that may be repeated goes on at another server
    # Guards against a client that gets the refusal of another request.
    Given a store, 2 servers and the node "n1"
    When a client using the script "stray:<refusal>,ok" gets "/lookup/a" from "n1"
    Then the client gets 200 with the response and the stamp of a server
    And the servers received 2 requests

    Examples:
      | refusal              |
      | 503 not-run other-id |
      | 503 not-run          |
      | 421                  |
      | 503                  |
      | 404                  |

  Scenario Outline: A refusal that follows a response isn't read as the next response
    # Guards against a request that is refused as not run because its connection still
    # held the refusal of another one.
    Given a store, 1 servers and the node "n1"
    When a client using the script "<script>" gets "/lookup/a" from "n1"
    And the client gets "/lookup/b" 6 times from "n1"
    Then each client gets the response to its own request
    And no request was sent twice

    Examples:
      | script                      |
      | twice:503 not-run           |
      | twice:421 not-run other-id  |
      | joined:503 not-run          |
      | joined:421 not-run other-id |
      | joined:503 pause leaving    |

  Scenario Outline: What a server states in another request's response isn't believed
    # Guards against a server that gets no requests because of statements in a response
    # that doesn't carry the id of the request it was read for.
    Given a store, 1 servers and the node "n1"
    When a client using the script "stray:<response>" gets "/lookup/a" from "n1"
    And the client gets "/lookup/b" 3 times from "n1"
    Then each client gets the response to its own request
    And the log of "n1" has 0 line "server_leaving"
    And the log of "n1" has 0 line "server_paused"

    Examples:
      | response                             |
      | 503 not-run pause leaving            |
      | 503 pause leaving own-instance       |
      | 503 not-run pause leaving other-id   |
