Feature: Membership of a node
  Guards the interaction of the lease, the member query and gossip.

  Scenario: Nodes find each other and a draining one is omitted
    Guards against nodes that depend on the platform's live list to find each other.
    Given membership nodes a, b and c on one table
    When the membership nodes run until each has proof of the other two
    Then each membership node has a lease row and a majority of 3 of 3
    And after node a drains, the membership of b and c lists only b and c to callers
    And after node a leaves, its membership row is gone

  Scenario: A node that can't reach the table renews through a peer
    Guards against a node that loses its lease although only its connection to the
    table is lost and its peers can reach the table.
    Given membership nodes a, b and c on one table
    When the membership nodes run and node c loses the table
    Then the membership row of node c is renewed through a peer

  Scenario: A paused node refuses until a read confirms its configuration
    Guards against a frozen node that resumes and admits work under a configuration that
    may have been replaced in the meantime.
    Given a membership node with a fake clock and version 4 confirmed
    When the membership clock advances by 60 s
    Then membership admission is refused with config_uncertain
    When the membership node's version 4 is confirmed again
    Then membership admission is granted as current
    And the membership node has a new incarnation in its view

  Scenario: A node whose id is used by another process refuses work
    Guards against two processes that serve with the same node id.
    Given a membership node with a fake clock and version 4 confirmed
    When the membership node receives a newer incarnation of itself
    Then membership admission is refused with stopping

  Scenario: A row that isn't renewed for four hours is deleted
    Guards against rows of dead members that are kept forever and prevent a majority.
    Given a membership node with a fake clock and version 4 confirmed
    And membership rows of node-x and node-y
    When the membership node queries for 3.9 h while node-y renews
    Then the membership rows are node-x and node-y
    When the membership node queries for 0.2 h while node-y renews
    Then the membership rows are node-y
    And the membership node counted 1 deleted row

  Scenario: No row is deleted after an outage of the table
    Guards against deleting the rows of live members after a table outage, in which no
    node could renew its row.
    Given a membership node with a fake clock and version 4 confirmed
    And membership rows of node-x and node-y
    When the membership node can't query for 5 h
    Then the membership rows are node-x and node-y

  Scenario: A malformed row is skipped
    Guards against a query that fails at one malformed row, so that no member is known.
    Given a membership node with a fake clock and version 4 confirmed
    And membership rows of node-x and node-y
    And a membership row of node-z without an incarnation
    When the membership node queries once
    Then the membership view holds node-x and node-y

  Scenario Outline: Rows are renewed and read less often in a large fleet
    Guards against calls to the table that grow with the square of the fleet's size, and
    against leases that expire where decisions rest on them.
    Given a membership node among <n> members, whose leases are <use>
    Then it renews its row every <renewal> s and queries the rows every <query> s

    Examples:
      | n   | use        | renewal | query |
      | 8   | not needed | 5       | 15    |
      | 22  | not needed | 11      | 22    |
      | 200 | not needed | 100     | 45    |
      | 200 | needed     | 5       | 15    |

  Scenario: Members whose rows are missing after a restore haven't left
    Guards against live nodes that are dropped by all others, because the table came back
    from a copy of before they started.
    Given a membership node with a fake clock and version 4 confirmed
    And membership rows of node-x and node-y
    When the membership node queries once
    And the table comes back from a copy with only the row of node-x
    And the membership node queries once
    Then the membership view holds node-x and node-y

  Scenario: A member that left after a restore is known to have left
    Guards against members that are kept after their departure, because the table had
    been restored before it.
    Given a membership node with a fake clock and version 4 confirmed
    And membership rows of node-x and node-y
    When the table comes back from a copy with only the row of node-x
    And the membership node queries once
    And node-x deletes its membership row
    And the membership node queries once
    Then the membership view doesn't hold node-x

  Scenario: A row of a member that left comes back
    Guards against a directory that names a dead node, and shares and ranks that count it.
    Given a membership node with a fake clock and version 4 confirmed
    And membership rows of node-x and node-y
    When the membership node queries once
    And node-x deletes its membership row
    And the membership node queries once
    And the membership clock advances by 90 s
    And the table comes back from a copy with only the row of node-x
    And the membership node queries once
    Then the membership node counts only itself as live

  Scenario: Nodes write their rows again after a restore
    Guards against nodes that start after a restore and don't find the others.
    Given membership nodes a, b and c on one table
    When the membership nodes run and the table comes back empty
    Then each membership row is written again within 3 s, with its incarnation
    And each membership node has gone on listing all three to callers
