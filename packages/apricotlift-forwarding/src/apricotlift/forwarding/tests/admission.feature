Feature: Refusal of prompts that no engine has memory for

  Background:
    Given engines with memory for 10000 tokens and routes of priority 0 and 1

  # Guards against prompts that are admitted to full engines, wait there past their
  # latency target, and delay all other prompts.
  Scenario: A prompt is refused while running requests fill every engine
    Given running requests use 9500 tokens of each engine's memory
    When a prompt of 1500 tokens with priority 1 is checked for admission
    Then it is refused as "overloaded" with a retry time

  # Guards against refusals although one engine could start the prompt at once.
  Scenario: A prompt is admitted while one engine has free memory
    Given running requests use 9500 tokens of each engine's memory
    And one engine is idle
    When a prompt of 1500 tokens with priority 1 is checked for admission
    Then it is admitted

  # Guards against large prompts that are refused every time because they never fit
  # beside the running requests.
  Scenario: A prompt larger than the free memory is admitted at a low load
    Given running requests use 4000 tokens of each engine's memory
    When a prompt of 9000 tokens with priority 1 is checked for admission
    Then it is admitted

  # Guards against refusing the most urgent prompts at the same load as all others.
  Scenario: The most urgent prompts are refused at a higher load
    Given running requests use 9500 tokens of each engine's memory
    When a prompt of 1500 tokens with priority 0 is checked for admission
    Then it is admitted
    Given running requests use 12000 tokens of each engine's memory
    When a prompt of 1500 tokens with priority 0 is checked for admission
    Then it is refused as "overloaded" with a retry time

  # Guards against resubmitted prompts that can't meet their target any more and delay
  # prompts that still can.
  Scenario: A resubmitted prompt is admitted at a lower load with the lowest priority
    Given running requests use 8000 tokens of each engine's memory
    When a prompt of 1500 tokens with priority 1 is checked for admission
    Then it is admitted
    When a prompt of 1500 tokens with priority 0 is checked again after a refusal
    Then it is refused as "overloaded" with a retry time
    Given running requests use 7000 tokens of each engine's memory
    When a prompt of 1500 tokens with priority 0 is checked again after a refusal
    Then it is admitted
    And its priority at the engine is 9

  # Guards against large prompts that are refused while small ones are served.
  Scenario: A large prompt is refused at no lower load than others
    Given running requests use 8500 tokens of each engine's memory
    When a prompt of 1000 tokens with priority 1 is checked for admission
    Then it is admitted
    When a prompt of 9000 tokens with priority 1 is checked for admission
    Then it is admitted

  # Guards against admission because of free memory at an engine that can't be used.
  Scenario: Engines that refuse work don't count as free memory
    Given running requests use 9500 tokens of each engine's memory
    And one engine is idle and refuses work
    When a prompt of 1500 tokens with priority 1 is checked for admission
    Then it is refused as "overloaded" with a retry time

  # Guards against refusals where the configuration doesn't state the memory size.
  Scenario: Engines of unknown memory size admit everything
    Given engines with memory for 0 tokens and routes of priority 0 and 1
    And running requests use 9500 tokens of each engine's memory
    When a prompt of 1500 tokens with priority 1 is checked for admission
    Then it is admitted
