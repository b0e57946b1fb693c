"""Steps that send signals to processes in each phase of their lives."""

import contextlib
import os
import signal
import time
from pathlib import Path

from behave import given, then, when

from features.forwardingfleet import (
    get_address,
    launch_node,
    post_control,
    send_http_request,
    write_settings,
)
from features.waiting import wait_until


def find_node(context, name):
    """Return a node's process, of either program."""
    nodes = getattr(context, "nodes", None) or context.fleet.nodes
    return nodes[name]


@given("the store is silent")
def step_silent_store(context):
    post_control(context, "/_fault", {"mode": "silent"})


@given('the node "{name}" starts and waits for the store')
def step_start_waiting(context, name):
    launch_node(context, name).wait_for_event("starting")


@given(
    'the node "{name}" is started and gets "{signal_name}" before it has read its settings'
)
def step_start_and_signal(context, name, signal_name):
    process = launch_node(context, name)
    signal_once_captured(process, signal.Signals[signal_name])
    assert not [line for line in process.read_log() if line["event"] == "starting"]


@given('the front node "{name}" is started and gets "{signal_name}" during its imports')
def step_start_front_node_and_signal(context, name, signal_name):
    process = context.fleet.launch_node(name)
    signal_once_captured(process, signal.Signals[signal_name])
    assert not process.read_log()


@then('the front node "{name}" serves')
def step_front_node_serves(context, name):
    context.fleet.wait_for_node(name)


@then('the front node "{name}" has checked its settings')
def step_front_node_checked(context, name):
    find_node(context, name).wait_for_event("settings_checked")


def signal_once_captured(process, number):
    """Send a signal as soon as the process has a handler for it."""
    wait_until(lambda: is_captured(process.popen.pid, number))
    process.send_signal(number)


def is_captured(pid, number):
    status = Path(f"/proc/{pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("SigCgt:")]
    return bool(int(line.split()[1], 16) & 1 << (number - 1))


@when('the node "{name}" gets "{signals}" {n:d} time, every {gap_ms:d} ms')
@when('the node "{name}" gets "{signals}" {n:d} times, every {gap_ms:d} ms')
def step_signal_in_series(context, name, signals, n, gap_ms):
    send_in_series(find_node(context, name), signals, n, gap_ms)


def send_in_series(process, signals, n, gap_ms):
    """Send each of the named signals a number of times, with pauses between."""
    for _ in range(n):
        for signal_name in signals.split():
            process.send_signal(signal.Signals[signal_name])
            time.sleep(gap_ms / 1000)


@when('the node "{name}" gets "{signal_name}" every {gap_ms:d} ms until it has exited')
def step_signal_until_exit(context, name, signal_name, gap_ms):
    signal_until_exit(find_node(context, name), signal.Signals[signal_name], gap_ms)


def signal_until_exit(process, number, gap_ms):
    """Send a signal again and again until the process has gone."""
    deadline_at = time.monotonic() + 30.0
    while process.popen.poll() is None:
        assert time.monotonic() < deadline_at, "the process goes on"
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.popen.pid, number)
        time.sleep(gap_ms / 1000)


@when('the node "{name}" has begun to stop')
def step_has_begun_to_stop(context, name):
    find_node(context, name).wait_for_event("stopping")


@when('the retry share of "{name}" becomes {share:g}')
def step_change_share(context, name, share):
    write_settings(context, name, share)


@when("the store answers again")
def step_store_answers(context):
    post_control(context, "/_fault", {"mode": "none"})


@then('the node "{name}" becomes ready')
def step_becomes_ready(context, name):
    context.nodes[name].wait_for_event("listening", listener="callers")
    address = get_address(context, name, "readiness")
    wait_until(lambda: send_http_request(address, "GET", "/")[0] == 200)


@then('the node "{name}" reloads its settings after "{cause}"')
def step_reloads(context, name, cause):
    context.nodes[name].wait_for_event("settings_reloaded", cause=cause)


@then('the node "{name}" has exited with code {code:d} within {limit_s:d} s')
def step_exits_within(context, name, code, limit_s):
    assert find_node(context, name).wait(limit_s) == code
