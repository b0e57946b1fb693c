Feature: Gossip between members
  Guards what a node knows about other members without reading the table.

  Scenario: All members are proven alive by random exchanges
    Guards against healthy members that are suspected in large clusters and lose their
    shards, because exchanges reach them too rarely.
    Given a gossip cluster of 45 nodes that ran for 10 s
    Then each gossip node has proof of each other one within 5 s
    And all gossip nodes have the same roster

  Scenario: Gossip of 360 members stays within its budget
    Guards against an encoding of heartbeats that takes too many bytes per member.
    Given a gossip cluster of 360 nodes that ran for 3 s
    When the gossip cluster runs for 2 s
    Then a gossip node used less than 12000 bytes a second in both directions

  Scenario: Only the larger side of a partition has a majority
    Guards against a minority that continues to admit work. Also guards against two
    sides that never exchange heartbeats again once they suspect each other.
    Given a gossip cluster of 8 nodes that ran for 5 s
    When gossip nodes 0 to 2 are separated for 60 s
    Then gossip nodes 0 to 2 have no majority and the others have one
    When the gossip partition ends and 30 s pass
    Then each gossip node has proof of each other one within 5 s

  Scenario: A heartbeat that waited in a buffer proves nothing
    Guards against a paused node that counts messages received before the pause as
    proof of a majority.
    Given a gossip cluster of 8 nodes that ran for 5 s
    When only gossip node 1 is paused for 60 s and then reads heartbeats received before
    Then gossip node 1 has no majority

  Scenario: A paused node doesn't pass on old proofs as fresh ones
    Guards against proof of a majority that no longer runs: the members stopped while
    the node that passes on their proofs was frozen.
    Given a gossip cluster of 8 nodes that ran for 5 s
    When all gossip nodes are paused for 60 s and only nodes 0 and 1 resume for 3 s
    Then gossip node 0 has heard 2 of 8 members

  Scenario: An echo of another process's stamp proves nothing
    Guards against a false proof after a machine was replaced by another one with the
    same address, whose clock differs.
    Given a gossip cluster of 8 nodes that ran for 5 s
    When gossip node 0 gets a heartbeat that echoes a stamp of another process
    Then that gossip heartbeat advanced no proof

  Scenario: One member with a newer version stops uncertain nodes
    Guards against uncertain nodes that admit work under an old version although gossip
    reports a newer one.
    Given a gossip cluster of 8 nodes that ran for 5 s
    When gossip node 3 has a newer version and 3 s pass
    Then uncertain admission at gossip node 0 is refused because of the newer version
    And gossip node 0 reports the newer version to its follower

  Scenario: Joins, drains and departures spread without the table
    Guards against a member that is still listed to callers after it left, because the
    departure isn't passed on.
    Given a gossip cluster of 8 nodes that ran for 5 s
    When a new gossip node that knows only node 0 joins and 4 s pass
    Then all gossip nodes know 9 members with the same roster
    When gossip node 2 drains and 4 s pass
    Then all gossip nodes see node 2 as draining
    When gossip node 1 sees in the table that node 2 left, and 4 s pass
    Then all gossip nodes know 8 members with the same roster

  Scenario: More changes than heartbeats carry spread as well
    Guards against rosters that stay different after many members restarted at once.
    Given a gossip cluster of 45 nodes that ran for 5 s
    When 30 gossip nodes restart and 6 s pass
    Then all gossip nodes know 45 members with the same roster

  Scenario: Any well-typed heartbeat is answered
    Guards against an exception on a heartbeat of a faulty peer, with unexpected
    lengths or numbers.
    Given a gossip cluster of 8 nodes that ran for 5 s
    Then 500 random gossip heartbeats are answered by node 0
