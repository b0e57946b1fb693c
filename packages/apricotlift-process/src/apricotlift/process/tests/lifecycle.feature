Feature: The phases of a process and its signals

  Scenario Outline: A signal does what its phase allows
    # Guards against a signal that ends a process which has accepted requests, and against
    # a change of the settings that is lost.
    Given a process that is <phase>
    When it gets the signals "<signals>"
    Then it is <next>, with the start <start>, <n> reloads and the shutdown <shutdown>

    Examples:
      | phase    | signals               | next     | start     | n | shutdown    |
      | starting | SIGHUP                | starting | unharmed  | 0 | unshortened |
      | starting | SIGTERM               | stopping | cancelled | 0 | unshortened |
      | starting | SIGHUP SIGINT         | stopping | cancelled | 0 | unshortened |
      | starting | SIGTERM SIGHUP        | stopping | cancelled | 0 | unshortened |
      | serving  | SIGHUP SIGHUP         | serving  | unharmed  | 2 | unshortened |
      | serving  | SIGTERM               | stopping | unharmed  | 0 | unshortened |
      | serving  | SIGHUP SIGTERM SIGHUP | stopping | unharmed  | 2 | unshortened |
      | serving  | SIGTERM SIGTERM       | stopping | unharmed  | 0 | unshortened |
      | serving  | SIGINT SIGTERM        | stopping | unharmed  | 0 | unshortened |
      | serving  | SIGTERM SIGINT        | stopping | unharmed  | 0 | shortened   |

  Scenario: A change of the settings during the start is applied once the process serves
    # Guards against settings that changed between their reading and the first request.
    Given a process that is starting
    When it gets the signals "SIGHUP SIGHUP"
    And it begins to serve
    Then it is serving, with the start unharmed, 1 reloads and the shutdown unshortened

  Scenario: Signals that come before the event loop runs are kept in their order
    # Guards against signals that are lost between the start of a program and its loop.
    When a process gets "SIGHUP SIGTERM SIGHUP SIGINT" before its loop runs
    Then it receives "SIGHUP SIGTERM SIGHUP SIGINT"

  Scenario: A long series of signals leaves time for other tasks
    # Guards against a process that does nothing but reload its settings.
    When a process gets 1000 times "SIGHUP" while another task runs
    Then it receives fewer than 10 signals, and the other task has run in between

  Scenario: Signals after the last phase don't end a process
    # Guards against the default actions that the interpreter restores as it exits.
    When a process that ignores signals gets "SIGHUP SIGTERM SIGINT" as it exits
    Then it has exited with code 0
