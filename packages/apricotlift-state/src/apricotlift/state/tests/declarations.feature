Feature: Declarations and the rules between their versions

  # Guards against an unexpected exception on malformed text, which would show operators
  # a stack trace instead of findings.
  Scenario: The declarations reader handles any text
    When the declarations reader is given 300 generated texts
    Then each text gives declarations or one error with findings

  # Guards against values that are lost or changed when declarations are encoded as the
  # document and decoded by the nodes.
  Scenario: Declarations are unchanged after encoding and decoding
    Given the declarations "base"
    When the declarations are encoded and decoded
    Then the declarations are equal and their digest is the same again

  # Guards against the removal of all declarations when an operator mistypes the name of
  # the folder.
  Scenario: The declarations of an empty folder are refused
    When the declarations of an empty folder are read
    Then the declarations reading fails with "no_files"

  # Guards against checks that stop at the first fault, and against findings that are
  # only the consequence of another fault.
  Scenario: The declarations checks report all faults with their line
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

  # Guards against a summary in the history that omits a changed field or section.
  Scenario: The comparison of declarations lists each changed field
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

  # Guards against unloading a slot that is in use: a delayed unload order for a retired
  # slot could arrive after the slot was declared again.
  Scenario: Declarations with a retired weight version are refused
    Given the declarations "base"
    When the declarations retire "wax@v1" and declare it again
    Then the declarations change is refused with "retired_weight_version"

  # Guards against orders for an engine that are sent to a plain service, after the
  # upstream's name was declared again with another kind.
  Scenario: Declarations that change the kind of an upstream's name are refused
    Given the declarations "base"
    When the declarations give "m1" another kind
    Then the declarations change is refused with "upstream_name_reused"
    When the declarations remove "m1" and declare it with another kind
    Then the declarations change is refused with "upstream_name_reused"
