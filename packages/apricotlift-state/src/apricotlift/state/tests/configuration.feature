Feature: Changes of the configuration

  Background:
    Given the configuration has version 1 by "ana"

  # Guards against two operators who are both told that their change is committed, when
  # they change the same version at the same time.
  Scenario: Only one of two concurrent configuration changes is committed
    When the configuration change of "bo" is overtaken by "cy" before its write
    Then the configuration is at version 2 by "cy"
    And the configuration change conflicts with version 2 by "cy"

  # Guards against reverting newer changes by a change that is based on an old version.
  Scenario: A configuration change that is based on an old version is refused
    Given the configuration has version 2 by "cy"
    And the configuration has version 3 by "di"
    When the configuration is changed by "bo" from version 1
    Then the configuration is at version 3 by "di"
    And the configuration change conflicts with version 2 by "cy"

  # Guards against reporting a committed change as failed because the answer of the
  # table was lost.
  Scenario: A configuration change whose answer is lost is read back
    When the configuration is changed by "bo" while the answer is "lost"
    Then the configuration change created version 2
    And the configuration is at version 2 by "bo"

  # Guards against giving up on a write that never reached the table, and against
  # committing it twice.
  Scenario: A configuration change whose request is lost is repeated
    When the configuration is changed by "bo" while the answer is "refused"
    Then the configuration change created version 2
    And the configuration is at version 2 by "bo"

  # Guards against reporting success for another operator's version, after the request
  # was lost and the other operator's change took the version number.
  Scenario: A lost configuration change with a competing commit is a conflict
    When the configuration change of "bo" is lost and "cy" commits
    Then the configuration is at version 2 by "cy"
    And the configuration change conflicts with version 2 by "cy"

  # Guards against a change whose outcome can't be determined: after a table outage the
  # operator repeats the command and learns that the change was committed.
  Scenario: A configuration change with an unclear outcome can be repeated
    When the configuration is changed by "bo" and the table fails after the write
    Then the configuration change failed with "table_unclear" and ran "maybe"
    When the table is back and the configuration is changed by "bo" again
    Then the configuration change created version 2
    And the configuration is at version 2 by "bo"

  # Guards against a head that refers to a missing or corrupt document, which no node
  # could load. It would come about by a change that commits after a failed upload.
  Scenario Outline: The configuration head never refers to an unreadable document
    When the configuration is changed by "bo" while <part> fails
    Then the configuration change failed with "<code>" and ran "<ran>"
    And the configuration is at version 1 by "ana"

    Examples:
      | part               | code                | ran   |
      | the table          | table_unavailable   | no    |
      | the object store   | objects_unavailable | maybe |
      | the stored content | object_corrupt      | no    |

  # Guards against a check for retired names that compares only with the version before
  # and misses names that an earlier version retired.
  Scenario: A configuration change with a name retired by any version is refused
    Given the configuration declares weight version "v2" in version 2
    And the configuration declares weight version "v3" in version 3
    When the configuration declares weight version "v1" again
    Then the configuration change failed with "bad_declarations" and ran "no"

  # Guards against a history entry that lacks the author, the message or the changes.
  Scenario: The configuration history contains author, message and changes
    Given the configuration has version 2 by "cy"
    When the configuration history is read
    Then the configuration history is
      | version | author | message     | summary                |
      | 2       | cy     | for cy      | [fleet] burst: 1 -> 2  |
      | 1       | ana    | for ana     | [account atlas] added  |
