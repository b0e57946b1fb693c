"""Steps for notes to peers."""

from types import SimpleNamespace

import anyio
from apricotlift.forwarding.peernotes import PeerNotes
from apricotlift.wire.messages import ProgressNote
from behave import given, then, when

LIMIT_S = 10


@given("a cluster of {n:d} nodes with {n_processors:g} processors each")
@given("a cluster of {n:d} nodes with {n_processors:g} processor each")
def step_cluster(context, n, n_processors):
    members = [
        SimpleNamespace(node_id=f"n{number}", peer_address=f"10.0.0.{number}:1")
        for number in range(n)
    ]
    view = SimpleNamespace(own=members[0], get_serving=lambda: members)
    context.sent = {}

    def send_to_all(addresses, message):
        for address in addresses:
            context.sent.setdefault(address, []).append(message)

    peers = SimpleNamespace(send_to_all=send_to_all)
    context.n_peers = n - 1
    context.notes = PeerNotes(view, peers, n_processors)


@when("this node adds {n:d} notes within an interval")
@when("this node adds {n:d} note")
def step_add(context, n):
    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.notes.run)
            for number in range(n):
                context.notes.add(ProgressNote(number, "e1", True))
                if not number:
                    # The first note is sent before the others are added.
                    await anyio.wait_all_tasks_blocked()
            with anyio.fail_after(LIMIT_S):
                while context.notes._notes:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(run)


@then("each peer gets {n_messages:d} messages with {n_notes:d} notes in all")
@then("each peer gets {n_messages:d} message with {n_notes:d} note in all")
def step_messages(context, n_messages, n_notes):
    assert len(context.sent) == context.n_peers, context.sent.keys()
    for messages in context.sent.values():
        assert len(messages) == n_messages, messages
        assert sum(len(message.progress) for message in messages) == n_notes


@then("no message has more than {n:d} notes")
def step_message_size(context, n):
    for messages in context.sent.values():
        assert all(len(message.progress) <= n for message in messages), messages


@then("notes are sent every {seconds:g} seconds")
def step_interval(context, seconds):
    assert abs(context.notes.get_interval_s() - seconds) < 1e-9


@then("no peer is notified")
def step_not_notified(context):
    assert not context.sent, context.sent
