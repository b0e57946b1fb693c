Feature: Claims on non-repeatable calls
  Each scenario runs the claims of two or more nodes against a platform stand-in in a
  process of its own.

  Scenario Outline: The same key at two nodes at once
    Guards against two nodes that both dispatch a call.
    Given the claim nodes "n1, n2, n3" with <kind> writes
    When the claim nodes "n1, n2, n3" call keys "a, b, c" at once
    Then the claim key "a" was dispatched 1 times
    And the claim key "b" was dispatched 1 times
    And the claim key "c" was dispatched 1 times
    And the claim key "a" becomes recorded

    Examples:
      | kind    |
      | batched |
      | direct  |

  Scenario: The answer of the claim write is lost
    Guards against a call that is refused although its claim is in the table, and
    against a claim that then blocks the key.
    Given the claim nodes "n1, n2" with batched writes
    And the claim faults of the table are {"n_drop_after": 1}
    When the claim node "n1" calls key "a"
    Then the claim outcomes are "dispatched"
    When the claim node "n2" calls key "a"
    Then the claim outcomes are "replay of 3 bytes"

  Scenario: The claim write is answered 500 and had no effect
    Guards against a dispatch without a claim.
    Given the claim nodes "n1, n2" with batched writes
    And the claim faults of the table are {"n_error_before": 1}
    When the claim node "n1" calls key "a"
    Then the claim outcomes are "claim_store_unavailable ran no"
    And the claim key "a" was dispatched 0 times
    When the claim node "n2" calls key "a"
    Then the claim outcomes are "dispatched"

  Scenario: The claim write and its read-back are unclear
    Guards against a key that stays blocked by a call that was refused as not run.
    Given the claim nodes "n1, n2" with batched writes
    And the claim faults of the table are {"n_drop_after": 1, "reads_down": true}
    When the claim node "n1" calls key "a"
    Then the claim outcomes are "claim_store_unavailable ran no"
    When the claim faults of the table are {}
    Then the claim key "a" becomes free
    When the claim node "n2" calls key "a"
    Then the claim outcomes are "dispatched"

  Scenario: The claim write takes effect after its call was refused
    Guards against a late claim that nobody releases.
    Given the claim nodes "n1, n2" with batched writes
    And the claim faults of the table are {"delay_s": 2.0, "delay_writes_only": true}
    When the claim node "n1" calls key "a"
    Then the claim outcomes are "claim_store_unavailable ran no"
    When the claim faults of the table are {}
    Then the claim key "a" becomes claimed
    And the claim key "a" becomes free
    And the claim key "a" was dispatched 0 times

  Scenario: The store is down
    Guards against a dispatch without a claim, and against refusals that go on after
    the outage.
    Given the claim nodes "n1" with batched writes
    And the claim faults of the table are {"down": true}
    When the claim node "n1" calls key "a"
    Then the claim outcomes are "claim_store_unavailable ran no"
    And the claim key "a" was dispatched 0 times
    When the claim faults of the table are {}
    And the claim node "n1" calls key "a"
    Then the claim outcomes are "dispatched"

  Scenario: The key of another call
    Guards against an answer to another call than the one that was made.
    Given the claim nodes "n1, n2" with batched writes
    And the claim node "n1" called key "a"
    When the claim node "n2" sends body "other" under key "a"
    Then the claim outcomes are "idempotency_key_reused ran no"

  Scenario: A claim without a record
    Guards against a second dispatch while the first may have run.
    Given the claim nodes "n1, n2" with batched writes
    And the claim node "n1" dispatched key "a"
    When the claim node "n2" calls key "a"
    Then the claim outcomes are "in_progress ran maybe"
    When the claim node "n1" calls key "a"
    Then the claim outcomes are "in_progress ran maybe"
    Given the claim node "n1" is lost
    When the claim node "n2" calls key "a"
    Then the claim outcomes are "may_have_run ran maybe"

  Scenario: The upstream's answer was lost
    Guards against a repeat that is told to wait for a result that will never come.
    Given the claim nodes "n1, n2" with batched writes
    And the claim node "n1" dispatched key "a"
    When the claim node "n1" records that the answer of key "a" was lost
    And the claim node "n2" calls key "a"
    Then the claim outcomes are "may_have_run ran maybe"

  Scenario: An owner that is paused between claim and dispatch
    Guards against the dispatch of a call that others have taken for lost.
    Given the claim nodes "n1, n2" with batched writes
    And the claim node "n1" holds key "a"
    When the claim boot clock of "n1" advances 5.1 s
    And the claim node "n1" dispatches key "a"
    Then the claim outcomes are "claim_expired ran no"
    And the claim key "a" becomes free
    When the claim node "n2" calls key "a"
    Then the claim outcomes are "dispatched"

  Scenario: A second dispatch under one token
    Guards against a fault of the program that would send a call twice.
    Given the claim nodes "n1" with batched writes
    And the claim node "n1" dispatched key "a"
    When the claim node "n1" dispatches key "a"
    Then the claim outcomes are "stopped"
    And the claim key "a" was dispatched 1 times

  Scenario: A key expires 30 days after its record
    Guards against a key that is used up for ever, and against two nodes that both
    replace the expired row.
    Given the claim nodes "n1, n2, n3" with direct writes
    And the claim node "n1" called key "a"
    When the claim wall clock of "n1, n2, n3" advances 29.9 days
    And the claim node "n2" calls key "a"
    Then the claim outcomes are "replay of 3 bytes"
    And the claim key "a" was dispatched 1 times
    When the claim wall clock of "n1, n2, n3" advances 0.2 days
    And the claim nodes "n1, n2, n3" call keys "a" at once
    Then the claim key "a" was dispatched 2 times

  Scenario: A claim without a record doesn't expire
    Guards against a second run of a call whose outcome nobody knows.
    Given the claim nodes "n1, n2" with batched writes
    And the claim node "n1" dispatched key "a"
    And the claim node "n1" is lost
    When the claim wall clock of "n2" advances 400 days
    And the claim node "n2" calls key "a"
    Then the claim outcomes are "may_have_run ran maybe"

  Scenario Outline: Where a result is kept
    Guards against rows that outgrow the table's limit, and results that differ.
    Given the claim nodes "n1, n2" with batched writes
    And the claim node "n1" dispatched key "a"
    When the claim node "n1" records <n> bytes for key "a"
    Then the claim platform has <n_objects> objects
    When the claim node "n2" calls key "a"
    Then the claim outcomes are "replay of <n> bytes"

    Examples:
      | n      | n_objects |
      | 65536  | 0         |
      | 65537  | 1         |
      | 300000 | 1         |

  Scenario Outline: A platform outage between dispatch and record
    Guards against a result that is lost, or that a repeat must wait for.
    Given the claim nodes "n1, n2" with batched writes
    And the claim node "n1" dispatched key "a"
    And the claim faults of the <part> are {"writes_down": true}
    When the claim node "n1" records 70000 bytes for key "a"
    And the claim node "n1" calls key "a"
    Then the claim outcomes are "replay of 70000 bytes"
    When the claim node "n2" calls key "a"
    Then the claim outcomes are "in_progress ran maybe"
    When the claim faults of the <part> are {}
    Then the claim key "a" becomes recorded
    When the claim node "n2" calls key "a"
    Then the claim outcomes are "replay of 70000 bytes"

    Examples:
      | part    |
      | table   |
      | objects |

  Scenario: A batch with keys that others have
    Guards against a conflicting claim that fails or repeats the claims beside it.
    Given the claim nodes "n1, n2" with batched writes
    And the claim node "n2" called key "many-3"
    And the claim node "n2" called key "many-7"
    When the claim node "n1" calls 40 keys at once
    Then the claim key "many-3" was dispatched 1 times
    And the claim key "many-7" was dispatched 1 times
    And the claim key "many-8" was dispatched 1 times
    And the claim platform wrote 80 rows
    And the claim platform took at most 20 transactions for them
    And the claim platform read 2 rows for them

  Scenario: The answer of a whole batch is lost
    Guards against claims that block their keys after a lost answer.
    Given the claim nodes "n1" with batched writes
    And the claim faults of the table are {"n_drop_after": 1}
    When the claim node "n1" calls 40 keys at once
    Then all 40 claim outcomes are "dispatched"

  Scenario: The table refuses a write
    Guards against calls that fail for a refusal that lasts a moment.
    Given the claim nodes "n1" with batched writes
    And the claim faults of the table are {"n_throttle": 1}
    When the claim node "n1" calls key "a"
    Then the claim outcomes are "dispatched"

  Scenario: The table limits the rate of writes
    Guards against a throttled write that is taken for an applied one.
    Given the claim nodes "n1" with batched writes
    And the claim faults of the table are {"writes_per_s": 40}
    When the claim node "n1" calls 30 keys at once
    Then all 30 claim outcomes are "dispatched"
    And the claim key "many-29" becomes recorded

  Scenario Outline: Random faults of the table
    Guards against orders of lost answers and errors that no other scenario names.
    Given the claim nodes "n1, n2, n3" with <kind> writes
    When the claim nodes call 40 keys under random faults with seed <seed>
    Then no claim key was dispatched twice and each dispatched one is recorded

    Examples:
      | kind    | seed |
      | direct  | 1    |
      | direct  | 2    |
      | batched | 3    |
      | batched | 4    |
