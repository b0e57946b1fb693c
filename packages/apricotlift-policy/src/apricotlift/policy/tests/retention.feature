Feature: retention of cache blocks

  Scenario: ages of returns are learned per account
    Guards against keeping what never returns and dropping what returns next day.
    Given an account "daily" that returns after 20 hours and "once" that never does
    Then the estimates for an age of an hour are above 0.9 and below 0.1
    And a conversation of "daily" that is 10 days old is unlikely to return
    And an account without history has an estimate between those

  Scenario: an account that changes is followed
    Guards against a histogram that years of history have made immovable.
    Then after 30000 returns, 30000 conversations without one bring it below 0.2

  Scenario: estimates are probabilities that fall with a shorter horizon
    Guards against estimates outside 0 to 1 and jumps between age classes.
    Then this holds for many histories and ages

  Scenario: exports
    Guards against bytes spent on blocks that won't be used or can't be.
    Given an account "daily" that returns after 20 hours and "once" that never does
    Then only blocks of "daily" are exported, first positions first
    And with room for 5 copies they are the first 5 positions, in one store
    And an unusable store gets nothing

  Scenario: second copies
    Guards against two copies that one failure domain's loss takes away.
    Given an account "daily" that returns after 20 hours and "once" that never does
    Then a fifth of the bytes gets a second copy, in another failure domain
    And with one failure domain or one copy allowed there is no second copy

  Scenario: a full store is fair between accounts
    Guards against one account's many blocks pushing out everybody else's.
    Then 100 new blocks push out blocks of the account with 900, none of that with 50

  Scenario: drops within an account
    Guards against dropping the start of a prefix, which makes the rest useless.
    Then later positions go before earlier ones and spare copies before sole ones

  Scenario: drops free enough and no more
    Guards against a store that stays full or is emptied without need.
    Then for many contents the drops free the space and one fewer wouldn't
