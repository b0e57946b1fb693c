"""Nodes that claim keys on a platform stand-in, which runs as a separate process."""

import json
from collections import Counter
from dataclasses import dataclass, field

import anyio
from anyio.from_thread import BlockingPortal, start_blocking_portal
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.platform import ObjectStore, Table
from apricotlift.state.claimbatch import WriteBatcher, build_direct_write
from apricotlift.state.claimrows import CallResult, build_claim_pk
from apricotlift.state.claims import Claim, ClaimManager, ClaimSettings, RecordedResult
from apricotlift.upstreams.pool import Pool

from standins.processes import Processes

WAIT_TIMEOUT_S = 30.0
#: The write delay limit is longer than any delay that a scenario injects.
SETTINGS = ClaimSettings(max_write_delay_s=4.0)


@dataclass
class ClaimNode:
    """The claims of one node, with clocks that a scenario can advance."""

    name: str
    claims: ClaimManager
    metrics: Metrics
    clock_offsets_s: dict[str, float]
    open_claims: dict[str, Claim] = field(default_factory=dict)


@dataclass
class ClaimWorld:
    """The nodes of a scenario, with the number of dispatches of each key."""

    portal: BlockingPortal
    address: str
    pool: Pool = field(default_factory=Pool)
    nodes: dict[str, ClaimNode] = field(default_factory=dict)
    lost_nodes: set[str] = field(default_factory=set)
    n_dispatches: Counter = field(default_factory=Counter)
    outcomes: list[str] = field(default_factory=list)
    truth_before: dict = field(default_factory=dict)

    def add_node(self, name: str, batched: bool) -> None:
        """Start the claims of a node in the event loop of the portal."""
        metrics = Metrics()
        table = Table(f"http://{self.address}", "t", self.pool, metrics, 1.0)
        objects = ObjectStore(f"http://{self.address}/objects", self.pool, 1.0)
        batcher = WriteBatcher(table, metrics)
        clock_offsets_s = {"boot": 0.0, "wall": 0.0}
        claims = ClaimManager(
            table,
            objects,
            batcher.write if batched else build_direct_write(table),
            metrics,
            name,
            lambda: "1",
            lambda node, _: node not in self.lost_nodes,
            SETTINGS,
            lambda: clocks.monotonic() + clock_offsets_s["boot"],
            lambda: clocks.wall_ms() + int(clock_offsets_s["wall"] * 1000),
        )
        self.portal.start_task(claims.run)
        self.portal.start_task(batcher.run)
        self.nodes[name] = ClaimNode(name, claims, metrics, clock_offsets_s)

    async def claim(self, node: ClaimNode, key: str, body: str) -> str:
        """Claim a key and keep the claim.

        :returns: ``claimed``, or a description of the error or of the replayed result.
        """
        try:
            found = await node.claims.claim("north", key, body)
        except ApricotliftError as error:
            return f"{error.code} ran {error.ran}"
        if isinstance(found, RecordedResult):
            return f"replay of {len(found.result.body)} bytes"
        node.open_claims[key] = found
        return "claimed"

    async def dispatch(self, node: ClaimNode, key: str) -> str:
        """Dispatch a claim that :meth:`claim` kept and return the outcome."""
        try:
            node.claims.begin_dispatch(node.open_claims[key])
        except ApricotliftError as error:
            return f"{error.code} ran {error.ran}"
        except AssertionError:
            return "protocol error"
        self.n_dispatches[key] += 1
        return "dispatched"

    async def record(self, node: ClaimNode, key: str, n_bytes: int) -> None:
        """Record the result of a dispatched call."""
        result = CallResult(200, {"x-served-by": node.name}, b"r" * n_bytes)
        await node.claims.record(node.open_claims[key], result)

    async def call(self, node: ClaimNode, key: str, body: str = "b") -> str:
        """Claim, dispatch and record a call; return the outcome."""
        outcome = await self.claim(node, key, body)
        if outcome != "claimed":
            return outcome
        outcome = await self.dispatch(node, key)
        if outcome == "dispatched":
            await self.record(node, key, 3)
        return outcome

    async def call_all(self, calls: list[tuple[ClaimNode, str]]) -> list[str]:
        """Make calls concurrently and return their outcomes, sorted."""
        outcomes: list[str] = []

        async def run(node: ClaimNode, key: str) -> None:
            outcomes.append(await self.call(node, key))

        async with anyio.create_task_group() as tasks:
            for node, key in calls:
                tasks.start_soon(run, node, key)
        return sorted(outcomes)

    async def set_faults(self, part: str, faults: dict) -> None:
        """Replace the injected faults of the ``table`` or ``objects`` service."""
        url = f"http://{self.address}/faults"
        response = await self.pool.request(
            "POST", url, body=json.dumps({part: faults}).encode()
        )
        assert response.status == 200, response.body

    async def read_truth(self) -> dict:
        """Return the rows, objects and operation counts of the platform stand-in."""
        response = await self.pool.request("GET", f"http://{self.address}/truth")
        return json.loads(response.body)

    async def read_claim_row(self, key: str) -> dict | None:
        """Return the values of the claim row of a key, ``None`` if there is no row."""
        pk = build_claim_pk("north", key)
        rows = (await self.read_truth())["rows"]
        return next((r["values"] for r in rows if r["values"]["pk"] == pk), None)

    async def wait_for_row(self, key: str, state: str) -> None:
        """Wait until a key is ``free``, ``claimed`` or ``recorded`` in the table."""
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while True:
                row = await self.read_claim_row(key)
                found = "free" if row is None else "claimed"
                if row is not None and "recorded_at_ms" in row:
                    found = "recorded"
                if found == state:
                    return
                await anyio.sleep(0.05)


def start_world(context) -> ClaimWorld:
    """Start the platform stand-in and an event loop for the scenario."""
    processes = context.fixtures.enter_context(Processes())
    platform = processes.start_module("platform", "standins.platform")
    portal = context.fixtures.enter_context(start_blocking_portal())
    world = ClaimWorld(portal, platform.get_address())
    context.fixtures.callback(portal.call, portal.stop, True)
    return world
