Feature: A node's view of the members
  Guards which members own shards and which count for a majority.

  Scenario Outline: An older summary never replaces a newer one
    Guards against a restarted node that appears in its earlier incarnation or state
    again, after a delayed message.
    Given a membership view that knows node-b as <known>
    When the membership view receives node-b as <told> from <source>
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

  Scenario: A member whose row is missing has left, one known only from gossip stays
    Guards against a member that left and still counts for majorities. Also guards
    against removing a new member by a query that began before it wrote its row.
    Given a membership view that knows node-b as 2 serving
    When the membership view receives node-b as 2 serving from the table
    And the membership view receives node-c as 1 serving from gossip
    And the membership view reads an empty table
    Then the membership view knows node-b as nothing
    And the membership view knows node-c as 1 serving
    When 61 s pass for the membership view
    And the membership view reads an empty table
    Then the membership view knows node-c as nothing

  Scenario: Only the shards of a suspected member move
    Guards against a failure that moves shards of healthy nodes, and against a shard
    with two owners in one failure domain.
    Given a membership view of 12 members in 3 failure domains
    When the membership view hears all members but node-05 6 s later
    Then the membership view suspects only node-05
    And of 300 shards only those of node-05 have other owners
    And the membership owners of each shard are in different failure domains

  Scenario: A draining member owns no shards and isn't listed to callers
    Guards against storing new hints on a node that is about to stop, and against
    directing callers to it.
    Given a membership view of 12 members in 3 failure domains
    When the membership view receives node-05 as draining
    Then of 300 shards only those of node-05 have other owners
    And the membership view doesn't list node-05 to callers

  Scenario: The majority counts expired members and ignores hints and old proofs
    Guards against a minority that counts itself as a majority, because it leaves out
    expired members or counts hints or old proofs.
    Given a membership view of 8 members in 2 failure domains
    When the membership view has proof of 4 members and only hints of 3
    Then the membership majority is 5 of 8
    When 8.1 s pass for the membership view
    Then the membership majority is 1 of 8

  Scenario: A member whose row becomes unusable stays a member
    Guards against a live node that counts as departed, and isn't listed to callers for a
    minute, because another program overwrote its row.
    Given a membership view that knows node-b as 5 serving
    When the membership view receives node-b as 5 serving from the table
    And the membership view reads a table with an unusable row of node-b
    Then the membership view still holds node-b

  Scenario Outline: A summary that can't be used is refused
    Guards against a member with <fault>, which nodes would connect to or name to callers.
    Given a membership view that knows node-b as 5 serving
    When the membership view receives a summary of node-c with <fault>
    Then the membership view doesn't hold node-c

    Examples:
      | fault                               |
      | the caller_address 127.0.0.1:99999  |
      | the caller_address 127.0.0.1        |
      | the peer_address 127.0.0.1:0        |
      | the peer_address \ud800:80          |
      | the failure_domain \ud800           |
      | the incarnation ffffffffffffffffffff |
