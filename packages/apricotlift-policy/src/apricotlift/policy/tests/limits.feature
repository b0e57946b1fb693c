Feature: limits per consumer and account

  Scenario: the refusal has the scope whose limit is reached
    Guards against a wrong scope in the refusal, from which callers reduce the rate
    of the wrong consumer.
    Given a consumer burst of 2 and an account burst of 3
    Then the consumer's third request is refused with scope "consumer"
    And another consumer's second request is refused with scope "account"

  Scenario: a refused request isn't counted
    Guards against refused requests of one consumer using up the limit of its
    account, so that the other consumers are blocked.
    Given a consumer burst of 2 and an account burst of 3
    Then after 100 refused requests of one consumer another's request is accepted

  Scenario: a retry after retry_after_s is accepted
    Guards against a retry_after_s that is too short, so that the caller is refused
    again when it retries at that time.
    Then a request sent after retry_after_s is accepted, for many rates and times

  Scenario: in-flight limit
    Guards against in-flight slots that are not freed, or are freed twice, when
    requests end.
    Then an in-flight limit of 5 accepts 5 of 8 requests, and one more after one ends

  Scenario: a quota divided among instances
    Guards against a node that refuses every request because its part of a small
    limit is less than one request.
    Then a quota of 1 request divided among 3 instances still admits one request

  Scenario: idle entries are deleted
    Guards against memory that grows with each new consumer, as happens if entries
    are never deleted.
    Then entries without requests in flight are deleted and the others are kept
