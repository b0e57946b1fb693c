Feature: Acceptance of a committed configuration

  # Guards against reporting acceptance too early: a frozen instance that resumes before
  # its lease has expired could still admit work under the old configuration.
  Scenario: Configuration acceptance waits until a frozen member's lease expires
    Given the configuration members
      | node | confirms | renews |
      | n1   | 2        | yes    |
      | n2   | 2        | yes    |
      | n3   | 1        | no     |
    When acceptance of configuration version 2 is awaited for 30 s
    Then the configuration is accepted after 12.0 s at the earliest
    And the configuration acceptance reported that it waits for "n3"
    And the configuration acceptance lists "n3" as expired

  # Guards against treating a member as expired that renews its lease, but still has an
  # older configuration in force.
  Scenario: The configuration is not accepted while a live member is behind
    Given the configuration members
      | node | confirms | renews |
      | n1   | 2        | yes    |
      | n2   | 2        | yes    |
      | n3   | 1        | yes    |
    When acceptance of configuration version 2 is awaited for 60 s
    Then the configuration is not accepted and waits for "n3"

  # Guards against acceptance by a minority: the majority may be cut off from the table
  # and admit work under the old version, because its members still reach each other.
  Scenario: The configuration is not accepted without a majority of all members
    Given the configuration members
      | node | confirms | renews |
      | n1   | 2        | yes    |
      | n2   | 2        | yes    |
      | n3   | 1        | no     |
      | n4   | 1        | no     |
    When acceptance of configuration version 2 is awaited for 60 s
    Then the configuration is not accepted and waits for ""

  # Guards against overlooking a renewal that comes just before the expiry time: the time
  # must be counted again from each renewal.
  Scenario: Configuration acceptance restarts the expiry time after each renewal
    Given the configuration members
      | node | confirms | renews   |
      | n1   | 2        | yes      |
      | n2   | 2        | yes      |
      | n3   | 1        | at 11 s  |
    When acceptance of configuration version 2 is awaited for 60 s
    Then the configuration is accepted after 23.0 s at the earliest

  # Guards against treating a live member as expired after a table outage: the time in
  # which the table could not be read, or a slow read, is not time without a renewal.
  Scenario: Configuration acceptance continues after an outage of the table
    Given the configuration members
      | node | confirms | renews |
      | n1   | 2        | yes    |
      | n2   | 1        | yes    |
    And the configuration table is down from 3 s to 20 s
    When acceptance of configuration version 2 is awaited for 40 s
    Then the configuration is not accepted and waits for "n2"
    And the configuration acceptance reported the outage

  # Guards against reporting acceptance for a fleet that has never started, where no
  # member can contradict.
  Scenario: The configuration is not accepted without any member
    Given the configuration members
      | node | confirms | renews |
    When acceptance of configuration version 2 is awaited for 1 s
    Then the configuration is not accepted and waits for ""

  # Guards against waiting forever for an instance that drained and deleted its row.
  Scenario: Configuration acceptance ignores a member that deleted its row
    Given the configuration members
      | node | confirms | renews    |
      | n1   | 2        | yes       |
      | n2   | 1        | until 3 s |
    When acceptance of configuration version 2 is awaited for 10 s
    Then the configuration is accepted after 3.0 s at the earliest

  # Guards against reporting acceptance while an expired member still admits work under
  # the old version. It can do so for some seconds if it heard from the others just
  # before they confirmed the new version.
  Scenario: Configuration acceptance allows an expired member time to stop
    Given the configuration acceptance tracker has seen "n4" expire while "n1, n2, n3" were behind
    When the configuration acceptance tracker sees "n1, n2, n3" confirm
    Then the configuration acceptance tracker accepts after 10 s more and not after 9 s
