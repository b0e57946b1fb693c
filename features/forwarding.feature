Feature: Forwarding opaque requests on the users' platform
  Node processes run between clients and stand-ins for the users' store and servers. Each
  scenario tests a guarantee from docs/guarantees.md.

  Background:
    Given a store, 3 servers and the node "n1"

  Scenario: A request and its response are forwarded unchanged
    # Guards against lost headers and changed paths, and against servers that receive a
    # client's key, or headers that only the node may set.
    When a client posts "/orders/a/2f?x=1%20" with 5000 bytes to "n1"
    Then the client gets 200 with the response and the stamp of a server
    And the server received the method "POST", the target "/orders/a/2f?x=1%20" and 5000 bytes
    And the server received the account "acme" and its own id, and neither the key nor "x-hold"

  Scenario: Requests without a configured route or a known key are refused
    # Guards against requests that reach a server although they match no route or have an
    # unknown API key.
    When a client gets "/nowhere/x" from "n1"
    Then the client gets 404
    When a client with the key "wrong" gets "/lookup/x" from "n1"
    Then the client gets 401
    And no server received a request

  Scenario Outline: A request that must not run twice is sent to one server only
    # Guards against a retry after a failure that leaves it unclear whether the request
    # has run, and against an error that claims that it has not run.
    When a client posts "/orders/a" with the script "<script>" to "n1"
    Then the client gets <status>
    And the servers received 1 request

    Examples:
      | script     | status |
      | cut,ok     | 502    |
      | short,ok   | 502    |
      | foreign,ok | 502    |
      | unsigned   | 502    |
      | status:500 | 500    |

  Scenario: A request that no server runs is refused with a retry time
    # Guards against an error that doesn't tell the client that the request did not run
    # and may be sent again.
    When a client posts "/orders/a" with the script "shed" to "n1"
    Then the client gets 503 with a retry time
    And no server ran a request

  Scenario Outline: A request that may be repeated is sent to another server
    # Guards against a client that receives the failure of one server although another
    # server could have run the request.
    When a client using the script "<script>" gets "/lookup/a" from "n1"
    Then the client gets 200 with the response and the stamp of a server
    And the servers received 2 requests

    Examples:
      | script        |
      | cut,ok        |
      | short,ok      |
      | foreign,ok    |
      | status:500,ok |
      | shed,ok       |
      | hang,ok       |

  Scenario Outline: A server's error response is sent if no other server succeeds
    # Guards against a node that replaces a server's own error response by one of its
    # own after retries have failed.
    When a client using the script "<script>" gets "/lookup/a" from "n1"
    Then the client gets 500
    And the response has the stamp of a server

    Examples:
      | script         |
      | status:500     |
      | status:500,cut |

  Scenario Outline: Bytes after a response are not given to another request
    # Guards against an extra response that is taken for that of the next request on a
    # reused connection. The extra bytes arrive after the first response or with it.
    When a client using the script "<script>" gets "/lookup/a" from "n1"
    And the client gets "/lookup/b" 6 times from "n1"
    Then each client gets the response to its own request
    And no request was sent twice

    Examples:
      | script |
      | twice  |
      | joined |

  Scenario: A stream resumes at another server after its last complete event
    # Guards against events that are missing, repeated or truncated when a server closes
    # the connection in the middle of an event.
    When a client posts "/long/a" with the script "torn:3,stream:6" to "n1"
    Then the client gets 200 with the events 1 to 6 once each
    And the second server was asked to resume after event 3

  Scenario Outline: A broken stream that may not be resumed is visibly incomplete
    # Guards against an incomplete response that looks complete, also if the server ends
    # the body regularly but in the middle of an event.
    When a client posts "/short/a" with the script "<script>" to "n1"
    Then the client gets 200 with an incomplete body
    And the servers received 1 request

    Examples:
      | script          |
      | torn:3,stream:6 |
      | halved:3        |

  Scenario: The route's time limit ends a request
    # Guards against requests that stay open longer than the operator allows, because
    # the server doesn't respond.
    When a client posts "/orders/a" with the script "hang" to "n1"
    Then the client gets 504 within 3 seconds

  Scenario: A request is cancelled when its client disconnects
    # Guards against servers that continue to work on a request whose client has gone.
    When a client posts "/short/a" with the script "hang" to "n1" and disconnects
    Then the server sees its connection closed

  Scenario: A newer configuration is applied, and an older one is ignored
    # Guards against a node that goes back to an older configuration if the operator's
    # writes arrive out of order.
    When the operator writes configuration 7 with the route "/fresh/"
    And the operator writes configuration 6 without the route "/fresh/"
    Then a client that gets "/fresh/a" from "n1" eventually receives 200
    And the node "n1" still has configuration 7

  Scenario: A key that is taken away is refused
    # Guards against API keys that are accepted after the operator removed them.
    When the operator writes configuration 8 without the key "k1"
    Then a client that gets "/lookup/a" from "n1" eventually receives 401

  Scenario: An unknown key is not rejected as wrong while the store is unavailable
    # Guards against a 401 for a key that a newer configuration, which the node couldn't
    # read yet, may contain.
    Given the store refuses all calls
    When the node "n1" has lost its connection to the store
    And a client with the key "new" gets "/lookup/x" from "n1"
    Then the client gets 503 with a retry time

  Scenario: Requests are served while the store is unavailable
    # Guards against an outage of the store that makes nodes refuse requests.
    Given the store refuses all calls
    When the node "n1" has lost its connection to the store
    And a client gets "/lookup/a" from "n1"
    Then the client gets 200 with the response and the stamp of a server

  Scenario: A change is applied although the store dropped its history
    # Guards against a node that misses changes whose history the store dropped before
    # the node had read it.
    Given the store drops its history
    When the operator writes configuration 9 with the route "/fresh/"
    Then a client that gets "/fresh/a" from "n1" eventually receives 200

  Scenario: A draining server gets no new request
    # Guards against new requests that are sent to a server that is shutting down.
    When a client gets "/lookup/a" from "n1"
    And the server that answered starts to drain
    And the client gets "/lookup/b" 12 times from "n1"
    Then the draining server received 1 request

  Scenario: A request that crashes servers is refused after the third
    # Guards against a request that crashes every server that it is retried on.
    Given 6 more crashing servers
    When a client using the script "hang" gets "/doom/a" 5 times while each server crashes
    Then at most 4 servers received it and the last client gets 503

  Scenario: A prompt is refused while other nodes' prompts fill every engine
    # Guards against prompts that queue at full engines until all of them miss their
    # latency target, and against refusals whose reason isn't logged
    # (docs/OPERATIONS.md).
    Given another node "n2"
    And engines with memory for 20 tokens
    When clients post "/long/a" 3 times to "n2" and read long streams
    And a client posts "/long/b" with the script "ok" to "n1"
    Then the client gets 503 with a retry time
    And the servers received 3 requests
    And the log of "n1" shows for the request the status 503 and "overloaded"

  Scenario: One node orders all engines to load newly named weights
    # Guards against two nodes that send load orders at the same time, and against
    # engines that never load the named weights.
    Given another node "n2"
    When the operator names version 2 of the model
    Then all servers have version 2, ordered by one lease holder with one fencing token
    And a client that posts "/long/b" to "n1" eventually receives 200

  Scenario: A graceful shutdown completes open requests
    # Guards against requests that are lost in a planned shutdown.
    Given another node "n2"
    When a client posts "/long/a" with the script "stream:240" to "n1" in the background
    And the node "n1" is stopped by SIGTERM
    Then the client gets 200 with the events 1 to 240 once each
    And the node "n1" exits with code 0
    And the directory of "n2" lists only "n2"

  Scenario: A killed node is removed from the directory
    # Guards against a directory that keeps sending clients to a dead node.
    Given another node "n2"
    When the node "n1" is killed
    Then the directory of "n2" lists only "n2"

  Scenario: A changed settings file is applied without a signal
    # Guards against settings that are only applied after a restart, and against a node
    # that exits because the changed file is invalid.
    When the settings of "n1" change to a retry share of 0.5
    Then the node "n1" reloads its settings
    When the settings of "n1" become invalid
    Then the node "n1" rejects the settings and keeps running

  Scenario: From a failed request's id to its cause
    # Guards against failed requests whose server and cause can't be found in the log by
    # the request id (docs/OPERATIONS.md).
    When a client posts "/orders/a" with the script "cut" to "n1"
    Then the log of "n1" shows for the request the server, the code "stream_broken" and the status 502

  Scenario: A refusal's reason stands in the log
    # Guards against refusals whose reason isn't logged (docs/OPERATIONS.md).
    When a client posts "/orders/a" with the script "shed" to "n1"
    Then the log of "n1" shows for the request the code "upstream_full" with "ran" "no"

  Scenario: A broken stream's last event stands in the log
    # Guards against incomplete streams whose cause and last event aren't logged
    # (docs/OPERATIONS.md).
    When a client posts "/short/a" with the script "torn:3,stream:6" to "n1"
    Then the log of "n1" shows for the request the code "stream_broken" with "last_event" "3"
    And the log of "n1" shows that the response is incomplete
