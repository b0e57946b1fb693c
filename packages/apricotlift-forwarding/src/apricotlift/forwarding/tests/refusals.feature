Feature: Prompts that come back after a refusal

  Background:
    Given two nodes that tell each other what they refuse

  # Guards against: a client that comes back to another node and is refused there again.
  Scenario: A prompt that one node refused is known at the other
    When "n1" refuses the prompt "p1" of "acme"
    Then the prompt "p1" of "acme" has come back at "n1" and "n2"

  # Guards against: new prompts that are served behind all others.
  Scenario: Another prompt, and another account's, are new
    When "n1" refuses the prompt "p1" of "acme"
    Then the prompt "p2" of "acme" is new at "n1" and "n2"
    And the prompt "p1" of "north" is new at "n1" and "n2"

  # Guards against: a prompt that is served behind all others for ever.
  Scenario: A refusal is forgotten
    When "n1" refuses the prompt "p1" of "acme"
    And 11 seconds go by at both nodes
    Then the prompt "p1" of "acme" is new at "n1" and "n2"

  # Guards against: memory that grows with each refusal.
  Scenario: Only the newest refusals are kept
    When "n1" refuses 5001 prompts of "acme"
    Then the prompt "0" of "acme" is new at "n1" and "n2"
    And the prompt "5000" of "acme" has come back at "n1" and "n2"
