Feature: Routed calls to plain services
  Nodes, upstreams and the platform run as separate processes. A node in these scenarios
  is only the code that routes calls, without the HTTP server for callers.

  Scenario: The same key at two nodes at the same time
    Guards against a non-repeatable call that runs twice because several nodes receive it
    at the same time.
    Given the call upstreams "s1, s2"
    And the call nodes "n1, n2"
    When the call with key "k" is made at "n1, n2, n1, n2" at once
    Then exactly one of the calls ran
    And the call upstreams ran 1 calls

  Scenario Outline: A node that is killed around dispatch
    Guards against a second run of a call whose node was killed before it wrote the
    record, and against an error that says "not run" for a call that ran.
    Given the call upstreams "s1"
    And the call nodes "n2"
    And the call node "n1" that will hang when <point>
    And the call with key "k" is started at "n1"
    When the call node "n1" has stopped and is killed
    And the call node "n2" is set to {"lost": ["n1"]}
    And the call with key "k" is made at "n2"
    Then the call outcome is "may_have_run ran maybe"
    And the call upstreams ran <n> calls

    Examples:
      | point    | n |
      | claimed  | 0 |
      | answered | 1 |

  Scenario: A node that is killed before the upstream answers
    Guards against a second run of a call that the upstream is still running when its
    node is killed.
    Given the call upstreams "s1, s2"
    And the call nodes "n1, n2"
    And the call upstream "s1" is in mode "hold"
    And the call node "n1" is set to {"leaving": ["s2"]}
    And the call with key "k" is started at "n1"
    When the call upstream "s1" runs the call and node "n1" is killed
    And the call node "n2" is set to {"lost": ["n1"]}
    And the call with key "k" is made at "n2"
    Then the call outcome is "may_have_run ran maybe"
    And the call upstreams ran 1 calls

  Scenario: A node that is killed after the record
    Guards against a recorded result that the caller can't get because the node that ran
    the call was killed.
    Given the call upstreams "s1"
    And the call nodes "n1, n2"
    When the call with key "k" is made at "n1"
    And the call node "n1" is killed
    And the call with key "k" is made at "n2"
    Then the call outcome is "replay"
    And the call upstreams ran 1 calls

  Scenario: A node that is stopped between claim and dispatch
    Guards against a call that is dispatched late, after its caller has given up, because
    its node was stopped after the claim.
    Given the call upstreams "s1"
    And the call nodes "n2"
    And the call node "n1" that will pause when claimed
    And the call with key "k" is started at "n1"
    When the call node "n1" was stopped for longer than the dispatch limit
    Then the call outcome is "claim_expired ran no"
    And the call upstreams ran 0 calls
    And the call with key "k" at "n2" eventually has the outcome "200"

  Scenario: The reply to the claim write is lost
    Guards against a call that is dispatched without a confirmed claim, and against a call
    that fails, because the table's reply to the claim write was lost.
    Given the call upstreams "s1"
    And the call nodes "n1, n2"
    And the faults of the call table are {"n_drop_after": 1}
    When the call with key "k" is made at "n1"
    Then the call outcome is "200"
    When the call with key "k" is made at "n2"
    Then the call outcome is "replay"
    And the call upstreams ran 1 calls

  Scenario: The table service is down
    Guards against a non-repeatable call that runs without a claim, and against a safe
    call that fails, while the table can't be reached.
    Given the call upstreams "s1"
    And the call nodes "n1"
    And the faults of the call table are {"down": true}
    When the call with key "k" is made at "n1"
    Then the call outcome is "claim_store_unavailable ran no"
    And the call upstreams ran 0 calls
    When the call without a key is made at "n1" with {"method": "GET", "path": "/items/1"}
    Then the call outcome is "200"
    And the call counter service_refusals_total{code="claim_store_unavailable",ran="no"} of "n1" is 1

  Scenario: The table goes down between claim and record
    Guards against a caller that waits for the table although the upstream has answered
    its call, because the record can't be written.
    Given the call upstreams "s1"
    And the call nodes "n1, n2"
    And the call upstream "s1" is in mode "slow"
    And the call with key "k" is started at "n1"
    When the call upstream "s1" has run the call and the table goes down
    Then the call outcome is "200"
    When the call with key "k" is made at "n1"
    Then the call outcome is "claim_store_unavailable ran no"
    When the faults of the call table are {}
    Then the call with key "k" at "n2" eventually has the outcome "replay"
    And the call upstreams ran 1 calls

  Scenario: A key that was used for a different call
    Guards against a caller that receives the answer to a different call because it used
    the key of that call again.
    Given the call upstreams "s1"
    And the call nodes "n1"
    When the call with key "k" is made at "n1"
    And the call with key "k" is made at "n1" with {"path": "/refunds"}
    Then the call outcome is "idempotency_key_reused ran no"
    And the call upstreams ran 1 calls

  Scenario: An upstream that refuses the connection
    Guards against an error for a call that another upstream could run. A refused
    connection shows that the call did not run.
    Given the call upstreams "closed1, closed2, s1"
    And the call nodes "n1"
    When the call with key "k" is made at "n1"
    And the call with key "l" is made at "n1"
    Then the call outcome is "200"
    And the call upstreams ran 2 calls

  Scenario: All upstreams refuse the connection
    Guards against a key that stays claimed by a call that did not run, because the claim
    was not released.
    Given the call upstreams "closed1, closed2"
    And the call nodes "n1, n2"
    When the call with key "k" is made at "n1"
    Then the call outcome is "upstream_connect ran no"
    When the call with key "k" is made at "n2"
    Then the call outcome is "upstream_connect ran no"
    And the call counter claims_total{outcome="released"} of "n2" is 1

  Scenario: An upstream that closes the connection during a non-repeatable call
    Guards against a second run at another upstream after the first one has lost the
    connection without an answer.
    Given the call upstreams "s1, s2"
    And the call nodes "n1, n2"
    And the call upstream "s1" is in mode "cut"
    And the call upstream "s2" is in mode "cut"
    When the call with key "k" is made at "n1"
    Then the call outcome is "may_have_run ran maybe"
    When the call with key "k" is made at "n2"
    Then the call outcome is "may_have_run ran maybe"
    And the call upstreams ran 1 calls

  Scenario Outline: An upstream that fails a safe call
    Guards against an error for a safe call that another upstream could answer, and
    against retries beyond the retry budget.
    Given the call upstreams "s1, s2"
    And the call nodes "n1"
    And the call node "n1" is set to {"leaving": ["s2"]}
    And the call upstream "s1" is in mode "<mode>"
    When the call without a key is made at "n1" with {"method": "GET", "path": "/items/1"}
    Then the call outcome is "<alone>"
    When the call node "n1" is set to {"leaving": [], "n_retries": 0}
    And the call upstream "s2" is in mode "<mode>"
    And the call without a key is made at "n1" with {"method": "GET", "path": "/items/1"}
    Then the call outcome is "<no budget>"
    When the call node "n1" is set to {"n_retries": 10}
    And the call without a key is made at "n1" with {"method": "GET", "path": "/items/1"}
    Then the call outcome is "<alone>"
    And the call upstreams ran 4 calls
    And the call counter service_retries_total{reason="<reason>"} of "n1" is 1

    Examples:
      | mode        | alone                   | no budget                        | reason        |
      | cut         | stream_broken ran maybe | retry_budget_exhausted ran maybe | stream_broken |
      | unavailable | 503                     | 503                              | status_503    |

  Scenario: The deadline of a call
    Guards against a call that never ends because its upstream doesn't answer, and against
    an upstream that continues after the deadline because it wasn't told of it.
    Given the call upstreams "s1"
    And the call nodes "n1, n2"
    And the call upstream "s1" is in mode "hold"
    When the call with key "k" is made at "n1" with {"deadline_s": 0.8}
    Then the call outcome is "deadline_exceeded ran maybe"
    And the call upstream "s1" received a deadline of at most 800 ms
    When the call with key "k" is made at "n2"
    Then the call outcome is "may_have_run ran maybe"

  Scenario: A caller that disconnects
    Guards against a call that ran but has no record because its caller disconnected
    before the answer.
    Given the call upstreams "s1"
    And the call nodes "n1, n2"
    And the call upstream "s1" is in mode "slow"
    When the call with key "k" is made at "n1" with {"cancel_s": 0.5}
    Then the call with key "k" at "n2" eventually has the outcome "replay"
    And the call upstreams ran 1 calls

  Scenario: Hop-by-hop headers and internal headers
    Guards against forged internal headers from callers, against a service that receives
    the caller's key, and against internal headers that are passed on to callers.
    Given the call upstreams "s1"
    And the call nodes "n1"
    When the call with key "k" is made at "n1" with {"headers": {"authorization": "Bearer x", "x-apricotlift-account": "south", "connection": "x-hop", "x-hop": "1", "te": "trailers", "x-kept": "1"}}
    Then the call upstream "s1" received no header of authorization, x-apricotlift-account, x-hop, te
    And the call answer has no header of x-apricotlift-secret, x-hop, connection

  Scenario: An upstream that is draining
    Guards against new calls to an upstream that is about to stop.
    Given the call upstreams "s1, s2"
    And the call nodes "n1"
    And the call node "n1" is set to {"leaving": ["s1"]}
    When the call with key "a" is made at "n1"
    And the call with key "b" is made at "n1"
    And the call with key "c" is made at "n1"
    Then the call upstream "s1" ran 0 calls
    And the call upstream "s2" ran 3 calls

  Scenario: The upstream with the fewest calls in flight
    Guards against new calls that wait behind a slow call although another upstream is
    idle.
    Given the call upstreams "s1, s2"
    And the call nodes "n1"
    And the call upstream "s1" is in mode "hold"
    And the call node "n1" is set to {"leaving": ["s2"]}
    And the call with key "a" is started at "n1"
    When the call upstream "s1" holds the call and "n1" has no draining upstream
    And the call with key "b" is made at "n1"
    And the call with key "c" is made at "n1"
    Then the call upstream "s2" ran 2 calls

  Scenario Outline: Calls that are refused before they are sent
    Guards against a call that is sent although it lacks a key, its path may match a
    different rule once it is decoded, its service is unknown or its deadline has passed.
    Given the call upstreams "s1"
    And the call nodes "n1"
    When the call without a key is made at "n1" with <fields>
    Then the call outcome is "<outcome>"
    And the call upstreams ran 0 calls

    Examples:
      | fields                                           | outcome                        |
      | {"method": "POST", "path": "/items/1"}           | idempotency_key_missing ran no |
      | {"method": "GET", "path": "/items/stock/1"}      | idempotency_key_missing ran no |
      | {"method": "GET", "path": "/items/stock%2f1"}    | idempotency_key_missing ran no |
      | {"method": "GET", "path": "/items/../orders"}    | bad_request ran no             |
      | {"method": "GET", "path": "/items/%2e%2e/order"} | bad_request ran no             |
      | {"method": "GET", "path": "/i", "service": "x"}  | unknown_service ran no         |
      | {"method": "GET", "path": "/items/1", "deadline_s": -1} | deadline_exceeded ran no |
