"""Steps with clients that exceed the limits on what they make a node hold."""

import contextlib
import http.client
import selectors
import socket
import time
from pathlib import Path

from behave import given, then, when

from features.forwardingfleet import HOST, get_address, send_client_request
from features.steps.endless_steps import read_memory_mb
from features.waiting import wait_until

#: Bytes that each client sends at most.
_HEAD_BYTES = 60_000
#: Less than the product's own node buffers for each head.
_SHORT_HEAD_BYTES = 28_000
_ENDLESS_BYTES = 400_000
_BODY_BYTES = 99_000
_RESPONSE_BYTES = 131_000
_PIECE_BYTES = 20_000
_SMALL_BUFFER_BYTES = 16_384
#: Time in which the crowd sends what it can.
_SEND_S = 6.0
#: The listener is given time to accept between groups of connections.
_GROUP_SIZE = 50
_GROUP_INTERVAL_S = 0.05
_ANSWER_S = 30.0


@given(
    'a store, {n:d} servers and the node "{name}" with {memory_mb:d} MB of memory '
    "and {descriptors:d} descriptors"
)
def step_store_and_limits(context, n, name, memory_mb, descriptors):
    context.memory_mb = memory_mb
    context.descriptors = descriptors
    context.execute_steps(f'Given a store, {n} servers and the node "{name}"')


@given(
    'the own node "{name}" with {memory_mb:d} MB of memory '
    "and {descriptors:d} descriptors"
)
def step_own_node(context, name, memory_mb, descriptors):
    context.memory_mb = memory_mb
    context.descriptors = descriptors
    context.fleet.add_model("wax")
    context.fleet.add_account("fes", "wax")
    context.fleet.start_engine("e1")
    limits = f"memory_mb = {memory_mb}\ndescriptors = {descriptors}"
    context.fleet.start_node(name, limits=limits)


@when('{n:d} clients with {what} connect to the listener {listener} of "{name}"')
def step_connect(context, n, what, listener, name):
    address = get_address(context, name, listener)
    send_from_crowd(context, context.nodes[name], n, what, address)


@when('{n:d} clients with {what} connect to the own node "{name}"')
def step_connect_to_own_node(context, n, what, name):
    address = context.fleet.addresses[name]
    send_from_crowd(context, context.fleet.nodes[name], n, what, address)


def build_crowd_bytes(what, number):
    """Return what one client sends."""
    head = f"POST /v1/completions HTTP/1.1\r\nHost: {HOST}\r\n"
    head += "Authorization: Bearer key-of-fes\r\nX-Key: k1\r\nX-Model: m\r\n"
    head += f"X-Request-Id: crowd-{number}\r\n"
    if what in ("unfinished heads", "short heads"):
        n_bytes = _SHORT_HEAD_BYTES if what == "short heads" else _HEAD_BYTES
        lines = "".join(f"X-Fill-{i}: {'x' * 4000}\r\n" for i in range(100))
        return (head + lines)[:n_bytes].encode()
    if what == "endless heads":
        return (head + "X-Fill: ").encode() + b"x" * _ENDLESS_BYTES
    if what == "endless lines":
        return b"\r\n" * (_ENDLESS_BYTES // 2)
    if what == "half-sent bodies":
        head += f"Content-Length: {_BODY_BYTES + 1000}\r\n\r\n"
        return head.encode() + b"x" * _BODY_BYTES
    if what == "untaken responses":
        head = head.replace("POST /v1/completions", "GET /lookup/a")
        script = f"X-Script: large:{_RESPONSE_BYTES}\r\n"
        return (head + script + "Content-Length: 0\r\n\r\n").encode()
    assert what == "idle connections", what
    return b""


def send_from_crowd(context, process, n, what, address):
    """Connect the clients and send what they have; they stay connected."""
    context.max_descriptors = 0
    host, port = address.split(":")
    selector = selectors.DefaultSelector()
    context.add_cleanup(selector.close)
    for number in range(n):
        client = socket.socket()
        context.add_cleanup(client.close)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES)
        client.settimeout(10)
        # A node may refuse the connection.
        with contextlib.suppress(OSError):
            client.connect((host, int(port)))
            client.setblocking(False)
            unsent = build_crowd_bytes(what, number)
            if unsent:
                selector.register(client, selectors.EVENT_WRITE, unsent)
        if number % _GROUP_SIZE == 0:
            send_pieces(selector)
            note_descriptors(context, process)
            time.sleep(_GROUP_INTERVAL_S)
    end_at = time.monotonic() + _SEND_S
    while time.monotonic() < end_at:
        if selector.get_map():
            send_pieces(selector)
        note_descriptors(context, process)
        time.sleep(_GROUP_INTERVAL_S)


