"""Steps for answers that are resumed through another node."""

import json
import threading
import time

import httpcore
from behave import then, when

from standins.engine import build_answer
from standins.fleet import read_chunk_text

N_TOKENS = 20


def _stream_until_cut(context, node, account, prompt, request_id, on_text):
    body = {"model": "wax", "prompt": prompt, "stream": True, "max_tokens": N_TOKENS}
    headers = {
        "authorization": f"Bearer {context.fleet.keys[account]}",
        "x-request-id": request_id,
    }
    url = f"http://{context.fleet.addresses[node]}/v1/completions"
    received = b""
    with httpcore.ConnectionPool() as pool:
        try:
            with pool.stream(
                "POST", url, headers=headers, content=json.dumps(body).encode()
            ) as response:
                for chunk in response.iter_stream():
                    received += chunk
                    if received.count(b"data: ") == 4:
                        on_text()
        except (httpcore.NetworkError, httpcore.RemoteProtocolError):
            pass
    return received


def _read_part(received):
    blocks = received.split(b"\n\n")[:-1]
    fields = [
        dict(line.split(": ", 1) for line in block.decode().splitlines())
        for block in blocks
    ]
    assert all(item["data"] != "[DONE]" for item in fields), (
        "the answer was not cut off before its end"
    )
    text = "".join(read_chunk_text(json.loads(item["data"])) for item in fields)
    return text, fields[-1]["id"]


@when(
    'account "{account}" sends prompt "{prompt}" as "{request_id}" to "{node}", which is killed during the answer'
)
def send_and_kill_node(context, account, prompt, request_id, node):
    context.prompt = prompt
    received = _stream_until_cut(
        context, node, account, prompt, request_id, context.fleet.nodes[node].kill
    )
    context.first_part, context.last_id = _read_part(received)
    assert context.first_part


@when(
    'account "{account}" resumes request "{request_id}" at "{node}" from its last received event'
)
def resume_from_break(context, account, request_id, node):
    context.answer = context.fleet.request(
        node,
        "GET",
        f"/v1/requests/{request_id}/stream",
        account,
        headers={"last-event-id": context.last_id},
    )


@when("the engine that ran it is killed")
def kill_engine(context):
    for name in context.engines:
        if context.fleet.read_truth(name)["ran"]:
            context.processes.running[name].kill()
            return
    raise AssertionError("no engine ran the prompt")


@when(
    'account "{account}" cancels request "{request_id}" during the answer at "{node}"'
)
def cancel(context, account, request_id, node):
    def send():
        _stream_until_cut(context, "n1", account, "x", request_id, started.set)

    started = threading.Event()
    sender = threading.Thread(target=send)
    sender.start()
    assert started.wait(30)
    answer = context.fleet.request(
        node, "DELETE", f"/v1/requests/{request_id}", account
    )
    assert answer.status == 200, answer
    sender.join(30)


@then("both parts together are the complete answer")
def check_parts(context):
    assert context.answer.status == 200, context.answer
    expected = "".join(build_answer(context.prompt, 0, N_TOKENS))
    assert context.first_part + context.answer.read_text() == expected


@then("the engines ran {n:d} attempt in all")
def check_runs(context, n):
    ran = [
        run for name in context.engines for run in context.fleet.read_truth(name)["ran"]
    ]
    assert len(ran) == n, ran


@then(
    'the request "{request_id}" of account "{account}" has failed or is gone at "{node}"'
)
def check_gone(context, request_id, account, node):
    deadline = time.monotonic() + 30
    while True:
        answer = context.fleet.request(
            node, "GET", f"/v1/requests/{request_id}", account
        )
        if answer.status == 410 or answer.read_json()["state"] == "failed":
            return
        assert time.monotonic() < deadline, answer
        time.sleep(0.05)
