"""The order owner: brings engines to their declared state, one owner at a time.

An upstream's first node by rendezvous hash takes the upstream's lease when there is
something to order, and gives it back when the engine reports the declared state, so
idle upstreams cost no writes. The lease is checked on the boot-time clock just before
each order is sent.
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
from apricotlift.state.leases import LeaseSettings, TableLease
from apricotlift.state.loadslots import LoadSlots
from apricotlift.state.orders import (
    PlannedOrder,
    list_mismatches,
    list_named_slots,
    plan_orders,
    track_unnamed,
)
from apricotlift.upstreams.engine import EngineClient, EngineHealth
from apricotlift.upstreams.engineorders import SEND_S, EngineOrder, send_order

PARTITION = "order"


@dataclass(frozen=True)
class OrderSettings:
    """Durations.

    :param step_s: between two looks at an engine.
    :param send_s: by how much a lease must outlast the sending of an order.
    :param load_limit_s: after this time a load that the engine neither shows as
        running nor as done no longer holds a load slot.
    :param load_retry_s: pause after a load that failed.
    """

    leases: LeaseSettings = field(default_factory=LeaseSettings)
    step_s: float = 2.0
    send_s: float = SEND_S
    load_limit_s: float = 60.0
    load_retry_s: float = 10.0


@dataclass(frozen=True)
class OrderView:
    """What a node knows of the configuration and the members.

    :param previous: the declarations one version before.
    :param is_current: whether the configuration may be acted on.
    :param members: ids of the unsuspected members, this node included.
    """

    declarations: Declarations
    previous: Declarations | None
    version: int
    is_current: bool
    members: tuple[str, ...]


@dataclass
class _Load:
    """A load that was ordered.

    :param is_unclear: whether the order's answer is missing, so that the order may
        arrive later.
    """

    lease: TableLease
    boot_id: str
    ordered_at: float
    is_unclear: bool


@dataclass
class _Upstream:
    lease: TableLease
    unnamed_since: dict[str, float] = field(default_factory=dict)
    loads: dict[str, _Load] = field(default_factory=dict)
    retry_at: dict[str, float] = field(default_factory=dict)
    min_fence: int = 0


class OrderOwner:
    """Sends the orders of the upstreams that this node owns.

    :param get_engine: returns the client of an upstream.
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
        source: random.Random | None = None,
    ):
        self._node_id = node_id
        self._table = table
        self._metrics = metrics
        self._get_view = get_view
        self._get_engine = get_engine
        self._settings = settings or OrderSettings()
        self._clock = clock
        self._source = source or random.Random()
        self._upstreams: dict[str, _Upstream] = {}
        self._slots = LoadSlots(
            table, node_id, metrics, self._is_loading, self._settings.leases, clock
        )

    async def run(self) -> None:
        """Look at all upstreams in turn, for ever."""
        while True:
            async with anyio.create_task_group() as tasks:
                for name in self._list_concerned():
                    tasks.start_soon(self.step, name)
            await anyio.sleep(self._settings.step_s * self._source.uniform(0.8, 1.2))

    async def release_all(self) -> None:
        """Give all leases back, for a node that stops; ordered loads run on."""
        for state in self._upstreams.values():
            await state.lease.release()

    async def step(self, name: str) -> None:
        """Look at one upstream and send what it needs; failures are counted."""
        try:
            await self._step(name)
        except ApricotliftError as error:
            self._metrics.count("order_steps_failed_total", reason=error.code)

    async def _step(self, name: str) -> None:
        view = self._get_view()
        upstream = view.declarations.upstreams.get(name)
        if upstream is None or upstream.kind != "engine":
            self._forget(name)
            return
        state = self._get_state(name)
        engine = self._get_engine(upstream)
        health = await engine.get_health()
        await self._settle_loads(state, health)
        planned = self._plan(view, upstream, state, health)
        if not view.is_current or not (planned or state.loads):
            await state.lease.release()
            return
        if not planned or not await self._hold(name, state, view):
            return
        for order in planned:
            if not await self._carry_out(name, state, engine, health, order):
                return

    def _forget(self, name: str) -> None:
        """Let the leases of an upstream that is no longer declared end by time."""
        state = self._upstreams.pop(name, None)
        for load in state.loads.values() if state else ():
            self._slots.drop(load.lease)

    def _list_concerned(self) -> list[str]:
        view = self._get_view()
        declared = view.declarations.upstreams
        names = [
            name
            for name, upstream in declared.items()
            if upstream.kind == "engine"
            and (self._is_first(name, view) or self._is_active(name))
        ]
        return names + [name for name in self._upstreams if name not in declared]

    def _is_first(self, name: str, view: OrderView) -> bool:
        ranked = rank_nodes(f"{PARTITION}/{name}", view.members)
        return ranked[:1] == [self._node_id]

    def _is_active(self, name: str) -> bool:
        state = self._upstreams.get(name)
        return state is not None and (state.lease.is_valid() or bool(state.loads))

    def _get_state(self, name: str) -> _Upstream:
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
            self._upstreams[name] = _Upstream(lease)
        return self._upstreams[name]

    def _plan(
        self,
        view: OrderView,
        upstream: Upstream,
        state: _Upstream,
        health: EngineHealth,
    ) -> list[PlannedOrder]:
        now = self._clock()
        named = list_named_slots(view.declarations, view.previous)
        state.unnamed_since = track_unnamed(state.unnamed_since, named, health, now)
        for slot in list_mismatches(health, view.declarations):
            self._metrics.count("slot_version_mismatches_total")
            logs.log(logs.ERROR, "slot_version", upstream=upstream.name, slot=slot)
        return plan_orders(
            view.declarations,
            view.previous,
            upstream,
            health,
            state.unnamed_since,
            now,
            self._settings.leases.lease_s,
            {*state.loads, *state.retry_at},
        )

    async def _hold(self, name: str, state: _Upstream, view: OrderView) -> bool:
        lease = state.lease
        if lease.is_valid(self._settings.leases.lease_s / 2):
            return True
        if lease.is_valid():
            return await lease.renew(version=view.version)
        if not self._is_first(name, view):
            return False

        async def is_not_newer(row: Row) -> bool:
            # A node that lags behind must not undo the orders of a newer version.
            return int(row.values.get("version", 0)) <= view.version

        held = await lease.acquire(
            state.min_fence, may_take=is_not_newer, version=view.version
        )
        if held:
            logs.log(logs.INFO, "order_lease", upstream=name, fence=lease.fence)
        return held

    async def _carry_out(
        self,
        name: str,
        state: _Upstream,
        engine: EngineClient,
        health: EngineHealth,
        planned: PlannedOrder,
    ) -> bool:
        """Send one order and return whether the next may follow."""
        if planned.action != "load":
            return await self._send(name, state, engine, planned) is Ran.YES
        n_slots = self._get_view().declarations.fleet.max_weight_loads
        load_lease = await self._slots.take(name, planned.slot, n_slots)
        if load_lease is None:
            return False
        if not load_lease.is_valid(self._settings.send_s):
            await self._slots.give_back(load_lease)
            return False
        # The slot stays taken when sending is cancelled: the order may have arrived.
        ran = Ran.MAYBE
        try:
            ran = await self._send(name, state, engine, planned, load_lease)
        finally:
            if ran is not Ran.NO:
                state.loads[planned.slot] = _Load(
                    load_lease, health.boot_id, self._clock(), ran is Ran.MAYBE
                )
        if ran is Ran.NO:
            await self._slots.give_back(load_lease)
        return ran is Ran.YES

    async def _send(
        self,
        name: str,
        state: _Upstream,
        engine: EngineClient,
        planned: PlannedOrder,
        load_lease: TableLease | None = None,
    ) -> Ran:
        """Send an order unless a lease ends too soon; return whether it took effect."""
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
            if lease is not None and not lease.is_valid(self._settings.send_s):
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

    async def _settle_loads(self, state: _Upstream, health: EngineHealth) -> None:
        """Free the load slots of loads that have ended, renew the others."""
        now = self._clock()
        for slot, load in list(state.loads.items()):
            if self._has_ended(slot, load, health):
                del state.loads[slot]
                if slot not in health.slots:
                    self._metrics.count("loads_failed_total")
                    state.retry_at[slot] = now + self._settings.load_retry_s
                await self._slots.give_back(load.lease)
            elif not load.lease.is_valid(self._settings.leases.lease_s / 2):
                await load.lease.renew()
        state.retry_at = {
            slot: retry_at
            for slot, retry_at in state.retry_at.items()
            if now < retry_at
        }

    def _has_ended(self, slot: str, load: _Load, health: EngineHealth) -> bool:
        age_s = self._clock() - load.ordered_at
        if slot in health.slots or age_s >= self._settings.load_limit_s:
            return True
        is_late_arrival_over = age_s >= self._settings.leases.lease_s
        if health.loading is None:
            return health.boot_id != load.boot_id and is_late_arrival_over
        if slot in health.loading:
            return False
        return not load.is_unclear or is_late_arrival_over

    async def _is_loading(self, name: str, slot: str) -> bool | None:
        upstream = self._get_view().declarations.upstreams.get(name)
        if upstream is None:
            return None
        try:
            health = await self._get_engine(upstream).get_health()
        except ApricotliftError:
            return None
        return None if health.loading is None else slot in health.loading
