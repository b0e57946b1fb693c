from apricotlift.core.errors import ApricotliftError, Ran
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.admission import check_engine_memory, choose_engine_priority
from apricotlift.forwarding.engineloads import EngineLoad
from apricotlift.forwarding.entities import (
    ClientRequest,
    Configuration,
    Engine,
    Prompt,
    PromptPart,
    Route,
    Server,
)
from apricotlift.forwarding.placement import EngineChoice
from apricotlift.forwarding.servers import BREAKER_SETTINGS, ServerHandle
from apricotlift.policy.breaker import Breaker
from apricotlift.upstreams.persistentconnections import PersistentConnections
from behave import given, then, when

_TIMEOUT_S = 5.0


def build_route(name, priority):
    return Route(
        name,
        "host",
        f"/{name}/",
        is_stream=True,
        is_repeatable=False,
        is_resumable=False,
        shares=(("svc", 1.0),),
        timeout_s=_TIMEOUT_S,
        priority=priority,
    )


@given("engines with memory for {n:d} tokens and routes of priority 0 and 1")
def step_engines(context, n):
    context.engine = Engine(kv_capacity_tokens=n)
    context.routes = {p: build_route(f"r{p}", p) for p in (0, 1)}
    context.choices = []


def add_engine(context, n_own=0, is_avoided=False):
    address = f"10.0.0.{len(context.choices)}:80"
    server = Server(address, "svc", address, "z1", weights={"m": 1})
    connections = PersistentConnections(address, 4, Metrics())
    handle = ServerHandle(server, connections, Breaker(BREAKER_SETTINGS))
    load = EngineLoad(n_own=n_own)
    context.choices.append(EngineChoice(handle, 1, load, is_avoided=is_avoided))


@given("running requests use {n:d} tokens of each engine's memory")
def step_running(context, n):
    context.choices = []
    for _ in range(2):
        add_engine(context, n)


@given("one engine is idle")
def step_idle(context):
    add_engine(context)


@given("one engine is idle and refuses work")
def step_idle_refusing(context):
    add_engine(context, is_avoided=True)


def check_admission(context, n_tokens, priority, is_resubmission=False):
    prompt = Prompt("m", (PromptPart("own", n_tokens),), n_tokens, 0)
    context.request = ClientRequest(
        "id1",
        "POST",
        "/r/a",
        (),
        b"",
        context.routes[priority],
        None,
        received_at=100.0,
        deadline_at=100.0 + _TIMEOUT_S,
        client_deadline_at=100.0 + _TIMEOUT_S,
        prompt=prompt,
    )
    configuration = Configuration(1, tuple(context.routes.values()))
    context.error = None
    try:
        check_engine_memory(
            context.request,
            "svc",
            context.engine,
            configuration,
            context.choices,
            is_resubmission,
        )
    except ApricotliftError as error:
        context.error = error


@when("a prompt of {n:d} tokens with priority {priority:d} is checked for admission")
def step_check(context, n, priority):
    check_admission(context, n, priority)


@when(
    "a prompt of {n:d} tokens with priority {priority:d} is checked again after a refusal"
)
def step_check_again(context, n, priority):
    check_admission(context, n, priority, is_resubmission=True)


@then("it is admitted")
def step_admitted(context):
    assert context.error is None, context.error


@then('it is refused as "{code}" with a retry time')
def step_refused(context, code):
    assert context.error is not None
    assert context.error.code == code, context.error
    assert context.error.ran is Ran.NO
    assert context.error.retry_after_s > 0


@then("its priority at the engine is {priority:d}")
def step_priority(context, priority):
    found = choose_engine_priority(context.request, is_resubmission=True)
    assert found == priority, found
