Feature: Declarations and the rules between their versions

  # Guards against: a check that raises anything but one error with findings, which
  # would show operators a stack trace.
  Scenario: The declarations reader survives any text
    When the declarations reader is given 300 generated texts
    Then each text gives declarations or one error with findings

  # Guards against: a document that loses values on its way to the nodes.
  Scenario: The declarations survive the canonical document
    Given the declarations "base"
    When the declarations are encoded and decoded
    Then the declarations are equal and their digest is the same again

  # Guards against: a mistyped folder that applies as the removal of everything.
  Scenario: The declarations of an empty folder are refused
    When the declarations of an empty folder are read
    Then the declarations reading fails with "no_files"

  # Guards against: a check that stops at the first fault, or names a fault that is
  # only the result of another one.
  Scenario: The declarations checks report all faults with their place
    Given the declarations text
      """
      [account atlas]
      models = wax, ink
      [model wax]
      weigth_version = v1
      [key k]
      sha256 = 12
      account = atlas
      [upstream u]
      kind = service
      address = localhost:80
      failure_domain = a
      [exception e]
      applies_to = account atlas
      setting = burst
      value = -3
      reason = short
      author = mp
      review_on = 2026-02-30
      """
    When the declarations are checked
    Then the declarations findings are
      | place | code                    |
      | 2     | bad_reference           |
      | 3     | missing                 |
      | 4     | unknown_key             |
      | 6     | string_pattern_mismatch |
      | 8     | bad_reference           |
      | 10    | bad_address             |
      | 15    | bad_exception           |
      | 16    | bad_exception           |
      | 18    | bad_date                |

  # Guards against: a summary in the history that hides a change.
  Scenario: The declarations comparison names each changed field
    Given the declarations "base"
    When the declarations change to
      """
      [fleet]
      burst = 7
      [account atlas]
      models = wax
      [model wax]
      weight_version = v2
      previous_version = v1
      [upstream desk]
      kind = engine
      address = 127.0.0.1:9
      failure_domain = a
      """
    Then the declarations changes are
      """
      [fleet] burst: 100 -> 7
      [model wax] weight_version: v1 -> v2
      [model wax] previous_version: (empty) -> v1
      [upstream desk] added
      [upstream m1] removed
      """

  # Guards against: a late unload order that hits a slot in use again.
  Scenario: The declarations never name a retired weight version again
    Given the declarations "base"
    When the declarations retire "wax@v1" and name it again
    Then the declarations change is refused with "retired_weight_version"

  # Guards against: orders for an engine that reach a plain service of its name.
  Scenario: The declarations keep the kind of an upstream's name
    Given the declarations "base"
    When the declarations give "m1" another kind
    Then the declarations change is refused with "upstream_name_reused"
    When the declarations remove "m1" and name it with another kind
    Then the declarations change is refused with "upstream_name_reused"
