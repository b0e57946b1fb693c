Feature: circuit breaker

  Scenario: consecutive failures open the breaker
    Guards against sending more requests to an upstream that fails all of them.
    Given a breaker with the default settings
    When 5 attempts fail at second 0
    Then the breaker is open and refuses at second 0.7
    And it allows exactly one probe at second 1.3

  Scenario: a failure share of one half opens the breaker
    Guards against a breaker that stays closed because successes between the failures
    reset the count of consecutive failures.
    Given a breaker with the default settings
    When 20 attempts alternate between failure and success at second 0
    Then the breaker is open and refuses at second 0.7

  Scenario: the breaker closes after three successful probes and not sooner
    Guards against a breaker that closes after a single success and so changes state
    with every request to an upstream that fails intermittently.
    Given a breaker with the default settings
    When 5 attempts fail at second 0
    Then after 2 successful probes it is "half_open" and after 3 it is "closed"

  Scenario: waits before probes double up to thirty seconds
    Guards against probing a failed upstream every second without end, as happens if
    the wait doesn't grow with each failed probe.
    Given a breaker with the default settings
    When 5 attempts fail at second 0
    Then the waits before 8 failing probes grow between 0.8 and 36 seconds

  Scenario: results of attempts begun before the opening are ignored
    Guards against attempts that began before the breaker opened and end later: their
    success must not close it, and their failure must not reopen it.
    Given a breaker with the default settings
    Then results of attempts begun before the opening don't change the state

  Scenario: a lost probe doesn't block the breaker
    Guards against an upstream that stays excluded because the result of its only
    probe never arrives.
    Given a breaker with the default settings
    When 5 attempts fail at second 0
    Then a new probe is allowed after one is abandoned and after one times out
