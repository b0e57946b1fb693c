"""Steps about routed calls to plain services."""

import json
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import httpcore
from behave import given, then, when

from standins.processes import Processes

OUTCOME_TIMEOUT_S = 30.0
TESTS_PACKAGE = "apricotlift.node.tests"
DECLARATIONS = """
[account north]
services = orders

[rule reads]
service = orders
method = GET
path = /items/**
repeat = safe

[rule stock]
service = orders
method = GET
path = /items/stock/*
repeat = never
"""


def post_json(address, path, data):
    body = json.dumps(data).encode()
    return httpcore.request("POST", f"http://{address}{path}", content=body)


def read_truth(context, name):
    address = context.call_addresses[name]
    return json.loads(httpcore.request("GET", f"http://{address}/truth").content)


def start_node(context, name, *arguments):
    context.call_nodes[name] = context.call_processes.start_module(
        name,
        f"{TESTS_PACKAGE}.callnode",
        *("--name", name, "--platform", context.call_addresses["platform"]),
        *("--declarations", str(context.call_file), *arguments),
    )


def make_call(context, name, key="", method="POST", path="/orders", **fields):
    fields = {"body": "b", "headers": {}, **fields}
    data = {"service": "orders", "method": method, "path": path, **fields}
    data["idempotency_key"] = key
    answer = post_json(context.call_addresses[name], "/call", data)
    assert answer.status == 200, answer.content
    return json.loads(answer.content)


@given('the call upstreams "{names}"')
def start_upstreams(context, names):
    """Start the upstreams; no process listens at addresses of names like "closed1"."""
    fixtures = ExitStack()
    context.add_cleanup(fixtures.close)
    context.call_processes = fixtures.enter_context(Processes())
    context.call_threads = fixtures.enter_context(ThreadPoolExecutor(4))
    context.call_nodes = {}
    context.call_services = [
        name for name in names.split(", ") if not name.startswith("closed")
    ]
    start = context.call_processes.start_module
    started = {"platform": start("platform", "standins.platform")}
    for name in context.call_services:
        started[name] = start(name, f"{TESTS_PACKAGE}.plainservice", "--name", name)
    context.call_addresses = {
        name: process.get_address() for name, process in started.items()
    }
    text = DECLARATIONS
    for name in names.split(", "):
        address = context.call_addresses.get(name) or reserve_address(fixtures)
        text += f"[upstream {name}]\nkind = service\nservice = orders\n"
        text += f"address = {address}\nfailure_domain = d1\n"
    context.call_file = context.call_processes.write_file("declarations.ini", text)


def reserve_address(fixtures):
    # The socket is bound but doesn't listen: connections are refused, and no other
    # process can be given the port.
    reserved = fixtures.enter_context(socket.socket())
    reserved.bind(("127.0.0.1", 0))
    return f"127.0.0.1:{reserved.getsockname()[1]}"


@given('the call nodes "{names}"')
def start_nodes(context, names):
    for name in names.split(", "):
        start_node(context, name)
    for name in names.split(", "):
        context.call_addresses[name] = context.call_nodes[name].get_address()


@given('the call node "{name}" that will {stop} when {point}')
def start_stopping_node(context, name, stop, point):
    start_node(context, name, "--point", point, "--stop", stop)
    context.call_addresses[name] = context.call_nodes[name].get_address()


@given('the call upstream "{name}" is in mode "{mode}"')
@when('the call upstream "{name}" is in mode "{mode}"')
def set_upstream_mode(context, name, mode):
    post_json(context.call_addresses[name], "/faults", {"mode": mode})


@given("the faults of the call table are {faults}")
@when("the faults of the call table are {faults}")
def set_table_faults(context, faults):
    data = {"table": json.loads(faults)}
    answer = post_json(context.call_addresses["platform"], "/faults", data)
    assert answer.status == 200, answer.content


@given('the call node "{name}" is set to {state}')
@when('the call node "{name}" is set to {state}')
def configure_node(context, name, state):
    post_json(context.call_addresses[name], "/control", json.loads(state))


@given('the call with key "{key}" is started at "{name}"')
@when('the call with key "{key}" is started at "{name}"')
def start_call(context, key, name):
    context.call_pending = context.call_threads.submit(make_call, context, name, key)


