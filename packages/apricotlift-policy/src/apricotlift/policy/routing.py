"""Routing: choice of the upstream for a prompt.

Each node decides independently on stale load reports. If all of them chose the
upstream that looks best in the same report, they would overload it, so spreading
the choices matters as much as the accuracy of the estimates: see Dahlin,
"Interpreting stale load information", IEEE Transactions on Parallel and Distributed
Systems 11(10), 2000.

Work that other nodes have placed, but that no report contains yet, is assumed to
fill the shortest queues up to a common level (water-filling). No queue counts as
shorter than this level. Among candidates whose costs are then equal within the
tolerance, one is drawn at random, with a weight equal to the difference between the
level and the candidate's queue. Cached blocks therefore still decide between
candidates with short queues.
"""

import heapq
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, replace
from random import Random
from typing import Any

from apricotlift.core.errors import ApricotliftError, Code, Scope
from apricotlift.core.hashing import rank_nodes
from apricotlift.policy.estimates import (
    Candidate,
    Estimate,
    RoutingRequest,
    RoutingSettings,
    Store,
    compute_queue_tokens,
    estimate_candidate,
)

# Retry-after value when every upstream is excluded: about the interval of the health
# probes, after which an upstream may be available again.
NO_UPSTREAM_RETRY_S = 1.0

_REFUSAL_CODES = {
    "draining": Code.UPSTREAM_DRAINING,
    "breaker_open": Code.BREAKER_OPEN,
    "slot_not_loaded": Code.SLOT_NOT_LOADED,
    "full": Code.UPSTREAM_FULL,
}


@dataclass(slots=True)
class CandidateRecord:
    """Input data of a candidate and why it was or wasn't chosen.

    :param verdict: ``chosen``, ``outdrawn`` (equal cost, but not drawn), ``costlier``,
        ``too_slow`` (beyond the TTFT slack), ``not_evaluated`` (queue too long to be
        worth an estimate), or the reason of the exclusion: ``tried``, ``draining``,
        ``slot_not_loaded``, ``breaker_open``, ``full``, ``other_suspect``.
    :param queue_tokens: prompt tokens queued ahead of the request, brought up to date
        since the report; ``None`` for an excluded candidate.
    :param report_age_s: age of the load report in seconds.
    :param estimate: cheapest estimate, or ``None`` if none was made.
    """

    upstream: str
    verdict: str
    queue_tokens: float | None = None
    report_age_s: float = 0.0
    estimate: Estimate | None = None


@dataclass(frozen=True)
class DecisionRecord:
    """Record of a routing decision, shown by the ``explain`` command.

    :param policy: name of the routing policy.
    :param limit: highest cost at which candidates took part in the draw.
    :param excluded_stores: names of the stores that were not usable.
    """

    policy: str
    n_prompt_tokens: int
    n_blocks: int
    limit: float
    candidates: tuple[CandidateRecord, ...]
    excluded_stores: tuple[str, ...]

    def build_map(self) -> dict[str, Any]:
        """Return the record as a map of JSON-serializable values."""
        return asdict(self)


@dataclass(frozen=True)
class Plan:
    """The upstream for a request, and the source of each of its cache blocks.

    :param n_reused_blocks: leading blocks expected in the engine's cache.
    :param n_fetched_blocks: blocks after them to import from the store.
    :param store: name of the store, or ``None`` if no block is fetched.
    :param n_recomputed_tokens: prompt tokens that the engine is expected to compute.
    :param estimated_ttft_s: estimated time to first token in seconds.
    :param estimated_fetch_s: estimated fetch time in seconds; the import times out
        after twice this time.
    """

    upstream: str
    n_reused_blocks: int
    n_fetched_blocks: int
    store: str | None
    n_recomputed_tokens: int
    estimated_ttft_s: float
    estimated_fetch_s: float
    record: DecisionRecord


Policy = Callable[
    [RoutingRequest, Sequence[Candidate], Sequence[Store], RoutingSettings, Random],
    Plan,
]


