"""Steps for claims on non-idempotent calls."""

import json
import random
from contextlib import ExitStack

import anyio
from apricotlift.state.claimrows import UNCLEAR_RESULT
from apricotlift.state.tests.claimworld import start_world
from behave import given, then, when


def split_list(text):
    return [part.strip() for part in text.split(",")]


@given('the claim nodes "{names}" with {kind} writes')
def start_nodes(context, names, kind):
    context.fixtures = ExitStack()
    context.add_cleanup(context.fixtures.close)
    context.claim_world = start_world(context)
    for name in split_list(names):
        context.claim_world.add_node(name, kind == "batched")


@given("the claim faults of the {part} are {faults}")
@when("the claim faults of the {part} are {faults}")
def set_faults(context, part, faults):
    world = context.claim_world
    world.portal.call(world.set_faults, part, json.loads(faults))


@given('the claim node "{name}" called key "{key}"')
@when('the claim node "{name}" calls key "{key}"')
def call_key(context, name, key):
    call_with_body(context, name, key, "b")


@when('the claim node "{name}" sends body "{body}" under key "{key}"')
def call_with_body(context, name, key, body):
    world = context.claim_world
    outcome = world.portal.call(world.call, world.nodes[name], key, body)
    world.outcomes = [outcome]


@when('the claim nodes "{names}" call keys "{keys}" at once')
def call_at_once(context, names, keys):
    world = context.claim_world
    calls = [
        (world.nodes[name], key)
        for name in split_list(names)
        for key in split_list(keys)
    ]
    world.outcomes = world.portal.call(world.call_all, calls)


@when('the claim node "{name}" calls {n:d} keys at once')
def call_many(context, name, n):
    world = context.claim_world
    calls = [(world.nodes[name], f"many-{index}") for index in range(n)]
    world.truth_before = world.portal.call(world.read_truth)
    world.outcomes = world.portal.call(world.call_all, calls)


@given('the claim node "{name}" holds key "{key}"')
def claim_key(context, name, key):
    world = context.claim_world
    outcome = world.portal.call(world.claim, world.nodes[name], key, "b")
    assert outcome == "claimed", outcome


@given('the claim node "{name}" dispatched key "{key}"')
@when('the claim node "{name}" dispatches key "{key}"')
def dispatch_key(context, name, key):
    world = context.claim_world
    if key not in world.nodes[name].open_claims:
        claim_key(context, name, key)
    world.outcomes = [world.portal.call(world.dispatch, world.nodes[name], key)]


@when('the claim node "{name}" records {n:d} bytes for key "{key}"')
def record_result(context, name, n, key):
    world = context.claim_world
    world.portal.call(world.record, world.nodes[name], key, n)


@when('the claim node "{name}" records that the answer of key "{key}" was lost')
def record_lost_answer(context, name, key):
    node = context.claim_world.nodes[name]
    context.claim_world.portal.call(
        node.claims.record, node.open_claims[key], UNCLEAR_RESULT
    )


@when('the claim {clock} clock of "{names}" advances {n:g} {unit}')
def advance_clock(context, clock, names, n, unit):
    seconds = n * {"s": 1, "days": 86_400}[unit]
    for name in split_list(names):
        context.claim_world.nodes[name].clock_offsets_s[clock] += seconds


@given('the claim node "{name}" is lost')
def mark_node_lost(context, name):
    context.claim_world.lost_nodes.add(name)


@then('the claim outcomes are "{expected}"')
def check_outcomes(context, expected):
    found = context.claim_world.outcomes
    assert found == split_list(expected), found


@then('all {n:d} claim outcomes are "{expected}"')
def check_all_outcomes(context, n, expected):
    found = context.claim_world.outcomes
    assert found == [expected] * n, found


@then('the claim key "{key}" was dispatched {n:d} times')
def check_dispatch_count(context, key, n):
    found = context.claim_world.n_dispatches[key]
    assert found == n, found


@then('the claim key "{key}" becomes {state}')
def wait_for_row(context, key, state):
    world = context.claim_world
    world.portal.call(world.wait_for_row, key, state)


@then("the claim platform wrote {n:d} rows")
def check_writes(context, n):
    found = context.claim_world.portal.call(context.claim_world.read_truth)
    assert found["n_writes"] == n, found["n_writes"]


@then("the claim platform has {n:d} objects")
def check_objects(context, n):
    found = context.claim_world.portal.call(context.claim_world.read_truth)
    assert len(found["objects"]) == n, found["objects"]


@then("the claim platform took at most {n:d} transactions for them")
def check_transactions(context, n):
    world = context.claim_world
    assert get_count_increase(world, "n_transactions") <= n


@then("the claim platform read {n:d} rows for them")
def check_reads(context, n):
    found = get_count_increase(context.claim_world, "n_rows_read")
    assert found == n, found


def get_count_increase(world, name):
    return world.portal.call(world.read_truth)[name] - world.truth_before[name]


@when("the claim nodes call {n:d} keys under random faults with seed {seed:d}")
def call_randomly(context, n, seed):
    """Call each key from each node; retry calls refused as certainly not run."""
    world = context.claim_world
    rates = {"error_before": 0.1, "error_after": 0.1, "drop_after": 0.1}
    faults = {**rates, "delay_s": 0.005, "delay_kind": "exponential", "seed": seed}
    source = random.Random(seed)

    async def try_key(node, key, pause_s):
        await anyio.sleep(pause_s)
        for _ in range(4):
            outcome = await world.call(node, key)
            if not outcome.endswith("ran no"):
                return

    async def try_all():
        async with anyio.create_task_group() as tasks:
            for node in world.nodes.values():
                for index in range(n):
                    pause_s = source.uniform(0, 1.0)
                    tasks.start_soon(try_key, node, f"random-{index}", pause_s)
        await world.set_faults("table", {})
        for node in world.nodes.values():
            with anyio.fail_after(30):
                await node.claims.wait_flushed()

    world.portal.call(world.set_faults, "table", faults)
    world.portal.call(try_all)


@then("no claim key was dispatched twice and each dispatched one is recorded")
def check_random_calls(context):
    world = context.claim_world
    assert world.n_dispatches and max(world.n_dispatches.values()) == 1, (
        world.n_dispatches
    )
    rows = world.portal.call(world.read_truth)["rows"]
    n_recorded = sum("recorded_at_ms" in row["values"] for row in rows)
    # The row of a released claim is deleted.
    assert n_recorded == len(rows) == len(world.n_dispatches), (n_recorded, len(rows))
