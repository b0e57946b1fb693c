"""Steps for gossip in a simulated cluster."""

from dataclasses import replace

from apricotlift.core.errors import ApricotliftError
from apricotlift.state.gossip import Gossip
from apricotlift.state.view import build_incarnation
from apricotlift.wire.messages import Heartbeat, HeartbeatReply, MemberSummary
from behave import given, then, when
from hypothesis import given as given_data
from hypothesis import settings, strategies

from bench.gossip import SimulatedCluster


def get_views(context):
    return list(context.cluster.views.values())


def get_node(context, number):
    return list(context.cluster.nodes.values())[number]


def get_addresses(context, first, last):
    return list(context.cluster.nodes)[first : last + 1]


@given("a gossip cluster of {n:d} nodes that ran for {seconds:g} s")
def build_cluster(context, n, seconds):
    context.cluster = SimulatedCluster(n)
    context.cluster.run(seconds)


@when("the gossip cluster runs for {seconds:d} s")
def run_cluster(context, seconds):
    context.cluster.n_bytes = 0
    context.cluster.run(seconds)
    n_bytes = 2 * context.cluster.n_bytes
    context.rate = n_bytes / len(context.cluster.nodes) / seconds


@when("gossip nodes {first:d} to {last:d} are separated for {seconds:d} s")
def partition(context, first, last, seconds):
    for address in get_addresses(context, first, last):
        context.cluster.groups[address] = 1
    context.cluster.run(seconds)


@when("the gossip partition ends and {seconds:d} s pass")
def end_partition(context, seconds):
    context.cluster.groups.clear()
    context.cluster.run(seconds)


@when("only gossip node 1 is paused for 60 s and then reads heartbeats received before")
def pause_and_read(context):
    cluster = context.cluster
    paused_node = get_node(context, 1)
    buffered = []
    answer = paused_node.answer

    def record_message(message):
        buffered.append(message)
        return answer(message)

    paused_node.answer = record_message
    cluster.run(3)
    assert any(message.echo for message in buffered)
    cluster.now += 60
    context.view = get_views(context)[1]
    assert context.view.check_majority().n_heard == 1
    for message in buffered:
        answer(message)


@when("all gossip nodes are paused for 60 s and only nodes 0 and 1 resume for 3 s")
def pause_all(context):
    cluster = context.cluster
    cluster.is_down.update(get_addresses(context, 2, 7))
    cluster.now += 60
    cluster.events = [(at + 60, *rest) for at, *rest in cluster.events]
    # No member is proven alive until a request is answered, and at first the sample
    # may contain only nodes that are down.
    cluster.run_until(lambda: get_views(context)[0].check_majority().n_heard > 1)
    cluster.run(3)


@when("gossip node 0 gets a heartbeat that echoes a stamp of another process")
def echo_foreign_stamp(context):
    node = get_node(context, 0)
    sender = get_node(context, 1)
    view = get_views(context)[0]
    context.proofs = []
    for process in (node._process_id, b"none"):
        # The clock advances so that either heartbeat could advance a proof. The two
        # differ only in the process id of the echo.
        context.cluster.now += 1
        heartbeat = sender._build_message(Heartbeat)
        stamp = node._build_message(HeartbeatReply).stamp
        before = {name: member.proven_at for name, member in view.members.items()}
        node.answer(replace(heartbeat, echo=process + stamp[4:], held_ms=0))
        context.proofs.append(
            [
                name
                for name, member in view.members.items()
                if member.proven_at != before[name] and name != view.own.node_id
            ]
        )


@when("gossip node {number:d} has a newer version and {seconds:d} s pass")
def put_newer_version(context, number, seconds):
    context.reported_versions = []
    get_node(context, 0).on_newer_version = context.reported_versions.append
    freshness = list(context.cluster.freshness.values())[number]
    freshness.observe_read(701, context.cluster.now)
    freshness.put_in_force(701)
    context.cluster.run(seconds)


@when("a new gossip node that knows only node 0 joins and {seconds:d} s pass")
def join(context, seconds):
    summary = context.cluster.build_summary(99)
    context.cluster.add_node(summary, [get_views(context)[0].own])
    context.cluster.run(seconds)


@when("gossip node {number:d} drains and {seconds:d} s pass")
def drain(context, number, seconds):
    view = get_views(context)[number]
    view.set_own(replace(view.own, state="draining"))
    context.cluster.run(seconds)


