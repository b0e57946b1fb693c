Feature: Buffered answers

  # Guards against text that is lost, repeated or shifted for a reader because segments
  # are merged while it is reading.
  Scenario: Readers at any offset receive the same text however it arrives
    Then for any segments and offsets each reader of an answer gets the rest of its text

  # Guards against a late chunk of a cancelled attempt that is appended to the answer.
  Scenario: An answer accepts no text after its end
    Given an answer that has ended
    Then adding text to the answer is refused
    And ending the answer again is refused

  # Guards against memory use that grows with each answer because ended answers are never
  # removed.
  Scenario: Ended answers are removed after their retention
    Given an answer that has ended
    When the answer's retention has passed
    Then the answer is no longer held