def send_pieces(selector):
    """Send a piece from each client that can send; drop those that were closed."""
    if not selector.get_map():
        return
    for key, _ in selector.select(0.1):
        client, unsent = key.fileobj, key.data
        try:
            n_sent = client.send(unsent[:_PIECE_BYTES])
        except BlockingIOError:
            continue
        except OSError:
            selector.unregister(client)
            continue
        if n_sent == len(unsent):
            selector.unregister(client)
        else:
            selector.modify(client, selectors.EVENT_WRITE, unsent[n_sent:])


def note_descriptors(context, process):
    """Keep the largest number of descriptors that the process had open."""
    with contextlib.suppress(OSError):
        n_open = len(list(Path(f"/proc/{process.popen.pid}/fd").iterdir()))
        context.max_descriptors = max(context.max_descriptors, n_open)


@then('"{name}" lives within its memory and its descriptors')
def step_within_limits(context, name):
    check_limits(context, context.nodes[name])


@then('the own node "{name}" lives within its memory and its descriptors')
def step_own_within_limits(context, name):
    check_limits(context, context.fleet.nodes[name])


def check_limits(context, process):
    """Check that the process lives and used no more than its settings state."""
    assert process.popen.poll() is None, process.popen.returncode
    peak_mb = read_memory_mb(process, "VmHWM")
    seen = f"{peak_mb:.0f} MB and {context.max_descriptors} descriptors"
    assert peak_mb < context.memory_mb, seen
    assert context.max_descriptors < context.descriptors, seen


@then('"{name}" answers an ordinary request')
def step_answers(context, name):
    def is_answered():
        with contextlib.suppress(OSError):
            return send_client_request(context, name, "GET", "/lookup/a")[0] == 200
        return False

    wait_until(is_answered, _ANSWER_S)


@then('the own node "{name}" answers an ordinary request')
def step_own_answers(context, name):
    # Any error of the client library means that there was no answer.
    def is_answered():
        with contextlib.suppress(Exception):
            response = context.fleet.request(name, "GET", "/v1/models", "fes")
            return response.status == 200
        return False

    wait_until(is_answered, _ANSWER_S)


@when(
    "a client sends {n:d} empty lines and a request to the listener {listener} "
    'of "{name}"'
)
def step_send_empty_lines(context, n, listener, name):
    host, port = get_address(context, name, listener).split(":")
    with socket.create_connection((host, int(port)), 10) as client:
        head = f"GET /lookup/a HTTP/1.1\r\nHost: {HOST}\r\nX-Key: k1\r\n"
        head += "X-Request-Id: after-lines\r\nX-Script: ok\r\n\r\n"
        client.sendall(b"\r\n" * n + head.encode())
        context.status = read_status(client)


def read_status(client):
    """Read the next response and return its status; 0 if there is none."""
    client.settimeout(10)
    response = http.client.HTTPResponse(client)
    try:
        response.begin()
        response.read()
    except (OSError, http.client.HTTPException):
        return 0
    return response.status


@when(
    'a client of "{name}" sends a head of {n_head:d} bytes within {seconds:d} s '
    "and a body of {n_body:d} bytes"
)
def step_send_inside_limits(context, name, n_head, seconds, n_body):
    host, port = get_address(context, name).split(":")
    context.client = socket.create_connection((host, int(port)), 10)
    context.add_cleanup(context.client.close)
    head = f"GET /lookup/a HTTP/1.1\r\nHost: {HOST}\r\nX-Key: k1\r\n"
    head += "X-Request-Id: inside\r\nX-Script: ok\r\n"
    head += f"Content-Length: {n_body}\r\nX-Fill: "
    context.head = (head + "x" * (n_head - len(head) - 4) + "\r\n\r\n").encode()
    context.body = b"x" * n_body
    context.client.sendall(context.head[:1])
    time.sleep(seconds)
    context.client.sendall(context.head[1:])
    context.client.sendall(context.body)
    context.status = read_status(context.client)


@when(
    "the client sends the same request again after {seconds:d} s on the same connection"
)
def step_send_again(context, seconds):
    time.sleep(seconds)
    context.client.sendall(context.head + context.body)
    context.status = read_status(context.client)


@then("the client gets the status {status:d}")
def step_status(context, status):
    assert context.status == status, context.status
