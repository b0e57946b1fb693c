"""Steps with engines that a prompt part crashes."""

import json
import time

from behave import given, then, when

from features.forwardingfleet import (
    HOST,
    get_address,
    put_row,
    put_server,
    send_http_request,
)
from features.waiting import wait_until

_N_PROMPTS_MAX = 30
#: Time after which all nodes have read a crash report.
_SPREAD_S = 1.0


@given('{n:d} engines that crash on the part "{part}", instead of the servers')
def step_engines(context, n, part):
    for server in list(context.servers):
        put_row(context, "servers", server, None)
    context.engines = {}
    context.n_prompts = 0
    for number in range(1, n + 1):
        name = f"c-{number}"
        process = context.processes.start_module(name, "standins.opaque", "1", part)
        context.engines[name] = (process, process.get_address("i-1"))
    for name, (_, address) in context.engines.items():
        put_server(context, name, address)
        for node in context.nodes.values():
            node.wait_for_event("server_added", server=name)


@when(
    'clients post different prompts with the parts "{first}" and "{second}" in turn to '
    "both nodes until one is refused"
)
def step_post_until_refused(context, first, second):
    for number in range(_N_PROMPTS_MAX):
        node = ("n1", "n2")[number % 2]
        # A sound prompt with the same first part, as other clients send it all the time.
        post_prompt(context, node, f"{first}:10,sound:10,own-{number}:5")
        status, body = post_prompt(
            context, node, f"{first}:10,{second}:10,own-{number}:5"
        )
        if status == 503:
            assert json.loads(body)["error"]["code"] == "request_crashes_upstream", body
            break
        remove_crashed_engines(context)
    else:
        raise AssertionError(f"no prompt was refused; the last status is {status}")
    time.sleep(_SPREAD_S)


def post_prompt(context, node, parts):
    """Post a prompt of its own id and body; return the status and the body."""
    context.n_prompts += 1
    headers = {
        "Host": HOST,
        "X-Request-Id": f"p{context.n_prompts}",
        "X-Key": "k1",
        "X-Script": "stream:3",
        "X-Deadline-Ms": "8000",
        "X-Model": "m",
        "X-Token-Usage": "25,5",
        "X-Prompt-Prefix": parts,
    }
    body = f"body {context.n_prompts}".encode()
    address = get_address(context, node)
    status, _, body = send_http_request(address, "POST", "/long/a", headers, body)
    return status, body


def remove_crashed_engines(context):
    """Remove the entries of engines that have ended, as the platform does."""
    for name, (process, _) in list(context.engines.items()):
        if process.popen.poll() is None:
            continue
        del context.engines[name]
        context.crashed = [*getattr(context, "crashed", []), name]
        put_row(context, "servers", name, None)
        for node in context.nodes.values():
            node.wait_for_event("server_dropped", server=name)


def count_received(context):
    """Return the number of requests that the engines which still run have received."""
    n_received = 0
    for _, address in context.engines.values():
        _, _, body = send_http_request(address, "GET", "/_seen")
        n_received += len(json.loads(body)["seen"])
    return n_received


@then("at most {n:d} engines have crashed")
def step_crashed(context, n):
    remove_crashed_engines(context)
    assert 3 <= len(context.crashed) <= n, context.crashed


@then(
    'both nodes refuse further prompts with the parts "{first}" and "{second}" without '
    "sending them"
)
def step_refused(context, first, second):
    n_received = count_received(context)
    for number in range(6):
        node = ("n1", "n2")[number % 2]
        parts = f"{first}:10,{second}:10,late-{number}:5"
        status, body = post_prompt(context, node, parts)
        assert status == 503, (node, status, body)
    assert count_received(context) == n_received
    for name in ("n1", "n2"):
        line = context.nodes[name].wait_for_event("part_refused")
        assert line["part"] == second, line


@then('both nodes answer prompts with the parts "{first}" and "{second}"')
def step_answered(context, first, second):
    for node in ("n1", "n2"):
        status, body = post_prompt(context, node, f"{first}:10,{second}:10,last:5")
        assert status == 200 and body.count(b"data:") == 3, (status, body)
    wait_until(lambda: count_received(context) >= 2)
