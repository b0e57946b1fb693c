Feature: A prompt through separate processes
  Guards against a request path that works only inside one process, against incomplete
  answers that are presented as complete, and against one account reading another's
  answer.

  Background:
    Given accounts "fes, agadir" that may use model "wax"
    And engines "e1, e2"
    And a node "n1"

  Scenario: A streamed answer is complete, with offsets and an end mark
    When account "fes" sends prompt "Which wax suits desert dust?" to "n1"
    Then the answer is complete and belongs to the prompt
    And each event's id counts the characters so far
    And node "n1" logs "prompt_ended" without the prompt's text

  Scenario: An answer that isn't streamed has the text, the finish reason and usage
    When account "fes" requests an unstreamed chat answer to "Coastal damp?" from "n1"
    Then the unstreamed answer has a finish reason and usage

  Scenario: A key that isn't declared is refused before any engine runs the prompt
    When a client with the key "guessed" sends a prompt to "n1"
    Then the refusal is 401 "unauthenticated" with ran "no"
    And no engine ran anything

  Scenario: An engine that breaks its stream does not shorten the answer
    Given engine "e1" breaks each stream after 3 events
    And engine "e2" breaks each stream after 3 events
    When account "fes" sends prompt "A long service history" to "n1"
    Then the answer is complete and belongs to the prompt
    And node "n1" counts retries for "stream_broken"

  Scenario: An engine that is killed during an answer is replaced by another engine
    Given engine "e1" sends a token every 0.1 s
    And engine "e2" sends a token every 0.1 s
    When account "fes" sends prompt "Summarise the history" to "n1" and the engine that runs it is killed
    Then the answer is complete and belongs to the prompt

  Scenario: Events of another attempt never reach the caller
    Given engine "e1" adds events of another attempt
    And engine "e2" adds events of another attempt
    When account "fes" sends prompt "Chain of the cargo bike" to "n1"
    Then the answer is complete and belongs to the prompt
    And node "n1" counts dropped events

  Scenario: A repeated request id with another body is refused
    Given account "fes" has sent prompt "First" to "n1" with request id "r-1"
    When account "fes" sends prompt "Second" to "n1" with request id "r-1"
    Then the refusal is 409 "request_id_reused" with ran "no"

  Scenario: A caller resumes by offset, and another account can't
    Given account "fes" has sent prompt "Read this twice" to "n1" with request id "r-2"
    When account "fes" resumes request "r-2" at "n1" from character 10
    Then the answer from character 10 on is complete
    When account "agadir" resumes request "r-2" at "n1" from character 0
    Then the refusal is 410 "stream_lost" with ran "maybe"
