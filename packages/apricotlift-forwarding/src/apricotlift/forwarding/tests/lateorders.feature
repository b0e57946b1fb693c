Feature: Orders to engines that don't answer

  # Guards against engines that go back to older weights, because orders for older versions
  # are carried out after newer ones, and engines that wait for a few others.
  Scenario Outline: All engines get the version that was named last
    Given <n> engines that carry out orders 2 to 12 seconds late, in 20 runs
    When versions 2, 3 and 4 are named 6 seconds apart
    Then 23 seconds after the last naming all engines have version 4 in each run
    And no engine has gone back to an older version in any run

    Examples:
      | n  |
      | 3  |
      | 6  |
      | 30 |

  # Guards against orders that state no count, because the entries of the engines don't.
  Scenario: Engines whose entries show no order count don't go back either
    Given 6 engines that carry out orders 2 to 12 seconds late, in 20 runs
    And the entries of the engines show no order count
    When versions 2, 3 and 4 are named 6 seconds apart
    Then 23 seconds after the last naming all engines have version 4 in each run
    And no engine has gone back to an older version in any run

  # Guards against late orders after which too few engines are left to serve.
  Scenario Outline: Orders that are carried out late leave some engines serving
    Given <n> engines that carry out orders 2 to 12 seconds late, in 20 runs
    When versions 2, 3 and 4 are named 6 seconds apart
    Then 23 seconds after the last naming all engines have version 4 in each run
    And never more than <limit> engines loaded at once in any run

    Examples:
      | n  | limit |
      | 3  | 2     |
      | 6  | 5     |
      | 30 | 25    |

  # Guards against more concurrent loads where only the answers to orders are lost.
  Scenario: Orders that are carried out at once without an answer respect the limit
    Given 30 engines that carry out orders 0 to 0 seconds late, in 1 runs
    When version 2 is named
    Then 11 seconds after the last naming all engines have version 2 in each run
    And never more than 10 engines loaded at once in any run

  # Guards against engines that wait while a few others are ordered again each second, and
  # against needless orders, each of which has a price.
  Scenario: Engines that orders don't reach don't hold up the others
    Given 6 engines that carry out orders 0 to 0 seconds late, in 1 runs
    And orders don't reach the first 2 engines
    When version 2 is named
    Then 11 seconds after the last naming the other engines have version 2
    And each of the first 2 engines got 3 to 5 orders

  # Guards against engines that refuse each order, because the order count in their entries
  # is outdated.
  Scenario: An engine whose entry shows an outdated order count gets the named version
    Given 6 engines that carry out orders 0 to 0 seconds late, in 1 runs
    And 2 of the engines have accepted an order that their entries don't show
    When version 2 is named
    Then 11 seconds after the last naming all engines have version 2 in each run
    And at most 2 reports were read

  # Guards against a model that never gets its weights, because orders for another model of
  # the same engine come first.
  Scenario: Orders for two models of an engine take turns
    Given an engine that lacks named weights of the models "a, b"
    When orders are chosen 4 times, 5 seconds apart
    Then the models of the orders are "a, b, a, b"
