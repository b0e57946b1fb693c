Feature: Settings of a node
  Guards against a misspelt routing policy that silently runs the default one, and
  against a comparison that measures another policy than the one it names.

  Scenario: The default policy is used where none is named
    Given settings without a routing section
    When the settings are loaded
    Then the routing policy is "choose_upstream"

  Scenario Outline: Each policy can be named
    Given settings with the routing policy "<name>"
    When the settings are loaded
    Then the routing policy is "<name>"

    Examples:
      | name             |
      | choose_upstream  |
      | round_robin      |
      | least_load       |
      | prefix_affinity  |
      | always_fetch     |
      | always_recompute |

  Scenario: An unknown policy is refused with its place and the known names
    Given settings with the routing policy "least_laod"
    When the settings are loaded
    Then they are refused with a finding that contains "least_load"
