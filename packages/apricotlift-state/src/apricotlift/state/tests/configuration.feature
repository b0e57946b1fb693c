Feature: Changes of the configuration

  Background:
    Given the configuration has version 1 by "ana"

  # Guards against: two operators who both believe that their change is in force.
  Scenario: The configuration takes one of two changes that race
    When the configuration change of "bo" is overtaken by "cy" before its write
    Then the configuration is at version 2 by "cy"
    And the configuration change conflicts with version 2 by "cy"

  # Guards against: a change made from an old version that undoes a newer one.
  Scenario: The configuration refuses a change of an operator with an old base
    Given the configuration has version 2 by "cy"
    And the configuration has version 3 by "di"
    When the configuration is changed by "bo" from version 1
    Then the configuration is at version 3 by "di"
    And the configuration change conflicts with version 2 by "cy"

  # Guards against: a committed change that is reported as failed.
  Scenario: The configuration change whose answer is lost is read back
    When the configuration is changed by "bo" while the answer is "lost"
    Then the configuration change made version 2
    And the configuration is at version 2 by "bo"

  # Guards against: giving up on a write that never arrived, or committing it twice.
  Scenario: The configuration change whose request is lost is repeated
    When the configuration is changed by "bo" while the answer is "refused"
    Then the configuration change made version 2
    And the configuration is at version 2 by "bo"

  # Guards against: taking another operator's version for one's own.
  Scenario: The configuration change that is lost and overtaken is a conflict
    When the configuration change of "bo" is lost and "cy" commits
    Then the configuration is at version 2 by "cy"
    And the configuration change conflicts with version 2 by "cy"

  # Guards against: an operator who can't find out what became of a change.
  Scenario: The configuration change that stays unclear can be repeated
    When the configuration is changed by "bo" and the table fails after the write
    Then the configuration change failed with "table_unclear" and ran "maybe"
    When the table is back and the configuration is changed by "bo" again
    Then the configuration change made version 2
    And the configuration is at version 2 by "bo"

  # Guards against: a head without its document, which no node could load.
  Scenario Outline: The configuration head never names a document that is not there
    When the configuration is changed by "bo" while <part> fails
    Then the configuration change failed with "<code>" and ran "<ran>"
    And the configuration is at version 1 by "ana"

    Examples:
      | part               | code                | ran   |
      | the table          | table_unavailable   | no    |
      | the object store   | objects_unavailable | maybe |
      | the stored content | object_corrupt      | no    |

  # Guards against: a rule between versions that only sees the last version.
  Scenario: The configuration refuses names that any earlier version retired
    Given the configuration names weight version "v2" in version 2
    And the configuration names weight version "v3" in version 3
    When the configuration names weight version "v1" again
    Then the configuration change failed with "bad_declarations" and ran "no"

  # Guards against: a history that doesn't say who changed what, and why.
  Scenario: The configuration history names author, message and changes
    Given the configuration has version 2 by "cy"
    When the configuration history is read
    Then the configuration history is
      | version | author | message     | summary                |
      | 2       | cy     | for cy      | [fleet] burst: 1 -> 2  |
      | 1       | ana    | for ana     | [account atlas] added  |
