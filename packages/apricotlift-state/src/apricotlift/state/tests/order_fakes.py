"""A simulated table, engines and reconcilers, with a clock that the test advances.

Each call of a reconciler to the table or to an engine passes two interruption points,
before and after its effect, at which a test can crash or freeze the reconciler.
"""

import functools
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import anyio.lowlevel
from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.core.metrics import Metrics
from apricotlift.platform.table import Row
from apricotlift.state.declarations import Declarations, parse_declarations
from apricotlift.state.enginereconciler import (
    EngineReconciler,
    OrderSettings,
    OrderView,
)
from apricotlift.upstreams.engine import EngineHealth
from apricotlift.upstreams.pool import Response

MAX_CONCURRENT_LOADS = 2

#: A delayed order arrives this many seconds after its caller has timed out.
LATE_ARRIVAL_DELAY_S = 4.0


#: Declarations are immutable, and parsing them at each step would take most time.
parse_cached = functools.cache(parse_declarations)


class SimulatedCrash(Exception):
    """Ends an engine reconciler at an interruption point."""


@dataclass
class FakeTable:
    """The part of ``platform.table.Table`` that leases use."""

    rows: dict[tuple[str, str], Row] = field(default_factory=dict)
    n_writes: int = 0
    n_answers_to_lose: int = 0

    async def get(self, pk: str, sk: str) -> Row | None:
        return self.rows.get((pk, sk))

    async def transact(self, writes, token: str = "") -> None:
        for put in writes:
            key = (put.row.pk, put.row.sk)
            row = self.rows.get(key)
            condition = put.condition
            is_met = condition.exists is None or condition.exists == (row is not None)
            for name, value in condition.equals:
                is_met = is_met and row is not None and row.values.get(name) == value
            if not is_met:
                raise ApricotliftError(Code.CONDITION_FAILED, "condition")
            self.rows[key] = put.row
        self.n_writes += 1
        if self.n_answers_to_lose:
            self.n_answers_to_lose -= 1
            raise ApricotliftError(Code.TABLE_UNCLEAR, "lost", Ran.MAYBE)


@dataclass
class FakeEngine:
    """A simulated engine, whose loads take time on the clock of the test."""

    world: "World"
    name: str
    fencing: str
    slots: dict[str, str]
    role: str = "mixed"
    boot_id: str = "b1"
    highest_fence: int = 0
    n_answers_to_lose: int = 0
    n_orders_to_delay: int = 0
    delayed_orders: list[tuple[float, dict]] = field(default_factory=list)
    loading: dict[str, float] = field(default_factory=dict)
    received_orders: list[dict] = field(default_factory=list)

    def update(self) -> None:
        while self.delayed_orders and self.delayed_orders[0][0] <= self.world.now:
            self.execute(self.delayed_orders.pop(0)[1])
        for slot, end_s in list(self.loading.items()):
            if end_s <= self.world.now:
                del self.loading[slot]
                self.slots[slot] = slot.partition("@")[2]

    def execute(self, data: dict) -> None:
        self.highest_fence = max(self.highest_fence, data["fence"])
        self.received_orders.append(data)
        slot = data["slot"]
        if data["action"] == "role":
            self.role = data["role"]
        elif data["action"] == "unload":
            if slot in self.world.list_declared_slots():
                self.world.violations.append(f"declared slot {slot} was unloaded")
            self.slots.pop(slot, None)
        elif slot not in self.slots and slot not in self.loading:
            self.loading[slot] = self.world.now + self.world.load_s
            self.world.check_concurrent_loads()

    async def get_health(self) -> EngineHealth:
        self.update()
        running = dict.fromkeys(self.slots, 0) | self.world.running
        loading = frozenset(self.loading)
        return EngineHealth(
            self.boot_id, "serving", self.role, dict(self.slots), running, loading
        )

    async def call(self, method, path, data=None, timeouts=None) -> Response:
        self.update()
        if self.fencing == "checked" and data["fence"] < self.highest_fence:
            error = {"code": "stale_fence", "highest": self.highest_fence}
            return Response(409, {}, json.dumps({"error": error}).encode())
        if self.n_orders_to_delay:
            self.n_orders_to_delay -= 1
            self.delayed_orders.append((self.world.now + LATE_ARRIVAL_DELAY_S, data))
            raise ApricotliftError(Code.UPSTREAM_TIMEOUT, "late", Ran.MAYBE)
        self.execute(data)
        if self.n_answers_to_lose:
            self.n_answers_to_lose -= 1
            raise ApricotliftError(Code.UPSTREAM_TIMEOUT, "lost", Ran.MAYBE)
        return Response(200, {}, json.dumps({"order_id": data["order_id"]}).encode())