@when('the call node "{name}" has stopped and is killed')
def kill_stopped_node(context, name):
    context.call_nodes[name].wait_for_event("stopped")
    kill_node(context, name)


@when('the call upstream "{service}" runs the call and node "{name}" is killed')
def kill_while_running(context, service, name):
    context.call_processes.running[service].wait_for_event("ran")
    kill_node(context, name)


@when('the call node "{name}" is killed')
def kill_node(context, name):
    context.call_nodes[name].kill()


@when('the call node "{name}" was stopped for longer than the dispatch limit')
def resume_after_dispatch_limit(context, name):
    context.call_nodes[name].wait_for_event("stopped")
    # The dispatch limit is 5 s of real time, including the time the process is stopped.
    time.sleep(5.5)
    context.call_nodes[name].send_signal(18)
    context.call_answer = context.call_pending.result(OUTCOME_TIMEOUT_S)


@when('the call with key "{key}" is made at "{name}"')
def make_call_with_key(context, key, name):
    context.call_answer = make_call(context, name, key)


@when('the call with key "{key}" is made at "{name}" with {fields}')
def make_call_with_fields(context, key, name, fields):
    context.call_answer = make_call(context, name, key, **json.loads(fields))


@when('the call without a key is made at "{name}" with {fields}')
def make_call_without_key(context, name, fields):
    context.call_answer = make_call(context, name, "", **json.loads(fields))


@when('the call with key "{key}" is made at "{names}" at once')
def make_calls_at_once(context, key, names):
    pending = [
        context.call_threads.submit(make_call, context, name, key)
        for name in names.split(", ")
    ]
    context.call_outcomes = [
        item.result(OUTCOME_TIMEOUT_S)["outcome"] for item in pending
    ]


@then("exactly one of the calls ran")
def check_one_call_ran(context):
    # The other calls found the claim or the record of the first one.
    others = sorted(context.call_outcomes)
    others.remove("200")
    assert set(others) <= {"replay", "in_progress ran maybe"}, others


@then('the call outcome is "{expected}"')
def check_outcome(context, expected):
    found = context.call_answer["outcome"]
    assert found == expected, context.call_answer


@then('the call with key "{key}" at "{name}" eventually has the outcome "{expected}"')
def wait_for_outcome(context, key, name, expected):
    deadline = time.monotonic() + OUTCOME_TIMEOUT_S
    found = ""
    while found != expected:
        assert time.monotonic() < deadline, found
        found = make_call(context, name, key)["outcome"]
        time.sleep(0.05)


@then("the call upstreams ran {n:d} calls")
def check_total_calls(context, n):
    found = [len(read_truth(context, name)) for name in context.call_services]
    assert sum(found) == n, found


@then('the call upstream "{name}" ran {n:d} calls')
def check_upstream_calls(context, name, n):
    found = read_truth(context, name)
    assert len(found) == n, found


@then('the call upstream "{name}" received no header of {names}')
def check_request_headers(context, name, names):
    received = read_truth(context, name)[-1]["headers"]
    assert not set(names.split(", ")) & set(received), received
    assert received["x-kept"] == "1", received


@then("the call answer has no header of {names}")
def check_answer_headers(context, names):
    received = context.call_answer["headers"]
    assert not set(names.split(", ")) & set(received), received
    assert received["x-served-by"] == "s1", received


@then('the call upstream "{name}" received a deadline of at most {n:d} ms')
def check_deadline(context, name, n):
    received = read_truth(context, name)[-1]["headers"]["x-deadline-ms"]
    assert 0 < int(received) <= n, received


@then('the call counter {series} of "{name}" is {n:d}')
def check_counter(context, series, name, n):
    url = f"http://{context.call_addresses[name]}/metrics"
    lines = httpcore.request("GET", url).content.decode().splitlines()
    assert f"apricotlift_{series} {n}" in lines, lines


@when('the call upstream "{service}" has run the call and the table goes down')
def fail_table_while_running(context, service):
    context.call_processes.running[service].wait_for_event("ran")
    set_table_faults(context, '{"down": true}')
    context.call_answer = context.call_pending.result(OUTCOME_TIMEOUT_S)


@when(
    'the call upstream "{service}" holds the call and "{name}" has no draining upstream'
)
def wait_for_held(context, service, name):
    context.call_processes.running[service].wait_for_event("ran")
    configure_node(context, name, '{"leaving": []}')
