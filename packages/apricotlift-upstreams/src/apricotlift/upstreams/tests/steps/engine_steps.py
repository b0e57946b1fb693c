"""Steps for engines, and the steps that start stand-ins."""

import json

import anyio
from apricotlift.upstreams.pool import Timeouts
from apricotlift.upstreams.tests.harness import (
    N_TOKENS,
    build_engine,
    build_generate_call,
    collect_text,
    fetch_json,
    insert_proxy,
    post_json,
    run_action,
    run_block_prompt,
    run_prompt,
    start_standin,
    wait_until,
)
from behave import given, then, when

from standins.engine import build_answer


@given("an engine")
@given("an engine with the options {options}")
def step_start_engine(context, options=""):
    start_standin(
        context, "engine", "standins.engine", "--token-s", "0.002", *options.split()
    )


@given("a second engine")
def step_start_second(context):
    start_standin(context, "engine", "standins.engine", "--token-s", "0.002")


@given("an engine behind a proxy")
@given("an engine behind a proxy with the options {options}")
def step_start_proxied_engine(context, options=""):
    step_start_engine(context, options)
    insert_proxy(context, "engine")


@given("a KV store")
def step_start_store(context):
    start_standin(context, "store", "standins.kvstore")


@given("a plain service behind a proxy")
def step_start_service(context):
    start_standin(context, "service", "standins.service")
    insert_proxy(context, "service")


@given("the {name} has the faults {faults}")
def step_switch_faults(context, name, faults):
    direct = f"{name} direct"
    target = direct if direct in context.addresses else name
    post_json(context, target, "/faults", json.loads(faults))


@when('the prompt "{prompt}" runs')
def step_run(context, prompt):
    run_prompt(context, build_generate_call(context, prompt))


@when('the prompt "{prompt}" runs {n:d} times')
def step_run_times(context, prompt, n):
    async def action(pool):
        engine = build_engine(context, pool)
        for _ in range(n):
            context.answer = ""
            async with engine.generate(
                build_generate_call(context, prompt), Timeouts()
            ) as stream:
                await collect_text(context, stream)

    run_action(context, action)
    assert context.error is None, context.error


@when('the prompt "{prompt}" runs and the proxy gets {faults}')
def step_run_with_fault(context, prompt, faults):
    async def concurrent_action(_, pool):
        url = f"http://{context.addresses['proxy']}/faults"
        await pool.request("POST", url, body=faults.encode())

    run_prompt(context, build_generate_call(context, prompt), concurrent_action)


@when('the prompt "{prompt}" is started and cancelled')
def step_cancel(context, prompt):
    async def concurrent_action(engine, _):
        await engine.cancel(context.call.attempt_id)

    run_prompt(context, build_generate_call(context, prompt), concurrent_action)


@when('the prompt "{prompt}" continues after {n:d} characters')
def step_continue(context, prompt, n):
    text = "".join(build_answer(prompt, 0, N_TOKENS))[:n]
    run_prompt(context, build_generate_call(context, prompt, continue_text=text))


@when("the rest of the stream is read")
def step_resume(context):
    async def action(pool):
        engine = build_engine(context, pool)
        attempt_id = context.call.attempt_id
        async with engine.resume(attempt_id, len(context.answer), Timeouts()) as stream:
            await collect_text(context, stream)

    post_json(context, "engine", "/faults", {})
    run_action(context, action)


@when("the engine has dropped the stream")
def step_wait_dropped(context):
    wait_until(
        lambda: not fetch_json(context, "engine", "/v1/streams?prefix=")["streams"]
    )


@when("the engine's health is read")
def step_read_health(context):
    run_action(context, lambda pool: build_engine(context, pool).get_health())


@when("a prompt of blocks {blocks} runs under salt {salt}")
def step_run_blocks(context, blocks, salt):
    run_block_prompt(context, blocks, salt)


@when("prompts of priority {priorities} wait in the prefill queue together")
def step_queue(context, priorities):
    context.ended = []

    async def run_one(engine, priority, number):
        # The prompts have the same length, so that only the priority decides the order.
        call = build_generate_call(context, f"{number}" * 8000, priority=priority)
        async with engine.generate(call, Timeouts()) as stream:
            async for chunks in stream.iterate():
                if chunks[-1].finish_reason:
                    context.ended.append(priority)

    async def action(pool):
        engine = build_engine(context, pool)
        async with anyio.create_task_group() as tasks:
            for number, priority in enumerate(priorities.split()):
                tasks.start_soon(run_one, engine, int(priority), number)
                while (load := await engine.get_load()).waiting <= number:
                    assert load.running == 0, "the first prefill ended too soon"

    run_action(context, action)
    assert context.error is None, context.error


@then("it fails with {code}, ran {ran}")
def step_check_failure(context, code, ran):
    assert context.error is not None, context.result
    found = (str(context.error.code), str(context.error.ran))
    assert found == (code, ran), context.error


@then("the engine ran {n:d} attempts")
def step_check_ran(context, n):
    assert len(fetch_json(context, "engine")["ran"]) == n


@then("its text is complete")
def step_check_text(context):
    assert context.error is None, context.error
    expected = "".join(build_answer(context.call.prompt, 0, N_TOKENS))
    assert context.answer == expected, context.answer


@then("dropped events of other attempts were counted")
def step_check_counted(context):
    n = context.metrics.get_count("dropped_events_total", reason="foreign_attempt")
    assert n > 0


@then("the engine's load report shows no work")
def step_check_idle(context):
    def is_idle():
        load = fetch_json(context, "engine", "/load")
        return load["running"] == load["waiting"] == 0

    wait_until(is_idle)


@then("the engine has exited with {code:d}")
def step_check_exit(context, code):
    assert context.processes.running["engine"].wait() == code


@then("{n:d} tokens were cached")
def step_check_cached(context, n):
    assert context.usage.cached_tokens == n, context.usage


@then("every block was used under its own salt")
def step_check_salts(context):
    for item in fetch_json(context, "engine")["ran"]:
        salts = {block["stored_salt"] for block in item["cached"]}
        assert salts <= {item["salt"]}, item


@then("the prompt of priority 0 ended before the last of priority 1")
def step_check_order(context):
    assert sorted(context.ended) == [0, 1, 1]
    assert context.ended[-1] == 1, context.ended


@then("the proxy saw {n:d} connection")
@then("the proxy saw {n:d} connections")
def step_check_connections(context, n):
    front = fetch_json(context, "proxy", "/listeners")["front"]
    assert front["connections"] == n, front