def choose_upstream(
    request: RoutingRequest,
    candidates: Sequence[Candidate],
    stores: Sequence[Store],
    settings: RoutingSettings,
    random: Random,
) -> Plan:
    """Choose the upstream, and which blocks to reuse, fetch and recompute.

    :raises ApricotliftError: if every candidate is excluded; the request did not run.

    >>> request = RoutingRequest(n_prompt_tokens=8500, n_blocks=8)
    >>> busy = Candidate("busy", 8000, reported_tokens=900, n_cached_blocks=8)
    >>> idle = Candidate("idle", 8000)
    >>> plan = choose_upstream(
    ...     request, [busy, idle], [], RoutingSettings(), Random(1))
    >>> plan.upstream, plan.n_reused_blocks, plan.n_recomputed_tokens
    ('busy', 8, 500)
    """
    queue_tokens_by_name, excluded = _split_candidates(request, candidates, settings)
    queue_s_by_name = {
        candidate.name: queue_tokens_by_name[candidate.name]
        / candidate.prefill_tokens_per_s
        for candidate in candidates
        if candidate.name in queue_tokens_by_name
    }
    fill_level_s = _compute_fill_level_s(
        list(queue_s_by_name.values()),
        _compute_unreported_s(request, candidates, queue_tokens_by_name),
    )
    selected = _select_for_estimate(
        request, candidates, queue_s_by_name, fill_level_s, settings
    )
    options = _estimate_all(
        request, selected, stores, settings, queue_s_by_name, fill_level_s
    )
    ttft_limit_s = _compute_ttft_limit_s(
        request, selected, settings, queue_s_by_name, fill_level_s
    )
    best = {
        name: _choose_option(eligible, settings, random)
        for name, estimates in options.items()
        if (eligible := [e for e in estimates if e.ttft_s <= ttft_limit_s])
    }
    limit = min(e.cost for e in best.values()) + settings.cost_tolerance
    weights = {
        name: max(0.0, fill_level_s - queue_s_by_name[name])
        for name, estimate in best.items()
        if estimate.cost <= limit
    }
    chosen = _draw_candidate(candidates, weights, random)
    # Shown in the record: the fastest option of each candidate that is too slow.
    slow = {
        name: min(estimates, key=lambda e: e.ttft_s)
        for name, estimates in options.items()
        if name not in best
    }
    build_record = _make_record_builder(
        "choose_upstream",
        request,
        candidates,
        stores,
        queue_tokens_by_name,
        excluded,
        best,
        slow,
    )
    return _build_plan(best[chosen], build_record(limit, chosen))


def make_round_robin() -> Policy:
    """Return a baseline policy that selects the allowed upstreams in turn."""
    n_chosen = 0

    def round_robin(request, candidates, stores, settings, random):
        nonlocal n_chosen
        n_chosen += 1
        return _plan_with_selector(
            "round_robin",
            (request, candidates, stores, settings),
            lambda allowed, queue_tokens_by_name: allowed[n_chosen % len(allowed)],
        )

    return round_robin


def least_load(request, candidates, stores, settings, random) -> Plan:
    """Select the upstream with the shortest queue, without stores (baseline)."""
    return _plan_with_selector(
        "least_load", (request, candidates, stores, settings), _select_shortest_queue
    )


def prefix_affinity(request, candidates, stores, settings, random) -> Plan:
    """Select by rendezvous hash of the conversation, without stores (baseline)."""

    def select_owner(allowed, queue_tokens_by_name):
        by_name = {candidate.name: candidate for candidate in allowed}
        return by_name[rank_nodes(request.shard_key, by_name)[0]]

    return _plan_with_selector(
        "prefix_affinity", (request, candidates, stores, settings), select_owner
    )


def always_fetch(request, candidates, stores, settings, random) -> Plan:
    """Select the shortest queue and fetch all stored blocks (baseline).

    The blocks come from the store that holds the most of the prompt; among equal
    stores, from the one with the fewest queued bytes.
    """
    usable = [store for store in stores if store.usable]
    n_blocks_max = max((store.n_blocks for store in usable), default=0)
    holding_most = [store for store in usable if store.n_blocks == n_blocks_max]
    shortest_queued = sorted(holding_most, key=lambda store: store.queued_bytes)[:1]
    inputs = (request, candidates, shortest_queued, settings)
    return _plan_with_selector(
        "always_fetch", inputs, _select_shortest_queue, fetch_all=True
    )


def always_recompute(request, candidates, stores, settings, random) -> Plan:
    """Choose as :func:`choose_upstream` does, but without stores (baseline)."""
    return choose_upstream(request, candidates, (), settings, random)


POLICIES: dict[str, Callable[[], Policy]] = {
    "choose_upstream": lambda: choose_upstream,
    "round_robin": make_round_robin,
    "least_load": lambda: least_load,
    "prefix_affinity": lambda: prefix_affinity,
    "always_fetch": lambda: always_fetch,
    "always_recompute": lambda: always_recompute,
}
"""Policy factories by name. Each node builds its own policy, as it may keep state."""


def _select_shortest_queue(allowed, queue_tokens_by_name):
    def compute_wait_s(candidate):
        return queue_tokens_by_name[candidate.name] / candidate.prefill_tokens_per_s

    return min(allowed, key=compute_wait_s)


