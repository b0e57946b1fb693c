Feature: The operators' command line

  # Guards against: an example that this release rejects, or whose size differs from the
  # deployment that it stands for.
  Scenario Outline: The examples are valid and of the size of their deployment
    Given the declarations of the example "<name>"
    Then the command line "check FILES" ends with 0
    And the example has <domains> failure domains, <engines> engines, <services> services
    And the example's 8 node settings and its operator settings are valid
    And the example forbids to repeat a POST of "<service>" "<path>"

    Examples:
      | name                         | domains | engines | services | service       | path         |
      | atlas-chaine-cooperative     | 4       | 5       | 4        | subscriptions | /renewals/9  |
      | kathmandu-valley-map-folding | 3       | 6       | 3        | order-desk    | /fold-orders |

  # Guards against: a fault that is reported without its place, or as a stack trace.
  Scenario: The command line reports findings with their places
    Given a declarations file
      """
      [account atlas]
      modles = wax
      """
    Then the command line "check FILES" ends with 5
    And standard error has "declarations.ini:2: [account atlas] modles: unknown key 'modles'; did you mean 'models'?"
    And standard error has "next: "
    And the command line "check FILES --json" ends with 5
    And standard error is JSON with "bad_declarations"

  # Guards against: changed exit codes and texts, on which operators' scripts rely.
  Scenario: The command line leads an operator through a change
    Given the declarations of the example "atlas-chaine-cooperative"
    And a platform on which every instance confirms at once
    Then the command line "history --settings SETTINGS" ends with 0
    And standard output has "no version has been applied yet"
    And the command line "diff --settings SETTINGS FILES" ends with 0
    And standard output has "base version: 0"
    And the command line "apply --settings SETTINGS --base 0 --message first FILES" ends with 0
    And standard output has "version 1 is accepted: 3 of 3 members confirm it"
    And the command line "diff --settings SETTINGS FILES --json" ends with 0
    And standard output is JSON whose "base_version" is 1
    And the command line "history --settings SETTINGS --json" ends with 0
    And the command line "apply --settings SETTINGS --base 0 --message first FILES" ends with 0
    And the command line "apply --settings SETTINGS --base 0 --message other FILES" ends with 3
    And standard error has "version 1 was taken by a change of m.perrin: 'first'"
    And standard error has "next: merge the other change"
    And the command line "apply --settings SETTINGS --base 1 --message other --json FILES" ends with 0
    And standard output is JSON whose "version" is 1

  # Guards against: `show` printing other declarations than those in force.
  Scenario Outline: The shown declarations are those that were applied
    Given the declarations of the example "<name>"
    And a platform on which every instance confirms at once
    Then the command line "apply --settings SETTINGS --base 0 --message first FILES" ends with 0
    And the command line "show --settings SETTINGS" ends with 0
    And standard output has the same declarations as the files
    And the command line "show --settings SETTINGS --at 7" ends with 1

    Examples:
      | name                         |
      | atlas-chaine-cooperative     |
      | kathmandu-valley-map-folding |

  # Guards against: a change that is reported as accepted while an instance still has the
  # older version.
  Scenario: The command line tells a committed change from an accepted one
    Given the declarations of the example "atlas-chaine-cooperative"
    And a platform on which the instance "e3" stays behind
    Then the command line "apply --settings SETTINGS --base 0 --message first --wait-s 0 FILES" ends with 4
    And standard output has "version 1 is committed, not yet accepted"
    And standard output has "waiting for e3 (atlas-c): confirms an older version (0)"
    And standard error has "next: look at the instances named above"

  # Guards against: an outage of the platform that is reported like a refused change.
  Scenario: The command line says when the platform can't be reached
    Given the declarations of the example "atlas-chaine-cooperative"
    And a platform that is down
    Then the command line "apply --settings SETTINGS --base 0 --message first FILES" ends with 6
    And standard error has "table_unavailable"
    And standard error has "next: nothing was changed"

  # Guards against: a report for an insurer that lacks a reason or doesn't mark an overdue
  # review.
  Scenario: The exceptions are listed with reasons and overdue reviews
    Given a declarations file
      """
      [account atlas]
      [exception old]
      applies_to = account atlas
      setting = burst
      value = 300
      reason = agreed in contract 7
      author = mp
      review_on = 2026-01-31
      [exception new]
      applies_to = account atlas
      setting = max_in_flight
      value = 9
      reason = small caller, one process
      author = mp
      review_on = 2999-01-31
      """
    Then the command line "exceptions FILES" ends with 0
    And standard output has "2, 1 past their review"
    And standard output has "2026-01-31  (REVIEW OVERDUE)"
    And standard output has "agreed in contract 7"
    And the command line "exceptions FILES --json" ends with 0
    And standard output is JSON whose exceptions are
      | name | fleet_value | value | is_overdue |
      | old  | 100         | 300   | true       |
      | new  | 64          | 9     | false      |

  # Guards against: fields of a node's status that the command line doesn't show, and an
  # operator's key that is sent in another way than the node expects.
  Scenario: The command line shows what a node's admin listener says
    Given an admin listener of a node
    Then the command line "status --settings SETTINGS" ends with 0
    And standard output has "state: serving"
    And standard output has "field_of_a_later_release:"
    And the command line "explain --settings SETTINGS r/1" ends with 0
    And standard output has "chosen: m1"
    And the command line "explain --settings SETTINGS nothing" ends with 1
    And standard error has "next: look for the request id"
    And the command line "drain --settings SETTINGS" ends with 0
    And standard output has "state: draining"
    And the command line "undrain --settings SETTINGS --json" ends with 0
    And standard output is JSON whose "state" is "serving"
    And the admin listener received the requests
      | method | path              |
      | GET    | /status           |
      | GET    | /explain/r%2F1    |
      | GET    | /explain/nothing  |
      | POST   | /drain            |
      | POST   | /undrain          |

  # Guards against: a stack trace, or exit code 0, when a node is unreachable or sends an
  # invalid response.
  Scenario Outline: The command line names what is wrong with an admin listener
    Given an admin listener that <fault>
    Then the command line "status --settings SETTINGS" ends with <exit>
    And standard error has "<text>"

    Examples:
      | fault                 | exit | text             |
      | doesn't listen        | 6    | peer_unreachable |
      | closes the connection | 6    | peer_unreachable |
      | sends no JSON         | 1    | peer_protocol    |
      | refuses the key       | 1    | unauthenticated  |

  # Guards against: a key whose hash differs from the one the node computes.
  Scenario: The command line hashes a key from standard input
    Then hashing the key "abc" ends with 0
    And standard output has "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    And hashing the key "" ends with 2

  # Guards against: usage errors that end with a stack trace or another exit code.
  Scenario Outline: The command line refuses what it can't run
    Then the program "<arguments>" ends with <exit> and no stack trace

    Examples:
      | arguments                                          | exit |
      |                                                    | 2    |
      | nothing                                            | 2    |
      | check                                              | 2    |
      | apply --settings missing.ini --base 0 --message m  | 5    |
      | apply --settings missing.ini --base x --message m  | 2    |
      | status --settings missing.ini                      | 5    |
      | exceptions                                         | 2    |

  # Guards against: a command without an example or without its exit codes.
  Scenario: The help of each command has an example and its exit codes
    Then the help of each command has "Example:" and "Exit codes:"

  # Guards against: a reference page that lacks a key or has an outdated default.
  Scenario: The operators' page lists each key, default, command and exit code
    Then the operators' page lists each key of the declarations with its default
    And the operators' page lists each command and exit code
