"""Brings the engines to the weight version that the operator has named.

One node orders at a time. It holds a lease in the store, sends an order only while
the lease is valid, and gives the lease back only when another holder's order can no
longer follow its own too closely. Part of the engines are ordered at a time, so that
the others go on serving.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.hashing import rank_nodes
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.dialect import Dialect, WeightOrder
from apricotlift.forwarding.facts import Server
from apricotlift.forwarding.knowledge import Knowledge
from apricotlift.forwarding.servers import ServerHandles
from apricotlift.state.leases import LeaseSettings, TableLease
from apricotlift.upstreams.kept import Call

PARTITION = "orders"
ROW = "weights"

_STEP_S = 0.1
_LEASE_S = 0.8
_WATCH_MARGIN_S = 0.2
_RENEWAL_LEFT_S = 0.4
_ORDER_TIMEOUT_S = 0.5

#: Time in which all nodes learn that newer weights are named, and the engines that are
#: ordered first finish some of their runs.
_NOTICE_S = 0.5

#: The first node in the ranking takes the lease; the others watch it from then on.
_RANK_DELAY_S = 0.12
_ATTEMPT_PAUSE_S = 0.5

#: An order without an answer may be carried out late; it is repeated after this time.
_REPEAT_S = 1.0
#: An accepted order whose effect the entry doesn't show is repeated after this time.
_ACCEPTED_LIMIT_S = 6.0

#: Engines of a model that load at the same time: a share, and at least so many.
_SHARE_AT_ONCE = 0.34
_N_AT_ONCE_MIN = 2


@dataclass
class _Ordered:
    at: float
    is_accepted: bool = False

    @property
    def wait_s(self) -> float:
        """Time after which the order is repeated."""
        return _ACCEPTED_LIMIT_S if self.is_accepted else _REPEAT_S


@dataclass
class WeightOrders:
    """The orders of this node.

    :param list_nodes: returns the names of the live nodes, this one included.
    :param announce: tells all nodes that an engine is ordered to load.
    """

    own_name: str
    dialect: Dialect
    knowledge: Knowledge
    handles: ServerHandles
    table: object
    list_nodes: Callable[[], list[str]]
    announce: Callable[[Server], None]
    order_lease_s: float
    metrics: Metrics
    clock: Callable[[], float] = clocks.monotonic
    _ordered: dict[tuple, _Ordered] = field(default_factory=dict)
    _last_order_at: float = float("-inf")
    _next_attempt_at: float = 0.0
    _lease: TableLease = field(init=False)

    def __post_init__(self):
        watch_s = _LEASE_S + self.order_lease_s + _WATCH_MARGIN_S
        self._lease = TableLease(
            self.table,
            PARTITION,
            ROW,
            self.own_name,
            self.metrics,
            LeaseSettings(_LEASE_S, watch_s),
            self.clock,
        )

    async def run(self) -> None:
        """Order what has to be ordered, for ever."""
        while True:
            try:
                await self._step()
            except ApricotliftError as error:
                self.metrics.count("order_steps_failed_total", reason=error.code)
                logs.log(
                    logs.WARNING,
                    "order_step_failed",
                    code=error.code,
                    reason=error.message,
                )
            await anyio.sleep(_STEP_S * random.uniform(0.8, 1.2))

    async def release(self) -> None:
        """Give the lease back if no order of this node is too recent."""
        if self.clock() - self._last_order_at > self.order_lease_s:
            await self._lease.release()

    async def _step(self) -> None:
        outdated = self.knowledge.list_outdated()
        if not outdated:
            self._ordered.clear()
            await self._end_lease()
            return
        if not await self._hold(outdated):
            return
        now = self.clock()
        n_running = 0
        waiting = []
        for server, model, version in outdated:
            ordered = self._ordered.get((server.incarnation, model, version))
            if ordered is not None and now < ordered.at + ordered.wait_s:
                n_running += 1
            else:
                waiting.append((server, model, version))
        n_at_once = self._count_at_once(outdated)
        for server, model, version in waiting[: max(0, n_at_once - n_running)]:
            if not await self._renew():
                return
            await self._order(server, model, version)

    def _count_at_once(self, outdated) -> int:
        models = {model for _, model, _ in outdated}
        n_engines = sum(
            1
            for server in self.knowledge.list_all_serving()
            if models.intersection(server.weights)
        )
        return max(_N_AT_ONCE_MIN, int(n_engines * _SHARE_AT_ONCE))

    async def _hold(self, outdated) -> bool:
        if self._lease.is_valid():
            return await self._renew()
        now = self.clock()
        noticed_at = min(
            self.knowledge.targets[model].noticed_at for _, model, _ in outdated
        )
        ranked = rank_nodes(ROW, self.list_nodes())
        rank = ranked.index(self.own_name) if self.own_name in ranked else len(ranked)
        due_at = noticed_at + _NOTICE_S + rank * _RANK_DELAY_S
        if now < due_at or now < self._next_attempt_at:
            return False
        self._next_attempt_at = now + _ATTEMPT_PAUSE_S
        if not await self._lease.acquire():
            return False
        logs.log(logs.INFO, "order_lease_acquired", fence=self._lease.fence)
        # A node that was cut off would order what another holder has replaced since.
        await self.knowledge.operator_feed.refresh()
        await self.knowledge.servers_feed.refresh()
        return False

    async def _renew(self) -> bool:
        if self._lease.is_valid(_RENEWAL_LEFT_S):
            return True
        return await self._lease.renew()

    async def _end_lease(self) -> None:
        if not self._lease.is_valid():
            return
        if self.clock() - self._last_order_at > self.order_lease_s:
            await self._lease.release()
            logs.log(logs.INFO, "order_lease_released", fence=self._lease.fence)
        elif not await self._renew():
            logs.log(logs.WARNING, "order_lease_lost", fence=self._lease.fence)

    async def _order(self, server: Server, model: str, version: int) -> None:
        key = (server.incarnation, model, version)
        order = WeightOrder(model, version, self.own_name, self._lease.fence)
        call = self.dialect.build_order(server, order)
        if not self._lease.is_valid():
            return
        self._last_order_at = self.clock()
        self.announce(server)
        ordered = self._ordered[key] = _Ordered(self._last_order_at)
        outcome: str
        try:
            answer = await self.handles.get(server).connections.request(
                Call(call.method, call.target, call.headers, call.body),
                _ORDER_TIMEOUT_S,
            )
            ordered.is_accepted = answer.status in (200, 202)
            outcome = str(answer.status)
        except ApricotliftError as error:
            outcome = str(error.code)
        self.metrics.count("orders_total", outcome=outcome)
        logs.log(
            logs.INFO,
            "order_sent",
            server=server.server_id,
            model=model,
            version=version,
            loaded=server.weights.get(model),
            fence=order.fence,
            outcome=outcome,
        )
