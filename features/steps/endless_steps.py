"""Steps for servers that send bytes without end."""

import re
import socket
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from behave import given, then, when

from features.forwardingfleet import (
    HOST,
    get_address,
    read_server_records,
    send_client_request,
)
from features.keptconnections import check_kept_connections, open_connections
from features.waiting import wait_until

_SMALL_BUFFER_BYTES = 16_384
_CLIENT_INTERVAL_S = 0.1


@dataclass(frozen=True)
class Result:
    """One client's response, and what the log has to say about its first attempt."""

    response: tuple
    seconds: float
    request_id: str = ""
    place: str = ""
    code: str = ""
    limit: str = ""


def send_endless_requests(context, name, method, target, rest):
    """Send a request for each row of the step's table."""
    context.results = []
    for row in context.table:
        script = f"endless:{row['place']},{rest}"
        started = time.monotonic()
        response = send_client_request(context, name, method, target, script)
        context.results.append(
            Result(
                response,
                time.monotonic() - started,
                context.request_id,
                row["place"],
                row["code"],
                row["limit"],
            )
        )


def read_memory_mb(process, name):
    status = Path(f"/proc/{process.popen.pid}/status").read_text()
    return int(re.search(rf"{name}:\s+(\d+) kB", status)[1]) / 1000


@when(
    'clients using the script "{script}" get "{target}" {n:d} times at once from '
    '"{name}"'
)
def step_get_at_once(context, script, target, n, name):
    context.memory_before_mb = read_memory_mb(context.nodes[name], "VmRSS")
    context.results = []

    def run():
        started = time.monotonic()
        response = send_client_request(context, name, "GET", target, script)
        context.results.append(Result(response, time.monotonic() - started))

    threads = [threading.Thread(target=run, daemon=True) for _ in range(n)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    assert len(context.results) == n, context.results


@when(
    '{n:d} clients send "{method}" "{target}" to "{name}" with the script "{script}" and don\'t read'
)
def step_send_without_reading(context, n, method, target, name, script):
    context.memory_before_mb = read_memory_mb(context.nodes[name], "VmRSS")
    host, port = get_address(context, name).split(":")
    for number in range(n):
        client = socket.socket()
        context.add_cleanup(client.close)
        # The system would otherwise take much of the response for the client.
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES)
        client.connect((host, int(port)))
        head = f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Key: k1\r\n"
        head += f"X-Request-Id: idle-{number}\r\nX-Script: {script}\r\nX-Model: m\r\n"
        head += "X-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n"
        client.sendall(head.encode())
        # Responses that are read at the same time share a budget.
        time.sleep(_CLIENT_INTERVAL_S)


@then('the memory of "{name}" has grown by less than {n:d} MB after {seconds:d} s')
def step_memory_after(context, name, n, seconds):
    time.sleep(seconds)
    step_memory(context, name, n)


@given('"{name}" keeps connections to all servers')
def step_keep_connections(context, name):
    context.results = []
    open_connections(context, name)


@then("most of these requests were sent on a kept connection")
def step_kept_connections(context):
    check_kept_connections(context)


@then("each client gets {status:d} within {max_s:g} seconds")
def step_each_status(context, status, max_s):
    for result in context.results:
        assert result.response[0] == status, result
        assert result.seconds < max_s, result


@then('the memory of "{name}" has grown by less than {n:d} MB')
def step_memory(context, name, n):
    peak_mb = read_memory_mb(context.nodes[name], "VmHWM")
    assert peak_mb - context.memory_before_mb < n, (peak_mb, context.memory_before_mb)


@when('a client gets "{target}" from "{name}" while the first server sends without end')
def step_get_endless(context, target, name):
    send_endless_requests(context, name, "GET", target, "ok")


@when('a client posts "{target}" to "{name}" while the first server sends without end')
def step_post_endless(context, target, name):
    send_endless_requests(context, name, "POST", target, "stream:6")


@then("each client gets 200 with the response and the stamp of the second server")
def step_each_response(context):
    for result in context.results:
        status, headers, body = result.response
        assert status == 200, result
        assert body.endswith(f"ran {result.request_id}".encode()), result
        assert "x-server-stamp" in {key.lower() for key in headers}, result


@then("each client gets the events {first:d} to {last:d} once each")
def step_each_events(context, first, last):
    for result in context.results:
        status, _, body = result.response
        numbers = [int(number) for number in re.findall(rb"id: (\d+)", body)]
        assert status == 200, result
        assert numbers == list(range(first, last + 1)), result
        assert b"junk" not in body, result


@then("each request was sent once")
def step_each_sent_once(context):
    seen = [entry["id"] for entry in read_server_records(context)["seen"]]
    assert sorted(seen) == sorted(result.request_id for result in context.results)


@then("the servers saw that each endless response was closed")
def step_connections_closed(context):
    def count_closed():
        seen = read_server_records(context)["seen"]
        return sum(entry["left_early"] for entry in seen)

    wait_until(lambda: count_closed() == len(context.results))


@then('the log of "{name}" shows for each request the code and the limit')
def step_log_limits(context, name):
    node = context.nodes[name]
    for result in context.results:
        failed = node.wait_for_event("attempt_failed", request_id=result.request_id)
        assert failed["code"] == result.code, (result.place, failed)
        assert result.limit in failed["reason"], (result.place, failed)
