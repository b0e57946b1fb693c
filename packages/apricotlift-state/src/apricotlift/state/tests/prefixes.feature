Feature: Hints of where prompts are cached
  Guards against conversations with a common beginning that overwrite each other's
  hints, against hints that outlive the blocks they name, and against removals of an
  earlier boot that take away what the present one holds.

  Background:
    Given an index of prefix runs

  Scenario: Two conversations with the same first block keep their hints
    Given holder "e1" of boot "b1" is reported with "root, a1, a2"
    And holder "e1" of boot "b1" is reported with "root, c1"
    Then the chain "root, a1, a2" is found on "e1" with 3 blocks
    And the chain "root, c1, c2" is found on "e1" with 2 blocks

  Scenario: A removed block ends the runs before it
    Given holder "e1" of boot "b1" is reported with "root, a1, a2"
    When boot "b1" of "e1" drops "a1"
    Then the chain "root, a1, a2" is found on "e1" with 1 blocks

  Scenario: A removal of an earlier boot changes nothing
    Given holder "e1" of boot "b2" is reported with "root, a1"
    When boot "b1" of "e1" drops "root"
    Then the chain "root, a1" is found on "e1" with 2 blocks

  Scenario: A new boot holds only what it is reported with
    Given holder "e1" of boot "b1" is reported with "root, a1"
    And holder "e1" of boot "b2" is reported with "root"
    Then the chain "root, a1" is found on "e1" with 1 blocks

  Scenario: A cleared cache removes the holder from all shards
    Given holder "e1" of boot "b1" is reported with "root, a1"
    When boot "b1" of "e1" drops everything
    Then the chain "root, a1" is found nowhere

  Scenario: The number of blocks of a holder is bounded, ends of chains go first
    Given the index keeps 2 blocks of a holder
    And holder "e1" of boot "b1" is reported with "root, a1, a2"
    Then the chain "root, a1, a2" is found on "e1" with 2 blocks
