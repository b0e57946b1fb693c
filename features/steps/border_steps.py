"""Steps for invalid requests."""

import json
import socket
import threading

from behave import given, then, when

from standins.engine import build_answer

_PATH = "/v1/completions"
_GOOD = {"model": "wax", "prompt": "x", "stream": True, "max_tokens": 5}


@given('a node "{name}" with a body limit of {n_bytes:d} bytes and {seconds:d} s')
def start_limited_node(context, name, n_bytes, seconds):
    border = f"max_body_bytes = {n_bytes}\nbody_timeout_s = {seconds}"
    context.fleet.start_node(name, border=border)


@when('account "{account}" streams prompt "{prompt}" from "{node}" in the background')
def stream_meanwhile(context, account, prompt, node):
    context.prompt = prompt

    def send():
        context.answer = context.fleet.send_completion(node, account, prompt)

    context.sender = threading.Thread(target=send)
    context.sender.start()


def _post(body, **headers):
    named = {key.replace("_", "-"): value for key, value in headers.items()}
    return "POST", _PATH, "fes", body, named


_REQUESTS = {
    "broken JSON": _post(b'{"model": '),
    "invalid UTF-8": _post(b'{"model": "\xff\xfe"}'),
    "deeply nested JSON": _post(b"[" * 1500),
    "a number as prompt": _post({**_GOOD, "prompt": 7}),
    "an oversize body": _post({**_GOOD, "prompt": "x" * 3000}),
    "an unknown model": _post({**_GOOD, "model": "other"}),
    "too many headers": _post(_GOOD, **{f"x_extra_{n}": "1" for n in range(100)}),
    "an unknown priority": _post(_GOOD, x_priority="urgent"),
    "a bad deadline": _post(_GOOD, x_deadline_ms="-1"),
    "a foreign event id": _post(_GOOD, last_event_id="other:5"),
    "an unknown path": ("GET", "/v1/nothing", "fes", None, {}),
    "the wrong method": ("GET", _PATH, "fes", None, {}),
    "no key": ("POST", _PATH, None, _GOOD, {}),
}


def _send_slowly(context, node):
    host, _, port = context.fleet.addresses[node].rpartition(":")
    with socket.create_connection((host, int(port)), timeout=30) as connection:
        head = (
            f"POST {_PATH} HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n"
            f"authorization: Bearer {context.fleet.keys['fes']}\r\n\r\n{{"
        )
        connection.sendall(head.encode())
        received = b""
        while b"}}" not in received:
            part = connection.recv(65536)
            assert part, received
            received += part
    status = int(received.split(b" ", 2)[1])
    return status, json.loads(received.partition(b"\r\n\r\n")[2])


@then('these requests to "{node}" are refused with')
def check_refusals(context, node):
    for row in context.table:
        if row["request"] == "an incomplete body":
            status, data = _send_slowly(context, node)
        else:
            method, path, account, body, headers = _REQUESTS[row["request"]]
            answer = context.fleet.request(node, method, path, account, body, headers)
            status, data = answer.status, answer.read_json()
        assert status == int(row["status"]), (row["request"], status, data)
        assert data["error"]["code"] == row["code"], (row["request"], data)
        assert data["error"]["ran"] == "no", (row["request"], data)


@then("the streamed answer is complete")
def check_streamed(context):
    context.sender.join(60)
    expected = "".join(build_answer(context.prompt, 0, 20))
    assert context.answer.read_text() == expected


@then('engine "{name}" ran {n:d} attempt')
def check_attempts(context, name, n):
    ran = context.fleet.read_truth(name)["ran"]
    assert len(ran) == n, ran
