"""Follows a table of the platform's store.

The whole table is read once; after that, long polls return the changes in order. The
table is read again when the store has discarded the history that the next poll needs,
and when the store has come back from a copy, which begins a new era: versions are only
comparable within an era.
"""

import random
from collections.abc import Callable, Iterable
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
_REASON_LENGTH_MAX = 200


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

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float, era: int = 0
    ) -> RowSet:
        """Return the rows that changed after a version, or none after the wait.

        :param era: era that the version belongs to, 0 if unknown. If a newer one is
            known, the result is the whole table at once.
        :raises ApricotliftError: ``history_lost`` or ``table_unavailable``.
        """


class RowCopy(Protocol):
    """Keeps the rows of a table for other nodes."""

    def apply(self, rows: RowSet, is_full_table: bool) -> None:
        """Apply rows that the store returned."""


def describe_error(error: Exception) -> str:
    """Return the type and the message of an error, cut to the length of a log field."""
    return f"{type(error).__name__}: {str(error)[:_REASON_LENGTH_MAX]}"


def apply_rows(
    table: str,
    rows: Iterable[StoredRow],
    apply: Callable[[StoredRow], None],
    metrics: Metrics,
) -> None:
    """Apply rows one by one; one that fails is logged and counted, the others hold."""
    for row in rows:
        try:
            apply(row)
        # Other programs write rows too. No fault of one may end the followed table.
        except Exception as error:
            metrics.count("rows_failed_total", table=table)
            logs.log(
                logs.ERROR,
                "row_failed",
                table=table,
                row=row.key,
                reason=describe_error(error),
            )


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
        self.era = 0
        self._newest_era = 0
        self._poll_scope: anyio.CancelScope | None = None
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
    def certain_until(self) -> float:
        """Time up to which all rows that were written have been passed on."""
        return self._certain_until

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
                while not self._must_load:
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
            # The process would end with this task, and all nodes read the same table.
            except Exception:
                self._must_load = True
                self._metrics.count(
                    "feed_failures_total", table=self.table, reason="internal"
                )
                logs.log_exception("feed_failed", table=self.table)
                await anyio.sleep(_RETRY_PAUSE_MAX_S * random.uniform(0.7, 1.3))

    @property
    def is_outdated(self) -> bool:
        """Whether the rows are of an earlier era than the store."""
        return self.era < self._newest_era

    def note_era(self, era: int) -> None:
        """Read the table again, because the store is in a new era."""
        if era <= self._newest_era:
            return
        self._newest_era = era
        self._recovered_at = self._clock()
        if self._poll_scope is not None:
            self._poll_scope.cancel()

    async def refresh(self) -> None:
        """Read the table now, for a decision that must not use outdated rows.

        :raises ApricotliftError: ``table_unavailable``.
        """
        rows = await self._source.read_table(self.table)
        if self.is_loaded and rows.era > self.era:
            self._take_whole_table(rows)
        elif not self.is_loaded or (
            rows.era == self.era and rows.version >= self.version
        ):
            self._unchanged_until = self._certain_until
            self._pass_on(rows, True)

    async def _load(self) -> None:
        asked_at = self._clock()
        rows = await self._source.read_table(self.table)
        if rows.era < max(self.era, self._newest_era):
            message = f"rows of {self.table} are of era {rows.era}, which has ended"
            raise ApricotliftError(Code.TABLE_UNAVAILABLE, message)
        self._note_success()
        self._note_certain(asked_at)
        self._take_whole_table(rows)
        self.is_loaded = True
        self._must_load = False

    async def _poll(self) -> None:
        asked_at = self._clock()
        era = self.era
        rows = None
        with anyio.CancelScope() as self._poll_scope:
            rows = await self._source.wait_for_changes(
                self.table, self.version, self._poll_s, era
            )
        if rows is None or rows.era < self.era:
            # A new era was seen meanwhile.
            return
        if rows.era != era and not rows.is_full_table:
            self._must_load = True
            return
        self._note_success(rows.age_s)
        if rows.wait_s is None:
            self._note_certain(self._clock() - rows.age_s)
        elif rows.rows or rows.is_full_table:
            self._note_certain(asked_at)
        else:
            self._note_certain(min(self._clock(), asked_at + rows.wait_s))
        if rows.era != self.era:
            self._take_whole_table(rows)
            return
        self.version = max(self.version, rows.version)
        if rows.rows or rows.is_full_table:
            self._pass_on(rows, rows.is_full_table)

    def _take_whole_table(self, rows: RowSet) -> None:
        """Take a whole table as the new position."""
        if self.is_loaded and rows.era != self.era:
            if rows.era > self._newest_era:
                self._recovered_at = self._clock()
            self._metrics.count("feed_restored_total", table=self.table)
            logs.log(
                logs.INFO,
                "table_read_again",
                table=self.table,
                era=rows.era,
                previous=self.era,
                n_rows=len(rows.rows),
            )
        self._newest_era = max(self._newest_era, rows.era)
        self.era = rows.era
        self.version = rows.version
        self._pass_on(rows, True)

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
