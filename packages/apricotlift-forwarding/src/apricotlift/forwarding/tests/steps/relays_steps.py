"""Steps for relays: nodes, their store and their messages."""

from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import anyio
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.feeds import POLL_S, Feed, RowSet, StoredRow
from apricotlift.forwarding.relays import Peers, Relay
from apricotlift.forwarding.tablecopies import TableCopy
from apricotlift.wire.messages import RowsReply, RowsRequest
from behave import given, then, when

TIMEOUT_S = 20.0
#: Limit for scenarios in which readers fail, and for those in which none may be slow.
APPLY_LIMIT_S = 1.0
LONG_APPLY_LIMIT_S = 4.0
TABLE = "operator"
_POLL_MARGIN_S = 0.3
FAILURES = {
    "don't answer": ("reader", "silent"),
    "refuse to answer": ("reader", "refuse"),
    "get no answer from the store": ("store", "silent"),
    "are refused by the store": ("store", "refuse"),
}


def build_error(code):
    return ApricotliftError(code, "simulated")


@dataclass
class Store:
    """A table with a version, whose faults differ by node."""

    version: int = 1
    era: int = 1
    rows: dict[str, StoredRow] = field(default_factory=dict)
    faults: dict[str, str] = field(default_factory=dict)
    polling: set[str] = field(default_factory=set)
    changed: anyio.Event = field(default_factory=anyio.Event)

    def write(self, key):
        self.version += 1
        self.rows[key] = StoredRow(key, b"value", self.version)
        self.changed.set()
        self.changed = anyio.Event()

    def restore(self, version):
        """Go back to a version, as a new era, which cuts the open polls."""
        self.version = version
        self.era += 1
        self.rows = {k: row for k, row in self.rows.items() if row.version <= version}
        self.changed.set()
        self.changed = anyio.Event()

    async def check(self, node):
        while self.faults.get(node) == "hang":
            await anyio.sleep(0.01)
        if self.faults.get(node) == "silent":
            await anyio.sleep(0.5)
        if self.faults.get(node):
            raise build_error(Code.TABLE_UNAVAILABLE)

    async def wait(self, node, after, wait_s):
        await self.check(node)
        self.polling.add(node)
        era = self.era
        changes = tuple(row for row in self.rows.values() if row.version > after)
        if not changes:
            with anyio.move_on_after(wait_s):
                await self.changed.wait()
            await self.check(node)
            if self.era != era:
                raise build_error(Code.TABLE_UNAVAILABLE)
        changes = tuple(row for row in self.rows.values() if row.version > after)
        return RowSet(changes, self.version, era=self.era)


@dataclass
class NodeStore:
    """The store as one node reaches it."""

    store: Store
    name: str
    era: int = 0
    on_new_era: Callable[[int], None] = lambda era: None

    def note_era(self, era):
        if era > self.era:
            is_first = self.era == 0
            self.era = era
            if not is_first:
                self.on_new_era(era)

    async def read_table(self, table):
        await self.store.check(self.name)
        self.note_era(self.store.era)
        rows = tuple(self.store.rows.values())
        return RowSet(rows, self.store.version, era=self.store.era)

    async def wait_for_changes(self, table, after, wait_s, era=0):
        if 0 < era < self.era:
            return replace(await self.read_table(table), is_full_table=True)
        rows = await self.store.wait(self.name, after, wait_s)
        self.note_era(rows.era)
        return rows


