Feature: transfers over a store link

  Scenario: waiting callers go first
    Guards against a caller standing behind copies that nobody waits for.
    Given a link of 1000 bytes a second
    When background, prefetch and waiting transfers of 100 bytes are queued
    Then only the waiting ones start until they have finished, then the prefetches

  Scenario: the byte budget bounds the time behind started transfers
    Guards against a link full of prefetches when a caller's fetch arrives.
    Given a link of 1000 bytes a second
    When 50 prefetches of 50 bytes are queued
    Then at most 250 bytes of them are on the link at once
    And a waiting fetch of 100 bytes starts at once beside them

  Scenario: background copies use idle bandwidth only
    Guards against copies that slow down callers of this or another node.
    Given a link of 1000 bytes a second
    Then a copy starts on an idle link but not just after or beside a caller's fetch
    And it doesn't start while other nodes have bytes on the link

  Scenario: accounts share a link
    Guards against one account's many fetches delaying another account's single one.
    Given a link of 1000 bytes a second
    When account "large" queues 20 fetches and then "small" queues one
    Then the fetch of "small" is the next to start

  Scenario: transfers that nobody wants any more
    Guards against link time for prefetches of prompts that already returned.
    Given a link of 1000 bytes a second
    Then an expired prefetch is reported and never started

  Scenario: a transfer larger than the budget
    Guards against a transfer that never starts.
    Given a link of 1000 bytes a second
    Then a waiting fetch of 5000 bytes starts when the link is empty

  Scenario: every transfer starts once and the budget holds
    Guards against lost or doubled transfers under any order of events.
    Then this is so for many sequences of transfers

  Scenario: bytes ahead
    Guards against routing estimates that ignore what is queued on the link.
    Given a link of 1000 bytes a second
    Then bytes ahead count started, other nodes' and queued ones of the same priority
