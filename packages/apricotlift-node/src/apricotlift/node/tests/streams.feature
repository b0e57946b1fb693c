Feature: Answers that are held and read

  # Guards against: text that is lost, doubled or shifted when pieces are joined while
  # readers stand anywhere in the answer.
  Scenario: Readers at any offset see the same text however it arrives
    Then for any pieces and offsets each reader of an answer gets the rest of its text

  # Guards against: a late chunk of a cancelled attempt that is added to an answer.
  Scenario: An answer takes no text after its end
    Given an answer that has ended
    Then adding text to the answer is refused
    And ending the answer again is refused

  # Guards against: memory that grows with every answer that was ever given.
  Scenario: Ended answers are dropped after their retention
    Given an answer that has ended
    When the answer's retention has passed
    Then the answer is no longer held
