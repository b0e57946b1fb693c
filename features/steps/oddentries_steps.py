"""Steps of entries and rows that another program wrote."""

import base64
import json
import time

from behave import then, when

from features.forwardingfleet import (
    get_address,
    post_control,
    put_row,
    put_server,
    send_client_request,
    send_http_request,
    start_node,
)
from features.waiting import wait_until

_N_REQUESTS = 6
_RAW_ENTRIES = {
    "as bytes nested too deeply": b"[" * 60_000,
    "as bytes that aren't text": b"\xff\xfe\x00{",
}
#: Fields of the row that the store sends in place of the right ones.
_ODD_FIELDS = {
    "in a row without a key": {"key": None},
    "in a row whose key is a lone surrogate": {"key": "\ud800"},
    "in a row whose value isn't base64": {"value": "%%%"},
    "in a row whose version is infinite": {"recordVersion": float("inf")},
}


def build_entry(context):
    return {
        "service": "svc",
        "address": context.servers["i-1"],
        "zone": "z1",
        "version": 1,
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "seq": 0,
        "born": 1,
        "models": [{"name": "m", "version": 1}],
    }


@when('another program writes the entry "odd" of a server {fault}')
def step_write_entry(context, fault):
    entry = build_entry(context)
    text = json.dumps(entry)
    key = "odd"
    if fault.startswith("with the "):
        _, _, name, value = fault.split(" ", 3)
        text = json.dumps({**entry, name: "(odd)"})
        text = text.replace('"(odd)"', value.replace("(4000 digits)", "9" * 4000))
    elif fault.startswith("without "):
        lacking = fault.removeprefix("without ").split(", ")
        entry = {name: entry[name] for name in entry if name not in lacking}
        text = json.dumps(entry)
    elif fault.startswith("under an id"):
        key = "i-\u4e2d"
    raw = _RAW_ENTRIES.get(fault, text.encode())
    data = {"table": "servers", "key": key, "raw": base64.b64encode(raw).decode()}
    post_control(context, "/_put", {**data, "odd_fields": _ODD_FIELDS.get(fault, {})})


@when('another program writes the row "{key}" of "{table}" as {value}')
def step_write_row(context, key, table, value):
    part, _, name = key.rpartition("/")
    if table == "op":
        part, name = "", key
    raw = base64.b64encode(value.encode()).decode()
    post_control(
        context, "/_put", {"table": table, "part": part, "key": name, "raw": raw}
    )


@when('{seconds:d} seconds pass for "{node}"')
def step_seconds_pass(context, seconds, node):
    time.sleep(seconds)


@when('the node "{node}" starts again')
def step_start_again(context, node):
    start_node(context, node)


@then('"{node}" orders the servers "{names}" to load weights')
def step_orders(context, node, names):
    for name in names.split(", "):
        context.nodes[node].wait_for_event("order_sent", server=name)


@then('"{node}" serves requests and notices a server that is added and removed')
def step_follows(context, node):
    process = context.nodes[node]
    context.n_added = getattr(context, "n_added", 0) + 1
    name = f"added-{context.n_added}"
    put_server(context, name, context.servers["i-1"])
    process.wait_for_event("server_added", server=name)
    put_row(context, "servers", name, None)
    process.wait_for_event("server_dropped", server=name)
    for _ in range(_N_REQUESTS):
        status, _, _ = send_client_request(context, node, "GET", "/lookup/a")
        assert status == 200, status
    assert process.popen.poll() is None, process.popen.returncode


@then('"{node}" has counted the odd row as "{counter}" and logged "{event}"')
def step_counted(context, node, counter, event):
    address = get_address(context, node, "metrics")

    def is_counted():
        _, _, text = send_http_request(address, "GET", "/metrics")
        return f'apricotlift_{counter}{{table="servers"}}'.encode() in text

    wait_until(is_counted)
    context.nodes[node].wait_for_event(event)
