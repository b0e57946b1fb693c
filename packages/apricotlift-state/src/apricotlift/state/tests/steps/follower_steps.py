"""Steps for the configuration follower of a node."""

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
from apricotlift.state.follower import ConfigurationFollower, ConfigurationPeers
from apricotlift.state.freshness import Freshness
from apricotlift.state.snapshots import Snapshot, hash_key
from apricotlift.state.tests.configuration_fakes import FakeObjects, FakeTable
from apricotlift.wire.messages import DocumentReply, HeadReply
from behave import given, then, when

ROUND_TRIP_S = 0.05
SEED = 5


class FollowerFixture:
    """A follower with a fake table, object store, peers and clock."""

    def __init__(self):
        self.now_s = 1000.0
        self.fake_table = FakeTable()
        self.objects = FakeObjects()
        self.metrics = Metrics()
        self.peer_head = None
        self.applied = []
        self.documents = {}
        peers = ConfigurationPeers(
            lambda n: ["p1", "p2"][:n], self.request_head, self.request_document
        )
        self.freshness = Freshness(self.metrics, lambda: self.now_s)
        self.follower = ConfigurationFollower(
            self.fake_table,
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
        self.fake_table.put(*HEAD_KEY, version=version, digest=digest)
        return self.fake_table.rows[HEAD_KEY]

    async def request_head(self, peer):
        if self.peer_head is None:
            raise ApricotliftError(Code.PEER_UNREACHABLE, peer)
        # Let both requests start before either is answered.
        await anyio.lowlevel.checkpoint()
        self.now_s += ROUND_TRIP_S / 2
        version, age_ms = self.peer_head
        digest = self.documents[version][0]
        return HeadReply(version=version, digest=digest, age_ms=age_ms, known=True)

    async def request_document(self, peer, digest):
        bodies = dict(self.documents.values())
        if self.peer_head is None:
            raise ApricotliftError(Code.PEER_UNREACHABLE, peer)
        return DocumentReply(found=digest in bodies, body=bodies.get(digest, b""))

    def poll(self):
        anyio.run(self.follower.poll)


@given("a configuration follower and versions 1 to 3 of the configuration")
def build_fixture(context):
    context.fixture = FollowerFixture()
    for version in (1, 2, 3):
        context.fixture.add_version(version)


@when("the configuration head is {version:d} and the follower polls")
def poll_head(context, version):
    context.fixture.set_head(version)
    context.fixture.poll()


@when(
    "the next configuration read returns stale version {version:d} and the follower polls 1 s later"
)
def poll_stale(context, version):
    fixture = context.fixture
    fixture.now_s += 1.0
    head = fixture.fake_table.rows[HEAD_KEY]
    fixture.fake_table.next_reads = [fixture.set_head(version)]
    fixture.fake_table.rows[HEAD_KEY] = head
    fixture.poll()


@when(
    "the configuration table fails, peers report version {version:d} with an age of {age:d} ms and the follower polls 1 s later"
)
def poll_peers(context, version, age):
    context.fixture.fake_table.is_down = True
    context.fixture.peer_head = (version, age)
    context.fixture.now_s += 1.0
    context.fixture.poll()


@when("the configuration follower is paused for 60 s during its next read")
def pause_during_read(context):
    def pause():
        context.fixture.now_s += 60.0

    context.fixture.fake_table.on_read = pause
    context.fixture.poll()


@when(
    "the configuration object store fails, the head is {version:d} and the follower polls"
)
def poll_without_objects(context, version):
    context.fixture.objects.is_down = True
    context.fixture.peer_head = (version, 0)
    poll_head(context, version)


@when("the configuration follower has no table and no peers for 10 s and polls")
def poll_cut_off(context):
    context.fixture.fake_table.is_down = True
    context.fixture.now_s += 10.0
    context.fixture.poll()


@when(
    "the configuration document of {version:d} is {state}, the head is {head:d} and the follower polls 5 s later"
)
def poll_without_document(context, version, state, head):
    digest, body = context.fixture.documents[version]
    if state == "missing":
        del context.fixture.objects.objects[digest]
    else:
        context.fixture.objects.objects[digest] = body.replace(b"atlas", b"rival")
    context.fixture.now_s += 5.0
    poll_head(context, head)


@when("the configuration follower runs through an outage until version 3")
def run_through_outage(context):
    fixture = context.fixture
    context.versions_in_force = []

    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fixture.follower.run)
            with anyio.fail_after(30):
                fixture.set_head(1)
                context.versions_in_force.append(
                    (await fixture.follower.wait_for_version(1)).version
                )
                fixture.fake_table.is_down = True
                while not fixture.metrics.get_count(
                    "config_failures_total", source="peer", reason="peer_unreachable"
                ):
                    await anyio.sleep(0.01)
                fixture.fake_table.is_down = False
                fixture.set_head(3)
                fixture.follower.handle_newer_version(3)
                context.versions_in_force.append(
                    (await fixture.follower.wait_for_version(3)).version
                )
            tasks.cancel_scope.cancel()

    anyio.run(run)


