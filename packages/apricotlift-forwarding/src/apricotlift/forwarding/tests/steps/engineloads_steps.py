from types import SimpleNamespace

import anyio
from apricotlift.forwarding.engineloads import EngineLoads
from apricotlift.forwarding.entities import Server
from apricotlift.forwarding.tests.forwarding_fakes import Clock
from apricotlift.wire.handshake import Identity
from apricotlift.wire.messages import Notes, OrderNote, PlacementNote, ProgressNote
from behave import given, then, when


@given("a node that receives its peers' placement messages")
def step_node(context):
    context.clock = Clock()
    context.expected = []
    context.loading = []
    context.notified = []
    view = SimpleNamespace(own=SimpleNamespace(node_id="n1"))
    context.loads = EngineLoads(
        view,
        lambda *part: context.expected.append(part),
        context.loading.append,
        context.notified.append,
        context.clock,
    )


def receive(context, name, **notes):
    empty = {"placements": [], "progress": [], "refusals": [], "orders": []}
    message = Notes(**{**empty, **notes})
    anyio.run(context.loads.handle_notes, message, Identity(name, "i", "z"))


def build_note(server, n_tokens):
    return PlacementNote(
        7, server, "10.0.0.1:80", n_tokens, n_tokens, "salt", ["p1"], [100]
    )


@when('the peer "{name}" sends "{server}" a prompt with {n:d} tokens to compute')
def step_send(context, name, server, n):
    receive(context, name, placements=[build_note(server, n)])


@when('the peer "{name}" reports that the prompt at "{server}" is {state}')
def step_progress(context, name, server, state):
    receive(context, name, progress=[ProgressNote(7, server, state == "ended")])


@when('the peer "{name}" orders "{server}" to load weights')
def step_orders(context, name, server):
    receive(context, name, orders=[OrderNote(server)])


@when('this node sends "{server}" a prompt with {n:d} tokens to compute')
def step_send_own(context, server, n):
    found = Server(server, "svc", "10.0.0.1:80", "z1")
    context.loads.begin(found, "salt", [("p1", 100)], n, n)


@when("{seconds:d} seconds elapse")
def step_pass(context, seconds):
    context.clock.now += seconds


@then(
    '"{server}" has {n_unread:d} tokens to compute and {n_used_tokens:d} tokens of memory '
    "in use"
)
def step_load(context, server, n_unread, n_used_tokens):
    found = context.loads.get_load(server)
    assert (found.n_unread, found.n_used_tokens) == (n_unread, n_used_tokens), found


@then('the part "{part}" is expected at "{server}"')
def step_expected(context, part, server):
    assert context.expected == [("10.0.0.1:80", "salt", part)], context.expected


@then('"{server}" is avoided')
def step_avoided(context, server):
    assert context.loading == [server], context.loading
