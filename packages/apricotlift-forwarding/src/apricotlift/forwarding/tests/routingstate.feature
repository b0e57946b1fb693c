Feature: Routing state: configuration, weight versions and servers

  # Guards against a return to an older configuration when rows are read again.
  Scenario: An older configuration never replaces a newer one
    Given an empty routing state
    When the operator's rows contain configuration 7 and then configuration 5
    Then configuration 7 is in force

  # Guards against an unreadable row of one writer that hides the rows of others.
  Scenario: An unreadable row doesn't affect the others
    Given an empty routing state
    When the operator's rows contain an unreadable row and configuration 4
    And the servers' rows contain the entry "a" and an unreadable entry "b"
    Then configuration 4 is in force
    And the servers are "a"

  # Guards against requests to a server whose entry was overwritten by another writer.
  Scenario: A server whose entry becomes unreadable is no longer used
    Given a routing state with the servers "a, b"
    When the entry of "a" becomes unreadable
    Then the servers are "b"

  # Guards against a route that is hidden by one with a shorter prefix, and against
  # routes of another host.
  Scenario Outline: The longest matching prefix of the host decides
    Given a routing state with the routes "h:/a/, h:/a/b/, g:/"
    Then the host "<host>" and the path "<path>" match the route "<route>"

    Examples:
      | host | path   | route |
      | h    | /a/b/c | /a/b/ |
      | h    | /a/x   | /a/   |
      | h    | /ab    | none  |
      | g    | /a/b/  | /     |
      | i    | /a/    | none  |

  # Guards against new requests to a server that has left.
  Scenario: A server is gone when its entry is deleted while the store is available
    Given a routing state with the servers "a, b"
    When 10 seconds pass and the entry of "a" is deleted
    Then the servers are "b"

  # Guards against a cluster that looks empty after an outage of the store, because the
  # servers could not renew their entries.
  Scenario: Entries that lapsed during an outage are kept until servers can renew them
    Given a routing state with the servers "a, b"
    When all entries have lapsed during an outage of the store
    Then the servers are "a, b"
    When the entry of "a" is written again and 3 seconds pass
    Then the servers are "a"

  # Guards against requests to a server that left after the store came back, because the
  # node noticed that late, and counted the time for lapsed entries from then.
  Scenario Outline: A lapsed entry is kept only while its server may write it again
    Given a routing state with the servers "a, b"
    When calls of the servers' table fail for <outage> seconds, the last one <last> seconds before an answer
    And the entry of "a" is missing <after> seconds after the answer
    Then "a" is used for <kept> seconds from then on

    Examples:
      | outage | last | after | kept |
      | 5      | 0.1  | 0     | 2.3  |
      | 5      | 0.6  | 0     | 2.3  |
      | 5      | 0.6  | 1     | 1.3  |
      | 5      | 0.6  | 2.5   | 0    |
      | 5      | 2.0  | 0     | 0.9  |
      | 5      | 3.2  | 0     | 0    |
      | 40     | 3.2  | 0     | 0    |

  # Guards against the same after one call that was lost, and not noticed as a failure.
  Scenario: An entry that is missing after an overtaken poll is kept no longer
    Given a routing state with the servers "a, b"
    When a poll of the servers' table is overtaken by a call 2.5 seconds later
    And the entry of "a" is missing 0 seconds after the answer
    Then "a" is used for 0.4 seconds from then on

  # Guards against a crash of the node because entries lapse, and are removed, while it
  # iterates over the servers.
  Scenario: Entries lapse while outdated engines are listed
    Given a routing state with the servers "a, b, c"
    And the operator names weight version 2 for them
    When all entries have lapsed during an outage of the store
    And 3 seconds pass
    Then no engine is outdated

  # Guards against new requests to a draining server.
  Scenario: A draining server gets no new requests
    Given a routing state with the servers "a, b"
    When the entry of "b" reports draining
    Then the servers are "a"

  # Guards against a table that isn't read again after the store discarded the history
  # or was unavailable.
  Scenario: A feed reads the table again after discarded history and after an outage
    Given a store with the row "x"
    When a feed follows it
    And the store discards its history and receives the row "y"
    And the store is unavailable for a while and receives the row "z"
    Then the feed has the rows "x, y, z"

  # Guards against a process that ends because applying one row raises an unexpected
  # error.
  Scenario Outline: A row that fails unexpectedly doesn't affect the others
    Given a routing state with the servers "a, b, c"
    And a decoder that raises "<error>" for the row "b"
    When the entries of "a, b, d" are written again
    Then the servers are "a, c, d"
    And 1 row of the servers was refused
    And the log line "server_entry_refused" names the row "b" and "<error>"

    Examples:
      | error          |
      | OverflowError  |
      | RecursionError |
      | KeyError       |

  # Guards against a process that ends because of one row of the operator's table.
  Scenario: A row of the operator that fails unexpectedly doesn't affect the others
    Given an empty routing state
    And a decoder that raises "OverflowError" for the row "weights/m"
    When the operator's rows contain an unreadable row and configuration 4
    Then configuration 4 is in force

  # Guards against a log line without end for an entry with many faults.
  Scenario: The reason in a log line is bounded
    Given a routing state with the servers "a"
    When the entry of "b" is refused with a reason of 100000 characters
    Then the log line "server_entry_refused" has at most 1000 characters

  # Guards against a followed table whose task ends because its rows can't be applied.
  Scenario: A feed goes on after its rows could not be applied
    Given a store with the row "x"
    When a feed follows it and fails to apply its first rows
    And the store is unavailable for a while and receives the row "z"
    Then the feed has the rows "x, z"
