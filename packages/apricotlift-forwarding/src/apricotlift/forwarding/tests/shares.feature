Feature: The retry budget that nodes share without calls

  # Guards against: retries that multiply the load when servers fail.
  Scenario Outline: Nodes together stay within the operator's bound
    When <nodes> nodes forward <requests> requests in a window and retry whatever fails
    Then at most 0.2 of them and 56 more are retried

    Examples:
      | nodes | requests |
      | 1     | 100      |
      | 8     | 800      |
      | 87    | 500      |

