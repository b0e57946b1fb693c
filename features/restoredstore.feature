Feature: The store comes back from a copy some seconds old

  # Guards against a configuration that no node ever sees, because the version counter has
  # passed the nodes' positions again before they poll.
  Scenario: A configuration is applied although its row version was given out before
    Given a store, 2 servers and the node "n1"
    And a copy of the store was taken
    And the node "n1" has seen 3 more rows of the operator
    When the store comes back from the copy with configuration 6, the route "/new/" and 6 more rows
    Then a client that gets "/new/a" from "n1" eventually receives 200
    And the node "n1" logs that the store was restored as era 2

  # Guards against a configuration that is taken back because the copy is older.
  Scenario: A route that was added is served on although the copy lacks it
    Given a store, 2 servers and the node "n1"
    And a copy of the store was taken
    When the operator writes configuration 6 with the route "/new/"
    Then a client that gets "/new/a" from "n1" eventually receives 200
    When the store comes back from the copy
    Then the node "n1" logs that the store was restored as era 2
    And the node "n1" still has configuration 6
    When a client gets "/new/b" from "n1"
    Then the client gets 200
    When the operator writes configuration 7 with the route "/later/"
    Then a client that gets "/later/a" from "n1" eventually receives 200

  # Guards against requests to a server that the copy shows as it was before it drained.
  Scenario: A draining server isn't used because a restored entry says that it serves
    Given a store, 2 servers and the node "n1"
    And a copy of the store was taken
    When the server "i-1" starts to drain
    And the store comes back from the copy
    Then the node "n1" logs that the store was restored as era 2
    When the client gets "/lookup/a" 10 times from "n1"
    Then the server "i-1" received no request

  # Guards against nodes that no longer know each other, or that a node that starts can't
  # speak with, because the copy is from before they started.
  Scenario: Nodes stay members although the copy lacks all of their rows
    Given a store, 2 servers, a copy of the store, and the nodes "n1, n2"
    When the store comes back from the copy
    Then the store soon has the nodes' member rows, lease row and cluster secret
    And the directories of "n1, n2" list 2 nodes for 6 seconds
    And the directories of "n1, n2, n3" list 3 nodes after "n3" has started
