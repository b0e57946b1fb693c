Feature: Prompt parts that crash engines
  Each engine is a process of its own, which ends when it begins to answer a prompt with
  the crashing part.

  # Guards against a part that crashes all engines, because the prompts that have it are
  # alike in nothing else and arrive at different nodes, and against the refusal of sound
  # prompts that share their other parts.
  Scenario: A part is refused at all nodes before it has crashed six engines
    Given a store, 3 servers and the node "n1"
    And another node "n2"
    And 9 engines that crash on the part "crashing", instead of the servers
    When clients post different prompts with the parts "first" and "crashing" in turn to both nodes until one is refused
    Then at most 5 engines have crashed
    And both nodes refuse further prompts with the parts "first" and "crashing" without sending them
    And both nodes answer prompts with the parts "first" and "sound"
