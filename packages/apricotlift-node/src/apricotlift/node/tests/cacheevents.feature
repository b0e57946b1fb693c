Feature: Reports of removed cache blocks
  Guards against hints that stay after an eviction, and against a report that removes
  the hint of a block which the engine has stored again.

  Scenario Outline: What a batch of events reports
    Given cache events "<events>"
    Then the reported drops are "<drops>"

    Examples:
      | events                                | drops         |
      | removed 0a 0b, removed 0a 0c          | 0a: 0b 0c     |
      | removed 0a 0b, stored 0a 0b           | none          |
      | removed 0a 0b, cleared                | everything    |
      | cleared, removed 0a 0b                | everything, 0a: 0b |
      | removed xx 0b                         | none          |
