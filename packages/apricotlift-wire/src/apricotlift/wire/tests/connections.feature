Feature: Connections between nodes
  Guards the only path between nodes against strangers, faults and lost peers.

  Scenario: Requests to one peer overlap and get their own replies
    Guards against crossed replies and against one slow request blocking others.
    Given a peer server that echoes digests and delays the digest "slow"
    When 200 peer requests with distinct digests and one slow request run
    Then each peer request got the reply with its own digest
    And the slow peer request finished last
    And bytes in both directions were counted

  Scenario Outline: A stranger is disconnected and counted
    Guards against a node without the secret that reads or writes state.
    Given a peer server that echoes digests
    When a stranger connects and <does>
    Then the stranger is cut off with close code <close>
    And the peer server counted the reason <reason>
    And the peer server still answers a member
    And no peer handler saw the stranger

    Examples:
      | does                                   | close | reason               |
      | proves with another secret             | 4001  | peer_unauthenticated |
      | replays the proof of a member          | 4001  | peer_unauthenticated |
      | reflects the listener's nonce          | 4001  | peer_unauthenticated |
      | reflects a listener's proof            | 4001  | peer_unauthenticated |
      | sends a request without a proof        | 4002  | peer_protocol        |
      | says hello with another protocol       | 4003  | peer_version         |

  Scenario: An opener doesn't trust a listener without the secret
    Guards against a process at a reused address that poses as a node.
    Given a listener that reflects the opener's proof
    When a peer request is sent to it
    Then the peer request fails with peer_unauthenticated

  Scenario Outline: A faulty member is cut off and the others are served
    Guards against <fault> that ends the server or another member's connection.
    Given a peer server that echoes digests
    When a member connects and sends <fault>
    Then the faulty member is cut off with close code <close>
    And the peer server counted the reason <reason>
    And the peer server still answers a member

    Examples:
      | fault             | close | reason          |
      | malformed CBOR    | 4002  | peer_protocol   |
      | an unknown kind   | 4002  | peer_protocol   |
      | a text message    | 4002  | peer_protocol   |
      | an oversize frame | 1009  | frame_too_large |

  Scenario: Random frames never end the server
    Guards against an exception of the decoder that escapes a connection's task.
    Given a peer server that echoes digests
    When members connect and send 100 random frames
    Then the peer server still answers a member

  Scenario: A handler's fault reaches only its requester
    Guards against a fault of one handler that cuts off a whole peer.
    Given a peer server that echoes digests
    Then the digest "refuse" is answered with overloaded
    And the digest "fail" is answered with internal
    And the digest "huge" is answered with frame_too_large
    And a message kind without handler is answered with not_found
    And all of it used one peer connection

  Scenario: A peer that restarts is reached again
    Guards against a pool that keeps a dead connection or never retries.
    Given a peer server that echoes digests
    When the peer server stops, a request fails, and it starts again
    Then the peer server still answers a member
    And requests during back-off failed without waiting

  Scenario: A request whose connection is lost may have run
    Guards against a caller that repeats what the peer already did.
    Given a peer server that echoes digests
    When the peer server cuts the connection during a request
    Then that peer request fails as maybe run
    And a request to an address where nobody listens fails as not run

  Scenario: A peer that doesn't read fills a bounded queue
    Guards against memory that grows with a frozen peer.
    Given a listener that never answers the handshake
    When 20 one-way messages are sent to it with a queue of 8
    Then 12 one-way messages were refused and counted as queue_full

  Scenario: Idle connections close and open again
    Guards against a full mesh of connections at 360 nodes.
    Given a peer server that echoes digests
    When a pool with an idle time of 0.05 s has sent one request
    Then its connection closes and the next request opens another

  Scenario: Peers talk over TLS
    Guards against settings that name TLS while frames travel in plain text.
    Given a peer server with a TLS context
    Then a pool with TLS reaches it and a plain-text pool doesn't
