Feature: Calls of plain services

  Scenario Outline: A failed non-repeatable call reports whether it may have run
    # Guards against a second run of a call that was wrongly reported as not run, and
    # against a missing retry of a call that certainly did not run.
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

  Scenario Outline: A response of the service is returned whatever its status
    # Guards against replacing an error response of the service by one of our own.
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

  Scenario: A non-repeatable call never reuses a connection
    # Guards against the unknown outcome of a call that is sent on an idle connection
    # while the service closes it.
    Given a plain service behind a proxy
    When a non-repeatable call is sent
    And a non-repeatable call is sent
    Then the proxy saw 2 connections

  Scenario: The state of a draining service is read
    # Guards against sending new calls to a service that is shutting down.
    Given a plain service behind a proxy
    And the service has the faults {"draining": true}
    Then the service's state is draining

  Scenario: A stream that the proxy half-closes is not complete
    # Guards against taking an early end of the connection for the end of an answer.
    Given an engine behind a proxy with the options --token-s 0.05
    When the prompt "north" runs and the proxy gets {"half_close": "down"}
    Then it fails with stream_broken, ran maybe
