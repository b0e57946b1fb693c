"""Steps for configuration changes, cut connections and graceful stops."""

import threading

from behave import given, then, when

from features.waiting import split_names, wait_until
from standins.engine import build_answer

N_TOKENS = 20
_CLI = "apricotlift.control.main"
_ACCEPT_S = 40


def _start_apply(context, author, sections, base):
    folder = context.processes.directory
    settings = folder / "control.ini"
    url = f"http://{context.fleet.addresses['platform']}"
    settings.write_text(f"[platform]\ntable_url = {url}\nobjects_url = {url}/objects\n")
    path = context.processes.write_file(
        f"{author}.{base}.declared.ini", "".join(sections)
    )
    arguments = ["apply", str(path), "--settings", str(settings), "--base", str(base)]
    arguments += ["--author", author, "--message", f"change of {author}"]
    arguments += ["--wait-s", str(_ACCEPT_S)]
    return context.processes.start_module(author, _CLI, *arguments)


def _start_platform(context):
    context.fleet.start_platform()
    context.fleet.add_operator()
    context.fleet.apply_declarations()


@when('operators "{names}" change the limit of the same version at once')
def apply_concurrently(context, names):
    context.operators = {
        name: _start_apply(
            context,
            name,
            [*context.fleet.sections, f"[fleet]\nmax_in_flight = {50 + number}\n"],
            1,
        )
        for number, name in enumerate(split_names(names))
    }
    context.codes = {
        name: process.wait(_ACCEPT_S + 20)
        for name, process in context.operators.items()
    }


@then("one change is accepted and the other is refused with the name of the winner")
def check_one_accepted(context):
    assert sorted(context.codes.values()) == [0, 3], context.codes
    winner, loser = sorted(context.codes, key=context.codes.get)
    assert winner in context.operators[loser].log_file.read_text()
    truth = context.fleet.read_truth("platform")
    history = [
        row["values"]
        for row in truth["rows"]
        if row["values"]["pk"] == "config-history"
    ]
    assert [row["author"] for row in history] == ["tests", winner], history


@then("both nodes have the winner's version in force")
def check_version_in_force(context):
    for process in context.fleet.nodes.values():
        process.wait_for_event("configuration_in_force", version=2)


@given('nodes "{names}", each behind a proxy')
def start_proxied_nodes(context, names):
    fleet = context.fleet
    _start_platform(context)
    context.node_names = split_names(names)
    targets = {
        f"platform-{name}": fleet.addresses["platform"] for name in context.node_names
    }
    targets |= {f"peers-{name}": "127.0.0.1:1" for name in context.node_names}
    listeners = ",".join(f"{key}={value}" for key, value in targets.items())
    proxy = context.processes.start_module(
        "proxy", "standins.proxy", "--listeners", listeners
    )
    for name in targets:
        fleet.addresses[name] = proxy.get_address(name)
    fleet.addresses["proxy"] = proxy.get_address("control")
    for number, name in enumerate(context.node_names):
        advertised = f"peers = {fleet.addresses[f'peers-{name}']}"
        platform = f"platform-{name}"
        process = fleet.launch_node(
            name, f"z{number + 1}", platform, advertise=advertised
        )
        body = {"listener": f"peers-{name}", "target": process.get_address("peers")}
        fleet.request("proxy", "POST", "/target", body=body)
    for name in context.node_names:
        fleet.wait_for_node(name)
    for name in context.node_names:
        wait_until(lambda name=name: len(_list_serving(context, name)) == 2)


def _list_serving(context, node):
    status = context.fleet.request_admin(node, "GET", "/status").read_json()
    return [item for item in status["instances"] if not item["suspected"]]


def _switch(context, listener, **faults):
    body = {"listener": listener, **faults}
    answer = context.fleet.request("proxy", "POST", "/faults", body=body)
    assert answer.status == 200, answer


@when('node "{name}" loses its connections to the platform')
def cut_from_platform(context, name):
    _switch(context, f"platform-{name}", refuse=True, cut=True)


@when('node "{name}" loses its connections to the platform and to its peers')
def cut_from_all(context, name):
    cut_from_platform(context, name)
    # Cuts the connections of the other nodes to this node, and its own to them.
    for other in context.node_names:
        _switch(context, f"peers-{other}", refuse=True, cut=True)


@when('node "{name}" regains its connections')
def restore_connections(context, name):
    for listener in (f"platform-{name}", *(f"peers-{x}" for x in context.node_names)):
        _switch(context, listener)


@when('operator "{author}" removes the key of account "{account}"')
def remove_key(context, author, account):
    sections = [
        section.partition(f"[key {account}-1]")[0] for section in context.fleet.sections
    ]
    context.change = _start_apply(context, author, sections, 1)


@then("the change is accepted")
def check_accepted(context):
    code = context.change.wait(_ACCEPT_S + 20)
    assert code == 0, context.change.log_file.read_text()


@then('node "{node}" refuses a prompt of account "{account}" with {status:d} "{code}"')
def check_refused(context, node, account, status, code):
    answer = context.fleet.send_completion(node, account, "refused?")
    assert answer.status == status, answer
    assert answer.read_json()["error"]["code"] == code, answer


