Feature: Validation of callers' requests and of node settings

  # Guards against an unhandled exception for a malformed body: the caller would get
  # status 500, which says that the work may have run.
  Scenario: Any body is either parsed as a prompt or refused as a bad request
    Then any bytes as a prompt's body are parsed or refused as "bad_request"

  # Guards against a caller that sets headers which are only used inside the system.
  Scenario: Internal headers from callers are dropped
    Then a request with these headers loses "x-apricotlift-account" and keeps "x-request-id"

  # Guards against a node that starts although some of its settings are misspelt or
  # invalid.
  Scenario: All findings of a settings file are reported together
    Given the node settings
      """
      [node]
      name = n1
      failure_domian = z1
      [cluster]
      secret = short
      [platform]
      table_url = ftp://x
      [bordr]
      max_headers = 3
      """
    Then the node settings are refused with findings at lines "1, 3, 5, 6, 7, 8"
    And a finding says "did you mean 'failure_domain'?"
