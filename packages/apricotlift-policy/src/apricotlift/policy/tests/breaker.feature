Feature: circuit breaker

  Scenario: failures in a row open the breaker
    Guards against sending on to an upstream that fails every request.
    Given a breaker with the default settings
    When 5 attempts fail at second 0
    Then the breaker is open and refuses at second 0.7
    And it lets exactly one probe through at second 1.3

  Scenario: half of the requests failing opens the breaker
    Guards against an upstream whose failures never come five in a row.
    Given a breaker with the default settings
    When 20 attempts alternate between failure and success at second 0
    Then the breaker is open and refuses at second 0.7

  Scenario: the breaker closes after three good probes and not sooner
    Guards against switching state with every request of a flaky upstream.
    Given a breaker with the default settings
    When 5 attempts fail at second 0
    Then after 2 good probes it is "half_open" and after 3 it is "closed"

  Scenario: waits double up to thirty seconds
    Guards against probing a dead upstream every second for ever.
    Given a breaker with the default settings
    When 5 attempts fail at second 0
    Then 8 failing probes wait between 0.8 and 36 seconds, doubling

  Scenario: results of attempts begun before the opening are ignored
    Guards against a late success closing the breaker, or a late failure reopening it.
    Given a breaker with the default settings
    Then late results change nothing after the breaker has opened

  Scenario: a lost probe doesn't block the breaker
    Guards against an upstream that stays excluded because its probe was cancelled.
    Given a breaker with the default settings
    When 5 attempts fail at second 0
    Then a new probe is allowed after one is abandoned and after one times out
