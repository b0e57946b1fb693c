"""Steps with a store that loses calls for a time."""

import threading
import time

from behave import given, then, when

from features.forwardingfleet import (
    post_control,
    put_row,
    put_server,
    read_server_records,
    send_client_request,
)

_CLIENT_PAUSE_S = 0.03


class Clients:
    """A client that sends one request after the other until it is stopped.

    :ivar statuses: the status of each request, or the name of an error.
    """

    def __init__(self, context, target, node):
        self.statuses = []
        self._context = context
        self._target = target
        self._node = node
        self._has_stopped = threading.Event()
        self._thread = threading.Thread(target=self._send, daemon=True)
        self._thread.start()

    def stop(self):
        self._has_stopped.set()
        self._thread.join(10)

    def _send(self):
        while not self._has_stopped.wait(_CLIENT_PAUSE_S):
            try:
                status = send_client_request(
                    self._context, self._node, "GET", self._target
                )[0]
            except OSError as error:
                status = type(error).__name__
            self.statuses.append(status)


@given('clients get "{target}" from "{node}" all the time')
def step_clients(context, target, node):
    context.clients = Clients(context, target, node)
    time.sleep(1.0)


def lose_calls(context, seconds, act=lambda: None):
    """Have the store lose all calls; it stores what is written meanwhile."""
    post_control(context, "/_fault", {"mode": "lost"})
    time.sleep(seconds / 2)
    act()
    time.sleep(seconds / 2)
    post_control(context, "/_fault", {"mode": "none"})


@when("the store loses all calls for {seconds:g} s")
def step_lose(context, seconds):
    lose_calls(context, seconds)


@when(
    'the store loses all calls for {seconds:g} s, in which the entry of "{name}" lapses'
)
def step_lose_entry(context, seconds, name):
    lose_calls(context, seconds, lambda: put_row(context, "servers", name, None))


@when("the entry of the server in use is removed {seconds:g} s later")
def step_remove(context, seconds):
    time.sleep(seconds)
    context.removed = read_server_records(context)["seen"][-1]["server"]
    put_row(context, "servers", context.removed, None)
    context.removed_at = time.monotonic()


@when('the entry of "{name}" is written again {seconds:g} s later')
def step_write_again(context, name, seconds):
    time.sleep(seconds)
    put_server(context, name, context.servers[name])


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    time.sleep(seconds)
    context.clients.stop()


@then("that server got none later than {limit_s:g} s after its removal")
def step_none_late(context, limit_s):
    seen = read_server_records(context)["seen"]
    times = [entry["at"] for entry in seen if entry["server"] == context.removed]
    assert min(times) < context.removed_at
    late = [at - context.removed_at for at in times]
    late = [round(seconds, 2) for seconds in late if seconds > limit_s]
    assert not late, late


@then("no client got an error")
def step_no_error(context):
    statuses = context.clients.statuses
    assert statuses and set(statuses) == {200}, set(statuses)
