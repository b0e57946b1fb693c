from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.cacheindex import CacheIndex, HeldParts, Holder
from apricotlift.forwarding.entities import Configuration, Server
from apricotlift.forwarding.placement import compute_cache_salt
from apricotlift.forwarding.routingstate import RoutingState
from apricotlift.forwarding.storecleaner import StoreCleaner
from apricotlift.forwarding.tests.forwarding_fakes import Clock, build_dialect
from behave import given, then, when


@given(
    "a store with parts of version {old:d} and of version {new:d}, and engines on "
    "version {loaded:d}"
)
def step_store(context, old, new, loaded):
    context.clock = Clock()
    metrics = Metrics()
    routing_state = RoutingState(build_dialect(), None, metrics, context.clock)
    routing_state.apply_configuration(Configuration(1))
    routing_state._apply_weights("m", new)
    for name in ("a", "b"):
        server = Server(name, "svc", "10.0.0.1:80", "z", weights={"m": loaded})
        routing_state.servers[name] = server
    index = CacheIndex("n", build_dialect(), list, lambda: ["n"], metrics)
    context.held = HeldParts(Holder("10.0.1.0:80", "z", 10_000, 8, True), boot=1)
    for version in (old, new):
        context.held.set_tokens(
            (compute_cache_salt("m", version, None), "p"), 100, context.clock()
        )
    context.routing_state = routing_state
    context.store_cleaner = StoreCleaner(
        "n",
        build_dialect(),
        routing_state,
        index,
        lambda: ["n"],
        metrics,
        context.clock,
    )


@given("one engine is still on version {version:d}")
def step_engine(context, version):
    server = Server("a", "svc", "10.0.0.1:80", "z", weights={"m": version})
    context.routing_state.servers["a"] = server


@when("the store is checked, {seconds:d} seconds pass and it is checked again")
def step_check_twice(context, seconds):
    assert not context.store_cleaner.list_unused_parts(context.held)
    context.clock.now += seconds
    context.found = context.store_cleaner.list_unused_parts(context.held)


@when(
    "the store is checked, restarts, {seconds:d} seconds pass and it is checked again"
)
def step_check_after_restart(context, seconds):
    context.store_cleaner.list_unused_parts(context.held)
    context.clock.now += 5
    context.held.boot = 2
    context.store_cleaner.list_unused_parts(context.held)
    context.clock.now += seconds
    context.found = context.store_cleaner.list_unused_parts(context.held)


@then("the parts of version {version:d} only are freed")
def step_freed(context, version):
    assert context.found == [(compute_cache_salt("m", version, None), "p")], (
        context.found
    )


@then("nothing is freed")
def step_nothing_freed(context):
    assert not context.found, context.found