def _plan_with_selector(policy, inputs, select, fetch_all=False) -> Plan:
    request, candidates, stores, settings = inputs
    queue_tokens_by_name, excluded = _split_candidates(request, candidates, settings)
    allowed = [
        candidate for candidate in candidates if candidate.name in queue_tokens_by_name
    ]
    chosen = select(allowed, queue_tokens_by_name)
    queue_s = queue_tokens_by_name[chosen.name] / chosen.prefill_tokens_per_s
    if fetch_all:
        # These weights make fetching always the cheapest option; with the
        # deployment's weights, this baseline would sometimes recompute.
        settings = replace(settings, w_ttft=0.0, w_recompute=1.0, w_link=0.0)
    else:
        stores = ()
    estimates = estimate_candidate(request, chosen, stores, settings, queue_s)
    estimate = min(estimates, key=lambda e: e.cost)
    best = {chosen.name: estimate}
    build_record = _make_record_builder(
        policy, request, candidates, stores, queue_tokens_by_name, excluded, best
    )
    return _build_plan(estimate, build_record(estimate.cost, chosen.name))


def _split_candidates(request, candidates, settings):
    """Separate the candidates into allowed and excluded ones.

    :returns: queued prompt tokens by name of the allowed candidates, and reason of
        the exclusion by name of the others.
    """
    queue_tokens_by_name: dict[str, float] = {}
    excluded: dict[str, str] = {}
    for candidate in candidates:
        reason = _get_exclusion_reason(request, candidate)
        if reason:
            excluded[candidate.name] = reason
        else:
            queue_tokens_by_name[candidate.name] = compute_queue_tokens(
                candidate, settings
            )
    if not queue_tokens_by_name:
        raise _build_refusal(excluded)
    return queue_tokens_by_name, excluded


def _get_exclusion_reason(request: RoutingRequest, candidate: Candidate) -> str | None:
    if candidate.draining:
        return "draining"
    if candidate.name in request.tried:
        return "tried"
    if candidate.lacks_slot:
        return "slot_not_loaded"
    if candidate.breaker_open:
        return "breaker_open"
    if request.is_suspect and candidate.n_suspects:
        return "other_suspect"
    if candidate.n_in_flight >= candidate.max_in_flight:
        return "full"
    return None


def _build_refusal(excluded: dict[str, str]) -> ApricotliftError:
    reasons = set(excluded.values())
    code = Code.NO_UPSTREAM
    if len(reasons) == 1:
        code = _REFUSAL_CODES.get(reasons.pop(), Code.NO_UPSTREAM)
    return ApricotliftError(
        code,
        f"all {len(excluded)} upstreams are excluded from this request",
        scope=Scope.UPSTREAM,
        retry_after_s=NO_UPSTREAM_RETRY_S,
        details={"excluded": excluded},
    )


def _select_for_estimate(request, candidates, queue_s_by_name, fill_level_s, settings):
    """Return the candidates that may be the cheapest.

    These are all candidates with cached blocks, all whose queue is below the fill
    level, and of the others those with the least queue and prefill time.
    """
    selected = []
    others = []
    for candidate in candidates:
        wait_s = queue_s_by_name.get(candidate.name)
        if wait_s is None:
            continue
        if candidate.n_cached_blocks or wait_s <= fill_level_s:
            selected.append(candidate)
        else:
            prefill_s = request.n_prompt_tokens / candidate.prefill_tokens_per_s
            others.append((wait_s + prefill_s, len(others), candidate))
    fastest = heapq.nsmallest(settings.n_extra_evaluated, others)
    return selected + [candidate for _, _, candidate in fastest]


def _estimate_all(request, selected, stores, settings, queue_s_by_name, fill_level_s):
    """Return the execution options of each selected candidate by name."""
    options: dict[str, list[Estimate]] = {}
    # Candidates without cached blocks differ only in prefill rate and queue time, and
    # those below the fill level only in the rate, so most candidates of a large group
    # share their estimates.
    shared_estimates: dict[tuple[float, float], list[Estimate]] = {}
    for candidate in selected:
        queue_s = max(queue_s_by_name[candidate.name], fill_level_s)
        key = (candidate.prefill_tokens_per_s, queue_s)
        if not candidate.n_cached_blocks and key in shared_estimates:
            options[candidate.name] = [
                replace(estimate, upstream=candidate.name)
                for estimate in shared_estimates[key]
            ]
            continue
        estimates = estimate_candidate(request, candidate, stores, settings, queue_s)
        options[candidate.name] = estimates
        if not candidate.n_cached_blocks:
            shared_estimates[key] = estimates
    return options


