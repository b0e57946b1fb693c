Feature: Prompts that are submitted again after a refusal

  Background:
    Given two nodes that notify each other of refusals

  # Guards against a client that resubmits a prompt to another node, where it is treated
  # as new.
  Scenario: A prompt that one node refused is known at the other
    When "n1" refuses the prompt "p1" of "acme"
    Then the prompt "p1" of "acme" is a resubmission at "n1" and "n2"

  # Guards against new prompts that get the lowest priority, which is for resubmissions.
  Scenario: Another prompt, and the same prompt of another account, are new
    When "n1" refuses the prompt "p1" of "acme"
    Then the prompt "p2" of "acme" is new at "n1" and "n2"
    And the prompt "p1" of "north" is new at "n1" and "n2"

  # Guards against a prompt that gets the lowest priority forever.
  Scenario: A refusal expires
    When "n1" refuses the prompt "p1" of "acme"
    And 11 seconds elapse at both nodes
    Then the prompt "p1" of "acme" is new at "n1" and "n2"

  # Guards against memory use that grows with each refusal.
  Scenario: Only the newest refusals are kept
    When "n1" refuses 5001 prompts of "acme"
    Then the prompt "0" of "acme" is new at "n1" and "n2"
    And the prompt "5000" of "acme" is a resubmission at "n1" and "n2"
