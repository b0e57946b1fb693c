"""Steps for the engine reconciler, with a simulated table and simulated engines."""

import json
import random

import anyio
from apricotlift.core.metrics import Metrics
from apricotlift.state.declarations import parse_declarations
from apricotlift.state.enginereconciler import (
    EngineReconciler,
    OrderSettings,
    OrderView,
)
from apricotlift.state.tableleases import LeaseSettings
from apricotlift.state.tests.order_fakes import (
    FakeTable,
    InterruptionPoints,
    SimulatedCrash,
    World,
)
from apricotlift.upstreams.engine import EngineClient
from apricotlift.upstreams.pool import Pool
from behave import given, then, when

from standins.processes import Processes

SETTLE_TIMEOUT_S = 60.0
MAX_POINTS = 400


def write_versions(addresses: list[str], fencing: str) -> list[str]:
    """Return three versions of the declarations; only the first two reference wax@v0.

    The last one also changes the role of the engines.
    """
    texts = []
    for version, previous in (("v0", ""), ("v1", ""), ("v2", "v1")):
        text = f"[model wax]\nweight_version = {version}\n"
        text += f"previous_version = {previous}\n" if previous else ""
        for number, address in enumerate(addresses):
            text += (
                f"[upstream e{number}]\nkind = engine\naddress = {address}\n"
                f"failure_domain = z1\nmodels = wax\nfencing = {fencing}\n"
                f"role = {'prefill' if version == 'v2' else 'mixed'}\n"
            )
        texts.append(text)
    return texts


def build_world(n_engines: int, fencing: str, load_s: float = 3.0) -> World:
    addresses = [f"127.0.0.1:{number + 1}" for number in range(n_engines)]
    world = World(write_versions(addresses, fencing), load_s)
    for number in range(n_engines):
        world.add_engine(f"e{number}", fencing, "wax@v0 wax@v1")
    return world


def get_or_add_node(context, name):
    if name not in context.world.nodes:
        context.world.add_node(name)
    return context.world.nodes[name]


def list_orders(world: World) -> list[dict]:
    return [
        order for engine in world.engines.values() for order in engine.received_orders
    ]


@given("a simulated cluster of {n:d} engine with fencing {fencing}")
@given("a simulated cluster of {n:d} engines with fencing {fencing}")
def create_world(context, n, fencing):
    context.world = build_world(n, fencing)


@given("a run uses {slot} in the simulated cluster")
def start_run(context, slot):
    context.world.running[slot] = 1


@when("the run in the simulated cluster ends")
def end_run(context):
    context.world.running.clear()


@given("the simulated cluster has only the newest declarations")
def keep_newest_declarations(context):
    context.world.versions = context.world.versions[-1:]


@given("the next {n:d} answers of the simulated table are lost")
def lose_table_answers(context, n):
    context.world.table.n_answers_to_lose = n


@given("each simulated engine loses its next {n:d} answers")
def lose_engine_answers(context, n):
    for engine in context.world.engines.values():
        engine.n_answers_to_lose = n


@given("each simulated engine receives its next order late")
def delay_orders(context):
    for engine in context.world.engines.values():
        engine.role = "prefill"
        engine.n_orders_to_delay = 1


@then(
    "the engine reconciler acquired the lease of {name} as often as without lost answers"
)
def check_fence(context, name):
    reference_world = build_world(1, "checked")
    anyio.run(
        reference_world.run_until,
        reference_world.add_node("A"),
        reference_world.is_settled,
    )
    worlds = (context.world, reference_world)
    found, expected = (world.table.rows["order", name].values for world in worlds)
    assert found["fence"] == expected["fence"], (found, expected)


@when("the engine reconciler {name} runs until the engines are settled")
def run_until_settled(context, name):
    world = context.world
    anyio.run(world.run_until, get_or_add_node(context, name), world.is_settled)


@when("the engine reconciler {name} runs for {n:d} rounds")
def run_rounds(context, name, n):
    node = get_or_add_node(context, name)

    async def run():
        for _ in range(n):
            await context.world.run_round(node)
            await context.world.advance(1)

    anyio.run(run)


