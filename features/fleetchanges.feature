Feature: Configuration, stops and cut connections in a fleet of nodes
  Guards against changes that are told wrongly, that miss a node, or that cut a
  request, with real processes and the operators' command line.

  Scenario: Two operators race, and one wins
    Guards against two changes of one version that are both told to be committed.
    Given accounts "fes" that may use model "wax"
    And engines "e1"
    And nodes "n1, n2"
    When operators "ana, tom" change the limit of the same version at once
    Then one of them is told "accepted" and the other "conflict" with the winner's name
    And both nodes have the winner's version in force

  Scenario: A node that is cut from the table follows a change through its peers
    Guards against a node that goes on with an old configuration unnoticed.
    Given accounts "fes" that may use model "wax"
    And engines "e1"
    And nodes "n1, n2", each behind a proxy
    When node "n2" loses its connections to the platform
    And operator "ana" removes the key of account "fes"
    Then the change is accepted
    And node "n2" refuses a prompt of account "fes" with 401 "unauthenticated"

  Scenario: A node that is cut from table and peers refuses new work and recovers
    Guards against a node that serves an old configuration alone.
    Given accounts "fes" that may use model "wax"
    And engines "e1"
    And nodes "n1, n2", each behind a proxy
    When node "n2" loses its connections to the platform and to its peers
    Then node "n2" refuses prompts of account "fes" with "config_uncertain" in the end
    And account "fes" sends prompt "Still there?" to "n1" with success
    When node "n2" has its connections back
    Then node "n2" serves prompts of account "fes" in the end

  Scenario: A graceful stop cuts no answer and leaves the instance list
    Guards against a stop in mid-answer, and against callers that are sent to a node
    which is about to end.
    Given accounts "fes" that may use model "wax"
    And engines "e1"
    And engine "e1" sends a token each 0.2 s
    And nodes "n1, n2"
    When account "fes" sends prompt "Before the stop" to "n1", which is stopped in mid-answer
    Then node "n2" no longer names "n1" while the answer goes on
    And the answer is whole and belongs to the prompt
    And node "n1" has ended with exit code 0

  Scenario: A weight swap under load moves to the new version and mixes none
    Guards against requests that fail or change weights while slots are swapped.
    Given accounts "fes" that may use model "wax"
    And engines "e1, e2"
    And nodes "n1, n2"
    When operator "ana" declares weights "v2" while account "fes" sends prompts to both
    Then every answer during the swap is whole
    And each request ran on one weight version
    And new prompts of account "fes" run on "wax@v2"
