"""Simulated queues and caches of engines and stores."""

from collections import OrderedDict, deque
from dataclasses import dataclass

from apricotlift.policy.estimates import Candidate, Placement

REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = 0.3
PLACEMENT_LAG_S = 1.0


class Cache:
    """A cache of blocks by conversation with least-recently-used eviction."""

    def __init__(self, capacity):
        self.capacity = capacity
        self.n_blocks = 0
        self.held = OrderedDict()
        self.evicted = []

    def get(self, key):
        """Return the number of leading blocks cached of a conversation."""
        return self.held.get(key, 0)

    def put(self, key, n_blocks):
        """Store the leading blocks of a conversation, and evict others if necessary."""
        self.n_blocks += n_blocks - self.get(key)
        self.held[key] = n_blocks
        self.held.move_to_end(key)
        while self.n_blocks > self.capacity:
            oldest, n_held = next(iter(self.held.items()))
            n_kept = max(0, n_held - (self.n_blocks - self.capacity))
            self.n_blocks -= n_held - n_kept
            self.held[oldest] = n_kept
            self.evicted.append((oldest, n_kept))
            if not n_kept:
                del self.held[oldest]


@dataclass
class PlacedRequest:
    """A request that was placed on an engine."""

    node: int
    placed_s: float
    expected_tokens: float
    n_prompt_tokens: int
    dispatched_s: float = float("inf")
    finished_s: float = float("inf")


class Engine:
    """Queue and cache of one engine, and the information that nodes have about it."""

    def __init__(self, deployment):
        self.cache = Cache(deployment.engine_blocks)
        self.rate = deployment.prefill_tokens_per_s
        self.free_at_s = 0.0
        self.runs = deque()
        self.uncached_share = 1.0
        self.hints = {}

    def build_candidate(self, number, key, node, now_s):
        """Return the engine as a node sees it, with delayed reports and hints."""
        as_of_s = now_s - REPORT_LAG_S
        as_of_s -= as_of_s % REPORT_INTERVAL_S
        while self.runs and self.runs[0].finished_s < as_of_s:
            self.runs.popleft()
        reported = 0
        placements = []
        for run in self.runs:
            if run.dispatched_s <= as_of_s:
                if run.finished_s > as_of_s:
                    reported += run.n_prompt_tokens
            elif run.node == node or run.placed_s < now_s - PLACEMENT_LAG_S:
                arrival_s = min(now_s, max(as_of_s, run.placed_s))
                own = run.node == node
                placements.append(
                    Placement(now_s - arrival_s, run.expected_tokens, own)
                )
        n_cached, hinted_s = self.hints.get(key, (0, now_s))
        return Candidate(
            name=str(number),
            prefill_tokens_per_s=self.rate,
            reported_tokens=reported,
            uncached_share=self.uncached_share,
            report_age_s=now_s - as_of_s,
            placements=tuple(placements),
            n_cached_blocks=n_cached,
            hint_age_s=now_s - hinted_s,
            max_in_flight=10_000,
        )