@when("the engine reconciler {name} runs at version {version:d} for {n:d} rounds")
def run_rounds_at_version(context, name, version, n):
    get_or_add_node(context, name).version = version
    run_rounds(context, name, n)


@when(
    "the engine reconciler {name} at version {version:d} runs alternately with A for {n:d} rounds"
)
def run_alternately(context, name, version, n):
    node = get_or_add_node(context, name)
    node.version = version
    context.n_orders = len(list_orders(context.world))
    for _ in range(n):
        run_rounds(context, name, 1)
        run_rounds(context, "A", 1)


async def run_with_interruption(
    world: World, points: InterruptionPoints
) -> World | None:
    """Interrupt reconciler A at a point, let reconciler B finish, and resume A.

    :returns: the world, or ``None`` if A never reached the point.
    """
    first = world.add_node("A", points)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_until_interrupted, world, first)
        await points.interrupted.wait()
        if points.n_passed < points.interrupt_at:
            return None
        second = world.add_node("B")
        await world.run_until(second, world.is_settled)
        points.resumed.set()
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    # Owner B must correct what a late order of A has changed.
    await world.run_until(second, world.is_settled)
    return world


async def run_until_interrupted(world: World, node) -> None:
    """Run rounds until the reconciler crashes or all engines are settled."""
    try:
        await world.run_until(node, world.is_settled)
    except* SimulatedCrash:
        pass
    node.points.interrupted.set()


def interrupt_everywhere(context, build, is_freeze: bool) -> None:
    context.worlds = []
    for interrupt_at in range(1, MAX_POINTS):
        world = anyio.run(
            run_with_interruption, build(), InterruptionPoints(interrupt_at, is_freeze)
        )
        if world is None:
            break
        context.worlds.append(world)
    assert 40 < len(context.worlds) < MAX_POINTS - 1, len(context.worlds)


@when("the engine reconciler freezes at every point in turn, with fencing {fencing}")
def freeze_reconciler_everywhere(context, fencing):
    interrupt_everywhere(context, lambda: build_world(1, fencing), True)


@when(
    "the engine reconciler crashes at every point in turn, with {fencing} and {load_s:g} s"
)
def crash_reconciler_everywhere(context, fencing, load_s):
    interrupt_everywhere(context, lambda: build_world(3, fencing, load_s), False)


@when(
    "two engine reconcilers run at once with seeds {a:d} to {b:d}, with fencing {fencing}"
)
def run_two_reconcilers(context, a, b, fencing):
    async def run(seed: int) -> World:
        world = build_world(3, fencing)
        for name in ("A", "B"):
            world.add_node(
                name, InterruptionPoints(rng=random.Random(f"{seed}.{name}"))
            )
        for _ in range(100):
            async with anyio.create_task_group() as tasks:
                for node in world.nodes.values():
                    tasks.start_soon(world.run_round, node)
            await world.advance(1)
        assert world.is_settled(), (seed, world.engines)
        return world

    context.worlds = [anyio.run(run, seed) for seed in range(a, b + 1)]


@then("all simulated clusters settled without a violation")
def check_worlds(context):
    for number, world in enumerate(context.worlds):
        assert world.is_settled(), (number, world.engines)
        assert not world.violations, (number, world.violations)


@then("the number of stale orders that simulated engines executed was {kind}")
def check_stale_orders(context, kind):
    n_stale = 0
    for world in context.worlds:
        for engine in world.engines.values():
            fences = [order["fence"] for order in engine.received_orders]
            stale = [
                order
                for number, order in enumerate(engine.received_orders)
                if order["fence"] < max(fences[: number + 1])
            ]
            n_stale += len(stale)
            assert kind == "few" or not stale, stale
            # An order whose lease was already checked before the interruption can't be
            # prevented. The check of the lease must prevent any further one.
            interrupted_before = world.nodes["A"].points.interrupted_before
            assert len(stale) <= (interrupted_before == "call"), (
                interrupted_before,
                stale,
            )
    # The scenario must produce stale orders, or it would not cover engines that
    # ignore fencing.
    assert (n_stale > 0) == (kind == "few"), n_stale


