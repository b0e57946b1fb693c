"""Steps for failures of engines, stores and the platform."""

import subprocess
import sys
import threading
import time

from behave import given, then, when

from features.waiting import split_names, wait_until
from standins.processes import ROOT

RUN_TIMEOUT_S = 150
_LONG_PROMPT = "Every sheet of the survey, with its folds and its dates. " * 80


@given('nodes "{names}"')
def start_nodes(context, names):
    context.fleet.start_platform()
    context.fleet.add_operator()
    context.fleet.apply_declarations()
    nodes = split_names(names)
    context.fleet.start_nodes(nodes)
    for node in nodes:
        wait_until(lambda node=node: _count_members(context, node) == len(nodes))


def _count_members(context, node):
    status = context.fleet.request_admin(node, "GET", "/status").read_json()
    return sum(not item["suspected"] for item in status["instances"])


@given('accounts "{names}" that may call service "{service}" and use model "{model}"')
def declare_accounts_with_service(context, names, service, model):
    context.fleet.add_model(model)
    for name in split_names(names):
        context.fleet.add_account(name, model, service)


@given('a service "{service}" at "{name}"')
def start_service(context, service, name):
    process = context.processes.start_module(name, "standins.service", "--name", name)
    context.service = name
    context.fleet.addresses[name] = process.get_address()
    context.fleet.sections.append(
        f"[upstream {name}]\nkind = service\nservice = {service}\n"
        f"address = {context.fleet.addresses[name]}\nfailure_domain = z1\n"
    )


@given('engines "{names}" that crash on "{marker}"')
def start_crashing_engines(context, names, marker):
    context.engines = split_names(names)
    for name in context.engines:
        context.fleet.start_engine(name, "--crash-marker", marker)


@given('engine "{name}" is full')
def fill_engine(context, name):
    context.fleet.set_faults(name, state="full")


@given('two engines and a store "{name}" with short chunks')
def start_engines_and_store(context, name):
    context.engines = ["e1", "e2"]
    for engine in context.engines:
        options = ["--chunk-tokens", "128", "--block-bytes", "8192"]
        options += ["--prefill-s-per-token", "0.001"]
        context.fleet.start_engine(engine, *options)
    process = context.processes.start_module(name, "standins.kvstore")
    context.store = name
    context.fleet.addresses[name] = process.get_address()
    context.fleet.sections.append(
        f"[store {name}]\naddress = {context.fleet.addresses[name]}\n"
        "failure_domain = z1\n"
        "[fleet]\npiece_bytes = 512\nkv_bytes_per_token = 64\n"
    )


@given(
    'account "{account}" has sent a long prompt to "{node}", which the store now holds'
)
def send_long_prompt(context, account, node):
    context.prompt = _LONG_PROMPT
    context.fleet.send_completion(node, account, _LONG_PROMPT).read_text()
    n_blocks = len(_LONG_PROMPT) // 512
    store = context.store

    def is_exported():
        answer = context.fleet.request(store, "GET", "/usage").read_json()
        return answer["memory_bytes"] >= n_blocks * 8192

    wait_until(is_exported)


@given("the engine that ran it is draining")
def fill_used_engine(context):
    used = [name for name in context.engines if context.fleet.read_truth(name)["ran"]]
    assert len(used) == 1, used
    context.fleet.set_faults(used[0], state="draining")
    wait_until(lambda: _is_leaving(context, "n1", used[0]))


@given("the store answers each request with an error")
def break_store(context):
    context.fleet.set_faults(context.store, unavailable=True)


@when('account "{account}" sends the long prompt again to "{node}"')
def send_long_again(context, account, node):
    context.answer = context.fleet.send_completion(node, account, _LONG_PROMPT)


@then('node "{node}" counts a fetch or a block that failed')
def check_failed_fetch_or_block(context, node):
    metrics = context.fleet.read_metrics(node)
    failed = [name for name in metrics if "fetch" in name and "failed" in name]
    assert failed, sorted(metrics)


@when('account "{account}" requests an unstreamed answer to "{prompt}" from "{node}"')
def request_unstreamed(context, account, prompt, node):
    context.answer = context.fleet.send_completion(node, account, prompt, stream=False)


