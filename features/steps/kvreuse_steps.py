"""Steps for cache blocks that are fetched from a store."""

import random
import time

from behave import given, then, when

BLOCK_CHARACTERS = 4000
BLOCK_BYTES = 65_536
WAIT_S = 30.0
SEED = 7


def _wait_until(check):
    deadline = time.monotonic() + WAIT_S
    while not check():
        assert time.monotonic() < deadline, (
            f"the state was not reached within {WAIT_S} s"
        )
        time.sleep(0.05)


def _build_prompt(n_blocks):
    source = random.Random(SEED)
    digits = "".join(f"{source.getrandbits(64):016x}" for _ in range(n_blocks * 250))
    # The prompt ends with a partial block.
    return digits[: n_blocks * BLOCK_CHARACTERS] + " and a question"


def _read_cached(context, engine):
    return context.fleet.read_truth(engine)["ran"][-1]["cached"]


def _read_exported_bytes(context, node):
    metrics = context.fleet.read_metrics(node)
    return metrics.get('apricotlift_link_bytes_total{kind="export"}', 0)


@given("cost weights with which a fetch is always cheaper than recomputation")
def declare_weights(context):
    context.fleet.sections.append(
        "[fleet]\nw_ttft = 0.001\nw_recompute = 1\nw_link = 0\n"
        f"kv_bytes_per_token = {BLOCK_BYTES // 1000}\n"
    )


@given('a store "{name}"')
def start_store(context, name):
    process = context.processes.start_module(
        name, "standins.kvstore", "--name", name, "--link-bytes-per-s", "1e8"
    )
    context.fleet.addresses[name] = process.get_address()
    context.fleet.sections.append(
        f"[store {name}]\naddress = {context.fleet.addresses[name]}\n"
        "failure_domain = z2\nlink_bytes_per_s = 1e8\n"
    )


@given('account "{account}" has sent a prompt of {n:d} blocks to "{node}"')
@when('account "{account}" sends the prompt of {n:d} blocks to "{node}"')
def send_blocks(context, account, n, node):
    context.prompt = _build_prompt(n)
    context.answer = context.fleet.send_completion(node, account, context.prompt)


@given('store "{name}" holds {n:d} blocks')
def wait_for_blocks(context, name, n):
    def count():
        operations = context.fleet.read_truth(name)["operations"]
        return len({item["block"] for item in operations if item["operation"] == "put"})

    _wait_until(lambda: count() == n)
    _wait_until(lambda: _read_exported_bytes(context, "n1") >= n * BLOCK_BYTES * 0.9)


@given('engine "{name}" has lost its cache')
def clear_cache(context, name):
    context.fleet.request(name, "POST", "/kv/clear", body={})


@given('store "{name}" is unavailable')
def break_store(context, name):
    context.fleet.set_faults(name, unavailable=True)


@then('the last attempt on "{engine}" found {n:d} blocks in the cache')
def check_cached(context, engine, n):
    cached = _read_cached(context, engine)
    assert len(cached) == n, cached


@then("no attempt used a block of another account")
def check_salts(context):
    for engine in context.engines:
        for attempt in context.fleet.read_truth(engine)["ran"]:
            for block in attempt["cached"]:
                assert block["stored_salt"] == attempt["salt"], attempt


@then('node "{node}" counts a failed fetch')
def check_failed_fetch(context, node):
    metrics = context.fleet.read_metrics(node)
    failed = [name for name in metrics if "fetches_failed_total" in name]
    assert failed, sorted(metrics)
