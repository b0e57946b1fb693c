Feature: Claims on non-idempotent calls
  Each scenario runs the claims of one or more nodes against a platform stand-in,
  which is a separate process.

  Scenario Outline: The same key at two nodes at once
    Guards against a call that runs twice because several nodes claim its key
    concurrently.
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
    The claim is written, but the connection breaks before the answer arrives. Guards
    against a refusal of the call although its claim is in the table, which would also
    leave the key blocked.
    Given the claim nodes "n1, n2" with batched writes
    And the claim faults of the table are {"n_drop_after": 1}
    When the claim node "n1" calls key "a"
    Then the claim outcomes are "dispatched"
    When the claim node "n2" calls key "a"
    Then the claim outcomes are "replay of 3 bytes"

  Scenario: The claim write is answered 500 and had no effect
    Guards against a dispatch without a claim, and against a key that stays blocked
    by the claim that was not written.
    Given the claim nodes "n1, n2" with batched writes
    And the claim faults of the table are {"n_error_before": 1}
    When the claim node "n1" calls key "a"
    Then the claim outcomes are "claim_store_unavailable ran no"
    And the claim key "a" was dispatched 0 times
    When the claim node "n2" calls key "a"
    Then the claim outcomes are "dispatched"

  Scenario: The answer of the claim write is lost and the row can't be read
    The call is refused as not run, while its claim is in the table. Guards against a
    claim that is not released and blocks the key for ever.
    Given the claim nodes "n1, n2" with batched writes
    And the claim faults of the table are {"n_drop_after": 1, "reads_down": true}
    When the claim node "n1" calls key "a"
    Then the claim outcomes are "claim_store_unavailable ran no"
    When the claim faults of the table are {}
    Then the claim key "a" becomes free
    When the claim node "n2" calls key "a"
    Then the claim outcomes are "dispatched"

  Scenario: The claim write takes effect after its call was refused
    The write reaches the table 2 s late, after its call has timed out. Guards against
    a late claim that is never released.
    Given the claim nodes "n1, n2" with batched writes
    And the claim faults of the table are {"delay_s": 2.0, "delay_writes_only": true}
    When the claim node "n1" calls key "a"
    Then the claim outcomes are "claim_store_unavailable ran no"
    When the claim faults of the table are {}
    Then the claim key "a" becomes claimed
    And the claim key "a" becomes free
    And the claim key "a" was dispatched 0 times

  Scenario: The table is down
    Guards against a dispatch without a claim, and against refusals that continue
    after the outage.
    Given the claim nodes "n1" with batched writes
    And the claim faults of the table are {"down": true}
    When the claim node "n1" calls key "a"
    Then the claim outcomes are "claim_store_unavailable ran no"
    And the claim key "a" was dispatched 0 times
    When the claim faults of the table are {}
    And the claim node "n1" calls key "a"
    Then the claim outcomes are "dispatched"

  Scenario: A key is used again for a different call
    Guards against a replay of the recorded result to a call with another body.
    Given the claim nodes "n1, n2" with batched writes
    And the claim node "n1" called key "a"
    When the claim node "n2" sends body "other" under key "a"
    Then the claim outcomes are "idempotency_key_reused ran no"

  Scenario: A claimed call without a recorded result
    The call was dispatched, and its result is not recorded. Guards against a second
    dispatch, both while the owner of the claim runs and after its failure.
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
    Guards against a retry that is told to wait for a result that will never arrive.
    Given the claim nodes "n1, n2" with batched writes
    And the claim node "n1" dispatched key "a"
    When the claim node "n1" records that the answer of key "a" was lost
    And the claim node "n2" calls key "a"
    Then the claim outcomes are "may_have_run ran maybe"

  Scenario: A node is paused between claim and dispatch
    Guards against a late dispatch, after the other nodes have come to regard the
    node as failed and its call as one that may have run.
    Given the claim nodes "n1, n2" with batched writes
    And the claim node "n1" holds key "a"
    When the claim boot clock of "n1" advances 5.1 s
    And the claim node "n1" dispatches key "a"
    Then the claim outcomes are "claim_expired ran no"
    And the claim key "a" becomes free
    When the claim node "n2" calls key "a"
    Then the claim outcomes are "dispatched"

  Scenario: A claim is dispatched twice
    Guards against a programming error that would send a call twice.
    Given the claim nodes "n1" with batched writes
    And the claim node "n1" dispatched key "a"
    When the claim node "n1" dispatches key "a"
    Then the claim outcomes are "protocol error"
    And the claim key "a" was dispatched 1 times

  Scenario: A key expires 30 days after its result was recorded
    Guards against a key that can never be used again, and against a call that runs
    twice because several nodes replace the expired row concurrently.
    Given the claim nodes "n1, n2, n3" with direct writes
    And the claim node "n1" called key "a"
    When the claim wall clock of "n1, n2, n3" advances 29.9 days
    And the claim node "n2" calls key "a"
    Then the claim outcomes are "replay of 3 bytes"
    And the claim key "a" was dispatched 1 times
    When the claim wall clock of "n1, n2, n3" advances 0.2 days
    And the claim nodes "n1, n2, n3" call keys "a" at once
    Then the claim key "a" was dispatched 2 times

  Scenario: A claim without a recorded result doesn't expire
    Guards against a second run of a call whose outcome is unknown.
    Given the claim nodes "n1, n2" with batched writes
    And the claim node "n1" dispatched key "a"
    And the claim node "n1" is lost
    When the claim wall clock of "n2" advances 400 days
    And the claim node "n2" calls key "a"
    Then the claim outcomes are "may_have_run ran maybe"

  Scenario Outline: Where a result is kept
    A body above 65536 bytes is stored as an object. Guards against rows that exceed
    the table's limit, and against replays that differ from the result.
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
    Guards against a result that is lost because it can't be written, and against a
    retry at the same node that doesn't get the result before it is written.
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

  Scenario: A batch contains keys that another node has claimed
    A claim whose condition fails cancels the whole transaction. Guards against other
    claims of the batch that fail, or are sent one by one, because of it.
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
    The batch is written, but its answer is lost. Guards against claims that are taken
    for unwritten and block their keys.
    Given the claim nodes "n1" with batched writes
    And the claim faults of the table are {"n_drop_after": 1}
    When the claim node "n1" calls 40 keys at once
    Then all 40 claim outcomes are "dispatched"

  Scenario: The table throttles one write
    Guards against calls that fail because the table throttles for a moment.
    Given the claim nodes "n1" with batched writes
    And the claim faults of the table are {"n_throttle": 1}
    When the claim node "n1" calls key "a"
    Then the claim outcomes are "dispatched"

  Scenario: The table limits the rate of writes
    Guards against a throttled write that is treated as applied.
    Given the claim nodes "n1" with batched writes
    And the claim faults of the table are {"writes_per_s": 40}
    When the claim node "n1" calls 30 keys at once
    Then all 30 claim outcomes are "dispatched"
    And the claim key "many-29" becomes recorded

  Scenario Outline: Random faults of the table
    Guards against calls that run twice, or results that are not recorded, under
    sequences of lost answers and errors that the other scenarios don't cover.
    Given the claim nodes "n1, n2, n3" with <kind> writes
    When the claim nodes call 40 keys under random faults with seed <seed>
    Then no claim key was dispatched twice and each dispatched one is recorded

    Examples:
      | kind    | seed |
      | direct  | 1    |
      | direct  | 2    |
      | batched | 3    |
      | batched | 4    |
