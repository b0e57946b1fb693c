Feature: Calls to a server that sends bytes without end

  Scenario Outline: A call ends at a limit
    # Guards against calls that hold memory and a core until their time limit. The
    # clients of engines, services, cache events, orders and the platform's store are
    # built on these two.
    Given a server that sends bytes without end
    When each of these places is called through the <client>
      | place             | limit                         |
      | status_line       | headers exceed 65536 bytes    |
      | header_line       | headers exceed 65536 bytes    |
      | headers           | headers exceed 65536 bytes    |
      | interim_responses | headers exceed 65536 bytes    |
      | no_response       | headers exceed 65536 bytes    |
      | chunk_size        | Receive buffer too long       |
      | chunk_extension   | Receive buffer too long       |
      | chunk_extensions  | chunk framing of              |
      | trailer           | Receive buffer too long       |
      | body              | body exceeds 1000000 bytes    |
      | sized_body        | body exceeds 1000000 bytes    |
      | chunked_body      | body exceeds 1000000 bytes    |
    Then each call fails with upstream_protocol, ran maybe, and names its limit
    And the server saw each connection closed

    Examples:
      | client                 |
      | pool                   |
      | persistent connections |

  Scenario: A small response is read while large ones fill the budget
    # Guards against the failure of one server's responses because of another server.
    Given a budget of 1000000 bytes
    When responses hold all of the budget
    Then a response of 60000 bytes is admitted
    And a response of 200000 bytes is refused with overloaded
    And after the large responses end, a response of 200000 bytes is admitted

  Scenario: A response takes at most half of the budget
    # Guards against one response that takes the memory of all others.
    Given a budget of 1000000 bytes
    Then a response of 500001 bytes is refused with upstream_protocol
