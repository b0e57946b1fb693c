Feature: choice of the upstream

  Scenario: placements since the report are added to the queue
    Guards against sending all requests until the next load report to the server that
    the last report showed as idle.
    Then a short reported queue loses to a longer one because of new placements

  Scenario: an old report doesn't make an upstream look idle
    Guards against routing to a hung engine: it sends no reports, and its last queue
    would look finished if all the time since then counted as work.
    Then the tokens in a report of a minute ago are reduced by 3 seconds of work

  Scenario: the split has the least cost
    Guards against fetching blocks that could be computed at less cost, or computing
    blocks that could be fetched at less cost.
    Then no other number of fetched blocks costs less, for many links and queues

  Scenario: plans are never worse than least load without stores
    Guards against plans with fetched or reused blocks that cost more, or take much
    longer, than least-load balancing without them.
    Then the plan costs no more than that of least_load, for many fleets
    And its TTFT exceeds that of least_load by at most the slack, for many weights

  Scenario Outline: excluded upstreams
    Guards against new requests on an upstream that must not get them: one that is
    draining, failing or full, was tried before, or runs another crash suspect.
    Then an upstream that is "<state>" is not chosen and its verdict is "<verdict>"
    And if all are "<state>" the refusal has code "<code>" and nothing ran

    Examples:
      | state       | verdict       | code              |
      | draining    | draining      | upstream_draining |
      | tried       | tried         | no_upstream       |
      | open        | breaker_open  | breaker_open      |
      | full        | full          | upstream_full     |
      | suspect     | other_suspect | no_upstream       |

  Scenario: an ordinary request may run on the upstream of a suspect
    Guards against one crash suspect blocking its upstream for ordinary requests; only
    other suspects are excluded.
    Then an ordinary request is planned on an upstream that runs a suspect

  Scenario: independent nodes spread their choices
    Guards against all nodes choosing the server that looks best in the same report
    so that it is overloaded before the next report.
    Then of 400 nodes with the same report at most a third choose the same of 6 servers
    And without unreported work all nodes choose a server that is clearly best

  Scenario: equal stores share the fetches
    Guards against all nodes fetching over the same link while an equal one is idle,
    as happens if ties between stores aren't broken at random.
    Then of 200 plans with two equal stores at least a third use each store

  Scenario: an old hint on a busy server
    Guards against queueing at a busy server for cached blocks that it has probably
    dropped since the hint was confirmed.
    Then a fresh hint outweighs a queue of half a second and a day-old one doesn't

  Scenario: an unusable store
    Guards against fetching from a store that its circuit breaker or its accuracy
    tracker excludes.
    Then a plan fetches from a usable store but not from the same one marked unusable

  Scenario: a store with inaccurate estimates
    Guards against a slow link that makes requests slower than recomputation, because
    the plans are based on wrong estimates of the fetch time.
    Then two fetches that take 4 times the estimate exclude the store
    And it is usable again after two probes within twice the estimate and no sooner
    And the factor of a link at half its declared rate is learned without exclusion
    And the learned factor decays to less than 1.01 within 10 minutes

  Scenario: the record explains the decision
    Guards against decisions that an operator can't reconstruct because the record
    lacks candidates or can't be encoded.
    Then the record is valid JSON and gives a verdict for each of 40 candidates

  Scenario: baseline policies
    Guards against benchmarks that compare with a baseline policy that doesn't do what
    its name says.
    Then each baseline policy returns the plan that its name describes
