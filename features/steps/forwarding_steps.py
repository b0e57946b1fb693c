"""Steps with real forwarding nodes, a stand-in store and stand-in servers."""

import http.client
import json
import re
import signal
import socket
import threading
import time
from functools import partial

from behave import given, then, when

from features.forwardingfleet import (
    HOST,
    build_configuration,
    call,
    control,
    get_address,
    put,
    put_server,
    read_seen,
    send,
    start_node,
    start_servers,
    write_settings,
)
from features.waiting import wait_until


@given('a store, {n:d} servers and the node "{name}"')
def step_start(context, n, name):
    context.ports = {}
    context.nodes = {}
    store = context.processes.start_module("rowstore", "standins.rowstore")
    context.store_address = store.get_address()
    names = [f"i-{number}" for number in range(1, n + 1)]
    context.servers = start_servers(context, "opaque", names, n)
    put(context, "op", "config", build_configuration(5))
    for server, address in context.servers.items():
        put_server(context, server, address)
    start_node(context, name)


@given('the node "{name}" as well')
def step_start_another(context, name):
    start_node(context, name)
    for node in context.nodes:
        wait_until(lambda node=node: len(read_directory(context, node)) == 2)


@given("the store refuses all calls")
def step_store_refuses(context):
    control(context, "/_fault", {"mode": "refuse"})


@given("the store drops its history")
def step_store_forgets(context):
    control(context, "/_fault", {"mode": "none", "forget": True})


@given("{n:d} more crashing servers")
def step_more_servers(context, n):
    names = [f"c-{number}" for number in range(1, n + 1)]
    for server, address in list(context.servers.items()):
        put_server(context, server, address, state="draining")
    context.crashing = {}
    for name in names:
        process = context.processes.start_module(name, "standins.opaque", "1")
        context.crashing[name] = (process, process.get_address("i-1"))


@when('a client posts "{target}" with {n:d} bytes to "{node}"')
def step_post(context, target, n, node):
    context.answer = send(context, node, "POST", target, body=b"x" * n)


@when('a client posts "{target}" with the script "{script}" to "{node}"')
def step_post_script(context, target, script, node):
    started = time.monotonic()
    try:
        context.answer = send(context, node, "POST", target, script, body=b"body")
    except http.client.IncompleteRead as error:
        context.answer = (200, {}, error.partial)
        context.is_broken = True
    context.seconds = time.monotonic() - started


@when(
    'a client posts "{target}" with the script "{script}" to "{node}" in the background'
)
def step_post_background(context, target, script, node):
    def run():
        context.answer = send(context, node, "POST", target, script, body=b"body")

    context.thread = threading.Thread(target=run, daemon=True)
    context.thread.start()
    wait_until(lambda: read_seen(context)["seen"])


@when('clients post "{target}" {n:d} times to "{node}" and read long streams')
def step_post_streams(context, target, n, node):
    for number in range(n):
        run = partial(send, context, node, "POST", target, "stream:150")
        threading.Thread(target=run, daemon=True).start()
        wait_until(lambda count=number: len(read_seen(context)["seen"]) > count)


@when('a client posts "{target}" with the script "{script}" to "{node}" and leaves')
def step_post_and_leave(context, target, script, node):
    host, port = get_address(context, node).split(":")
    head = f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: gone\r\n"
    head += f"X-Key: k1\r\nX-Script: {script}\r\nContent-Length: 0\r\n\r\n"
    with socket.create_connection((host, int(port))) as client:
        client.sendall(head.encode())
        wait_until(lambda: read_seen(context)["seen"])


@when('a client gets "{target}" from "{node}"')
def step_get(context, target, node):
    context.answer = send(context, node, "GET", target)


@when('a client following "{script}" gets "{target}" from "{node}"')
def step_get_script(context, script, target, node):
    context.answer = send(context, node, "GET", target, script)


@when('a client with the key "{key}" gets "{target}" from "{node}"')
def step_get_key(context, key, target, node):
    context.answer = send(context, node, "GET", target, key=key)


@when('the client gets "{target}" {n:d} times from "{node}"')
def step_get_often(context, target, n, node):
    context.answers = []
    for _ in range(n):
        answer = send(context, node, "GET", target)
        context.answers.append((context.request_id, answer))


@when(
    'a client following "{script}" gets "{target}" {n:d} times while each server crashes'
)
def step_get_crashing(context, script, target, n):
    node = "n1"
    context.n_seen = 0
    for number, (name, (process, address)) in enumerate(context.crashing.items()):
        put_server(context, name, address)
        context.nodes[node].wait_for_event("server_added", server=name)
        if number >= n:
            break
        stop = threading.Event()

        def crash(process=process, address=address, stop=stop):
            while not stop.is_set():
                _, _, body = call(address, "GET", "/_seen")
                if json.loads(body)["seen"]:
                    process.kill()
                    context.n_seen += 1
                    return
                time.sleep(0.005)

        watcher = threading.Thread(target=crash, daemon=True)
        watcher.start()
        context.answer = send(context, node, "GET", target, script)
        stop.set()
        watcher.join()
        put(context, "servers", name, None)
        context.nodes[node].wait_for_event("server_dropped", server=name)


