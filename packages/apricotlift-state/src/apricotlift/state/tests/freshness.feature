Feature: Freshness of the configuration
  Guards invariant 9: an accepted configuration is in force at every node that admits
  work.

  Scenario Outline: Admission follows freshness and the majority
    Guards against a node that admits work under an old version after a newer one was
    accepted. Also guards against a node that refuses work while the table is down for
    all nodes, although a majority has no newer version.
    Given a freshness state with version 7 confirmed <age> s ago
    When freshness admission is checked with <heard> of 8 members heard and newest version <newest>
    Then freshness admission results in <result>

    Examples:
      | age     | heard | newest | result           |
      | 2.9     | 1     | 7      | current          |
      | 2.9     | 1     | 8      | current          |
      | 3.1     | 5     | 7      | majority         |
      | 3.1     | 4     | 7      | config_uncertain |
      | 3.1     | 5     | 8      | config_uncertain |
      | 10799   | 8     | 7      | majority         |
      | 10801   | 8     | 7      | config_uncertain |

  Scenario: A node without a configuration refuses
    Guards against a node that admits work before it has loaded a document.
    Given a freshness state without a version
    When freshness admission is checked with 8 of 8 members heard and newest version 0
    Then freshness admission results in no_config

  Scenario: A lower version is ignored and counted
    Guards against returning to an older version after a stale read or a stale answer
    of a peer.
    Given a freshness state with version 7 confirmed 9 s ago
    When a freshness read that began 1 s ago returns version 6
    And version 6 is put in force in the freshness state
    Then the freshness age is 9 s with version 7
    And 2 freshness regressions were counted

  Scenario: The age counts from the start of the read
    Guards against a slow read whose answer is older than the time at which it arrives.
    Given a freshness state with version 7 confirmed 9 s ago
    When a freshness read that began 4 s ago returns version 7
    Then the freshness age is 4 s with version 7

  Scenario: A peer's age and the round trip add up
    Guards against two uncertain nodes that confirm each other forever, because neither
    counts the age of the other's confirmation.
    Given a freshness state with version 7 confirmed 9 s ago
    When a freshness peer asked 1 s ago answers version 7 of age 2.5 s
    Then the freshness age is 3.5 s with version 7

  Scenario: A newer version is confirmed by the read that returned it
    Guards against applying the confirmation of the previous version to the new one.
    Given a freshness state with version 7 confirmed 1 s ago
    When a freshness read that began 0.5 s ago returns version 8
    Then the freshness age is 1 s with version 7
    When version 8 is put in force in the freshness state
    Then the freshness age is 0.5 s with version 8
    When version 9 is put in force in the freshness state
    Then the freshness age is inf s with version 9

  Scenario: A paused node refuses until a read after the pause confirms
    Guards against a node that resumes after a pause and admits work under a version
    that was replaced in the meantime.
    Given a freshness state with version 7 confirmed 1 s ago
    When the freshness state requires a confirmation after a pause
    And a freshness read that began 0.5 s ago returns version 7
    And freshness admission is checked with 8 of 8 members heard and newest version 7
    Then freshness admission results in config_uncertain
    When a freshness read that began 0 s ago returns version 7
    And freshness admission is checked with 8 of 8 members heard and newest version 7
    Then freshness admission results in current
