"""Follows a table of the platform's store.

The whole table is read once; after that, long polls return the changes in order. The
table is read again when the store has discarded the history that the next poll needs.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics

#: Time for which the store holds a poll open without a change. A dead connection is
#: detected only after this time, which therefore has to fit into the time limit for
#: applying a configuration.
POLL_S = 2.2
_RETRY_PAUSE_MIN_S = 0.08
_RETRY_PAUSE_MAX_S = 0.6


@dataclass(frozen=True)
class StoredRow:
    """One row; ``value`` is ``None`` where it was deleted."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True)
class RowSet:
    """Rows and the store's version that they belong to.

    :param is_full_table: whether these are all rows of the table.
    :param age_s: time since the store returned them, in seconds.
    :param wait_s: time for which the store holds the poll open without a change;
        ``None`` where another node answered and ``age_s`` is never too low.
    :param era: era of the store that the version belongs to; 0 where it isn't known.
    """

    rows: tuple[StoredRow, ...]
    version: int
    is_full_table: bool = False
    age_s: float = 0.0
    wait_s: float | None = None
    era: int = 0


class RowSource(Protocol):
    """Read access to the tables of the store."""

    async def read_table(self, table: str) -> RowSet:
        """Return all rows.

        :raises ApricotliftError: ``table_unavailable``.
        """

    async def wait_for_changes(self, table: str, after: int, wait_s: float) -> RowSet:
        """Return the rows that changed after a version, or none after the wait.

        :raises ApricotliftError: ``history_lost`` or ``table_unavailable``.
        """


class RowCopy(Protocol):
    """Keeps the rows of a table for other nodes."""

    def apply(self, rows: RowSet, is_full_table: bool) -> None:
        """Apply rows that the store returned."""


class Feed:
    """Follows one table and passes its rows on.

    :param apply: is called with rows, and whether they are the whole table.
    :param poll_s: time in seconds for which the store holds a poll open.
    :param copy: is given the same rows as ``apply``, and passes them on to other nodes.
    """

    def __init__(
        self,
        source: RowSource,
        table: str,
        apply: Callable[[RowSet, bool], None],
        metrics: Metrics,
        clock: Callable[[], float] = clocks.monotonic,
        poll_s: float = POLL_S,
        copy: RowCopy | None = None,
    ):
        self.table = table
        self.copy = copy
        self._poll_s = poll_s
        self.is_loaded = False
        self.version = 0
        self._must_load = True
        self._source = source
        self._apply = apply
        self._metrics = metrics
        self._clock = clock
        self._confirmed_at = float("-inf")
        self._certain_until = float("-inf")
        self._unchanged_until = float("-inf")
        self._failing_since: float | None = None
        self._recovered_at = float("-inf")

    @property
    def age_s(self) -> float:
        """Seconds since the store last answered this node or its reader."""
        return self._clock() - self._confirmed_at

    @property
    def unchanged_until(self) -> float:
        """Time up to which the rows that are being applied were certainly not written.

        Minus infinity for the first answer, which doesn't tell when its rows were
        written. A node that was suspended reads an answer long after the store sent it,
        so the time of reading is no such limit.
        """
        return self._unchanged_until

    @property
    def is_failing(self) -> bool:
        """Whether the last read or poll failed."""
        return self._failing_since is not None

    @property
    def since_recovery_s(self) -> float:
        """Seconds since the store first answered again after a failure."""
        return self._clock() - self._recovered_at

    async def run(self) -> None:
        """Follow the table until cancelled."""
        pause_s = _RETRY_PAUSE_MIN_S
        while True:
            try:
                if self._must_load:
                    await self._load()
                while True:
                    await self._poll()
                    pause_s = _RETRY_PAUSE_MIN_S
            except ApricotliftError as error:
                if error.code is Code.HISTORY_LOST:
                    self._must_load = True
                    self._metrics.count("feed_history_lost_total", table=self.table)
                    logs.log(logs.INFO, "feed_history_lost", table=self.table)
                    continue
                self._note_error(error)
                await anyio.sleep(pause_s * random.uniform(0.7, 1.3))
                pause_s = min(_RETRY_PAUSE_MAX_S, pause_s * 2)

    async def refresh(self) -> None:
        """Read the table now, for a decision that must not use outdated rows.

        :raises ApricotliftError: ``table_unavailable``.
        """
        rows = await self._source.read_table(self.table)
        if rows.version >= self.version:
            self._unchanged_until = self._certain_until
            self._pass_on(rows, True)

    async def _load(self) -> None:
        asked_at = self._clock()
        rows = await self._source.read_table(self.table)
        self._note_success()
        self._note_certain(asked_at)
        self.version = rows.version
        self._pass_on(rows, True)
        self.is_loaded = True
        self._must_load = False

    async def _poll(self) -> None:
        asked_at = self._clock()
        rows = await self._source.wait_for_changes(
            self.table, self.version, self._poll_s
        )
        self._note_success(rows.age_s)
        if rows.wait_s is None:
            self._note_certain(self._clock() - rows.age_s)
        elif rows.rows or rows.is_full_table:
            self._note_certain(asked_at)
        else:
            self._note_certain(min(self._clock(), asked_at + rows.wait_s))
        self.version = max(self.version, rows.version)
        if rows.rows or rows.is_full_table:
            self._pass_on(rows, rows.is_full_table)

    def _pass_on(self, rows: RowSet, is_full_table: bool) -> None:
        self._apply(rows, is_full_table)
        if self.copy is not None:
            self.copy.apply(rows, is_full_table)

    def _note_success(self, age_s: float = 0.0) -> None:
        now = self._clock()
        self._confirmed_at = max(self._confirmed_at, now - age_s)
        if self._failing_since is not None:
            seconds = round(now - self._failing_since, 3)
            self._failing_since = None
            self._recovered_at = now
            logs.log(logs.INFO, "store_regained", table=self.table, seconds=seconds)

    def _note_certain(self, until: float) -> None:
        self._unchanged_until = self._certain_until
        self._certain_until = max(self._certain_until, until)

    def _note_error(self, error: ApricotliftError) -> None:
        self._metrics.count("feed_failures_total", table=self.table, reason=error.code)
        if self._failing_since is None:
            self._failing_since = self._clock()
            logs.log(
                logs.WARNING,
                "store_lost",
                table=self.table,
                code=error.code,
                reason=error.message,
                age_s=round(self.age_s, 3) if self.is_loaded else None,
            )
