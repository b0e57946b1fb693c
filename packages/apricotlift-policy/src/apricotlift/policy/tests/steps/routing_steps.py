"""Steps for routing."""

import json
from collections import Counter
from dataclasses import replace
from random import Random

from apricotlift.core.errors import ApricotliftError, Ran
from apricotlift.policy import routing
from apricotlift.policy.accuracy import AccuracySettings, StoreAccuracy
from apricotlift.policy.estimates import (
    Candidate,
    Placement,
    RoutingRequest,
    RoutingSettings,
    Store,
    compute_queue_tokens,
    estimate_candidate,
)
from behave import then
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

SETTINGS = RoutingSettings()
NO_TOLERANCE = replace(SETTINGS, cost_tolerance=0.0)
REQUEST = RoutingRequest(n_prompt_tokens=8500, n_blocks=8, shard_key="root")

CANDIDATES = st.builds(
    Candidate,
    name=st.sampled_from([f"engine-{number}" for number in range(30)]),
    prefill_tokens_per_s=st.floats(500, 50_000),
    reported_tokens=st.floats(0, 200_000),
    report_age_s=st.floats(0, 10),
    placements=st.lists(
        st.builds(Placement, age_s=st.floats(0, 10), n_tokens=st.floats(0, 9000)),
        max_size=3,
    ).map(tuple),
    n_cached_blocks=st.integers(0, 12),
    hint_age_s=st.floats(0, 100_000),
)
STORES = st.builds(
    Store,
    name=st.sampled_from(["east", "west"]),
    n_blocks=st.integers(0, 12),
    link_bytes_per_s=st.floats(1e7, 1e10),
    link_latency_s=st.floats(0, 0.5),
    queued_bytes=st.floats(0, 1e10),
    time_factor=st.floats(0.3, 3),
    p_present=st.floats(0.1, 1),
)
property_settings = settings(derandomize=True, max_examples=300, deadline=None)


def choose(candidates, stores=(), request=REQUEST, settings=SETTINGS, seed=1):
    return routing.choose_upstream(request, candidates, stores, settings, Random(seed))


@then("a short reported queue loses to a longer one because of new placements")
def check_placements(context):
    placements = tuple(Placement(0.1, 4000) for _ in range(4))
    short = Candidate("short", 8000, reported_tokens=100, placements=placements)
    longer = Candidate("longer", 8000, reported_tokens=4000)
    assert choose([short, longer]).upstream == "longer"
    assert choose([replace(short, placements=()), longer]).upstream == "short"


@then("the tokens in a report of a minute ago are reduced by 3 seconds of work")
def check_old_report(context):
    hung = Candidate("hung", 8000, reported_tokens=40_000, report_age_s=60)
    assert compute_queue_tokens(hung, SETTINGS) == 40_000 - 3 * 8000


@then("no other number of fetched blocks costs less, for many links and queues")
def check_split(context):
    @property_settings
    @any_of(CANDIDATES, STORES, st.floats(0, 1))
    def check(candidate, store, drain_share):
        chosen = replace(SETTINGS, queue_drain_share=drain_share)
        queue_s = compute_queue_tokens(candidate, chosen) / 8000

        def estimate_least(store):
            estimates = estimate_candidate(REQUEST, candidate, [store], chosen, queue_s)
            return min(estimate.cost for estimate in estimates)

        least = estimate_least(store)
        for n_blocks in range(store.n_blocks + 1):
            assert least <= estimate_least(replace(store, n_blocks=n_blocks)) + 1e-9

    check()


FLEETS = st.lists(CANDIDATES, min_size=1, max_size=25, unique_by=lambda c: c.name)


@then("the plan costs no more than that of least_load, for many fleets")
def check_never_worse(context):
    @property_settings
    @any_of(FLEETS, st.lists(STORES, max_size=2), st.integers(0, 99))
    def check(candidates, stores, seed):
        plan = choose(candidates, stores, settings=NO_TOLERANCE, seed=seed)
        baseline = routing.least_load(
            REQUEST, candidates, (), NO_TOLERANCE, Random(seed)
        )
        assert get_plan_cost(plan) <= get_plan_cost(baseline) + 1e-9

    check()


