"""A node's estimate of the load of engines in a fleet too large for notes.

The estimate is the fleet's sums, with what this node reported replaced by its present
load. All nodes have the same sums for about a second, so choosing the least loaded
engine would send them all to it. Therefore the load that is expected to arrive
meanwhile is added to the engines by their distance from a common level, except to a few
that each node draws at random with weights by that distance. Together the nodes then
fill the engines up to the level.
"""

import math
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from random import Random

from apricotlift.core import clocks, logs
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.engineloads import EngineLoad, EngineLoads
from apricotlift.forwarding.loadcodes import (
    EngineSum,
    Sums,
    choose_bucket,
    decode_number,
    encode_number,
    estimate_n_parts,
)
from apricotlift.forwarding.loadsums import MAX_AGE_S, NodeSums
from apricotlift.forwarding.peernotes import MAX_NOTIFIED_NODES

#: Sums of fewer nodes than this share are used no more than the node's own load.
_N_NODES_SHARE_MIN = 0.1

#: Engines drawn for each prompt of the last interval: more than one, since the load
#: may grow.
_N_DRAWN_PER_PROMPT = 1.5

#: Least amount of prompt tokens expected in an interval, as a share of those that are
#: not computed yet, for nodes whose own prompts are too few to tell.
_EXPECTED_SHARE_MIN = 0.25

#: Time for which the scaled own load is reused, instead of being computed for each
#: engine that a prompt could go to.
_SCALED_LOAD_S = 0.1


def compute_level(loads: list[int], amount: float) -> float:
    """Return the level up to which an amount fills engines with these loads.

    >>> compute_level([0, 10, 100], 30)
    20.0
    """
    level = 0.0
    filled = 0
    for n_filled, load in enumerate(sorted(loads), start=1):
        if n_filled > 1 and load >= level:
            break
        filled += load
        level = (amount + filled) / n_filled
    return level


@dataclass
class _Begun:
    """Prompts that this node has sent to the engines of a service."""

    n_prompts: int = 0
    n_tokens: int = 0


@dataclass
class _Filling:
    """The level of a service's engines, and those drawn for this node's prompts."""

    level: float
    drawn: Counter[str]


