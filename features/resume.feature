Feature: Resumption of an answer through another node
  Guards against an answer that only the node which started it can continue, and
  against a second attempt while the engine still holds the first one.

  Background:
    Given accounts "fes, agadir" that may use model "wax"
    And engines "e1, e2"
    And engine "e1" sends a token every 0.1 s
    And engine "e2" sends a token every 0.1 s
    And a node "n1"
    And a node "n2"

  Scenario: A node is killed during the answer and the caller resumes at another
    When account "fes" sends prompt "Fold pattern of sheet 12" as "r-7" to "n1", which is killed during the answer
    And account "fes" resumes request "r-7" at "n2" from its last received event
    Then both parts together are the complete answer
    And the engines ran 1 attempt in all

  Scenario: The engine is killed too, and the caller sends its prompt again
    When account "fes" sends prompt "Fold pattern of sheet 13" as "r-8" to "n1", which is killed during the answer
    And the engine that ran it is killed
    And account "fes" resumes request "r-8" at "n2" from its last received event
    Then the refusal is 410 "stream_lost" with ran "maybe"
    When account "fes" sends prompt "Fold pattern of sheet 13" to "n2" with request id "r-8"
    Then the answer is complete and belongs to the prompt

  Scenario: Another account with the same request id gets no part of the answer
    Given account "fes" has sent prompt "Rival recipe" to "n1" with request id "r-9"
    When account "agadir" resumes request "r-9" at "n2" from character 0
    Then the refusal is 410 "stream_lost" with ran "maybe"

  Scenario: A cancelled answer is stopped at its engine
    When account "fes" cancels request "r-10" during the answer at "n2"
    Then the request "r-10" of account "fes" has failed or is gone at "n1"