@then("its TTFT exceeds that of least_load by at most the slack, for many weights")
def check_slack(context):
    @property_settings
    @any_of(FLEETS, st.lists(STORES, max_size=2), st.floats(0, 0.1), st.floats(0, 5))
    def check(candidates, stores, w_recompute, slack_s):
        weights = replace(SETTINGS, w_recompute=w_recompute, ttft_slack_s=slack_s)
        plan = choose(candidates, stores, settings=weights)
        baseline = routing.least_load(REQUEST, candidates, (), weights, Random(1))
        assert plan.estimated_ttft_s <= baseline.estimated_ttft_s + slack_s + 1e-9

    check()


def get_plan_cost(plan):
    for record in plan.record.candidates:
        if record.upstream == plan.upstream:
            return record.estimate.cost
    raise AssertionError("the plan's upstream has no record")


def build_excluded(state, name):
    candidate = Candidate(name, 8000)
    changes = {
        "draining": {"draining": True},
        "open": {"breaker_open": True},
        "full": {"n_in_flight": 64},
        "suspect": {"n_suspects": 1},
        "tried": {},
    }
    request = replace(
        REQUEST,
        is_suspect=state == "suspect",
        tried=frozenset(["bad-1", "bad-2"] if state == "tried" else []),
    )
    return request, replace(candidate, **changes[state])


@then('an upstream that is "{state}" is not chosen and its verdict is "{verdict}"')
def check_excluded(context, state, verdict):
    request, bad = build_excluded(state, "bad-1")
    bad = replace(bad, n_cached_blocks=8)
    loaded = Candidate("loaded", 8000, reported_tokens=1_000_000)
    plan = choose([bad, loaded], request=request)
    assert plan.upstream == "loaded"
    assert plan.record.candidates[0].verdict == verdict


@then('if all are "{state}" the refusal has code "{code}" and nothing ran')
def check_all_excluded(context, state, code):
    request, first = build_excluded(state, "bad-1")
    _, second = build_excluded(state, "bad-2")
    try:
        choose([first, second], request=request)
    except ApricotliftError as error:
        assert error.code == code, error.code
        assert error.ran is Ran.NO
        assert error.retry_after_s > 0
    else:
        raise AssertionError("a plan was made on an excluded upstream")


@then("an ordinary request is planned on an upstream that runs a suspect")
def check_beside_suspect(context):
    assert choose([Candidate("only", 8000, n_suspects=1)]).upstream == "only"


def count_choices(candidates, n, request=REQUEST, stores=(), get_choice=None):
    get_choice = get_choice or (lambda plan: plan.upstream)
    plans = [choose(candidates, stores, request, seed=seed) for seed in range(n)]
    return Counter(get_choice(plan) for plan in plans)


@then("of 400 nodes with the same report at most a third choose the same of 6 servers")
def check_spread(context):
    candidates = [
        Candidate(f"engine-{number}", 8000, reported_tokens=500.0 * number)
        for number in range(6)
    ]
    request = replace(REQUEST, unreported_tokens=100_000)
    counts = count_choices(candidates, 400, request)
    assert max(counts.values()) <= 2 * 400 / 6, counts


@then("without unreported work all nodes choose a server that is clearly best")
def check_clearly_best(context):
    best = Candidate("best", 8000, n_cached_blocks=8)
    others = [Candidate(f"engine-{number}", 8000) for number in range(5)]
    assert count_choices([best, *others], 50) == {"best": 50}


@then("of 200 plans with two equal stores at least a third use each store")
def check_equal_stores(context):
    stores = [Store("east", 8, 5e9), Store("west", 8, 5e9)]
    counts = count_choices(
        [Candidate("a", 8000)], 200, stores=stores, get_choice=lambda plan: plan.store
    )
    assert min(counts["east"], counts["west"]) >= 200 / 3, counts


@then("a fresh hint outweighs a queue of half a second and a day-old one doesn't")
def check_doubtful_hint(context):
    idle = Candidate("idle", 8000)
    fresh = Candidate("cached", 8000, reported_tokens=4000, n_cached_blocks=8)
    old = replace(fresh, hint_age_s=86_400)
    assert choose([fresh, idle]).upstream == "cached"
    assert choose([old, idle]).upstream == "idle"


