Feature: Persistent connections to one server

  # Guards against a request that is sent although it was called off while its connection
  # was being opened, and against a connection that stays counted as open after that.
  Scenario: A request that its check calls off isn't sent
    Given a server that counts the bytes it receives
    When a request is called off by its check once the connection is open
    Then the server accepted 1 connection and received 0 bytes
    And no connection is open
