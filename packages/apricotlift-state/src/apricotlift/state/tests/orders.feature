Feature: Orders to engines
  Except in the last scenario, engine reconcilers run against a simulated table and
  simulated engines, with a simulated clock. One round checks each engine once.

  Scenario: The engine reconciler reaches the declared state and then becomes idle
    # Guards against orders that are not sent, and against lease writes while the
    # engines are in their declared state.
    Given a simulated cluster of 1 engine with fencing checked
    When the engine reconciler A runs until the engines are settled
    Then the simulated engines received load role unload orders
    And 60 further rounds of the engine reconciler A send and write nothing

  Scenario Outline: The engine reconciler freezes at any point and resumes after its lease
    # While it is frozen, another reconciler takes the lease over and finishes. Guards
    # against a late order that unloads a declared slot, a stale fence that a checking
    # engine accepts, and an engine that is left in the wrong state.
    When the engine reconciler freezes at every point in turn, with fencing <fencing>
    Then all simulated clusters settled without a violation
    And the number of stale orders that simulated engines executed was <n_executed>

    Examples:
      | fencing | n_executed |
      | checked | none       |
      | ignored | few        |

  Scenario Outline: The engine reconciler crashes between any two steps
    # Another reconciler takes over. Guards against a lease, a load slot or a partial
    # change that is never taken over, and against more than two concurrent loads after
    # the crash.
    When the engine reconciler crashes at every point in turn, with <fencing> and <load> s
    Then all simulated clusters settled without a violation

    Examples: loads that end before the lease of the crashed reconciler, and after it
      | fencing | load |
      | checked | 3    |
      | ignored | 3    |
      | ignored | 25   |

  Scenario Outline: Two engine reconcilers run concurrently
    # Each node knows only itself as a member, so both try to own all engines. Guards
    # against both sending orders to the same engine.
    When two engine reconcilers run at once with seeds 1 to 30, with fencing <fencing>
    Then all simulated clusters settled without a violation
    And no simulated engine received the same order twice

    Examples:
      | fencing |
      | checked |
      | ignored |

  Scenario: An engine reconciler with older declarations doesn't undo newer ones
    # Guards against engines that alternate between two versions of the declarations,
    # because a node with an older version orders its state again.
    Given a simulated cluster of 2 engines with fencing ignored
    When the engine reconciler A runs until the engines are settled
    And the engine reconciler B at version 1 runs alternately with A for 60 rounds
    Then the engine reconcilers sent no further orders

  Scenario: An engine reconciler never runs more than two loads concurrently
    # Guards against loads that slow each other down on the shared weight store.
    Given a simulated cluster of 6 engines with fencing ignored
    When the engine reconciler A runs until the engines are settled
    Then the simulated cluster settled without a violation

  Scenario: An engine reconciler keeps a retired slot while a run uses it
    # Guards against an unload that interrupts a run on the old weight version.
    Given a simulated cluster of 1 engine with fencing ignored
    And a run uses wax@v0 in the simulated cluster
    When the engine reconciler A runs for 60 rounds
    Then the simulated engine e0 has loaded wax@v0 wax@v1 wax@v2
    When the run in the simulated cluster ends
    And the engine reconciler A runs until the engines are settled
    Then the simulated engine e0 has loaded wax@v1 wax@v2

  Scenario: An engine reconciler waits for the duration of one lease before it unloads
    # Guards against an unload while a node may still act on older declarations.
    Given a simulated cluster of 1 engine with fencing ignored
    When the engine reconciler A runs for 9 rounds
    Then the simulated engine e0 has loaded wax@v0 wax@v1 wax@v2

  Scenario: An engine reconciler keeps slots that the preceding version references
    # Guards against an unload of a slot to which nodes that still have the preceding
    # version send requests.
    Given a simulated cluster of 1 engine with fencing ignored
    When the engine reconciler A runs at version 2 for 60 rounds
    Then the simulated engine e0 has loaded wax@v0 wax@v1

  Scenario: An engine reconciler without the previous declarations unloads nothing
    # Guards against an unload of a slot that the preceding version references.
    Given a simulated cluster of 1 engine with fencing ignored
    And the simulated cluster has only the newest declarations
    When the engine reconciler A runs for 60 rounds
    Then the simulated engine e0 has loaded wax@v0 wax@v1 wax@v2

  Scenario: The engine reconciler's lease write takes effect but its answer is lost
    # Guards against a reconciler that doesn't recognize its own write and waits for its
    # own lease to expire.
    Given a simulated cluster of 1 engine with fencing checked
    And the next 3 answers of the simulated table are lost
    When the engine reconciler A runs until the engines are settled
    Then the simulated cluster settled without a violation
    And the engine reconciler acquired the lease of e0 as often as without lost answers

  Scenario: The answers of orders are lost
    # The engine starts the load although its answer is lost. Guards against a load slot
    # that is released while that load runs.
    Given a simulated cluster of 4 engines with fencing ignored
    And each simulated engine loses its next 2 answers
    When the engine reconciler A runs until the engines are settled
    Then the simulated cluster settled without a violation

  Scenario: Orders arrive after their sender has given up
    # Guards against a load slot that is released before its order arrives.
    Given a simulated cluster of 4 engines with fencing ignored
    And each simulated engine receives its next order late
    When the engine reconciler A runs until the engines are settled
    Then the simulated cluster settled without a violation

  Scenario: The engine reconciler sends orders to engine processes over HTTP
    # Guards against a reconciler and engines that implement the protocol differently.
    Given 3 engine processes for the engine reconciler that share a weight store
    When the engine reconciler runs against the engine processes until they are settled
    Then the engine processes of the engine reconciler saw at most 2 loads at once
    And each engine process of the engine reconciler executed orders with growing fences
