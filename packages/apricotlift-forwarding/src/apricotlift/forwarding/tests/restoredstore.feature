Feature: A store that comes back from a copy some seconds old

  # Guards against changes that are lost for good, because the version counter has passed
  # the feed's position again before the feed polls.
  Scenario: A table is read as a whole in a new era
    Given a feed that follows a store with the rows "a, b"
    When the store loses the last row and the rows "c, d" are written before the next poll
    Then the feed's table has the rows "a, c, d"

  # Guards against a position of an earlier era that keeps a newer table from being used.
  Scenario: A refresh uses rows of a new era, whatever their version
    Given a feed that follows a store with the rows "a, b"
    When the store loses the last row and the feed is refreshed
    Then the feed's table has the rows "a"

  # Guards against rows of before the restore that are taken for the restored ones.
  Scenario: A poll that was asked in an earlier era doesn't move the position
    Given a feed that follows a store with the rows "a, b"
    When the feed is refreshed in a new era while a poll of the earlier one is open
    And the poll returns the row "old"
    Then the feed's table has the rows "a"
    And the feed's position is version 1 of era 2

  # Guards against a dead poll that is waited for although another call has shown the
  # new era.
  Scenario: A new era ends the open poll
    Given a feed that follows a store with the rows "a, b"
    When the store loses the last row without ending the poll and another call shows it
    Then the feed's table has the rows "a"

  # Guards against a configuration that goes back, and against one that is ignored
  # because its number was known for another content.
  Scenario Outline: A restored or repeated configuration
    Given a node with configuration 7 and the route "h:/a/"
    When the store comes back with configuration <restored> and the route "h:/old/"
    And the operator writes configuration <written> with the route "h:/b/"
    Then configuration <wanted> with the route "<route>" is in force

    Examples:
      | restored | written | wanted | route |
      | 5        | 6       | 7      | h:/a/ |
      | 5        | 7       | 7      | h:/b/ |
      | 5        | 8       | 8      | h:/b/ |

  # Guards against requests to a server that drains or has left, because a restored
  # entry shows it as it was before.
  Scenario Outline: A server that drains or has left stays so
    Given a node with the servers "a, b" at write number 5
    And the entry of "b" <change>
    When the store comes back with the entries of "a, b" at write number <number>
    Then the node uses the servers "<servers>"
    And 10 seconds later it uses "<servers>"

    Examples:
      | change                     | number | servers |
      | reports draining           | 3      | a       |
      | is removed                 | 3      | a       |
      | is removed                 | 5      | a       |
      | is removed                 | 6      | a, b    |
      | is that of another start   | 3      | a       |

  # Guards against a server that is never used again after a restore.
  Scenario: A server that has left counts again when its entry is written in the new era
    Given a node with the servers "a, b" at write number 5
    And the entry of "b" is removed
    When the store comes back with the entries of "a, b" at write number 3
    And the entry of "b" is written at write number 4
    Then the node uses the servers "a, b"

  # Guards against an entry that stays ignored because the table is read as a whole again.
  Scenario: An entry of the new era counts in a later read of the whole table
    Given a node with the servers "a, b" at write number 5
    And the entry of "b" is removed
    When the store comes back with the entries of "a, b" at write number 3
    And the whole table is read again after the entry of "b" was written at write number 4
    Then the node uses the servers "a, b"

  # Guards against orders for engines whose restored entries show replaced weights.
  Scenario: A restored entry doesn't take weights back
    Given a node with the servers "a, b" at write number 5
    And the operator names weight version 2, which all have loaded
    When the store comes back with the entries of "a, b" at write number 3
    Then the node orders no engine to load weights

  # Guards against servers that are dropped because the copy was taken before they came,
  # also where no call to the store has failed.
  Scenario: Servers that the restored table lacks are kept for a while
    Given a node with the servers "a, b" at write number 5
    When the store comes back with the entries of "a" at write number 5
    Then the node uses the servers "a, b"
    And 3 seconds later it uses "a"