@when("gossip node 1 sees in the table that node 2 left, and {seconds:d} s pass")
def leave(context, seconds):
    cluster = context.cluster
    (address,) = get_addresses(context, 2, 2)
    left = cluster.views.pop(address).own
    cluster.nodes.pop(address)
    cluster.is_down.add(address)
    view = get_views(context)[1]
    rows = [member.summary for member in view.members.values()]
    view.apply_table([summary for summary in rows if summary.node_id != left.node_id])
    cluster.run(seconds)


@when("{n:d} gossip nodes restart and {seconds:d} s pass")
def restart(context, n, seconds):
    for view in get_views(context)[:n]:
        incarnation = build_incarnation(1, context.cluster.random, view.own.incarnation)
        view.set_own(replace(view.own, incarnation=incarnation))
    context.cluster.run(seconds)


@then("each gossip node has proof of each other one within {seconds:d} s")
def check_proofs(context, seconds):
    for view in get_views(context):
        for name, member in view.members.items():
            if name != view.own.node_id:
                assert context.cluster.now - member.proven_at <= seconds, member


@then("all gossip nodes have the same roster")
def check_rosters(context):
    digests = {view.get_roster_digest() for view in get_views(context)}
    assert len(digests) == 1, digests


@then("all gossip nodes know {n:d} members with the same roster")
def check_members(context, n):
    check_rosters(context)
    assert len(get_views(context)[0].members) == n


@then("all gossip nodes see node {number:d} as draining")
def check_draining(context, number):
    own = get_views(context)[number].own
    for view in get_views(context):
        assert view.members[own.node_id].summary.state == "draining"


@then("a gossip node used less than {limit:d} bytes a second in both directions")
def check_rate(context, limit):
    assert context.rate < limit, context.rate


@then("gossip nodes {first:d} to {last:d} have no majority and the others have one")
def check_sides(context, first, last):
    minority = get_addresses(context, first, last)
    for address, view in context.cluster.views.items():
        majority = view.check_majority()
        assert majority.is_majority == (address not in minority), majority
        assert majority.n_members == 8


@then("gossip node 1 has no majority")
def check_no_majority(context):
    assert context.view.check_majority().n_heard == 1


@then("gossip node 0 has heard {heard:d} of {n:d} members")
def check_heard(context, heard, n):
    majority = get_views(context)[0].check_majority()
    assert (majority.n_heard, majority.n_members) == (heard, n), majority


@then("that gossip heartbeat advanced no proof")
def check_no_proof(context):
    own_proofs, foreign_proofs = context.proofs
    assert own_proofs, "expected the echo of node 0's own stamp to advance a proof"
    assert foreign_proofs == []


@then("gossip node 0 reports the newer version to its follower")
def check_noticed(context):
    assert set(context.reported_versions) == {701}, context.reported_versions


@then("uncertain admission at gossip node 0 is refused because of the newer version")
def check_newer(context):
    freshness = next(iter(context.cluster.freshness.values()))
    majority = get_views(context)[0].check_majority()
    assert majority.is_majority
    assert majority.newest_version == 701
    try:
        freshness.check_admission(majority)
    except ApricotliftError as error:
        assert "version 701 exists" in error.message
    else:
        raise AssertionError("expected a refusal: version 701 is newer")


@then("{n:d} random gossip heartbeats are answered by node 0")
def check_random_heartbeats(context, n):
    node: Gossip = get_node(context, 0)
    view = get_views(context)[0]
    numbers = strategies.integers(-(1 << 63) + 1, (1 << 63) - 1)
    raw = strategies.binary(max_size=30)
    rosters = strategies.one_of(raw, strategies.just(view.get_roster_digest()))
    stamps = strategies.one_of(
        raw, strategies.just(node._build_message(Heartbeat).stamp)
    )
    words = strategies.text(max_size=25)
    summaries = strategies.builds(MemberSummary, *[words] * 6)
    heartbeats = strategies.builds(
        Heartbeat,
        roster=rosters,
        ages=raw,
        lags=raw,
        base_version=numbers,
        keys=raw,
        entries=strategies.lists(summaries, max_size=3),
        wanted=strategies.lists(raw, max_size=3),
        stamp=raw,
        echo=stamps,
        held_ms=numbers,
        config_version=numbers,
        config_age_ms=numbers,
    )

    @settings(max_examples=n, derandomize=True, deadline=None, database=None)
    @given_data(heartbeats)
    def check(heartbeat):
        assert isinstance(node.answer(heartbeat), HeartbeatReply)

    check()
