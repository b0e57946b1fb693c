Feature: choice of the upstream

  Scenario: placements since the report count
    Guards against sending every request to the server that the last report showed idle.
    Then a server with a short reported queue and new placements loses to another

  Scenario: an old report doesn't make an upstream look idle
    Guards against routing to a hung engine because its queue should be done by now.
    Then a report of a minute ago is credited with 3 seconds of work

  Scenario: the split has the least cost
    Guards against fetching blocks that are computed sooner, or the reverse.
    Then no other number of fetched blocks costs less, for many links and queues

  Scenario: never worse than least load without stores
    Guards against stores and reuse making a request costlier than plain balancing.
    Then the plan costs at most what least load costs, for many fleets
    And its time to first token is at most the slack longer, whatever the weights

  Scenario Outline: excluded upstreams
    Guards against new work on an upstream that must not have it.
    Then an upstream that is "<state>" gets nothing and the record says "<verdict>"
    And when all are "<state>" the refusal has code "<code>" and nothing ran

    Examples:
      | state       | verdict       | code              |
      | draining    | draining      | upstream_draining |
      | tried       | tried         | no_upstream       |
      | open        | breaker_open  | breaker_open      |
      | full        | full          | upstream_full     |
      | suspect     | other_suspect | no_upstream       |

  Scenario: an ordinary request may run beside a suspect
    Guards against one suspect blocking an upstream for everybody.
    Then an ordinary request is planned on an upstream that runs a suspect

  Scenario: nodes that decide alone spread
    Guards against all nodes choosing the server that looks best in a shared report.
    Then of 400 nodes with one report no server of 6 gets more than twice its part
    And with one server clearly best and nothing unseen all take that one

  Scenario: equal stores share the fetches
    Guards against all nodes fetching over one link while another is idle.
    Then of 200 plans with two equal stores each store gets at least a third

  Scenario: a doubtful hint on a busy server
    Guards against queueing for blocks that were probably dropped long ago.
    Then a fresh hint is worth a queue of half a second and a day-old one isn't

  Scenario: an unusable store
    Guards against fetching from a store whose breaker or accuracy excludes it.
    Then a plan uses a good store but not the same store marked unusable

  Scenario: a store with wrong estimates
    Guards against a slow link making requests slower than recomputation.
    Then two fetches at 4 times the estimate exclude the store
    And it returns after two probes within twice the estimate and no sooner
    And a link at half its declared rate is learned without exclusion
    And a factor learned in a bad minute is forgotten

  Scenario: the record explains the decision
    Guards against decisions that an operator can't reconstruct.
    Then the record is valid JSON and gives a verdict for each of 40 candidates

  Scenario: baselines
    Guards against comparisons with a baseline that does something else.
    Then each baseline returns the plan that its name says
