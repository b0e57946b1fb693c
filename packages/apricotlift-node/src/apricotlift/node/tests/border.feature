Feature: Checks at the border

  # Guards against an exception other than a refusal, which would answer 500 and say
  # that the work may have run.
  Scenario: Any body is either a checked prompt or refused as a bad request
    Then any bytes as a prompt's body are checked or refused as "bad_request"

  # Guards against a caller that sets the system's own headers.
  Scenario: Internal headers from outside are dropped
    Then the border drops the header "x-apricotlift-account" and keeps "x-request-id"

  # Guards against a node that starts with half of its settings misread.
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
