Feature: Orders to engines

  Scenario: The order owner reaches the declared state and then rests
    # Guards against orders that are missed, and against writes for idle engines.
    Given the order owner's world of 1 engine that has fencing checked
    When the order owner A runs until the engines are settled
    Then the order owner's engines received load role unload orders
    And 60 further rounds of the order owner A send and write nothing

  Scenario Outline: The order owner freezes anywhere and wakes after its lease
    # Guards against a stale order that removes a declared slot, a stale fence that
    # a checking engine obeys, and an engine left in the wrong state.
    When the order owner freezes at every point in turn, with fencing <fencing>
    Then the order owner's worlds all settled without violation
    And the stale orders of the order owner that engines obeyed were <obeyed>

    Examples:
      | fencing | obeyed   |
      | checked | none     |
      | ignored | rare     |

  Scenario Outline: The order owner crashes between any two steps
    # Guards against a lease, a load slot or a half-done change that is never
    # taken over, and against more than two loads at once after the crash.
    When the order owner crashes at every point in turn, with <fencing> and <load> s
    Then the order owner's worlds all settled without violation

    Examples: loads that end before the lease of the crashed owner, and after it
      | fencing | load |
      | checked | 3    |
      | ignored | 3    |
      | ignored | 25   |

  Scenario Outline: Two order owners run at once
    # Guards against two nodes that both believe to be first and both send orders.
    When two order owners run at once with seeds 1 to 30, with fencing <fencing>
    Then the order owner's worlds all settled without violation
    And no engine received an order of the order owner twice

    Examples:
      | fencing |
      | checked |
      | ignored |

  Scenario: An order owner with older declarations doesn't undo newer ones
    # Guards against engines that flap between two versions of the declarations.
    Given the order owner's world of 2 engines that have fencing ignored
    When the order owner A runs until the engines are settled
    And the order owner B at version 1 runs in turn with A for 60 rounds
    Then nothing more was sent by the order owner

  Scenario: An order owner never runs more than two loads at once
    # Guards against loads that slow each other down on the weight store.
    Given the order owner's world of 6 engines that have fencing ignored
    When the order owner A runs until the engines are settled
    Then the order owner's world has no violation

  Scenario: An order owner keeps a retired slot while a run uses it
    # Guards against an unload that cuts off a run on the old weight version.
    Given the order owner's world of 1 engine that has fencing ignored
    And a run uses wax@v0 in the order owner's world
    When the order owner A runs for 60 rounds
    Then the order owner's engine e0 holds wax@v0 wax@v1 wax@v2
    When the run in the order owner's world ends
    And the order owner A runs until the engines are settled
    Then the order owner's engine e0 holds wax@v1 wax@v2

  Scenario: An order owner waits one lease time before it unloads
    # Guards against an unload while a node may still act on older declarations.
    Given the order owner's world of 1 engine that has fencing ignored
    When the order owner A runs for 9 rounds
    Then the order owner's engine e0 holds wax@v0 wax@v1 wax@v2

  Scenario: An order owner keeps slots that the version before names
    # Guards against unloading a slot to which nodes on the version before still
    # send requests.
    Given the order owner's world of 1 engine that has fencing ignored
    When the order owner A runs at version 2 for 60 rounds
    Then the order owner's engine e0 holds wax@v0 wax@v1

  Scenario: An order owner without the previous declarations unloads nothing
    # Guards against an unload of a slot that the version before still names.
    Given the order owner's world of 1 engine that has fencing ignored
    And the order owner's world has only its newest declarations
    When the order owner A runs for 60 rounds
    Then the order owner's engine e0 holds wax@v0 wax@v1 wax@v2

  Scenario: The order owner's lease write takes effect but its answer is lost
    # Guards against an owner that locks itself out of its own lease.
    Given the order owner's world of 1 engine that has fencing checked
    And the next 3 answers of the order owner's table are lost
    When the order owner A runs until the engines are settled
    Then the order owner's world has no violation
    And the order owner acquired the lease of e0 as often as without losses

  Scenario: The answers of orders are lost
    # Guards against a load slot that is freed while the load of an unanswered
    # order runs.
    Given the order owner's world of 4 engines that have fencing ignored
    And each engine of the order owner loses its next 2 answers
    When the order owner A runs until the engines are settled
    Then the order owner's world has no violation

  Scenario: Orders arrive after their sender has given up
    # Guards against a load slot that is freed while its order is on the way.
    Given the order owner's world of 4 engines that have fencing ignored
    And each engine of the order owner receives its next order late
    When the order owner A runs until the engines are settled
    Then the order owner's world has no violation

  Scenario: The order owner drives real engines over HTTP
    # Guards against an owner and engines that disagree on the protocol.
    Given 3 engine processes for the order owner that share a weight store
    When the order owner runs against the engine processes until they are settled
    Then the engine processes of the order owner saw at most 2 loads at once
    And each engine process of the order owner obeyed growing fences
