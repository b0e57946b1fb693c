Feature: Forwarding opaque requests on the users' platform
  Real node processes in front of a stand-in of the users' store and servers. Each
  scenario guards a promise of docs/guarantees.md.

  Background:
    Given a store, 3 servers and the node "n1"

  Scenario: A request reaches a server unchanged and its answer comes back unchanged
    # Guards against lost headers, changed paths, and keys or headers of clients that
    # reach a server.
    When a client posts "/orders/a/2f?x=1%20" with 5000 bytes to "n1"
    Then the client gets 200 with the answer and the stamp of a server
    And the server saw the method "POST", the target "/orders/a/2f?x=1%20" and 5000 bytes
    And the server saw the account "acme" and its own id, and neither the key nor "x-hold"

  Scenario: Requests that no configuration allows are refused
    # Guards against requests that run without a route or with a foreign key.
    When a client gets "/nowhere/x" from "n1"
    Then the client gets 404
    When a client with the key "wrong" gets "/lookup/x" from "n1"
    Then the client gets 401
    And no server saw a request

  Scenario Outline: A request that may run once is sent to one server only
    # Guards against a second run after a failure that leaves it unclear whether the
    # first one happened, and against a refusal that says "not run" then.
    When a client posts "/orders/a" with the script "<script>" to "n1"
    Then the client gets <status>
    And the servers saw 1 request

    Examples:
      | script     | status |
      | cut,ok     | 502    |
      | short,ok   | 502    |
      | foreign,ok | 502    |
      | unsigned   | 502    |
      | status:500 | 500    |

  Scenario: A request that servers refuse is refused with a time to come back
    # Guards against a refusal that hides that the request did not run.
    When a client posts "/orders/a" with the script "shed" to "n1"
    Then the client gets 503 with a time to come back
    And no server ran a request

  Scenario Outline: A request that may be repeated is sent to another server
    # Guards against failures of one server that reach the client needlessly.
    When a client following "<script>" gets "/lookup/a" from "n1"
    Then the client gets 200 with the answer and the stamp of a server
    And the servers saw 2 requests

    Examples:
      | script        |
      | cut,ok        |
      | short,ok      |
      | foreign,ok    |
      | status:500,ok |
      | shed,ok       |
      | hang,ok       |

  Scenario Outline: A server's failure is kept when no other server does better
    # Guards against an answer of a server that is replaced by one of the system.
    When a client following "<script>" gets "/lookup/a" from "n1"
    Then the client gets 500
    And the answer bears the stamp of a server

    Examples:
      | script         |
      | status:500     |
      | status:500,cut |

  Scenario Outline: Bytes after an answer belong to no request
    # Guards against an answer that is given to the next request on the connection,
    # whether it comes after the first one or together with it.
    When a client following "<script>" gets "/lookup/a" from "n1"
    And the client gets "/lookup/b" 6 times from "n1"
    Then each client gets the answer to its own request
    And no request was sent twice

    Examples:
      | script |
      | twice  |
      | joined |

  Scenario: A stream goes on at another server after its last whole event
    # Guards against events that are missing, repeated or cut.
    When a client posts "/long/a" with the script "torn:3,stream:6" to "n1"
    Then the client gets 200 with the events 1 to 6 once each
    And the second server was asked to go on after event 3

  Scenario Outline: A stream that may not be resumed breaks off visibly
    # Guards against an incomplete answer that looks complete, also where the server
    # ends it properly in the middle of an event.
    When a client posts "/short/a" with the script "<script>" to "n1"
    Then the client gets 200 with an answer that breaks off
    And the servers saw 1 request

    Examples:
      | script          |
      | torn:3,stream:6 |
      | halved:3        |

  Scenario: The route's time limit ends a request
    # Guards against requests that are held longer than the operator allows.
    When a client posts "/orders/a" with the script "hang" to "n1"
    Then the client gets 504 within 3 seconds

  Scenario: A client that leaves stops the work
    # Guards against servers that work for nobody.
    When a client posts "/short/a" with the script "hang" to "n1" and leaves
    Then the server sees its connection closed

  Scenario: A new configuration is in force, and an older one never again
    # Guards against a configuration that reverts.
    When the operator writes configuration 7 with the route "/fresh/"
    And the operator writes configuration 6 without the route "/fresh/"
    Then a client that gets "/fresh/a" from "n1" is answered 200 soon
    And the node "n1" still has configuration 7

  Scenario: A key that is taken away is refused
    # Guards against keys that outlive their removal.
    When the operator writes configuration 8 without the key "k1"
    Then a client that gets "/lookup/a" from "n1" is answered 401 soon

  Scenario: An unknown key is not judged while the store is away
    # Guards against a verdict on a key that a newer configuration may hold.
    Given the store refuses all calls
    When the node "n1" has lost the store
    And a client with the key "new" gets "/lookup/x" from "n1"
    Then the client gets 503 with a time to come back

  Scenario: Requests are served while the store is away
    # Guards against an outage of the store that stops the service.
    Given the store refuses all calls
    When the node "n1" has lost the store
    And a client gets "/lookup/a" from "n1"
    Then the client gets 200 with the answer and the stamp of a server

  Scenario: Dropped history doesn't lose a change
    # Guards against a node that misses what changed while history was dropped.
    Given the store drops its history
    When the operator writes configuration 9 with the route "/fresh/"
    Then a client that gets "/fresh/a" from "n1" is answered 200 soon

  Scenario: A draining server gets no new request
    # Guards against work that is sent to a server that leaves.
    When a client gets "/lookup/a" from "n1"
    And the server that answered drains
    And the client gets "/lookup/b" 12 times from "n1"
    Then the server that drains saw 1 request

  Scenario: A request that crashes servers is refused after the third
    # Guards against a request that takes down each server that runs it.
    Given 6 more crashing servers
    When a client following "hang" gets "/doom/a" 5 times while each server crashes
    Then at most 4 servers saw it and the last client gets 503

  Scenario: A prompt is refused while other nodes' prompts fill every engine
    # Guards against prompts that wait at full engines until all of them are late, and
    # against a refusal whose reason nobody can find (docs/OPERATIONS.md).
    Given the node "n2" as well
    And engines with memory for 20 tokens
    When clients post "/long/a" 3 times to "n2" and read long streams
    And a client posts "/long/b" with the script "ok" to "n1"
    Then the client gets 503 with a time to come back
    And the servers saw 3 requests
    And the log of "n1" tells for its id the status 503 and "overloaded"

  Scenario: The engines are brought to the named weights by one node
    # Guards against two holders of orders, and weights that are never loaded.
    Given the node "n2" as well
    When the operator names version 2 of the model
    Then all servers have version 2, ordered by one holder with one fencing number
    And a client that posts "/long/b" to "n1" is answered 200 soon

  Scenario: A stop cuts off no request
    # Guards against requests that a planned stop loses.
    Given the node "n2" as well
    When a client posts "/long/a" with the script "stream:240" to "n1" in the background
    And the node "n1" is stopped by SIGTERM
    Then the client gets 200 with the events 1 to 240 once each
    And the node "n1" ends with 0
    And the directory of "n2" names only "n2"

  Scenario: A node that is killed is no longer named
    # Guards against addresses of dead nodes in the directory.
    Given the node "n2" as well
    When the node "n1" is killed
    Then the directory of "n2" names only "n2"

  Scenario: The settings file changes without a signal
    # Guards against settings that need a restart, and against a bad file that ends a node.
    When the settings of "n1" change to a retry share of 0.5
    Then the node "n1" reloads its settings
    When the settings of "n1" become unreadable
    Then the node "n1" refuses the settings and goes on

  Scenario: From a failed request's id to its cause
    # Guards against failures that the logs don't explain (docs/OPERATIONS.md).
    When a client posts "/orders/a" with the script "cut" to "n1"
    Then the log of "n1" tells for its id the server, the code "stream_broken" and the status 502

  Scenario: A refusal's reason stands in the log
    # Guards against refusals that the logs don't explain (docs/OPERATIONS.md).
    When a client posts "/orders/a" with the script "shed" to "n1"
    Then the log of "n1" tells for its id the code "upstream_full" with "ran" "no"

  Scenario: A broken stream's last event stands in the log
    # Guards against streams whose end the logs don't explain (docs/OPERATIONS.md).
    When a client posts "/short/a" with the script "torn:3,stream:6" to "n1"
    Then the log of "n1" tells for its id the code "stream_broken" with "last_event" "3"
    And the log of "n1" tells that its answer is incomplete
