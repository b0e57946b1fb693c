"""Steps with nodes that record named weight versions in a table in memory."""

import json
from dataclasses import dataclass, field

import anyio
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.clusterrows import ClusterRows
from apricotlift.forwarding.feeds import RowSet
from apricotlift.forwarding.routingstate import RoutingState
from apricotlift.forwarding.tests.forwarding_fakes import (
    Clock,
    FollowedTable,
    build_dialect,
    build_row,
    build_rows,
)
from apricotlift.forwarding.weightrecords import PREFIX, WeightRecords
from behave import given, then, when

MODEL = "m"
_LIMIT_S = 7.0
_SOON_S = 3.0


@dataclass
class RecordingNode:
    """A node as far as it reads and records versions."""

    name: str
    world: "RecordingWorld"
    n_read: int = 0
    state: RoutingState = field(init=False)
    rows: ClusterRows = field(init=False)
    records: WeightRecords = field(init=False)

    def __post_init__(self):
        clock = self.world.clock
        self.state = RoutingState(build_dialect(), None, Metrics(), clock)
        self.rows = ClusterRows(None, Metrics(), clock)
        self.records = WeightRecords(
            self.name,
            self.world.table,
            self.rows,
            self.state,
            lambda: list(self.world.nodes),
            Metrics(),
            self.world.read_history,
            clock,
        )

    def start(self, reads_records=True):
        self.read_operator(is_full_table=True)
        self.state.servers_feed.is_loaded = True
        if reads_records:
            self.read_whole_table()
            self.rows.feed.version = len(self.world.changes)
            self.rows.feed.is_loaded = True
            anyio.run(self.records.catch_up)

    def read_operator(self, is_full_table=False):
        feed = self.state.operator_feed
        feed._note_certain(self.world.clock())
        feed.version = len(self.world.changes)
        row = {"model": MODEL, "version": self.world.row_version}
        rows = build_rows(
            ("weights/m", row), ("config", {"version": 1, "routes": []}), version=1
        )
        self.state._apply_operator(rows, is_full_table)
        feed.is_loaded = True

    def read_whole_table(self, era=0):
        table = self.world.table
        self.n_read = len(table.changes)
        rows = RowSet(tuple(table.stored.values()), self.n_read, True, era=era)
        self.rows._apply(rows, True)

    def read_records(self):
        changes = tuple(self.world.table.changes[self.n_read :])
        self.n_read += len(changes)
        self.rows._apply(RowSet(changes, self.n_read), False)

    def get_newest(self):
        return self.state.weight_targets.get_newest(MODEL).version

    def may_use(self, version):
        successor = self.state.weight_targets.find_successor(MODEL, version)
        if successor is None:
            return True
        return self.world.clock() - successor.named_after <= _LIMIT_S


@dataclass
class RecordingWorld:
    """Nodes that read the operator's row and follow one table."""

    clock: Clock = field(default_factory=Clock)
    table: FollowedTable = field(default_factory=FollowedTable)
    nodes: dict[str, RecordingNode] = field(default_factory=dict)
    row_version: int = 1
    changes: list[int] = field(default_factory=list)
    history: str = "kept"

    def __post_init__(self):
        self.changes.append(self.row_version)

    async def read_history(self, after, era):
        """Return the changes of the operator's row after a position."""
        n_kept = {"discarded": 0, "short": 5}.get(self.history, len(self.changes))
        if len(self.changes) - after > n_kept:
            raise ApricotliftError(Code.HISTORY_LOST, "discarded")
        if self.history == "unanswered":
            await anyio.sleep_forever()
        rows = [
            build_row("weights/m", {"model": MODEL, "version": version})
            for version in self.changes[after:]
        ]
        return RowSet(tuple(rows), len(self.changes), era=era)

    def start(self, name, reads_records=True):
        self.nodes[name] = RecordingNode(name, self)
        self.nodes[name].start(reads_records)

    def name_version(self, version):
        self.clock.now += 1.0
        self.row_version = version
        self.changes.append(version)

    def let_record(self):
        """Have each node in turn write what isn't recorded yet."""
        for node in self.nodes.values():
            for item in node.records.list_missing():
                anyio.run(node.records.write, *item)
            self.spread()

    def spread(self):
        for reader in self.nodes.values():
            reader.read_records()
            reader.records.take_over_records()

    def read_operator(self):
        for node in self.nodes.values():
            node.read_operator()

    def list_versions(self):
        keys = [key for key in self.table.stored if key.startswith(PREFIX)]
        return sorted(int(key.split(".")[1]) for key in keys)


@given('the nodes "{names}", which know version {version:d} of the weights')
def step_recording_nodes(context, names, version):
    context.world = RecordingWorld(row_version=version)
    for name in names.split(", "):
        context.world.start(name)
    context.world.let_record()


@when("the operator names version {version:d}")
def step_name(context, version):
    context.world.name_version(version)
    context.world.read_operator()
    context.world.let_record()


