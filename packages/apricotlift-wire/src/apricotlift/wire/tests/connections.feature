Feature: Connections between nodes
  Checks the connections between nodes: authentication, malformed frames, handler
  failures, reconnection and TLS.

  Scenario: Requests to one peer overlap and get their own replies
    Guards against replies that reach the wrong request and against one slow request that
    blocks the others on the same connection.
    Given a peer server that echoes digests and delays the digest "slow"
    When 200 peer requests with distinct digests and one slow request run
    Then each peer request got the reply with its own digest
    And the slow peer request finished last
    And bytes in both directions were counted

  Scenario Outline: An unauthenticated client is disconnected and counted
    Guards against a client without the cluster secret that reads or writes state, for
    example by replaying or reflecting handshake messages.
    Given a peer server that echoes digests
    When an unauthenticated client connects and <action>
    Then the unauthenticated client is disconnected with close code <close>
    And the peer server counted the reason <reason>
    And the peer server still answers a member
    And no peer handler received a message of the unauthenticated client

    Examples:
      | action                                 | close | reason               |
      | proves with another secret             | 4001  | peer_unauthenticated |
      | replays the proof of a member          | 4001  | peer_unauthenticated |
      | reflects the listener's nonce          | 4001  | peer_unauthenticated |
      | reflects a listener's proof            | 4001  | peer_unauthenticated |
      | sends a request without a proof        | 4002  | peer_protocol        |
      | says hello with another protocol       | 4003  | peer_version         |

  Scenario: An opener rejects a listener without the secret
    Guards against a process that listens at the former address of a node and
    impersonates it by returning the opener's own proof.
    Given a listener that reflects the opener's proof
    When a peer request is sent to it
    Then the peer request fails with peer_unauthenticated

  Scenario Outline: A listener that sends bytes without end is given up
    Guards against a node that reads from an address which another program has taken over
    until its memory is full.
    Given a listener that sends without end in its <place>
    When a peer request is sent to the endless listener
    Then the peer request fails with peer_unreachable
    And the endless listener saw its connection closed

    Examples:
      | place             |
      | status_line       |
      | headers           |
      | interim_responses |
      | body              |

  Scenario Outline: A member that sends an invalid frame is disconnected and the others are served
    Guards against <fault> from one member that ends the server or another member's
    connection.
    Given a peer server that echoes digests
    When a member connects and sends <fault>
    Then the faulty member is disconnected with close code <close>
    And the peer server counted the reason <reason>
    And the peer server still answers a member

    Examples:
      | fault             | close | reason          |
      | malformed CBOR    | 4002  | peer_protocol   |
      | an unknown kind   | 4002  | peer_protocol   |
      | a text message    | 4002  | peer_protocol   |
      | an oversize frame | 1009  | frame_too_large |

  Scenario: Random frames never end the server
    Guards against an unhandled exception of the decoder that ends the task of a
    connection, and with it the server.
    Given a peer server that echoes digests
    When members connect and send 100 random frames
    Then the peer server still answers a member

  Scenario: A handler's failure is reported only to the requester
    Guards against an exception in one handler that closes the peer's connection.
    Given a peer server that echoes digests
    Then the digest "refuse" is answered with overloaded
    And the digest "fail" is answered with internal
    And the digest "huge" is answered with frame_too_large
    And the digest "surrogate" is answered with peer_protocol
    And a message kind without handler is answered with not_found
    And all these requests used one peer connection

  Scenario: A peer that restarts is reached again
    Guards against a pool that keeps using a closed connection or never reconnects.
    Given a peer server that echoes digests
    When the peer server stops, a request fails, and it starts again
    Then the peer server still answers a member
    And requests during back-off failed without waiting

  Scenario: A request whose connection is lost may have run
    Guards against a caller that repeats an operation which the peer has already
    executed before the connection was lost.
    Given a peer server that echoes digests
    When the peer server cuts the connection during a request
    Then that peer request fails and may have run
    And a request to an address without a listener fails and has not run

  Scenario: The message queue of an unresponsive peer is bounded
    Guards against memory that grows without limit while a peer is frozen.
    Given a listener that never answers the handshake
    When 20 one-way messages are sent to it with a queue of 8
    Then 12 one-way messages were refused and counted as queue_full

  Scenario: Idle connections close and open again
    Guards against a full mesh of open connections between 360 nodes.
    Given a peer server that echoes digests
    When a pool with an idle time of 0.05 s has sent one request
    Then its connection closes and the next request opens another

  Scenario: Peers communicate over TLS
    Guards against frames that are sent in plain text although the settings require TLS.
    Given a peer server with a TLS context
    Then a pool with TLS reaches it and a plain-text pool doesn't

  Scenario Outline: An unusable address of one peer doesn't end the pool
    Guards against a member row with an address that ends the process of each node that
    reads it.
    Given a peer server that echoes digests
    When a pool sends a request to the address "<address>"
    Then that request fails with peer_unreachable and the pool still reaches the server

    Examples:
      | address            |
      | 127.0.0.1:99999    |
      | 127.0.0.1:abc      |
      | [::1:80            |
      | \ud800:80          |
      | (300 letters):80   |
