Feature: A feed notices that the store is back

  # Guards against an outage that a node sees for seconds longer than it lasted, because a
  # call that was lost is waited for. All that the store acknowledges meanwhile, such as
  # the leaving of a server or the end of a key, would be learned that much later.
  Scenario Outline: The store's return is noticed although calls were lost
    Given a store that is polled for 0.8 seconds and answers within 0.01 seconds
    When the store <kind> calls from <begin> to <end> seconds
    And a row is written at <end> seconds
    Then the feed has the row within <limit> seconds of the store's return

    Examples: the time between two calls, or the rest of the poll that was lost
      | kind    | begin | end  | limit |
      | loses   | 0.5   | 3.0  | 0.8   |
      | loses   | 0.5   | 3.35 | 0.8   |
      | loses   | 0.1   | 4.7  | 0.8   |
      | loses   | 0.9   | 2.05 | 0.8   |
      | loses   | 0.5   | 0.6  | 1.2   |
      | refuses | 0.5   | 3.0  | 0.8   |
      | refuses | 0.2   | 2.6  | 0.8   |

  # Guards against calls that multiply while the store is away.
  Scenario: A store that is silent gets a call every 0.6 seconds
    Given a store that is polled for 0.8 seconds and answers within 0.01 seconds
    When the store loses calls from 0.5 to 4.5 seconds
    Then it gets at most 10 calls in that time, of which at most 3 wait at once

  # Guards against calls that are repeated although the store only answers slowly.
  Scenario: A store that answers slowly gets no calls beside the poll
    Given a store that is polled for 0.8 seconds and answers within 0.25 seconds
    When the feed runs for 5 seconds
    Then no two calls wait at once
