"""Helpers for the steps: start stand-ins and run calls against them."""

import json
import time

import anyio
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.upstreams.engine import EngineClient, GenerateCall
from apricotlift.upstreams.kvstore import StoreClient
from apricotlift.upstreams.pool import Pool, Timeouts

from standins.processes import Processes

TIMEOUT_S = 30.0
N_TOKENS = 12


def start_standin(context, name: str, module: str, *options: str):
    if not hasattr(context, "processes"):
        context.processes = Processes()
        context.add_cleanup(context.processes.stop_all)
        context.addresses = {}
        context.metrics = Metrics()
        context.n_attempts = 0
    process = context.processes.start_module(name, module, "--name", name, *options)
    context.addresses[name] = process.get_address(name)
    return process


def insert_proxy(context, target: str) -> None:
    listeners = f"front={context.addresses[target]}"
    process = context.processes.start_module(
        "proxy", "standins.proxy", "--listeners", listeners
    )
    context.addresses["proxy"] = process.get_address("control")
    context.addresses[target + " direct"] = context.addresses[target]
    context.addresses[target] = process.get_address("front")


def post_json(context, name: str, path: str, data: object) -> None:
    async def run():
        async with Pool() as pool:
            url = f"http://{context.addresses[name]}{path}"
            response = await pool.request("POST", url, body=json.dumps(data).encode())
            assert response.status == 200, response

    anyio.run(run)


def fetch_json(context, name: str, path: str = "/truth") -> dict:
    async def run():
        async with Pool() as pool:
            url = f"http://{context.addresses[name]}{path}"
            return json.loads((await pool.request("GET", url)).body)

    return anyio.run(run)


def run_action(context, action):
    """Run an action with a new pool and store its result or error in the context."""
    context.error = None
    context.result = None

    async def run():
        async with Pool() as pool:
            try:
                context.result = await action(pool)
            except ApricotliftError as error:
                context.error = error

    anyio.run(run)


def build_engine(context, pool: Pool) -> EngineClient:
    return EngineClient("engine", context.addresses["engine"], pool, context.metrics)


def build_store(context, pool: Pool) -> StoreClient:
    return StoreClient("store", context.addresses["store"], pool, context.metrics)


def build_generate_call(context, prompt: str, **options) -> GenerateCall:
    context.n_attempts += 1
    values = {"cache_salt": "s", **options}
    name = f"{context.n_attempts:024x}.0.1"
    return GenerateCall(name, "wax@v1", prompt, N_TOKENS, **values)


async def collect_text(context, stream) -> None:
    async for chunks in stream.iterate():
        for chunk in chunks:
            assert chunk.offset == len(context.answer), (chunk, context.answer)
            context.answer += chunk.text
            context.usage = chunk.usage


def run_prompt(context, call: GenerateCall, concurrent_action=None) -> None:
    context.call = call
    context.answer = call.continue_text

    async def action(pool):
        engine = build_engine(context, pool)
        async with engine.generate(call, Timeouts()) as stream:
            if concurrent_action is not None:
                await concurrent_action(engine, pool)
            await collect_text(context, stream)

    run_action(context, action)


def wait_until(check) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not check():
        assert time.monotonic() < deadline, (
            f"the condition was not met within {TIMEOUT_S:g} s"
        )
        time.sleep(0.02)


def run_block_prompt(context, blocks: str, salt: str) -> None:
    names = tuple(blocks.split())
    prompt = "".join(name.ljust(4000, "x") for name in names) + "tail"
    call = build_generate_call(context, prompt, cache_salt=salt, prefix_blocks=names)
    run_prompt(context, call)
    assert context.error is None, context.error