@dataclass
class World:
    """The nodes, in four failure domains."""

    store: Store = field(default_factory=Store)
    relays: dict[str, Relay] = field(default_factory=dict)
    feeds: dict[str, Feed] = field(default_factory=dict)
    faults: dict[str, str] = field(default_factory=dict)
    apply_limit_s: float = APPLY_LIMIT_S
    delay_s: float = 0.0
    delayed_s: float = 0.0

    def add_node(self, name):
        store = NodeStore(self.store, name)
        relay = Relay(store, self.apply_limit_s, Metrics())
        store.on_new_era = relay.note_era
        feed = Feed(relay, TABLE, lambda rows, is_full: None, Metrics())
        relay.register(feed)
        self.relays[name] = relay
        self.feeds[name] = feed

    def connect(self):
        domains = {name: f"z{int(name[1:]) % 4}" for name in self.relays}
        for name, relay in self.relays.items():
            relay.peers = Peers(name, lambda: domains, lambda name: name, self.request)

    async def request(self, address, message, timeout_s):
        if self.faults.get(address) == "silent":
            await anyio.sleep(timeout_s)
            raise build_error(Code.PEER_UNREACHABLE)
        if self.faults.get(address) == "refuse":
            raise build_error(Code.PEER_UNREACHABLE)
        reply = await self.relays[address].handle_rows(message, None)
        self.delayed_s += self.delay_s
        return reply

    def list_followers(self):
        return [name for name, relay in self.relays.items() if relay.list_readers()]

    def list_readers(self):
        return [name for name in self.relays if name not in self.list_followers()]

    def has_row(self, name, key):
        copy = self.relays[name]._copies[TABLE]
        return any(row.key == key for row in copy.collect(-1).rows)


def run_nodes(context, check, apply_limit_s=APPLY_LIMIT_S):
    """Run the nodes from their start, repeat the steps so far, and run a check."""

    async def main():
        world = World(apply_limit_s=apply_limit_s)
        for number in range(context.n_nodes):
            world.add_node(f"n{number}")
        async with run_feeds(world):
            await settle(world)
            with anyio.fail_after(TIMEOUT_S):
                for action in context.actions:
                    await action(world)
                await check(world)

    anyio.run(main)


@asynccontextmanager
async def run_feeds(world):
    async with anyio.create_task_group() as tasks:
        for feed in world.feeds.values():
            tasks.start_soon(feed.run)
        yield
        tasks.cancel_scope.cancel()


async def settle(world):
    """Wait until each node reads as it will in steady state."""
    await wait_until(lambda: all(feed.is_loaded for feed in world.feeds.values()))
    world.connect()
    followers = world.list_followers()
    await wait_until(
        lambda: all(world.relays[name]._tables[TABLE].is_relayed for name in followers)
    )


async def wait_until(condition):
    with anyio.fail_after(TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.01)


@given("{n:d} nodes that follow a table")
def step_nodes(context, n):
    context.n_nodes = n
    context.actions = []


@when("the readers {failure}")
def step_readers_fail(context, failure):
    place, fault = FAILURES[failure]

    async def fail(world):
        faults = world.faults if place == "reader" else world.store.faults
        faults.update(dict.fromkeys(world.list_readers(), fault))

    context.actions.append(fail)


@when("the followers are refused by the store")
def step_followers_refused(context):
    async def refuse(world):
        world.store.faults = dict.fromkeys(world.list_followers(), "refuse")

    context.actions.append(refuse)


@when("all nodes are refused by the store")
def step_all_refused(context):
    async def refuse(world):
        world.store.faults = dict.fromkeys(world.relays, "refuse")

    context.actions.append(refuse)


@when("all nodes are served by the store")
def step_all_served(context):
    async def serve(world):
        world.store.faults = {}

    context.actions.append(serve)


@when("a row is written")
def step_write(context):
    async def write(world):
        world.store.write("new")

    context.actions.append(write)


@then("all nodes have the row")
def step_all_have_row(context):
    async def check(world):
        await wait_until(
            lambda: all(world.has_row(name, "new") for name in world.feeds)
        )

    context.actions.append(check)
    run_nodes(context, pass_check)


@then("all nodes but the readers have the row")
def step_followers_have_row(context):
    async def check(world):
        names = world.list_followers()
        assert len(names) == context.n_nodes - 3, names
        await wait_until(lambda: all(world.has_row(name, "new") for name in names))

    run_nodes(context, check)


async def pass_check(world):
    """Check nothing besides the steps."""