def _compute_ttft_limit_s(
    request, selected, settings, queue_s_by_name, fill_level_s
) -> float:
    """Return the longest TTFT that a plan may have, in seconds.

    The weights may make recomputation so costly that the cheapest plan is a slow one.
    If the fetch is also slower than estimated, this plan would take much longer than
    least-load balancing without stores.
    """
    shortest_queued = min(
        selected, key=lambda candidate: queue_s_by_name[candidate.name]
    )
    queue_s = max(queue_s_by_name[shortest_queued.name], fill_level_s)
    baseline = estimate_candidate(request, shortest_queued, (), settings, queue_s)[0]
    return baseline.ttft_s + settings.ttft_slack_s


def _choose_option(
    estimates: list[Estimate], settings: RoutingSettings, random: Random
) -> Estimate:
    """Return the cheapest option, drawn at random among equally good stores.

    Otherwise, all nodes that see equal links would fetch from the same store.
    """
    cheapest = min(estimates, key=lambda estimate: estimate.cost)
    if cheapest.store is None:
        return cheapest
    limit = cheapest.cost + settings.cost_tolerance
    equivalent = [e for e in estimates if e.store is not None and e.cost <= limit]
    return random.choice(equivalent) if len(equivalent) > 1 else cheapest


def _compute_unreported_s(request, candidates, queue_tokens_by_name) -> float:
    """Return the unreported work in seconds, at the average prefill rate."""
    rates = [
        c.prefill_tokens_per_s for c in candidates if c.name in queue_tokens_by_name
    ]
    return request.unreported_tokens * len(rates) / sum(rates)


def _compute_fill_level_s(queue_times_s: list[float], unreported_s: float) -> float:
    """Return the level in seconds to which unreported work fills the shortest queues.

    >>> _compute_fill_level_s([1.0, 2.0, 9.0], unreported_s=3.0)
    3.0
    """
    sorted_times_s = sorted(queue_times_s)
    total_s = 0.0
    fill_level_s = sorted_times_s[0]
    for number, wait_s in enumerate(sorted_times_s, start=1):
        total_s += wait_s
        fill_level_s = (total_s + unreported_s) / number
        if number == len(sorted_times_s) or fill_level_s <= sorted_times_s[number]:
            break
    # Rounding must not put the level below the shortest queue.
    return max(fill_level_s, sorted_times_s[0])


def _draw_candidate(candidates, weights: dict[str, float], random: Random) -> str:
    """Draw two candidates by weight and return the name of one of them.

    Returns the one with fewer recent placements of this node, or the one drawn first
    if these are equal. Returning the cheaper one instead would concentrate the
    choices of all nodes on the cheapest candidates again.
    """
    names = list(weights)
    if len(names) == 1:
        return names[0]
    draw_weights = list(weights.values())
    if not any(draw_weights):
        draw_weights = [1.0] * len(names)
    drawn_names = random.choices(names, draw_weights, k=2)
    n_own_placements = {
        candidate.name: sum(placement.own for placement in candidate.placements)
        for candidate in candidates
        if candidate.name in drawn_names
    }
    return min(drawn_names, key=n_own_placements.__getitem__)


def _make_record_builder(
    policy, request, candidates, stores, queue_tokens_by_name, excluded, best, slow=None
):
    """Return a function that builds the record, given cost limit and chosen name."""
    slow = slow or {}

    def get_verdict(name: str, limit: float, chosen: str) -> str:
        if name in excluded:
            return excluded[name]
        if name == chosen:
            return "chosen"
        if name in slow:
            return "too_slow"
        if name not in best:
            return "not_evaluated"
        return "outdrawn" if best[name].cost <= limit else "costlier"

    def build(limit: float, chosen: str) -> DecisionRecord:
        records = tuple(
            CandidateRecord(
                upstream=candidate.name,
                verdict=get_verdict(candidate.name, limit, chosen),
                queue_tokens=queue_tokens_by_name.get(candidate.name),
                report_age_s=candidate.report_age_s,
                estimate=best.get(candidate.name) or slow.get(candidate.name),
            )
            for candidate in candidates
        )
        return DecisionRecord(
            policy=policy,
            n_prompt_tokens=request.n_prompt_tokens,
            n_blocks=request.n_blocks,
            limit=limit,
            candidates=records,
            excluded_stores=tuple(s.name for s in stores if not s.usable),
        )

    return build


def _build_plan(estimate: Estimate, record: DecisionRecord) -> Plan:
    return Plan(
        upstream=estimate.upstream,
        n_reused_blocks=estimate.n_reused_blocks,
        n_fetched_blocks=estimate.n_fetched_blocks,
        store=estimate.store,
        n_recomputed_tokens=round(estimate.n_recomputed_tokens),
        estimated_ttft_s=estimate.ttft_s,
        estimated_fetch_s=estimate.fetch_s,
        record=record,
    )
