"""Steps with a feed, in real time, of a store that loses or refuses calls."""

from dataclasses import dataclass, field

import anyio
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.feeds import Feed, RowSet, StoredRow
from behave import given, then, when

#: Time limit of a call beyond the time for which the store holds it open.
_CALL_TIMEOUT_S = 1.0
_FAR_S = 60.0
_ROW = "row"
_WATCHED_S = 8.0


@dataclass
class FaultyStore:
    """A store whose calls are lost or refused for a time.

    :param fault: ``loses`` or ``refuses``, from ``begin_s`` to ``end_s`` of the test.
    :param n_calls: calls that began in that time.
    """

    poll_s: float
    answer_s: float
    fault: str = ""
    begin_s: float = _FAR_S
    end_s: float = _FAR_S
    write_s: float = _FAR_S
    n_calls: int = 0
    n_waiting: int = 0
    n_waiting_max: int = 0
    started_at: float = field(default_factory=lambda: 0.0)

    @property
    def now_s(self):
        return anyio.current_time() - self.started_at

    async def read_table(self, table):
        return await self._call(0.0, -1)

    async def wait_for_changes(self, table, after, wait_s, era=0):
        return await self._call(wait_s, after)

    async def _call(self, wait_s, after):
        self.n_calls += self.begin_s <= self.now_s < self.end_s
        self.n_waiting += 1
        self.n_waiting_max = max(self.n_waiting_max, self.n_waiting)
        try:
            with anyio.move_on_after(wait_s + _CALL_TIMEOUT_S):
                return await self._answer(wait_s, after)
        finally:
            self.n_waiting -= 1
        raise build_error()

    async def _answer(self, wait_s, after):
        asked_s = self.now_s
        while True:
            if self.now_s >= self.begin_s and asked_s < self.end_s:
                if self.fault == "loses":
                    await anyio.sleep_forever()
                raise build_error()
            version = 2 if self.now_s >= self.write_s else 1
            if version > after or self.now_s >= asked_s + wait_s:
                break
            await anyio.sleep(0.005)
        await anyio.sleep(self.answer_s)
        rows = (StoredRow(_ROW, b"", 2),) if version == 2 and after < 2 else ()
        return RowSet(rows, version, wait_s=wait_s)


def build_error():
    return ApricotliftError(Code.TABLE_UNAVAILABLE, "lost", Ran.NO, Scope.FLEET)


@given(
    "a store that is polled for {poll_s:g} seconds and answers within {answer_s:g} seconds"
)
def step_store(context, poll_s, answer_s):
    context.store = FaultyStore(poll_s, answer_s)


@when("the store {fault} calls from {begin_s:g} to {end_s:g} seconds")
def step_fault(context, fault, begin_s, end_s):
    context.store.fault = fault
    context.store.begin_s = begin_s
    context.store.end_s = end_s
    context.run_s = end_s


@when("a row is written at {write_s:g} seconds")
def step_write(context, write_s):
    context.store.write_s = write_s


@when("the feed runs for {run_s:g} seconds")
def step_run(context, run_s):
    context.run_s = run_s


def run_feed(context, run_s, is_done=lambda: False):
    """Run a feed, and return the time of the row in seconds, if it arrived."""
    store = context.store
    arrived = []

    def apply(rows, is_full_table):
        arrived.extend(store.now_s for row in rows.rows if row.key == _ROW)

    async def run():
        store.started_at = anyio.current_time()
        feed = Feed(store, "t", apply, Metrics(), poll_s=store.poll_s)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(feed.run)
            with anyio.move_on_after(run_s):
                while not arrived:
                    await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    return arrived


@then("the feed has the row within {limit_s:g} seconds of the store's return")
def step_noticed(context, limit_s):
    arrived = run_feed(context, _WATCHED_S)
    assert arrived, "no row"
    late_s = arrived[0] - context.store.end_s
    assert 0 <= late_s <= limit_s, late_s


@then(
    "it gets at most {n_calls:d} calls in that time, of which at most {n:d} wait at once"
)
def step_calls(context, n_calls, n):
    run_feed(context, context.run_s)
    store = context.store
    assert 0 < store.n_calls <= n_calls, store.n_calls
    assert store.n_waiting_max <= n, store.n_waiting_max


@then("no two calls wait at once")
def step_one_call(context):
    run_feed(context, context.run_s)
    assert context.store.n_waiting_max == 1, context.store.n_waiting_max
