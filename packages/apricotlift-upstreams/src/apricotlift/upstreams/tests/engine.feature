Feature: Answers of an engine

  Scenario: A crossed answer is refused by its headers
    # Guards against showing one caller the text of another's prompt.
    Given an engine
    And the engine has the faults {"foreign_headers": true}
    When the prompt "north" runs
    Then it fails with foreign_attempt, ran maybe

  Scenario: A crossed refusal isn't taken for an own one
    # Guards against reporting "not run" for a request that ran, because the
    # refusal of another request was read as its own.
    Given an engine
    And the engine has the faults {"foreign_headers": true, "state": "draining"}
    When the prompt "north" runs
    Then it fails with foreign_attempt, ran maybe

  Scenario Outline: An own refusal says that nothing ran
    # Guards against retries being withheld from work that certainly didn't run.
    Given an engine
    And the engine has the faults {"state": "<state>"}
    When the prompt "north" runs
    Then it fails with <code>, ran no
    And the engine ran 0 attempts

    Examples:
      | state    | code              |
      | draining | upstream_draining |
      | full     | upstream_full     |

  Scenario: Events of another attempt are dropped
    # Guards against foreign text inside an answer.
    Given an engine
    And the engine has the faults {"foreign_events": true}
    When the prompt "north" runs
    Then its text is complete
    And events of other attempts were counted

  Scenario: A crossed control answer is refused
    # Guards against believing the health of another call or another engine.
    Given an engine
    And the engine has the faults {"foreign_headers": true}
    When the engine's health is read
    Then it fails with foreign_attempt, ran maybe

  Scenario: A broken stream is resumed by offset
    # Guards against lost or repeated text after a break.
    Given an engine
    And the engine has the faults {"break_after": 3}
    When the prompt "north" runs
    Then it fails with stream_broken, ran maybe
    When the rest of the stream is read
    Then its text is complete

  Scenario: A text that ends within a token is continued exactly
    # Guards against a gap where another engine takes over in the middle of a token.
    Given an engine
    When the prompt "north" continues after 17 characters
    Then its text is complete

  Scenario: A stream is lost after the retention period
    # Guards against resumption from a stream that the engine has dropped.
    Given an engine with the options --retention-s 0.2
    When the prompt "north" runs
    And the engine has dropped the stream
    And the rest of the stream is read
    Then it fails with stream_lost, ran maybe

  Scenario: A cancelled attempt ends and frees its place
    # Guards against work that goes on for a caller who has left.
    Given an engine with the options --token-s 5
    When the prompt "north" is started and cancelled
    Then it fails with stream_broken, ran maybe
    And the engine's load shows no work
    When the rest of the stream is read
    Then it fails with cancelled, ran yes

  Scenario: A marked prompt ends the process
    # Guards against a fault switch that leaves the crash of section 12 untested.
    Given an engine with the options --crash-marker boom
    When the prompt "a boom here" runs
    Then it fails with stream_broken, ran maybe
    And the engine has exited with 70

  Scenario: Different salts never share cached blocks
    # Guards against cache hits that cross client accounts.
    Given an engine
    When a prompt of blocks b1 b2 runs under salt s
    Then 0 tokens were cached
    When a prompt of blocks b1 b2 runs under salt s
    Then 2000 tokens were cached
    When a prompt of blocks b1 b2 runs under salt t
    Then 0 tokens were cached
    And every block was used under its own salt

  Scenario: The least recently used blocks are evicted from the end of a chain
    # Guards against evicting the head of a chain, which voids the rest of it.
    Given an engine with the options --kv-blocks 3
    When a prompt of blocks b1 b2 runs under salt s
    And a prompt of blocks c1 c2 runs under salt s
    And a prompt of blocks b1 b2 runs under salt s
    Then 1000 tokens were cached

  Scenario: An urgent prompt overtakes in the prefill queue
    # Guards against interactive prompts that wait behind batch work.
    Given an engine with the options --prefill-s-per-token 0.0002
    When prompts of priority 1 1 0 are queued together
    Then the prompt of priority 0 ended before the last of priority 1

  Scenario: A connection is used again after a complete stream
    # Guards against a new TCP connection for each prompt.
    Given an engine behind a proxy
    When the prompt "north" runs 3 times
    Then the proxy saw 1 connection
