"""Steps with weight versions that the operator names."""

import json
import time

from behave import given, when

from features.forwardingfleet import (
    put_row,
    put_server,
    send_client_request,
    send_http_request,
    start_node,
)


def name_version(context, version):
    """Write the operator's row as the operator does."""
    put_row(context, "op", "version/m", {"model": "m", "version": version})


@given(
    'the server "{old}" has version {older:d} of the weights, and "{new}" version '
    "{newer:d}"
)
def step_loaded(context, old, older, new, newer):
    for server, version in ((old, older), (new, newer)):
        order = json.dumps({"model": "m", "version": version}).encode()
        send_http_request(context.servers[server], "POST", "/order", body=order)
        put_server(context, server, context.servers[server], weights=version)
        for node in context.nodes.values():
            node.wait_for_event("server_changed", server=server, weights={"m": version})


@when('the operator names the versions "{versions}", which all nodes learn of')
def step_name(context, versions):
    for version in versions.split(", "):
        name_version(context, int(version))
        for node in context.nodes.values():
            node.wait_for_event("weights_named", version=int(version))


@when("all nodes are killed {pause_s:g} s later")
def step_kill_all(context, pause_s):
    time.sleep(pause_s)
    for node in context.nodes.values():
        node.kill()


@when("the operator's row names version {version:d} again")
def step_row_goes_back(context, version):
    name_version(context, version)


@when('the nodes "{names}" start again')
def step_start_again(context, names):
    for name in names.split(", "):
        start_node(context, name)


@when('a client sends {n:d} prompts to "{first}" and "{second}"')
def step_prompts(context, n, first, second):
    for number in range(n):
        node = (first, second)[number % 2]
        status, *_ = send_client_request(context, node, "POST", "/long/a", "stream:3")
        assert status == 200, status
