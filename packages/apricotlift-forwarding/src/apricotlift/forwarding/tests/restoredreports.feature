Feature: Crash reports when the store comes back from a copy

  Background:
    Given the nodes "n1, n2, n3"

  # Guards against crashes that nodes forget because their reports are missing from the
  # copy, and against reports that a node that starts later never gets.
  Scenario Outline: Crashes keep counting, and their reports are written again
    When the prompt "crasher,own-1" crashes the engine "e1" at "n1"
    And the table of reports is copied
    And the prompt "crasher,own-2" crashes the engine "e2" at "n2"
    And the prompt "crasher,own-3" crashes the engine "e3" at "n3"
    And the table of reports comes back from the copy <n> times
    Then all nodes refuse the prompt "crasher,own-4"
    When the node "n4" starts
    Then all nodes refuse the prompt "crasher,own-4"

    Examples:
      | n |
      | 1 |
      | 2 |

  # Guards against old crashes that count again because the copy has their reports.
  Scenario: Reports that were deleted and come back don't count
    When the prompt "crasher,own-1" crashes the engine "e1" at "n1"
    And the prompt "crasher,own-2" crashes the engine "e2" at "n1"
    And the table of reports is copied
    And 700 seconds pass and the nodes "n1" delete old rows
    And the table of reports comes back from the copy 1 times
    And the prompt "crasher,own-3" crashes the engine "e3" at "n2"
    Then no node refuses the prompt "crasher,own-4"

  # Guards against sound parts that a node that starts after the restore refuses, because
  # the copy has the crashes and not the answer after them.
  Scenario: Clearances are written again
    When the prompt "sound,own-1" crashes the engine "e1" at "n1"
    And the prompt "sound,own-2" crashes the engine "e2" at "n2"
    And the prompt "sound,own-3" crashes the engine "e3" at "n2"
    And the table of reports is copied
    And the prompt "sound,own-4" is answered at "n3"
    And the table of reports comes back from the copy 1 times
    And the node "n4" starts
    Then no node refuses the prompt "sound,own-5"

  # Guards against crashes that an older clearance clears when its row is written again.
  Scenario: A clearance that is written again clears nothing twice
    When the prompt "crasher,own-1" crashes the engine "e1" at "n1"
    And the table of reports is copied
    And the prompt "crasher,own-2" is answered at "n2"
    And 60 seconds pass
    And the prompt "crasher,own-3" crashes the engine "e3" at "n1"
    And the prompt "crasher,own-4" crashes the engine "e4" at "n1"
    And the prompt "crasher,own-5" crashes the engine "e5" at "n1"
    And the table of reports comes back from the copy 1 times
    Then all nodes refuse the prompt "crasher,own-6"

  # Guards against a report that a node that starts later counts although the crash was
  # cleared, because the report was written again after the clearance.
  Scenario: A report that is written again names no cleared parts
    When the table of reports is copied
    And the prompt "sound,own-1" crashes the engine "e1" at "n3"
    And the prompt "sound,own-2" crashes the engine "e2" at "n3"
    And the prompt "sound,own-3" crashes the engine "e3" at "n3"
    And the prompt "sound,own-4" is answered at "n1"
    And the table of reports comes back from the copy 1 times
    And the node "n4" starts
    Then no node refuses the prompt "sound,own-5"
