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
    get_address,
    post_control,
    put_row,
    put_server,
    read_directory,
    read_server_records,
    send_client_request,
    send_http_request,
    start_node,
    start_servers,
    write_settings,
)
from features.waiting import wait_until


@given('a store, {n:d} servers and the node "{name}"')
def step_store_servers_and_node(context, n, name):
    context.ports = {}
    context.nodes = {}
    store = context.processes.start_module("rowstore", "standins.rowstore")
    context.store_address = store.get_address()
    names = [f"i-{number}" for number in range(1, n + 1)]
    context.servers = start_servers(context, "opaque", names, n)
    put_row(context, "op", "config", build_configuration(5))
    for server, address in context.servers.items():
        put_server(context, server, address)
    start_node(context, name)


@given('another node "{name}"')
def step_another_node(context, name):
    start_node(context, name)
    for node in context.nodes:
        wait_until(lambda node=node: len(read_directory(context, node)) == 2)


@given("the store refuses all calls")
def step_store_refuses(context):
    post_control(context, "/_fault", {"mode": "refuse"})


@given("the store drops its history")
def step_store_drops_history(context):
    post_control(context, "/_fault", {"mode": "none", "forget": True})


@given("{n:d} more crashing servers")
def step_more_crashing_servers(context, n):
    names = [f"c-{number}" for number in range(1, n + 1)]
    for server, address in list(context.servers.items()):
        put_server(context, server, address, state="draining")
    context.crashing_servers = {}
    for name in names:
        process = context.processes.start_module(name, "standins.opaque", "1")
        context.crashing_servers[name] = (process, process.get_address("i-1"))


@when('a client posts "{target}" with {n:d} bytes to "{node}"')
def step_post_body(context, target, n, node):
    context.response = send_client_request(context, node, "POST", target, body=b"x" * n)


@when('a client posts "{target}" with the script "{script}" to "{node}"')
def step_post_with_script(context, target, script, node):
    started = time.monotonic()
    try:
        context.response = send_client_request(
            context, node, "POST", target, script, body=b"body"
        )
    except http.client.IncompleteRead as error:
        context.response = (200, {}, error.partial)
        context.is_body_incomplete = True
    context.elapsed_s = time.monotonic() - started


@when(
    'a client posts "{target}" with the script "{script}" to "{node}" in the background'
)
def step_post_in_background(context, target, script, node):
    def run():
        context.response = send_client_request(
            context, node, "POST", target, script, body=b"body"
        )

    context.thread = threading.Thread(target=run, daemon=True)
    context.thread.start()
    wait_until(lambda: read_server_records(context)["seen"])


@when('clients post "{target}" {n:d} times to "{node}" and read long streams')
def step_post_streams(context, target, n, node):
    for number in range(n):
        run = partial(send_client_request, context, node, "POST", target, "stream:150")
        threading.Thread(target=run, daemon=True).start()
        wait_until(
            lambda count=number: len(read_server_records(context)["seen"]) > count
        )


@when(
    'a client posts "{target}" with the script "{script}" to "{node}" and disconnects'
)
def step_post_and_disconnect(context, target, script, node):
    host, port = get_address(context, node).split(":")
    head = f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: gone\r\n"
    head += f"X-Key: k1\r\nX-Script: {script}\r\nContent-Length: 0\r\n\r\n"
    with socket.create_connection((host, int(port))) as client:
        client.sendall(head.encode())
        wait_until(lambda: read_server_records(context)["seen"])


@when('a client gets "{target}" from "{node}"')
def step_get(context, target, node):
    context.response = send_client_request(context, node, "GET", target)


@when('a client using the script "{script}" gets "{target}" from "{node}"')
def step_get_with_script(context, script, target, node):
    context.response = send_client_request(context, node, "GET", target, script)


@when('a client with the key "{key}" gets "{target}" from "{node}"')
def step_get_with_key(context, key, target, node):
    context.response = send_client_request(context, node, "GET", target, key=key)


@when('the client gets "{target}" {n:d} times from "{node}"')
def step_get_repeatedly(context, target, n, node):
    context.responses = []
    for _ in range(n):
        response = send_client_request(context, node, "GET", target)
        context.responses.append((context.request_id, response))


@when(
    'a client using the script "{script}" gets "{target}" {n:d} times while each server '
    "crashes"
)
def step_get_while_servers_crash(context, script, target, n):
    node = "n1"
    context.n_crashed_servers = 0
    for number, (name, (process, address)) in enumerate(
        context.crashing_servers.items()
    ):
        put_server(context, name, address)
        context.nodes[node].wait_for_event("server_added", server=name)
        if number >= n:
            break
        stop = threading.Event()

        def kill_on_arrival(process=process, address=address, stop=stop):
            while not stop.is_set():
                _, _, body = send_http_request(address, "GET", "/_seen")
                if json.loads(body)["seen"]:
                    process.kill()
                    context.n_crashed_servers += 1
                    return
                time.sleep(0.005)

        watcher = threading.Thread(target=kill_on_arrival, daemon=True)
        watcher.start()
        context.response = send_client_request(context, node, "GET", target, script)
        stop.set()
        watcher.join()
        put_row(context, "servers", name, None)
        context.nodes[node].wait_for_event("server_dropped", server=name)


