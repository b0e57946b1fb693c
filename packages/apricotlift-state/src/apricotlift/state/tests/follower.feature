Feature: A node follows the configuration

  Background:
    Given a configuration follower and versions 1 to 3 of the configuration

  # Guards against: a node that stays at its first version.
  Scenario: The configuration follower puts a newer version in force
    When the configuration head is 1 and the follower polls
    Then the configuration in force at the node is 1, confirmed 0 s ago
    When the configuration head is 3 and the follower polls
    Then the configuration in force at the node is 3, confirmed 0 s ago
    And the configuration follower told the lease row of versions "1,3"

  # Guards against: a stale reader that brings an old version back.
  Scenario: The configuration follower ignores a lower version
    When the configuration head is 3 and the follower polls
    And the configuration table is stale at 2 and the follower polls 1 s later
    Then the configuration in force at the node is 3, confirmed 1 s ago
    And the configuration follower counted a stale head of the "table"
    When the configuration table fails, peers know version 1 as of 0 ms and the follower polls 1 s later
    Then the configuration in force at the node is 3, confirmed 2.05 s ago
    And the configuration follower counted a stale head of the "peer"

  # Guards against: a code path around the comparison of versions.
  Scenario: The configuration follower stops rather than go back
    When the configuration head is 3 and the follower polls
    Then putting version 2 of the configuration in force is refused as a fault

  # Guards against: an answer that was read before a pause and counts as fresh after
  # it, although other versions were accepted meanwhile.
  Scenario: The configuration follower that is paused during a read isn't fresh
    When the configuration head is 1 and the follower polls
    And the configuration follower is paused for 60 s during its next read
    Then the configuration in force at the node is 1, confirmed 60 s ago

  # Guards against: a node that stops serving when only its way to the table is cut.
  Scenario: The configuration follower asks peers when the table fails
    When the configuration head is 1 and the follower polls
    And the configuration table fails, peers know version 2 as of 700 ms and the follower polls 1 s later
    Then the configuration in force at the node is 2, confirmed 0.75 s ago

  # Guards against: an outage of the object store that blocks a change.
  Scenario: The configuration follower asks peers for the document
    When the configuration head is 1 and the follower polls
    And the configuration object store fails, the head is 2 and the follower polls
    Then the configuration in force at the node is 2, confirmed 0 s ago

  # Guards against: a node cut off from everything that goes on as if confirmed.
  Scenario: The configuration follower without table and peers confirms nothing
    When the configuration head is 1 and the follower polls
    And the configuration follower is cut off for 10 s and polls
    Then the configuration in force at the node is 1, confirmed 10 s ago
    And the configuration follower counted failures of "table,peer"

  # Guards against: confirming a version whose document the node doesn't have.
  Scenario Outline: The configuration follower doesn't confirm without the document
    When the configuration head is 1 and the follower polls
    And the configuration document of 2 is <state>, the head is 2 and the follower polls 5 s later
    Then the configuration in force at the node is 1, confirmed 5 s ago
    And the configuration follower noticed version 2

    Examples:
      | state   |
      | missing |
      | corrupt |

  # Guards against: all nodes that read the table at the same moment after an outage.
  Scenario: The configuration followers come back spread over two seconds
    Then the configuration polls of 400 nodes after an outage are spread over 2 s
    And the configuration polls of 400 nodes in good times are 1 s apart with jitter

  # Guards against: a loop that ends at the first failure, or a notice of a newer
  # version that waits for the next poll.
  Scenario: The configuration follower runs through an outage
    When the configuration follower runs through an outage until version 3
    Then the configuration in force at the node never went down

  # Guards against: a key that works for another account or after its last day.
  Scenario: The configuration in force knows the callers' keys
    When the configuration head is 1 and the follower polls
    Then the configuration key "good" belongs to account "atlas" on 2026-12-04
    And the configuration key "good" is refused on 2026-12-05
    And the configuration key "bad" is refused on 2026-12-04