@dataclass
class FleetLoads:
    """Estimates the load of engines from sums, or from this node's load alone.

    :param count_nodes: returns the number of serving nodes.
    :param get_services: returns the service of each engine by id.
    """

    own_loads: EngineLoads
    count_nodes: Callable[[], int]
    get_services: Callable[[], Mapping[str, str]]
    metrics: Metrics
    random: Random = field(default_factory=Random)
    clock: Callable[[], float] = clocks.monotonic
    _total: NodeSums | None = None
    _reported: Sums = field(default_factory=dict)
    _last_report: NodeSums | None = None
    _services: Mapping[str, str] = field(default_factory=dict)
    _begun: dict[str, _Begun] = field(default_factory=dict)
    _begun_before: dict[str, _Begun] = field(default_factory=dict)
    _fillings: dict[str, _Filling] = field(default_factory=dict)
    _scaled: dict[str, EngineSum] = field(default_factory=dict)
    _scaled_at: float = -math.inf
    _is_scaled: bool = False

    @property
    def is_large(self) -> bool:
        """Whether the fleet is too large for notes now."""
        return self.count_nodes() > MAX_NOTIFIED_NODES

    def note_report(self, report: NodeSums) -> None:
        """Record what an aggregator has confirmed of this node's load."""
        self._last_report = report

    def note_begun(self, server_id: str, n_unread: int) -> None:
        """Record that this node sends a prompt to an engine."""
        service = self._services.get(server_id, "")
        begun = self._begun.setdefault(service, _Begun())
        begun.n_prompts += 1
        begun.n_tokens += n_unread
        filling = self._fillings.get(service)
        if filling is not None and filling.drawn[server_id]:
            filling.drawn[server_id] -= 1

    def apply_total(self, total: NodeSums) -> bool:
        """Replace the fleet's sums by newer ones, and return whether they are newer."""
        if self._total is not None and total.built_at <= self._total.built_at:
            return False
        self._total = total
        # Nodes report once for each total. A total is as old as its oldest part, so an
        # older report isn't part of it.
        last = self._last_report
        is_included = last is not None and last.built_at >= total.built_at
        self._reported = last.sums if is_included else {}
        self._services = self.get_services()
        self._begun_before = self._begun
        self._begun = {}
        self._fillings = {}
        return True

    @property
    def age_s(self) -> float:
        """Age of the sums; infinite without any."""
        return self.clock() - self._total.built_at if self._total else math.inf

    def get_load(self, server_id: str, own: EngineLoad) -> EngineLoad:
        """Return the estimated load of an engine.

        :param own: its load from the prompts of this node.
        """
        age_s = self.age_s
        is_usable = age_s <= MAX_AGE_S and self._is_representative()
        self._note_source(not is_usable, age_s)
        if not is_usable:
            return self._scale_own(server_id, own)
        others = self._count_others(server_id)
        added = self._count_expected(server_id, others.n_unread)
        n_shared = estimate_n_parts(others.buckets) * self._total.mean_part_tokens
        return replace(
            own,
            n_unread=own.n_unread + others.n_unread + added,
            n_own=own.n_own + others.n_own,
            n_shared=max(own.n_shared, round(n_shared)),
            age_s=age_s,
        )

    def _is_representative(self) -> bool:
        return self._total.n_nodes >= _N_NODES_SHARE_MIN * self.count_nodes()

    def _count_others(self, server_id: str) -> EngineSum:
        """Return an engine's load from the other nodes.

        Nodes whose reports are missing are assumed to have the mean load.
        """
        total = self._total.sums.get(server_id) or EngineSum()
        reported = self._reported.get(server_id) or EngineSum()
        factor = self.count_nodes() / max(1, self._total.n_nodes)
        n_unread = max(0, total.n_unread - reported.n_unread)
        n_own = max(0, total.n_own - reported.n_own)
        return EngineSum(round(n_unread * factor), round(n_own * factor), total.buckets)

    def _count_expected(self, server_id: str, n_unread: int) -> int:
        """Return the tokens that other nodes are expected to send meanwhile."""
        service = self._services.get(server_id)
        if service is None:
            return 0
        filling = self._fillings.get(service)
        if filling is None:
            filling = self._fillings[service] = self._fill(service)
        if filling.drawn[server_id]:
            return 0
        return max(0, round(filling.level - n_unread))

    def _fill(self, service: str) -> _Filling:
        engines = [name for name, found in self._services.items() if found == service]
        loads = [self._count_others(name).n_unread for name in engines]
        begun = self._begun_before.get(service) or _Begun()
        expected = begun.n_tokens * self.count_nodes()
        amount = max(expected, sum(loads) * _EXPECTED_SHARE_MIN, len(loads))
        level = compute_level(loads, amount)
        weights = [max(0.0, level - load) for load in loads]
        n_drawn = math.ceil(begun.n_prompts * _N_DRAWN_PER_PROMPT) + 1
        drawn = Counter(self.random.choices(engines, weights, k=n_drawn))
        return _Filling(level, drawn)

    def _scale_own(self, server_id: str, own: EngineLoad) -> EngineLoad:
        """Return the load if all nodes had as much as this one, evenly distributed."""
        now = self.clock()
        if now - self._scaled_at > _SCALED_LOAD_S:
            self._scaled_at = now
            self._services = self.get_services()
            self._scaled = self._compute_means()
        mean = self._scaled.get(self._services.get(server_id, "")) or EngineSum()
        n_others = max(0, self.count_nodes() - 1)
        return replace(
            own,
            n_unread=own.n_unread + mean.n_unread * n_others,
            n_own=own.n_own + mean.n_own * n_others,
        )

    def _compute_means(self) -> dict[str, EngineSum]:
        """Return the mean load of an engine from this node, by service."""
        means: dict[str, EngineSum] = {}
        for server_id, load in self.own_loads.get_own_loads().items():
            mean = means.setdefault(self._services.get(server_id, ""), EngineSum())
            mean.add(EngineSum(load.n_unread, load.n_own))
        n_engines = Counter(self._services.values())
        for service, mean in means.items():
            mean.n_unread = round(mean.n_unread / max(1, n_engines[service]))
            mean.n_own = round(mean.n_own / max(1, n_engines[service]))
        return means

    def _note_source(self, is_scaled: bool, age_s: float) -> None:
        if is_scaled == self._is_scaled:
            return
        self._is_scaled = is_scaled
        self.metrics.count("load_source_changes_total", is_scaled=int(is_scaled))
        self.metrics.gauge("load_is_scaled", int(is_scaled))
        logs.log(
            logs.WARNING if is_scaled else logs.INFO,
            "load_source_changed",
            source="own_load" if is_scaled else "sums",
            age_s=round(age_s, 2) if self._total else None,
            n_reported=self._total.n_nodes if self._total else 0,
            n_nodes=self.count_nodes(),
        )


def sum_own_loads(own_loads: Mapping[str, EngineLoad], now: float) -> NodeSums:
    """Return a node's own load as it is reported, rounded as by the encoding."""
    report = NodeSums(now)
    for server_id, load in own_loads.items():
        buckets = 0
        for (salt, part), (n_users, n_tokens) in load.parts.items():
            buckets |= choose_bucket(salt, part)
            report.n_parts += n_users
            report.n_part_tokens += n_users * n_tokens
        report.sums[server_id] = EngineSum(
            decode_number(encode_number(load.n_unread)),
            decode_number(encode_number(load.n_own)),
            buckets,
        )
    return report
