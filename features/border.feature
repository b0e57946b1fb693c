Feature: Refusal of invalid requests
  Guards against an invalid request that isn't refused with the code for its error,
  that an engine runs, or that disturbs a request in progress.

  Scenario: Each invalid request is refused with its code, and a running one goes on
    Given accounts "fes" that may use model "wax"
    And engines "e1"
    And engine "e1" sends a token every 0.2 s
    And a node "n1" with a body limit of 2000 bytes and 1 s
    When account "fes" streams prompt "A long answer" from "n1" in the background
    Then these requests to "n1" are refused with
      | request                 | status | code                  |
      | broken JSON             | 400    | bad_request           |
      | invalid UTF-8           | 400    | bad_request           |
      | deeply nested JSON      | 400    | bad_request           |
      | a number as prompt      | 400    | bad_request           |
      | an oversize body        | 413    | body_too_large        |
      | an unknown model        | 404    | unknown_model         |
      | too many headers        | 431    | headers_too_large     |
      | an incomplete body      | 408    | slow_sender           |
      | an unknown priority     | 400    | bad_request           |
      | a bad deadline          | 400    | bad_request           |
      | a foreign event id      | 400    | bad_request           |
      | an unknown path         | 404    | not_found             |
      | the wrong method        | 405    | method_not_allowed    |
      | no key                  | 401    | unauthenticated       |
    And the streamed answer is complete
    And engine "e1" ran 1 attempt
