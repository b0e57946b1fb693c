"""Steps with feeds of a store that comes back from a copy."""

from dataclasses import replace

import anyio
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.feeds import Feed, RowSet, StoredRow
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
