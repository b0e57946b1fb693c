Feature: Reports of removed cache blocks
  Guards against cache hints that remain after an engine evicted the block, and against
  a report that removes the hint of a block which the engine has stored again.

  Scenario Outline: A batch of cache events is reported as removed blocks
    Given cache events "<events>"
    Then the reported removals are "<removals>"

    Examples:
      | events                                | removals      |
      | removed 0a 0b, removed 0a 0c          | 0a: 0b 0c     |
      | removed 0a 0b, stored 0a 0b           | none          |
      | removed 0a 0b, cleared                | everything    |
      | cleared, removed 0a 0b                | everything, 0a: 0b |
      | removed xx 0b                         | none          |
