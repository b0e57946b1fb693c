Feature: retries

  Scenario Outline: load on a failing upstream group
    Guards against retries that multiply the load of an upstream that is failing.
    When <n> requests run against a group that fails <percent> percent of attempts
    Then attempts are at most 1.1 times the requests plus 3 and none has over 3

    Examples:
      | n     | percent |
      | 10    | 100     |
      | 1000  | 100     |
      | 10000 | 50      |
      | 10000 | 5       |

  Scenario: an engine crash after an ordinary hour can be absorbed
    Guards against a budget too small to continue the streams that one crash breaks.
    When 1000 requests have succeeded and 64 streams break at once
    Then all 64 are retried

  Scenario: non-repeatable requests
    Guards against running a non-repeatable request a second time.
    Then a non-repeatable request is retried only when it certainly did not run

  Scenario: waits are jittered, bounded and fit the deadline
    Guards against retries in step with each other or after the caller has gone.
    Then waits lie between half and all of 50 ms doubled up to 2 s
    And a retry that would start after the deadline is not made and not paid for
