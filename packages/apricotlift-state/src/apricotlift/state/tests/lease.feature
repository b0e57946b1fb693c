Feature: The lease row of a node
  Guards who is a member, also after lost answers, pauses and restarts.

  Scenario: The lease runs from the start of the write
    Guards against a node that holds its lease longer than others believe.
    Given a membership lease in a table whose writes take 3 s
    When the membership lease is renewed
    Then the membership lease is held for 7 s more

  Scenario Outline: A lost answer doesn't lose the lease
    Guards against a lost lease write answer that stops a healthy node.
    Given a membership lease that is held
    When the next membership write is <fault> and the lease publishes version 9
    Then the membership lease is held for 10 s more
    And the membership row of node-a has confirmed_version 9
    And the membership lease can be renewed

    Examples:
      | fault       |
      | lost after  |
      | lost before |

  Scenario: A delayed write doesn't undo a later one
    Guards against a draining node that appears as serving again.
    Given a membership lease that is held
    When the next membership write is delayed and the lease publishes version 3
    And the membership lease publishes draining
    And the delayed membership write arrives
    Then the membership row of node-a has state draining
    And the membership lease can be renewed

  Scenario: A restart supersedes the earlier process, whatever the wall clock says
    Guards against a restart with an older incarnation and against two processes
    that serve under one node id.
    Given a membership lease that is held
    When node-a starts again with its wall clock an hour back
    Then the new membership incarnation is above the old one
    And the old membership lease is superseded and leaves the row alone

  Scenario: A paused node takes a new incarnation before it holds a lease
    Guards against a frozen node that wakes with its old lease.
    Given a membership lease that is held
    When the process pauses for 60 s and the membership lease notices
    Then the membership lease is not held and has a new incarnation
    And the membership lease can be renewed
    And the membership row of node-a has the new incarnation

  Scenario: A paused node whose id was taken gives up
    Guards against a frozen node that takes the row back from its replacement.
    Given a membership lease that is held
    When node-a starts again with its wall clock an hour back
    And the process pauses for 60 s and the membership lease notices
    Then the old membership lease is superseded and leaves the row alone

  Scenario: A table outage is no pause
    Guards against new incarnations of healthy nodes in every outage.
    Given a membership lease that is held
    When the table is down for 60 s while the membership lease runs
    Then the membership lease is not held and has its old incarnation

  Scenario: A peer renews the lease of a node that can't reach the table
    Guards against a node that is lost with its link to the table alone.
    Given a membership lease that is held and a peer that reaches the table
    When the table is cut off and the membership lease publishes draining
    Then the membership lease is held for 10 s more
    And the membership row of node-a has state draining
    When the table is back for the membership lease
    Then the membership lease can be renewed

  Scenario Outline: A peer refuses a renewal that doesn't hold
    Guards against <fault> that changes the table through a peer.
    Given a membership lease that is held
    When a peer is asked for a membership renewal with <fault>
    Then the membership peer refuses with <code> and the row is unchanged

    Examples:
      | fault                 | code             |
      | an old renewal number | condition_failed |
      | another incarnation   | condition_failed |
      | a row that was left   | condition_failed |
      | a malformed row       | bad_request      |

  Scenario: The row is deleted at the end of a drain and stays deleted
    Guards against a member that left and still counts for acceptance.
    Given a membership lease that is held
    When the next membership write is lost after and the lease is deleted
    And the membership lease is renewed
    Then there is no membership row of node-a

  Scenario: A node whose row was deleted returns with a new incarnation
    Guards against a node that others remember as departed.
    Given a membership lease that is held
    When the membership row of node-a is deleted by another node
    Then the membership lease can be renewed
    And the membership row of node-a has the new incarnation
