"""Steps for requests that crash upstreams."""

import json
from contextlib import ExitStack
from dataclasses import dataclass, field

import anyio
from anyio.from_thread import start_blocking_portal
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.platform import Table
from apricotlift.state.suspects import QuarantinedRun, SuspectRegistry
from apricotlift.upstreams.pool import Pool
from behave import given, then, when

from standins.processes import Processes

WAIT_TIMEOUT_S = 30.0


@dataclass
class SuspectWorld:
    """Nodes that share a platform stand-in, with the runs that they reserved."""

    portal: object
    address: str
    pool: Pool = field(default_factory=Pool)
    nodes: dict[str, SuspectRegistry] = field(default_factory=dict)
    runs: dict[str, QuarantinedRun | None] = field(default_factory=dict)
    lost_nodes: set[str] = field(default_factory=set)
    wall_offset_ms: int = 0

    def add_node(self, name: str) -> None:
        table = Table(f"http://{self.address}", "t", self.pool, Metrics(), 1.0)
        self.nodes[name] = SuspectRegistry(
            table,
            Metrics(),
            name,
            lambda: "1",
            lambda node, _: node not in self.lost_nodes,
            get_wall_ms=lambda: clocks.wall_ms() + self.wall_offset_ms,
        )
        self.portal.start_task(self.nodes[name].run)

    async def call_in_loop(self, function, *arguments):
        return function(*arguments)

    async def reserve_all(self, names: list[str], upstream: str) -> None:
        async def reserve(name: str) -> None:
            run = await self.nodes[name].begin_run(f"fp-{name}", upstream)
            self.runs[name] = run

        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(reserve, name)

    async def wait_for(self, is_met) -> None:
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while not is_met():
                await anyio.sleep(0.05)

    async def set_faults(self, faults: dict) -> None:
        body = json.dumps({"table": faults}).encode()
        await self.pool.request("POST", f"http://{self.address}/faults", body=body)


@given('the suspect nodes "{names}"')
def start_nodes(context, names):
    fixtures = ExitStack()
    context.add_cleanup(fixtures.close)
    processes = fixtures.enter_context(Processes())
    platform = processes.start_module("platform", "standins.platform")
    portal = fixtures.enter_context(start_blocking_portal())
    fixtures.callback(portal.call, portal.stop, True)
    context.suspect_world = SuspectWorld(portal, platform.get_address())
    for name in names.split(", "):
        context.suspect_world.add_node(name)


@given("the suspect table is down")
def stop_table(context):
    context.suspect_world.portal.call(context.suspect_world.set_faults, {"down": True})


@when("the suspect table is back")
def start_table(context):
    context.suspect_world.portal.call(context.suspect_world.set_faults, {})


@given('the suspect node "{name}" reports "{fingerprint}" for boot "{boot}"')
@when('the suspect node "{name}" reports "{fingerprint}" for boot "{boot}"')
def report_crash(context, name, fingerprint, boot):
    world = context.suspect_world
    report = world.nodes[name].report_crash
    world.portal.call(world.call_in_loop, report, fingerprint, "e1", boot)


@when(
    'the suspect node "{name}" as owner receives the report of "{fingerprint}" for boot "{boot}"'
)
def report_to_owner(context, name, fingerprint, boot):
    world = context.suspect_world
    record_peer_crash = world.nodes[name].record_peer_crash
    world.portal.call(world.call_in_loop, record_peer_crash, fingerprint, "e1", boot)


@when('the suspect node "{name}" clears "{fingerprint}"')
def clear_suspect(context, name, fingerprint):
    world = context.suspect_world
    world.portal.call(world.call_in_loop, world.nodes[name].clear, fingerprint)


@when("the suspect wall clock advances {n:d} minutes")
def advance_wall_clock(context, n):
    context.suspect_world.wall_offset_ms += n * 60_000


@given('the suspect node "{name}" is lost')
def mark_node_lost(context, name):
    context.suspect_world.lost_nodes.add(name)


@given('the suspect nodes "{names}" reserve upstream "{upstream}" at once')
@when('the suspect nodes "{names}" reserve upstream "{upstream}" at once')
def reserve_upstream(context, names, upstream):
    world = context.suspect_world
    world.portal.call(world.reserve_all, names.split(", "), upstream)


@when('the suspect run of "{name}" {ending}')
def end_run(context, name, ending):
    world = context.suspect_world
    end = world.nodes[name].end_run
    world.portal.call(world.call_in_loop, end, world.runs[name], ending == "completes")


@then('the suspect node "{name}" counts {n:d} crashes of "{fingerprint}" immediately')
def check_crash_count(context, name, n, fingerprint):
    found = context.suspect_world.nodes[name].count_crashes(fingerprint)
    assert found == n, found


@then('the suspect node "{name}" eventually counts {n:d} crashes of "{fingerprint}"')
def wait_for_crash_count(context, name, n, fingerprint):
    world = context.suspect_world
    node = world.nodes[name]
    world.portal.call(world.wait_for, lambda: node.count_crashes(fingerprint) == n)


@then('the suspect node "{name}" {answer} "{fingerprint}"')
def check_answer(context, name, answer, fingerprint):
    check_answer_with_owner(context, name, answer, fingerprint, 0)


@then('with {n:d} owner crashes the suspect node "{name}" {answer} "{fingerprint}"')
def check_answer_with_owner(context, name, answer, fingerprint, n):
    try:
        is_suspect = context.suspect_world.nodes[name].check(fingerprint, n)
        found = "quarantines" if is_suspect else "admits"
    except ApricotliftError as error:
        assert str(error.ran) == "maybe", error
        found = "refuses"
    assert found == answer, found


@then("{n:d} suspect runs were reserved")
def check_reserved_runs(context, n):
    found = [name for name, run in context.suspect_world.runs.items() if run]
    assert len(found) == n, found


@then('the suspect node "{name}" eventually sees "{upstream}" as {state}')
def wait_for_upstream(context, name, upstream, state):
    world = context.suspect_world
    node = world.nodes[name]
    is_occupied = state == "occupied"
    world.portal.call(
        world.wait_for,
        lambda: (upstream in node.list_occupied_upstreams()) == is_occupied,
    )


@given("the suspect writes take {n:d} s")
def slow_writes(context, n):
    # The client times out after 1 s, so it misses the answers of longer writes.
    world = context.suspect_world
    world.portal.call(world.set_faults, {"delay_s": n, "delay_writes_only": True})


@then("the suspect table eventually has {n:d} writes and no rows")
def wait_for_writes(context, n):
    world = context.suspect_world

    async def wait() -> None:
        with anyio.fail_after(WAIT_TIMEOUT_S):
            truth = {}
            while truth.get("n_writes") != n or truth["rows"]:
                await anyio.sleep(0.05)
                url = f"http://{world.address}/truth"
                truth = json.loads((await world.pool.request("GET", url)).body)

    world.portal.call(wait)
