Feature: Rows that the nodes share and another program overwrote

  # Guards against a node that ends at its start, and at each one after it, because the
  # row of the cluster's secret can't be used.
  Scenario Outline: An unusable secret of the cluster is replaced
    Given a table whose secret row has <values>
    When two nodes read the secret of the cluster
    Then both have the same secret of at least 16 bytes

    Examples:
      | values              |
      | {}                  |
      | {"secret": 7}       |
      | {"secret": "short"} |
      | {"other": "x"}      |

  # Guards against a node that ends, or engines that are never ordered again, because the
  # row of the lease can't be used, and against a fencing number below an earlier one.
  Scenario Outline: An unusable lease row is taken over with a greater fencing number
    Given a lease row with <values>, after one with the fencing number 41
    Then it is taken over after the wait of 4 s, with a fencing number above 41

    Examples:
      | values                                                            |
      | {}                                                                |
      | {"fence": "x", "beat": 1, "held": true, "holder": "h"}            |
      | {"fence": 3, "beat": "y", "held": true, "holder": "h"}            |
      | {"fence": 3, "beat": 1, "held": "no", "holder": "h"}              |
      | {"fence": -1, "beat": 1, "held": false, "holder": "h"}            |
      | {"fence": 9007199254740992, "beat": 1, "held": false, "holder": "h"} |
