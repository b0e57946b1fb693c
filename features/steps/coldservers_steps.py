"""Steps for servers that have just started."""

import time

from behave import given, then, when

from features.forwardingfleet import (
    build_configuration,
    put_row,
    send_client_request,
)


@given("cold servers tolerate {n:d} requests a second for {seconds:d} s")
def step_limit(context, n, seconds):
    configuration = build_configuration(6)
    configuration["services"][0] |= {"coldPerS": n, "coldS": seconds}
    put_row(context, "op", "config", configuration)
    for node in context.nodes.values():
        node.wait_for_event("configuration_applied", version=6)


@when("the entry of the first server says that it is cold")
def step_cold_entry(context):
    entry = {
        "service": "svc",
        "address": context.servers["i-1"],
        "zone": "z1",
        "slots": 8,
        "state": "ready",
        "born": 1,
        "models": [{"name": "m", "version": 1}],
        "coldRemainingMs": 60_000,
        "version": 1,
        "seq": 1,
    }
    put_row(context, "servers", "i-1", entry)
    for node in context.nodes.values():
        node.wait_for_event("server_cold", server="i-1", source="entry")


@when("both nodes have been in contact for the settling time")
def step_settled(context):
    for node in context.nodes.values():
        node.wait_for_event("warmup_contact", is_in_contact=True)
    time.sleep(11.0)


@when('clients get "{target}" from both nodes for {seconds:d} s')
def step_get(context, target, seconds):
    context.statuses = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for node in context.nodes:
            status, *_ = send_client_request(context, node, "GET", target)
            context.statuses.append(status)


@then("{least:d} to {most:d} of them get the response")
def step_got(context, least, most):
    n_served = context.statuses.count(200)
    assert least <= n_served <= most, n_served
    assert set(context.statuses) == {200, 503}, set(context.statuses)
