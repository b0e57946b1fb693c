Feature: Prompts while engines, stores and the platform fail
  Guards against a failure of one part that reaches the caller as a wrong answer, as
  a false "not run" or as a crash of further engines.

  Scenario: A refusal of a prompt keeps its code, streamed or whole
    Guards against refusals that reach the caller as "internal".
    Given accounts "fes" that may use model "wax"
    And engines "e1"
    And a node "n1"
    And engine "e1" is full
    When account "fes" sends prompt "Which wax?" to "n1"
    Then the refusal is 503 "no_upstream" with ran "no"
    When account "fes" asks "n1" for a whole answer to "Which wax?"
    Then the refusal is 503 "no_upstream" with ran "no"

  Scenario: A prompt that an engine began is never refused as not run
    Guards against the refusal of a second attempt that hides the first one.
    Given accounts "fes" that may use model "wax"
    And engines "e1"
    And engine "e1" sends a token each 0.2 s
    And a node "n1"
    When the engine that runs the whole prompt "Long text" of "fes" at "n1" is killed
    Then the refusal says that it may have run

  Scenario: A store that fails costs recomputation and not the answer
    Guards against a failed import that ends the prompt it was meant to speed up.
    Given accounts "fes" that may use model "wax"
    And two engines and a store "k1" with short chunks
    And a node "n1"
    And account "fes" has sent a long prompt to "n1", which the store now holds
    And the engine that ran it takes no new work
    And the store answers nothing but errors
    When account "fes" sends the long prompt again to "n1"
    Then the answer is whole and belongs to the prompt
    And node "n1" counts a fetch or a block that failed

  Scenario: A prompt that crashes engines is refused after two of them
    Guards against one request that ends every engine, also where an engine crashes
    before it sends headers.
    Given accounts "fes, agadir" that may use model "wax"
    And engines "e1, e2, e3" that crash on "BAD-INPUT"
    And nodes "n1, n2"
    When account "fes" sends prompt "BAD-INPUT" to "n1" and "n2" in turn, 3 times
    Then the refusal is 422 "request_crashes_upstream" with ran "maybe"
    And 2 engines have crashed
    When account "agadir" sends prompt "A good prompt" to "n2"
    Then the answer is whole and belongs to the prompt

  Scenario: A leaving engine is sent no new work
    Guards against prompts that are still sent to an engine which refuses them.
    Given accounts "fes" that may use model "wax"
    And engines "e1, e2"
    And a node "n1"
    When engine "e1" begins to drain
    Then node "n1" shows "e1" as leaving within 5 s
    When account "fes" sends 6 prompts to "n1"
    Then all 6 answers are whole and "e2" ran them
    And node "n1" has sent no prompt to a leaving engine

  Scenario: A table outage stops calls that may not be repeated, and no prompts
    Guards against a dispatch without a claim, and against a platform on the path of
    prompts.
    Given accounts "fes" that may order from "desk" and use model "wax"
    And engines "e1"
    And a service "desk" at "d1"
    And nodes "n1, n2"
    When the table service is down
    And account "fes" sends prompt "Which fold?" to "n1"
    Then the answer is whole and belongs to the prompt
    When account "fes" orders a fold with key "fold-1" at "n1"
    Then the refusal is 503 "claim_store_unavailable" with ran "no"
    And the fold "fold-1" ran 0 times
    When the table service is back
    Then account "fes" orders a fold with key "fold-1" at "n2" with success
    And the fold "fold-1" ran 1 time

  Scenario: The randomised run on a fixed seed finds nothing
    Guards against a change that breaks a guarantee only when faults meet.
    When the randomised run is started with seed 3 for 10 s
    Then it ends with "violations: 0"
