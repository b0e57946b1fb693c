"""Estimates of time and cost for one request on one upstream.

Time to first token = fetch time + what is left of the queue after the fetch +
prefill time. Fetch and prefill are sequential: a node imports blocks into the
engine before it submits the prompt, and a block's computation needs the blocks
before it. During the fetch the engine works on other prompts, but new ones arrive
ahead of this one, so only a share of the fetch time shortens the queue.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from operator import attrgetter


@dataclass(frozen=True)
class RoutingSettings:
    """Weights and assumptions of a deployment.

    :param w_ttft: cost per second to the first token.
    :param w_recompute: cost per prompt token that is computed.
    :param w_link: cost per byte sent over a store link.
    :param chunk_tokens: tokens per cache block.
    :param chunk_bytes: KV bytes per cache block.
    :param hint_half_life_s: age at which half of the blocks that a hint names are
        still on the engine, where the candidate has no learned share.
    :param gap_factor: multiplies the probability of an engine's hints after a gap in
        its cache events.
    :param queue_drain_share: share of the fetch time by which the queue shortens.
    :param drain_max_s: time after a report for which the engine is credited with
        work. An engine whose report is older may be hung rather than idle.
    :param tolerance_s: candidates within this cost of the best are equally good.
    :param ttft_slack_s: how much longer the TTFT of a plan may be than that of least
        load without stores.
    :param n_evaluated: candidates without cached blocks that are estimated in full
        beyond those that the unseen work may fill; the readiest ones are taken.
    """

    w_ttft: float = 1.0
    w_recompute: float = 0.0002
    w_link: float = 1e-10
    chunk_tokens: int = 1000
    chunk_bytes: int = 131_072_000
    hint_half_life_s: float = 600.0
    gap_factor: float = 0.5
    queue_drain_share: float = 0.0
    drain_max_s: float = 3.0
    tolerance_s: float = 0.01
    ttft_slack_s: float = 1.0
    n_evaluated: int = 4


@dataclass(frozen=True)
class RoutingRequest:
    """What routing knows about a prompt.

    :param n_prompt_tokens: estimated length.
    :param n_blocks: full cache blocks in the prompt.
    :param shard_key: root of the prefix, or the fingerprint where there is none.
    :param tried: upstreams that earlier attempts used.
    :param is_suspect: whether the request has crashed an upstream before.
    :param unseen_tokens: prompt tokens that other nodes are expected to have placed
        and that no candidate's report or placements contain yet.
    """

    n_prompt_tokens: int
    n_blocks: int
    shard_key: str = ""
    tried: frozenset[str] = frozenset()
    is_suspect: bool = False
    unseen_tokens: float = 0.0


@dataclass(frozen=True)
class Placement:
    """A request started at an upstream after its last load report.

    :param age_s: time since the start.
    :param n_tokens: prompt tokens that the upstream has to compute for it.
    :param own: whether this node started it.
    """

    age_s: float
    n_tokens: float
    own: bool = True


@dataclass(frozen=True)
class Candidate:
    """An upstream that serves the request's slot.

    :param name: name of the upstream.
    :param prefill_tokens_per_s: prompt tokens computed per second.
    :param reported_tokens: prompt tokens waiting and in prefill, as reported.
    :param uncached_share: share of reported tokens that has to be computed, from
        recent responses; engines report whole prompts.
    :param report_age_s: time since the report's ``as_of``.
    :param placements: what this node and its peers started since then.
    :param n_cached_blocks: leading blocks of the prompt that a hint places here.
    :param hint_age_s: time since the hint was last confirmed.
    :param p_cached: learned probability that the hint is true, if there is one.
    :param has_event_gap: whether cache events of this engine were missed.
    :param n_in_flight: requests in flight.
    :param max_in_flight: concurrency limit.
    :param n_suspects: crash suspects that run here.
    :param draining: whether it is leaving.
    :param breaker_open: whether its breaker refuses requests.
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


@dataclass(frozen=True)
class Store:
    """A KV store and what it holds of the prompt.

    :param name: name of the store.
    :param n_blocks: leading blocks of the prompt that it holds.
    :param link_bytes_per_s: rate of its link, shared by all fetches.
    :param link_latency_s: latency of one fetch.
    :param queued_bytes: bytes ahead in the link's queue.
    :param time_factor: actual fetch time / estimate, learned from recent fetches.
    :param p_present: probability that the store still holds the blocks.
    :param usable: false while its breaker or accuracy tracker excludes it.
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
    """One way of running the request on one upstream; expected values.

    Not frozen, because a frozen data class takes about twice as long to build and
    each decision builds dozens.

    :param queue_s: time until the engine would start it now.
    :param fetch_s: time to import the fetched blocks.
    :param prefill_s: time to compute the rest.
    :param p_reuse: probability that the reused blocks are on the engine.
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
    """Return the prompt tokens ahead of a request that starts now.

    The report is brought up to date: the engine has worked since then, and the
    placements since then have arrived one after another.

    >>> candidate = Candidate("a", 1000, reported_tokens=500, report_age_s=1,
    ...                       placements=(Placement(0.25, 400),))
    >>> compute_queue_tokens(candidate, RoutingSettings())
    150.0
    """
    rate = candidate.prefill_tokens_per_s
    tokens = candidate.reported_tokens * candidate.uncached_share
    worked_s = min(candidate.report_age_s, settings.drain_max_s)
    clock_s = worked_s
    placements = candidate.placements
    if len(placements) > 1:
        placements = sorted(placements, key=_get_age, reverse=True)
    for placement in placements:
        age_s = min(placement.age_s, worked_s)
        tokens = max(0.0, tokens - rate * (clock_s - age_s)) + placement.n_tokens
        clock_s = age_s
    return max(0.0, tokens - rate * clock_s)


