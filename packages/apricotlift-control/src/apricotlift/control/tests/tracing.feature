Feature: Tracing a request through log files

  # Guards against: a failed request whose cause can't be found from its id, because the
  # trace lacks the lines about its servers or has the lines of others.
  Scenario: A trace has the lines of a request in order, with the state changes before them
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
    Then the trace has the events "server_changed, attempt, attempt_failed"
    And the trace shows "1 lines could not be read"

  # Guards against: an unknown id that gives an empty trace or a stack trace.
  Scenario: An id that no file contains is an error that names the id
    Given the log files
      """
      {"time": "2026-01-01T00:00:01.000+00:00", "component": "n1", "event": "attempt", "request_id": "r1"}
      """
    When the operator traces "r2"
    Then the trace fails with "'r2'"