@when("the operator's row shows version {version:d} again")
def step_row_goes_back(context, version):
    context.world.name_version(version)
    context.world.read_operator()


@when('the nodes "{names}" are killed, and "{started}" starts')
def step_killed(context, names, started):
    for name in names.split(", "):
        del context.world.nodes[name]
    context.world.clock.now += 2.0
    context.world.start(started)


@when(
    "all nodes are killed, the operator names version {version:d}, and its row shows "
    "version {older:d} again"
)
def step_named_unseen(context, version, older):
    context.world.nodes.clear()
    # Other rows have changed since the record was written.
    context.world.changes += [1] * 30
    context.world.name_version(version)
    context.world.name_version(older)


@when('the store\'s history is {state}, and "{name}" starts')
def step_start_with_history(context, state, name):
    context.world.history = state
    context.world.start(name)


@when('"{name}" starts without access to the nodes\' own table')
def step_start_without_table(context, name):
    context.world.start(name, reads_records=False)


@when(
    "the operator names version {version:d}, and its row shows version {older:d} before "
    '"{name}" reads it'
)
def step_missed(context, version, older, name):
    world = context.world
    world.name_version(version)
    for other in world.nodes.values():
        if other.name != name:
            other.read_operator()
    world.name_version(older)
    world.let_record()
    world.clock.now += 0.5
    world.read_operator()
    world.let_record()


@when('the operator names version {version:d}, and "{name}" reads its record first')
def step_record_first(context, version, name):
    world = context.world
    world.name_version(version)
    for other in world.nodes.values():
        if other.name != name:
            other.read_operator()
    world.clock.now += 0.5
    world.let_record()


@when('"{name}" reads the operator\'s row')
def step_read_row(context, name):
    context.world.clock.now += 0.1
    node = context.world.nodes[name]
    node.read_operator()
    node.records.take_over_records()


@when(
    "the operator names version {version:d}, and the store carries out its record late"
)
def step_late_record(context, version):
    world = context.world
    world.name_version(version)
    world.read_operator()
    table = FollowedTable()
    writer = world.nodes["n1"].records
    writer.table = table
    for item in writer.list_missing():
        anyio.run(writer.write, *item)
    writer.table = world.table
    writer._records.clear()
    context.late_changes = table.changes
    assert context.late_changes


@when("the store carries out the late write")
def step_late_write(context):
    for row in context.late_changes:
        context.world.table.add(row.key, row.value)
    context.world.spread()


@when("the store comes back from a copy without the records")
def step_records_lost(context):
    world = context.world
    world.table.stored.clear()
    for node in world.nodes.values():
        node.read_whole_table(era=2)
    world.let_record()


@when(
    "the nodes run, and the operator names version {version:d} while the first write is "
    "lost"
)
def step_first_write_lost(context, version):
    world = context.world
    world.clock = anyio.current_time
    context.n_lost = 0
    transact = world.table.transact

    async def lose_first(writes, token=""):
        context.n_lost += 1
        if context.n_lost == 1:
            await anyio.sleep_forever()
        await transact(writes, token)

    async def run():
        for node in world.nodes.values():
            node.records.clock = anyio.current_time
        async with anyio.create_task_group() as tasks:
            for node in world.nodes.values():
                tasks.start_soon(node.records.run)
            world.row_version = version
            world.changes.append(version)
            world.read_operator()
            with anyio.move_on_after(_SOON_S):
                while version not in world.list_versions():
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    world.table.transact = lose_first
    anyio.run(run)


@when("the nodes' table has a record with {content}")
def step_odd_record(context, content):
    value = b"{" if content == "nothing" else None
    if value is None:
        value = json.dumps({"content": {"S": content}}).encode()
    context.world.table.add(f"{PREFIX}7.odd", value)
    context.world.spread()


@then('"{name}" takes version {version:d} for the newest')
def step_newest(context, name, version):
    found = context.world.nodes[name].get_newest()
    assert found == version, found


@then('"{name}" uses no older version')
def step_no_older(context, name):
    node = context.world.nodes[name]
    used = [n for n in range(1, node.get_newest()) if node.may_use(n)]
    assert not used, used


@then('"{name}" still uses version {version:d}')
def step_still_used(context, name, version):
    assert context.world.nodes[name].may_use(version)


@then('"{name}" doesn\'t use version {version:d}')
def step_not_used(context, name, version):
    assert not context.world.nodes[name].may_use(version)


@then('"{name}" isn\'t ready')
def step_not_ready(context, name):
    assert not context.world.nodes[name].state.is_ready


@then('"{name}" is ready')
def step_ready(context, name):
    assert context.world.nodes[name].state.is_ready


@then('the table has the records "{versions}"')
@then('the table soon has the records "{versions}"')
def step_records(context, versions):
    found = context.world.list_versions()
    assert found == [int(version) for version in versions.split(", ")], found


@then("each version was written once")
def step_written_once(context):
    written = [row.key for row in context.world.table.changes if row.value is not None]
    assert len(written) == len(set(written)), written
