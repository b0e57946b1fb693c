Feature: Routed calls to plain services
  Nodes, upstreams and the platform are processes of their own. A node here is the
  call path without the callers' HTTP server.

  Scenario: The same key at two nodes at once
    Guards against a non-repeatable call that runs twice.
    Given the call upstreams "s1, s2"
    And the call nodes "n1, n2"
    When the call of key "k" is made at "n1, n2, n1, n2" at once
    Then one call of them ran
    And the call upstreams ran 1 calls

  Scenario Outline: A node that dies around dispatch
    Guards against a second run of a call whose node was lost before the record, and
    against a refusal "not run" of a call that ran.
    Given the call upstreams "s1"
    And the call nodes "n2"
    And the call node "n1" that will hang when <point>
    And the call of key "k" begins at "n1"
    When the call node "n1" stopped and is killed
    And the call node "n2" has {"lost": ["n1"]}
    And the call of key "k" is made at "n2"
    Then the call outcome is "may_have_run ran maybe"
    And the call upstreams ran <n> calls

    Examples:
      | point    | n |
      | claimed  | 0 |
      | answered | 1 |

  Scenario: A node that dies before the upstream answers
    Guards against a second run while the first one goes on at the upstream.
    Given the call upstreams "s1, s2"
    And the call nodes "n1, n2"
    And the call upstream "s1" is in mode "hold"
    And the call node "n1" has {"leaving": ["s2"]}
    And the call of key "k" begins at "n1"
    When the call upstream "s1" runs it and node "n1" is killed
    And the call node "n2" has {"lost": ["n1"]}
    And the call of key "k" is made at "n2"
    Then the call outcome is "may_have_run ran maybe"
    And the call upstreams ran 1 calls

  Scenario: A node that dies after the record
    Guards against a caller that can't learn the result of a call that ran.
    Given the call upstreams "s1"
    And the call nodes "n1, n2"
    When the call of key "k" is made at "n1"
    And the call node "n1" is killed
    And the call of key "k" is made at "n2"
    Then the call outcome is "replay"
    And the call upstreams ran 1 calls

  Scenario: A node that is stopped between claim and dispatch
    Guards against the late dispatch of a call that its caller has given up.
    Given the call upstreams "s1"
    And the call nodes "n2"
    And the call node "n1" that will pause when claimed
    And the call of key "k" begins at "n1"
    When the call node "n1" stopped for longer than the dispatch limit
    Then the call outcome is "claim_expired ran no"
    And the call upstreams ran 0 calls
    And the call of key "k" at "n2" comes to be "200"

  Scenario: The answer of the claim write is lost
    Guards against a dispatch without a confirmed claim and against a lost call.
    Given the call upstreams "s1"
    And the call nodes "n1, n2"
    And the call faults of the table are {"n_drop_after": 1}
    When the call of key "k" is made at "n1"
    Then the call outcome is "200"
    When the call of key "k" is made at "n2"
    Then the call outcome is "replay"
    And the call upstreams ran 1 calls

  Scenario: The table service is down
    Guards against a non-repeatable call without a claim, and against a safe call
    that needs the table.
    Given the call upstreams "s1"
    And the call nodes "n1"
    And the call faults of the table are {"down": true}
    When the call of key "k" is made at "n1"
    Then the call outcome is "claim_store_unavailable ran no"
    And the call upstreams ran 0 calls
    When the call without a key is made at "n1" with {"method": "GET", "path": "/items/1"}
    Then the call outcome is "200"
    And the call counter service_refusals_total{code="claim_store_unavailable",ran="no"} of "n1" is 1

  Scenario: The table goes down between claim and record
    Guards against a caller that waits for the table although its call was answered.
    Given the call upstreams "s1"
    And the call nodes "n1, n2"
    And the call upstream "s1" is in mode "slow"
    And the call of key "k" begins at "n1"
    When the call upstream "s1" has run it and the table goes down
    Then the call outcome is "200"
    When the call of key "k" is made at "n1"
    Then the call outcome is "claim_store_unavailable ran no"
    When the call faults of the table are {}
    Then the call of key "k" at "n2" comes to be "replay"
    And the call upstreams ran 1 calls

  Scenario: The key of another call
    Guards against the answer to another call.
    Given the call upstreams "s1"
    And the call nodes "n1"
    When the call of key "k" is made at "n1"
    And the call of key "k" is made at "n1" with {"path": "/refunds"}
    Then the call outcome is "idempotency_key_reused ran no"
    And the call upstreams ran 1 calls

  Scenario: An upstream that refuses the connection
    Guards against a failure of a call that certainly did not run and that another
    upstream can take.
    Given the call upstreams "closed1, closed2, s1"
    And the call nodes "n1"
    When the call of key "k" is made at "n1"
    And the call of key "l" is made at "n1"
    Then the call outcome is "200"
    And the call upstreams ran 2 calls

  Scenario: All upstreams refuse the connection
    Guards against a key that stays blocked by a call that did not run.
    Given the call upstreams "closed1, closed2"
    And the call nodes "n1, n2"
    When the call of key "k" is made at "n1"
    Then the call outcome is "upstream_connect ran no"
    When the call of key "k" is made at "n2"
    Then the call outcome is "upstream_connect ran no"
    And the call counter claims_total{outcome="released"} of "n2" is 1

  Scenario: An upstream that breaks off a non-repeatable call
    Guards against a second run at another upstream.
    Given the call upstreams "s1, s2"
    And the call nodes "n1, n2"
    And the call upstream "s1" is in mode "cut"
    And the call upstream "s2" is in mode "cut"
    When the call of key "k" is made at "n1"
    Then the call outcome is "may_have_run ran maybe"
    When the call of key "k" is made at "n2"
    Then the call outcome is "may_have_run ran maybe"
    And the call upstreams ran 1 calls

  Scenario Outline: An upstream that fails a safe call
    Guards against a failure that another upstream would have prevented.
    Given the call upstreams "s1, s2"
    And the call nodes "n1"
    And the call node "n1" has {"leaving": ["s2"]}
    And the call upstream "s1" is in mode "<mode>"
    When the call without a key is made at "n1" with {"method": "GET", "path": "/items/1"}
    Then the call outcome is "<alone>"
    When the call node "n1" has {"leaving": [], "n_retries": 0}
    And the call upstream "s2" is in mode "<mode>"
    And the call without a key is made at "n1" with {"method": "GET", "path": "/items/1"}
    Then the call outcome is "<no budget>"
    When the call node "n1" has {"n_retries": 10}
    And the call without a key is made at "n1" with {"method": "GET", "path": "/items/1"}
    Then the call outcome is "<alone>"
    And the call upstreams ran 4 calls
    And the call counter service_retries_total{reason="<reason>"} of "n1" is 1

    Examples:
      | mode        | alone                   | no budget                        | reason        |
      | cut         | stream_broken ran maybe | retry_budget_exhausted ran maybe | stream_broken |
      | unavailable | 503                     | 503                              | status_503    |

  Scenario: The deadline of a call
    Guards against a call that is held for ever, and against an upstream that works
    on after its caller has gone.
    Given the call upstreams "s1"
    And the call nodes "n1, n2"
    And the call upstream "s1" is in mode "hold"
    When the call of key "k" is made at "n1" with {"deadline_s": 0.8}
    Then the call outcome is "deadline_exceeded ran maybe"
    And the call upstream "s1" received a deadline of at most 800 ms
    When the call of key "k" is made at "n2"
    Then the call outcome is "may_have_run ran maybe"

  Scenario: A caller that goes away
    Guards against a call that ran and has no record because its caller left.
    Given the call upstreams "s1"
    And the call nodes "n1, n2"
    And the call upstream "s1" is in mode "slow"
    When the call of key "k" is made at "n1" with {"cancel_s": 0.5}
    Then the call of key "k" at "n2" comes to be "replay"
    And the call upstreams ran 1 calls

  Scenario: Headers of one hop and internal headers
    Guards against a caller that forges internal headers, a service that learns the
    caller's key, and internal headers that reach callers.
    Given the call upstreams "s1"
    And the call nodes "n1"
    When the call of key "k" is made at "n1" with {"headers": {"authorization": "Bearer x", "x-apricotlift-account": "south", "connection": "x-hop", "x-hop": "1", "te": "trailers", "x-kept": "1"}}
    Then the call upstream "s1" received no header of authorization, x-apricotlift-account, x-hop, te
    And the call answer has no header of x-apricotlift-secret, x-hop, connection

  Scenario: An upstream that is leaving
    Guards against new work for an upstream that is about to stop.
    Given the call upstreams "s1, s2"
    And the call nodes "n1"
    And the call node "n1" has {"leaving": ["s1"]}
    When the call of key "a" is made at "n1"
    And the call of key "b" is made at "n1"
    And the call of key "c" is made at "n1"
    Then the call upstream "s1" ran 0 calls
    And the call upstream "s2" ran 3 calls

  Scenario: The upstream with the fewest calls
    Guards against new calls that queue behind a slow one.
    Given the call upstreams "s1, s2"
    And the call nodes "n1"
    And the call upstream "s1" is in mode "hold"
    And the call node "n1" has {"leaving": ["s2"]}
    And the call of key "a" begins at "n1"
    When the call upstream "s1" holds it and "n1" has no leaving upstream
    And the call of key "b" is made at "n1"
    And the call of key "c" is made at "n1"
    Then the call upstream "s2" ran 2 calls

  Scenario Outline: Calls that are refused before they are sent
    Guards against a call that runs although its rule or its path is in doubt.
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
