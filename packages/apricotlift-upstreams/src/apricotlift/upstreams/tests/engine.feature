Feature: Responses of an engine

  Scenario: A response to another attempt is refused by its headers
    # Guards against showing one caller the text of another caller's prompt, when an
    # engine mixes up responses.
    Given an engine
    And the engine has the faults {"foreign_headers": true}
    When the prompt "north" runs
    Then it fails with foreign_attempt, ran maybe

  Scenario: A refusal of another attempt is not applied to this one
    # Guards against reporting "not run" for a request that ran, because it received
    # the refusal of another request.
    Given an engine
    And the engine has the faults {"foreign_headers": true, "state": "draining"}
    When the prompt "north" runs
    Then it fails with foreign_attempt, ran maybe

  Scenario Outline: A refusal without an attempt id may belong to another attempt
    # Guards against reporting "not run" for a request that ran, because a refusal without
    # an id arrived in its place.
    Given an engine
    And the engine has the faults {"refusals_without_id": true, "state": "<state>"}
    When the prompt "north" runs
    Then it fails with upstream_protocol, ran maybe

    Examples:
      | state    |
      | draining |
      | full     |

  Scenario Outline: A refusal of the attempt itself is reported as not run
    # Guards against missing retries of requests that certainly did not run.
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
    # Guards against text of another attempt inside an answer, when an engine sends
    # its events on the wrong stream.
    Given an engine
    And the engine has the faults {"foreign_events": true}
    When the prompt "north" runs
    Then its text is complete
    And dropped events of other attempts were counted

  Scenario: A response to another control call is refused
    # Guards against using a health report that belongs to another call or another
    # engine.
    Given an engine
    And the engine has the faults {"foreign_headers": true}
    When the engine's health is read
    Then it fails with foreign_attempt, ran maybe

  Scenario: A broken stream is resumed by offset
    # Guards against lost or repeated text after the connection breaks.
    Given an engine
    And the engine has the faults {"break_after": 3}
    When the prompt "north" runs
    Then it fails with stream_broken, ran maybe
    When the rest of the stream is read
    Then its text is complete

  Scenario: A text that ends inside a token is continued exactly
    # Guards against lost characters when another engine continues a text that was cut
    # in the middle of a token.
    Given an engine
    When the prompt "north" continues after 17 characters
    Then its text is complete

  Scenario: A stream is lost after the retention period
    # Guards against resuming a stream that the engine no longer retains.
    Given an engine with the options --retention-s 0.2
    When the prompt "north" runs
    And the engine has dropped the stream
    And the rest of the stream is read
    Then it fails with stream_lost, ran maybe

  Scenario: A cancelled attempt ends and leaves the engine idle
    # Guards against an engine that keeps working for a caller that has disconnected.
    Given an engine with the options --token-s 5
    When the prompt "north" is started and cancelled
    Then it fails with stream_broken, ran maybe
    And the engine's load report shows no work
    When the rest of the stream is read
    Then it fails with cancelled, ran yes

  Scenario: A prompt with the crash marker ends the engine process
    # Guards against a fault option without effect, which would leave the crash of
    # section 12 untested.
    Given an engine with the options --crash-marker boom
    When the prompt "a boom here" runs
    Then it fails with stream_broken, ran maybe
    And the engine has exited with 70

  Scenario: Prompts with different salts never share cached blocks
    # Guards against cache hits on blocks of another client account.
    Given an engine
    When a prompt of blocks b1 b2 runs under salt s
    Then 0 tokens were cached
    When a prompt of blocks b1 b2 runs under salt s
    Then 2000 tokens were cached
    When a prompt of blocks b1 b2 runs under salt t
    Then 0 tokens were cached
    And every block was used under its own salt

  Scenario: The least recently used chain is evicted from its end
    # Guards against evicting the first block of a chain, without which the other
    # blocks can't be used.
    Given an engine with the options --kv-blocks 3
    When a prompt of blocks b1 b2 runs under salt s
    And a prompt of blocks c1 c2 runs under salt s
    And a prompt of blocks b1 b2 runs under salt s
    Then 1000 tokens were cached

  Scenario: A prompt of higher priority passes others in the prefill queue
    # Guards against interactive prompts that wait behind batch prompts. Priority 0 is
    # the highest.
    Given an engine with the options --prefill-s-per-token 0.0002
    When prompts of priority 1 1 0 wait in the prefill queue together
    Then the prompt of priority 0 ended before the last of priority 1

  Scenario: A connection is reused after a complete stream
    # Guards against opening a new TCP connection for each prompt.
    Given an engine behind a proxy
    When the prompt "north" runs 3 times
    Then the proxy saw 1 connection
