"""Steps for KV transfers, cache events and orders."""

import anyio
from apricotlift.upstreams.engineorders import EngineOrder, send_order
from apricotlift.upstreams.kvevents import follow_events
from apricotlift.upstreams.kvtransfer import export_blocks, import_blocks
from apricotlift.upstreams.pool import Pool
from apricotlift.upstreams.tests.harness import (
    TIMEOUT_S,
    build_engine,
    build_store,
    fetch_json,
    run_action,
    run_block_prompt,
    start_standin,
    wait_until,
)
from behave import given, then, when


@given("blocks {blocks} of salt {salt} are exported")
@when("blocks {blocks} of salt {salt} are exported")
def step_export(context, blocks, salt):
    run_block_prompt(context, blocks, salt)

    async def action(pool):
        engine = build_engine(context, pool)
        url = build_store(context, pool).url
        return await export_blocks(engine, blocks.split(), url, salt, TIMEOUT_S)

    run_action(context, action)
    assert context.error is None, context.error
    context.exported = context.result


@when("block {block} is imported under salt {salt}")
def step_import(context, block, salt):
    async def action(pool):
        engine = build_engine(context, pool)
        url = build_store(context, pool).url
        asked = [context.exported.stored[block]]
        return await import_blocks(engine, asked, url, salt, 2.0)

    run_action(context, action)


@then("the import of {block} failed because of {reason}")
def step_check_import_failed(context, block, reason):
    assert context.error is None, context.error
    assert context.result.imported == ()
    assert context.result.failed == {block: reason}, context.result


@then("the import of {block} succeeded")
def step_check_imported(context, block):
    assert context.error is None, context.error
    assert context.result.imported == (block,), context.result


@then("the export of {blocks} failed because of {reason}")
def step_check_export_failed(context, blocks, reason):
    expected = dict.fromkeys(blocks.split(), reason)
    assert context.exported.failed == expected, context.exported


@then("deleting {block} by its exported generation is refused")
def step_delete_refused(context, block):
    delete(context, block, False)


@then("deleting {block} by its exported generation succeeds")
def step_delete(context, block):
    delete(context, block, True)


def delete(context, block, expected):
    generation = context.exported.stored[block].generation

    async def action(pool):
        store = build_store(context, pool)
        deleted = await store.delete(block, generation)
        return deleted, await store.head(block)

    run_action(context, action)
    assert context.error is None, context.error
    deleted, left = context.result
    assert deleted is expected
    assert (left is None) is expected


@then("the store's usage shows one block")
def step_check_usage(context):
    run_action(context, lambda pool: build_store(context, pool).get_usage())
    usage = context.result
    length = context.exported.stored["b1"].length
    assert usage.memory_bytes + usage.disk_bytes == length, usage


@when("{n:d} prompts of one block each have run")
def step_run_many(context, n):
    for number in range(n):
        run_block_prompt(context, f"b{number}", "s")


@when("the events are followed across a restart of the engine")
def step_follow(context):
    context.batches = []
    port = context.addresses["engine"]

    def restart():
        context.processes.running["engine"].kill()
        start_standin(context, "engine", "standins.engine", "--address", port)
        run_block_prompt(context, "r1", "s")

    async def run():
        async with Pool() as pool:
            engine = build_engine(context, pool)
            async for batch in follow_events(engine, context.metrics, 1.0):
                context.batches.append(batch)
                if sum(batch.is_new_boot for batch in context.batches) == 2:
                    return
                if sum(len(item.events) for item in context.batches) == 3:
                    await anyio.to_thread.run_sync(restart)

    async def run_bounded():
        with anyio.fail_after(TIMEOUT_S):
            await run()

    anyio.run(run_bounded)


@then("events {numbers} were received once each")
def step_check_events(context, numbers):
    context.first = [
        item for item in context.batches if item.boot_id == context.batches[0].boot_id
    ]
    found = [event.seq for item in context.first for event in item.events]
    assert found == [int(number) for number in numbers.split()], found


@then("the gaps were {gaps}")
def step_check_gaps(context, gaps):
    found = [f"{first}-{last}" for item in context.first for first, last in item.gaps]
    assert found == gaps.split(), found


@then("{n:d} duplicate was dropped")
def step_check_duplicates(context, n):
    assert sum(item.n_duplicates for item in context.first) == n


@then("the restart was reported before the events after it")
def step_check_restart(context):
    last = context.batches[-1]
    assert last.is_new_boot
    assert last.boot_id != context.batches[0].boot_id
    assert [event.blocks for event in last.events] == [("r1",)], last


@when("an order with fence {fence:d} loads {slot}")
def step_send_order(context, fence, slot):
    version = slot.partition("@")[2]
    order = EngineOrder(f"o{fence}", fence, "load", slot, "wax", version)
    run_action(context, lambda pool: send_order(build_engine(context, pool), order))


@then("the order was refused with highest fence {fence:d}")
def step_check_stale(context, fence):
    assert str(context.error.code) == "stale_fence", context.error
    assert context.error.details == {"highest": fence}


@then("the engine finally has the slots {slots}")
def step_check_slots(context, slots):
    expected = set(slots.split())
    wait_until(
        lambda: set(fetch_json(context, "engine", "/health")["slots"]) == expected
    )