@then("a plan fetches from a usable store but not from the same one marked unusable")
def check_unusable(context):
    store = Store("east", 8, 5e9)
    assert choose([Candidate("a", 8000)], [store]).n_fetched_blocks == 8
    plan = choose([Candidate("a", 8000)], [replace(store, usable=False)])
    assert (plan.store, plan.n_fetched_blocks) == (None, 0)
    assert plan.record.excluded_stores == ("east",)


def record_fetch(accuracy, ratio, now_s):
    ticket = accuracy.begin(now_s)
    assert ticket is not None
    accuracy.finish(ticket, 0.1, 0.1 * ratio, now_s, Random(1))


@then("two fetches that take 4 times the estimate exclude the store")
def check_wrong_estimates(context):
    context.accuracy = StoreAccuracy(AccuracySettings())
    record_fetch(context.accuracy, 4.0, 0.0)
    assert context.accuracy.is_usable(0.0)
    record_fetch(context.accuracy, 4.0, 0.0)
    assert not context.accuracy.is_usable(0.5)


@then("it is usable again after two probes within twice the estimate and no sooner")
def check_return(context):
    accuracy = context.accuracy
    record_fetch(accuracy, 2.5, 2.0)
    assert not accuracy.is_usable(2.5)
    record_fetch(accuracy, 1.5, 5.0)
    ticket = accuracy.begin(5.0)
    assert ticket is not None
    assert not accuracy.is_usable(5.0), "a second probe ran at the same time"
    accuracy.finish(ticket, 0.1, 0.1, 5.0, Random(1))
    assert all(accuracy.begin(5.0) is not None for _ in range(10))


@then("the factor of a link at half its declared rate is learned without exclusion")
def check_learned_factor(context):
    accuracy = StoreAccuracy(AccuracySettings())
    for number in range(40):
        ticket = accuracy.begin(float(number))
        estimated_s = 0.1 * accuracy.get_time_factor(float(number))
        accuracy.finish(ticket, estimated_s, 0.2, float(number), Random(1))
    assert 1.8 < accuracy.get_time_factor(40.0) < 2.2
    assert accuracy.is_usable(40.0)
    context.accuracy = accuracy


@then("the learned factor decays to less than 1.01 within 10 minutes")
def check_forgotten_factor(context):
    assert context.accuracy.get_time_factor(600.0) < 1.01


@then("the record is valid JSON and gives a verdict for each of 40 candidates")
def check_record(context):
    candidates = [
        Candidate(f"engine-{number}", 8000, reported_tokens=900.0 * number)
        for number in range(39)
    ]
    candidates.append(Candidate("leaving", 8000, draining=True))
    plan = choose(candidates, [Store("east", 8, 1e9)])
    record = json.loads(json.dumps(plan.record.build_map(), allow_nan=False))
    verdicts = Counter(entry["verdict"] for entry in record["candidates"])
    assert sum(verdicts.values()) == 40
    assert verdicts["chosen"] == 1
    assert verdicts["draining"] == 1
    assert set(verdicts) <= {
        *("chosen", "outdrawn", "costlier", "too_slow", "not_evaluated", "draining")
    }


@then("each baseline policy returns the plan that its name describes")
def check_baselines(context):
    candidates = [
        Candidate("a", 8000, reported_tokens=9000, n_cached_blocks=8),
        Candidate("b", 8000),
    ]
    stores = [Store("east", 6, 1e6)]
    inputs = (REQUEST, candidates, stores, SETTINGS, Random(1))
    round_robin = routing.make_round_robin()
    taken = Counter(round_robin(*inputs).upstream for _ in range(10))
    assert taken == {"a": 5, "b": 5}
    assert routing.least_load(*inputs).upstream == "b"
    owners = {routing.prefix_affinity(*inputs).upstream for _ in range(9)}
    assert len(owners) == 1
    assert routing.always_fetch(*inputs).n_fetched_blocks == 6
    assert routing.always_recompute(*inputs).store is None
