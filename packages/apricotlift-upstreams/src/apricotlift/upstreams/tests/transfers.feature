Feature: KV transfers, cache events and orders

  Scenario Outline: A block that has changed in the store is never imported
    # Guards against using blocks that were deleted, replaced, damaged or only partly
    # transferred.
    Given an engine
    And a KV store
    And blocks b1 b2 of salt s are exported
    And the store has the faults <faults>
    When block b1 is imported under salt t
    Then the import of b1 failed because of <reason>
    When a prompt of blocks b1 b2 runs under salt t
    Then 0 tokens were cached

    Examples:
      | faults                                   | reason     |
      | {"corrupt": ["b1"]}                      | digest     |
      | {"corrupt_every": 1}                     | digest     |
      | {"truncate_every": 1}                    | truncated  |
      | {"reuse": ["b1"]}                        | replaced   |
      | {"reuse": ["b1"], "ignore_match": true}  | replaced   |
      | {"lose_everything": true}                | missing    |
      | {"unavailable": true}                    | status_503 |

  Scenario: Exported blocks are imported and used by another engine
    # Guards against recomputing the blocks of a repeated prompt that a store still
    # holds.
    Given an engine
    And a KV store
    And blocks b1 b2 of salt s are exported
    And a second engine
    When block b1 is imported under salt s
    Then the import of b1 succeeded
    When a prompt of blocks b1 b2 runs under salt s
    Then 1000 tokens were cached

  Scenario: A full store is reported for each block
    # Guards against cache hints that refer to copies that were never written.
    Given an engine
    And a KV store
    And the store has the faults {"full": true}
    When blocks b1 b2 of salt s are exported
    Then the export of b1 b2 failed because of full

  Scenario: A transfer that hangs is ended by its time limit
    # Guards against a prompt that waits without limit for blocks from a store.
    Given an engine
    And a KV store
    And blocks b1 b2 of salt s are exported
    And the store has the faults {"delay_s": 60}
    When block b1 is imported under salt t
    Then it fails with upstream_timeout, ran maybe

  Scenario: A block whose id was reused is not deleted
    # Guards against deleting a newer block with the same id.
    Given an engine
    And a KV store
    And blocks b1 b2 of salt s are exported
    And the store has the faults {"reuse": ["b1"]}
    Then deleting b1 by its exported generation is refused
    And deleting b2 by its exported generation succeeds
    And the store's usage shows one block

  Scenario: Gaps, duplicates and restarts in cache events are reported
    # Guards against cache hints that are still used after events were lost or the
    # engine was restarted.
    Given an engine
    And the engine has the faults {"event_gap_every": 2, "event_duplicate_every": 3}
    When 5 prompts of one block each have run
    And the events are followed across a restart of the engine
    Then events 1 3 5 were received once each
    And the gaps were 2-2 4-4
    And 1 duplicate was dropped
    And the restart was reported before the events after it

  Scenario Outline: An order with a stale fencing token
    # Guards against orders of a former lease owner that an engine still accepts. An
    # engine without fencing checks can't refuse them.
    Given an engine with the options --fencing <fencing> --load-s 0.05
    When an order with fence 7 loads wax@v2
    And an order with fence 6 loads wax@v3
    Then <outcome>

    Examples:
      | fencing | outcome                                                |
      | checked | the order was refused with highest fence 7             |
      | ignored | the engine finally has the slots wax@v1 wax@v2 wax@v3  |

  Scenario: The response to an order is lost
    # Guards against treating an order that took effect as not sent.
    Given an engine with the options --load-s 0.05
    And the engine has the faults {"order_answers_lost": true}
    When an order with fence 1 loads wax@v2
    Then it fails with stream_broken, ran maybe
    And the engine finally has the slots wax@v1 wax@v2
