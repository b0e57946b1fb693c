"""Steps for the membership of a node."""

import socket
from contextlib import AsyncExitStack
from random import Random

import anyio
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.platform.table import Row
from apricotlift.state.memberlease import MEMBER_PK
from apricotlift.state.membership import QUERY_INTERVAL_S, Membership
from apricotlift.state.tests.membership_fakes import (
    FakeClock,
    FakeTable,
    build_summary,
)
from apricotlift.wire.connections import PeerPool, PeerServer
from apricotlift.wire.messages import MemberSummary
from behave import given, then, when

SECRET = b"cluster secret of the tests"
TIMEOUT_S = 30


class Node:
    """A member with a real listener and pool on loopback."""

    def __init__(self, name, rows, seed):
        self.table = FakeTable()
        self.table.rows = rows
        listening = socket.socket()
        listening.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{listening.getsockname()[1]}"
        own = MemberSummary(name, "", address, address, f"domain-{name}", "serving")
        self.metrics = Metrics()
        self.pool = PeerPool(self.get_identity, SECRET, self.metrics)
        self.server = PeerServer(listening, self.get_identity, SECRET, self.metrics)
        self.membership = Membership(
            own, self.table, self.pool, self.metrics, Random(seed)
        )
        self.membership.register(self.server)

    def get_identity(self):
        return self.membership.get_identity()

    async def enter(self, stack):
        for part in (self.server, self.pool, self.membership):
            await stack.enter_async_context(part)


async def wait_until(is_reached):
    for _ in range(TIMEOUT_S * 100):
        if is_reached():
            return
        await anyio.sleep(0.01)
    raise AssertionError(f"the expected state wasn't reached within {TIMEOUT_S} s")


def run_nodes(context, action):
    """Run three nodes until each has proof of all, then call ``action`` with them."""

    async def main():
        nodes = [Node(name, context.rows, seed) for seed, name in enumerate("abc")]
        async with AsyncExitStack() as stack:
            for node in nodes:
                await node.enter(stack)
            await wait_until(
                lambda: all(
                    node.membership.view.check_majority().n_heard == 3 for node in nodes
                )
            )
            await action(nodes)

    anyio.run(main)


def list_serving(node):
    return sorted(item.node_id for item in node.membership.view.get_serving())


@given("membership nodes a, b and c on one table")
def prepare_rows(context):
    context.rows = {}


@when("the membership nodes run until each has proof of the other two")
def run_three(context):
    async def action(nodes):
        context.majorities = [node.membership.view.check_majority() for node in nodes]
        context.listed = sorted(context.rows)
        assert await nodes[0].membership.publish_draining()
        context.state = context.rows["a"].values["state"]
        await wait_until(
            lambda: all(list_serving(node) == ["b", "c"] for node in nodes[1:])
        )
        context.drained = [list_serving(node) for node in nodes[1:]]
        assert await nodes[0].membership.leave()

    run_nodes(context, action)


@then("each membership node has a lease row and a majority of 3 of 3")
def check_three(context):
    assert context.listed == ["a", "b", "c"]
    for majority in context.majorities:
        assert (majority.n_heard, majority.n_members) == (3, 3)
        assert majority.is_majority


@then("after node a drains, the membership of b and c lists only b and c to callers")
def check_drained(context):
    assert context.state == "draining"
    assert context.drained == [["b", "c"], ["b", "c"]]


@then("after node a leaves, its membership row is gone")
def check_left(context):
    assert sorted(context.rows) == ["b", "c"]


@when("the membership nodes run and node c loses the table")
def cut_off(context):
    async def action(nodes):
        node = nodes[2]
        context.renewal = context.rows["c"].values["renewal"]
        node.table.is_down = True
        context.is_renewed = await node.membership.publish_version(12)
        context.n_peer = node.metrics.get_count("lease_peer_renewals_total")

    run_nodes(context, action)


@then("the membership row of node c is renewed through a peer")
def check_peer_renewal(context):
    assert context.is_renewed
    assert context.n_peer == 1
    values = context.rows["c"].values
    assert values["renewal"] > context.renewal
    assert values["confirmed_version"] == 12


@given("a membership node with a fake clock and version {version:d} confirmed")
def build_node(context, version):
    context.clock = FakeClock()
    context.rows_table = FakeTable()
    context.metrics = Metrics()
    own = build_summary("node-a")
    pool = PeerPool(lambda: None, SECRET, Metrics())
    context.node = Membership(
        own, context.rows_table, pool, context.metrics, Random(4), context.clock
    )
    assert anyio.run(context.node.lease.renew)
    context.incarnation = context.node.lease.incarnation
    context.node.detect_pause()
    context.node.freshness.observe_read(version, context.clock.now)
    context.node.freshness.put_in_force(version)


@when("the membership clock advances by {seconds:d} s")
def advance_clock(context, seconds):
    context.clock.now += seconds


@when("the membership node's version {version:d} is confirmed again")
def confirm_version(context, version):
    context.node.freshness.observe_read(version, context.clock.now)


