"""Estimates of time and cost for one request on one upstream.

Time to first token (TTFT) = fetch time + queue time that remains after the fetch +
prefill time. Fetch and prefill are sequential: a node imports blocks into the
engine before it submits the prompt, and computing a block needs the blocks before
it. During the fetch the engine works on other prompts, but new prompts arrive ahead
of this one, so only a share of the fetch time is subtracted from the queue time.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from operator import attrgetter


@dataclass(frozen=True)
class RoutingSettings:
    """Cost weights and model parameters of a deployment.

    :param w_ttft: cost per second of TTFT.
    :param w_recompute: cost per prompt token that is computed.
    :param w_link: cost per byte sent over a store link.
    :param chunk_tokens: tokens per cache block.
    :param chunk_bytes: KV bytes per cache block.
    :param hint_half_life_s: age in seconds at which half of the blocks that a cache
        hint names are still in the engine's cache, for candidates without a learned
        probability.
    :param event_gap_factor: factor on the probability that an engine's hints are true
        after a gap in its cache events.
    :param queue_drain_share: share of the fetch time by which the queue time shrinks.
    :param credited_work_max_s: longest time since a report during which the engine is
        assumed to have worked. An engine with an older report may be hung rather
        than idle.
    :param cost_tolerance: candidates within this cost of the best are equally good.
    :param ttft_slack_s: by how much the TTFT of a plan may exceed that of least-load
        balancing without stores.
    :param n_extra_evaluated: number of candidates without cached blocks and with a
        queue above the fill level that are estimated in full; those with the least
        queue and prefill time are selected.
    """

    w_ttft: float = 1.0
    w_recompute: float = 0.0002
    w_link: float = 1e-10
    chunk_tokens: int = 1000
    chunk_bytes: int = 131_072_000
    hint_half_life_s: float = 600.0
    event_gap_factor: float = 0.5
    queue_drain_share: float = 0.0
    credited_work_max_s: float = 3.0
    cost_tolerance: float = 0.01
    ttft_slack_s: float = 1.0
    n_extra_evaluated: int = 4


@dataclass(frozen=True)
class RoutingRequest:
    """Properties of a prompt that routing uses.

    :param n_prompt_tokens: estimated length of the prompt.
    :param n_blocks: number of full cache blocks in the prompt.
    :param shard_key: root of the prefix, or the fingerprint if there is no prefix.
    :param tried: names of the upstreams that earlier attempts used.
    :param is_suspect: whether the request has crashed an upstream before.
    :param unreported_tokens: prompt tokens that other nodes are expected to have placed
        and that no candidate's report or placements contain yet (unreported work).
    """

    n_prompt_tokens: int
    n_blocks: int
    shard_key: str = ""
    tried: frozenset[str] = frozenset()
    is_suspect: bool = False
    unreported_tokens: float = 0.0


@dataclass(frozen=True)
class Placement:
    """A request started at an upstream after its last load report.

    :param age_s: time since the start in seconds.
    :param n_tokens: prompt tokens that the upstream has to compute for the request.
    :param own: whether this node started the request.
    """

    age_s: float
    n_tokens: float
    own: bool = True


@dataclass(frozen=True)
class Candidate:
    """An upstream that serves the request's slot.

    :param name: name of the upstream.
    :param prefill_tokens_per_s: prompt tokens computed per second.
    :param reported_tokens: prompt tokens waiting or in prefill, as reported.
    :param uncached_share: share of the reported tokens that has to be computed, from
        recent responses; needed because engines report whole prompts.
    :param report_age_s: time since the report's ``as_of`` in seconds.
    :param placements: requests that this node and its peers started since the report.
    :param n_cached_blocks: leading blocks of the prompt that are in this upstream's
        cache according to a hint.
    :param hint_age_s: time since the hint was last confirmed, in seconds.
    :param p_cached: learned probability that the hint is true, or ``None``.
    :param has_event_gap: whether cache events of this engine were missed.
    :param n_in_flight: number of requests in flight.
    :param max_in_flight: concurrency limit.
    :param n_suspects: number of crash suspects that run on this upstream.
    :param draining: whether the upstream is draining and takes no new requests.
    :param breaker_open: whether the upstream's circuit breaker refuses requests.
    :param lacks_slot: whether the upstream has not loaded the request's slot.
    """

    name: str
    prefill_tokens_per_s: float
    reported_tokens: float = 0.0
    uncached_share: float = 1.0
    report_age_s: float = 0.0
    placements: tuple[Placement, ...] = ()
    n_cached_blocks: int = 0
    hint_age_s: float = 0.0
    p_cached: float | None = None
    has_event_gap: bool = False
    n_in_flight: int = 0
    max_in_flight: int = 64
    n_suspects: int = 0
    draining: bool = False
    breaker_open: bool = False
    lacks_slot: bool = False


@dataclass(frozen=True)
class Store:
    """A KV store and the part of the prompt that it holds.

    :param name: name of the store.
    :param n_blocks: number of leading blocks of the prompt that the store holds.
    :param link_bytes_per_s: rate of the store's link, shared by all fetches.
    :param link_latency_s: latency of one fetch in seconds.
    :param queued_bytes: bytes queued on the link ahead of a new fetch.
    :param time_factor: actual / estimated fetch time, learned from recent fetches.
    :param p_present: probability that the store still holds the blocks.
    :param usable: false while the store's circuit breaker or accuracy tracker
        excludes the store.
    """

    name: str
    n_blocks: int
    link_bytes_per_s: float
    link_latency_s: float = 0.002
    queued_bytes: float = 0.0
    time_factor: float = 1.0
    p_present: float = 1.0
    usable: bool = True


@dataclass(slots=True)
class Estimate:
    """Expected values of one option of running the request on one upstream.

    Not frozen, because a frozen data class takes about twice as long to build and
    each decision builds dozens.

    :param queue_s: time until the engine would start the request if submitted now.
    :param fetch_s: time to import the fetched blocks.
    :param prefill_s: time to compute the remaining prompt tokens.
    :param p_reuse: probability that the reused blocks are in the engine's cache.
    """

    upstream: str
    store: str | None
    n_reused_blocks: int
    n_fetched_blocks: int
    n_recomputed_tokens: float
    queue_s: float
    fetch_s: float
    prefill_s: float
    ttft_s: float
    link_bytes: float
    p_reuse: float
    cost: float


def compute_queue_tokens(candidate: Candidate, settings: RoutingSettings) -> float:
    """Return the number of prompt tokens queued ahead of a request that starts now.

    Starts from the reported tokens and simulates the time since the report: the
    engine computes at its prefill rate, and the placements arrive one after another.

    >>> candidate = Candidate("a", 1000, reported_tokens=500, report_age_s=1,
    ...                       placements=(Placement(0.25, 400),))
    >>> compute_queue_tokens(candidate, RoutingSettings())
    150.0
    """
    rate = candidate.prefill_tokens_per_s
    tokens = candidate.reported_tokens * candidate.uncached_share
    credited_s = min(candidate.report_age_s, settings.credited_work_max_s)
    clock_age_s = credited_s
    placements = candidate.placements
    if len(placements) > 1:
        placements = sorted(placements, key=_get_age, reverse=True)
    for placement in placements:
        age_s = min(placement.age_s, credited_s)
        tokens = max(0.0, tokens - rate * (clock_age_s - age_s)) + placement.n_tokens
        clock_age_s = age_s
    return max(0.0, tokens - rate * clock_age_s)


_get_age = attrgetter("age_s")


def compute_p_reuse(candidate: Candidate, settings: RoutingSettings) -> float:
    """Return the probability that the hinted blocks are still in the engine's cache."""
    probability = candidate.p_cached
    if probability is None:
        probability = 0.5 ** (candidate.hint_age_s / settings.hint_half_life_s)
    if candidate.has_event_gap:
        probability *= settings.event_gap_factor
    return probability


