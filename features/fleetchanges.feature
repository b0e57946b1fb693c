Feature: Configuration, stops and cut connections in a fleet of nodes
  Guards against changes whose outcome is reported wrongly, that don't reach a node,
  or that interrupt a request. Uses real processes and the operators' command line.

  Scenario: Of two concurrent changes of one version, one is accepted
    Guards against two changes of the same version that are both reported as committed.
    Given accounts "fes" that may use model "wax"
    And engines "e1"
    And nodes "n1, n2"
    When operators "ana, tom" change the limit of the same version at once
    Then one change is accepted and the other is refused with the name of the winner
    And both nodes have the winner's version in force

  Scenario: A node that is cut from the table follows a change through its peers
    Guards against a node that keeps an old configuration without noticing.
    Given accounts "fes" that may use model "wax"
    And engines "e1"
    And nodes "n1, n2", each behind a proxy
    When node "n2" loses its connections to the platform
    And operator "ana" removes the key of account "fes"
    Then the change is accepted
    And node "n2" refuses a prompt of account "fes" with 401 "unauthenticated"

  Scenario: A node that is cut from table and peers refuses new work and recovers
    Guards against a node that serves with an old configuration while it can't learn
    of changes.
    Given accounts "fes" that may use model "wax"
    And engines "e1"
    And nodes "n1, n2", each behind a proxy
    When node "n2" loses its connections to the platform and to its peers
    Then node "n2" eventually refuses prompts of account "fes" with "config_uncertain"
    And account "fes" sends prompt "Still there?" to "n1" with success
    When node "n2" regains its connections
    Then node "n2" eventually serves prompts of account "fes"

  Scenario: A graceful stop completes answers and removes the node from the list
    Guards against a stop that cuts off an answer, and against callers that are sent to
    a node which is about to end.
    Given accounts "fes" that may use model "wax"
    And engines "e1"
    And engine "e1" sends a token every 0.2 s
    And nodes "n1, n2"
    When account "fes" sends prompt "Before the stop" to "n1", which is stopped during the answer
    Then node "n2" no longer lists "n1" while the answer continues
    And the answer is complete and belongs to the prompt
    And node "n1" has ended with exit code 0

  Scenario: Under load, each request runs on one version during a weight swap
    Guards against requests that fail or change weights while slots are swapped.
    Given accounts "fes" that may use model "wax"
    And engines "e1, e2"
    And nodes "n1, n2"
    When operator "ana" declares weight version "v2" while account "fes" sends prompts to both nodes
    Then every answer during the swap is complete
    And each request ran on one weight version
    And new prompts of account "fes" run on "wax@v2"
