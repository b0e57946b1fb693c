Feature: Orders to load weights

  Background:
    Given 5 engines on version 1 and the nodes "n1, n2"

  # Guards against: engines that keep old weights.
  Scenario: All engines get the named version, a part of them at a time
    When version 2 is named and time passes
    Then every engine was ordered to version 2
    And never more than 2 engines loaded at once
    And all orders had one holder

  # Guards against: two holders of orders at a time.
  Scenario: A holder that is cut off from the store stops, and another goes on later
    Given an engine loads in 2 seconds
    When version 2 is named, the first holder orders once and loses the store
    And time passes
    Then every engine was ordered to version 2
    And orders of two holders are at least 3 seconds apart
    And the second holder has a higher fencing number

  # Guards against: orders of a holder that slept through the end of its lease.
  Scenario: A holder that wakes up after its lease sends nothing
    When version 2 is named, the first holder orders once and sleeps for 6 seconds
    Then orders of two holders are at least 3 seconds apart

  # Guards against: an order that is lost for good.
  Scenario: An order without an answer is repeated
    Given the first order's answer is lost and it isn't carried out
    When version 2 is named and time passes
    Then every engine was ordered to version 2

  # Guards against: a node that was cut off and brings engines back to replaced weights.
  Scenario: A holder with old knowledge reads the store before it orders
    When version 2 is named, "n2" is cut off before any order, and version 3 is named
    And "n2" reaches the store again and all others end
    Then no order named an older version than one before
    And every engine was ordered to version 3
