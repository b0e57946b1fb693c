"""Steps for prompts and their answers."""

import json
import threading
import time

from behave import given, then, when

from features.waiting import split_names, wait_until
from standins.engine import build_answer

N_TOKENS = 20


@given('accounts "{names}" that may use model "{model}"')
def declare_accounts(context, names, model):
    context.fleet.add_model(model)
    for name in split_names(names):
        context.fleet.add_account(name, model)


@given('engines "{names}"')
def start_engines(context, names):
    context.engines = split_names(names)
    for name in context.engines:
        context.fleet.start_engine(name)


@given('a node "{name}"')
def start_node(context, name):
    context.fleet.start_node(name)


@given('engine "{name}" breaks each stream after {n:d} events')
def break_streams(context, name, n):
    context.fleet.set_faults(name, break_after=n)


@given('engine "{name}" sends a token every {seconds:g} s')
def set_token_interval(context, name, seconds):
    context.fleet.set_faults(name, token_s=seconds)


@given('engine "{name}" adds events of another attempt')
def add_foreign_events(context, name):
    context.fleet.set_faults(name, foreign_events=True)


@given(
    'account "{account}" has sent prompt "{prompt}" to "{node}" with request id "{request_id}"'
)
@when(
    'account "{account}" sends prompt "{prompt}" to "{node}" with request id "{request_id}"'
)
def send_with_id(context, account, prompt, node, request_id):
    headers = {"x-request-id": request_id}
    context.prompt = prompt
    context.answer = context.fleet.send_completion(node, account, prompt, headers)
    context.answers[request_id] = context.answer


@when('account "{account}" sends prompt "{prompt}" to "{node}"')
def send_prompt(context, account, prompt, node):
    context.prompt = prompt
    context.answer = context.fleet.send_completion(node, account, prompt)


@when(
    'account "{account}" sends prompt "{prompt}" to "{node}" and the engine that runs it is killed'
)
def send_and_kill(context, account, prompt, node):
    context.prompt = prompt

    def send():
        context.answer = context.fleet.send_completion(node, account, prompt)

    sender = threading.Thread(target=send)
    sender.start()

    def find_running():
        for name in context.engines:
            if context.fleet.read_truth(name)["ran"]:
                return name
        return None

    wait_until(find_running)
    time.sleep(0.5)
    context.processes.running[find_running()].kill()
    sender.join(60)


@when(
    'account "{account}" requests an unstreamed chat answer to "{prompt}" from "{node}"'
)
def request_unstreamed_chat(context, account, prompt, node):
    body = {"model": "wax", "messages": [{"role": "user", "content": prompt}]}
    context.answer = context.fleet.request(
        node, "POST", "/v1/chat/completions", account, body
    )


@when('a client with the key "{key}" sends a prompt to "{node}"')
def send_with_key(context, key, node):
    context.fleet.keys["someone"] = key
    context.answer = context.fleet.send_completion(node, "someone", "hello")


@when(
    'account "{account}" resumes request "{request_id}" at "{node}" from character {offset:d}'
)
def resume(context, account, request_id, node, offset):
    context.answer = context.fleet.request(
        node,
        "GET",
        f"/v1/requests/{request_id}/stream",
        account,
        headers={"last-event-id": f"{request_id}:{offset}"},
    )


@then("the answer is complete and belongs to the prompt")
def check_complete(context):
    assert context.answer.status == 200, context.answer
    expected = "".join(build_answer(context.prompt, 0, N_TOKENS))
    assert context.answer.read_text() == expected, context.answer.read_text()


@then("the answer from character {offset:d} on is complete")
def check_complete_from_offset(context, offset):
    expected = "".join(build_answer(context.prompt, 0, N_TOKENS))[offset:]
    assert context.answer.read_text() == expected


@then("each event's id counts the characters so far")
def check_ids(context):
    n_characters = 0
    for event in context.answer.read_events()[:-1]:
        chunk = json.loads(event["data"])
        n_characters += len(chunk["choices"][0]["text"])
        assert event["id"] == f"{chunk['id']}:{n_characters}", event


@then("the unstreamed answer has a finish reason and usage")
def check_unstreamed_answer(context):
    data = context.answer.read_json()
    assert context.answer.status == 200, data
    assert data["choices"][0]["finish_reason"] == "stop"
    assert data["choices"][0]["message"]["content"]
    assert data["usage"]["completion_tokens"] == 256


@then('the refusal is {status:d} "{code}" with ran "{ran}"')
def check_refusal(context, status, code, ran):
    error = context.answer.read_json()["error"]
    assert context.answer.status == status, context.answer
    assert error["code"] == code, error
    assert error["ran"] == ran, error


@then("no engine ran anything")
def check_nothing_ran(context):
    for name in context.engines:
        assert context.fleet.read_truth(name)["ran"] == []


@then('node "{name}" logs "{event}" without the prompt\'s text')
def check_log(context, name, event):
    line = context.fleet.nodes[name].wait_for_event(event)
    assert {"request_id", "account", "attempt", "code"} <= line.keys(), line
    text = context.fleet.nodes[name].log_file.read_text()
    assert context.prompt not in text
    assert all(key not in text for key in context.fleet.keys.values())


@then('node "{name}" counts retries for "{reason}"')
def check_retries(context, name, reason):
    metrics = context.fleet.read_metrics(name)
    wanted = f'apricotlift_retries_total{{kind="resume",reason="{reason}"}}'
    assert metrics.get(wanted, 0) >= 1, metrics


@then('node "{name}" counts dropped events')
def check_dropped(context, name):
    metrics = context.fleet.read_metrics(name)
    wanted = 'apricotlift_dropped_events_total{reason="foreign_attempt"}'
    assert metrics.get(wanted, 0) >= 1, metrics
