"""Rolls out the weight version that the operator has named to the engines.

Only one node at a time orders engines to load weights. It holds a lease in the store
and sends an order only while the lease is valid. It releases the lease only when enough
time has passed since its last order, so that orders of two holders are never too close
together. Only a share of the engines loads at a time, so that the others keep serving;
:mod:`apricotlift.forwarding.weightorders` chooses them.
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
from apricotlift.forwarding.entities import Server
from apricotlift.forwarding.routingstate import RoutingState
from apricotlift.forwarding.servers import ServerHandles
from apricotlift.forwarding.weightorders import (
    DueOrder,
    SentOrders,
    choose_orders,
    count_limits,
    is_count_doubtful,
    list_unsettled,
    record_acceptance,
    record_order,
)
from apricotlift.state.tableleases import LeaseSettings, TableLease
from apricotlift.upstreams.persistentconnections import HttpCall

LEASE_PARTITION = "orders"
LEASE_ROW = "weights"

_INTERVAL_S = 0.1
_LEASE_DURATION_S = 0.8
_WATCH_MARGIN_S = 0.2
_RENEW_BELOW_S = 0.4
_ORDER_TIMEOUT_S = 0.5
_REPORT_TIMEOUT_S = 0.2
_OK_STATUS = 200
_ACCEPTED_STATUSES = (_OK_STATUS, 202)

#: Delay of the first order. In this time all nodes learn that newer weights are named,
#: and the engines that are ordered first finish some of their requests.
_FIRST_ORDER_DELAY_S = 0.5

#: Delay for each place in the ranking of the nodes. The first node thus acquires the
#: lease, and the others watch it from then on.
_RANK_DELAY_S = 0.12
_ACQUIRE_PAUSE_S = 0.5


@dataclass
class WeightRollout:
    """Orders engines to load weights while this node holds the lease.

    :param own_name: name of this node.
    :param table: table that holds the lease.
    :param list_live_nodes: returns the names of the live nodes, this one included.
    :param announce_load: tells all nodes that an engine is ordered to load weights.
    :param order_lease_s: shortest time between orders of two lease holders.
    :param get_era: returns the newest known era of the store.
    """

    own_name: str
    dialect: Dialect
    routing_state: RoutingState
    handles: ServerHandles
    table: object
    list_live_nodes: Callable[[], list[str]]
    announce_load: Callable[[Server], None]
    order_lease_s: float
    metrics: Metrics
    clock: Callable[[], float] = clocks.monotonic
    get_era: Callable[[], int] = lambda: 0
    _sent_orders: SentOrders = field(default_factory=dict)
    _last_order_at: float = float("-inf")
    _next_acquire_at: float = 0.0
    _lease: TableLease = field(init=False)

    def __post_init__(self):
        takeover_wait_s = _LEASE_DURATION_S + self.order_lease_s + _WATCH_MARGIN_S
        self._lease = TableLease(
            self.table,
            LEASE_PARTITION,
            LEASE_ROW,
            self.own_name,
            self.metrics,
            LeaseSettings(_LEASE_DURATION_S, takeover_wait_s),
            self.clock,
            lambda: self.get_era(),
        )

    async def run(self) -> None:
        """Order outdated engines to load weights, until cancelled."""
        while True:
            try:
                await self._run_once()
            except ApricotliftError as error:
                self.metrics.count("order_steps_failed_total", reason=error.code)
                logs.log(
                    logs.WARNING,
                    "order_step_failed",
                    code=error.code,
                    reason=error.message,
                )
            await anyio.sleep(_INTERVAL_S * random.uniform(0.8, 1.2))

    async def release(self) -> None:
        """Release the lease unless the last order of this node is too recent."""
        if self.clock() - self._last_order_at > self.order_lease_s:
            await self._lease.release()

    async def _run_once(self) -> None:
        await self._lease.ensure_row()
        if not self.routing_state.has_recorded_weights():
            return
        outdated = self.routing_state.list_outdated_engines()
        if not outdated:
            self._sent_orders.clear()
            await self._release_idle_lease()
            return
        if not await self._ensure_lease(outdated):
            return
        orders = self._choose_orders(outdated)
        # The lease stays valid while the answers to the calls are awaited.
        calls_s = _REPORT_TIMEOUT_S + _ORDER_TIMEOUT_S
        if not orders or not await self._renew_lease(calls_s):
            return
        async with anyio.create_task_group() as tasks:
            for order in orders:
                tasks.start_soon(self._send_order, order)

    def _choose_orders(self, outdated) -> list[DueOrder]:
        now = self.clock()
        self._sent_orders = list_unsettled(
            self._sent_orders, [server for server, _, _ in outdated], now
        )
        limits = count_limits(
            self.routing_state.list_all_serving(), {model for _, model, _ in outdated}
        )
        due = [DueOrder(*item) for item in outdated]
        return choose_orders(due, self._sent_orders, limits, now)

    async def _ensure_lease(self, outdated) -> bool:
        if self._lease.is_valid():
            return await self._renew_lease()
        now = self.clock()
        targets = self.routing_state.weight_targets
        noticed_at = min(
            targets.find_successor(model, server.weights[model]).noticed_at
            for server, model, _ in outdated
        )
        ranked = rank_nodes(LEASE_ROW, self.list_live_nodes())
        rank = ranked.index(self.own_name) if self.own_name in ranked else len(ranked)
        due_at = noticed_at + _FIRST_ORDER_DELAY_S + rank * _RANK_DELAY_S
        if now < due_at or now < self._next_acquire_at:
            return False
        self._next_acquire_at = now + _ACQUIRE_PAUSE_S
        if not await self._lease.acquire():
            return False
        logs.log(logs.INFO, "order_lease_acquired", fence=self._lease.fence)
        # After a disconnection, this node may know only a version that has since been
        # replaced by another holder. It reads the current rows before it sends orders.
        await self.routing_state.operator_feed.refresh()
        await self.routing_state.servers_feed.refresh()
        return False

    async def _renew_lease(self, margin_s: float = _RENEW_BELOW_S) -> bool:
        if self._lease.is_valid(margin_s):
            return True
        return await self._lease.renew()

    async def _release_idle_lease(self) -> None:
        if not self._lease.is_valid():
            return
        if self.clock() - self._last_order_at > self.order_lease_s:
            await self._lease.release()
            logs.log(logs.INFO, "order_lease_released", fence=self._lease.fence)
        elif not await self._renew_lease():
            logs.log(logs.WARNING, "order_lease_lost", fence=self._lease.fence)

    async def _send_order(self, order: DueOrder) -> None:
        server = order.server
        n_orders = server.n_orders
        is_doubtful = is_count_doubtful(self._sent_orders, order, self.clock())
        if n_orders is None or is_doubtful:
            n_orders = await self._read_order_count(server)
        if n_orders is None:
            # An order that states no count could be carried out after a newer one.
            record_order(self._sent_orders, order, None, self.clock())
            return
        weight_order = WeightOrder(
            order.model,
            order.version,
            self.own_name,
            self._lease.fence,
            n_orders,
        )
        call = self.dialect.build_order(server, weight_order)
        if not self._lease.is_valid():
            return
        self._last_order_at = self.clock()
        self.announce_load(server)
        record_order(self._sent_orders, order, n_orders, self._last_order_at)
        outcome: str
        try:
            response = await self.handles.get(server).connections.request(
                HttpCall(call.method, call.target, call.headers, call.body),
                _ORDER_TIMEOUT_S,
            )
            if response.status in _ACCEPTED_STATUSES:
                record_acceptance(self._sent_orders, order)
            outcome = str(response.status)
        except ApricotliftError as error:
            outcome = str(error.code)
        self.metrics.count("orders_total", outcome=outcome)
        logs.log(
            logs.INFO,
            "order_sent",
            server=server.server_id,
            model=order.model,
            version=order.version,
            loaded=server.weights.get(order.model),
            n_orders=n_orders,
            fence=weight_order.fence,
            outcome=outcome,
        )

    async def _read_order_count(self, server: Server) -> int | None:
        """Ask a server for its order count; on failure, return that of its entry."""
        call = self.dialect.build_report_call(server)
        try:
            response = await self.handles.get(server).connections.request(
                HttpCall(call.method, call.target, call.headers, call.body),
                _REPORT_TIMEOUT_S,
            )
            if response.status == _OK_STATUS:
                return self.dialect.decode_order_count(response.body)
            reason = str(response.status)
        except ApricotliftError as error:
            reason = str(error.code)
        except ValueError as error:
            reason = str(error)
        self.metrics.count("server_reports_failed_total")
        logs.log(
            logs.WARNING,
            "server_report_failed",
            server=server.server_id,
            reason=reason,
        )
        return server.n_orders
