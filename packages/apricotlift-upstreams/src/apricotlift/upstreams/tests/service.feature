Feature: Calls of plain services

  Scenario Outline: The outcome of a non-repeatable call is exact
    # Guards against a second run of a call that was reported as not run, and
    # against withholding a retry from one that certainly didn't run.
    Given a plain service behind a proxy
    And <fault>
    When a non-repeatable call is sent
    Then it fails with <code>, ran <ran>
    And the call took effect <n> times

    Examples:
      | fault                                                 | code             | ran   | n |
      | the proxy has the faults {"refuse": true}             | upstream_connect | no    | 0 |
      | the proxy has the faults {"n_dropped_answers": 1}     | stream_broken    | maybe | 1 |
      | the proxy has the faults {"hold_up": true}            | upstream_timeout | maybe | 0 |
      | the proxy has the faults {"hold_down": true}          | upstream_timeout | maybe | 1 |
      | the service has the faults {"n_dropped_calls": 1}     | stream_broken    | maybe | 0 |
      | the service has the faults {"n_dropped_answers": 1}   | stream_broken    | maybe | 1 |
      | the service has the faults {"answer_delay_s": 60}     | upstream_timeout | maybe | 1 |

  Scenario Outline: An answer of the service is passed on whatever its status
    # Guards against hiding what the service itself said.
    Given a plain service behind a proxy
    And the service has the faults <faults>
    When a non-repeatable call is sent
    Then the service answered <status>
    And the call took effect <n> times

    Examples:
      | faults                   | status | n |
      | {}                       | 200    | 1 |
      | {"n_errors_before": 1}   | 500    | 0 |
      | {"n_errors_after": 1}    | 500    | 1 |

  Scenario: A non-repeatable call never uses a kept connection
    # Guards against the unclear outcome of a call on a connection that the
    # service is closing.
    Given a plain service behind a proxy
    When a non-repeatable call is sent
    And a non-repeatable call is sent
    Then the proxy saw 2 connections

  Scenario: The state of a draining service is read
    # Guards against new work for a service that is leaving.
    Given a plain service behind a proxy
    And the service has the faults {"draining": true}
    Then the service's state is draining

  Scenario: A stream that the proxy half-closes isn't complete
    # Guards against taking an early end of the connection for the end of an answer.
    Given an engine behind a proxy with the options --token-s 0.05
    When the prompt "north" runs and the proxy gets {"half_close": "down"}
    Then it fails with stream_broken, ran maybe