@when('the operator writes configuration {version:d} with the route "{prefix}"')
def step_configure(context, version, prefix):
    put(context, "op", "config", build_configuration(version, [prefix]))


@when('the operator writes configuration {version:d} without the route "{prefix}"')
def step_configure_old(context, version, prefix):
    put(context, "op", "config", build_configuration(version))


@given("engines with memory for {n:d} tokens")
def step_small_engines(context, n):
    put(context, "op", "config", build_configuration(6, n_kv_tokens=n))
    for node in context.nodes.values():
        node.wait_for_event("configuration_applied", version=6)


@when('the operator writes configuration {version:d} without the key "{key}"')
def step_revoke(context, version, key):
    put(context, "op", "config", build_configuration(version, keys=("other",)))


@when("the operator names version {version:d} of the model")
def step_name_weights(context, version):
    put(context, "op", "version/m", {"model": "m", "version": version})


@when('the node "{name}" has lost the store')
def step_lost(context, name):
    context.nodes[name].wait_for_event("store_lost", table="op")


@when("the server that answered drains")
def step_drain(context):
    name = context.drained = read_seen(context)["seen"][-1]["server"]
    put_server(context, name, context.servers[name], state="draining")
    node = context.nodes["n1"]
    node.wait_for_event("server_changed", server=name, state="draining")


@when('the node "{name}" is stopped by SIGTERM')
def step_stop(context, name):
    context.nodes[name].send_signal(signal.SIGTERM)


@when('the node "{name}" is killed')
def step_kill(context, name):
    context.nodes[name].kill()


@when('the settings of "{name}" change to a retry share of {share:g}')
def step_change_settings(context, name, share):
    write_settings(context, name, share)


@when('the settings of "{name}" become unreadable')
def step_break_settings(context, name):
    context.processes.write_file(f"{name}.ini", "[node]\nnmae = x\n")


@then('the node "{name}" reloads its settings')
def step_reloaded(context, name):
    context.nodes[name].wait_for_event("settings_reloaded", cause="file_changed")


@then('the node "{name}" refuses the settings and goes on')
def step_refused_settings(context, name):
    line = context.nodes[name].wait_for_event("settings_refused")
    assert "did you mean 'name'" in line["reason"], line
    assert send(context, name, "GET", "/lookup/a")[0] == 200


@then("the client gets {status:d}")
def step_status(context, status):
    assert context.answer[0] == status, context.answer


@then("the client gets {status:d} within {seconds:d} seconds")
def step_status_in_time(context, status, seconds):
    assert context.answer[0] == status, context.answer
    assert context.seconds < seconds, context.seconds


@then("the client gets {status:d} with a time to come back")
def step_status_retry(context, status):
    assert context.answer[0] == status, context.answer
    assert float(get_header(context.answer, "retry-after")) > 0


@then("the client gets {status:d} with the answer and the stamp of a server")
def step_whole(context, status):
    assert context.answer[0] == status, context.answer
    assert context.answer[2].endswith(f"ran {context.request_id}".encode())
    step_stamp(context)


@then("the answer bears the stamp of a server")
def step_stamp(context):
    assert get_header(context.answer, "x-server-stamp").startswith("stamp.i-")


def get_header(answer, name):
    return {key.lower(): value for key, value in answer[1].items()}[name]


@then('the server saw the method "{method}", the target "{target}" and {n:d} bytes')
def step_seen(context, method, target, n):
    (entry,) = read_seen(context)["seen"]
    found = (entry["method"], entry["target"], entry["n_body"])
    assert found == (method, target, n), found


@then(
    'the server saw the account "{account}" and its own id, and neither the key nor "{header}"'
)
def step_seen_headers(context, account, header):
    (entry,) = read_seen(context)["seen"]
    headers = entry["headers"]
    assert headers["x-tenant"] == account, headers
    assert headers["x-target-instance"] == entry["server"], headers
    assert 0 < int(headers["x-deadline-ms"]) <= 2000, headers
    assert "x-key" not in headers and header not in headers, headers


@then("no server saw a request")
def step_none_seen(context):
    assert not read_seen(context)["seen"]


@then("no server ran a request")
def step_none_ran(context):
    assert not any(entry["ran"] for entry in read_seen(context)["seen"])


@then("the servers saw {n:d} request")
@then("the servers saw {n:d} requests")
def step_n_seen(context, n):
    seen = [entry["server"] for entry in read_seen(context)["seen"]]
    assert len(seen) == n, seen
    assert len(set(seen)) == n, seen


@then("no request was sent twice")
def step_sent_once(context):
    ids = [entry["id"] for entry in read_seen(context)["seen"]]
    assert len(set(ids)) == len(ids), ids


