"""Steps for following the configuration at a node."""

import random
from collections import Counter
from datetime import date

import anyio
import anyio.lowlevel
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.state.configuration import HEAD_KEY
from apricotlift.state.declarations import (
    digest_document,
    encode_document,
    parse_declarations,
)
from apricotlift.state.follower import ConfigurationFollower, Peers
from apricotlift.state.freshness import Freshness
from apricotlift.state.snapshots import Snapshot, hash_key
from apricotlift.state.tests.configuration_fakes import FakeObjects, FakeTable
from apricotlift.wire.messages import DocumentReply, HeadReply
from behave import given, then, when

ROUND_TRIP_S = 0.05
SEED = 5


class World:
    """A table, an object store, peers, and a clock that the steps move."""

    def __init__(self):
        self.now_s = 1000.0
        self.platform = FakeTable()
        self.objects = FakeObjects()
        self.metrics = Metrics()
        self.peer_head = None
        self.applied = []
        self.documents = {}
        peers = Peers(lambda n: ["p1", "p2"][:n], self.ask_head, self.ask_document)
        self.freshness = Freshness(self.metrics, lambda: self.now_s)
        self.follower = ConfigurationFollower(
            self.platform,
            self.objects,
            peers,
            self.freshness,
            self.metrics,
            random.Random(SEED),
            lambda snapshot: self.applied.append(snapshot.version),
            lambda: self.now_s,
        )

    def add_version(self, version):
        text = f"""
            [fleet]
            burst = {version}
            [account atlas]
            [key atlas-1]
            account = atlas
            sha256 = {hash_key("good")}
            not_after = 2026-12-04
            """
        body = encode_document(parse_declarations(text.replace("    ", "")))
        digest = digest_document(body)
        self.documents[version] = (digest, body)
        self.objects.objects[digest] = body

    def set_head(self, version):
        digest = self.documents[version][0]
        self.platform.put(*HEAD_KEY, version=version, digest=digest)
        return self.platform.rows[HEAD_KEY]

    async def ask_head(self, peer):
        if self.peer_head is None:
            raise ApricotliftError(Code.PEER_UNREACHABLE, peer)
        # Both peers are asked before either answers.
        await anyio.lowlevel.checkpoint()
        self.now_s += ROUND_TRIP_S / 2
        version, age_ms = self.peer_head
        digest = self.documents[version][0]
        return HeadReply(version=version, digest=digest, age_ms=age_ms, known=True)

    async def ask_document(self, peer, digest):
        bodies = dict(self.documents.values())
        if self.peer_head is None:
            raise ApricotliftError(Code.PEER_UNREACHABLE, peer)
        return DocumentReply(found=digest in bodies, body=bodies.get(digest, b""))

    def poll(self):
        anyio.run(self.follower.poll)


@given("a configuration follower and versions 1 to 3 of the configuration")
def build_world(context):
    context.world = World()
    for version in (1, 2, 3):
        context.world.add_version(version)


@when("the configuration head is {version:d} and the follower polls")
def poll_head(context, version):
    context.world.set_head(version)
    context.world.poll()


@when(
    "the configuration table is stale at {version:d} and the follower polls 1 s later"
)
def poll_stale(context, version):
    world = context.world
    world.now_s += 1.0
    head = world.platform.rows[HEAD_KEY]
    world.platform.next_reads = [world.set_head(version)]
    world.platform.rows[HEAD_KEY] = head
    world.poll()


@when(
    "the configuration table fails, peers know version {version:d} as of {age:d} ms and the follower polls 1 s later"
)
def poll_peers(context, version, age):
    context.world.platform.is_down = True
    context.world.peer_head = (version, age)
    context.world.now_s += 1.0
    context.world.poll()


@when("the configuration follower is paused for 60 s during its next read")
def pause_during_read(context):
    def pause():
        context.world.now_s += 60.0

    context.world.platform.on_read = pause
    context.world.poll()


@when(
    "the configuration object store fails, the head is {version:d} and the follower polls"
)
def poll_without_objects(context, version):
    context.world.objects.is_down = True
    context.world.peer_head = (version, 0)
    poll_head(context, version)


@when("the configuration follower is cut off for 10 s and polls")
def poll_cut_off(context):
    context.world.platform.is_down = True
    context.world.now_s += 10.0
    context.world.poll()


