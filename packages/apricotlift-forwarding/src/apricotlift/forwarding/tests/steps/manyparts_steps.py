"""Steps with prompts of many parts; only the processor time of the work counts."""

import random
import time
from types import SimpleNamespace

from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.cacheindex import CacheIndex, HeldParts, Holder
from apricotlift.forwarding.crashevidence import CrashEvidence
from apricotlift.forwarding.crashreports import list_part_keys
from apricotlift.forwarding.engineloads import EngineLoads
from apricotlift.forwarding.entities import Engine, Prompt, PromptPart, Server
from apricotlift.forwarding.placement import (
    EngineChoice,
    choose_placement,
    choose_save_stores,
    compute_cache_salt,
    mark_expected_parts,
)
from apricotlift.forwarding.servers import BREAKER_SETTINGS, ServerHandle
from apricotlift.forwarding.tests.forwarding_fakes import Clock, build_dialect
from apricotlift.policy.breaker import Breaker
from apricotlift.upstreams.persistentconnections import PersistentConnections
from behave import given, then, when

_MODEL = "m"
_SALT = compute_cache_salt(_MODEL, 1, None)
_N_DOMAINS = 8
_ENGINE = Engine(kv_capacity_tokens=45_000)
_STORE_TOKENS = 800_000
_N_HELD_PARTS = 2100


@given(
    "{n_engines:d} engines and {n_stores:d} stores, of which {holding} hold the parts of "
    "a prompt"
)
def step_fleet(context, n_engines, n_stores, holding):
    context.clock = Clock()
    context.index = CacheIndex(
        "n1", build_dialect(), list, lambda: ["n1"], Metrics(), context.clock
    )
    context.handles = []
    context.seconds = []
    for number in range(n_engines):
        domain = f"z{number % _N_DOMAINS}"
        address = f"10.0.{number // 250}.{number % 250}:80"
        server = Server(f"e{number}", "llm", address, domain, weights={_MODEL: 1})
        connections = PersistentConnections(address, 4, Metrics())
        breaker = Breaker(BREAKER_SETTINGS)
        context.handles.append(ServerHandle(server, connections, breaker))
        add_holder(context, Holder(address, domain, 45_000, 96, is_store=False))
    for number in range(n_stores):
        domain = f"z{number % _N_DOMAINS}"
        holder = Holder(f"10.1.0.{number}:80", domain, _STORE_TOKENS, 96, is_store=True)
        add_holder(context, holder)
    rng = random.Random(1)
    for held in context.index.held.values():
        for part in build_prompt("own", _N_HELD_PARTS).parts:
            if holding == "all" or (holding == "some" and rng.random() < 0.5):
                held.set_tokens((_SALT, part.part_id), 1, context.clock())


def add_holder(context, holder):
    context.index.held[holder.address] = HeldParts(holder, is_current=True)


def build_prompt(name, n_parts):
    parts = tuple(PromptPart(f"{name}-{number}", 1) for number in range(n_parts))
    return Prompt(_MODEL, parts, n_parts, 10)


def place(context, prompt):
    """Place a prompt, save and expect its parts, and note the time that this takes."""
    choices = [EngineChoice(handle, 1) for handle in context.handles]
    started = time.process_time()
    now = context.clock()
    placement = choose_placement(
        prompt, None, _ENGINE, choices, context.index, now, random.Random(1)
    )
    choose_save_stores(placement, prompt, context.index, now)
    mark_expected_parts(placement, prompt, context.index)
    context.seconds.append(time.process_time() - started)
    return placement


@given("{n:d} earlier prompts of {n_parts:d} other parts were placed")
def step_earlier(context, n, n_parts):
    for number in range(n):
        place(context, build_prompt(f"earlier-{number}", n_parts))


@when("a prompt of {n_parts:d} parts is placed")
def step_place(context, n_parts):
    context.prompt = build_prompt("own", n_parts)
    context.placement = place(context, context.prompt)


@then("no prompt took more than {limit_ms:d} ms of processor time")
def step_time(context, limit_ms):
    found_ms = [round(seconds * 1000, 1) for seconds in context.seconds]
    assert max(found_ms) <= limit_ms, found_ms


@given("{n:d} crashes of engines that each had the same {n_parts:d} parts")
def step_crashes(context, n, n_parts):
    context.clock = Clock()
    context.evidence = CrashEvidence(context.clock)
    context.prompt = build_prompt("crash", n_parts + 1)
    parts = {key: at for at, key in enumerate(list_part_keys(context.prompt))}
    for number in range(n):
        context.evidence.add_crash((f"e{number}", 1, "10.0.0.1:80"), parts)
        context.clock.now += 5.0


@when("a prompt with these parts is checked")
def step_check(context):
    started = time.process_time()
    for key in list_part_keys(context.prompt):
        context.evidence.is_refused(key)
    context.seconds = [time.process_time() - started]


@then("each engine is expected to hold at most {n_max:d} parts")
def step_expected(context, n_max):
    counts = [len(held.expected) for held in context.index.held.values()]
    assert 0 < max(counts) <= n_max, counts


def count_room(context):
    return sum(
        held.count_free_tokens(context.clock()) for held in context.index.list_stores()
    )


@then("the store has less room than before")
def step_less_room(context):
    assert count_room(context) < _STORE_TOKENS


@when("{seconds:g} seconds pass without a report")
def step_no_report(context, seconds):
    context.clock.now += seconds


@then("the store has as much room as before")
def step_same_room(context):
    assert count_room(context) == _STORE_TOKENS
    assert not any(held.pending for held in context.index.list_stores())


@then("it reuses the tokens of {n:d} parts and computes the rest")
def step_reuses(context, n):
    found = context.placement
    assert (found.n_reused, found.n_fetched) == (n, 0), found
    assert found.n_read == context.prompt.n_tokens - n, found.n_read
    assert len(found.fetch) == len(context.prompt.parts)


@then("its load counts all of its tokens")
def step_load(context):
    own = SimpleNamespace(node_id="n1")
    loads = EngineLoads(
        SimpleNamespace(own=own), lambda *_: None, lambda _: None, lambda _: None
    )
    prompt = context.prompt
    server = context.placement.handle.server
    note = loads.begin(server, _SALT, prompt.shared_parts, 1, prompt.n_own)
    n_used = loads.get_load(server.server_id).n_used_tokens
    assert n_used == prompt.n_tokens + prompt.n_output_tokens, n_used
    loads.end(note)
    assert not loads.get_load(server.server_id).n_used_tokens
