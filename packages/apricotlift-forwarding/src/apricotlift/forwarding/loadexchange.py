"""Exchanges load sums with other nodes: reports, rounds, shares and totals.

All ages are proven, never assumed: a total is a reply, so it is no older than its
stated age and the time since the request; a report or share echoes a stamp of its
receiver; see :mod:`.loadpeers`.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from random import Random

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.loadcodes import EngineList, EngineLists
from apricotlift.forwarding.loadgroups import AggregatorChoice
from apricotlift.forwarding.loadmessages import (
    REFUSAL_BYTES,
    build_report,
    build_sums,
    estimate_bytes,
    read_notices,
    read_report,
    read_sums,
)
from apricotlift.forwarding.loadpeers import LoadPeers, Nodes
from apricotlift.forwarding.loadsums import (
    MAX_AGE_S,
    MAX_REPORT_REFUSALS,
    RETENTION_S,
    Aggregation,
    NodeSums,
    NoticeQueue,
    Notices,
    ReplyPlan,
)
from apricotlift.forwarding.loadview import FleetLoads, sum_own_loads
from apricotlift.wire.handshake import Identity
from apricotlift.wire.messages import (
    LoadReply,
    LoadReport,
    LoadShare,
    LoadSums,
    LoadSumsRequest,
    Message,
    OrderNote,
    RefusalNote,
)

#: Time between two checks of what is due.
_STEP_S = 0.05
#: Check of whether a small fleet has grown.
_SMALL_FLEET_STEP_S = 1.0
#: Candidates asked in turn for one report, and time until the next try if none answers.
_N_TRIES = 3
_RETRY_S = 1.0
#: Time until a total that isn't newer than the last one is fetched again, and how often
#: at most: more fetches would lengthen the rounds, and long rounds cause more of them.
_REFETCH_S = 0.15
_N_REFETCHES = 2
#: A longer time between two checks means that this process was paused, and that what
#: it holds from other nodes has been replaced elsewhere.
_PAUSE_S = 1.0


@dataclass
class _Total:
    """The newest total that this node built or fetched.

    :param n_round: round of this node in which it was built, 0 for a fetched one.
    """

    message: LoadSums
    built_at: float
    n_round: int = 0


@dataclass
class LoadExchange:
    """Reports this node's load, aggregates reports, and fetches totals.

    :param get_engines: returns the ids of all engines.
    :param apply_notices: is called with the refusals and orders of other nodes.
    """

    nodes: Nodes
    fleet_loads: FleetLoads
    get_engines: Callable[[], Iterable[str]]
    apply_notices: Callable[[Notices], None]
    metrics: Metrics
    random: Random = field(default_factory=Random)
    clock: Callable[[], float] = clocks.monotonic
    engine_lists: EngineLists = field(default_factory=EngineLists)
    aggregation: Aggregation = field(init=False)
    choice: AggregatorChoice = field(init=False)
    peers: LoadPeers = field(init=False)
    notices: NoticeQueue = field(
        default_factory=lambda: NoticeQueue(1, MAX_REPORT_REFUSALS)
    )
    aggregator: str = ""
    _report_at: float = 0.0
    _fetch_at: float = math.inf
    _fetch_from: str = ""
    _n_refetches: int = 0
    _total: _Total | None = None
    _stepped_at: float = math.inf
    _partners: dict[str, float] = field(default_factory=dict)

    def __post_init__(self):
        self.aggregation = Aggregation(self.nodes.own_name, self.random)
        self.choice = AggregatorChoice(self.nodes.own_name)
        self.peers = LoadPeers(self.nodes, self.metrics, self.clock)

    async def run(self) -> None:
        """Exchange sums until cancelled."""
        while True:
            try:
                await self.step()
            except ApricotliftError as error:
                self.metrics.count("load_failures_total", reason=error.code)
            # The process would end with this task.
            except Exception:
                self.metrics.count("load_failures_total", reason="internal")
                logs.log_exception("load_exchange_failed")
            is_large = self.fleet_loads.is_large
            await anyio.sleep(_STEP_S if is_large else _SMALL_FLEET_STEP_S)

    def add_notices(self, notes: list) -> None:
        """Send refusals and orders of this node with its next report."""
        refusals = [
            bytes.fromhex(note.request)[:REFUSAL_BYTES]
            for note in notes
            if isinstance(note, RefusalNote)
        ]
        orders = [note.server for note in notes if isinstance(note, OrderNote)]
        self.notices.add(Notices(tuple(refusals), tuple(orders)))

    async def step(self) -> None:
        """Do what is due now."""
        if not self.fleet_loads.is_large:
            return
        now = self.clock()
        if now - self._stepped_at > _PAUSE_S:
            self.aggregation.clear()
        domains = self.nodes.list_domains()
        if self.choice.update(domains):
            self.peers.forget_all_but(domains)
        if self.aggregation.is_round_due(now):
            await self._begin_round()
        if now >= self._fetch_at:
            await self._fetch_total()
        if now >= self._report_at:
            await self._report()
        self._stepped_at = self.clock()

    # Member

    async def _report(self) -> None:
        now = self.clock()
        self.engine_lists.update(self.get_engines(), now)
        engines = self.engine_lists.get_settled(now)
        report = sum_own_loads(self.fleet_loads.own_loads.get_own_loads(), now)
        notices = self.notices.take()
        self.metrics.gauge("load_refusals_dropped", self._count_dropped())
        for name in self.choice.list_candidates(now)[:_N_TRIES]:
            if engines is None:
                break
            plan = await self._report_to(name, engines, report, notices)
            if plan is None:
                continue
            self._note_aggregator(name)
            self.fleet_loads.note_report(report)
            now = self.clock()
            self._report_at = now + plan.report_in_s
            self._fetch_at = now + plan.total_in_s
            self._fetch_from = plan.source or name
            self._n_refetches = 0
            return
        self.notices.add(notices)
        self._report_at = self.clock() + _RETRY_S
        self.metrics.count("load_reports_total", result="no_aggregator")

    async def _report_to(
        self, name: str, engines: EngineList, report: NodeSums, notices: Notices
    ) -> ReplyPlan | None:
        if name == self.nodes.own_name:
            now = self.clock()
            self.aggregation.record_report(name, report, notices, now)
            return self.aggregation.plan_reply(name, now)
        echo = self.peers.get_echo(name)
        message = build_report(engines, report, notices, echo)
        try:
            reply = await self._request(name, message)
        except ApricotliftError as error:
            self.metrics.count("load_reports_total", result=error.code)
            return None
        if not isinstance(reply, LoadReply):
            return None
        self.peers.note_stamp(name, reply.stamp_ms)
        self.metrics.count("load_reports_total", result="confirmed")
        return ReplyPlan(
            reply.report_in_ms / 1000, reply.sums_in_ms / 1000, reply.sums_from
        )

    async def _fetch_total(self) -> None:
        self._fetch_at = math.inf
        source = self._fetch_from
        if source == self.nodes.own_name:
            if not self._apply_total(self._get_own_total()):
                self._plan_refetch()
            return
        try:
            total = await self._fetch_from_node(source)
            if total is None and source != self.aggregator:
                total = await self._fetch_from_node(self.aggregator)
        except ApricotliftError as error:
            self.metrics.count("load_sums_refused_total", reason=error.code)
            self._plan_refetch()
            return
        if total is None:
            # The aggregator is replaced at once.
            self._report_at = self.clock()
            return
        if self._total is None or total.built_at > self._total.built_at:
            self._total = total
            self._apply_total(total)
        else:
            self._plan_refetch()

    async def _fetch_from_node(self, name: str) -> _Total | None:
        sent_at = self.clock()
        reply = await self._request(name, LoadSumsRequest())
        if not isinstance(reply, LoadSums):
            return None
        return _Total(reply, sent_at - reply.age_ms / 1000)

    def _apply_total(self, total: _Total | None) -> bool:
        """Use a total for this node's estimates, and return whether it was newer."""
        if total is None:
            return False
        engines = self._find_engines(total.message.engines)
        if engines is None:
            return False
        sums = read_sums(engines, total.message, total.built_at)
        if not self.fleet_loads.apply_total(sums):
            return False
        self.apply_notices(read_notices(total.message))
        self.metrics.gauge("load_sums_age_s", self.clock() - total.built_at)
        self.metrics.gauge("load_sums_nodes", total.message.n_nodes)
        return True

    def _plan_refetch(self) -> None:
        """Fetch again if the total of this round wasn't there yet."""
        fetch_at = self.clock() + _REFETCH_S
        if self._n_refetches < _N_REFETCHES and fetch_at < self._report_at:
            self._n_refetches += 1
            self._fetch_at = fetch_at

    # Aggregator

    async def handle_report(self, message: LoadReport, peer: Identity) -> LoadReply:
        """Include a member's load in this node's rounds.

        :raises ApricotliftError: ``not_found`` if the report refers to a list of
            engines that this node doesn't know.
        """
        now = self.clock()
        engines = self._find_engines(message.engines)
        if engines is None:
            raise _build_error("the list of engines is unknown here")
        built_at = self.peers.prove_time(message.echo_ms, message.held_ms)
        if built_at is None:
            built_at = now
        if now - built_at <= MAX_AGE_S:
            report = read_report(engines, message, built_at)
            notices = read_notices(message)
            self.aggregation.record_report(peer.node_id, report, notices, now)
        else:
            self.metrics.count("load_sums_refused_total", reason="old_report")
        self.aggregation.count_message(estimate_bytes(message))
        plan = self.aggregation.plan_reply(peer.node_id, now)
        return LoadReply(
            int(plan.report_in_s * 1000),
            math.ceil(plan.total_in_s * 1000),
            plan.source,
            self.peers.get_stamp_ms(),
        )

    async def handle_sums_request(
        self, message: LoadSumsRequest, peer: Identity
    ) -> LoadSums:
        """Return the newest total, built or fetched.

        :raises ApricotliftError: ``not_found`` without one that is recent enough.
        """
        total = self._get_own_total() or self._total
        age_s = math.inf if total is None else self.clock() - total.built_at
        if age_s > MAX_AGE_S:
            raise _build_error("there are no recent sums here")
        self.aggregation.count_message(estimate_bytes(total.message))
        return replace(total.message, age_ms=math.ceil(age_s * 1000))

    async def handle_share(self, message: LoadShare, peer: Identity) -> None:
        """Include the share of another aggregator in this node's totals."""
        now = self.clock()
        self.peers.note_stamp(peer.node_id, message.stamp_ms)
        self._partners[peer.node_id] = now
        self.aggregation.count_message(estimate_bytes(message))
        proven_at = self.peers.prove_time(message.echo_ms, message.held_ms)
        if proven_at is None:
            return
        engines = self._find_engines(message.sums.engines)
        if engines is None:
            return
        built_at = proven_at - message.sums.age_ms / 1000
        share = read_sums(engines, message.sums, built_at)
        interval_s = message.interval_ms / 1000
        notices = read_notices(message.sums)
        self.aggregation.record_share(peer.node_id, share, interval_s, notices, now)

    async def _begin_round(self) -> None:
        now = self.clock()
        aggregation = self.aggregation
        n_total_bytes = 0
        if self._total is not None:
            n_total_bytes = estimate_bytes(self._total.message)
        share = aggregation.begin_round(n_total_bytes, now)
        engines = self.engine_lists.get_settled(now)
        if engines is None:
            return
        message = build_sums(engines, share, aggregation.share_notices.take(), now)
        limit = now - RETENTION_S
        self._partners = {
            name: heard for name, heard in self._partners.items() if heard >= limit
        }
        expected = self.choice.list_aggregators(now)
        for name in expected.union(self._partners) - {self.nodes.own_name}:
            await self._send_share(name, message)

    async def _send_share(self, name: str, message: LoadSums) -> None:
        address = self.nodes.get_address(name)
        if address is None or not await self.peers.is_supported(name, address):
            return
        share = LoadShare(
            message,
            math.ceil(self.aggregation.own_interval_s * 1000),
            self.peers.get_stamp_ms(),
            *self.peers.get_echo(name),
        )
        self.nodes.send(address, share)
        self.aggregation.count_message(estimate_bytes(share))

    def _get_own_total(self) -> _Total | None:
        """Return the total of this node's last round, ``None`` without a recent one."""
        now = self.clock()
        aggregation = self.aggregation
        if not aggregation.is_acting(now) or not aggregation.n_rounds:
            return None
        total = self._total
        is_built = total is not None and total.n_round == aggregation.n_rounds
        engines = self.engine_lists.get_settled(now)
        if not is_built and engines is not None and aggregation.is_settled(now):
            sums = aggregation.build_total(now)
            notices = aggregation.total_notices.take()
            message = build_sums(engines, sums, notices, now)
            self._total = _Total(message, sums.built_at, aggregation.n_rounds)
        return self._total

    async def _request(self, name: str, message: Message) -> Message | None:
        """Return a node's reply, ``None`` without one; then the node is avoided.

        :raises ApricotliftError: ``not_found``.
        """
        reply = await self.peers.request(name, message)
        if reply is None:
            self.choice.note_missed(name, self.clock())
        return reply

    def _find_engines(self, list_digest: bytes) -> EngineList | None:
        if self.engine_lists.find(list_digest) is None:
            self.engine_lists.update(self.get_engines(), self.clock())
        engines = self.engine_lists.find(list_digest)
        if engines is None:
            self.metrics.count("load_sums_refused_total", reason="unknown_engines")
        return engines

    def _count_dropped(self) -> int:
        queues = (
            self.notices,
            self.aggregation.share_notices,
            self.aggregation.total_notices,
        )
        return sum(queue.n_dropped for queue in queues)

    def _note_aggregator(self, name: str) -> None:
        if name != self.aggregator:
            previous, self.aggregator = self.aggregator, name
            logs.log(
                logs.INFO, "load_aggregator_changed", aggregator=name, previous=previous
            )


def _build_error(message: str) -> ApricotliftError:
    return ApricotliftError(Code.NOT_FOUND, message, Ran.NO, Scope.NODE)
