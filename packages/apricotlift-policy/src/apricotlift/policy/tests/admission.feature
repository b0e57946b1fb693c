Feature: admission

  Scenario: max-min fair share
    Guards against shares that add up to less than the capacity, so that requests
    are refused without need, or to more, so that the fleet is overloaded.
    Then the shares use the capacity and limit only large demands, for many demands

  Scenario: an account above its fair share doesn't block others
    Guards against one account's surge using the whole capacity, so that the few
    requests of another account are refused.
    Given a capacity of 100 and no queue
    When account "large" sends 500 requests
    Then 100 of them are admitted and the others are refused with scope "account"
    And five requests of account "small" are all admitted
    And "large" is refused until it is below its fair share

  Scenario: hysteresis of the full state
    Guards against a fleet that becomes full and not full with every request, as
    happens if both states have the same threshold.
    Given a capacity of 100 and no queue
    When account "large" sends 100 requests
    Then the fleet stays full down to 86 requests in flight and not at 85

  Scenario: interactive requests before batch requests
    Guards against batch requests that arrived earlier and so delay interactive ones,
    whose callers wait.
    Given a capacity of 10 and a queue of 8 requests
    When the fleet is full and both classes wait
    Then interactive requests are admitted before batch ones that waited longer
    And the account with fewer requests in flight goes first
    And an interactive request doesn't wait behind a batch one

  Scenario: requests that can't meet their deadline
    Guards against running requests whose response would be complete only after the
    caller's deadline, when nobody waits for it.
    Given a capacity of 10 and a queue of 8 requests
    Then an estimate beyond the deadline is refused at once, even when idle
    And a request whose wait would end after the deadline is refused at once
    And a waiting request that can no longer meet its deadline is removed

  Scenario: scope and retry time of refusals
    Guards against refusals with a wrong scope, from which callers reduce the wrong
    load, and against refusals without a time to retry.
    Given a capacity of 10 and a queue of 8 requests
    Then a full queue refuses with scope "fleet" and a declared limit with "account"

  Scenario: counts after random sequences
    Guards against requests that are lost or counted twice when they are admitted,
    queued, cancelled and ended in any order.
    Then after many random sequences no request and no account entry is left
