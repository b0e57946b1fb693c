"""Steps of servers that leave or ask for a pause."""

import re
import time

from behave import then, when

from features.forwardingfleet import (
    get_address,
    put_row,
    put_server,
    read_server_records,
    send_client_request,
    send_http_request,
)
from features.waiting import wait_until

#: A pause begins when the server has answered, shortly after the recorded arrival; the
#: tolerance only covers the resolution of the clocks.
_TIME_TOLERANCE_S = 0.01


def read_arrivals(context):
    """Return the name of the server that got the first request, and all arrivals."""
    seen = read_server_records(context)["seen"]
    return seen[0]["server"], seen


def list_waits_s(seen, name):
    """Return the times from a server's first request to each later one, in seconds."""
    times = [entry["at"] for entry in seen if entry["server"] == name]
    return [at - times[0] for at in times[1:]]


def count_events(context, node, event, **wanted):
    return sum(
        line["event"] == event
        and all(line.get(key) == value for key, value in wanted.items())
        for line in context.nodes[node].read_log()
    )


@when("the drain time of {drain_s:g} s is over")
def step_drain_time_over(context, drain_s):
    time.sleep(drain_s)


@when(
    'the entry of the first server is removed until "{node}" has dropped its connections'
)
def step_remove_entry(context, node):
    name, _ = read_arrivals(context)
    put_row(context, "servers", name, None)
    context.nodes[node].wait_for_event("server_forgotten", server=name)


@when("the entry of the first server comes back")
def step_entry_back(context):
    name, _ = read_arrivals(context)
    put_server(context, name, context.servers[name])
    wait_until(lambda: count_events(context, "n1", "server_added", server=name) == 2)


@when("the other server starts to drain")
def step_drain_other_server(context):
    first, _ = read_arrivals(context)
    (other,) = (name for name in context.servers if name != first)
    put_server(context, other, context.servers[other], state="draining")
    context.nodes["n1"].wait_for_event("server_changed", server=other, state="draining")


@when("the first server is listed with a later start")
def step_later_start(context):
    name, _ = read_arrivals(context)
    put_server(context, name, context.servers[name], boot_number=2)
    context.nodes["n1"].wait_for_event("server_changed", server=name)


@when('clients post "{target}" {n:d} times with the script "{script}" to "{node}"')
def step_post_streams(context, target, n, script, node):
    context.responses = [
        send_client_request(context, node, "POST", target, script, body=b"body")
        for _ in range(n)
    ]


@when('clients get "{target}" from "{node}" for {seconds:g} seconds')
def step_get_for_a_time(context, target, node, seconds):
    context.responses = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        response = send_client_request(context, node, "GET", target)
        context.responses.append((context.request_id, response))
        time.sleep(0.02)


@then("the first server received {n:d} request")
@then("the first server received {n:d} requests")
def step_first_server_received(context, n):
    name, seen = read_arrivals(context)
    found = [entry["server"] for entry in seen]
    assert found.count(name) == n, (name, found)


@then("each of these clients gets the events {first:d} to {last:d} once each")
def step_all_streams_complete(context, first, last):
    for status, _, body in context.responses:
        found = [int(number) for number in re.findall(rb"id: (\d+)\n", body)]
        assert status == 200 and found == list(range(first, last + 1)), (status, found)


@then("the first server got no request for {pause_s:g} seconds, and one after that")
def step_no_request_for(context, pause_s):
    name, seen = read_arrivals(context)
    waited_s = list_waits_s(seen, name)
    assert len(waited_s) == 1, waited_s
    assert waited_s[0] > pause_s - _TIME_TOLERANCE_S, waited_s


@then("no server got a second request for {pause_s:g} seconds")
def step_no_server_got_request_for(context, pause_s):
    _, seen = read_arrivals(context)
    for name in context.servers:
        waited_s = list_waits_s(seen, name)
        assert all(wait > pause_s - _TIME_TOLERANCE_S for wait in waited_s), waited_s


@then("its retry time is between {least_s:g} and {most_s:g} seconds")
def step_retry_time(context, least_s, most_s):
    headers = {key.lower(): value for key, value in context.response[1].items()}
    assert least_s <= float(headers["retry-after"]) <= most_s, headers


@then('the log of "{node}" has {n:d} line "{event}"')
def step_log_lines(context, node, n, event):
    assert count_events(context, node, event) == n


@then('the metrics of "{node}" count {n:d} for "{name}"')
def step_metric(context, node, n, name):
    address = get_address(context, node, "metrics")
    _, _, text = send_http_request(address, "GET", "/metrics")
    assert f"apricotlift_{name} {n}\n".encode() in text, text.decode()