@when('the operator writes configuration {version:d} with the route "{prefix}"')
def step_write_configuration(context, version, prefix):
    put_row(context, "op", "config", build_configuration(version, [prefix]))


@when('the operator writes configuration {version:d} without the route "{prefix}"')
def step_write_configuration_without_route(context, version, prefix):
    put_row(context, "op", "config", build_configuration(version))


@given("engines with memory for {n:d} tokens")
def step_engines_with_memory(context, n):
    put_row(context, "op", "config", build_configuration(6, n_kv_tokens=n))
    for node in context.nodes.values():
        node.wait_for_event("configuration_applied", version=6)


@when('the operator writes configuration {version:d} without the key "{key}"')
def step_write_configuration_without_key(context, version, key):
    put_row(context, "op", "config", build_configuration(version, keys=("other",)))


@when("the operator names version {version:d} of the model")
def step_name_weights(context, version):
    put_row(context, "op", "version/m", {"model": "m", "version": version})


@when('the node "{name}" has lost its connection to the store')
def step_node_lost_store(context, name):
    context.nodes[name].wait_for_event("store_lost", table="op")


@when("the server that answered starts to drain")
def step_drain_server(context):
    name = context.draining_server = read_server_records(context)["seen"][-1]["server"]
    put_server(context, name, context.servers[name], state="draining")
    node = context.nodes["n1"]
    node.wait_for_event("server_changed", server=name, state="draining")


@when('the node "{name}" is stopped by SIGTERM')
def step_stop_node(context, name):
    context.nodes[name].send_signal(signal.SIGTERM)


@when('the node "{name}" is killed')
def step_kill_node(context, name):
    context.nodes[name].kill()


@when('the settings of "{name}" change to a retry share of {share:g}')
def step_change_retry_share(context, name, share):
    write_settings(context, name, share)


@when('the settings of "{name}" become invalid')
def step_write_invalid_settings(context, name):
    context.processes.write_file(f"{name}.ini", "[node]\nnmae = x\n")


@then('the node "{name}" reloads its settings')
def step_settings_reloaded(context, name):
    context.nodes[name].wait_for_event("settings_reloaded", cause="file_changed")


@then('the node "{name}" rejects the settings and keeps running')
def step_settings_rejected(context, name):
    line = context.nodes[name].wait_for_event("settings_refused")
    assert "did you mean 'name'" in line["reason"], line
    assert send_client_request(context, name, "GET", "/lookup/a")[0] == 200


@then("the client gets {status:d}")
def step_status(context, status):
    assert context.response[0] == status, context.response


@then("the client gets {status:d} within {max_s:d} seconds")
def step_status_in_time(context, status, max_s):
    assert context.response[0] == status, context.response
    assert context.elapsed_s < max_s, context.elapsed_s


@then("the client gets {status:d} with a retry time")
def step_status_with_retry_time(context, status):
    assert context.response[0] == status, context.response
    assert float(get_header(context.response, "retry-after")) > 0


@then("the client gets {status:d} with the response and the stamp of a server")
def step_status_with_response_and_stamp(context, status):
    assert context.response[0] == status, context.response
    assert context.response[2].endswith(f"ran {context.request_id}".encode())
    step_has_stamp(context)


@then("the response has the stamp of a server")
def step_has_stamp(context):
    assert get_header(context.response, "x-server-stamp").startswith("stamp.i-")


def get_header(response, name):
    return {key.lower(): value for key, value in response[1].items()}[name]


@then(
    'the server received the method "{method}", the target "{target}" and {n:d} bytes'
)
def step_server_received(context, method, target, n):
    (entry,) = read_server_records(context)["seen"]
    found = (entry["method"], entry["target"], entry["n_body"])
    assert found == (method, target, n), found


@then(
    'the server received the account "{account}" and its own id, and neither the key nor '
    '"{header}"'
)
def step_server_received_headers(context, account, header):
    (entry,) = read_server_records(context)["seen"]
    headers = entry["headers"]
    assert headers["x-tenant"] == account, headers
    assert headers["x-target-instance"] == entry["server"], headers
    assert 0 < int(headers["x-deadline-ms"]) <= 2000, headers
    assert "x-key" not in headers and header not in headers, headers


@then("no server received a request")
def step_no_request_received(context):
    assert not read_server_records(context)["seen"]


@then("no server ran a request")
def step_no_request_ran(context):
    assert not any(entry["ran"] for entry in read_server_records(context)["seen"])


@then("the servers received {n:d} request")
@then("the servers received {n:d} requests")
def step_servers_received(context, n):
    seen = [entry["server"] for entry in read_server_records(context)["seen"]]
    assert len(seen) == n, seen
    assert len(set(seen)) == n, seen


