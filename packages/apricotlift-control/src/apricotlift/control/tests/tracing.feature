Feature: The story of a request from log files

  # Guards against: a failed request whose cause can't be found from its id.
  Scenario: The lines of a request come in order with what was believed before
    Given the log files
      """
      {"time": "2026-01-01T00:00:02.000+00:00", "component": "n1", "event": "attempt_failed", "request_id": "r1", "server": "s1", "code": "stream_broken"}
      {"time": "2026-01-01T00:00:01.000+00:00", "component": "n1", "event": "attempt", "request_id": "r1", "server": "s1"}
      {"time": "2026-01-01T00:00:00.000+00:00", "component": "n1", "event": "server_changed", "server": "s1", "state": "draining"}
      {"time": "2026-01-01T00:00:00.100+00:00", "component": "n1", "event": "server_changed", "server": "s2", "state": "draining"}
      {"time": "2026-01-01T00:00:00.200+00:00", "component": "n2", "event": "store_lost", "table": "op"}
      {"time": "2025-12-31T23:59:00.000+00:00", "component": "n1", "event": "store_lost", "table": "op"}
      not a log line
      """
    When the operator traces "r1"
    Then the story's events are "server_changed, attempt, attempt_failed"
    And the story says "1 lines could not be read"

  # Guards against: an id that is answered with an empty story or a stack trace.
  Scenario: An id that no file has is an error that names it
    Given the log files
      """
      {"time": "2026-01-01T00:00:01.000+00:00", "component": "n1", "event": "attempt", "request_id": "r1"}
      """
    When the operator traces "r2"
    Then the trace fails with "'r2'"