@then('node "{node}" eventually refuses prompts of account "{account}" with "{code}"')
def check_eventually_refused(context, node, account, code):
    def is_refused():
        answer = context.fleet.send_completion(node, account, "cut off?")
        if answer.status == 200:
            return False
        error = answer.read_json()["error"]
        assert (error["code"], error["ran"]) == (code, "no"), error
        return True

    wait_until(is_refused)


@then('node "{node}" eventually serves prompts of account "{account}"')
def check_eventually_served(context, node, account):
    wait_until(
        lambda: context.fleet.send_completion(node, account, "back?").status == 200
    )


@then('account "{account}" sends prompt "{prompt}" to "{node}" with success')
def check_success(context, account, prompt, node):
    context.fleet.send_completion(node, account, prompt).read_text()


@when(
    'account "{account}" sends prompt "{prompt}" to "{node}", which is stopped during the answer'
)
def stop_during_answer(context, account, prompt, node):
    context.prompt = prompt

    def send():
        context.answer = context.fleet.send_completion(node, account, prompt)

    context.account = account
    context.stopped = context.fleet.nodes[node]
    context.sender = threading.Thread(target=send)
    context.sender.start()
    wait_until(lambda: context.fleet.read_truth("e1")["ran"])
    context.stopped.popen.terminate()


@then('node "{node}" no longer lists "{other}" while the answer continues')
def check_not_listed(context, node, other):
    address = context.fleet.addresses[other]

    def is_omitted():
        answer = context.fleet.request(node, "GET", "/v1/instances", context.account)
        named = [item["address"] for item in answer.read_json()["instances"]]
        return named and address not in named

    wait_until(is_omitted)
    assert context.sender.is_alive()
    context.sender.join(60)


@then('node "{node}" has ended with exit code {code:d}')
def check_ended(context, node, code):
    assert context.fleet.nodes[node].wait() == code


@when(
    'operator "{author}" declares weight version "{version}" while account "{account}" sends prompts to both nodes'
)
def swap_weights(context, author, version, account):
    # Both versions are loaded before the accounts are switched. An exception for an
    # account without keys makes the engines load the next version.
    preload = (
        "[account preload]\nmodels = wax\n"
        "[exception preload]\napplies_to = account preload\n"
        f"setting = weight_version.wax\nvalue = {version}\n"
        "reason = Loads the next weights before the accounts are switched to them.\n"
        f"author = {author}\nreview_on = 2099-01-01\n"
    )
    loading = _start_apply(context, author, [*context.fleet.sections, preload], 1)
    assert loading.wait(_ACCEPT_S + 20) == 0, loading.log_file.read_text()
    slot = f"wax@{version}"
    for name in context.engines:
        wait_until(lambda name=name: slot in _list_loaded(context, name))
    old = "weight_version = v1\n"
    new = f"weight_version = {version}\nprevious_version = v1\n"
    sections = [section.replace(old, new) for section in context.fleet.sections]
    context.swap_answers = []
    is_swapped = threading.Event()

    def send(node):
        number = 0
        while not is_swapped.is_set():
            number += 1
            prompt = f"{node} {number}"
            answer = context.fleet.send_completion(node, account, prompt)
            context.swap_answers.append((prompt, answer))

    senders = [threading.Thread(target=send, args=(name,)) for name in ("n1", "n2")]
    for sender in senders:
        sender.start()
    change = _start_apply(context, author, [*sections, preload], 2)
    try:
        assert change.wait(_ACCEPT_S + 20) == 0, change.log_file.read_text()
        # A node runs prompts on the previous version until its own next poll of the
        # engines' health shows that one has loaded the new version.
        for node in ("n1", "n2"):
            wait_until(lambda node=node: slot in _list_slots_at(context, node))
    finally:
        is_swapped.set()
        for sender in senders:
            sender.join(60)


def _list_loaded(context, engine):
    return context.fleet.request(engine, "GET", "/health").read_json()["slots"]


def _list_slots(context, slot):
    return [
        run
        for name in context.engines
        for run in context.fleet.read_truth(name)["ran"]
        if run["slot"] == slot
    ]


def _list_slots_at(context, node):
    """Return the slots of a node's completed prompts, in the order of their ends."""
    slots = {
        run["attempt_id"]: run["slot"]
        for name in context.engines
        for run in context.fleet.read_truth(name)["ran"]
    }
    return [
        slots[line["attempt"]]
        for line in context.fleet.nodes[node].read_log()
        if line.get("event") == "prompt_ended"
    ]


@then("every answer during the swap is complete")
def check_swap_answers(context):
    assert len(context.swap_answers) >= 4, context.swap_answers
    for prompt, answer in context.swap_answers:
        assert answer.status == 200, (prompt, answer)
        assert answer.read_text() == "".join(build_answer(prompt, 0, N_TOKENS))


@then("each request ran on one weight version")
def check_one_version(context):
    slots = {}
    for name in context.engines:
        for run in context.fleet.read_truth(name)["ran"]:
            key = run["attempt_id"].split(".")[0]
            assert slots.setdefault(key, run["slot"]) == run["slot"], run


@then('new prompts of account "{account}" run on "{slot}"')
def check_new_version(context, account, slot):
    n_before = len(_list_slots(context, slot))
    for node in ("n1", "n2"):
        context.fleet.send_completion(node, account, f"after at {node}").read_text()
    assert len(_list_slots(context, slot)) == n_before + 2
    for node in ("n1", "n2"):
        found = _list_slots_at(context, node)
        assert set(found[found.index(slot) :]) == {slot}, (node, found)
