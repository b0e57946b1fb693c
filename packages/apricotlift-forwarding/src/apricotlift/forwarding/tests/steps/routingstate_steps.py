import builtins
import contextlib
import io
import json

import anyio
from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.feeds import Feed, RowSet, StoredRow
from apricotlift.forwarding.overlappedcalls import Answer
from apricotlift.forwarding.routingstate import RoutingState
from apricotlift.forwarding.tests.forwarding_fakes import (
    Clock,
    build_dialect,
    build_row,
    build_rows,
    decode_instruction,
    decode_server,
)
from behave import given, then, when


@given("an empty routing state")
def step_empty(context):
    context.clock = Clock()
    context.routing_state = RoutingState(
        build_dialect(), None, Metrics(), context.clock
    )


@given('a routing state with the servers "{names}"')
def step_servers(context, names):
    step_empty(context)
    entry = {"service": "svc", "weights": {"m": 1}}
    rows = [(name, entry) for name in names.split(", ")]
    context.routing_state._apply_servers(build_rows(*rows), True)


@given('a routing state with the routes "{routes}"')
def step_routes(context, routes):
    step_empty(context)
    pairs = [item.split(":") for item in routes.split(", ")]
    rows = build_rows(("config", {"version": 1, "routes": pairs}))
    context.routing_state._apply_operator(rows, True)


@when(
    "the operator's rows contain configuration {first:d} and then configuration "
    "{second:d}"
)
def step_two_configurations(context, first, second):
    for version in (first, second):
        rows = build_rows(("config", {"version": version}))
        context.routing_state._apply_operator(rows, True)


@when("the operator's rows contain an unreadable row and configuration {version:d}")
def step_unreadable_row(context, version):
    rows = (
        StoredRow("weights/m", b"\xff", 1),
        build_row("config", {"version": version}),
    )
    context.routing_state._apply_operator(RowSet(rows, 1), True)


@when(
    'the servers\' rows contain the entry "{readable}" and an unreadable entry '
    '"{unreadable}"'
)
def step_unreadable_server_row(context, readable, unreadable):
    rows = (StoredRow(unreadable, b"{", 1), build_row(readable, {"service": "svc"}))
    context.routing_state._apply_servers(RowSet(rows, 1), True)


@when('the entry of "{name}" becomes unreadable')
def step_entry_unreadable(context, name):
    context.routing_state._apply_servers(RowSet((StoredRow(name, b"[]", 2),), 2), False)


@when('{seconds:d} seconds pass and the entry of "{name}" is deleted')
def step_entry_deleted(context, seconds, name):
    context.clock.now += seconds
    context.routing_state._apply_servers(build_rows((name, None)), False)


@when("all entries have lapsed during an outage of the store")
def step_entries_lapsed(context):
    step_calls_fail(context, 5.0, 0.5)
    context.routing_state._apply_servers(build_rows(), True)


@when(
    "calls of the servers' table fail for {seconds:g} seconds, the last one "
    "{last_call_s:g} seconds before an answer"
)
def step_calls_fail(context, seconds, last_call_s):
    feed = context.routing_state.servers_feed
    error = ApricotliftError(Code.TABLE_UNAVAILABLE, "refused")
    feed._note_error(error, context.clock())
    context.clock.now += seconds - last_call_s
    feed._note_error(error, context.clock())
    context.clock.now += last_call_s
    feed._note_success(Answer(build_rows(), context.clock()))


@when("a poll of the servers' table is overtaken by a call {seconds:g} seconds later")
def step_overtaken(context, seconds):
    feed = context.routing_state.servers_feed
    asked_at = context.clock()
    context.clock.now += seconds
    feed._note_success(Answer(build_rows(), context.clock(), asked_at))


@when('the entry of "{name}" is missing {seconds:g} seconds after the answer')
def step_missing_after(context, name, seconds):
    context.clock.now += seconds
    context.missing_at = context.clock()
    context.routing_state._apply_servers(build_rows((name, None)), False)


@then('"{name}" is used for {seconds:g} seconds from then on')
def step_used_for(context, name, seconds):
    state = context.routing_state
    step_s = 0.05
    while name in [server.server_id for server in state.list_servers("svc")]:
        context.clock.now += step_s
        assert context.clock.now < context.missing_at + 10
    found = context.clock() - context.missing_at
    assert abs(found - seconds) <= step_s + 1e-6, found


@when('the entry of "{name}" is written again and {seconds:d} seconds pass')
def step_entry_written(context, name, seconds):
    context.routing_state._apply_servers(build_rows((name, {"service": "svc"})), False)
    context.clock.now += seconds


@when('the entry of "{name}" reports draining')
def step_draining(context, name):
    row = (name, {"service": "svc", "state": "draining"})
    context.routing_state._apply_servers(build_rows(row), False)


@given("the operator names weight version {version:d} for them")
def step_weights_named(context, version):
    context.routing_state._apply_weights("m", version)
    assert len(context.routing_state.list_outdated_engines()) == 3


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    context.clock.now += seconds


