Feature: Rows of the store, spread from a few readers to the other nodes

  Scenario: Only the readers poll the store
    # Guards against a number of calls to the store that grows with the fleet.
    Given 20 nodes that follow a table
    Then 3 nodes poll the store
    When a row is written
    Then all nodes have the row
    And 3 nodes poll the store

  Scenario: All nodes of a small fleet poll the store
    # Guards against a delay by readers where they save hardly any calls.
    Given 12 nodes that follow a table
    Then 12 nodes poll the store

  Scenario Outline: A change reaches all nodes although the readers fail
    # Guards against followers that are out of date for as long as a reader is dead,
    # frozen, or cut off from the store.
    Given 20 nodes that follow a table
    When the readers <failure>
    And a row is written
    Then all nodes but the readers have the row

    Examples:
      | failure                      |
      | don't answer                 |
      | refuse to answer             |
      | get no answer from the store |
      | are refused by the store     |

  Scenario: Nodes that the store refuses stay current
    # Guards against nodes that go out of date although others can reach the store.
    Given 20 nodes that follow a table
    When the followers are refused by the store
    And a row is written
    Then all nodes have the row

  Scenario: An outage of the store is noticed by all nodes
    # Guards against followers that take rows for current which no node could confirm.
    Given 20 nodes that follow a table
    When all nodes are refused by the store
    Then all nodes report that the store fails
    When all nodes are served by the store
    And a row is written
    Then all nodes have the row
    And no node reports that the store fails

  Scenario: Followers ask readers of their own failure domain first
    # Guards against traffic between failure domains that a nearer reader would save.
    Given 20 nodes that follow a table
    Then the readers are in different failure domains
    And followers in the failure domain of a reader ask it first

  Scenario: Rows are not passed on twice
    # Guards against two nodes that take each other for readers and confirm to each other
    # rows that neither has read from the store.
    Given 20 nodes that follow a table
    When a follower is asked for rows
    Then it refuses with table_unavailable

  Scenario: A node that lacks old changes is given the whole table
    # Guards against a deleted row that is used for ever by a node that missed the
    # deletion.
    Given a copy of a table that was read at version 10 with the rows "a, b"
    When the row "a" is deleted at version 12 and "c" is written at version 13
    Then a node at version 11 is given "a deleted, c" as changes
    And a node at version 12 is given "c" as changes
    And a node at version 9 is given "b, c" as the whole table

  Scenario: A table that is read again after a gap in its history
    # Guards against followers of a reader that never hear of a deletion in the gap.
    Given a copy of a table that was read at version 10 with the rows "a, b"
    When the whole table is read at version 20 with the rows "b"
    Then a node at version 10 is given "a deleted" as changes

  Scenario: The pause after a change comes before the next poll
    # Guards against changes that are applied late, and against an age that leaves out
    # the pause.
    Given 20 nodes that follow a table
    When a follower polls for a row that was written, and polls again
    Then it paused before the second poll only

  Scenario: An understated age is impossible
    # Guards against rows that count as current because their reply waited in a buffer.
    Given 20 nodes that follow a table
    When the replies of the readers wait 30 seconds in a buffer
    Then the followers don't use them

  Scenario: All nodes have the rows of a store that comes back from a copy
    # Guards against followers that lose changes for good, because versions that they
    # have seen are given out again.
    Given 20 nodes that follow a table
    When the store comes back without the last row, and 4 rows are written before the next polls
    Then all nodes have these 4 rows and not the lost one

  Scenario: A reader that hasn't seen the new era doesn't serve those that have
    # Guards against rows that go back because a reader is behind.
    Given 20 nodes that follow a table
    When the store comes back without the last row and answers no reader
    Then a follower that has seen it gets no rows of its reader

  Scenario: A copy begins again in a new era
    # Guards against versions of two eras in one copy, which hide changes from followers.
    Given a copy of a table that was read at version 10 with the rows "a, b"
    When the store comes back from a copy, and the whole table of era 2 is read at version 8 with the rows "b, c"
    Then a node at version 10 of era 0 is given "b, c" as the whole table
    And a node at version 7 of era 2 is given "b, c" as the whole table

  Scenario: A node of the previous build is answered in its own terms
    # Guards against connections that end because of a field that the peer doesn't know.
    Given 20 nodes that follow a table
    When a node of a build without eras asks a reader
    Then the reply has no field that it doesn't know
