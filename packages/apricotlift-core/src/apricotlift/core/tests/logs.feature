Feature: Log lines that never wait for their reader

  # Guards against: a node that stops serving because nobody reads its log.
  Scenario: A reader that stops reading doesn't stop the writer
    Given a pipe that nobody reads and a backlog of 4000 bytes
    When 20000 lines are written
    Then the writer was never blocked
    And the reader, once it reads, learns how many lines were dropped

  # Guards against: lines that are cut when a reader is slow.
  Scenario: A slow reader gets whole lines
    Given a pipe that nobody reads and a backlog of 4000 bytes
    When 2000 lines are written
    Then the reader, once it reads, finds only whole lines

  # Guards against: a log that grows with the load without a bound.
  Scenario: Lines beyond the rate are left out and counted
    Given a rate of 10 lines a second with 5 at once
    When 100 lines are asked for within a second
    Then at most 15 are written and the others are counted
