from types import SimpleNamespace

import anyio
from apricotlift.forwarding.engineloads import EngineLoads
from apricotlift.forwarding.facts import Server
from apricotlift.forwarding.tests.forwarding_fakes import Clock
from apricotlift.wire.handshake import Identity
from apricotlift.wire.messages import OrderNote, PlacementNote, ProgressNote
from behave import given, then, when


@given("a node that hears of its peers' placements")
def step_node(context):
    context.clock = Clock()
    context.expected = []
    context.loading = []
    context.told = []
    context.members = []
    view = SimpleNamespace(
        own=SimpleNamespace(node_id="n1"), get_serving=lambda: context.members
    )
    peers = SimpleNamespace(send=lambda address, note: context.told.append(address))
    context.loads = EngineLoads(
        view,
        lambda *place: context.expected.append(place),
        context.loading.append,
        peers,
        context.clock,
    )


@given("{n:d} nodes")
def step_nodes(context, n):
    context.members = [
        SimpleNamespace(node_id=f"n{number}", peer_address=f"10.0.0.{number}:1")
        for number in range(n)
    ]


def build_note(server, n):
    return PlacementNote(7, server, "10.0.0.1:80", n, n, "salt", ["p1"], [100])


@when('the peer "{name}" gives "{server}" {n:d} tokens to read')
def step_gives(context, name, server, n):
    note = build_note(server, n)
    anyio.run(context.loads.handle_placement, note, Identity(name, "i", "z"))


@when('the peer "{name}" says that the prompt at "{server}" is {state}')
def step_progress(context, name, server, state):
    note = ProgressNote(7, server, state == "ended")
    anyio.run(context.loads.handle_progress, note, Identity(name, "i", "z"))


@when('the peer "{name}" orders "{server}" to load')
def step_orders(context, name, server):
    identity = Identity(name, "i", "z")
    anyio.run(context.loads.handle_order, OrderNote(server), identity)


@when('this node gives "{server}" {n:d} tokens to read')
def step_own(context, server, n):
    found = Server(server, "svc", "10.0.0.1:80", "z1")
    context.loads.begin(found, "salt", [("p1", 100)], n, n)


@when("{seconds:d} seconds go by")
def step_pass(context, seconds):
    context.clock.now += seconds


@then('{n_unread:d} tokens are unread and {n_running:d} running at "{server}"')
def step_under_way(context, n_unread, n_running, server):
    found = context.loads.get_load(server)
    assert (found.n_unread, found.n_running) == (n_unread, n_running), found


@then('the part "{part}" is expected at "{server}"')
def step_expected(context, part, server):
    assert context.expected == [("10.0.0.1:80", "salt", part)], context.expected


@then('"{server}" is left out')
def step_left_out(context, server):
    assert context.loading == [server], context.loading


@then("nobody is told")
def step_not_told(context):
    assert not context.told, context.told
