"""A table, engines and owners in memory, with a clock that the test moves.

Each call of an owner to the table or to an engine passes two points, before and
after its effect, at which a test can crash or freeze the owner.
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
from apricotlift.state.orderowner import OrderOwner, OrderSettings, OrderView
from apricotlift.upstreams.engine import EngineHealth
from apricotlift.upstreams.pool import Response

MAX_LOADS = 2

#: How much later than its caller's timeout a late order arrives.
LATE_S = 4.0


#: Declarations are immutable, and parsing them at each step would take most time.
parse = functools.cache(parse_declarations)


class Crash(Exception):
    """Ends an owner at a point."""


@dataclass
class FakeTable:
    """The part of ``platform.table.Table`` that leases use."""

    rows: dict[tuple[str, str], Row] = field(default_factory=dict)
    n_writes: int = 0
    lost_answers: int = 0

    async def get(self, pk: str, sk: str) -> Row | None:
        return self.rows.get((pk, sk))

    async def transact(self, writes, token: str = "") -> None:
        for put in writes:
            key = (put.row.pk, put.row.sk)
            row = self.rows.get(key)
            condition = put.condition
            holds = condition.exists is None or condition.exists == (row is not None)
            for name, value in condition.equals:
                holds = holds and row is not None and row.values.get(name) == value
            if not holds:
                raise ApricotliftError(Code.CONDITION_FAILED, "condition")
            self.rows[key] = put.row
        self.n_writes += 1
        if self.lost_answers:
            self.lost_answers -= 1
            raise ApricotliftError(Code.TABLE_UNCLEAR, "lost", Ran.MAYBE)


@dataclass
class FakeEngine:
    """An engine whose loads take time of the test's clock."""

    world: "World"
    name: str
    fencing: str
    slots: dict[str, str]
    role: str = "mixed"
    boot_id: str = "b1"
    highest: int = 0
    lost_answers: int = 0
    n_late: int = 0
    late: list[tuple[float, dict]] = field(default_factory=list)
    loading: dict[str, float] = field(default_factory=dict)
    orders: list[dict] = field(default_factory=list)

    def settle(self) -> None:
        while self.late and self.late[0][0] <= self.world.now:
            self.obey(self.late.pop(0)[1])
        for slot, end_s in list(self.loading.items()):
            if end_s <= self.world.now:
                del self.loading[slot]
                self.slots[slot] = slot.partition("@")[2]

    def obey(self, data: dict) -> None:
        self.highest = max(self.highest, data["fence"])
        self.orders.append(data)
        slot = data["slot"]
        if data["action"] == "role":
            self.role = data["role"]
        elif data["action"] == "unload":
            if slot in self.world.list_declared():
                self.world.violations.append(f"unload of the declared slot {slot}")
            self.slots.pop(slot, None)
        elif slot not in self.slots and slot not in self.loading:
            self.loading[slot] = self.world.now + self.world.load_s
            self.world.check_loads()

    async def get_health(self) -> EngineHealth:
        self.settle()
        running = dict.fromkeys(self.slots, 0) | self.world.running
        loading = frozenset(self.loading)
        return EngineHealth(
            self.boot_id, "serving", self.role, dict(self.slots), running, loading
        )

    async def call(self, method, path, data=None, timeouts=None) -> Response:
        self.settle()
        if self.fencing == "checked" and data["fence"] < self.highest:
            error = {"code": "stale_fence", "highest": self.highest}
            return Response(409, {}, json.dumps({"error": error}).encode())
        if self.n_late:
            self.n_late -= 1
            self.late.append((self.world.now + LATE_S, data))
            raise ApricotliftError(Code.UPSTREAM_TIMEOUT, "late", Ran.MAYBE)
        self.obey(data)
        if self.lost_answers:
            self.lost_answers -= 1
            raise ApricotliftError(Code.UPSTREAM_TIMEOUT, "lost", Ran.MAYBE)
        return Response(200, {}, json.dumps({"order_id": data["order_id"]}).encode())


@dataclass
class Points:
    """The points that one owner passes.

    :param stop_at: number of the point at which the owner crashes or freezes.
    :param stopped_before: the call that was to follow, empty after a call.
    """

    stop_at: int = 0
    freezes: bool = False
    source: random.Random | None = None
    n_passed: int = 0
    stopped_before: str = ""
    stopped: anyio.Event = field(default_factory=anyio.Event)
    resumed: anyio.Event = field(default_factory=anyio.Event)

    async def reach(self, before: str = "") -> None:
        self.n_passed += 1
        for _ in range(self.source.randrange(4) if self.source else 0):
            await anyio.lowlevel.checkpoint()
        if self.n_passed == self.stop_at:
            self.stopped_before = before
            self.stopped.set()
            if not self.freezes:
                raise Crash
            await self.resumed.wait()

    def wrap(self, target: object) -> "Wrapped":
        return Wrapped(target, self)


class Wrapped:
    """Passes a point before and after each call of its target."""

    def __init__(self, target: object, points: Points):
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
    """An owner and what it believes."""

    owner: OrderOwner
    points: Points
    version: int
    members: tuple[str, ...]


@dataclass
class World:
    """Everything that the owners share.

    :param versions: declaration texts; a node at version *n* sees the *n*-th.
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

    def parse(self, version: int) -> Declarations:
        return parse(self.versions[version - 1])

    def list_declared(self) -> set[str]:
        declarations = self.parse(len(self.versions))
        return {
            slot
            for upstream in declarations.upstreams.values()
            for slot in declarations.list_slots(upstream)
        }

    def check_loads(self) -> None:
        n_loads = sum(len(engine.loading) for engine in self.engines.values())
        if n_loads > MAX_LOADS:
            self.violations.append(f"{n_loads} loads at once at {self.now}")

    def add_engine(self, name: str, fencing: str, slots: str) -> None:
        loaded = {slot: slot.partition("@")[2] for slot in slots.split()}
        self.engines[name] = FakeEngine(self, name, fencing, loaded)

    def add_node(self, name: str, points: Points | None = None) -> Node:
        points = points or Points()
        node = Node(None, points, len(self.versions), (name,))

        def get_view() -> OrderView:
            previous = self.parse(node.version - 1) if node.version > 1 else None
            current = self.parse(node.version)
            return OrderView(current, previous, node.version, True, node.members)

        node.owner = OrderOwner(
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
                engine.settle()

    async def run_round(self, node: Node) -> None:
        """Let an owner look at each engine once, all at the same time."""
        async with anyio.create_task_group() as tasks:
            for name in self.engines:
                tasks.start_soon(node.owner.step, name)

    async def run_until(self, node: Node, check: Callable[[], bool]) -> int:
        """Run rounds, one a second, and return how many it took."""
        for n_rounds in range(300):
            if check():
                return n_rounds
            await self.run_round(node)
            await self.advance(1)
        raise AssertionError(f"not reached: {self.engines}")

    def is_settled(self) -> bool:
        """Whether every engine is in the newest declared state."""
        declarations = self.parse(len(self.versions))
        return all(
            set(engine.slots)
            == set(declarations.list_slots(declarations.upstreams[name]))
            and engine.role == declarations.upstreams[name].role
            and not engine.loading
            for name, engine in self.engines.items()
        )
