Feature: Membership of a node
  Guards how the lease, the member query and gossip work together.

  Scenario: Nodes find each other and a draining one is omitted
    Guards against nodes that know each other only through the live list.
    Given membership nodes a, b and c on one table
    When the membership nodes run until each has proof of the other two
    Then each membership node has a lease row and a majority of 3 of 3
    And after node a drains, the membership of b and c names only b and c to callers
    And after node a leaves, its membership row is gone

  Scenario: A node that can't reach the table renews through a peer
    Guards against a node that is lost with its link to the table alone.
    Given membership nodes a, b and c on one table
    When the membership nodes run and node c loses the table
    Then the membership row of node c is renewed through a peer

  Scenario: A paused node refuses until a read confirms its configuration
    Guards against a frozen node that wakes and admits work.
    Given a membership node with a fake clock and version 4 confirmed
    When the membership clock jumps by 60 s
    Then membership admission is refused with config_uncertain
    When the membership node's version 4 is confirmed again
    Then membership admission is granted as current
    And the membership node has a new incarnation in its view

  Scenario: A node whose id was taken refuses
    Guards against two processes that serve under one node id.
    Given a membership node with a fake clock and version 4 confirmed
    When the membership node hears of a newer incarnation of itself
    Then membership admission is refused with stopping

  Scenario: A row that isn't renewed for four hours is deleted
    Guards against dead members that keep a majority from forming for ever.
    Given a membership node with a fake clock and version 4 confirmed
    And membership rows of node-x and node-y
    When the membership node queries for 3.9 h while node-y renews
    Then the membership rows are node-x and node-y
    When the membership node queries for 0.2 h while node-y renews
    Then the membership rows are node-y
    And the membership node counted 1 deleted row

  Scenario: An outage of the table deletes nobody
    Guards against a table outage after which every row looks abandoned.
    Given a membership node with a fake clock and version 4 confirmed
    And membership rows of node-x and node-y
    When the membership node can't query for 5 h
    Then the membership rows are node-x and node-y

  Scenario: A malformed row is skipped
    Guards against one faulty row that hides all members.
    Given a membership node with a fake clock and version 4 confirmed
    And membership rows of node-x and node-y
    And a membership row of node-z without an incarnation
    When the membership node queries once
    Then the membership view holds node-x and node-y
