Feature: admission

  Scenario: max-min fair share
    Guards against shares that leave capacity unused or go beyond it.
    Then for many demands the shares use the capacity, and only large ones are cut

  Scenario: a large account can't crowd out small ones
    Guards against one account's surge refusing another account's few requests.
    Given a capacity of 100 and no waiting
    When account "large" sends 500 requests
    Then 100 of them run and the others are refused with scope "account"
    And five requests of account "small" are all admitted
    And "large" is refused until it is below its fair share

  Scenario: entering and leaving the full state
    Guards against limits that come and go with every request.
    Given a capacity of 100 and no waiting
    When account "large" sends 100 requests
    Then the fleet is full down to 86 in flight and not at 85

  Scenario: interactive before batch
    Guards against batch work delaying callers who wait.
    Given a capacity of 10 and 8 places to wait
    When the fleet is full and both classes wait
    Then interactive requests are admitted before batch ones that waited longer
    And the account with fewer requests in flight goes first
    And an interactive request doesn't wait behind a batch one

  Scenario: deadlines that can't be met
    Guards against work whose result nobody waits for any more.
    Given a capacity of 10 and 8 places to wait
    Then an estimate beyond the deadline is refused at once, even when idle
    And so is one whose wait would end after the deadline
    And a request that waited too long is given up

  Scenario: refusals
    Guards against refusals that name the wrong scope or no time to return.
    Given a capacity of 10 and 8 places to wait
    Then a full queue is refused with scope "fleet" and a declared limit with "account"

  Scenario: counts stay right
    Guards against requests in flight that are lost or counted twice.
    Then after many random sequences nothing is in flight and nothing is remembered
