"""Steps for the cluster secret, with real connections between nodes."""

import socket
from contextlib import AsyncExitStack

import anyio
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.clustersecret import PARTITION, ROW, SecretKeeper
from apricotlift.forwarding.tests.forwarding_fakes import MemoryTable
from apricotlift.wire.connections import PeerPool, PeerServer
from apricotlift.wire.handshake import Identity
from apricotlift.wire.messages import DocumentReply, DocumentRequest
from behave import given, then, when

_LIMIT_S = 10
_CALL_LIMIT_S = 3
_OTHER_SECRET = "b" * 48


class Node:
    """A node that accepts and opens connections with its secret."""

    def __init__(self, name, table):
        self.keeper = SecretKeeper(table)
        self._name = name
        self._stack = AsyncExitStack()

    async def start(self, tasks):
        secret = await self.keeper.load()
        listening = socket.socket()
        listening.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{listening.getsockname()[1]}"
        identity = Identity(self._name, "0001", "z1")
        self.pool = PeerPool(lambda: identity, secret, Metrics())
        self.server = PeerServer(listening, lambda: identity, secret, Metrics())
        self.server.register(DocumentRequest, self.answer)
        await self._stack.enter_async_context(self.server)
        await self._stack.enter_async_context(self.pool)
        tasks.start_soon(self.keeper.run, self.adopt)

    async def answer(self, message, peer):
        return DocumentReply(True, b"")

    def adopt(self, secret):
        self.pool.secret = secret
        self.server.replace_secret(secret)

    async def call(self, other):
        await self.pool.request(other.address, DocumentRequest("x"), _CALL_LIMIT_S)

    async def stop(self):
        await self._stack.aclose()


async def wait_until(is_reached):
    with anyio.fail_after(_LIMIT_S):
        while not is_reached():
            await anyio.sleep(0.01)


def run_nodes(context, action):
    """Run nodes in an event loop; each step of a scenario adds to ``context.steps``."""

    async def main():
        table = MemoryTable()
        nodes = [Node(name, table) for name in ("n1", "n2")]
        async with anyio.create_task_group() as tasks:
            for node in nodes:
                await node.start(tasks)
            try:
                await action(table, nodes, tasks)
            finally:
                for node in reversed(nodes):
                    await node.stop()
                tasks.cancel_scope.cancel()

    anyio.run(main)


@given("two nodes that share a secret")
def step_nodes(context):
    context.steps = []


@when("the secret is missing from the restored store")
def step_missing(context):
    async def lose_secret(table, nodes, tasks):
        table.rows.clear()
        for node in nodes:
            node.keeper.handle_restore()

    context.steps.append(lose_secret)


@then("the store has the nodes' secret")
def step_written(context):
    async def check(table, nodes, tasks):
        await wait_until(lambda: (PARTITION, ROW) in table.rows)
        secret = table.rows[(PARTITION, ROW)]["secret"].encode()
        assert [node.keeper.secret for node in nodes] == [secret, secret]

    context.steps.append(check)
    run_steps(context)


@when("the restored store has another secret, and first one node adopts it")
def step_other(context):
    async def replace_secret(table, nodes, tasks):
        table.rows[(PARTITION, ROW)] = {"secret": _OTHER_SECRET}
        await adopt(nodes[0])

    context.steps.append(replace_secret)


async def adopt(node):
    node.keeper.handle_restore()
    await wait_until(lambda: node.pool.secret == _OTHER_SECRET.encode())


@then("the node with the earlier secret can call the other one")
def step_earlier(context):
    async def check(table, nodes, tasks):
        await nodes[1].call(nodes[0])

    context.steps.append(check)


@when("the other node adopts it too")
def step_second(context):
    async def adopt_second(table, nodes, tasks):
        await adopt(nodes[1])

    context.steps.append(adopt_second)


@then("the nodes and a node that starts can call one another")
def step_all(context):
    async def check(table, nodes, tasks):
        nodes.append(Node("n3", table))
        await nodes[2].start(tasks)
        for node in nodes:
            for other in nodes:
                if other is not node:
                    await node.call(other)

    context.steps.append(check)
    run_steps(context)


def run_steps(context):
    async def run(table, nodes, tasks):
        for step in context.steps:
            await step(table, nodes, tasks)

    run_nodes(context, run)
