Feature: Requests that crash upstreams
  Each scenario runs the suspects of two or more nodes against a platform stand-in in
  a process of its own.

  Scenario: One crash makes a suspect, two crashes a refusal
    Guards against a request that crashes one upstream after another through
    different nodes.
    Given the suspect nodes "n1, n2, n3"
    Then the suspect node "n1" admits "fp"
    When the suspect node "n1" reports "fp" for boot "b1"
    Then the suspect node "n1" quarantines "fp"
    And the suspect node "n2" comes to count 1 crashes of "fp"
    When the suspect node "n2" reports "fp" for boot "b2"
    Then the suspect node "n2" refuses "fp"
    And the suspect node "n3" comes to count 2 crashes of "fp"
    And the suspect node "n3" refuses "fp"
    And the suspect node "n3" admits "other"

  Scenario: One crash that several nodes report
    Guards against one crash that counts twice and refuses an innocent request.
    Given the suspect nodes "n1, n2"
    When the suspect node "n1" reports "fp" for boot "b1"
    And the suspect node "n1" reports "fp" for boot "b1"
    Then the suspect node "n1" counts 1 crashes of "fp" at once
    And the suspect node "n2" comes to count 1 crashes of "fp"
    When the suspect node "n2" reports "fp" for boot "b1"
    Then the suspect node "n2" counts 1 crashes of "fp" at once

  Scenario: The owner of the shard key counts at once
    Guards against a second crash within the two seconds between polls.
    Given the suspect nodes "n1, n2"
    And the suspect table is down
    When the suspect node "n2" hears of "fp" for boot "b1" as owner
    And the suspect node "n2" hears of "fp" for boot "b2" as owner
    Then the suspect node "n2" counts 2 crashes of "fp" at once
    And the suspect "fp" is at "n1" refuses with 2 owner crashes
    And the suspect "fp" is at "n1" quarantines with 1 owner crashes

  Scenario: A crash while the table is down
    Guards against a crash report that is lost with an outage.
    Given the suspect nodes "n1, n2"
    And the suspect table is down
    When the suspect node "n1" reports "fp" for boot "b1"
    Then the suspect node "n1" quarantines "fp"
    When the suspect table is back
    Then the suspect node "n2" comes to count 1 crashes of "fp"

  Scenario: A suspect that completes elsewhere
    Guards against innocent requests that stay suspects because they ran beside the
    one that crashed the upstream.
    Given the suspect nodes "n1, n2"
    And the suspect node "n1" reports "fp-n2" for boot "b1"
    Then the suspect node "n2" comes to count 1 crashes of "fp-n2"
    When the suspect nodes "n2" reserve upstream "e2" at once
    And the suspect run of "n2" completes
    Then the suspect node "n2" counts 0 crashes of "fp-n2" at once
    And the suspect node "n1" comes to count 0 crashes of "fp-n2"
    And the suspect node "n1" comes to see "e2" as free

  Scenario: The hour after the last crash
    Guards against refusals without end, and against an hour that counts from the
    first crash.
    Given the suspect nodes "n1"
    When the suspect node "n1" reports "fp" for boot "b1"
    And the suspect wall clock advances 50 minutes
    And the suspect node "n1" reports "fp" for boot "b2"
    And the suspect wall clock advances 50 minutes
    Then the suspect node "n1" refuses "fp"
    When the suspect wall clock advances 11 minutes
    Then the suspect node "n1" admits "fp"

  Scenario: Two suspects and one upstream
    Guards against a crash that accuses two requests, of which one is innocent.
    Given the suspect nodes "n1, n2, n3"
    When the suspect nodes "n1, n2, n3" reserve upstream "e2" at once
    Then 1 suspect runs were reserved

  Scenario: An upstream is free again after a suspect's run or its node's loss
    Guards against an upstream that no suspect may use any more.
    Given the suspect nodes "n1, n2, n3"
    And the suspect nodes "n1" reserve upstream "e2" at once
    Then the suspect node "n2" comes to see "e2" as occupied
    When the suspect run of "n1" breaks off
    Then the suspect node "n2" comes to see "e2" as free
    When the suspect nodes "n2" reserve upstream "e2" at once
    Then the suspect node "n3" comes to see "e2" as occupied
    Given the suspect node "n2" is lost
    When the suspect nodes "n3" reserve upstream "e2" at once
    Then 3 suspect runs were reserved

  Scenario: A reservation that reaches the table after its run's end
    Guards against a row that occupies an upstream although nothing runs there.
    Given the suspect nodes "n1"
    And the suspect writes take 2 s
    When the suspect nodes "n1" reserve upstream "e2" at once
    Then 1 suspect runs were reserved
    When the suspect table is back
    And the suspect run of "n1" breaks off
    Then the suspect table comes to show 2 writes and no rows