@then("{n:d} nodes poll the store")
def step_n_poll(context, n):
    async def check(world):
        # Polls that began before the nodes knew each other end within the limit.
        await anyio.sleep(POLL_S)
        world.store.polling.clear()
        # Each node that polls begins a poll in a time that is longer than one poll.
        await anyio.sleep(POLL_S + _POLL_MARGIN_S)
        assert len(world.store.polling) == n, world.store.polling

    run_nodes(context, check, LONG_APPLY_LIMIT_S)


@then("all nodes report that the store fails")
def step_all_failing(context):
    async def check(world):
        await wait_until(lambda: all(feed.is_failing for feed in world.feeds.values()))

    context.actions.append(check)


@then("no node reports that the store fails")
def step_none_failing(context):
    async def check(world):
        await wait_until(
            lambda: not any(feed.is_failing for feed in world.feeds.values())
        )

    run_nodes(context, check)


@then("the readers are in different failure domains")
def step_reader_domains(context):
    async def check(world):
        domains = world.relays["n0"].peers.list_domains()
        readers = world.list_readers()
        assert len({domains[name] for name in readers}) == len(readers) == 3, readers

    run_nodes(context, check)


@then("followers in the failure domain of a reader ask it first")
def step_nearest_reader(context):
    async def check(world):
        domains = world.relays["n0"].peers.list_domains()
        nearest = {domains[name]: name for name in world.list_readers()}
        for name in world.list_followers():
            if domains[name] in nearest:
                asked = world.relays[name].list_readers()[0]
                assert asked == nearest[domains[name]], (name, asked)

    run_nodes(context, check)


@when(
    "the store comes back without the last row, and {n:d} rows are written before the "
    "next polls"
)
def step_restore(context, n):
    async def restore(world):
        world.store.write("lost")
        await wait_until(
            lambda: all(world.has_row(name, "lost") for name in world.feeds)
        )
        world.store.restore(world.store.version - 1)
        for number in range(n):
            world.store.write(f"new{number}")

    context.actions.append(restore)


@then("all nodes have these {n:d} rows and not the lost one")
def step_all_have_restored(context, n):
    keys = {f"new{number}" for number in range(n)}

    async def check(world):
        with anyio.move_on_after(TIMEOUT_S / 2):
            await wait_until(
                lambda: all(list_keys(world, name) == keys for name in world.feeds)
            )
        wrong = {
            name: list_keys(world, name)
            for name in world.feeds
            if list_keys(world, name) != keys
        }
        assert not wrong, wrong

    run_nodes(context, check)


def list_keys(world, name):
    return {row.key for row in world.relays[name]._copies[TABLE].collect(-1).rows}


@when("the store comes back without the last row and answers no reader")
def step_restore_silently(context):
    async def restore(world):
        world.store.write("lost")
        await wait_until(
            lambda: all(world.has_row(name, "lost") for name in world.feeds)
        )
        world.store.faults = dict.fromkeys(world.list_readers(), "hang")
        world.store.restore(world.store.version - 1)
        world.store.write("new0")

    context.actions.append(restore)


@then("a follower that has seen it gets no rows of its reader")
def step_no_rows_of_reader(context):
    async def ask(world):
        relay = world.relays[world.list_followers()[0]]
        version, era = world.store.version, world.store.era
        reader = relay.list_readers()[0]
        try:
            context.rows = await relay._ask_reader(reader, TABLE, version, POLL_S, era)
        except ApricotliftError as error:
            context.error = error

    context.rows = context.error = None
    run_nodes(context, ask, LONG_APPLY_LIMIT_S)
    assert context.error is not None, context.rows
    assert context.error.code is Code.TABLE_UNAVAILABLE, context.error


@when("a node of a build without eras asks a reader")
def step_ask_without_era(context):
    async def ask(world):
        relay = world.relays[world.list_readers()[0]]
        context.reply = await relay.handle_rows(RowsRequest(TABLE, -1, 0), None)

    run_nodes(context, ask)


@then("the reply has no field that it doesn't know")
def step_known_fields(context):
    known = {"version", "is_full_table", "age_ms", "held_ms", "rows"}
    body = context.reply.to_map()
    assert set(body) == known, set(body)
    assert RowsReply.from_map(body).era == 0
    reply = replace(context.reply, era=2)
    assert RowsReply.from_map(reply.to_map()) == reply


