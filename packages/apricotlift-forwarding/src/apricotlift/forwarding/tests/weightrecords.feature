Feature: The nodes record the weight versions that the operator has named

  Background:
    Given the nodes "n1, n2", which know version 1 of the weights

  # Guards against nodes that start on replaced weights, because a late write of the
  # operator has put an older version back.
  Scenario: A node that starts uses the newest version although the row shows an older one
    When the operator names version 3
    And the operator's row shows version 2 again
    And the nodes "n1, n2" are killed, and "n3" starts
    Then "n3" takes version 3 for the newest
    And "n3" uses no older version

  # Guards against the same where the node reads its own table before the operator's.
  Scenario: A node that starts isn't ready before it has read the recorded versions
    When the operator names version 3
    And the operator's row shows version 2 again
    And "n3" starts without access to the nodes' own table
    Then "n3" isn't ready

  # Guards against a version that no node could record, because it was named, and its row
  # overwritten, while none ran.
  Scenario Outline: A node that starts reads what the operator named after the records
    When the operator names version 3
    And all nodes are killed, the operator names version 5, and its row shows version 2 again
    And the store's history is <history>, and "n3" starts
    Then "n3" takes version <newest> for the newest
    And "n3" uses no older version
    And "n3" is ready

    Examples:
      | history    | newest |
      | kept       | 5      |
      | short      | 5      |
      | discarded  | 3      |
      | unanswered | 3      |

  # Guards against a node that was cut off while a version was named and overwritten.
  Scenario: A node that missed a version learns of it from the others
    When the operator names version 3, and its row shows version 2 before "n2" reads it
    Then "n2" takes version 3 for the newest
    And "n2" doesn't use version 2

  # Guards against old weights that can't be used any more at once, because a record
  # arrives before the operator's row does.
  Scenario: A record that arrives first doesn't shorten the time limit of the naming
    When the operator names version 3, and "n2" reads its record first
    Then "n2" takes version 1 for the newest
    When "n2" reads the operator's row
    Then "n2" takes version 3 for the newest
    And "n2" still uses version 1

  # Guards against a record that is taken back by a write that the store carries out late.
  Scenario: A late write of a record takes nothing back
    When the operator names version 2, and the store carries out its record late
    And the operator names version 3
    And the store carries out the late write
    And the nodes "n1, n2" are killed, and "n3" starts
    Then "n3" takes version 3 for the newest

  # Guards against versions that are lost again with a copy of the store.
  Scenario: Records that a restored store lacks are written again
    When the operator names version 3
    And the store comes back from a copy without the records
    And the nodes "n1, n2" are killed, and "n3" starts
    Then "n3" takes version 3 for the newest

  # Guards against rows that are kept for ever, and against one row for each node.
  Scenario: There is one record for each model
    When the operator names version 3
    And the operator names version 4
    And the operator names version 6
    Then the table has the records "6"
    And each version was written once

  # Guards against a record that is never written, because the first node's write waits.
  Scenario: Another node writes the record if the first one's write isn't answered
    When the nodes run, and the operator names version 3 while the first write is lost
    Then the table soon has the records "3"

  # Guards against a record that can't be read and stops the others.
  Scenario Outline: A row that can't be read names no version
    When the operator names version 3
    And the nodes' table has a record with <content>
    And the nodes "n1, n2" are killed, and "n3" starts
    Then "n3" takes version 3 for the newest

    Examples:
      | content                            |
      | {"model": "m", "version": "7"}     |
      | {"model": "m", "version": 0}       |
      | {"model": "m", "version": 1e30}    |
      | {"model": ["m"], "version": 7}     |
      | [7]                                |
      | nothing                            |
