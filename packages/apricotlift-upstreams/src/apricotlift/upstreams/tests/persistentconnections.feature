Feature: Persistent connections to one server

  # Guards against a request that is sent although it was called off while its connection
  # was being opened, and against a connection that stays counted as open after that.
  Scenario: A request that its check calls off isn't sent
    Given a server that counts the bytes it receives
    When a request is called off by its check once the connection is open
    Then the server accepted 1 connection and received 0 bytes
    And no connection is open

  # Guards against an error that nobody handles, which ends the process, where an address
  # from a server's entry can't be used.
  Scenario Outline: A request to an unusable address fails like one to an absent server
    When a request is sent to the address "<address>"
    Then it fails with upstream_connect and did not run
    And no connection is open

    Examples:
      | address                  |
      | 127.0.0.1:99999          |
      | 127.0.0.1:0              |
      | 127.0.0.1:-1             |
      | 127.0.0.1:(5000 digits)  |
      | 127.0.0.1                |
      | 999.0.0.1:80             |
      | ....:80                  |
      | \u0661.0.0.1:80          |
      | \ud800:80                |

  # Guards against an unhandled error because a header's digits are no decimal number.
  Scenario: A keep-alive time that is no number is ignored
    When a server answers with the keep-alive time "\xb2"
    Then the request succeeds
