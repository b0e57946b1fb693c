Feature: limits per consumer and account

  Scenario: the refusal names whose limit is reached
    Guards against callers that slow down the wrong consumer.
    Given a consumer burst of 2 and an account burst of 3
    Then the consumer's third request is refused with scope "consumer"
    And another consumer's second request is refused with scope "account"

  Scenario: a refused request takes nothing
    Guards against one consumer's refused requests using up its account's limit.
    Given a consumer burst of 2 and an account burst of 3
    Then after 100 refused requests of one consumer another may still send one

  Scenario: waiting as long as the refusal says is enough
    Guards against a retry_after_s that leads straight into the next refusal.
    Then a request sent after retry_after_s passes, for many rates and times

  Scenario: in-flight limit
    Guards against slots that are lost or freed twice when requests end.
    Then 5 of 8 requests start with an in-flight limit of 5 and each end frees one

  Scenario: the part that a node enforces
    Guards against a node whose share of a small limit rounds to nothing.
    Then a quota of 1 request divided among 3 instances still admits one request

  Scenario: idle entries are dropped
    Guards against memory that grows with every consumer ever seen.
    Then consumers without requests are forgotten and those with requests are kept