@given('a decoder that raises "{error}" for the row "{key}"')
def step_failing_decoder(context, error, key):
    def decode(row_key, value):
        if row_key == key:
            raise getattr(builtins, error)("the fault of the test")
        return decode_server(row_key, value)

    def decode_operator_row(row_key, value):
        if row_key == key:
            raise getattr(builtins, error)("the fault of the test")
        return decode_instruction(row_key, value)

    context.routing_state.dialect = build_dialect(
        decode_server=decode, decode_instruction=decode_operator_row
    )


@when('the entries of "{names}" are written again')
def step_entries_written(context, names):
    rows = [(name, {"service": "svc"}) for name in names.split(", ")]
    with capture_log() as context.log:
        context.routing_state._apply_servers(build_rows(*rows), False)


@when('the entry of "{name}" is refused with a reason of {n:d} characters')
def step_long_reason(context, name, n):
    def decode(key, value):
        raise ValueError("x" * n)

    context.routing_state.dialect = build_dialect(decode_server=decode)
    with capture_log() as context.log:
        context.routing_state._apply_servers(build_rows((name, {})), False)


@contextlib.contextmanager
def capture_log():
    """Collect the log lines, formatted, that are written in the block."""
    stream = io.StringIO()
    with contextlib.redirect_stderr(stream):
        logs.configure("routingstate-tests")
        yield stream
    logs.configure("routingstate-tests")


@then("{n:d} row of the servers was refused")
def step_rows_refused(context, n):
    metrics = context.routing_state.metrics
    assert metrics.get_count("rows_refused_total", table="servers") == n


@then('the log line "{event}" names the row "{key}" and "{error}"')
def step_log_line(context, event, key, error):
    lines = [json.loads(line) for line in context.log.getvalue().splitlines()]
    (line,) = (line for line in lines if line["event"] == event)
    assert line["server"] == key and error in line["reason"], line


@then('the log line "{event}" has at most {n:d} characters')
def step_log_line_length(context, event, n):
    (line,) = (
        line for line in context.log.getvalue().splitlines() if f'"{event}"' in line
    )
    assert len(line) <= n, len(line)


@then("no engine is outdated")
def step_not_outdated(context):
    assert not context.routing_state.list_outdated_engines()


@then("configuration {version:d} is in force")
def step_in_force(context, version):
    assert context.routing_state.configuration.version == version


@then('the servers are "{names}"')
def step_are(context, names):
    found = [server.server_id for server in context.routing_state.list_servers("svc")]
    assert sorted(found) == names.split(", "), found


@then('the host "{host}" and the path "{path}" match the route "{name}"')
def step_route(context, host, path, name):
    route = context.routing_state.find_route(host, path)
    assert (route.name if route else "none") == name, route


class Source:
    """A table whose history can be discarded, and which can be unavailable."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.kept_from = 0
        self.is_away = False

    def put(self, key):
        self.version += 1
        self.rows[key] = self.version

    async def read_table(self, table):
        self._check()
        rows = [StoredRow(key, b"", version) for key, version in self.rows.items()]
        return RowSet(tuple(rows), self.version)

    async def wait_for_changes(self, table, after, wait_s, era=0):
        for _ in range(20):
            self._check()
            if after < self.kept_from:
                raise ApricotliftError(Code.HISTORY_LOST, "dropped")
            changed = {k: v for k, v in self.rows.items() if v > after}
            if changed:
                rows = [StoredRow(key, b"", v) for key, v in changed.items()]
                return RowSet(tuple(rows), self.version)
            await anyio.sleep(0.01)
        return RowSet((), self.version)

    def _check(self):
        if self.is_away:
            raise ApricotliftError(Code.TABLE_UNAVAILABLE, "refused")


@given('a store with the row "{key}"')
def step_store(context, key):
    context.source = Source()
    context.source.put(key)


@when("a feed follows it")
def step_feed(context):
    context.script = []
    context.n_failing = 0


@when("a feed follows it and fails to apply its first rows")
def step_failing_feed(context):
    context.script = []
    context.n_failing = 1


@when('the store discards its history and receives the row "{key}"')
def step_discard_history(context, key):
    def discard_history():
        context.source.version += 5
        context.source.put(key)
        context.source.kept_from = context.source.version

    context.script.append([discard_history])


@when('the store is unavailable for a while and receives the row "{key}"')
def step_outage(context, key):
    def begin_outage():
        context.source.is_away = True
        context.source.put(key)

    def end_outage():
        context.source.is_away = False

    context.script.append([begin_outage, end_outage])


@then('the feed has the rows "{keys}"')
def step_feed_rows(context, keys):
    found = set()

    async def run():
        def apply(rows, is_full_table):
            if context.n_failing:
                context.n_failing -= 1
                raise OverflowError("int too large to convert to float")
            found.update(row.key for row in rows.rows)

        feed = Feed(context.source, "t", apply, Metrics())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(feed.run)
            for steps in context.script:
                for step in steps:
                    await anyio.sleep(0.1)
                    step()
            with anyio.move_on_after(5):
                while found != set(keys.split(", ")):
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    assert found == set(keys.split(", ")), found
