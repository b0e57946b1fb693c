Feature: Refusals of prompts that no engine has memory for

  Background:
    Given engines with memory for 10000 tokens and a route of priority 1 beside one of 0

  # Guards against: prompts that wait in a full engine past their latency target, and
  # make all others late.
  Scenario: A prompt is refused while running requests fill every engine
    Given 9500 tokens run at each engine
    When a prompt of 1500 tokens of priority 1 asks for room
    Then it is refused as "overloaded", with a time to come back

  # Guards against: refusals while an engine could begin the prompt at once.
  Scenario: A prompt is admitted while one engine has room
    Given 9500 tokens run at each engine
    And one engine is idle
    When a prompt of 1500 tokens of priority 1 asks for room
    Then it is admitted

  # Guards against: prompts that are refused for ever because they are large.
  Scenario: A prompt larger than what is left is admitted where little runs
    Given 4000 tokens run at each engine
    When a prompt of 9000 tokens of priority 1 asks for room
    Then it is admitted

  # Guards against: urgent prompts that are refused together with all others.
  Scenario: The most urgent prompts are refused later
    Given 9500 tokens run at each engine
    When a prompt of 1500 tokens of priority 0 asks for room
    Then it is admitted
    Given 12000 tokens run at each engine
    When a prompt of 1500 tokens of priority 0 asks for room
    Then it is refused as "overloaded", with a time to come back

  # Guards against: prompts that are late already and make others late as well.
  Scenario: A prompt that came back is admitted while some room is left, behind others
    Given 8000 tokens run at each engine
    When a prompt of 1500 tokens of priority 1 asks for room
    Then it is admitted
    When a prompt of 1500 tokens of priority 0 asks for room after a refusal
    Then it is refused as "overloaded", with a time to come back
    Given 7000 tokens run at each engine
    When a prompt of 1500 tokens of priority 0 asks for room after a refusal
    Then it is admitted
    And the engine's priority for it is 9

  # Guards against: large prompts that are refused while small ones are served.
  Scenario: A large prompt is refused no sooner than others
    Given 8500 tokens run at each engine
    When a prompt of 1000 tokens of priority 1 asks for room
    Then it is admitted
    When a prompt of 9000 tokens of priority 1 asks for room
    Then it is admitted

  # Guards against: a refusal that is drawn from engines that can't be used.
  Scenario: Engines that refuse work don't count as room
    Given 9500 tokens run at each engine
    And one engine is idle and refuses work
    When a prompt of 1500 tokens of priority 1 asks for room
    Then it is refused as "overloaded", with a time to come back

  # Guards against: prompts that are refused because the size of memory isn't known.
  Scenario: Engines whose memory isn't known admit everything
    Given engines with memory for 0 tokens and a route of priority 1 beside one of 0
    And 9500 tokens run at each engine
    When a prompt of 1500 tokens of priority 1 asks for room
    Then it is admitted
