from apricotlift.forwarding.entities import (
    Account,
    ClientRequest,
    Prompt,
    PromptPart,
    Route,
)
from apricotlift.forwarding.refusals import Refusals
from apricotlift.forwarding.tests.forwarding_fakes import Clock
from behave import given, then, when


@given("two nodes that notify each other of refusals")
def step_nodes(context):
    context.clock = Clock()
    context.nodes = {}

    def build_notifier(own):
        def notify_peers(note):
            (other,) = (node for name, node in context.nodes.items() if name != own)
            other.handle_refusal(note)

        return notify_peers

    for name in ("n1", "n2"):
        context.nodes[name] = Refusals(build_notifier(name), context.clock)


def build_request(part, account):
    route = Route("r", "host", "/r/", True, False, False, (("svc", 1.0),))
    prompt = Prompt("m", (PromptPart("shared", 10), PromptPart(part, 10)), 20, 5)
    return ClientRequest(
        "id", "POST", "/r/a", (), b"", route, Account(account), 0.0, 9.0, 9.0, prompt
    )


@when('"{node}" refuses the prompt "{part}" of "{account}"')
def step_refuse(context, node, part, account):
    context.nodes[node].add(build_request(part, account))


@when('"{node}" refuses {n:d} prompts of "{account}"')
def step_refuse_many(context, node, n, account):
    for number in range(n):
        context.nodes[node].add(build_request(str(number), account))


@when("{seconds:d} seconds elapse at both nodes")
def step_pass(context, seconds):
    context.clock.now += seconds


@then('the prompt "{part}" of "{account}" is a resubmission at "n1" and "n2"')
def step_is_resubmission(context, part, account):
    request = build_request(part, account)
    assert all(node.is_resubmission(request) for node in context.nodes.values())


@then('the prompt "{part}" of "{account}" is new at "n1" and "n2"')
def step_is_new(context, part, account):
    request = build_request(part, account)
    assert not any(node.is_resubmission(request) for node in context.nodes.values())
