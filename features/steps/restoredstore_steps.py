"""Steps with a store that comes back from a copy."""

import json
import time

from behave import given, then, when

from features.forwardingfleet import (
    HOST,
    build_configuration,
    get_address,
    post_control,
    put_row,
    put_server,
    read_server_records,
    send_http_request,
    start_node,
    start_servers,
)
from features.waiting import wait_until

_DRAINING = "draining"


@given("a copy of the store was taken")
def step_copy(context):
    post_control(context, "/_fault", {"copy": True})


@given('the node "{name}" has seen {n:d} more rows of the operator')
def step_more_rows(context, name, n):
    put_notes(context, n - 1)
    put_row(context, "op", "version/other", {"model": "other", "version": 1})
    context.nodes[name].wait_for_event("weights_named", model="other")


def put_notes(context, n):
    """Write rows of the operator that mean nothing to nodes."""
    for number in range(n):
        put_row(context, "op", f"note/{number}", {})


@when("the store comes back from the copy")
def step_restore(context):
    post_control(context, "/_fault", {"restore": True})


@when(
    "the store comes back from the copy with configuration {version:d}, the route "
    '"{prefix}" and {n:d} more rows'
)
def step_restore_and_write(context, version, prefix, n):
    post_control(context, "/_fault", {"mode": "refuse", "restore": True})
    put_row(context, "op", "config", build_configuration(version, [prefix]))
    put_notes(context, n)
    post_control(context, "/_fault", {"mode": "none"})


@when('the server "{server}" starts to drain')
def step_drain(context, server):
    put_server(context, server, context.servers[server], state=_DRAINING)
    for node in context.nodes.values():
        node.wait_for_event("server_changed", server=server, state=_DRAINING)


@then('the node "{name}" logs that the store was restored as era {era:d}')
def step_restored(context, name, era):
    node = context.nodes[name]
    line = node.wait_for_event("store_restored", era=era)
    assert line["previous"] == era - 1, line
    for table in line["tables"]:
        node.wait_for_event("table_read_again", table=table, era=era)


@then('the server "{server}" received no request')
def step_no_request(context, server):
    seen = [entry["server"] for entry in read_server_records(context)["seen"]]
    assert seen and server not in seen, seen


@given('a store, {n:d} servers, a copy of the store, and the nodes "{names}"')
def step_store_copied_first(context, n, names):
    context.ports = {}
    context.nodes = {}
    store = context.processes.start_module("rowstore", "standins.rowstore")
    context.store_address = store.get_address()
    servers = [f"i-{number}" for number in range(1, n + 1)]
    context.servers = start_servers(context, "opaque", servers, n)
    put_row(context, "op", "config", build_configuration(5))
    for server, address in context.servers.items():
        put_server(context, server, address)
    step_copy(context)
    for name in names.split(", "):
        start_node(context, name)
    for name in context.nodes:
        wait_until(lambda name=name: count_listed(context, name) == len(context.nodes))


def count_listed(context, name):
    target = f"/resolve?name={HOST}&region=r&zone=z1"
    address = get_address(context, name, "directory")
    status, _, body = send_http_request(address, "GET", target)
    return len(json.loads(body)["addresses"]) if status == 200 else 0


def read_keys(context, part):
    target = f"/rows-get?table=apricotlift&part={part}&limit=500"
    status, _, body = send_http_request(context.store_address, "GET", target)
    return (
        sorted(row["key"] for row in json.loads(body)["rows"]) if status == 200 else []
    )


@then("the store soon has the nodes' member rows, lease row and cluster secret")
def step_rows_again(context):
    expected = {
        "member": sorted(context.nodes),
        "orders": ["weights"],
        "cluster": ["secret"],
    }
    for part, keys in expected.items():
        wait_until(lambda part=part, keys=keys: read_keys(context, part) == keys, 10.0)


@then('the directories of "{names}" list {n:d} nodes for {seconds:d} seconds')
def step_listed_for(context, names, n, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for name in names.split(", "):
            n_listed = count_listed(context, name)
            assert n_listed == n, (name, n_listed)
        time.sleep(0.1)


@then('the directories of "{names}" list {n:d} nodes after "{started}" has started')
def step_listed_after_start(context, names, n, started):
    start_node(context, started)
    for name in names.split(", "):
        wait_until(lambda name=name: count_listed(context, name) == n, 20.0)
