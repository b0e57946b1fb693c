Feature: Signals in each phase of a process
  A signal may come at any moment, more than once and beside others. None but a stop
  signal ends a process, and no signal cuts off a request that a node has accepted.

  Scenario: A node that waits for the store survives changes of its settings
    # Guards against SIGHUP ending a node that waits for the store as it starts.
    Given a store, 2 servers and the node "n1"
    And the store is silent
    And the node "n2" starts and waits for the store
    When the node "n2" gets "SIGHUP" 5 times, every 100 ms
    And the retry share of "n2" becomes 0.4
    And the store answers again
    Then the node "n2" becomes ready
    And the node "n2" reloads its settings after "signal"

  Scenario: A node that waits for the store stops at once
    # Guards against a stop signal at the start that is lost, or that ends the node
    # without its own clean-up.
    Given a store, 2 servers and the node "n1"
    And the store is silent
    And the node "n2" starts and waits for the store
    When the node "n2" gets "SIGHUP SIGTERM SIGHUP SIGTERM SIGINT" 1 time, every 0 ms
    Then the node "n2" has exited with code 0 within 5 s

  Scenario: Signals are captured before the program's imports
    # Guards against a signal that ends a process while its modules are imported.
    Given a store, 2 servers and the node "n1"
    And the node "n2" is started and gets "SIGHUP" before it has read its settings
    Then the node "n2" becomes ready
    And the node "n2" reloads its settings after "signal"

  Scenario Outline: Signals during a graceful shutdown cut off no request
    # Guards against SIGHUP, or a second stop signal, ending a node that still serves.
    Given a store, 2 servers and the node "n1"
    When a client posts "/long/a" with the script "stream:240" to "n1" in the background
    And the node "n1" is stopped by SIGTERM
    And the node "n1" gets "<signals>" <n> times, every <gap> ms
    Then the client gets 200 with the events 1 to 240 once each
    And the node "n1" exits with code 0

    Examples:
      | signals               | n   | gap |
      | SIGHUP                | 1   | 0   |
      | SIGTERM               | 3   | 100 |
      | SIGINT                | 3   | 100 |
      | SIGHUP SIGTERM SIGINT | 20  | 50  |
      | SIGHUP                | 500 | 1   |

  Scenario: Signals until a node has gone change nothing about its exit
    # Guards against SIGHUP ending a process between its last request and its exit.
    Given a store, 2 servers and the node "n1"
    When the node "n1" is stopped by SIGTERM
    And the node "n1" gets "SIGHUP" every 2 ms until it has exited
    Then the node "n1" exits with code 0

  Scenario: A front node survives SIGHUP as it starts and while it serves
    # Guards against SIGHUP ending the product's own node, which has no such handler.
    Given accounts "fes" that may use model "wax"
    And engines "e1"
    And a node "n1"
    And the front node "n2" is started and gets "SIGHUP" during its imports
    Then the front node "n2" serves
    And the front node "n2" has checked its settings
    When the node "n1" gets "SIGHUP" 5 times, every 20 ms
    Then account "fes" sends prompt "Still there?" to "n1" with success

  Scenario Outline: Signals during a front node's graceful stop cut off no answer
    # Guards against SIGHUP, or a repeated SIGTERM, ending a front node that still serves.
    Given accounts "fes" that may use model "wax"
    And engines "e1"
    And engine "e1" sends a token every 0.2 s
    And nodes "n1, n2"
    When account "fes" sends prompt "Before the stop" to "n1", which is stopped during the answer
    And the node "n1" gets "<signals>" <n> times, every <gap> ms
    Then node "n2" no longer lists "n1" while the answer continues
    And the answer is complete and belongs to the prompt
    And node "n1" has ended with exit code 0

    Examples:
      | signals        | n  | gap |
      | SIGHUP         | 3  | 100 |
      | SIGTERM        | 3  | 100 |
      | SIGHUP SIGTERM | 10 | 20  |

  Scenario: Signals until a front node has gone change nothing about its exit
    # Guards against SIGHUP ending a front node between its last request and its exit.
    Given accounts "fes" that may use model "wax"
    And engines "e1"
    And a node "n1"
    When the node "n1" gets "SIGTERM" 1 time, every 0 ms
    And the node "n1" gets "SIGHUP" every 2 ms until it has exited
    Then the node "n1" has exited with code 0 within 5 s

  Scenario: An interrupt ends a front node's graceful stop
    # Guards against a stop without a deadline that a person can't shorten.
    Given accounts "fes" that may use model "wax"
    And engines "e1"
    And engine "e1" sends a token every 3 s
    And nodes "n1, n2"
    When account "fes" sends prompt "Before the stop" to "n1", which is stopped during the answer
    And the node "n1" has begun to stop
    And the node "n1" gets "SIGINT" 1 time, every 0 ms
    Then the node "n1" has exited with code 0 within 20 s
