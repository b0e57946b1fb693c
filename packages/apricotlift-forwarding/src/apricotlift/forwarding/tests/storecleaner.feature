Feature: Freeing of stored parts that no request can use

  Background:
    Given a store with parts of version 1 and of version 2, and engines on version 2

  # Guards against stores that fill up with parts of replaced weight versions.
  Scenario: Parts of replaced weights are freed after a while
    When the store is checked, 9 seconds pass and it is checked again
    Then the parts of version 1 only are freed

  # Guards against freeing a part while a request fetches it.
  Scenario: Parts are kept while a fetch may be in progress
    When the store is checked, 5 seconds pass and it is checked again
    Then nothing is freed

  # Guards against freeing parts of a version that an engine still has.
  Scenario: Parts of a version that one engine has are kept
    Given one engine is still on version 1
    When the store is checked, 9 seconds pass and it is checked again
    Then nothing is freed

  # Guards against freeing the parts of a restarted store, which are newer, because the
  # same salt was unused before the restart.
  Scenario: A restart of the store begins the wait anew
    When the store is checked, restarts, 5 seconds pass and it is checked again
    Then nothing is freed
