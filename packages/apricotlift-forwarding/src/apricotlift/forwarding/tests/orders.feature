Feature: Orders to engines to load weights

  Background:
    Given 5 engines on version 1 and the nodes "n1, n2"

  # Guards against engines that are never ordered to load the new version, and against
  # all engines loading at once.
  Scenario: All engines load the named version, a share of them at a time
    When version 2 is named and time passes
    Then every engine has loaded version 2
    And never more than 2 engines loaded at once
    And all orders came from one lease holder

  # Guards against two lease holders that send orders at the same time.
  Scenario: A lease holder without access to the store stops, and another takes over
    Given an engine loads in 2 seconds
    When version 2 is named and the lease holder loses the store after its first order
    And time passes
    Then every engine has loaded version 2
    And orders of two lease holders are at least 3 seconds apart
    And the second lease holder has a higher fencing number

  # Guards against orders of a lease holder that was suspended until after the end of
  # its lease.
  Scenario: A lease holder that resumes after its lease expired sends no orders
    When version 2 is named and the lease holder sleeps 6 seconds after its first order
    Then orders of two lease holders are at least 3 seconds apart

  # Guards against an engine that stays outdated because an order was lost.
  Scenario: An order without an answer is sent again
    Given the first order is lost without an answer
    When version 2 is named and time passes
    Then every engine has loaded version 2

  # Guards against a node that was disconnected, acquires the lease and orders engines
  # back to a version that has been replaced meanwhile.
  Scenario: A lease holder with outdated state reads the store before it orders
    When "n2" is disconnected before any order while versions 2 and 3 are named
    And "n2" is connected again and all other nodes end
    Then no order named an older version than one before
    And every engine has loaded version 3

  # Guards against engines that are never ordered, because those ordered before them become
  # outdated again with each further version.
  Scenario: Engines with the oldest weights are ordered first
    Given an engine loads in 2 seconds
    When versions 2 to 9 are named 2.5 seconds apart and 1 seconds pass
    Then no engine is on version 1
