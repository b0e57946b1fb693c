Feature: Time limits for the use of weights after newer ones were named

  Background:
    Given the engines "a, b" on version 1 and a limit of 8 seconds

  # Guards against engines whose time limit starts anew whenever a newer version is named.
  Scenario: A newer version doesn't extend the use of the weights before
    When version 2 is named and 6 seconds pass
    And "b" loads version 2
    And version 3 is named and 1.5 seconds pass
    Then prompts may run on "b"
    When 6 seconds pass
    Then prompts may run on none

  # Guards against time limits that are lost when very many versions are named.
  Scenario: Very many versions in quick succession keep the limit of the first
    When versions 2 to 40 are named within 6 seconds
    And 1.5 seconds pass
    Then prompts may run on none

  # Guards against parts that were computed with newer weights than their salt says, by
  # an engine that lacks two versions.
  Scenario: Parts count as reported after the first version that an engine lacks
    When version 2 is named and 2 seconds pass
    And version 3 is named and 1 seconds pass
    Then parts may be fetched to "a" if they were reported 3.1 seconds ago
    But not if they were reported 2.9 seconds ago

  # Guards against old weights that are used past their limit because a node was
  # suspended, or its connection silent, while a version was named.
  Scenario: The limit counts from before a node learned of the version
    When version 2 is named 4 seconds before the node learns of it
    Then prompts may run on "a, b"
    When 3.5 seconds pass
    Then prompts may run on none

  # Guards against prompts that begin on old weights because they waited at the engine
  # when the limit was reached.
  Scenario: A prompt that waits at its engine is cancelled at the limit
    When a prompt is sent to "a", which doesn't respond
    And version 2 is named and 6 seconds pass
    Then the prompt still waits
    When 1.5 seconds pass
    Then the prompt ends with "weights_replaced"
    And it may have run

  # Guards against answers that are cut off because newer weights were named.
  Scenario: An answer that has begun isn't cancelled at the limit
    When a prompt is sent to "a", which begins its response
    And version 2 is named and 8 seconds pass
    Then the prompt still waits

  # Guards against a restarted node that counts the limit from its own start.
  Scenario: A node that starts doesn't use weights that were replaced before
    When the node starts after version 2 was named
    Then prompts may run on none
    When "b" loads version 2
    Then prompts may run on "b"

  # Guards against old weights that are used past their limit because the answer before,
  # which the node read late, is taken for news of the time at which it was read.
  Scenario: An answer that is read late doesn't move the limit
    When the node reads an answer 2 seconds late, and version 2 was named in between
    And 6.5 seconds pass
    Then prompts may run on none
