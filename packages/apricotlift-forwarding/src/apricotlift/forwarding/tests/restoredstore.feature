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
