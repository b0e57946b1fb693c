Feature: What a node knows of configuration, weights and servers

  # Guards against: a configuration that reverts when rows are read again.
  Scenario: A configuration never goes back
    Given an empty knowledge
    When the operator's rows say configuration 7 and then configuration 5
    Then configuration 7 is in force

  # Guards against: a broken row of one writer that hides the rows of others.
  Scenario: A row that can't be read leaves the others in force
    Given an empty knowledge
    When the operator's rows are broken beside configuration 4
    And the servers' rows have "a" and a broken "b"
    Then configuration 4 is in force
    And the servers are "a"

  # Guards against: work that is sent to a server whose entry became another writer's.
  Scenario: A server whose entry becomes unreadable is no longer used
    Given a knowledge with the servers "a, b"
    When the entry of "a" becomes unreadable
    Then the servers are "b"

  # Guards against: a route that a shorter prefix hides, or that another host has.
  Scenario Outline: The longest prefix of the host decides
    Given a knowledge with the routes "h:/a/, h:/a/b/, g:/"
    Then "<host>" "<path>" has the route "<route>"

    Examples:
      | host | path   | route |
      | h    | /a/b/c | /a/b/ |
      | h    | /a/x   | /a/   |
      | h    | /ab    | none  |
      | g    | /a/b/  | /     |
      | i    | /a/    | none  |

  # Guards against: new work for a server that has left.
  Scenario: An entry that goes while the store answers means that the server is gone
    Given a knowledge with the servers "a, b"
    When 10 seconds pass and the entry of "a" goes
    Then the servers are "b"

  # Guards against: a fleet that looks empty after the store was away.
  Scenario: Entries that lapsed while the store was away have time to come back
    Given a knowledge with the servers "a, b"
    When the store was away and all entries have lapsed
    Then the servers are "a, b"
    When the entry of "a" comes back and 3 seconds pass
    Then the servers are "a"

  # Guards against: a node that ends because entries lapse while it lists servers.
  Scenario: Entries lapse while outdated engines are listed
    Given a knowledge with the servers "a, b, c"
    And the weights of version 2 are named for them
    When the store was away and all entries have lapsed
    And 3 seconds pass
    Then no engine is outdated

  # Guards against: a draining server that gets new work.
  Scenario: A draining server takes no new work
    Given a knowledge with the servers "a, b"
    When the entry of "b" says draining
    Then the servers are "a"

  # Guards against: a table that is not read again when its history is dropped, or
  # after the store was away.
  Scenario: A feed reads the table again after dropped history and after an outage
    Given a store with the row "x"
    When a feed follows it
    And the store drops its history and gets the row "y"
    And the store is away for a while and gets the row "z"
    Then the feed has the rows "x, y, z"
