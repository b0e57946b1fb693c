Feature: The retry budget that nodes divide without communication

  # Guards against retries that multiply the load of a service when its servers fail.
  Scenario Outline: All nodes together stay within the operator's limit
    When <nodes> nodes forward <requests> requests in a window and retry all failures
    Then at most a share of 0.2 of them and 56 more are retried

    Examples:
      | nodes | requests |
      | 1     | 100      |
      | 8     | 800      |
      | 87    | 500      |

