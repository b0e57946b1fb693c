"""Starts stand-ins for the steps and calls them."""

import json
import time

import anyio
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.upstreams.engine import EngineClient, GenerateCall
from apricotlift.upstreams.kvstore import StoreClient
from apricotlift.upstreams.pool import Pool, Timeouts

from standins.processes import Processes

BOUND_S = 30.0
N_TOKENS = 12


def start(context, name: str, module: str, *options: str):
    if not hasattr(context, "processes"):
        context.processes = Processes()
        context.add_cleanup(context.processes.stop_all)
        context.addresses = {}
        context.metrics = Metrics()
        context.n_attempts = 0
    process = context.processes.start_module(name, module, "--name", name, *options)
    context.addresses[name] = process.get_address(name)
    return process


def start_proxy(context, target: str) -> None:
    listeners = f"front={context.addresses[target]}"
    process = context.processes.start_module(
        "proxy", "standins.proxy", "--listeners", listeners
    )
    context.addresses["proxy"] = process.get_address("control")
    context.addresses[target + " direct"] = context.addresses[target]
    context.addresses[target] = process.get_address("front")


def post(context, name: str, path: str, data: object) -> None:
    async def run():
        async with Pool() as pool:
            url = f"http://{context.addresses[name]}{path}"
            response = await pool.request("POST", url, body=json.dumps(data).encode())
            assert response.status == 200, response

    anyio.run(run)


def read(context, name: str, path: str = "/truth") -> dict:
    async def run():
        async with Pool() as pool:
            url = f"http://{context.addresses[name]}{path}"
            return json.loads((await pool.request("GET", url)).body)

    return anyio.run(run)


def attempt(context, action):
    """Run an action with a pool and keep its result or its error."""
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


def build_call(context, prompt: str, **options) -> GenerateCall:
    context.n_attempts += 1
    values = {"cache_salt": "s", **options}
    name = f"{context.n_attempts:024x}.0.1"
    return GenerateCall(name, "wax@v1", prompt, N_TOKENS, **values)


async def collect(context, stream) -> None:
    async for chunks in stream.iterate():
        for chunk in chunks:
            assert chunk.offset == len(context.answer), (chunk, context.answer)
            context.answer += chunk.text
            context.usage = chunk.usage


def run_prompt(context, call: GenerateCall, during=None) -> None:
    context.call = call
    context.answer = call.continue_text

    async def action(pool):
        engine = build_engine(context, pool)
        async with engine.generate(call, Timeouts()) as stream:
            if during is not None:
                await during(engine, pool)
            await collect(context, stream)

    attempt(context, action)


def wait_until(check) -> None:
    deadline = time.monotonic() + BOUND_S
    while not check():
        assert time.monotonic() < deadline, "the state was not reached"
        time.sleep(0.02)


def run_blocks(context, blocks: str, salt: str) -> None:
    names = tuple(blocks.split())
    prompt = "".join(name.ljust(4000, "x") for name in names) + "tail"
    call = build_call(context, prompt, cache_salt=salt, prefix_blocks=names)
    run_prompt(context, call)
    assert context.error is None, context.error
