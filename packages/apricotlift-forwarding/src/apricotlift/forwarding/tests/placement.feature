Feature: Where a prompt runs and which parts move

  Background:
    Given the engines "a in z1, b in z2" and the store "s in z1"

  # Guards against: shared parts that are read again though an engine has them.
  Scenario: An engine that holds the shared parts is preferred
    Given "b" holds "p1, p2"
    When a prompt with the parts "p1, p2, own" is placed
    Then it runs on "b" and reads 100 tokens

  # Guards against: parts that an engine has dropped since it reported them.
  Scenario: A part that a store has is named as a source even where the engine has it
    Given "b" holds "p1, p2"
    And "s" holds "p1"
    When a prompt with the parts "p1, p2, own" is placed
    Then it runs on "b" and reads 100 tokens
    And it fetches "p1"

  # Guards against: a queue before one engine while others are idle.
  Scenario: A busy engine loses the prompt, and the parts are fetched
    Given "b" holds "p1, p2"
    And "b" has 60000 tokens to read for other nodes
    When a prompt with the parts "p1, p2, own" is placed
    Then it runs on "a" and reads 100 tokens
    And it fetches "p1, p2"

  # Guards against: prompts that wait for memory that other nodes' runs take.
  Scenario: An engine whose memory is taken by other nodes' requests loses the prompt
    Given "b" holds "p1, p2"
    And "s" holds "p1, p2"
    And "b" has 38000 tokens of running requests of other nodes
    When a prompt with the parts "p1, p2, own" is placed
    Then it runs on "a" and reads 100 tokens

  # Guards against: parts that are fetched while they are still being written, or that
  # are gone, because the store's events can't be read.
  Scenario: Nothing is fetched from a store whose events can't be read
    Given "s" holds "p1, p2"
    And the events of "s" can't be read
    When a prompt with the parts "p1, p2, own" is placed
    Then it reads 2100 tokens

  # Guards against: a part that is fetched though the store has only its beginning.
  Scenario: A part that a store holds in part isn't fetched
    Given "s" holds only 500 tokens of "p1"
    When a prompt with the parts "p1, p2, own" is placed
    Then it reads 2100 tokens

  # Guards against: a part that is reused without the parts before it.
  Scenario: A part counts only with all parts before it
    Given "a" holds "p2"
    And "b" holds "p2"
    When a prompt with the parts "p1, p2, own" is placed
    Then it reads 2100 tokens

  # Guards against: the same part read by every engine at once.
  Scenario: Nodes that know nothing of a part choose the same engine
    When a prompt with the parts "p1, p2, own" is placed by 20 nodes
    Then all of them choose the same engine

  # Guards against: KV cache of another weight version or another account.
  Scenario: Parts of another version and of another account are not found
    Given "b" holds "p1, p2"
    When a prompt with the parts "p1, p2, own" is placed on version 2
    Then it reads 2100 tokens
    When a prompt with the parts "p1, p2, own" is placed for an isolated account
    Then it reads 2100 tokens

  # Guards against: parts that are read again while weights are replaced, though a store
  # had them before.
  Scenario: What a store held before is fetched on weights that have been replaced
    Given "s" holds "p1"
    When a prompt with the parts "p1, p2, own" is placed on replaced weights
    Then it reads 1100 tokens
    And it saves nothing

  # Guards against: a part that is written under newer weights than its salt says.
  Scenario Outline: What is kept after weights are replaced is not fetched
    When weights are replaced and "<holder>" is said to hold "p1, p2"
    And a prompt with the parts "p1, p2, own" is placed on those weights
    Then it reads <n> tokens
    And it saves nothing

    Examples:
      | holder | n    |
      | s      | 2100 |

  # Guards against: saves that a full store loses, and parts that are saved twice.
  Scenario: A part is saved once, where there is room
    When a prompt with the parts "p1, p2, own" is placed
    Then it saves "p1, p2"
    When a prompt with the parts "p1, p2, own" is placed
    Then it saves nothing
    Given the store "s" has room for 900 tokens
    When a prompt with the parts "p3, p4, own" is placed
    Then it saves nothing

  # Guards against: engines that refuse work being asked again and again.
  Scenario: An engine that refuses work comes last
    Given "b" holds "p1, p2"
    And "b" refuses work
    When a prompt with the parts "p1, p2, own" is placed
    Then it runs on "a"
