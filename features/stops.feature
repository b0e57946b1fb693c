Feature: Planned stops
  A node that is stopped names other nodes to clients, accepts requests for some seconds
  more, and completes what it has accepted before its grace period ends.

  Scenario: A node whose store is silent accepts no requests late in its grace period
    # Guards against requests that are accepted late because a call of the store hangs,
    # and are then cut off at the end of the grace period.
    Given a store, 2 servers and the node "n1"
    And other nodes "n2, n3"
    And the store is silent
    When the node "n1" is stopped by SIGTERM
    And clients of "n1" post orders on kept and new connections until it refuses them
    Then "n1" has refused its first request between 2.5 and 4 s after SIGTERM
    And each order was answered, and those with 200 ran once
    And the node "n1" exits with code 0

  Scenario: A node with a short grace period completes what it accepts
    # Guards against requests that are accepted until the grace period ends, because it is
    # shorter than the time for which a node that stops accepts them.
    Given a store, 2 servers and the node "n1" with a grace period of 3 s
    When the node "n1" is stopped by SIGTERM
    And clients of "n1" post orders on kept and new connections until it refuses them
    Then "n1" has refused its first request between 0.5 and 2.1 s after SIGTERM
    And each order was answered, and those with 200 ran once
    And the node "n1" exits with code 0

  Scenario Outline: A client that reads slowly gets its whole response from a node that stops
    # Guards against a process that ends with a part of a response in its memory.
    Given a store, 2 servers and the node "n1" with 150 MB of memory
    When a client of "n1" asks for 9000000 bytes on a <connection> connection
    And the node "n1" is stopped by SIGTERM
    And the client begins to read 4 s after SIGTERM
    Then the client has the whole response
    And the node "n1" exits with code 0

    Examples:
      | connection |
      | new        |
      | kept       |

  Scenario: A client that never reads doesn't keep a node from stopping
    # Guards against a stop that waits for one client past the grace period.
    Given a store, 2 servers and the node "n1" with 150 MB of memory
    When a client of "n1" asks for 9000000 bytes on a new connection
    And the node "n1" is stopped by SIGTERM
    Then the node "n1" has exited with code 0 within 8 s

  Scenario: A request that a stop cuts off gets an error
    # Guards against a connection that ends without a response when the process does.
    Given a store, 2 servers and the node "n1"
    When a client posts "/long/a" with the script "hang" to "n1" and waits
    And the node "n1" is stopped by SIGTERM
    Then the client has got 502, which says that the request may have run
    And the node "n1" exits with code 0

  Scenario: A stream that a stop cuts off doesn't look complete
    # Guards against a part of a stream that a client takes for the whole one.
    Given a store, 2 servers and the node "n1"
    When a client posts "/long/a" with the script "quiet:2:20:6" to "n1" and waits
    And the node "n1" is stopped by SIGTERM
    Then the client has got a response that broke off
    And the node "n1" exits with code 0
