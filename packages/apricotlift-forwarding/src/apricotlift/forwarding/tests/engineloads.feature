Feature: What nodes tell each other of engines

  Background:
    Given a node that hears of its peers' placements

  # Guards against: engines that look idle because other nodes' prompts are unseen.
  Scenario: A peer's prompt counts until it is read
    When the peer "n2" gives "e1" 5000 tokens to read
    Then 5000 tokens are unread and 5100 running at "e1"
    When the peer "n2" says that the prompt at "e1" is read
    Then 0 tokens are unread and 5100 running at "e1"

  # Guards against: engines whose memory looks taken by runs that have ended.
  Scenario: A peer's run counts until it ends
    When the peer "n2" gives "e1" 5000 tokens to read
    And the peer "n2" says that the prompt at "e1" is ended
    Then 0 tokens are unread and 0 running at "e1"

  # Guards against: an engine that looks full because parts that runs share count for
  # each of them.
  Scenario: A part that several requests share counts once
    When the peer "n2" gives "e1" 5000 tokens to read
    And the peer "n3" gives "e1" 3000 tokens to read
    And this node gives "e1" 2000 tokens to read
    Then 10000 tokens are unread and 10100 running at "e1"
    When the peer "n2" says that the prompt at "e1" is ended
    Then 5000 tokens are unread and 5100 running at "e1"

  # Guards against: load that stays for ever because a note was lost.
  Scenario: A prompt whose end was never told ends by itself
    When the peer "n2" gives "e1" 5000 tokens to read
    And 3 seconds go by
    Then 0 tokens are unread and 5100 running at "e1"
    When 6 seconds go by
    Then 0 tokens are unread and 0 running at "e1"

  # Guards against: a part that two nodes have read at two engines.
  Scenario: A part that a peer has an engine read is expected there
    When the peer "n2" gives "e1" 5000 tokens to read
    Then the part "p1" is expected at "e1"

  # Guards against: requests that are sent to an engine while it loads weights.
  Scenario: An engine that a peer orders to load is left out
    When the peer "n2" orders "e1" to load
    Then "e1" is left out

  # Guards against: notes to hundreds of nodes for each request.
  Scenario: With many nodes nobody is told
    Given 30 nodes
    When this node gives "e1" 5000 tokens to read
    Then nobody is told