@then("each client gets the answer to its own request")
def step_own_answers(context):
    for request_id, (status, _, body) in context.answers:
        assert status == 200 and body.endswith(f"ran {request_id}".encode()), body


@then("the client gets 200 with the events {first:d} to {last:d} once each")
def step_events(context, first, last):
    if hasattr(context, "thread"):
        context.thread.join(20)
    assert context.answer[0] == 200, context.answer
    found = [int(number) for number in re.findall(rb"id: (\d+)\n", context.answer[2])]
    assert found == list(range(first, last + 1)), found


@then("the client gets 200 with an answer that breaks off")
def step_broken(context):
    assert context.is_broken and context.answer[0] == 200


@then("the second server was asked to go on after event {number:d}")
def step_resumed(context, number):
    second = read_seen(context)["seen"][1]
    assert second["headers"]["last-event-id"] == str(number), second


@then("the server sees its connection closed")
def step_left(context):
    wait_until(lambda: read_seen(context)["seen"][0]["left_early"], 5.0)


@then('a client that gets "{target}" from "{node}" is answered {status:d} soon')
def step_soon(context, target, node, status):
    wait_until(lambda: send(context, node, "GET", target)[0] == status, 10.0)


@then('a client that posts "{target}" to "{node}" is answered {status:d} soon')
def step_post_soon(context, target, node, status):
    wait_until(
        lambda: send(context, node, "POST", target, "stream:2", body=b"b")[0] == status,
        10.0,
    )


@then('the node "{name}" still has configuration {version:d}')
def step_has_configuration(context, name, version):
    time.sleep(0.5)
    lines = context.nodes[name].read_log()
    applied = [
        line["version"] for line in lines if line["event"] == "configuration_applied"
    ]
    assert applied[-1] == version, applied
    _, _, text = call(get_address(context, name, "metrics"), "GET", "/metrics")
    assert f"configuration_version {version}".encode() in text


@then("the server that drains saw {n:d} request")
def step_drained_seen(context, n):
    seen = [entry["server"] for entry in read_seen(context)["seen"]]
    assert seen.count(context.drained) == n, seen


@then("at most {n:d} servers saw it and the last client gets {status:d}")
def step_crashes(context, n, status):
    assert context.n_seen <= n, context.n_seen
    assert context.answer[0] == status, context.answer


@then(
    "all servers have version {version:d}, ordered by one holder with one fencing number"
)
def step_weights(context, version):
    written = set()

    def is_loaded():
        orders = read_seen(context)["orders"]
        done = {order["server"] for order in orders if order["version"] == version}
        # A server writes its entry anew when it has loaded.
        for name in done - written:
            put_server(context, name, context.servers[name], weights=version)
        written.update(done)
        return done == set(context.servers)

    wait_until(is_loaded)
    orders = read_seen(context)["orders"]
    assert len({(order["holder"], order["fencingToken"]) for order in orders}) == 1


@then('the node "{name}" ends with {code:d}')
def step_ended(context, name, code):
    assert context.nodes[name].wait(12.0) == code


def read_directory(context, name):
    target = f"/resolve?name={HOST}&region=r&zone=z1"
    status, _, body = call(get_address(context, name, "directory"), "GET", target)
    return json.loads(body)["addresses"] if status == 200 else []


@then('the directory of "{name}" names only "{named}"')
def step_directory(context, name, named):
    wait_until(
        lambda: read_directory(context, name) == [get_address(context, named)], 20.0
    )


@then(
    'the log of "{name}" tells for its id the server, the code "{code}" and the status '
    "{status:d}"
)
def step_explained(context, name, code, status):
    node = context.nodes[name]
    request_id = context.request_id
    attempt = node.wait_for_event("attempt", request_id=request_id)
    failed = node.wait_for_event("attempt_failed", request_id=request_id)
    ended = node.wait_for_event("request_ended", request_id=request_id)
    assert attempt["server"] == failed["server"] and attempt["config_version"] == 5
    assert failed["code"] == code and failed["ran"] == "maybe", failed
    assert ended["status"] == status and ended["code"] == code, ended


@then('the log of "{name}" tells for its id the code "{code}" with "{key}" "{value}"')
def step_failed_with(context, name, code, key, value):
    node = context.nodes[name]
    failed = node.wait_for_event("attempt_failed", request_id=context.request_id)
    assert failed["code"] == code and failed[key] == value, failed


@then('the log of "{name}" tells for its id the status {status:d} and "{code}"')
def step_refused_with(context, name, status, code):
    node = context.nodes[name]
    ended = node.wait_for_event("request_ended", request_id=context.request_id)
    assert (ended["status"], ended["code"]) == (status, code), ended


@then('the log of "{name}" tells that its answer is incomplete')
def step_incomplete(context, name):
    node = context.nodes[name]
    ended = node.wait_for_event("request_ended", request_id=context.request_id)
    assert ended["is_complete"] is False and "is_client_gone" not in ended, ended
