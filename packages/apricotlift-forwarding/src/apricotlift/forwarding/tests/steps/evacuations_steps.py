"""Steps with evacuated failure domains; rows are applied as the feeds pass them on."""

from random import Random
from types import SimpleNamespace

from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.entities import Configuration, Route, Service
from apricotlift.forwarding.feeds import RowSet
from apricotlift.forwarding.overlappedcalls import Answer
from apricotlift.forwarding.servers import ServerHandles
from apricotlift.forwarding.serverselection import choose_service, choose_target
from apricotlift.forwarding.settings import RegionsModel
from apricotlift.forwarding.tests.forwarding_fakes import build_row
from apricotlift.forwarding.tests.steps.restoredstore_steps import (
    build_state,
    see_new_era,
)
from behave import given, then, when

#: Row versions before the restore, and in the copy and after it.
_SEEN_VERSION = 90
_COPY_VERSION = 50


@given('a node with the servers "{servers}", cold for {cold_s:d} seconds after a start')
def step_node(context, servers, cold_s):
    build_state(context)
    context.era = 1
    context.version = _SEEN_VERSION
    context.cold = []
    state = context.state
    state.note_cold = lambda server, seconds: context.cold.append(
        (server.server_id, seconds)
    )
    services = {name: Service(name, cold_s=cold_s) for name in ("svc", "old")}
    state.apply_configuration(Configuration(1, services=services))
    list_servers(context, servers)
    apply_operator(context, [], is_full=True)


def list_servers(context, servers, service="svc"):
    rows = []
    for item in servers.split(", "):
        name, domain = item.split(" in ")
        context.n_writes = getattr(context, "n_writes", 0) + 1
        entry = {"service": service, "domain": domain, "weights": {"m": 1}}
        # The weights differ, so that a further write is a change of the entry.
        entry["weights"]["x"] = context.n_writes
        rows.append(build_row(name, entry))
    context.state._apply_servers(RowSet(tuple(rows), 1), False)


def apply_operator(context, rows, is_full=False):
    row_set = RowSet(tuple(rows), context.version, is_full, era=context.era)
    context.state._apply_operator(row_set, is_full)


def write_row(context, domain, value):
    context.version += 1
    row = build_row(f"evacuate/{domain}", value, context.version)
    apply_operator(context, [row])


@given('the operator has evacuated "{domain}"')
@when('the operator evacuates "{domain}"')
def step_evacuate(context, domain):
    write_row(context, domain, {})


@when("the operator removes the row")
def step_remove(context):
    write_row(context, "z1", None)


@when("the whole table is read without the row")
def step_read_without(context):
    apply_operator(context, [], is_full=True)


@when("the whole table is read without the row after an outage")
def step_read_after_outage(context):
    feed = context.state.operator_feed
    error = ApricotliftError(Code.TABLE_UNAVAILABLE, "refused")
    feed._note_error(error, context.clock())
    context.clock.now += 5
    feed._note_success(Answer(RowSet((), 1), context.clock()))
    apply_operator(context, [], is_full=True)


@when("the store comes back from a copy {content} the row")
def step_restore(context, content):
    see_new_era(context)
    context.era += 1
    context.version = _COPY_VERSION
    row = build_row("evacuate/z1", {}, _COPY_VERSION)
    apply_operator(context, [row] if content == "with" else [], is_full=True)


@when('a poll shows the removal of an earlier row of "{domain}"')
def step_late_poll(context, domain):
    row = build_row(f"evacuate/{domain}", None, context.version - 1)
    apply_operator(context, [row])


@when("{seconds:g} s have passed")
def step_pass(context, seconds):
    context.clock.now += seconds


@when('{seconds:g} s have passed and the server "{server}" is listed')
def step_listed(context, seconds, server):
    context.clock.now += seconds
    list_servers(context, server)


@given('the servers "{servers}" of another service "{service}"')
def step_other_service(context, servers, service):
    list_servers(context, servers, service)


@then('requests may go to "{names}"')
def step_requests(context, names):
    servers = context.state.list_request_servers("svc")
    found = sorted(server.server_id for server in servers)
    assert found == names.split(", "), found


@then('the servers "{names}" are listed')
def step_are_listed(context, names):
    found = sorted(server.server_id for server in context.state.list_servers("svc"))
    assert found == names.split(", "), found


@then('"{name}" is still ordered to load weights')
def step_ordered(context, name):
    context.state._apply_weights("m", 2)
    outdated = context.state.list_outdated_engines()
    assert name in [server.server_id for server, _, _ in outdated], outdated


@then('"{names}" counts as cold for {seconds:g} s')
@then('"{names}" count as cold for {seconds:g} s')
def step_cold(context, names, seconds):
    expected = [(name, seconds) for name in names.split(", ")]
    assert context.cold == expected, context.cold


def build_node(context):
    return SimpleNamespace(
        routing_state=context.state,
        handles=ServerHandles(Metrics(), lambda service: 4, context.clock),
        drain_time_s=2.0,
        failure_domain="z1",
        random=Random(1),
        metrics=Metrics(),
        settings=SimpleNamespace(regions=RegionsModel()),
    )


def build_request(shares=()):
    route = Route("r", "h", "/", False, True, False, shares)
    return SimpleNamespace(route=route, account=None)


@then('a request is refused as not run, with a retry time, naming "{domains}"')
def step_refused(context, domains):
    request = build_request()
    request_state = SimpleNamespace(
        request=request, service=Service("svc"), tried_server_ids=set()
    )
    try:
        choose_target(build_node(context), request_state)
    except ApricotliftError as error:
        assert (error.code, error.ran) == (Code.NO_UPSTREAM, Ran.NO), error
        assert error.retry_after_s > 0 and domains in error.message, error
    else:
        raise AssertionError("the request was not refused")


@then('a route with the shares "{shares}" uses only the service "{wanted}"')
def step_service(context, shares, wanted):
    pairs = [item.split("=") for item in shares.split(", ")]
    request = build_request(tuple((name, float(weight)) for name, weight in pairs))
    node = build_node(context)
    found = {choose_service(node, request).name for _ in range(50)}
    assert found == {wanted}, found
