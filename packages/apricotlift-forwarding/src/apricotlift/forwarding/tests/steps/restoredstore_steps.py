"""Steps with feeds of a store that comes back from a copy."""

from dataclasses import replace

import anyio
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.feeds import Feed, RowSet, StoredRow
from apricotlift.forwarding.routingstate import RoutingState
from apricotlift.forwarding.tests.forwarding_fakes import (
    Clock,
    build_dialect,
    build_row,
)
from behave import given, then, when

TIMEOUT_S = 10.0
_POLL_S = 5.0


class RestorableStore:
    """A table whose last row can be lost, which begins a new era.

    :ivar cuts_polls: whether a restore ends the open polls. Otherwise the client knows
        of the new era at once.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.era = 1
        self.cuts_polls = True
        self.n_polls = 0

    def put(self, key):
        self.version += 1
        self.rows[key] = StoredRow(key, b"", self.version)

    def lose_last_row(self):
        self.rows.popitem()
        self.version -= 1
        self.era += 1

    async def read_table(self, table):
        return RowSet(tuple(self.rows.values()), self.version, era=self.era)

    async def wait_for_changes(self, table, after, wait_s, era=0):
        self.n_polls += 1
        if era < self.era and not self.cuts_polls:
            rows = await self.read_table(table)
            return replace(rows, is_full_table=True, wait_s=wait_s)
        asked_in = self.era
        with anyio.move_on_after(wait_s):
            while not (changes := self._list_changes(after)) or self.era != asked_in:
                if self.era != asked_in and self.cuts_polls:
                    raise ApricotliftError(Code.TABLE_UNAVAILABLE, "cut")
                await anyio.sleep(0.01)
        return RowSet(changes, self.version, wait_s=wait_s, era=self.era)

    def _list_changes(self, after):
        return tuple(row for row in self.rows.values() if row.version > after)


class FollowedTable:
    """The rows that a feed has passed on."""

    def __init__(self, store):
        self.keys = set()
        self.feed = Feed(store, "t", self.apply, Metrics(), poll_s=_POLL_S)

    def apply(self, rows, is_full_table):
        if is_full_table:
            self.keys.clear()
        self.keys.update(row.key for row in rows.rows)


def run_feed(context, action):
    """Run the feed until it polls, then an action, then wait for the expected rows."""

    async def main():
        async with anyio.create_task_group() as tasks:
            with anyio.move_on_after(TIMEOUT_S):
                tasks.start_soon(context.followed.feed.run)
                while not context.store.n_polls:
                    await anyio.sleep(0.01)
                await action()
                with anyio.move_on_after(2 * _POLL_S / 5):
                    while context.followed.keys != context.expected:
                        await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(main)


@given('a feed that follows a store with the rows "{keys}"')
def step_feed(context, keys):
    context.store = RestorableStore()
    for key in keys.split(", "):
        context.store.put(key)
    context.followed = FollowedTable(context.store)


@when(
    'the store loses the last row and the rows "{keys}" are written before the next '
    "poll"
)
def step_lose_and_write(context, keys):
    async def lose_and_write():
        context.store.lose_last_row()
        for key in keys.split(", "):
            context.store.put(key)

    context.action = lose_and_write


@when("the store loses the last row and the feed is refreshed")
def step_lose_and_refresh(context):
    async def lose_and_refresh():
        context.store.cuts_polls = False
        context.store.lose_last_row()
        await context.followed.feed.refresh()

    context.action = lose_and_refresh


@when("the feed is refreshed in a new era while a poll of the earlier one is open")
def step_refresh_during_poll(context):
    answers = []
    store = context.store

    async def answer_late(table, after, wait_s, era=0):
        store.n_polls += 1
        while not answers:
            await anyio.sleep(0.01)
        return answers.pop()

    store.wait_for_changes = answer_late
    context.answers = answers

    async def refresh():
        store.lose_last_row()
        await context.followed.feed.refresh()
        answers.append(context.late_answer)
        while answers:
            await anyio.sleep(0.01)
        await anyio.sleep(0.05)

    context.action = refresh


@when('the poll returns the row "{key}"')
def step_late_answer(context, key):
    context.late_answer = RowSet((StoredRow(key, b"", 9),), 9, wait_s=1.0, era=1)


@when("the store loses the last row without ending the poll and another call shows it")
def step_lose_silently(context):
    async def lose():
        context.store.cuts_polls = False
        context.store.lose_last_row()
        context.followed.feed.note_era(context.store.era)

    context.action = lose


@then('the feed\'s table has the rows "{keys}"')
def step_table_rows(context, keys):
    context.expected = set(keys.split(", "))
    run_feed(context, context.action)
    assert context.followed.keys == context.expected, context.followed.keys


@then("the feed's position is version {version:d} of era {era:d}")
def step_position(context, version, era):
    feed = context.followed.feed
    assert (feed.version, feed.era) == (version, era), (feed.version, feed.era)


#: Versions of the store before the restore, in the copy, and after the restore.
_SEEN_VERSION = 90
_COPY_VERSION = 50
_LATER_VERSION = 60


def build_state(context):
    context.clock = Clock()
    context.state = RoutingState(build_dialect(), None, Metrics(), context.clock)
    for feed in (context.state.operator_feed, context.state.servers_feed):
        feed.is_loaded = True
        feed.era = 1


def see_new_era(context):
    context.clock.now += 5.0
    for feed in (context.state.operator_feed, context.state.servers_feed):
        feed.note_era(2)


def apply_configuration(context, version, route, row_version, era, is_full):
    value = {"version": version, "routes": [route.split(":")]}
    row = build_row("config", value, row_version)
    rows = RowSet((row,), row_version, is_full, era=era)
    context.state._apply_operator(rows, is_full)


def apply_servers(context, entries, version, era, is_full):
    rows = tuple(build_row(name, entry, version) for name, entry in entries.items())
    context.state._apply_servers(RowSet(rows, version, is_full, era=era), is_full)


def build_entry(n_writes, **changes):
    entry = {"service": "svc", "weights": {"m": 1}, "writes": n_writes, "started": 7}
    return {**entry, **changes}


def build_entries(names, n_writes):
    return {name: build_entry(n_writes) for name in names.split(", ")}


@given('a node with configuration {version:d} and the route "{route}"')
def step_node_with_configuration(context, version, route):
    build_state(context)
    apply_configuration(context, version, route, _SEEN_VERSION, 1, True)


@when('the store comes back with configuration {version:d} and the route "{route}"')
def step_restored_configuration(context, version, route):
    see_new_era(context)
    apply_configuration(context, version, route, _COPY_VERSION, 2, True)


@when('the operator writes configuration {version:d} with the route "{route}"')
def step_written_configuration(context, version, route):
    apply_configuration(context, version, route, _LATER_VERSION, 2, False)


@then('configuration {version:d} with the route "{route}" is in force')
def step_configuration_in_force(context, version, route):
    configuration = context.state.configuration
    found = [f"{route.host}:{route.prefix}" for route in configuration.routes]
    assert (configuration.version, found) == (version, [route]), configuration


@given('a node with the servers "{names}" at write number {n_writes:d}')
def step_node_with_servers(context, names, n_writes):
    build_state(context)
    apply_servers(context, build_entries(names, n_writes), _SEEN_VERSION, 1, True)


@given('the entry of "{name}" reports draining')
def step_entry_drains(context, name):
    entry = build_entry(5, state="draining")
    apply_servers(context, {name: entry}, _SEEN_VERSION + 1, 1, False)


@given('the entry of "{name}" is removed')
def step_entry_removed(context, name):
    apply_servers(context, {name: None}, _SEEN_VERSION + 1, 1, False)


@given('the entry of "{name}" is that of another start')
def step_entry_replaced(context, name):
    entry = build_entry(1, started=8, state="draining")
    apply_servers(context, {name: entry}, _SEEN_VERSION + 1, 1, False)


@given("the operator names weight version {version:d}, which all have loaded")
def step_weights_loaded(context, version):
    context.state._apply_weights("m", version)
    entries = {
        name: build_entry(5, weights={"m": version}) for name in context.state.servers
    }
    apply_servers(context, entries, _SEEN_VERSION + 1, 1, False)


@when('the store comes back with the entries of "{names}" at write number {n_writes:d}')
def step_restored_entries(context, names, n_writes):
    see_new_era(context)
    context.restored = build_entries(names, n_writes)
    apply_servers(context, context.restored, _COPY_VERSION, 2, True)


@when('the entry of "{name}" is written at write number {n_writes:d}')
def step_entry_written_again(context, name, n_writes):
    entries = {name: build_entry(n_writes)}
    apply_servers(context, entries, _LATER_VERSION, 2, False)


@when(
    'the whole table is read again after the entry of "{name}" was written at write '
    "number {n_writes:d}"
)
def step_whole_table_again(context, name, n_writes):
    rows = [build_row(key, row, _COPY_VERSION) for key, row in context.restored.items()]
    rows = [row for row in rows if row.key != name]
    rows.append(build_row(name, build_entry(n_writes), _LATER_VERSION))
    read = RowSet(tuple(rows), _LATER_VERSION, True, era=2)
    context.state._apply_servers(read, True)


@then('the node uses the servers "{names}"')
def step_uses(context, names):
    found = [server.server_id for server in context.state.list_servers("svc")]
    assert sorted(found) == names.split(", "), found


@then('{seconds:d} seconds later it uses "{names}"')
def step_uses_later(context, seconds, names):
    context.clock.now += seconds
    step_uses(context, names)


@then("the node orders no engine to load weights")
def step_none_outdated(context):
    found = context.state.list_outdated_engines()
    assert not found, found
