Feature: Operators' processes on the platform's stand-in

  Background:
    Given a platform process and version 1 of the example "atlas-chaine-cooperative"

  # Guards against: two changes of one version, or a loser who isn't told who won.
  Scenario: One of several operators' processes wins
    When 4 operators' processes apply different changes to version 1 at once
    Then one process committed version 2 and 3 name it as the winner
    And the platform holds 2 versions, the newest with the winner's declarations

  # Guards against: a change that is committed twice, or reported as failed, when
  # the platform's answer is lost after the effect.
  Scenario Outline: A lost answer of the platform is resolved
    When an operator's process applies a change while the platform has "<fault>" 1 time
    Then that process committed version 2
    And the platform holds 2 versions, the newest with the winner's declarations

    Examples:
      | fault          |
      | n_drop_after   |
      | n_error_after  |
      | n_error_before |

  # Guards against: an outage that changes something, or that looks like a conflict.
  Scenario: An outage of the table leaves the configuration as it is
    When an operator's process applies a change while the table is down
    Then that process ends with 6 and says "table_unavailable"
    And the platform holds 1 versions, the newest with the example's declarations

  # Guards against: reporting acceptance before an instance is in force, or while a
  # frozen one holds a lease; and an instance that wakes up, takes an old version for
  # fresh, or goes back.
  Scenario: A change is accepted by processes, one of them frozen and later awake
    Given 3 member processes
    When an operator's process applies "second" to version 1 and waits
    Then that process ends with 0 and says "version 2 is accepted: 3 of 3 members"
    When the member process "m3" is frozen
    And an operator's process applies "third" to version 2 and waits
    Then that process ends with 0 and says "waiting for m3 (a): "
    And that process says "version 3 is accepted: 2 of 3 members confirm it; expired leases: m3"
    When the member process "m3" wakes up
    Then the member process "m3" isn't current when it wakes and then has version 3
    And no member process ever applied a lower version