@when(
    "the store comes back from a copy, and the whole table of era {era:d} is read at "
    'version {version:d} with the rows "{rows}"'
)
def step_read_new_era(context, era, version, rows):
    read = RowSet(build_rows(rows, 5), version, era=era)
    context.copy.apply(read, True)


@then(
    'a node at version {version:d} of era {era:d} is given "{wanted}" as the whole table'
)
def step_given_of_era(context, version, era, wanted):
    rows = context.copy.collect(version, era)
    assert {row.key for row in rows.rows} == set(wanted.split(", ")), rows
    assert rows.is_full_table, rows


@when("a follower is asked for rows")
def step_ask_follower(context):
    async def ask(world):
        relay = world.relays[world.list_followers()[0]]
        try:
            await relay.handle_rows(RowsRequest(TABLE, -1, 0), None)
        except ApricotliftError as error:
            context.error = error

    context.error = None
    run_nodes(context, ask)


@then("it refuses with {code}")
def step_refused(context, code):
    assert context.error is not None and context.error.code == code, context.error


@when("a follower polls for a row that was written, and polls again")
def step_poll_twice(context):
    async def poll(world):
        pauses = []

        async def record_pause(seconds):
            pauses.append(seconds)

        version = world.store.version
        world.store.write("new")
        name = world.list_followers()[0]
        store = NodeStore(world.store, name)
        relay = Relay(store, APPLY_LIMIT_S, Metrics(), sleep=record_pause)
        relay.peers = world.relays[name].peers
        rows = await relay.wait_for_changes(TABLE, version, POLL_S, world.store.era)
        assert [row.key for row in rows.rows] == ["new"], rows
        context.first_pauses = list(pauses)
        await relay.wait_for_changes(TABLE, rows.version, POLL_S, rows.era)
        context.pauses = pauses

    run_nodes(context, poll)


@then("it paused before the second poll only")
def step_paused_once(context):
    assert context.first_pauses == [], context.first_pauses
    assert len(context.pauses) == 1 and context.pauses[0] > 0, context.pauses


@when("the replies of the readers wait {seconds:d} seconds in a buffer")
def step_replies_wait(context, seconds):
    async def receive_late(world):
        name = world.list_followers()[0]
        relay = world.relays[name]
        world.delay_s = seconds
        relay.clock = lambda: clocks.monotonic() + world.delayed_s
        reader = relay.list_readers()[0]
        try:
            await relay._ask_reader(reader, TABLE, 10_000, 2.2, 0)
        except ApricotliftError as error:
            context.error = error

    context.error = None
    run_nodes(context, receive_late)


@then("the followers don't use them")
def step_not_used(context):
    assert context.error is not None and "s old" in context.error.message


def build_rows(text, version):
    return tuple(StoredRow(key, b"value", version) for key in text.split(", "))


@given('a copy of a table that was read at version {version:d} with the rows "{rows}"')
def step_copy(context, version, rows):
    context.copy = TableCopy()
    context.copy.apply(RowSet(build_rows(rows, 5), version), True)


@when(
    'the row "{gone}" is deleted at version {first:d} and "{new}" is written at version '
    "{second:d}"
)
def step_change(context, gone, first, new, second):
    context.copy.apply(RowSet((StoredRow(gone, None, first),), first), False)
    context.copy.apply(RowSet(build_rows(new, second), second), False)


@when('the whole table is read at version {version:d} with the rows "{rows}"')
def step_read_again(context, version, rows):
    context.copy.apply(RowSet(build_rows(rows, 5), version), True)


@then('a node at version {version:d} is given "{wanted}" as {kind}')
def step_given(context, version, wanted, kind):
    rows = context.copy.collect(version)
    found = {row.key + (" deleted" if row.value is None else "") for row in rows.rows}
    assert found == set(wanted.split(", ")), rows
    assert rows.is_full_table == (kind == "the whole table"), rows
