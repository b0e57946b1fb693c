Feature: Servers that have just started, on the users' platform

  Scenario: Nodes limit what a cold server gets, once they are in contact
    # Guards against a limit that isn't connected to the entries, the configuration, the
    # members or the attempts of a running node.
    Given a store, 1 servers and the node "n1"
    And another node "n2"
    And cold servers tolerate 16 requests a second for 60 s
    When the entry of the first server says that it is cold
    And a client gets "/lookup/a" from "n1"
    Then the client gets 503 with a retry time
    And the log of "n1" shows for the request the status 503 and "upstream_cold"
    When both nodes have been in contact for the settling time
    And clients get "/lookup/b" from both nodes for 3 s
    Then 4 to 10 of them get the response
