Feature: Notes that nodes send to each other

  # Guards against small machines whose processor time goes into messages: 20 prompts in
  # an interval took 60 messages to each of 21 peers.
  Scenario: Notes of one interval are sent as one message to each peer
    Given a cluster of 22 nodes with 0.12 processors each
    When this node adds 60 notes within an interval
    Then each peer gets 2 messages with 60 notes in all

  # Guards against a node that ends because its notes exceed the size of a frame.
  Scenario: Very many notes are sent as several messages
    Given a cluster of 2 nodes with 1 processor each
    When this node adds 251 notes within an interval
    Then each peer gets 4 messages with 251 notes in all
    And no message has more than 100 notes

  # Guards against nodes that place prompts on outdated loads although messages are few.
  Scenario: A note after a quiet time is sent at once
    Given a cluster of 8 nodes with 1 processor each
    When this node adds 1 note
    Then each peer gets 1 message with 1 note in all

  # Guards against a processor that is overloaded, or left idle, by notes.
  Scenario Outline: The interval follows the number of peers and the processor
    Given a cluster of <nodes> nodes with <processors> processors each
    Then notes are sent every <interval> seconds

    Examples:
      | nodes | processors | interval |
      | 8     | 1.0        | 0.07     |
      | 22    | 1.0        | 0.21     |
      | 22    | 0.12       | 1.0      |
      | 1     | 1.0        | 0.0      |

  # Guards against messages to hundreds of nodes for each request.
  Scenario: In a large cluster no peer is notified
    Given a cluster of 30 nodes with 1 processor each
    When this node adds 1 note
    Then no peer is notified
