Feature: Requests that crash upstreams
  Each scenario runs the suspect tracking of one or more nodes against a platform
  stand-in, which is a separate process.

  Scenario: A request is quarantined after one crash and refused after two
    Guards against a request that crashes one upstream after another because it is
    repeated at different nodes.
    Given the suspect nodes "n1, n2, n3"
    Then the suspect node "n1" admits "fp"
    When the suspect node "n1" reports "fp" for boot "b1"
    Then the suspect node "n1" quarantines "fp"
    And the suspect node "n2" eventually counts 1 crashes of "fp"
    When the suspect node "n2" reports "fp" for boot "b2"
    Then the suspect node "n2" refuses "fp"
    And the suspect node "n3" eventually counts 2 crashes of "fp"
    And the suspect node "n3" refuses "fp"
    And the suspect node "n3" admits "other"

  Scenario: The same crash is reported several times
    Guards against one crash that counts twice, because several reports or nodes name
    it, and so leads to the refusal of an innocent request.
    Given the suspect nodes "n1, n2"
    When the suspect node "n1" reports "fp" for boot "b1"
    And the suspect node "n1" reports "fp" for boot "b1"
    Then the suspect node "n1" counts 1 crashes of "fp" immediately
    And the suspect node "n2" eventually counts 1 crashes of "fp"
    When the suspect node "n2" reports "fp" for boot "b1"
    Then the suspect node "n2" counts 1 crashes of "fp" immediately

  Scenario: The owner of the shard key counts a reported crash immediately
    Nodes read the table every two seconds. Guards against a request that crashes
    further upstreams between two reads.
    Given the suspect nodes "n1, n2"
    And the suspect table is down
    When the suspect node "n2" as owner receives the report of "fp" for boot "b1"
    And the suspect node "n2" as owner receives the report of "fp" for boot "b2"
    Then the suspect node "n2" counts 2 crashes of "fp" immediately
    And with 2 owner crashes the suspect node "n1" refuses "fp"
    And with 1 owner crashes the suspect node "n1" quarantines "fp"

  Scenario: A crash while the table is down
    Guards against a crash report that is lost because the table is down when it is
    written.
    Given the suspect nodes "n1, n2"
    And the suspect table is down
    When the suspect node "n1" reports "fp" for boot "b1"
    Then the suspect node "n1" quarantines "fp"
    When the suspect table is back
    Then the suspect node "n2" eventually counts 1 crashes of "fp"

  Scenario: A suspect completes on another upstream
    Guards against innocent requests that remain suspects because they were in flight
    together with the one that crashed the upstream.
    Given the suspect nodes "n1, n2"
    And the suspect node "n1" reports "fp-n2" for boot "b1"
    Then the suspect node "n2" eventually counts 1 crashes of "fp-n2"
    When the suspect nodes "n2" reserve upstream "e2" at once
    And the suspect run of "n2" completes
    Then the suspect node "n2" counts 0 crashes of "fp-n2" immediately
    And the suspect node "n1" eventually counts 0 crashes of "fp-n2"
    And the suspect node "n1" eventually sees "e2" as free

  Scenario: Crashes expire an hour after the last one
    Guards against refusals that never end, and against an hour that is counted from
    the first crash.
    Given the suspect nodes "n1"
    When the suspect node "n1" reports "fp" for boot "b1"
    And the suspect wall clock advances 50 minutes
    And the suspect node "n1" reports "fp" for boot "b2"
    And the suspect wall clock advances 50 minutes
    Then the suspect node "n1" refuses "fp"
    When the suspect wall clock advances 11 minutes
    Then the suspect node "n1" admits "fp"

  Scenario: Several suspects need the same upstream
    Guards against suspects that run on one upstream together, so that a crash counts
    against an innocent one too.
    Given the suspect nodes "n1, n2, n3"
    When the suspect nodes "n1, n2, n3" reserve upstream "e2" at once
    Then 1 suspect runs were reserved

  Scenario: An upstream is freed after a suspect's run ends or its node is lost
    Guards against an upstream that stays reserved, so that no suspect can use it.
    Given the suspect nodes "n1, n2, n3"
    And the suspect nodes "n1" reserve upstream "e2" at once
    Then the suspect node "n2" eventually sees "e2" as occupied
    When the suspect run of "n1" breaks off
    Then the suspect node "n2" eventually sees "e2" as free
    When the suspect nodes "n2" reserve upstream "e2" at once
    Then the suspect node "n3" eventually sees "e2" as occupied
    Given the suspect node "n2" is lost
    When the suspect nodes "n3" reserve upstream "e2" at once
    Then 3 suspect runs were reserved

  Scenario: A reservation reaches the table after the end of its run
    The write takes longer than the client's timeout. Guards against a row that keeps
    an upstream reserved although no suspect runs there.
    Given the suspect nodes "n1"
    And the suspect writes take 2 s
    When the suspect nodes "n1" reserve upstream "e2" at once
    Then 1 suspect runs were reserved
    When the suspect table is back
    And the suspect run of "n1" breaks off
    Then the suspect table eventually has 2 writes and no rows