@when(
    "the configuration document of {version:d} is {state}, the head is {head:d} and the follower polls 5 s later"
)
def poll_without_document(context, version, state, head):
    digest, body = context.world.documents[version]
    if state == "missing":
        del context.world.objects.objects[digest]
    else:
        context.world.objects.objects[digest] = body.replace(b"atlas", b"rival")
    context.world.now_s += 5.0
    poll_head(context, head)


@when("the configuration follower runs through an outage until version 3")
def run_through_outage(context):
    world = context.world
    context.seen = []

    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(world.follower.run)
            with anyio.fail_after(30):
                world.set_head(1)
                context.seen.append((await world.follower.wait_for_version(1)).version)
                world.platform.is_down = True
                while not world.metrics.get_count(
                    "config_failures_total", source="peer", reason="peer_unreachable"
                ):
                    await anyio.sleep(0.01)
                world.platform.is_down = False
                world.set_head(3)
                world.follower.notice_version(3)
                context.seen.append((await world.follower.wait_for_version(3)).version)
            tasks.cancel_scope.cancel()

    anyio.run(run)


@then("the configuration in force at the node never went down")
def check_monotonic(context):
    assert context.seen == [1, 3], context.seen
    assert context.world.applied == [1, 3], context.world.applied


@then("the configuration in force at the node is {version:d}, confirmed {age:g} s ago")
def check_in_force(context, version, age):
    world = context.world
    assert world.follower.version == version, world.follower.version
    assert world.freshness.version == version, world.freshness.version
    assert abs(world.freshness.get_age() - age) < 1e-6, world.freshness.get_age()


@then('the configuration follower told the lease row of versions "{versions}"')
def check_applied(context, versions):
    assert context.world.applied == [int(item) for item in versions.split(",")]


@then('the configuration follower counted a stale head of the "{source}"')
def check_stale_count(context, source):
    metrics = context.world.metrics
    assert metrics.get_count("config_stale_heads_total", source=source)


@then('the configuration follower counted failures of "{sources}"')
def check_failures(context, sources):
    series = context.world.metrics.counters["config_failures_total"]
    counted = {dict(labels)["source"] for labels in series}
    assert counted == set(sources.split(",")), series


@then("the configuration follower noticed version {version:d}")
def check_noticed(context, version):
    assert context.world.freshness.newest_version == version


@then("putting version {version:d} of the configuration in force is refused as a fault")
def check_assertion(context, version):
    world = context.world
    digest, body = world.documents[version]
    try:
        world.follower._put_in_force(Snapshot(version, digest, body))
    except AssertionError:
        name = "invariant_violations_total"
        assert world.metrics.get_count(name, invariant="config") == 1
    else:
        raise AssertionError("a lower version was put in force")
    assert world.follower.version > version


@then(
    "the configuration polls of {n_nodes:d} nodes after an outage are spread over 2 s"
)
def check_spread(context, n_nodes):
    world = context.world
    delays = [world.follower.choose_delay(False, 0.0) for _ in range(n_nodes)]
    assert all(0 <= delay <= 2.0 for delay in delays), delays
    per_tenth = Counter(int(delay * 10) for delay in delays)
    assert len(per_tenth) == 20, per_tenth
    assert max(per_tenth.values()) < n_nodes / 8, per_tenth


@then(
    "the configuration polls of {n_nodes:d} nodes in good times are 1 s apart with jitter"
)
def check_jitter(context, n_nodes):
    world = context.world
    started_at = world.now_s - 0.05
    delays = [world.follower.choose_delay(True, started_at) for _ in range(n_nodes)]
    assert all(0.85 <= delay <= 1.05 for delay in delays), delays
    assert len({round(delay, 3) for delay in delays}) > n_nodes / 4


@then('the configuration key "{key}" belongs to account "{account}" on {day}')
def check_key(context, key, account, day):
    snapshot = context.world.follower.get_snapshot()
    assert snapshot.find_key(key, date.fromisoformat(day)).account == account


@then('the configuration key "{key}" is refused on {day}')
def check_key_refused(context, key, day):
    snapshot = context.world.follower.get_snapshot()
    try:
        snapshot.find_key(key, date.fromisoformat(day))
    except ApricotliftError as error:
        assert error.code is Code.UNAUTHENTICATED, error
    else:
        raise AssertionError("the key was accepted")