@then("no request was sent twice")
def step_no_request_sent_twice(context):
    ids = [entry["id"] for entry in read_server_records(context)["seen"]]
    assert len(set(ids)) == len(ids), ids


@then("each client gets the response to its own request")
def step_own_responses(context):
    for request_id, (status, _, body) in context.responses:
        assert status == 200 and body.endswith(f"ran {request_id}".encode()), body


@then("the client gets 200 with the events {first:d} to {last:d} once each")
def step_all_events_once(context, first, last):
    if hasattr(context, "thread"):
        context.thread.join(20)
    assert context.response[0] == 200, context.response
    found = [int(number) for number in re.findall(rb"id: (\d+)\n", context.response[2])]
    assert found == list(range(first, last + 1)), found


@then("the client gets 200 with an incomplete body")
def step_incomplete_body(context):
    assert context.is_body_incomplete and context.response[0] == 200


@then("the second server was asked to resume after event {number:d}")
def step_resumed_after_event(context, number):
    second = read_server_records(context)["seen"][1]
    assert second["headers"]["last-event-id"] == str(number), second


@then("the server sees its connection closed")
def step_connection_closed(context):
    wait_until(lambda: read_server_records(context)["seen"][0]["left_early"], 5.0)


@then('a client that gets "{target}" from "{node}" eventually receives {status:d}')
def step_get_eventually(context, target, node, status):
    wait_until(
        lambda: send_client_request(context, node, "GET", target)[0] == status, 10.0
    )


@then('a client that posts "{target}" to "{node}" eventually receives {status:d}')
def step_post_eventually(context, target, node, status):
    wait_until(
        lambda: (
            send_client_request(context, node, "POST", target, "stream:2", body=b"b")[0]
            == status
        ),
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
    _, _, text = send_http_request(
        get_address(context, name, "metrics"), "GET", "/metrics"
    )
    assert f"configuration_version {version}".encode() in text


@then("the draining server received {n:d} request")
def step_draining_server_received(context, n):
    seen = [entry["server"] for entry in read_server_records(context)["seen"]]
    assert seen.count(context.draining_server) == n, seen


@then("at most {n:d} servers received it and the last client gets {status:d}")
def step_crash_limit(context, n, status):
    assert context.n_crashed_servers <= n, context.n_crashed_servers
    assert context.response[0] == status, context.response


@then(
    "all servers have version {version:d}, ordered by one lease holder with one fencing "
    "token"
)
def step_all_servers_have_version(context, version):
    written = set()

    def is_loaded():
        orders = read_server_records(context)["orders"]
        done = {order["server"] for order in orders if order["version"] == version}
        # A server writes its entry anew when it has loaded.
        for name in done - written:
            put_server(context, name, context.servers[name], weights=version)
        written.update(done)
        return done == set(context.servers)

    wait_until(is_loaded)
    orders = read_server_records(context)["orders"]
    assert len({(order["holder"], order["fencingToken"]) for order in orders}) == 1


@then('the node "{name}" exits with code {code:d}')
def step_node_exits(context, name, code):
    assert context.nodes[name].wait(12.0) == code


@then('the directory of "{name}" lists only "{listed}"')
def step_directory_lists_only(context, name, listed):
    wait_until(
        lambda: read_directory(context, name) == [get_address(context, listed)], 20.0
    )


@then(
    'the log of "{name}" shows for the request the server, the code "{code}" and the status '
    "{status:d}"
)
def step_log_explains_failure(context, name, code, status):
    node = context.nodes[name]
    request_id = context.request_id
    attempt = node.wait_for_event("attempt", request_id=request_id)
    failed = node.wait_for_event("attempt_failed", request_id=request_id)
    ended = node.wait_for_event("request_ended", request_id=request_id)
    assert attempt["server"] == failed["server"] and attempt["config_version"] == 5
    assert failed["code"] == code and failed["ran"] == "maybe", failed
    assert ended["status"] == status and ended["code"] == code, ended


@then(
    'the log of "{name}" shows for the request the code "{code}" with "{key}" "{value}"'
)
def step_log_attempt_failure(context, name, code, key, value):
    node = context.nodes[name]
    failed = node.wait_for_event("attempt_failed", request_id=context.request_id)
    assert failed["code"] == code and failed[key] == value, failed


@then('the log of "{name}" shows for the request the status {status:d} and "{code}"')
def step_log_request_end(context, name, status, code):
    node = context.nodes[name]
    ended = node.wait_for_event("request_ended", request_id=context.request_id)
    assert (ended["status"], ended["code"]) == (status, code), ended


@then('the log of "{name}" shows that the response is incomplete')
def step_log_incomplete(context, name):
    node = context.nodes[name]
    ended = node.wait_for_event("request_ended", request_id=context.request_id)
    assert ended["is_complete"] is False and "is_client_gone" not in ended, ended
