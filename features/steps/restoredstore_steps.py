"""Steps with a store that comes back from a copy."""

from behave import given, then, when

from features.forwardingfleet import (
    build_configuration,
    post_control,
    put_row,
    put_server,
    read_server_records,
)

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