def estimate_candidate(
    request: RoutingRequest,
    candidate: Candidate,
    stores: Iterable[Store],
    settings: RoutingSettings,
    queue_s: float,
) -> list[Estimate]:
    """Return the useful options of running the request on one upstream.

    Without a store there is one option. Each usable store adds up to two: reuse the
    hinted blocks and fetch those that follow, or, if the hint is uncertain, fetch
    from the first block on.

    :param queue_s: time until the engine would start the request if submitted now.
    :returns: the estimates; the first one is the option without a store.
    """
    p_reuse = compute_p_reuse(candidate, settings)
    n_reused = min(candidate.n_cached_blocks, request.n_blocks)
    if not n_reused:
        p_reuse = 1.0
    rate = candidate.prefill_tokens_per_s
    without_store = _FetchCostModel(
        request, rate, settings, queue_s, None, n_reused, p_reuse
    )
    estimates = [without_store.estimate(candidate.name, 0)]
    for store in stores:
        if not store.usable:
            continue
        n_fetchable = min(store.n_blocks, request.n_blocks)
        if n_fetchable > n_reused:
            cost_model = _FetchCostModel(
                request, rate, settings, queue_s, store, n_reused, p_reuse
            )
            n_fetched = cost_model.find_best_split(n_fetchable - n_reused)
            estimates.append(cost_model.estimate(candidate.name, n_fetched))
        if n_fetchable and n_reused and p_reuse < 1:
            cost_model = _FetchCostModel(
                request, rate, settings, queue_s, store, 0, 1.0
            )
            n_fetched = cost_model.find_best_split(n_fetchable)
            estimates.append(cost_model.estimate(candidate.name, n_fetched))
    return estimates


