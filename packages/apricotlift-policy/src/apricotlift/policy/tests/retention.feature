Feature: retention of cache blocks

  Scenario: return probabilities are learned per account
    Guards against keeping blocks of conversations that never return and dropping
    those of conversations that return on the next day.
    Given an account "daily" that returns after 20 hours and "once" that never does
    Then at an age of one hour their estimates are above 0.9 and below 0.1
    And a conversation of "daily" that is 10 days old is unlikely to return
    And an account without history has an estimate between 0.1 and 0.9

  Scenario: the estimates follow a change of an account
    Guards against a histogram with so much history that new observations no longer
    change the estimates.
    Then after 30000 returns, 30000 ends without a return bring it below 0.2

  Scenario: estimates are probabilities that grow with the horizon
    Guards against estimates below 0 or above 1, and against jumps where an age enters
    the next class.
    Then estimates lie between 0 and 1, grow with the horizon and have no jumps

  Scenario: choice of exports
    Guards against transferring blocks that won't be used because their conversation
    doesn't return, or can't be used because blocks before them are missing.
    Given an account "daily" that returns after 20 hours and "once" that never does
    Then only blocks of "daily" are exported, first positions first
    And if 5 copies fit, the first 5 positions are exported to one store
    And no block is exported to an unusable store

  Scenario: second copies
    Guards against two copies in the same failure domain, both of which are lost when
    it fails.
    Given an account "daily" that returns after 20 hours and "once" that never does
    Then a fifth of the bytes gets a second copy, in another failure domain
    And with one failure domain or one copy allowed there is no second copy

  Scenario: drops from a full store are fair between accounts
    Guards against an account with many blocks displacing the blocks of all other
    accounts when the store is full.
    Then 100 new blocks displace blocks of the account with 900, none of that with 50

  Scenario: order of drops within an account
    Guards against dropping the first blocks of a prefix, without which the later ones
    can't be used.
    Then later positions are dropped before earlier ones, second copies before sole ones

  Scenario: drops free as much space as needed and no more
    Guards against drops that free too little space, so that the store stays full, or
    more than needed.
    Then for many contents the drops free enough space and one fewer wouldn't
