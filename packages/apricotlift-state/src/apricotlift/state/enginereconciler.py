"""Reconciliation of engines with their declared state by orders.

Each upstream has at most one reconciler at a time: that of the node with the order
lease of the upstream. The node that ranks first by rendezvous hash acquires the lease
when an order is needed, and releases it when the engine reports the declared state,
so idle upstreams cost no writes. The lease is checked on the boot-time clock just
before each order is sent.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from uuid import uuid4

import anyio
from apricotlift.core import logs
from apricotlift.core.clocks import monotonic
from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.core.hashing import rank_nodes
from apricotlift.core.metrics import Metrics
from apricotlift.platform.table import Row, Table
from apricotlift.state.declarations import Declarations, Upstream
from apricotlift.state.loadslots import LoadSlots
from apricotlift.state.orders import (
    PlannedOrder,
    list_referenced_slots,
    list_version_mismatches,
    plan_orders,
    track_unreferenced,
)
from apricotlift.state.tableleases import LeaseSettings, TableLease
from apricotlift.upstreams.engine import EngineClient, EngineHealth
from apricotlift.upstreams.engineorders import MAX_ORDER_SEND_S, EngineOrder, send_order

PARTITION = "order"


@dataclass(frozen=True)
class OrderSettings:
    """Durations of the reconciliation.

    :param leases: durations of the order leases and of the leases on load slots.
    :param reconcile_interval_s: mean time in seconds between two checks of an engine.
    :param send_margin_s: an order is sent only if its leases are valid for at least
        this many seconds more, so that they outlast the sending.
    :param max_load_s: seconds after which an ordered load counts as ended, whatever
        the engine reports, and no longer holds a load slot.
    :param load_retry_delay_s: seconds after a failed load before it is ordered again.
    """

    leases: LeaseSettings = field(default_factory=LeaseSettings)
    reconcile_interval_s: float = 2.0
    send_margin_s: float = MAX_ORDER_SEND_S
    max_load_s: float = 60.0
    load_retry_delay_s: float = 10.0


@dataclass(frozen=True)
class OrderView:
    """The configuration and the members, as known to a node.

    :param previous: the declarations of the preceding version, ``None`` if unknown.
    :param version: version of ``declarations``.
    :param is_current: whether the configuration is fresh enough to be acted on.
    :param members: ids of the members that are not suspected to have failed,
        including this node.
    """

    declarations: Declarations
    previous: Declarations | None
    version: int
    is_current: bool
    members: tuple[str, ...]


@dataclass
class _OrderedLoad:
    """A weight load that was ordered.

    :param lease: lease on its load slot.
    :param boot_id: boot id that the engine reported before the order.
    :param ordered_at: monotonic time in seconds.
    :param is_unclear: whether the answer to the order is missing, so that the order
        may still reach the engine.
    """

    lease: TableLease
    boot_id: str
    ordered_at: float
    is_unclear: bool


@dataclass
class _UpstreamState:
    """What this node keeps about an upstream between two checks.

    :param unreferenced_since: see :func:`track_unreferenced`.
    :param loads: ordered loads by slot.
    :param retry_at: by slot, the time before which a failed load isn't ordered again.
    :param min_fence: highest fencing number that the engine reported with a refusal;
        the next lease must exceed it.
    """

    lease: TableLease
    unreferenced_since: dict[str, float] = field(default_factory=dict)
    loads: dict[str, _OrderedLoad] = field(default_factory=dict)
    retry_at: dict[str, float] = field(default_factory=dict)
    min_fence: int = 0


class EngineReconciler:
    """Sends orders to the engines whose order lease this node holds.

    :param get_view: returns the current configuration and members.
    :param get_engine: returns the engine client of an upstream.
    """

    def __init__(
        self,
        node_id: str,
        table: Table,
        metrics: Metrics,
        get_view: Callable[[], OrderView],
        get_engine: Callable[[Upstream], EngineClient],
        settings: OrderSettings | None = None,
        clock: Callable[[], float] = monotonic,
        rng: random.Random | None = None,
    ):
        self._node_id = node_id
        self._table = table
        self._metrics = metrics
        self._get_view = get_view
        self._get_engine = get_engine
        self._settings = settings or OrderSettings()
        self._clock = clock
        self._rng = rng or random.Random()
        self._upstreams: dict[str, _UpstreamState] = {}
        self._load_slots = LoadSlots(
            table, node_id, metrics, self._is_loading, self._settings.leases, clock
        )

    async def run(self) -> None:
        """Reconcile all upstreams of this node periodically, until cancelled."""
        while True:
            async with anyio.create_task_group() as tasks:
                for name in self._list_managed_upstreams():
                    tasks.start_soon(self.reconcile, name)
            await anyio.sleep(
                self._settings.reconcile_interval_s * self._rng.uniform(0.8, 1.2)
            )

    async def release_leases(self) -> None:
        """Release all order leases when the node stops; ordered loads continue."""
        for state in self._upstreams.values():
            await state.lease.release()

    async def reconcile(self, name: str) -> None:
        """Check one upstream and send the orders that it needs; count a failure."""
        try:
            await self._reconcile(name)
        except ApricotliftError as error:
            self._metrics.count("order_steps_failed_total", reason=error.code)

    async def _reconcile(self, name: str) -> None:
        view = self._get_view()
        upstream = view.declarations.upstreams.get(name)
        if upstream is None or upstream.kind != "engine":
            self._drop_upstream(name)
            return
        state = self._get_state(name)
        engine = self._get_engine(upstream)
        health = await engine.get_health()
        await self._update_loads(state, health)
        planned = self._plan(view, upstream, state, health)
        if not view.is_current or not (planned or state.loads):
            await state.lease.release()
            return
        if not planned or not await self._ensure_lease(name, state, view):
            return
        for order in planned:
            if not await self._execute(name, state, engine, health, order):
                return

    def _drop_upstream(self, name: str) -> None:
        """Drop the state of an undeclared upstream; its leases expire."""
        state = self._upstreams.pop(name, None)
        for load in state.loads.values() if state else ():
            self._load_slots.abandon(load.lease)

    def _list_managed_upstreams(self) -> list[str]:
        view = self._get_view()
        declared = view.declarations.upstreams
        names = [
            name
            for name, upstream in declared.items()
            if upstream.kind == "engine"
            and (self._is_preferred_owner(name, view) or self._is_active(name))
        ]
        return names + [name for name in self._upstreams if name not in declared]

    def _is_preferred_owner(self, name: str, view: OrderView) -> bool:
        ranked = rank_nodes(f"{PARTITION}/{name}", view.members)
        return ranked[:1] == [self._node_id]

    def _is_active(self, name: str) -> bool:
        state = self._upstreams.get(name)
        return state is not None and (state.lease.is_valid() or bool(state.loads))

    def _get_state(self, name: str) -> _UpstreamState:
        if name not in self._upstreams:
            lease = TableLease(
                self._table,
                PARTITION,
                name,
                self._node_id,
                self._metrics,
                self._settings.leases,
                self._clock,
            )
            self._upstreams[name] = _UpstreamState(lease)
        return self._upstreams[name]

    def _plan(
        self,
        view: OrderView,
        upstream: Upstream,
        state: _UpstreamState,
        health: EngineHealth,
    ) -> list[PlannedOrder]:
        now = self._clock()
        referenced = list_referenced_slots(view.declarations, view.previous)
        state.unreferenced_since = track_unreferenced(
            state.unreferenced_since, referenced, health, now
        )
        for slot in list_version_mismatches(health, view.declarations):
            self._metrics.count("slot_version_mismatches_total")
            logs.log(logs.ERROR, "slot_version", upstream=upstream.name, slot=slot)
        return plan_orders(
            view.declarations,
            view.previous,
            upstream,
            health,
            state.unreferenced_since,
            now,
            self._settings.leases.lease_s,
            {*state.loads, *state.retry_at},
        )

    async def _ensure_lease(
        self, name: str, state: _UpstreamState, view: OrderView
    ) -> bool:
        lease = state.lease
        if lease.is_valid(self._settings.leases.lease_s / 2):
            return True
        if lease.is_valid():
            return await lease.renew(version=view.version)
        if not self._is_preferred_owner(name, view):
            return False

        async def is_not_newer(row: Row) -> bool:
            # A node with an older configuration must not undo the orders of a newer
            # one.
            return int(row.values.get("version", 0)) <= view.version

        is_held = await lease.acquire(
            state.min_fence, may_acquire=is_not_newer, version=view.version
        )
        if is_held:
            logs.log(logs.INFO, "order_lease", upstream=name, fence=lease.fence)
        return is_held

    async def _execute(
        self,
        name: str,
        state: _UpstreamState,
        engine: EngineClient,
        health: EngineHealth,
        planned: PlannedOrder,
    ) -> bool:
        """Send one order and return whether the next order may be sent."""
        if planned.action != "load":
            return await self._send(name, state, engine, planned) is Ran.YES
        n_slots = self._get_view().declarations.fleet.max_weight_loads
        load_lease = await self._load_slots.acquire(name, planned.slot, n_slots)
        if load_lease is None:
            return False
        if not load_lease.is_valid(self._settings.send_margin_s):
            await self._load_slots.release(load_lease)
            return False
        # The load slot is kept if sending is cancelled: the order may have arrived.
        ran = Ran.MAYBE
        try:
            ran = await self._send(name, state, engine, planned, load_lease)
        finally:
            if ran is not Ran.NO:
                state.loads[planned.slot] = _OrderedLoad(
                    load_lease, health.boot_id, self._clock(), ran is Ran.MAYBE
                )
        if ran is Ran.NO:
            await self._load_slots.release(load_lease)
        return ran is Ran.YES

    async def _send(
        self,
        name: str,
        state: _UpstreamState,
        engine: EngineClient,
        planned: PlannedOrder,
        load_lease: TableLease | None = None,
    ) -> Ran:
        """Send an order unless a lease expires too soon.

        :returns: whether the order took effect.
        """
        order = EngineOrder(
            uuid4().hex,
            state.lease.fence,
            planned.action,
            planned.slot,
            planned.model,
            planned.weight_version,
            planned.adapter,
            planned.role,
        )
        for lease in (state.lease, load_lease):
            if lease is not None and not lease.is_valid(self._settings.send_margin_s):
                self._metrics.count("orders_dropped_total", reason="lease_ended")
                return Ran.NO
        try:
            await send_order(engine, order)
        except ApricotliftError as error:
            self._metrics.count("orders_failed_total", reason=error.code)
            if error.code is Code.STALE_FENCE:
                state.lease.abandon()
                state.min_fence = max(state.min_fence, error.details["highest"])
            return error.ran
        self._metrics.count("orders_sent_total", action=planned.action)
        logs.log(
            logs.INFO,
            "order_sent",
            upstream=name,
            fence=order.fence,
            action=order.action,
            slot=order.slot or None,
            role=order.role or None,
        )
        return Ran.YES

    async def _update_loads(self, state: _UpstreamState, health: EngineHealth) -> None:
        """Release the load slots of loads that have ended, and renew the others."""
        now = self._clock()
        for slot, load in list(state.loads.items()):
            if self._has_load_ended(slot, load, health):
                del state.loads[slot]
                if slot not in health.slots:
                    self._metrics.count("loads_failed_total")
                    state.retry_at[slot] = now + self._settings.load_retry_delay_s
                await self._load_slots.release(load.lease)
            elif not load.lease.is_valid(self._settings.leases.lease_s / 2):
                await load.lease.renew()
        state.retry_at = {
            slot: retry_at
            for slot, retry_at in state.retry_at.items()
            if now < retry_at
        }

    def _has_load_ended(
        self, slot: str, load: _OrderedLoad, health: EngineHealth
    ) -> bool:
        age_s = self._clock() - load.ordered_at
        if slot in health.slots or age_s >= self._settings.max_load_s:
            return True
        is_arrival_excluded = age_s >= self._settings.leases.lease_s
        if health.loading is None:
            return health.boot_id != load.boot_id and is_arrival_excluded
        if slot in health.loading:
            return False
        return not load.is_unclear or is_arrival_excluded

    async def _is_loading(self, name: str, slot: str) -> bool | None:
        upstream = self._get_view().declarations.upstreams.get(name)
        if upstream is None:
            return None
        try:
            health = await self._get_engine(upstream).get_health()
        except ApricotliftError:
            return None
        return None if health.loading is None else slot in health.loading