class _FetchCostModel:
    """Cost as a function of the number of fetched blocks; all else is fixed.

    The fetch takes ``fetch_overhead_s`` plus ``block_fetch_s`` for each block.
    """

    def __init__(self, request, rate, settings, queue_s, store, n_reused, p_reuse):
        self.settings = settings
        self.queue_s = queue_s
        self.rate = rate
        self.store = store
        self.n_prompt_tokens = request.n_prompt_tokens
        self.n_reused = n_reused
        self.p_reuse = p_reuse
        self.fetch_overhead_s = 0.0
        self.block_fetch_s = 0.0
        if store is not None:
            self.fetch_overhead_s = store.queued_bytes / store.link_bytes_per_s
            self.fetch_overhead_s += store.link_latency_s
            self.fetch_overhead_s *= store.time_factor
            self.block_fetch_s = store.p_present * settings.chunk_bytes
            self.block_fetch_s *= store.time_factor / store.link_bytes_per_s

    def find_best_split(self, n_fetchable: int) -> int:
        """Return the number of fetched blocks, at least 1, that has the least cost.

        The cost is convex and piecewise linear in the number of fetched blocks. Its
        only kink is where the queue has drained completely when the fetch ends, so
        the minimum is at an end of the range or next to the kink.
        """
        splits = {1, n_fetchable}
        drain_share = self.settings.queue_drain_share
        if drain_share > 0:
            kink = (
                self.queue_s / drain_share - self.fetch_overhead_s
            ) / self.block_fetch_s
            # Clamped before the conversion to int: a very small share gives infinity.
            kink = int(max(1.0, min(float(n_fetchable), kink)))
            splits.update((kink, min(n_fetchable, kink + 1)))
        if len(splits) == 1:
            return n_fetchable
        return min(splits, key=self._compute_cost)

    def _compute_cost(self, n_fetched: int) -> float:
        return self._compute_terms(n_fetched)[0]

    def _compute_terms(
        self, n_fetched: int
    ) -> tuple[float, float, float, float, float]:
        """Return cost, TTFT, fetch time, computed tokens and link bytes."""
        settings = self.settings
        fetch_s = 0.0
        link_bytes = 0.0
        n_cached = self.n_reused
        if n_fetched:
            fetch_s = self.fetch_overhead_s + n_fetched * self.block_fetch_s
            n_present = n_fetched * self.store.p_present
            n_cached += n_present
            link_bytes = n_present * settings.chunk_bytes
        # The fetched blocks can't be used if the reused ones before them are missing.
        n_cached_tokens = self.p_reuse * n_cached * settings.chunk_tokens
        # An engine computes at least the last token of a prompt.
        n_tokens = max(1.0, self.n_prompt_tokens - n_cached_tokens)
        queue_s = max(0.0, self.queue_s - settings.queue_drain_share * fetch_s)
        ttft_s = fetch_s + queue_s + n_tokens / self.rate
        cost = settings.w_ttft * ttft_s + settings.w_recompute * n_tokens
        cost += settings.w_link * link_bytes
        return cost, ttft_s, fetch_s, n_tokens, link_bytes

    def estimate(self, upstream: str, n_fetched: int) -> Estimate:
        """Return the estimate for a given number of fetched blocks."""
        cost, ttft_s, fetch_s, n_tokens, link_bytes = self._compute_terms(n_fetched)
        return Estimate(
            upstream=upstream,
            store=self.store.name if n_fetched else None,
            n_reused_blocks=self.n_reused,
            n_fetched_blocks=n_fetched,
            n_recomputed_tokens=n_tokens,
            queue_s=self.queue_s,
            fetch_s=fetch_s,
            prefill_s=n_tokens / self.rate,
            ttft_s=ttft_s,
            link_bytes=link_bytes,
            p_reuse=self.p_reuse,
            cost=cost,
        )
