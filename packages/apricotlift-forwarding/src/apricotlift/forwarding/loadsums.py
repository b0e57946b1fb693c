"""Sums of the load that nodes report: merging, ageing, and the rounds of an aggregator.

In each round an aggregator sends the sums of its group (a share) to the others and then
offers the sums of all groups (the total). Its members report shortly before a round and
fetch the total shortly after it. Aggregators move their rounds to those of the first of
them by name, so that all parts of a total have the same age. The time between rounds
is the longest that any of them announced with its last share.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random
from zlib import crc32

from apricotlift.forwarding.loadcodes import EngineSum, Sums

#: Sums older than this aren't used, by anyone.
MAX_AGE_S = 3.0

#: Shortest and longest time between two rounds. With longer ones, totals would be older
#: than they may be for much of the time before the next one is there.
MIN_INTERVAL_S = 0.5
MAX_INTERVAL_S = 2.8

#: Traffic that an aggregator's rounds may cause, in both directions. Together with 7
#: KB/s of gossip it stays below the 25 KB/s that a node may use for control.
TRAFFIC_BYTES_PER_S = 16_000.0

#: Processor time that an aggregator's rounds may take, as a share of a core, and that
#: of one message with its reply: 65 to 70 us were measured for many in a row, twice
#: that is assumed for single ones. The rest of 1.2 % is for gossip and rows.
_PROCESSOR_SHARE = 0.006
_MESSAGE_PROCESSOR_S = 150e-6

#: Reports and shares are kept for this time, so that one that is late is noticed.
RETENTION_S = 2 * MAX_INTERVAL_S

#: Members report between these times before a round.
_REPORT_LEAD_MIN_S = 0.1
_REPORT_LEAD_MAX_S = 0.25
#: Time from a round until its total is offered, which other aggregators' shares have to
#: arrive in, and further time until relays have fetched it.
_SHARE_TIME_S = 0.15
_RELAY_TIME_S = 0.15
#: Rounds begin up to this time late, because they are checked for so often.
_ROUND_DELAY_S = 0.05
_FETCH_SPREAD_S = 0.1

#: Rounds that differ by no more than this aren't moved.
_SHIFT_MIN_S = 0.06

#: Reports and shares are included if they are no older than this and an interval, so
#: that one of the last round stands in for one that is late; but never beyond an age
#: that leaves a total too little time to be used.
_LATE_S = 0.5
_PART_AGE_MAX_S = 1.6

#: Bytes of totals that an aggregator itself sends to its members in a round. For more,
#: a few members fetch them and pass them on, one for so many members.
_DIRECT_BYTES_MAX = 15_000
_N_MEMBERS_PER_RELAY = 15

#: Refusals in a report, a share and a total. The total goes to all members, so more of
#: them would take most of the traffic while many prompts are refused.
MAX_REPORT_REFUSALS = 16
MAX_SHARE_REFUSALS = 32
MAX_TOTAL_REFUSALS = 64
_MAX_ORDERS = 32
#: A notice is part of two totals, because a node may miss one.
_N_NOTICE_ROUNDS = 2


@dataclass
class NodeSums:
    """The load that some nodes have given to engines.

    :param built_at: time of the oldest part, by this node's clock.
    :param n_nodes: nodes whose load is included.
    :param n_parts: uses of shared parts.
    :param n_part_tokens: tokens of these parts, counted once for each use.
    """

    built_at: float
    sums: Sums = field(default_factory=dict)
    n_nodes: int = 1
    n_parts: int = 0
    n_part_tokens: int = 0

    @property
    def mean_part_tokens(self) -> float:
        """Mean tokens of a shared part."""
        return self.n_part_tokens / self.n_parts if self.n_parts else 0.0


def merge_sums(parts: list[NodeSums], now: float) -> NodeSums:
    """Return the sums of several groups of nodes, as old as the oldest of them."""
    sums: Sums = defaultdict(EngineSum)
    for part in parts:
        for name, load in part.sums.items():
            sums[name].add(load)
    return NodeSums(
        min((part.built_at for part in parts), default=now),
        dict(sums),
        sum(part.n_nodes for part in parts),
        sum(part.n_parts for part in parts),
        sum(part.n_part_tokens for part in parts),
    )


@dataclass(frozen=True)
class Notices:
    """Refusals and orders that all nodes are to know.

    :param refusals: digests of refused prompts, 8 bytes each.
    :param orders: ids of engines that were ordered to load weights.
    """

    refusals: tuple[bytes, ...] = ()
    orders: tuple[str, ...] = ()


@dataclass
class NoticeQueue:
    """Notices to be included in messages, each a limited number of times.

    :param n_rounds: how often a notice is included.
    :param max_refusals: refusals that one message may have.
    :param n_dropped: refusals that didn't fit into a message.
    """

    n_rounds: int
    max_refusals: int
    n_dropped: int = 0
    _refusals: dict[bytes, int] = field(default_factory=dict)
    _orders: dict[str, int] = field(default_factory=dict)

    def add(self, notices: Notices) -> None:
        """Include notices in the next messages. The oldest ones are dropped first."""
        for refusal in notices.refusals:
            self._refusals.setdefault(refusal, 0)
        for order in notices.orders:
            self._orders.setdefault(order, 0)
        n_excess = len(self._refusals) - self.max_refusals
        for refusal in list(self._refusals)[: max(0, n_excess)]:
            del self._refusals[refusal]
            self.n_dropped += 1

    def take(self) -> Notices:
        """Return the notices for one message."""
        notices = Notices(tuple(self._refusals), tuple(self._orders)[:_MAX_ORDERS])
        self._count_taken(self._refusals, notices.refusals)
        self._count_taken(self._orders, notices.orders)
        return notices

    def _count_taken(self, counts: dict, taken: tuple) -> None:
        for notice in taken:
            counts[notice] += 1
            if counts[notice] >= self.n_rounds:
                del counts[notice]


@dataclass(frozen=True)
class ReplyPlan:
    """When a member reports next, and where and when it fetches the total.

    :param source: node to fetch from; empty for the aggregator itself.
    """

    report_in_s: float
    total_in_s: float
    source: str = ""


@dataclass
class Aggregation:
    """The reports and shares that this node has as an aggregator.

    :param interval_s: time between rounds that all aggregators keep to.
    :param own_interval_s: time between rounds that this node's traffic needs, as it was
        announced with the last share.
    :param n_round_bytes: bytes sent and received since the last round.
    :param n_round_messages: messages since the last round, without their replies.
    """

    own_name: str
    random: Random
    interval_s: float = MIN_INTERVAL_S
    own_interval_s: float = MIN_INTERVAL_S
    n_round_bytes: int = 0
    n_round_messages: int = 0
    n_rounds: int = 0
    share_notices: NoticeQueue = field(
        default_factory=lambda: NoticeQueue(1, MAX_SHARE_REFUSALS)
    )
    total_notices: NoticeQueue = field(
        default_factory=lambda: NoticeQueue(_N_NOTICE_ROUNDS, MAX_TOTAL_REFUSALS)
    )
    _reports: dict[str, NodeSums] = field(default_factory=dict)
    _shares: dict[str, tuple[NodeSums, float]] = field(default_factory=dict)
    _round_at: float = 0.0
    round_began_at: float = 0.0
    _is_planned: bool = False
    _shift_s: float = 0.0
    _offset_s: float = 0.0
    _n_shifted_round: int = 0
    _relays: tuple[str, ...] = ()

    def record_report(
        self, node: str, report: NodeSums, notices: Notices, now: float
    ) -> None:
        """Replace what a member reported before."""
        if not self.is_acting(now):
            self._round_at = now + _REPORT_LEAD_MAX_S
            # What this node relayed before it acted belongs to no round.
            self.n_round_bytes = 0
            self.n_round_messages = 0
        self._reports[node] = report
        self.share_notices.add(notices)
        self.total_notices.add(notices)

    def record_share(
        self,
        node: str,
        share: NodeSums,
        interval_s: float,
        notices: Notices,
        now: float,
    ) -> None:
        """Replace the share of another aggregator, whose round begins now."""
        self._shares[node] = (share, min(MAX_INTERVAL_S, interval_s))
        if self.is_acting(now):
            self.total_notices.add(notices)
        if node < self.own_name and node == min(self._shares):
            self._follow_round(now)

    def count_message(self, n_bytes: int) -> None:
        """Count a message of this round, with its reply."""
        self.n_round_bytes += n_bytes
        self.n_round_messages += 1

    def is_acting(self, now: float) -> bool:
        """Return whether nodes have reported to this node recently."""
        limit = now - RETENTION_S
        return any(report.built_at >= limit for report in self._reports.values())

    def is_round_due(self, now: float) -> bool:
        """Return whether a round has to begin."""
        return now >= self._round_at and self.is_acting(now)

    def begin_round(self, n_total_bytes: int, now: float) -> NodeSums:
        """Begin a round and return the share for the other aggregators.

        :param n_total_bytes: size of the last total.
        """
        self._forget_old(now)
        self._plan_next_round(now)
        self._round_at = now + self.interval_s + self._shift_s
        self.round_began_at = now
        if self._shift_s:
            self._n_shifted_round = self.n_rounds + 1
        self._is_planned = False
        self.own_interval_s = self._compute_interval_s()
        self.n_round_bytes = 0
        self.n_round_messages = 0
        self.n_rounds += 1
        self._choose_relays(n_total_bytes)
        return self._merge_reports(now)

    def build_total(self, now: float) -> NodeSums:
        """Return the sums of all groups, without what is older than this round."""
        shares = [share for share, _ in self._shares.values()]
        current = [share for share in shares if self._is_current(share, now)]
        return merge_sums([self._merge_reports(now), *current], now)

    def plan_reply(self, node: str, now: float) -> ReplyPlan:
        """Return when a member reports next and fetches its total."""
        self._plan_next_round(now)
        to_round_s = max(0.0, self._round_at - now)
        lead_s = self.random.uniform(_REPORT_LEAD_MIN_S, _REPORT_LEAD_MAX_S)
        total_in_s = to_round_s + _SHARE_TIME_S + _ROUND_DELAY_S
        source = ""
        if self._relays and node not in (self.own_name, *self._relays):
            total_in_s += _RELAY_TIME_S
            source = self._relays[crc32(node.encode()) % len(self._relays)]
        spread_s = 0.0 if node in self._relays else _FETCH_SPREAD_S
        total_in_s += self.random.uniform(0.0, spread_s)
        report_in_s = to_round_s + self.interval_s + self._shift_s - lead_s
        return ReplyPlan(report_in_s, total_in_s, source)

    def is_settled(self, now: float) -> bool:
        """Return whether the shares of this round had time to arrive."""
        return now >= self.round_began_at + _SHARE_TIME_S

    def clear(self) -> None:
        """Forget all reports and shares, after a pause of this process."""
        self._reports.clear()
        self._shares.clear()

    def _compute_interval_s(self) -> float:
        traffic_s = self.n_round_bytes / TRAFFIC_BYTES_PER_S
        processor_s = self.n_round_messages * _MESSAGE_PROCESSOR_S / _PROCESSOR_SHARE
        needed_s = max(MIN_INTERVAL_S, traffic_s, processor_s)
        return min(MAX_INTERVAL_S, needed_s)

    def _plan_next_round(self, now: float) -> None:
        """Set the time between the coming round and the one after it.

        It is set once, as soon as the shares of the last round have arrived: members
        are told it before the coming round, and all aggregators have to agree on it.
        """
        if self._is_planned or not self.is_settled(now):
            return
        self._is_planned = True
        intervals_s = [interval_s for _, interval_s in self._shares.values()]
        self.interval_s = max([self.own_interval_s, *intervals_s])
        self._shift_s = self._offset_s if abs(self._offset_s) > _SHIFT_MIN_S else 0.0
        self._offset_s = 0.0

    def _follow_round(self, now: float) -> None:
        """Measure by how much another aggregator's rounds differ from this node's."""
        if self.n_rounds <= self._n_shifted_round:
            # The last shift hasn't taken effect yet.
            return
        elapsed_s = now - self.round_began_at
        left_s = self._round_at - now
        self._offset_s = elapsed_s if elapsed_s < left_s else -left_s

    def _merge_reports(self, now: float) -> NodeSums:
        reports = self._reports.values()
        return merge_sums(
            [part for part in reports if self._is_current(part, now)], now
        )

    def _is_current(self, part: NodeSums, now: float) -> bool:
        age_s = now - part.built_at
        return age_s <= min(_PART_AGE_MAX_S, _LATE_S + self.interval_s)

    def _choose_relays(self, n_total_bytes: int) -> None:
        members = sorted(self._reports.keys() - {self.own_name})
        self._relays = ()
        if len(members) * n_total_bytes > _DIRECT_BYTES_MAX:
            # Members take turns, so that the work is spread.
            n_relays = -(-len(members) // _N_MEMBERS_PER_RELAY)
            first = self.n_rounds * n_relays
            self._relays = tuple(
                members[(first + place) % len(members)] for place in range(n_relays)
            )

    def _forget_old(self, now: float) -> None:
        limit = now - RETENTION_S
        for node, report in list(self._reports.items()):
            if report.built_at < limit:
                del self._reports[node]
        for node, (share, _) in list(self._shares.items()):
            if share.built_at < limit:
                del self._shares[node]