@dataclass
class InterruptionPoints:
    """The interruption points of one reconciler.

    :param interrupt_at: number of the point of the interruption, 0 for none.
    :param is_freeze: whether it freezes there until ``resumed`` is set, instead of
        crashing.
    :param rng: inserts random task switches at each point.
    :param interrupted_before: name of the call that would have followed, empty if the
        point is after a call.
    """

    interrupt_at: int = 0
    is_freeze: bool = False
    rng: random.Random | None = None
    n_passed: int = 0
    interrupted_before: str = ""
    interrupted: anyio.Event = field(default_factory=anyio.Event)
    resumed: anyio.Event = field(default_factory=anyio.Event)

    async def reach(self, before: str = "") -> None:
        self.n_passed += 1
        for _ in range(self.rng.randrange(4) if self.rng else 0):
            await anyio.lowlevel.checkpoint()
        if self.n_passed == self.interrupt_at:
            self.interrupted_before = before
            self.interrupted.set()
            if not self.is_freeze:
                raise SimulatedCrash
            await self.resumed.wait()

    def wrap(self, target: object) -> "InterruptibleProxy":
        return InterruptibleProxy(target, self)


class InterruptibleProxy:
    """Passes an interruption point before and after each call of its target."""

    def __init__(self, target: object, points: InterruptionPoints):
        self._target = target
        self._points = points

    def __getattr__(self, name: str):
        value = getattr(self._target, name)
        if not callable(value):
            return value

        async def call(*args, **values):
            await self._points.reach(name)
            result = await value(*args, **values)
            await self._points.reach()
            return result

        return call


@dataclass
class Node:
    """An engine reconciler with its view of the configuration and the members."""

    reconciler: EngineReconciler
    points: InterruptionPoints
    version: int
    members: tuple[str, ...]


@dataclass
class World:
    """The state that all reconcilers of a test share.

    :param versions: texts of the declarations; a node at version *n* sees the *n*-th.
    :param running: number of runs by slot.
    :param violations: descriptions of the invariants that were violated.
    """

    versions: list[str]
    load_s: float = 3.0
    now: float = 1000.0
    table: FakeTable = field(default_factory=FakeTable)
    engines: dict[str, FakeEngine] = field(default_factory=dict)
    nodes: dict[str, Node] = field(default_factory=dict)
    running: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    metrics: Metrics = field(default_factory=Metrics)

    def parse_version(self, version: int) -> Declarations:
        return parse_cached(self.versions[version - 1])

    def list_declared_slots(self) -> set[str]:
        declarations = self.parse_version(len(self.versions))
        return {
            slot
            for upstream in declarations.upstreams.values()
            for slot in declarations.list_slots(upstream)
        }

    def check_concurrent_loads(self) -> None:
        n_loads = sum(len(engine.loading) for engine in self.engines.values())
        if n_loads > MAX_CONCURRENT_LOADS:
            self.violations.append(f"{n_loads} concurrent loads at {self.now}")

    def add_engine(self, name: str, fencing: str, slots: str) -> None:
        loaded = {slot: slot.partition("@")[2] for slot in slots.split()}
        self.engines[name] = FakeEngine(self, name, fencing, loaded)

    def add_node(self, name: str, points: InterruptionPoints | None = None) -> Node:
        points = points or InterruptionPoints()
        node = Node(None, points, len(self.versions), (name,))

        def get_view() -> OrderView:
            previous = (
                self.parse_version(node.version - 1) if node.version > 1 else None
            )
            current = self.parse_version(node.version)
            return OrderView(current, previous, node.version, True, node.members)

        node.reconciler = EngineReconciler(
            name,
            points.wrap(self.table),
            self.metrics,
            get_view,
            lambda upstream: points.wrap(self.engines[upstream.name]),
            OrderSettings(),
            clock=lambda: self.now,
        )
        self.nodes[name] = node
        return node

    async def advance(self, seconds: float) -> None:
        for _ in range(round(seconds)):
            self.now += 1.0
            for engine in self.engines.values():
                engine.update()

    async def run_round(self, node: Node) -> None:
        """Let a reconciler reconcile each engine once, all concurrently."""
        async with anyio.create_task_group() as tasks:
            for name in self.engines:
                tasks.start_soon(node.reconciler.reconcile, name)

    async def run_until(self, node: Node, check: Callable[[], bool]) -> int:
        """Run one round per simulated second until ``check`` holds.

        :returns: the number of rounds.
        """
        for n_rounds in range(300):
            if check():
                return n_rounds
            await self.run_round(node)
            await self.advance(1)
        raise AssertionError(f"condition not met after 300 rounds: {self.engines}")

    def is_settled(self) -> bool:
        """Whether all engines are in the state that the newest version declares."""
        declarations = self.parse_version(len(self.versions))
        return all(
            set(engine.slots)
            == set(declarations.list_slots(declarations.upstreams[name]))
            and engine.role == declarations.upstreams[name].role
            and not engine.loading
            for name, engine in self.engines.items()
        )