@then("no simulated engine received the same order twice")
def check_no_order_repeated(context):
    for world in context.worlds:
        for engine in world.engines.values():
            sent = [
                (order["action"], order["slot"]) for order in engine.received_orders
            ]
            assert len(sent) == len(set(sent)), engine.received_orders


@then("the simulated engines received {actions} orders")
def check_actions(context, actions):
    found = sorted(order["action"] for order in list_orders(context.world))
    assert found == actions.split(), found


@then("{n:d} further rounds of the engine reconciler {name} send and write nothing")
def check_idle(context, n, name):
    run_rounds(context, name, 1)
    before = (len(list_orders(context.world)), context.world.table.n_writes)
    run_rounds(context, name, n)
    after = (len(list_orders(context.world)), context.world.table.n_writes)
    assert after == before, (before, after)


@then("the engine reconcilers sent no further orders")
def check_no_new_orders(context):
    assert len(list_orders(context.world)) == context.n_orders


@then("the simulated cluster settled without a violation")
def check_world(context):
    assert context.world.is_settled()
    assert not context.world.violations, context.world.violations


@then("the simulated engine {name} has loaded {slots}")
def check_slots(context, name, slots):
    assert sorted(context.world.engines[name].slots) == slots.split()


@given("{n:d} engine processes for the engine reconciler that share a weight store")
def start_engine_processes(context, n):
    processes = Processes()
    context.add_cleanup(processes.stop_all)
    folder = processes.directory / "weights"
    options = ("--slots", "wax@v0,wax@v1", "--load-s", "0.3")
    started = [
        processes.start_module(
            f"e{number}",
            "standins.engine",
            "--name",
            f"e{number}",
            "--weight-store",
            str(folder),
            *options,
        )
        for number in range(n)
    ]
    context.engine_addresses = [process.get_address() for process in started]


@when("the engine reconciler runs against the engine processes until they are settled")
def run_against_processes(context):
    texts = write_versions(context.engine_addresses, "checked")
    previous, current = (parse_declarations(text) for text in texts[1:])
    view = OrderView(current, previous, 3, True, ("A",))
    settings = OrderSettings(
        LeaseSettings(2.0, 2.4), reconcile_interval_s=0.05, send_margin_s=0.5
    )

    async def run():
        async with Pool() as pool, anyio.create_task_group() as tasks:

            def get_engine(upstream):
                return EngineClient(upstream.name, upstream.address, pool, Metrics())

            reconciler = EngineReconciler(
                "A", FakeTable(), Metrics(), lambda: view, get_engine, settings
            )
            tasks.start_soon(reconciler.run)
            with anyio.fail_after(SETTLE_TIMEOUT_S):
                for upstream in current.upstreams.values():
                    engine = get_engine(upstream)
                    wanted = {"wax@v1", "wax@v2"}
                    while set((await engine.get_health()).slots) != wanted:
                        await anyio.sleep(0.05)
            context.truths = [
                (await get_engine(item).call("GET", "/truth")).body
                for item in current.upstreams.values()
            ]
            tasks.cancel_scope.cancel()

    anyio.run(run)


@then("the engine processes of the engine reconciler saw at most {n:d} loads at once")
def check_process_loads(context, n):
    loads = [load for truth in read_truths(context) for load in truth["loads"]]
    assert len(loads) == len(context.truths)
    assert all(1 <= load["n_at_once"] <= n for load in loads), loads


@then(
    "each engine process of the engine reconciler executed orders with growing fences"
)
def check_process_fences(context):
    for truth in read_truths(context):
        fences = [order["fence"] for order in truth["orders"]]
        assert fences == sorted(fences), fences
        assert all(order["status"] == 200 for order in truth["orders"]), truth


def read_truths(context) -> list[dict]:
    return [json.loads(body) for body in context.truths]