@when(
    'the engine that runs the unstreamed prompt "{prompt}" of "{account}" at "{node}" is killed'
)
def kill_running_engine(context, prompt, account, node):
    def send():
        context.answer = context.fleet.send_completion(
            node, account, prompt, stream=False
        )

    sender = threading.Thread(target=send)
    sender.start()
    wait_until(lambda: context.fleet.read_truth("e1")["ran"])
    context.processes.running["e1"].kill()
    sender.join(60)


@then("the error says that the prompt may have run")
def check_may_have_run(context):
    assert context.answer.status >= 500, context.answer
    error = context.answer.read_json()["error"]
    assert error["ran"] == "maybe", error
    assert error["code"] != "internal", error


@when(
    'account "{account}" sends prompt "{prompt}" to "{first}" and "{second}" in turn, {n:d} times'
)
def send_in_turn(context, account, prompt, first, second, n):
    for number in range(n):
        node = (first, second)[number % 2]
        context.answer = context.fleet.send_completion(node, account, prompt)


@then("{n:d} engines have crashed")
def check_crashed(context, n):
    ended = [
        name
        for name in context.engines
        if context.processes.running[name].popen.poll() is not None
    ]
    assert len(ended) == n, ended


@when('engine "{name}" begins to drain')
def drain_engine(context, name):
    context.drained_at = time.monotonic()
    context.fleet.set_faults(name, state="draining")


def _is_leaving(context, node, name):
    status = context.fleet.request_admin(node, "GET", "/status").read_json()
    upstreams = {item["name"]: item for item in status["upstreams"]}
    return upstreams[name]["leaving"]


@then('node "{node}" shows "{name}" as leaving within {limit_s:d} s')
def check_leaving(context, node, name, limit_s):
    wait_until(lambda: _is_leaving(context, node, name))
    assert time.monotonic() - context.drained_at < limit_s


@when('account "{account}" sends {n:d} prompts to "{node}"')
def send_several(context, account, n, node):
    context.several = [
        context.fleet.send_completion(node, account, f"prompt {number}")
        for number in range(n)
    ]


@then('all {n:d} answers are complete and "{name}" ran them')
def check_several(context, n, name):
    for answer in context.several:
        answer.read_text()
    assert len(context.several) == n
    assert len(context.fleet.read_truth(name)["ran"]) == n


@then('node "{node}" has sent no prompt to a leaving engine')
def check_no_refused_prompt(context, node):
    metrics = context.fleet.read_metrics(node)
    assert not [name for name in metrics if "upstream_draining" in name], metrics


@when("the table service is down")
def stop_table(context):
    context.fleet.set_faults("platform", table={"down": True})


@when("the table service is back")
def restore_table(context):
    context.fleet.set_faults("platform", table={})


def _order(context, account, key, node):
    return context.fleet.request(
        node,
        "POST",
        "/v1/services/desk/folds",
        account,
        {"sheet": 12},
        {"idempotency-key": key},
    )


@when(
    'account "{account}" calls service "desk" with idempotency key "{key}" at "{node}"'
)
def call_service(context, account, key, node):
    context.answer = _order(context, account, key, node)


@then(
    'account "{account}" calls service "desk" with idempotency key "{key}" at "{node}" with success'
)
def call_until_success(context, account, key, node):
    # The first claim has to be released, and the pause after failures has to end.
    wait_until(lambda: _order(context, account, key, node).status == 200, 60.0)


@then('the call with key "{key}" ran {n:d} time')
@then('the call with key "{key}" ran {n:d} times')
def check_runs_of_key(context, key, n):
    runs = context.fleet.read_truth(context.service)["runs"]
    assert runs.get(key, 0) == n, runs


@when("the randomised run is started with seed {seed:d} for {seconds:d} s")
def run_randomised(context, seed, seconds):
    command = [sys.executable, "-m", "bench.faults"]
    command += ["--seed", str(seed), "--seconds", str(seconds)]
    context.run = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=RUN_TIMEOUT_S
    )


@then('it ends with "{line}"')
def check_last_line(context, line):
    output = context.run.stdout.splitlines()
    assert output and output[-1] == line, (
        context.run.stdout[-6000:] + context.run.stderr[-3000:]
    )
    assert context.run.returncode == 0
