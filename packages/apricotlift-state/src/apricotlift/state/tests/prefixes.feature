Feature: Index of cached prompt prefixes
  Guards against conversations with a common beginning that overwrite each other's
  entries in their shard, against entries that remain after their blocks were dropped,
  and against a late report of an earlier boot that removes the blocks of the current
  one.

  Background:
    Given an index of prefix runs

  Scenario: Two conversations with the same first block keep their entries
    Given holder "e1" of boot "b1" is reported with "root, a1, a2"
    And holder "e1" of boot "b1" is reported with "root, c1"
    Then the chain "root, a1, a2" is found on "e1" with 3 blocks
    And the chain "root, c1, c2" is found on "e1" with 2 blocks

  Scenario: A run ends before a removed block
    Given holder "e1" of boot "b1" is reported with "root, a1, a2"
    When boot "b1" of "e1" drops "a1"
    Then the chain "root, a1, a2" is found on "e1" with 1 blocks

  Scenario: A removal of an earlier boot changes nothing
    Given holder "e1" of boot "b2" is reported with "root, a1"
    When boot "b1" of "e1" drops "root"
    Then the chain "root, a1" is found on "e1" with 2 blocks

  Scenario: The blocks of an earlier boot are discarded
    Given holder "e1" of boot "b1" is reported with "root, a1"
    And holder "e1" of boot "b2" is reported with "root"
    Then the chain "root, a1" is found on "e1" with 1 blocks

  Scenario: A cleared cache removes the holder from all shards
    Given holder "e1" of boot "b1" is reported with "root, a1"
    When boot "b1" of "e1" drops everything
    Then the chain "root, a1" is found nowhere

  Scenario: Blocks of a holder beyond the limit are evicted from the ends of chains
    Given the index stores at most 2 blocks of a holder
    And holder "e1" of boot "b1" is reported with "root, a1, a2"
    Then the chain "root, a1, a2" is found on "e1" with 2 blocks
