Feature: Engine load that nodes report to each other

  Background:
    Given a node that receives its peers' placement messages

  # Guards against engines that look idle because prompts of other nodes don't count.
  Scenario: The prefill of a peer's prompt counts until it is done
    When the peer "n2" sends "e1" a prompt with 5000 tokens to compute
    Then "e1" has 5000 tokens to compute and 5100 tokens of memory in use
    When the peer "n2" reports that the prompt at "e1" is computed
    Then "e1" has 0 tokens to compute and 5100 tokens of memory in use

  # Guards against engines whose memory looks used by requests that have ended.
  Scenario: The memory of a peer's request counts until it ends
    When the peer "n2" sends "e1" a prompt with 5000 tokens to compute
    And the peer "n2" reports that the prompt at "e1" is ended
    Then "e1" has 0 tokens to compute and 0 tokens of memory in use

  # Guards against engines that look full because a part that several requests share
  # counts once for each of them.
  Scenario: A part that several requests share counts once
    When the peer "n2" sends "e1" a prompt with 5000 tokens to compute
    And the peer "n3" sends "e1" a prompt with 3000 tokens to compute
    And this node sends "e1" a prompt with 2000 tokens to compute
    Then "e1" has 10000 tokens to compute and 10100 tokens of memory in use
    When the peer "n2" reports that the prompt at "e1" is ended
    Then "e1" has 5000 tokens to compute and 5100 tokens of memory in use

  # Guards against load that stays forever because the message about its end was lost.
  Scenario: A prompt whose end was never reported expires
    When the peer "n2" sends "e1" a prompt with 5000 tokens to compute
    And 3 seconds elapse
    Then "e1" has 0 tokens to compute and 5100 tokens of memory in use
    When 6 seconds elapse
    Then "e1" has 0 tokens to compute and 0 tokens of memory in use

  # Guards against two nodes that have the same part computed at two engines.
  Scenario: A part of a peer's prompt is expected at the peer's engine
    When the peer "n2" sends "e1" a prompt with 5000 tokens to compute
    Then the part "p1" is expected at "e1"

  # Guards against requests that are sent to an engine while it loads weights.
  Scenario: An engine that a peer orders to load weights is avoided
    When the peer "n2" orders "e1" to load weights
    Then "e1" is avoided
