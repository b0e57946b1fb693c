Feature: Weight versions that the operator names, on the users' platform

  # Guards against nodes that start on replaced weights, because a late write of the
  # operator has put an older version back into its row.
  Scenario Outline: Nodes that start again use the newest version that was named
    Given a store, 2 servers and the node "n1"
    And another node "n2"
    And the server "i-1" has version 2 of the weights, and "i-2" version 3
    When the operator names the versions "<named>", which all nodes learn of
    And all nodes are killed <pause_s> s later
    And the operator's row names version 2 again
    And the nodes "n1, n2" start again
    And a client sends 12 prompts to "n1" and "n2"
    Then only the server "i-2" received requests

    Examples:
      | named   | pause_s |
      | 2, 3    | 0.6     |
      | 3       | 0.15    |
      | 1, 2, 3 | 2.0     |

  # Guards against a version that no node knows, because it was named, and its row
  # overwritten, while none ran.
  Scenario: Nodes that start read what the operator named while none ran
    Given a store, 2 servers and the node "n1"
    And the server "i-1" has version 2 of the weights, and "i-2" version 3
    When the operator names the versions "2", which all nodes learn of
    And all nodes are killed 0.3 s later
    And the operator's row names version 3 again
    And the operator's row names version 2 again
    And the nodes "n1, n2" start again
    And a client sends 12 prompts to "n1" and "n2"
    Then only the server "i-2" received requests

  # Guards against a node that learns of no newer version, because it was cut off while
  # the row showed one.
  Scenario: A node that starts while the row goes back learns of the newest version
    Given a store, 2 servers and the node "n1"
    And the server "i-1" has version 2 of the weights, and "i-2" version 3
    When the operator names the versions "2, 3", which all nodes learn of
    And the operator's row names version 2 again
    Given another node "n2"
    When a client sends 12 prompts to "n1" and "n2"
    Then only the server "i-2" received requests
