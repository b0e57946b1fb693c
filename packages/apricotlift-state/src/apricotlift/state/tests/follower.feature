Feature: A node keeps the newest configuration in force

  Background:
    Given a configuration follower and versions 1 to 3 of the configuration

  # Guards against a node that keeps its first version and ignores newer ones.
  Scenario: The configuration follower puts a newer version in force
    When the configuration head is 1 and the follower polls
    Then the configuration in force at the node is 1, confirmed 0 s ago
    When the configuration head is 3 and the follower polls
    Then the configuration in force at the node is 3, confirmed 0 s ago
    And the configuration follower reported versions "1,3" as applied

  # Guards against returning to an old version after a stale read of the table, or a
  # stale answer of a peer.
  Scenario: The configuration follower ignores a lower version
    When the configuration head is 3 and the follower polls
    And the next configuration read returns stale version 2 and the follower polls 1 s later
    Then the configuration in force at the node is 3, confirmed 1 s ago
    And the configuration follower counted a stale head of the "table"
    When the configuration table fails, peers report version 1 with an age of 0 ms and the follower polls 1 s later
    Then the configuration in force at the node is 3, confirmed 2.05 s ago
    And the configuration follower counted a stale head of the "peer"

  # Guards against a code path that puts a lower version in force without comparing
  # versions first.
  Scenario: The configuration follower raises an error instead of going back
    When the configuration head is 3 and the follower polls
    Then putting version 2 of the configuration in force raises an assertion error

  # Guards against treating the answer of a read as fresh although the process was paused
  # during the read, and newer versions may have been accepted in the meantime.
  Scenario: The configuration follower counts a pause during a read as age
    When the configuration head is 1 and the follower polls
    And the configuration follower is paused for 60 s during its next read
    Then the configuration in force at the node is 1, confirmed 60 s ago

  # Guards against a node that stops admitting work although only its connection to the
  # table is lost and its peers know the configuration.
  Scenario: The configuration follower asks peers when the table fails
    When the configuration head is 1 and the follower polls
    And the configuration table fails, peers report version 2 with an age of 700 ms and the follower polls 1 s later
    Then the configuration in force at the node is 2, confirmed 0.75 s ago

  # Guards against a change that can't take effect during an outage of the object store,
  # although peers have the document.
  Scenario: The configuration follower asks peers for the document
    When the configuration head is 1 and the follower polls
    And the configuration object store fails, the head is 2 and the follower polls
    Then the configuration in force at the node is 2, confirmed 0 s ago

  # Guards against a node without table and peers that still counts its version as
  # confirmed.
  Scenario: The configuration follower without table and peers confirms nothing
    When the configuration head is 1 and the follower polls
    And the configuration follower has no table and no peers for 10 s and polls
    Then the configuration in force at the node is 1, confirmed 10 s ago
    And the configuration follower counted failures of "table,peer"

  # Guards against a node that confirms a version in its lease row although it couldn't
  # load the document, because the document is missing or corrupt.
  Scenario Outline: The configuration follower doesn't confirm without the document
    When the configuration head is 1 and the follower polls
    And the configuration document of 2 is <state>, the head is 2 and the follower polls 5 s later
    Then the configuration in force at the node is 1, confirmed 5 s ago
    And the configuration follower noticed version 2

    Examples:
      | state   |
      | missing |
      | corrupt |

  # Guards against overloading the table after an outage, when all nodes read it at the
  # same moment.
  Scenario: The configuration followers spread their reads over two seconds
    Then the configuration polls of 400 nodes after an outage are spread over 2 s
    And the configuration polls of 400 nodes after successful polls are 1 s apart with jitter

  # Guards against a polling loop that ends at the first failure, and against a newer
  # version reported by gossip that is applied only with the next regular poll.
  Scenario: The configuration follower continues after an outage
    When the configuration follower runs through an outage until version 3
    Then the configuration version in force at the node never decreased

  # Guards against a key that is accepted for another account or after its last day, and
  # against an unknown key that is accepted.
  Scenario: The configuration in force identifies callers by their keys
    When the configuration head is 1 and the follower polls
    Then the configuration key "good" belongs to account "atlas" on 2026-12-04
    And the configuration key "good" is refused on 2026-12-05
    And the configuration key "bad" is refused on 2026-12-04
