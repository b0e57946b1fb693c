Feature: Settings of a forwarding node

  # Guards against a node that doesn't start because the platform has no value for a key
  # and leaves it empty in the file.
  Scenario: A key without a value has its default
    Given a settings file with "weights_ms" empty
    Then the settings have the default for "weights_ms"
    And the drain time is 2000 ms

  # Guards against a drain time of the platform that the node doesn't take over.
  Scenario: The drain time is read
    Given a settings file with "drain_ms" of 4000
    Then the drain time is 4000 ms

  # Guards against a loader that stops at the first error, so that an operator finds the
  # errors of a file one start at a time.
  Scenario: All findings are reported at once with their line numbers
    Given a settings file with "weights_ms" of "soon" and an unknown key "nmae"
    Then the findings name "weights_ms" and "nmae" with their lines

  # Guards against a node that starts without the address of a required listener.
  Scenario: A missing address is a finding
    Given a settings file with "callers" empty
    Then the findings name "callers" with its line

  # Guards against a change that is never applied, because it was made after the node
  # had read its settings and before it started to watch the file.
  Scenario: A change before the first read of the watcher is applied
    Given a settings file with "weights_ms" empty
    When the file changes before the watcher starts with its former content
    Then the settings are reloaded once
