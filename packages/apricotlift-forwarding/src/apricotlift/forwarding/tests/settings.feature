Feature: Settings of a forwarding node

  # Guards against: a node that doesn't start because the platform lacks a value.
  Scenario: A key without a value has its default
    Given a settings file with "weights_ms" empty
    Then the settings have the default for "weights_ms"

  # Guards against: settings that are found wrong one at a time.
  Scenario: All findings are reported at once with their places
    Given a settings file with "weights_ms" of "soon" and an unknown key "nmae"
    Then the findings name "weights_ms" and "nmae" with their lines

  # Guards against: a node that starts without knowing where it listens.
  Scenario: A missing address is a finding
    Given a settings file with "callers" empty
    Then the findings name "callers" with its line

  # Guards against: a change that is never taken over, because it came after the node
  # had read its settings and before it watched the file.
  Scenario: A change before the first look at the file is taken over
    Given a settings file with "weights_ms" empty
    When it changes, and its former content is in force
    Then the settings are taken over once
