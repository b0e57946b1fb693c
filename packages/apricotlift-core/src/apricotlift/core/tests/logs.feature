Feature: Log output that never blocks on its reader

  # Guards against: a node that stops serving because the reader of its log has stopped
  # and the full pipe blocks the writer.
  Scenario: A reader that stops reading doesn't stop the writer
    Given a pipe that nobody reads and a backlog of 4000 bytes
    When 20000 lines are written
    Then the writer was never blocked
    And the reader, once it reads, learns how many lines were dropped

  # Guards against: lines that are truncated when a reader is slow and the pipe takes
  # only a part of a line.
  Scenario: A slow reader gets whole lines
    Given a pipe that nobody reads and a backlog of 4000 bytes
    When 2000 lines are written
    Then the reader, once it reads, finds only whole lines

  # Guards against: a log whose size grows with the load without limit.
  Scenario: Lines beyond the rate are left out and counted
    Given a rate of 10 lines a second with 5 at once
    When 100 lines are requested within a second
    Then at most 15 are written and the others are counted

  # Guards against a log call that raises, or a line that is lost, because of a value that
  # JSON can't hold.
  Scenario Outline: A line with a field that can't be encoded is written without it
    When a line is logged with <value> in a field
    Then the line names its event and the fault of its fields

    Examples:
      | value                       |
      | a number of 5000 digits     |
      | a list nested 100000 deep   |
      | a map with a key of bytes   |
