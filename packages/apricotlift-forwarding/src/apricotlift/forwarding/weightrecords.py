"""Keeps the newest named weight versions where a node that starts can read them.

The operator's row holds one version, and may go back: a write that got no answer is
repeated, and its first attempt may be carried out after a newer version was named.
Nodes that know the newer version ignore the older one, but a node that starts, or that
was cut off meanwhile, would take it for the newest. So the nodes record each version
that they learn of in the table of their own rows.

Each version has a row of its own, and the highest counts. Rows need no condition: a
write that is carried out late adds an older row and takes nothing back. A row that a
restored store lacks is written again.

A version may be named, and its row overwritten, while no node runs. So a node that
starts also reads the changes of the operator's rows that the store still has. A record
states up to which of them its writer had read, so that later ones are enough.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Annotated

import anyio
from anyio.abc import TaskGroup
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.hashing import digest, rank_nodes
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.clusterrows import (
    PARTITION,
    ClusterRows,
    build_row,
    read_content,
)
from apricotlift.forwarding.feeds import POLL_S, RowSet, StoredRow, apply_rows
from apricotlift.forwarding.overlappedcalls import call_until_answered
from apricotlift.forwarding.routingstate import RoutingState
from apricotlift.platform.table import Delete, Put
from pydantic import BaseModel, ConfigDict, Field

PREFIX = "weights."

#: The first node in the ranking writes at once, the others in turn. Within this time
#: they read its row.
_RANK_DELAY_S = 0.1
_RETRY_PAUSE_S = 0.3
_IDLE_INTERVAL_S = 1.0
_CONFIRM_INTERVAL_S = 0.1
_VERSION_MAX = 2**63 - 1

#: A node that starts waits for the records, and then asks for later changes for so long
#: and in calls so far apart.
_LOAD_CHECK_INTERVAL_S = 0.02
_CATCH_UP_MAX_S = 3.0
_CATCH_UP_INTERVAL_S = 0.4
_CATCH_UP_PAUSE_S = 0.1
#: How far back changes are asked for, in versions of the store.
_HISTORY_STEPS = (16_384, 4_096, 1_024, 256, 64, 16, 4)
_N_WRITES_MAX = 4
_N_DELETES_MAX = 50

#: Time after which a recorded version holds although the operator's rows weren't read
#: since: an open poll and another call.
_CONFIRM_MAX_S = POLL_S + 0.8


class WeightRecord(BaseModel):
    """A weight version that the operator has named.

    :param position: version of the store up to which the writer had read the operator's
        rows; 0 where it isn't known.
    :param era: era of the store that ``position`` belongs to.
    """

    model_config = ConfigDict(strict=True, extra="ignore")

    model: str
    version: Annotated[int, Field(ge=1, le=_VERSION_MAX)]
    position: Annotated[int, Field(ge=0, le=_VERSION_MAX)] = 0
    era: Annotated[int, Field(ge=0, le=_VERSION_MAX)] = 0


@dataclass(frozen=True)
class _KnownRecord:
    """A record as it was read.

    :param noticed_at: when this node read or wrote it.
    """

    record: WeightRecord
    noticed_at: float

    @property
    def model(self) -> str:
        """Model whose weights were named."""
        return self.record.model

    @property
    def version(self) -> int:
        """The named version."""
        return self.record.version


def build_key(model: str, version: int) -> str:
    """Return the key of a record; models may have names that no key can hold."""
    return f"{PREFIX}{version}.{digest('model', model).hex()}"


@dataclass
class WeightRecords:
    """Writes and reads the records of named weight versions.

    :param own_name: name of this node.
    :param table: writes rows of the nodes' own table.
    :param rows: the followed table.
    :param list_live_nodes: returns the names of the live nodes, this one included.
    :param read_history: returns the changes of the operator's rows after a version of
        the store; its second argument is the version's era.
    """

    own_name: str
    table: object
    rows: ClusterRows
    routing_state: RoutingState
    list_live_nodes: Callable[[], list[str]]
    metrics: Metrics
    read_history: Callable[[int, int], Awaitable[RowSet]]
    clock: Callable[[], float] = clocks.monotonic
    _has_caught_up: bool = False
    _records: dict[str, _KnownRecord] = field(default_factory=dict)
    _due_at: dict[tuple[str, int], float] = field(default_factory=dict)
    _writing: set[tuple[str, int]] = field(default_factory=set)
    _changed: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self):
        self.rows.register(PREFIX, self.apply)
        self.routing_state.has_recorded_weights = lambda: self._has_caught_up
        self.routing_state.watch_weights = self._wake

    async def run(self) -> None:
        """Record named versions and take over recorded ones, until cancelled."""
        while not self.rows.feed.is_loaded:
            await anyio.sleep(_LOAD_CHECK_INTERVAL_S)
        await self.catch_up()
        async with anyio.create_task_group() as tasks:
            while True:
                self._changed = anyio.Event()
                is_settled = self.take_over_records()
                wait_s = self._start_writes(tasks)
                if not is_settled:
                    wait_s = min(wait_s, _CONFIRM_INTERVAL_S)
                with anyio.move_on_after(wait_s):
                    await self._changed.wait()

    async def catch_up(self) -> None:
        """Apply the versions that the operator's row showed before.

        Without an answer, the records alone have to do.
        """
        era = self.rows.feed.era
        outcome = ""
        for position in self._list_positions(era):
            outcome = await self._apply_history(position, era)
            if outcome != Code.HISTORY_LOST:
                break
        self._has_caught_up = True
        logs.log(logs.INFO, "weights_caught_up", outcome=outcome, era=era)

    def _list_positions(self, era: int) -> list[int]:
        """Return the positions to read changes from, in the order of preference.

        The position of the newest record comes first, since no more is needed. It may
        be older than the history, and nothing tells how far that goes back, so later
        positions follow in steps.
        """
        version = self.rows.feed.version
        recorded = [
            known.record.position
            for known in self._records.values()
            if known.record.era == era and 0 < known.record.position <= version
        ]
        stepped = [max(0, version - step) for step in _HISTORY_STEPS]
        newest = max(recorded, default=0)
        later = [position for position in stepped if position > newest]
        return [newest, *dict.fromkeys(later)]

    async def _apply_history(self, position: int, era: int) -> str:
        """Apply the versions named after a position, and return how it ended."""
        try:
            with anyio.move_on_after(_CATCH_UP_MAX_S):
                answer = await call_until_answered(
                    lambda _: self.read_history(position, era),
                    lambda _: _CATCH_UP_INTERVAL_S,
                    lambda _: _CATCH_UP_PAUSE_S,
                    lambda error: error.code is not Code.HISTORY_LOST,
                    self._note_history_error,
                    self.clock,
                )
                rows = answer.result
                if rows.era != era:
                    return "restored"
                apply_rows("operator", rows.rows, self._apply_change, self.metrics)
                return "read"
        except ApricotliftError as error:
            return str(error.code)
        return "timeout"

    def _note_history_error(self, error: ApricotliftError, asked_at: float) -> None:
        self.metrics.count("weight_history_failures_total", reason=error.code)

    def _apply_change(self, row: StoredRow) -> None:
        instruction = self.routing_state.dialect.decode_instruction(row.key, row.value)
        if instruction is not None and instruction.weights is not None:
            named = instruction.weights
            self.routing_state.apply_recorded_weights(named.model, named.version)

    def apply(self, rows: RowSet, is_full_table: bool) -> None:
        """Apply records that were read from the table."""
        if is_full_table:
            listed = {row.key for row in rows.rows}
            for key in [key for key in self._records if key not in listed]:
                del self._records[key]
        apply_rows("weights", rows.rows, self._apply_row, self.metrics)
        if not self.rows.feed.is_loaded:
            # A node that starts can't tell when a version was named.
            for record in self._list_newest():
                self._take_over(record)
        self._wake()

    def take_over_records(self) -> bool:
        """Apply recorded versions that the operator's rows don't show.

        A version is recorded after it was named. Its time limit counts from the naming,
        which the operator's rows tell more exactly, so they are read up to the time of
        the record first.

        :returns: whether no record is left to be applied.
        """
        certain_until = self.routing_state.operator_feed.certain_until
        now = self.clock()
        is_settled = True
        for record in self._list_newest():
            newest = self.routing_state.weight_targets.get_newest(record.model)
            if newest is not None and newest.version >= record.version:
                continue
            is_late = now - record.noticed_at >= _CONFIRM_MAX_S
            if certain_until >= record.noticed_at or is_late:
                self._take_over(record)
            else:
                is_settled = False
        return is_settled

    def list_missing(self) -> list[tuple[str, int]]:
        """Return the models with their newest named version where none is recorded."""
        recorded = {record.model: record.version for record in self._list_newest()}
        newest = self.routing_state.weight_targets.list_newest()
        return [
            (model, version)
            for model, version in newest
            if version > recorded.get(model, 0)
        ]

    async def write(self, model: str, version: int) -> bool:
        """Record a version, and delete the records of older ones.

        :returns: whether the store took it.
        """
        key = build_key(model, version)
        older = [
            known_key
            for known_key, record in self._records.items()
            if record.model == model and record.version < version
        ]
        feed = self.routing_state.operator_feed
        record = WeightRecord(
            model=model, version=version, position=feed.version, era=feed.era
        )
        writes: list = [Put(build_row(key, record))]
        writes += [Delete(PARTITION, old_key) for old_key in older[:_N_DELETES_MAX]]
        try:
            await self.table.transact(writes)
        except ApricotliftError as error:
            self.metrics.count("weight_records_failed_total", reason=error.code)
            logs.log(
                logs.WARNING,
                "weight_record_failed",
                model=model,
                version=version,
                code=error.code,
                reason=error.message,
            )
            return False
        self._records.setdefault(key, _KnownRecord(record, self.clock()))
        self.metrics.count("weight_records_written_total")
        logs.log(logs.INFO, "weights_recorded", model=model, version=version)
        return True

    def _wake(self) -> None:
        self._changed.set()

    def _apply_row(self, row: StoredRow) -> None:
        if row.value is None:
            self._records.pop(row.key, None)
            return
        try:
            record = WeightRecord.model_validate_json(read_content(row.value))
        except ValueError:
            self._records.pop(row.key, None)
            raise
        known = self._records.get(row.key)
        if known is None:
            self._records[row.key] = _KnownRecord(record, self.clock())

    def _list_newest(self) -> list[_KnownRecord]:
        newest: dict[str, _KnownRecord] = {}
        for record in self._records.values():
            known = newest.get(record.model)
            if known is None or record.version > known.version:
                newest[record.model] = record
        return list(newest.values())

    def _take_over(self, record: _KnownRecord) -> None:
        self.routing_state.apply_recorded_weights(record.model, record.version)

    def _start_writes(self, tasks: TaskGroup) -> float:
        """Start the writes that are due; return the seconds until the next is due."""
        now = self.clock()
        missing = self.list_missing() if self.rows.feed.is_loaded else []
        self._due_at = {
            item: self._due_at.get(item) or now + self._get_rank_delay_s(item[0])
            for item in missing
        }
        for item, due_at in self._due_at.items():
            is_free = item not in self._writing and len(self._writing) < _N_WRITES_MAX
            if due_at <= now and is_free:
                self._writing.add(item)
                tasks.start_soon(self._write_once, item)
        waits_s = [due_at - now for due_at in self._due_at.values() if due_at > now]
        return min([_IDLE_INTERVAL_S, *waits_s])

    async def _write_once(self, item: tuple[str, int]) -> None:
        has_written = await self.write(*item)
        self._writing.discard(item)
        if not has_written:
            self._due_at[item] = self.clock() + _RETRY_PAUSE_S
        self._wake()

    def _get_rank_delay_s(self, model: str) -> float:
        ranked = rank_nodes(build_key(model, 0), self.list_live_nodes())
        rank = ranked.index(self.own_name) if self.own_name in ranked else 0
        return rank * _RANK_DELAY_S
