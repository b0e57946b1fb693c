Feature: Acceptance of a committed configuration

  # Guards against: reporting acceptance while a frozen instance could still wake up
  # and serve under the old configuration.
  Scenario: The configuration acceptance waits for a frozen member's lease
    Given the configuration members
      | node | confirms | renews |
      | n1   | 2        | yes    |
      | n2   | 2        | yes    |
      | n3   | 1        | no     |
    When the configuration acceptance of version 2 is awaited for 30 s
    Then the configuration is accepted after 12.0 s at the earliest
    And the configuration acceptance reported that it waits for "n3"
    And the configuration acceptance took "n3" for expired

  # Guards against: taking a member for expired that renews its lease but doesn't
  # follow the configuration.
  Scenario: The configuration is not accepted while a live member is behind
    Given the configuration members
      | node | confirms | renews |
      | n1   | 2        | yes    |
      | n2   | 2        | yes    |
      | n3   | 1        | yes    |
    When the configuration acceptance of version 2 is awaited for 60 s
    Then the configuration is not accepted and waits for "n3"

  # Guards against: a minority that accepts while the majority, cut off from the
  # table, serves the old version among themselves.
  Scenario: The configuration is not accepted without a majority of all members
    Given the configuration members
      | node | confirms | renews |
      | n1   | 2        | yes    |
      | n2   | 2        | yes    |
      | n3   | 1        | no     |
      | n4   | 1        | no     |
    When the configuration acceptance of version 2 is awaited for 60 s
    Then the configuration is not accepted and waits for ""

  # Guards against: a renewal just before the end of the watch that is overlooked.
  Scenario: The configuration acceptance watches a lease anew after each renewal
    Given the configuration members
      | node | confirms | renews   |
      | n1   | 2        | yes      |
      | n2   | 2        | yes      |
      | n3   | 1        | at 11 s  |
    When the configuration acceptance of version 2 is awaited for 60 s
    Then the configuration is accepted after 23.0 s at the earliest

  # Guards against: counting the time in which the table could not be read, or a
  # slow read, as time without renewal.
  Scenario: The configuration acceptance survives an outage of the table
    Given the configuration members
      | node | confirms | renews |
      | n1   | 2        | yes    |
      | n2   | 1        | yes    |
    And the configuration table is down from 3 s to 20 s
    When the configuration acceptance of version 2 is awaited for 40 s
    Then the configuration is not accepted and waits for "n2"
    And the configuration acceptance reported the outage

  # Guards against: "accepted" for a fleet that has never started.
  Scenario: The configuration is not accepted without any member
    Given the configuration members
      | node | confirms | renews |
    When the configuration acceptance of version 2 is awaited for 1 s
    Then the configuration is not accepted and waits for ""

  # Guards against: waiting for ever for an instance that left in good order.
  Scenario: The configuration acceptance forgets a member that deleted its row
    Given the configuration members
      | node | confirms | renews    |
      | n1   | 2        | yes       |
      | n2   | 1        | until 3 s |
    When the configuration acceptance of version 2 is awaited for 10 s
    Then the configuration is accepted after 3.0 s at the earliest

  # Guards against: reporting acceptance while a member that lost the table still
  # admits work, because it heard the others just before they confirmed the change.
  Scenario: The configuration acceptance gives an expired member time to stop
    Given the configuration lease watch has seen "n4" expire while "n1, n2, n3" were behind
    When the configuration lease watch sees "n1, n2, n3" confirm
    Then the configuration lease watch accepts after 10 s more and not after 9 s
