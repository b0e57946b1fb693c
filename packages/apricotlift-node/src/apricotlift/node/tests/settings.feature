Feature: Settings of a node
  Guards against a misspelt routing policy with which a node silently runs the default
  one, and against a comparison that measures a policy other than the one it names.

  Scenario: The default policy is used if the file names none
    Given settings without a routing section
    When the settings are loaded
    Then the routing policy is "choose_upstream"

  Scenario Outline: Each policy can be selected
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
