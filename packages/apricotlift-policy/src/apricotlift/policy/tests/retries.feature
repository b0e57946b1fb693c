Feature: retries

  Scenario Outline: load on a failing upstream group
    Guards against retries that multiply the load on an upstream group while it fails.
    When <n> requests run against a group that fails <percent> percent of attempts
    Then attempts are at most 1.1 times the requests plus 3, and 3 for each request

    Examples:
      | n     | percent |
      | 10    | 100     |
      | 1000  | 100     |
      | 10000 | 50      |
      | 10000 | 5       |

  Scenario: the budget covers an engine crash after normal operation
    Guards against a budget that is too small to continue all streams that break at
    once when one engine crashes.
    When 1000 requests have succeeded and 64 streams break at once
    Then all 64 streams are retried

  Scenario: non-repeatable requests
    Guards against running a non-repeatable request twice, because it was retried
    although the failed attempt may have run.
    Then a non-repeatable request is retried only if it is known not to have run

  Scenario: waits have jitter, a bound and end before the deadline
    Guards against retries that are sent at the same time because they have equal
    waits, and against retries after the caller's deadline.
    Then waits lie between half and all of a bound that doubles from 50 ms to 2 s
    And a retry that would start after the deadline is refused and not charged
