"""Choice of the upstream for a prompt.

Nodes decide alone on reports that lag, so the spread between them matters as much
as the estimate: see Dahlin, "Interpreting stale load information", IEEE
Transactions on Parallel and Distributed Systems 11(10), 2000. The work that others
have placed unseen is taken to fill the shortest queues up to a common level, and no
queue counts as shorter than that. Among candidates that then cost the same, each is
drawn with a weight that is the distance of its queue from the level. Reuse thus
still decides between short queues.
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

# How long a caller should wait when every upstream is excluded: about the time
# between two health probes, after which the picture may differ.
NO_UPSTREAM_RETRY_S = 1.0

_CODES = {
    "draining": Code.UPSTREAM_DRAINING,
    "breaker_open": Code.BREAKER_OPEN,
    "full": Code.UPSTREAM_FULL,
}


@dataclass(slots=True)
class CandidateRecord:
    """What was known of a candidate and why it was or wasn't chosen.

    :param verdict: ``chosen``, ``outdrawn`` (as good, lost the draw), ``costlier``,
        ``too_slow`` (beyond the TTFT slack), ``not_evaluated`` (queue too long to be
        worth an estimate), or the reason of the exclusion: ``tried``, ``draining``,
        ``breaker_open``, ``full``, ``other_suspect``.
    :param queue_tokens: corrected tokens ahead; nothing for an excluded one.
    :param estimate: its best estimate, if it was made.
    """

    upstream: str
    verdict: str
    queue_tokens: float | None = None
    report_age_s: float = 0.0
    estimate: Estimate | None = None


@dataclass(frozen=True)
class DecisionRecord:
    """A decision for ``explain``.

    :param limit: cost up to which candidates took part in the draw.
    :param excluded_stores: stores that were not usable.
    """

    policy: str
    n_prompt_tokens: int
    n_blocks: int
    limit: float
    candidates: tuple[CandidateRecord, ...]
    excluded_stores: tuple[str, ...]

    def build_map(self) -> dict[str, Any]:
        """Return the record as plain values that JSON can carry."""
        return asdict(self)


@dataclass(frozen=True)
class Plan:
    """Where and how a request runs.

    :param n_reused_blocks: leading blocks expected on the engine.
    :param n_fetched_blocks: blocks after them to import from the store.
    :param n_recomputed_tokens: prompt tokens that the engine is expected to compute.
    :param estimated_fetch_s: fetch part of the estimate; twice this is the timeout
        of the import.
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

    :raises ApricotliftError: when no candidate is allowed; nothing ran.

    >>> request = RoutingRequest(n_prompt_tokens=8500, n_blocks=8)
    >>> busy = Candidate("busy", 8000, reported_tokens=900, n_cached_blocks=8)
    >>> idle = Candidate("idle", 8000)
    >>> plan = choose_upstream(
    ...     request, [busy, idle], [], RoutingSettings(), Random(1))
    >>> plan.upstream, plan.n_reused_blocks, plan.n_recomputed_tokens
    ('busy', 8, 500)
    """
    queues, excluded = _split_candidates(request, candidates, settings)
    waits = {
        candidate.name: queues[candidate.name] / candidate.prefill_tokens_per_s
        for candidate in candidates
        if candidate.name in queues
    }
    level_s = _find_level(
        list(waits.values()), _compute_unseen_s(request, candidates, queues)
    )
    selected = _select_for_estimate(request, candidates, waits, level_s, settings)
    ways = _estimate_all(request, selected, stores, settings, waits, level_s)
    ttft_limit_s = _find_ttft_limit_s(request, selected, settings, waits, level_s)
    best = {
        name: _choose_way(within, settings, random)
        for name, estimates in ways.items()
        if (within := [e for e in estimates if e.ttft_s <= ttft_limit_s])
    }
    limit = min(e.cost for e in best.values()) + settings.tolerance_s
    weights = {
        name: max(0.0, level_s - waits[name])
        for name, estimate in best.items()
        if estimate.cost <= limit
    }
    chosen = _draw(candidates, weights, random)
    # Shown in the record: the fastest way of a candidate that is too slow.
    slow = {
        name: min(estimates, key=lambda e: e.ttft_s)
        for name, estimates in ways.items()
        if name not in best
    }
    record = _build_record(
        "choose_upstream", request, candidates, stores, queues, excluded, best, slow
    )
    return _build_plan(best[chosen], record(limit, chosen))


def make_round_robin() -> Policy:
    """Return a baseline that takes the allowed upstreams in turn."""
    n_chosen = 0

    def round_robin(request, candidates, stores, settings, random):
        nonlocal n_chosen
        n_chosen += 1
        return _plan_by_rank(
            "round_robin",
            (request, candidates, stores, settings),
            lambda allowed, queues: allowed[n_chosen % len(allowed)],
        )

    return round_robin


def least_load(request, candidates, stores, settings, random) -> Plan:
    """Baseline: the shortest queue, without stores."""
    return _plan_by_rank(
        "least_load", (request, candidates, stores, settings), _take_shortest
    )


def prefix_affinity(request, candidates, stores, settings, random) -> Plan:
    """Baseline: rendezvous hash of the conversation, without stores."""

    def take_owner(allowed, queues):
        by_name = {candidate.name: candidate for candidate in allowed}
        return by_name[rank_nodes(request.shard_key, by_name)[0]]

    return _plan_by_rank(
        "prefix_affinity", (request, candidates, stores, settings), take_owner
    )


def always_fetch(request, candidates, stores, settings, random) -> Plan:
    """Baseline: the shortest queue, and all that the fullest store holds."""
    usable = [store for store in stores if store.usable]
    most = max((store.n_blocks for store in usable), default=0)
    fullest = [store for store in usable if store.n_blocks == most]
    shortest = sorted(fullest, key=lambda store: store.queued_bytes)[:1]
    inputs = (request, candidates, shortest, settings)
    return _plan_by_rank("always_fetch", inputs, _take_shortest, fetch_all=True)


def always_recompute(request, candidates, stores, settings, random) -> Plan:
    """Baseline: as :func:`choose_upstream`, but without stores."""
    return choose_upstream(request, candidates, (), settings, random)


POLICIES: dict[str, Callable[[], Policy]] = {
    "choose_upstream": lambda: choose_upstream,
    "round_robin": make_round_robin,
    "least_load": lambda: least_load,
    "prefix_affinity": lambda: prefix_affinity,
    "always_fetch": lambda: always_fetch,
    "always_recompute": lambda: always_recompute,
}
"""Builders by name; each node builds its own, because a policy may keep state."""


def _take_shortest(allowed, queues):
    def compute_wait_s(candidate):
        return queues[candidate.name] / candidate.prefill_tokens_per_s

    return min(allowed, key=compute_wait_s)


def _plan_by_rank(policy, inputs, take, fetch_all=False) -> Plan:
    request, candidates, stores, settings = inputs
    queues, excluded = _split_candidates(request, candidates, settings)
    allowed = [candidate for candidate in candidates if candidate.name in queues]
    chosen = take(allowed, queues)
    queue_s = queues[chosen.name] / chosen.prefill_tokens_per_s
    if fetch_all:
        # With the deployment's weights, this baseline wouldn't always fetch.
        settings = replace(settings, w_ttft=0.0, w_recompute=1.0, w_link=0.0)
    else:
        stores = ()
    estimates = estimate_candidate(request, chosen, stores, settings, queue_s)
    estimate = min(estimates, key=lambda e: e.cost)
    best = {chosen.name: estimate}
    record = _build_record(policy, request, candidates, stores, queues, excluded, best)
    return _build_plan(estimate, record(estimate.cost, chosen.name))


def _split_candidates(request, candidates, settings):
    """Return the queue of each allowed candidate and why the others are excluded."""
    queues: dict[str, float] = {}
    excluded: dict[str, str] = {}
    for candidate in candidates:
        reason = _find_exclusion(request, candidate)
        if reason:
            excluded[candidate.name] = reason
        else:
            queues[candidate.name] = compute_queue_tokens(candidate, settings)
    if not queues:
        raise _build_refusal(excluded)
    return queues, excluded


def _find_exclusion(request: RoutingRequest, candidate: Candidate) -> str | None:
    if candidate.draining:
        return "draining"
    if candidate.name in request.tried:
        return "tried"
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
        code = _CODES.get(reasons.pop(), Code.NO_UPSTREAM)
    return ApricotliftError(
        code,
        f"none of {len(excluded)} upstreams can take the request",
        scope=Scope.UPSTREAM,
        retry_after_s=NO_UPSTREAM_RETRY_S,
        details={"excluded": excluded},
    )


def _select_for_estimate(request, candidates, waits, level_s, settings):
    """Return the candidates that may be the cheapest.

    These are all with cached blocks, all that the unseen work may fill, and the
    readiest ones of the rest.
    """
    selected = []
    rest = []
    for candidate in candidates:
        wait_s = waits.get(candidate.name)
        if wait_s is None:
            continue
        if candidate.n_cached_blocks or wait_s <= level_s:
            selected.append(candidate)
        else:
            prefill_s = request.n_prompt_tokens / candidate.prefill_tokens_per_s
            rest.append((wait_s + prefill_s, len(rest), candidate))
    readiest = heapq.nsmallest(settings.n_evaluated, rest)
    return selected + [candidate for _, _, candidate in readiest]


def _estimate_all(request, selected, stores, settings, waits, level_s):
    """Return the ways of each selected candidate by name."""
    ways: dict[str, list[Estimate]] = {}
    # Candidates without cached blocks differ only in rate and queue, and those below
    # the level not even in the queue, so most of a large group share their figures.
    alike: dict[tuple[float, float], list[Estimate]] = {}
    for candidate in selected:
        queue_s = max(waits[candidate.name], level_s)
        key = (candidate.prefill_tokens_per_s, queue_s)
        if not candidate.n_cached_blocks and key in alike:
            ways[candidate.name] = [
                replace(estimate, upstream=candidate.name) for estimate in alike[key]
            ]
            continue
        estimates = estimate_candidate(request, candidate, stores, settings, queue_s)
        ways[candidate.name] = estimates
        if not candidate.n_cached_blocks:
            alike[key] = estimates
    return ways


def _find_ttft_limit_s(request, selected, settings, waits, level_s) -> float:
    """Return the longest TTFT that a plan may have.

    The weights may make recomputation so costly that the cheapest plan is a slow one;
    where an estimate of a fetch is wrong as well, it would be much slower than plain
    balancing.
    """
    shortest = min(selected, key=lambda candidate: waits[candidate.name])
    queue_s = max(waits[shortest.name], level_s)
    plain = estimate_candidate(request, shortest, (), settings, queue_s)[0]
    return plain.ttft_s + settings.ttft_slack_s


def _choose_way(
    estimates: list[Estimate], settings: RoutingSettings, random: Random
) -> Estimate:
    """Return the cheapest way, drawing among stores that are equally good.

    Nodes that see equal links would otherwise all fetch from the same store.
    """
    least = min(estimates, key=lambda estimate: estimate.cost)
    if least.store is None:
        return least
    limit = least.cost + settings.tolerance_s
    equal = [e for e in estimates if e.store is not None and e.cost <= limit]
    return random.choice(equal) if len(equal) > 1 else least


def _compute_unseen_s(request, candidates, queues) -> float:
    """Return the unseen work as seconds of an average candidate."""
    rates = [c.prefill_tokens_per_s for c in candidates if c.name in queues]
    return request.unseen_tokens * len(rates) / sum(rates)


def _find_level(waits: list[float], unseen_s: float) -> float:
    """Return the level to which the unseen work fills the shortest queues.

    >>> _find_level([1.0, 2.0, 9.0], unseen_s=3.0)
    3.0
    """
    ordered = sorted(waits)
    total_s = 0.0
    level_s = ordered[0]
    for number, wait_s in enumerate(ordered, start=1):
        total_s += wait_s
        level_s = (total_s + unseen_s) / number
        if number == len(ordered) or level_s <= ordered[number]:
            break
    # Rounding must not put the level below the shortest queue.
    return max(level_s, ordered[0])


def _draw(candidates, weights: dict[str, float], random: Random) -> str:
    """Draw two candidates by weight and keep one.

    The one with fewer of this node's own recent placements is kept, and on a tie
    the one drawn first. Keeping the cheaper one instead would concentrate the
    choices of all nodes on the cheapest candidates again.
    """
    names = list(weights)
    if len(names) == 1:
        return names[0]
    numbers = list(weights.values())
    if not any(numbers):
        numbers = [1.0] * len(names)
    drawn = random.choices(names, numbers, k=2)
    n_own = {
        candidate.name: sum(placement.own for placement in candidate.placements)
        for candidate in candidates
        if candidate.name in drawn
    }
    return min(drawn, key=n_own.__getitem__)


def _build_record(
    policy, request, candidates, stores, queues, excluded, best, slow=None
):
    """Return a function that builds the record for the chosen upstream."""
    slow = slow or {}

    def find_verdict(name: str, limit: float, chosen: str) -> str:
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
                verdict=find_verdict(candidate.name, limit, chosen),
                queue_tokens=queues.get(candidate.name),
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