_get_age = attrgetter("age_s")


def compute_p_reuse(candidate: Candidate, settings: RoutingSettings) -> float:
    """Return the probability that the hinted blocks are still on the engine."""
    probability = candidate.p_cached
    if probability is None:
        probability = 0.5 ** (candidate.hint_age_s / settings.hint_half_life_s)
    if candidate.has_event_gap:
        probability *= settings.gap_factor
    return probability


def estimate_candidate(
    request: RoutingRequest,
    candidate: Candidate,
    stores: Iterable[Store],
    settings: RoutingSettings,
    queue_s: float,
) -> list[Estimate]:
    """Return the sensible ways of running the request on one upstream.

    Without a store there is one way. For each usable store there are two: reuse the
    hinted blocks and fetch those that follow, or, where the hint is doubtful, fetch
    from the first block on.

    :param queue_s: time until the engine would start the request now.
    :returns: the way without a store first.
    """
    p_reuse = compute_p_reuse(candidate, settings)
    n_reused = min(candidate.n_cached_blocks, request.n_blocks)
    if not n_reused:
        p_reuse = 1.0
    rate = candidate.prefill_tokens_per_s
    plain = _Terms(request, rate, settings, queue_s, None, n_reused, p_reuse)
    estimates = [plain.estimate(candidate.name, 0)]
    for store in stores:
        if not store.usable:
            continue
        n_most = min(store.n_blocks, request.n_blocks)
        if n_most > n_reused:
            terms = _Terms(request, rate, settings, queue_s, store, n_reused, p_reuse)
            n_fetched = terms.find_best_split(n_most - n_reused)
            estimates.append(terms.estimate(candidate.name, n_fetched))
        if n_most and n_reused and p_reuse < 1:
            terms = _Terms(request, rate, settings, queue_s, store, 0, 1.0)
            n_fetched = terms.find_best_split(n_most)
            estimates.append(terms.estimate(candidate.name, n_fetched))
    return estimates


class _Terms:
    """What is fixed while the number of fetched blocks varies."""

    def __init__(self, request, rate, settings, queue_s, store, n_reused, p_reuse):
        self.settings = settings
        self.queue_s = queue_s
        self.rate = rate
        self.store = store
        self.n_prompt_tokens = request.n_prompt_tokens
        self.n_reused = n_reused
        self.p_reuse = p_reuse
        self.fixed_s = 0.0
        self.block_s = 0.0
        if store is not None:
            self.fixed_s = store.queued_bytes / store.link_bytes_per_s
            self.fixed_s += store.link_latency_s
            self.fixed_s *= store.time_factor
            self.block_s = store.p_present * settings.chunk_bytes
            self.block_s *= store.time_factor / store.link_bytes_per_s

    def find_best_split(self, n_most: int) -> int:
        """Return the number of fetched blocks, at least 1, of least cost.

        The cost is convex and piecewise linear in the number of fetched blocks. Its
        one corner is where the fetch takes as long as the queue, so the best split
        is an end or beside the corner.
        """
        numbers = {1, n_most}
        drain = self.settings.queue_drain_share
        if drain > 0:
            corner = (self.queue_s / drain - self.fixed_s) / self.block_s
            # Clamped before the conversion, because a tiny share gives infinity.
            corner = int(max(1.0, min(float(n_most), corner)))
            numbers.update((corner, min(n_most, corner + 1)))
        if len(numbers) == 1:
            return n_most
        return min(numbers, key=self._compute_cost)

    def _compute_cost(self, n_fetched: int) -> float:
        return self._compute(n_fetched)[0]

    def _compute(self, n_fetched: int) -> tuple[float, float, float, float, float]:
        """Return cost, TTFT, fetch time, computed tokens and link bytes."""
        settings = self.settings
        fetch_s = 0.0
        link_bytes = 0.0
        n_cached = self.n_reused
        if n_fetched:
            fetch_s = self.fixed_s + n_fetched * self.block_s
            n_present = n_fetched * self.store.p_present
            n_cached += n_present
            link_bytes = n_present * settings.chunk_bytes
        # Without the reused blocks, the fetched ones that follow them are useless.
        n_cached_tokens = self.p_reuse * n_cached * settings.chunk_tokens
        # An engine computes at least the last token of a prompt.
        n_tokens = max(1.0, self.n_prompt_tokens - n_cached_tokens)
        queue_s = max(0.0, self.queue_s - settings.queue_drain_share * fetch_s)
        ttft_s = fetch_s + queue_s + n_tokens / self.rate
        cost = settings.w_ttft * ttft_s + settings.w_recompute * n_tokens
        cost += settings.w_link * link_bytes
        return cost, ttft_s, fetch_s, n_tokens, link_bytes

    def estimate(self, upstream: str, n_fetched: int) -> Estimate:
        """Return the estimate for one split."""
        cost, ttft_s, fetch_s, n_tokens, link_bytes = self._compute(n_fetched)
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
