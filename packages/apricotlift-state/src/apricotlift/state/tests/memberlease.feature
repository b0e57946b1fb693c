Feature: The lease row of a node
  Guards which process holds a node's lease row, also after lost answers, pauses and
  restarts.

  Scenario: The lease runs from the start of the write
    Guards against a node that counts its lease from the end of a slow write, and so
    longer than the other nodes do.
    Given a membership lease in a table whose writes take 3 s
    When the membership lease is renewed
    Then the membership lease is held for 7 s more

  Scenario Outline: A lost answer doesn't lose the lease
    Guards against a healthy node that loses its lease because the answer to a lease
    write was lost.
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
    Guards against a draining node that appears as serving again, after a delayed write
    of its earlier state arrives.
    Given a membership lease that is held
    When the next membership write is delayed and the lease publishes version 3
    And the membership lease publishes draining
    And the delayed membership write arrives
    Then the membership row of node-a has state draining
    And the membership lease can be renewed

  Scenario: A restart supersedes the earlier process, whatever the wall clock says
    Guards against a restarted process with an older incarnation than before, and
    against two processes that serve with the same node id.
    Given a membership lease that is held
    When node-a starts again with its wall clock an hour back
    Then the new membership incarnation is above the old one
    And the old membership lease is superseded and leaves the row alone

  Scenario: A paused node takes a new incarnation before it holds a lease
    Guards against a frozen node that resumes with its expired lease.
    Given a membership lease that is held
    When the process pauses for 60 s and the membership lease detects it
    Then the membership lease is not held and has a new incarnation
    And the membership lease can be renewed
    And the membership row of node-a has the new incarnation

  Scenario: A paused node whose id is used by another process is superseded
    Guards against a frozen node that resumes and takes the row back from the process
    that replaced it.
    Given a membership lease that is held
    When node-a starts again with its wall clock an hour back
    And the process pauses for 60 s and the membership lease detects it
    Then the old membership lease is superseded and leaves the row alone

  Scenario: A table outage is no pause
    Guards against healthy nodes that treat a table outage as a pause and take a new
    incarnation.
    Given a membership lease that is held
    When the table is down for 60 s while the membership lease runs
    Then the membership lease is not held and has its old incarnation

  Scenario: A peer renews the lease of a node that can't reach the table
    Guards against a node that loses its lease although only its connection to the
    table is lost and its peers can reach the table.
    Given a membership lease that is held and a peer that reaches the table
    When the table is cut off and the membership lease publishes draining
    Then the membership lease is held for 10 s more
    And the membership row of node-a has state draining
    When the table is back for the membership lease
    Then the membership lease can be renewed

  Scenario Outline: A peer refuses an invalid renewal
    Guards against a renewal with <fault> that is written through a peer.
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
    Guards against a member that left and is still counted for the acceptance of a
    configuration, because its row was kept or written again.
    Given a membership lease that is held
    When the next membership write is lost after and the lease is deleted
    And the membership lease is renewed
    Then there is no membership row of node-a

  Scenario: A node whose row was deleted returns with a new incarnation
    Guards against a node that other nodes ignore, because they have recorded the
    departure of its incarnation.
    Given a membership lease that is held
    When the membership row of node-a is deleted by another node
    Then the membership lease can be renewed
    And the membership row of node-a has the new incarnation

  Scenario Outline: An unusable row of the node is written again
    Guards against a node that ends, or counts as superseded, because another program
    overwrote its row with <fault>.
    Given a membership lease that is held
    When another program writes the membership row of node-a with <fault>
    Then the membership lease can be renewed
    And the membership row of node-a is usable again

    Examples:
      | fault                              |
      | no values                          |
      | the renewal "x"                    |
      | the renewal 2**70                  |
      | the renewal -1                     |
      | the incarnation "zz"               |
      | the incarnation "f" * 20           |
      | the incarnation 7                  |
      | the peer_address "127.0.0.1:99999" |
      | the state "\ud800"                 |

  Scenario Outline: A node starts although its row is unusable
    Guards against a node that ends at each start because its row has <fault>.
    Given a membership lease in a table whose writes take 0 s
    When another program writes the membership row of node-a with <fault>
    Then the membership lease can be renewed
    And the membership row of node-a is usable again

    Examples:
      | fault                    |
      | no values                |
      | the renewal "x"          |
      | the incarnation "zz"     |
      | the incarnation "f" * 20 |

  Scenario Outline: A row that was restored from a copy is written again
    Guards against a running node that gives up its row, or appears as another process,
    because the table came back from a copy.
    Given a membership lease that is held
    When the membership lease publishes draining
    And the table comes back with <row> of node-a
    And the membership lease is renewed
    Then the membership row of node-a has state draining
    And the membership lease keeps its incarnation
    And the membership lease can be renewed

    Examples:
      | row                                 |
      | no row                              |
      | an earlier row                      |
      | the row of an earlier process       |
