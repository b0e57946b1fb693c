Feature: Clients that exceed the limits
  Clients hold memory and descriptors of a node with heads and bodies that they don't
  finish, with connections that they don't use and with responses that they don't take.
  Whatever they do, the process lives, stays within the memory and the descriptors that
  its settings state, and answers an ordinary request.

  Scenario Outline: <n> clients with <what> at <listener> hold a bounded part of the memory
    # Guards against a node that runs out of memory because it bounds what each client
    # makes it hold, but not what all of them do.
    Given a store, 2 servers and the node "n1" with 80 MB of memory and 4096 descriptors
    When <n> clients with <what> connect to the listener <listener> of "n1"
    Then "n1" lives within its memory and its descriptors
    And "n1" answers an ordinary request

    Examples: of memory
      | n   | what              | listener  |
      | 600 | unfinished heads  | callers   |
      | 600 | endless heads     | callers   |
      | 600 | endless lines     | callers   |
      | 600 | half-sent bodies  | callers   |
      | 600 | untaken responses | callers   |
      | 600 | unfinished heads  | readiness |
      | 600 | unfinished heads  | directory |
      | 600 | unfinished heads  | metrics   |
      | 600 | unfinished heads  | peers     |
      | 600 | endless lines     | peers     |

  Scenario Outline: <n> clients that are idle at <listener> hold a bounded number of descriptors
    # Guards against a node that can't open connections to its store and its servers
    # because idle clients hold all descriptors.
    Given a store, 2 servers and the node "n1" with 150 MB of memory and 320 descriptors
    When <n> clients with idle connections connect to the listener <listener> of "n1"
    Then "n1" lives within its memory and its descriptors
    And "n1" answers an ordinary request

    Examples: of descriptors
      | n   | listener  |
      | 600 | callers   |
      | 600 | readiness |
      | 600 | directory |
      | 600 | metrics   |
      | 600 | peers     |

  Scenario Outline: <n> clients with <what> hold a bounded part of the product's own node
    # Guards against limits that hold only for one of the two front ends.
    Given the own node "n1" with <memory_mb> MB of memory and <descriptors> descriptors
    When <n> clients with <what> connect to the own node "n1"
    Then the own node "n1" lives within its memory and its descriptors
    And the own node "n1" answers an ordinary request

    Examples: of the own node
      | n    | what             | memory_mb | descriptors |
      | 1200 | unfinished heads | 80        | 4096        |
      | 1200 | short heads      | 80        | 4096        |
      | 1200 | endless heads    | 80        | 4096        |
      | 1200 | endless lines    | 80        | 4096        |
      | 1200 | half-sent bodies | 80        | 4096        |
      | 600  | idle connections | 150       | 320         |

  Scenario Outline: <n> empty lines before a request at <listener> are skipped
    # Guards against a node that refuses a client which ends its last request with an
    # additional empty line. RFC 9112 asks servers to skip at least one.
    Given a store, 2 servers and the node "n1" with 150 MB of memory and 4096 descriptors
    When a client sends <n> empty lines and a request to the listener <listener> of "n1"
    Then the client gets the status 200

    Examples: of empty lines
      | n | listener  |
      | 1 | callers   |
      | 2 | readiness |

  Scenario: A client inside the limits meets none of them
    # Guards against limits on time that also end the requests of clients that use the
    # time and the sizes that the configuration gives them.
    Given a store, 2 servers and the node "n1" with 150 MB of memory and 4096 descriptors
    When a client of "n1" sends a head of 15000 bytes within 2 s and a body of 99000 bytes
    Then the client gets the status 200
    When the client sends the same request again after 4 s on the same connection
    Then the client gets the status 200
