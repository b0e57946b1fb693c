Feature: Reuse of cache blocks through a store
  Guards against a repeated prompt that is recomputed although a store holds its
  blocks, against the use of blocks of another account, and against a failed fetch
  that makes the answer fail instead of leading to recomputation.

  Background:
    Given accounts "fes, agadir" that may use model "wax"
    And cost weights with which a fetch is always cheaper than recomputation
    And engines "e1"
    And a store "s1"
    And a node "n1"
    And account "fes" has sent a prompt of 6 blocks to "n1"
    And store "s1" holds 6 blocks

  Scenario: A repeated prompt reuses its blocks after its engine lost them
    Given engine "e1" has lost its cache
    When account "fes" sends the prompt of 6 blocks to "n1"
    Then the answer is complete and belongs to the prompt
    And the last attempt on "e1" found 6 blocks in the cache

  Scenario: Another account's identical prompt reuses nothing
    When account "agadir" sends the prompt of 6 blocks to "n1"
    Then the answer is complete and belongs to the prompt
    And the last attempt on "e1" found 0 blocks in the cache
    And no attempt used a block of another account

  Scenario: A store failure only leads to recomputation
    Given engine "e1" has lost its cache
    And store "s1" is unavailable
    When account "fes" sends the prompt of 6 blocks to "n1"
    Then the answer is complete and belongs to the prompt
    And the last attempt on "e1" found 0 blocks in the cache
    And node "n1" counts a failed fetch
