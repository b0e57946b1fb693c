Feature: A node's view of the members
  Guards who owns shards and who counts for a majority.

  Scenario Outline: What is older never overrides what is newer
    Guards against a restarted node that its earlier incarnation hides again.
    Given a membership view that knows node-b as <known>
    When <source> tells the membership view of node-b as <told>
    Then the membership view knows node-b as <result>

    Examples:
      | known      | source | told       | result     |
      | 2 serving  | gossip | 1 serving  | 2 serving  |
      | 2 serving  | table  | 1 serving  | 2 serving  |
      | 2 serving  | gossip | 1 draining | 2 serving  |
      | 2 draining | gossip | 2 serving  | 2 draining |
      | 2 serving  | gossip | 2 draining | 2 draining |
      | 2 draining | gossip | 3 serving  | 3 serving  |
      | 2 serving  | gossip | 2 left     | nothing    |
      | 2 serving  | gossip | 1 left     | 2 serving  |
      | 2 left     | gossip | 2 serving  | nothing    |
      | 2 left     | gossip | 3 serving  | 3 serving  |
      | 2 serving  | gossip | x serving  | 2 serving  |

  Scenario: A member whose row is gone leaves, one known by gossip alone stays
    Guards against a left member that counts for majorities, and against a query
    that began before a new member wrote its row.
    Given a membership view that knows node-b as 2 serving
    When the table tells the membership view of node-b as 2 serving
    And gossip tells the membership view of node-c as 1 serving
    And the membership view reads an empty table
    Then the membership view knows node-b as nothing
    And the membership view knows node-c as 1 serving
    When 61 s pass for the membership view
    And the membership view reads an empty table
    Then the membership view knows node-c as nothing

  Scenario: Only the shards of a suspected member move
    Guards against a failure that moves shards of healthy nodes, and against two
    owners in one failure domain.
    Given a membership view of 12 members in 3 failure domains
    When all members but node-05 are heard by the membership view 6 s later
    Then the membership view suspects only node-05
    And of 300 shards only those of node-05 have other owners
    And the membership owners of each shard are in different failure domains

  Scenario: A draining member owns no shards and isn't named to callers
    Guards against new hints at a node that is about to end.
    Given a membership view of 12 members in 3 failure domains
    When node-05 is draining in the membership view
    Then of 300 shards only those of node-05 have other owners
    And the membership view doesn't name node-05 to callers

  Scenario: The majority counts expired members and ignores hints and old proofs
    Guards against a minority that takes itself for a majority.
    Given a membership view of 8 members in 2 failure domains
    When 4 members are proven and 3 only heard by the membership view
    Then the membership majority is 5 of 8
    When 8.1 s pass for the membership view
    Then the membership majority is 1 of 8
