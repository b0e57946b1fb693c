"""Steps about servers that send nothing for a while."""

import socket

from behave import given, then, when

from features.forwardingfleet import (
    HOST,
    get_address,
    put_row,
    read_server_records,
    send_client_request,
    write_settings,
)
from features.waiting import wait_until


@given('the retry budget of "{name}" is used up')
def step_use_up_retry_budget(context, name):
    write_settings(context, name, retry_share=0.0, n_retries=0)
    context.nodes[name].wait_for_event("settings_reloaded", cause="file_changed")
    wait_until(
        lambda: (
            send_client_request(context, name, "GET", "/lookup/a", "status:500,ok")[0]
            == 500
        )
    )


@given('only the server "{name}" is listed')
def step_list_only(context, name):
    for server in set(context.servers) - {name}:
        put_row(context, "servers", server, None)
        context.nodes["n1"].wait_for_event("server_dropped", server=server)


@when(
    'a client posts "{target}" with the script "{script}" to "{node}" and leaves once '
    "{n:d} servers have it"
)
def step_post_and_leave(context, target, script, node, n):
    host, port = get_address(context, node).split(":")
    context.request_id = "gone"
    head = f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: gone\r\n"
    head += f"X-Key: k1\r\nX-Script: {script}\r\nContent-Length: 0\r\n\r\n"
    with socket.create_connection((host, int(port))) as client:
        client.sendall(head.encode())
        wait_until(lambda: len(read_own_records(context)) == n)


@then("{n:d} server received the request")
@then("{n:d} servers received the request")
def step_count_receivers(context, n):
    received = read_own_records(context)
    assert len(received) == n, received


@then("{n:d} servers see their connections closed")
def step_connections_closed(context, n):
    def count_left():
        return sum(entry["left_early"] for entry in read_own_records(context))

    wait_until(lambda: count_left() == n, 5.0)


def read_own_records(context):
    """Return what servers recorded of the client's last request."""
    seen = read_server_records(context)["seen"]
    return [entry for entry in seen if entry["id"] == context.request_id]
