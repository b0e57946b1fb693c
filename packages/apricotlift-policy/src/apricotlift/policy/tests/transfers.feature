Feature: transfers over a store link

  Scenario: waiting callers go first
    Guards against a waiting caller's fetch being delayed by prefetches and background
    copies that were queued before it.
    Given a link of 1000 bytes a second
    When background, prefetch and waiting transfers of 100 bytes are queued
    Then only the waiting ones start until they have finished, then the prefetches

  Scenario: the byte budget bounds the delay by started transfers
    Guards against a link that is full of prefetches when a waiting caller's fetch
    arrives; started transfers aren't interrupted.
    Given a link of 1000 bytes a second
    When 50 prefetches of 50 bytes are queued
    Then at most 250 bytes of them are on the link at once
    And a waiting fetch of 100 bytes starts at once while they are on the link

  Scenario: background copies use idle bandwidth only
    Guards against background copies that slow down fetches of waiting callers of this
    or another node.
    Given a link of 1000 bytes a second
    Then a copy starts on an idle link but not during or just after a caller's fetch
    And it doesn't start while other nodes have bytes on the link

  Scenario: accounts share a link fairly
    Guards against many fetches of one account delaying a single fetch of another
    account that was queued later.
    Given a link of 1000 bytes a second
    When account "large" queues 20 fetches and then "small" queues one
    Then the fetch of "small" is the next to start

  Scenario: expired transfers
    Guards against using the link for prefetches whose prompt has already returned.
    Given a link of 1000 bytes a second
    Then an expired prefetch is reported and never started

  Scenario: a transfer larger than the budget
    Guards against a transfer that never starts because it is larger than the budget.
    Given a link of 1000 bytes a second
    Then a waiting fetch of 5000 bytes starts when the link is empty

  Scenario: every transfer starts once and within the budget
    Guards against transfers that are lost or started twice, and against a link with
    more bytes than the budget.
    Then each transfer starts once and within the budget, for many sequences

  Scenario: bytes ahead of a new transfer
    Guards against routing estimates that are too low because they ignore transfers
    that go before a new fetch.
    Given a link of 1000 bytes a second
    Then bytes ahead are started, other nodes' and queued ones of no lower priority
