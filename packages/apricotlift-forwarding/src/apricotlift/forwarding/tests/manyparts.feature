Feature: Work for one prompt is bounded

  # Guards against a node that answers nobody because its event loop works on a prompt of
  # many parts, by itself or with what earlier prompts and other nodes left pending.
  Scenario Outline: A prompt of many parts holds up the event loop for a short time
    Given <engines> engines and <stores> stores, of which <holding> hold the parts of a prompt
    And <n> earlier prompts of 2100 other parts were placed
    When a prompt of <parts> parts is placed
    Then no prompt took more than 100 ms of processor time

    Examples:
      | engines | stores | holding | n  | parts |
      | 2       | 2      | none    | 12 | 2100  |
      | 2       | 2      | all     | 12 | 2100  |
      | 30      | 4      | all     | 2  | 2100  |
      | 100     | 4      | none    | 12 | 2100  |
      | 100     | 4      | all     | 2  | 2100  |
      | 600     | 8      | all     | 2  | 2100  |
      | 600     | 8      | all     | 2  | 10    |

  # Guards against the same where the holders of each part differ.
  Scenario: Parts that are each held by other engines are compared in bounded time
    Given 100 engines and 4 stores, of which some hold the parts of a prompt
    When a prompt of 2100 parts is placed
    Then no prompt took more than 100 ms of processor time

  # Guards against checks that grow with the square of the parts in crash reports.
  Scenario: A prompt whose 300 parts were in crashes is checked in a short time
    Given 4 crashes of engines that each had the same 300 parts
    When a prompt with these parts is checked
    Then no prompt took more than 100 ms of processor time

  # Guards against a record of expected parts that grows without a limit.
  Scenario: Expected parts of an engine are bounded
    Given 2 engines and 2 stores, of which none hold the parts of a prompt
    And 100 earlier prompts of 2100 other parts were placed
    Then each engine is expected to hold at most 20000 parts

  # Guards against reservations of earlier saves that take room after they have expired.
  Scenario: Saves that were never reported give their room back
    Given 1 engines and 1 stores, of which none hold the parts of a prompt
    And 1 earlier prompts of 2100 other parts were placed
    Then the store has less room than before
    When 3.1 seconds pass without a report
    Then the store has as much room as before

  # Guards against parts behind the compared ones that are forgotten in sums.
  Scenario: Parts behind the compared ones count as tokens that are computed
    Given 2 engines and 2 stores, of which all hold the parts of a prompt
    When a prompt of 1000 parts is placed
    Then it reuses the tokens of 256 parts and computes the rest
    And its load counts all of its tokens
