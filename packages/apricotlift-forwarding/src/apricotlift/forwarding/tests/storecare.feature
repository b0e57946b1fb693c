Feature: Freeing parts that no request can use

  Background:
    Given a store with parts of version 1 and of version 2, and engines on version 2

  # Guards against: stores that fill up with the parts of replaced weights.
  Scenario: Parts of replaced weights are freed after a while
    When the care looks, 9 seconds pass and it looks again
    Then it frees the parts of version 1 only

  # Guards against: a part that is freed while a request fetches it.
  Scenario: Parts are kept while a fetch may be under way
    When the care looks, 5 seconds pass and it looks again
    Then it frees nothing

  # Guards against: parts of weights that an engine still has.
  Scenario: Parts of a version that one engine has are kept
    Given one engine is still on version 1
    When the care looks, 9 seconds pass and it looks again
    Then it frees nothing

  # Guards against: a store that restarted and holds newer parts under the same salt.
  Scenario: A restart of the store begins the wait anew
    When the care looks, the store restarts, 5 seconds pass and it looks again
    Then it frees nothing
