"""Steps with nodes that are stopped while clients send requests and read responses."""

import http.client
import json
import socket
import threading
import time

from behave import given, then, when

from features.forwardingfleet import (
    HOST,
    get_address,
    read_directory,
    read_server_records,
    send_client_request,
    start_node,
)
from features.waiting import split_names, wait_until

#: Longer than any grace period of these scenarios.
_LIMIT_S = 15.0
_SMALL_BUFFER_BYTES = 16_384
_ORDER_INTERVAL_S = 0.1
_ORDER_SCRIPT = "slow:0.4"


@given(
    'a store, {n:d} servers and the node "{name}" with a grace period of {grace_s:d} s'
)
def step_store_and_short_grace(context, n, name, grace_s):
    context.grace_s = grace_s
    context.execute_steps(f'Given a store, {n} servers and the node "{name}"')


@given('a store, {n:d} servers and the node "{name}" with {memory_mb:d} MB of memory')
def step_store_and_memory(context, n, name, memory_mb):
    context.memory_mb = memory_mb
    context.execute_steps(f'Given a store, {n} servers and the node "{name}"')


@when(
    'a client of "{node}" asks for {n_bytes:d} bytes within {limit_s:d} s on a {kind} connection'
)
def step_ask_within(context, node, n_bytes, limit_s, kind):
    context.deadline_ms = 1000 * limit_s
    step_ask_without_reading(context, node, n_bytes, kind)


@when('{n:d} clients of "{node}" in turn ask for {n_bytes:d} bytes and go away')
def step_ask_and_leave(context, n, node, n_bytes):
    for _ in range(n):
        step_ask_without_reading(context, node, n_bytes, "new")
        context.client.close()


@when('a client of "{node}" asks for {n_bytes:d} bytes on a {kind} connection')
def step_ask_without_reading(context, node, n_bytes, kind):
    host, port = get_address(context, node).split(":")
    context.client = socket.socket()
    context.add_cleanup(context.client.close)
    # The system would otherwise take most of the response for the client.
    context.client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES)
    context.client.connect((host, int(port)))
    context.n_wanted_bytes = n_bytes
    if kind == "kept":
        send_lookup(context, "first", "ok")
        read_response(context.client)
    request_id = f"large-{len(list_request_ids(context))}"
    send_lookup(context, request_id, f"large:{n_bytes}")
    wait_until(lambda: request_id in list_request_ids(context))
    # The node has the whole response as soon as its first bytes arrive.
    wait_until(lambda: context.client.recv(1, socket.MSG_PEEK))


def send_lookup(context, request_id, script):
    deadline_ms = getattr(context, "deadline_ms", 8000)
    head = f"GET /lookup/a HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
    head += f"X-Key: k1\r\nX-Script: {script}\r\nX-Deadline-Ms: {deadline_ms}\r\n\r\n"
    context.client.sendall(head.encode())


def list_request_ids(context):
    return [entry["id"] for entry in read_server_records(context)["seen"]]


def read_response(client):
    """Return the body of a response, or what there is of it."""
    client.settimeout(_LIMIT_S)
    response = http.client.HTTPResponse(client)
    response.begin()
    try:
        return response.read()
    except http.client.IncompleteRead as error:
        return error.partial
    except ConnectionResetError:
        return b""


@when("the client begins to read {seconds:d} s after that")
@when("the client begins to read {seconds:d} s after SIGTERM")
def step_read_late(context, seconds):
    time.sleep(seconds)
    context.body = read_response(context.client)


@then("the client has the whole response")
def step_has_whole_response(context):
    assert len(context.body) == context.n_wanted_bytes, len(context.body)


@given('other nodes "{names}"')
def step_other_nodes(context, names):
    for name in split_names(names):
        start_node(context, name)
    n_nodes = len(context.nodes)
    for node in context.nodes:
        wait_until(lambda node=node: len(read_directory(context, node)) == n_nodes)


@when(
    'clients of "{node}" post orders on kept and new connections until it refuses them'
)
def step_post_until_refused(context, node):
    context.stopped_at = time.monotonic()
    context.orders = []
    address = get_address(context, node)
    senders = [
        threading.Thread(target=post_orders, args=(context, address, name, is_kept))
        for name, is_kept in (("kept", True), ("new", False))
    ]
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join()


def post_orders(context, address, name, is_kept):
    """Post orders until one is refused or the node can't be reached."""
    connection = None
    number = 0
    while time.monotonic() - context.stopped_at < _LIMIT_S:
        if connection is None or not is_kept:
            connection = http.client.HTTPConnection(address, timeout=_LIMIT_S)
            try:
                connection.connect()
            except OSError:
                context.orders.append(("", time.monotonic(), "closed"))
                return
        number += 1
        request_id = f"{name}-{number}"
        sent_at = time.monotonic()
        status = post_order(connection, request_id)
        context.orders.append((request_id, sent_at, status))
        if status != 200:
            return
        if connection.sock is None:
            connection = None
        time.sleep(_ORDER_INTERVAL_S)


def post_order(connection, request_id):
    """Return the status, or ``cut`` if the connection ends without a response."""
    headers = {"Host": HOST, "X-Request-Id": request_id, "X-Key": "k1"}
    headers |= {"X-Script": _ORDER_SCRIPT, "X-Deadline-Ms": "8000"}
    try:
        connection.request("POST", "/orders/a", b"body", headers)
        response = connection.getresponse()
        response.read()
    except (OSError, http.client.HTTPException):
        return "cut"
    return response.status


@then(
    '"{node}" has refused its first request between {least_s:g} and {most_s:g} s after SIGTERM'
)
def step_refused_between(context, node, least_s, most_s):
    refused_at = [at for _, at, status in context.orders if status != 200]
    assert refused_at, context.orders
    refused_after_s = min(refused_at) - context.stopped_at
    assert least_s <= refused_after_s <= most_s, refused_after_s


@then("each order was answered, and those with 200 ran once")
def step_orders_answered(context):
    seen = [entry["id"] for entry in read_server_records(context)["seen"]]
    for request_id, _, status in context.orders:
        if status == "closed":
            continue
        if status == "cut":
            # A request that crosses the close of a kept connection isn't passed on.
            assert seen.count(request_id) == 0, (request_id, context.orders)
            continue
        assert status in (200, 503), context.orders
        assert seen.count(request_id) == (status == 200), (request_id, status)


@when('a client posts "{target}" with the script "{script}" to "{node}" and waits')
def step_post_and_wait(context, target, script, node):
    def run():
        try:
            context.response = send_client_request(
                context, node, "POST", target, script, body=b"body"
            )
        except (OSError, http.client.HTTPException) as error:
            context.error = error

    context.response = context.error = None
    context.sender = threading.Thread(target=run, daemon=True)
    context.sender.start()
    wait_until(lambda: read_server_records(context)["seen"])


@then("the client has got {status:d}, which says that the request may have run")
def step_got_error(context, status):
    context.sender.join(_LIMIT_S)
    assert context.response is not None, context.error
    assert context.response[0] == status, context.response
    body = json.loads(context.response[2])["error"]
    assert (body["code"], body["ran"]) == ("stopping", "maybe"), body


@then("the client has got a response that broke off")
def step_got_broken_response(context):
    context.sender.join(_LIMIT_S)
    assert isinstance(context.error, http.client.IncompleteRead), context.response