@then("the configuration version in force at the node never decreased")
def check_monotonic(context):
    assert context.versions_in_force == [1, 3], context.versions_in_force
    assert context.fixture.applied == [1, 3], context.fixture.applied


@then("the configuration in force at the node is {version:d}, confirmed {age:g} s ago")
def check_in_force(context, version, age):
    fixture = context.fixture
    assert fixture.follower.version == version, fixture.follower.version
    assert fixture.freshness.version == version, fixture.freshness.version
    assert abs(fixture.freshness.get_age() - age) < 1e-6, fixture.freshness.get_age()


@then('the configuration follower reported versions "{versions}" as applied')
def check_applied(context, versions):
    assert context.fixture.applied == [int(item) for item in versions.split(",")]


@then('the configuration follower counted a stale head of the "{source}"')
def check_stale_count(context, source):
    metrics = context.fixture.metrics
    assert metrics.get_count("config_stale_heads_total", source=source)


@then('the configuration follower counted failures of "{sources}"')
def check_failures(context, sources):
    series = context.fixture.metrics.counters["config_failures_total"]
    counted = {dict(labels)["source"] for labels in series}
    assert counted == set(sources.split(",")), series


@then("the configuration follower noticed version {version:d}")
def check_noticed(context, version):
    assert context.fixture.freshness.newest_version == version


@then(
    "putting version {version:d} of the configuration in force raises an assertion error"
)
def check_assertion(context, version):
    fixture = context.fixture
    digest, body = fixture.documents[version]
    try:
        fixture.follower._put_in_force(Snapshot(version, digest, body))
    except AssertionError:
        name = "invariant_violations_total"
        assert fixture.metrics.get_count(name, invariant="config") == 1
    else:
        raise AssertionError("a lower version was put in force")
    assert fixture.follower.version > version


@then(
    "the configuration polls of {n_nodes:d} nodes after an outage are spread over 2 s"
)
def check_spread(context, n_nodes):
    fixture = context.fixture
    delays = [fixture.follower.choose_delay(False, 0.0) for _ in range(n_nodes)]
    assert all(0 <= delay <= 2.0 for delay in delays), delays
    per_tenth = Counter(int(delay * 10) for delay in delays)
    assert len(per_tenth) == 20, per_tenth
    assert max(per_tenth.values()) < n_nodes / 8, per_tenth


@then(
    "the configuration polls of {n_nodes:d} nodes after successful polls are 1 s apart with jitter"
)
def check_jitter(context, n_nodes):
    fixture = context.fixture
    started_at = fixture.now_s - 0.05
    delays = [fixture.follower.choose_delay(True, started_at) for _ in range(n_nodes)]
    assert all(0.85 <= delay <= 1.05 for delay in delays), delays
    assert len({round(delay, 3) for delay in delays}) > n_nodes / 4


@then('the configuration key "{key}" belongs to account "{account}" on {day}')
def check_key(context, key, account, day):
    snapshot = context.fixture.follower.get_snapshot()
    assert snapshot.find_key(key, date.fromisoformat(day)).account == account


@then('the configuration key "{key}" is refused on {day}')
def check_key_refused(context, key, day):
    snapshot = context.fixture.follower.get_snapshot()
    try:
        snapshot.find_key(key, date.fromisoformat(day))
    except ApricotliftError as error:
        assert error.code is Code.UNAUTHENTICATED, error
    else:
        raise AssertionError("the key was accepted")
