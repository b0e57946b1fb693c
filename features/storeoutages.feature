Feature: The platform's store loses calls for a time, on the users' platform

  # Guards against requests to a server that has left, by a node that noticed the end of an
  # outage seconds late and kept the server because its entry might only have lapsed.
  Scenario Outline: A server that leaves after an outage gets nothing after its drain time
    Given a store, 3 servers and the node "n1"
    And clients get "/lookup/a" from "n1" all the time
    When the store loses all calls for <outage> s
    And the entry of the server in use is removed <after> s later
    And 4 s pass
    Then that server got none later than <limit> s after its removal
    And no client got an error

    Examples:
      | outage | after | limit |
      | 4.1    | 3.05  | 2     |
      | 4.9    | 3.05  | 2     |
      | 7.3    | 3.05  | 2     |
      | 1.0    | 3.05  | 2     |
      | 4.1    | 1.0   | 2     |

  # Guards against servers that are dropped because their entries lapsed in an outage.
  Scenario: A server whose entry lapsed is kept until it has written it again
    Given a store, 1 servers and the node "n1"
    And clients get "/lookup/a" from "n1" all the time
    When the store loses all calls for 4.5 s, in which the entry of "i-1" lapses
    And the entry of "i-1" is written again 1.9 s later
    And 3 s pass
    Then no client got an error