@when("the membership node receives a newer incarnation of itself")
def receive_newer_own_incarnation(context):
    context.node.view.apply_summary(build_summary("node-a", "0" + "f" * 19))
    context.node._check_own_incarnation()


@then("membership admission is refused with {code}")
def check_refused(context, code):
    try:
        context.node.check_admission()
    except ApricotliftError as error:
        assert error.code == code, error
    else:
        raise AssertionError(f"expected {code}, but new work was admitted")


@then("membership admission is granted as {standing}")
def check_granted(context, standing):
    assert context.node.check_admission() == standing


@then("the membership node has a new incarnation in its view")
def check_incarnation(context):
    assert context.node.view.own.incarnation > context.incarnation


def write_row(context, node_id):
    values = dict(context.rows_table.rows["node-a"].values)
    old = context.rows_table.rows.get(node_id)
    values["renewal"] = 1 if old is None else old.values["renewal"] + 1
    context.rows_table.rows[node_id] = Row(MEMBER_PK, node_id, values)


@given("membership rows of node-x and node-y")
def write_rows(context):
    write_row(context, "node-x")
    write_row(context, "node-y")


@given("a membership row of node-z without an incarnation")
def write_malformed_row(context):
    context.rows_table.rows["node-z"] = Row(MEMBER_PK, "node-z", {"renewal": 1})


@when("the membership node queries for {hours:g} h while node-y renews")
def query_for(context, hours):
    async def main():
        end = context.clock.now + hours * 3600
        while context.clock.now < end:
            write_row(context, "node-y")
            await context.node.query_members()
            context.clock.now += QUERY_INTERVAL_S

    anyio.run(main)


@when("the membership node can't query for {hours:g} h")
def skip_queries(context, hours):
    async def main():
        await context.node.query_members()
        context.clock.now += hours * 3600
        await context.node.query_members()

    anyio.run(main)


@when("the membership node queries once")
def query_once(context):
    anyio.run(context.node.query_members)


@then("the membership rows are {names}")
def check_rows(context, names):
    others = sorted(name for name in context.rows_table.rows if name != "node-a")
    assert others == names.split(" and "), others


@then("the membership node counted {n:d} deleted row")
def check_count(context, n):
    assert context.metrics.get_count("member_rows_deleted_total") == n


@then("the membership view holds node-x and node-y")
def check_view(context):
    assert sorted(context.node.view.members) == ["node-a", "node-x", "node-y"]


@given("a membership node among {n:d} members, whose leases are {use}")
def prepare_fleet(context, n, use):
    pool = PeerPool(lambda: None, SECRET, Metrics())
    context.node = Membership(
        build_summary("node-0"),
        FakeTable(),
        pool,
        Metrics(),
        Random(4),
        is_lease_needed=use == "needed",
    )
    for number in range(1, n):
        context.node.view.apply_summary(build_summary(f"node-{number}"))
    assert len(context.node.view.members) == n


@then(
    "it renews its row every {renewal_s:g} s and queries the rows every {query_s:g} s"
)
def check_intervals(context, renewal_s, query_s):
    assert context.node.get_renewal_interval_s() == renewal_s
    assert context.node.get_query_interval_s() == query_s


@when("the table comes back from a copy with only the row of node-x")
def restore_table(context):
    write_row(context, "node-x")
    context.rows_table.rows.pop("node-y", None)
    context.node.handle_restore()


@when("node-x deletes its membership row")
def delete_row(context):
    del context.rows_table.rows["node-x"]


@then("the membership view doesn't hold node-x")
def check_left_view(context):
    assert "node-x" not in context.node.view.members


@then("the membership node counts only itself as live")
def check_only_live(context):
    view = context.node.view
    assert list(view.get_eligible()) == ["node-a"], view.get_eligible()
    assert [item.node_id for item in view.get_serving()] == ["node-a"]


@when("the membership nodes run and the table comes back empty")
def run_restore(context):
    async def action(nodes):
        incarnations = [node.membership.lease.incarnation for node in nodes]
        context.rows.clear()
        restored_at = anyio.current_time()
        for node in nodes:
            node.membership.handle_restore()
        for node in nodes:
            await node.membership.query_members()
        context.listed = [list_serving(node) for node in nodes]
        await wait_until(lambda: len(context.rows) == len(nodes))
        context.waited_s = anyio.current_time() - restored_at
        context.listed += [list_serving(node) for node in nodes]
        written = [context.rows[name].values["incarnation"] for name in "abc"]
        context.is_same = written == incarnations

    run_nodes(context, action)


@then("each membership row is written again within {seconds:d} s, with its incarnation")
def check_rewritten(context, seconds):
    assert context.waited_s < seconds, context.waited_s
    assert context.is_same


@then("each membership node has gone on listing all three to callers")
def check_still_listed(context):
    assert all(listed == ["a", "b", "c"] for listed in context.listed), context.listed
