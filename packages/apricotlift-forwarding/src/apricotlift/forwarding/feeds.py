"""Follows a table of the platform's store.

The whole table is read once; after that, long polls return the changes in order. The
table is read again when the store has discarded the history that the next poll needs,
and when the store has come back from a copy, which begins a new era: versions are only
comparable within an era.

A call that the store doesn't answer must not hide that the store is back. Once an
answer is overdue, further calls are sent beside those that wait, and the first answer
counts.
"""

import math
import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.overlappedcalls import Answer, call_until_answered

#: Time for which the store holds a poll open without a change. A dead connection is
#: detected only after this time, which therefore has to fit into the time limit for
#: applying a configuration.
POLL_S = 2.2
_RETRY_PAUSE_MIN_S = 0.08
_RETRY_PAUSE_MAX_S = 0.45
_REASON_LENGTH_MAX = 200

#: An answer is overdue so long after the end of the time for which the store holds a
#: poll open.
_OVERDUE_S = 0.3
#: Time between calls while answers are overdue. The store's return is noticed within
#: this time.
_PROBE_INTERVAL_S = 0.6
#: Reading a whole table may take several calls.
_LOAD_INTERVAL_S = 1.2


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
        self._unanswered_at = float("-inf")

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
    def recovered_at(self) -> float:
        """Time of the store's first answer after its last failure."""
        return self._recovered_at

    @property
    def unanswered_at(self) -> float:
        """Time of the last call before :attr:`recovered_at` that got no answer.

        The store came back between these two times.
        """
        return self._unanswered_at

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                if self._must_load:
                    await self._load()
                while not self._must_load:
                    await self._poll()
            except ApricotliftError as error:
                if error.code is Code.HISTORY_LOST:
                    self._must_load = True
                    self._metrics.count("feed_history_lost_total", table=self.table)
                    logs.log(logs.INFO, "feed_history_lost", table=self.table)
                    continue
                self._note_error(error, self._clock())
                await anyio.sleep(self._get_pause_s(1))
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
        self._note_restore()
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
        answer = await self._call(
            lambda _: self._source.read_table(self.table),
            lambda _: _LOAD_INTERVAL_S,
        )
        rows = answer.result
        if rows.era < max(self.era, self._newest_era):
            message = f"rows of {self.table} are of era {rows.era}, which has ended"
            raise ApricotliftError(Code.TABLE_UNAVAILABLE, message)
        self._note_success(answer)
        self._note_certain(answer.asked_at)
        self._take_whole_table(rows)
        self.is_loaded = True
        self._must_load = False

    async def _poll(self) -> None:
        era = self.era
        answer = None
        with anyio.CancelScope() as self._poll_scope:
            answer = await self._call(self._ask_for_changes, self._get_interval_s)
        if answer is None or answer.result.era < self.era:
            # A new era was seen meanwhile.
            return
        rows = answer.result
        if rows.era != era and not rows.is_full_table:
            self._must_load = True
            return
        self._note_success(answer)
        if rows.wait_s is None:
            self._note_certain(self._clock() - rows.age_s)
        elif rows.rows or rows.is_full_table:
            self._note_certain(answer.asked_at)
        else:
            self._note_certain(min(self._clock(), answer.asked_at + rows.wait_s))
        if rows.era != self.era:
            self._take_whole_table(rows)
            return
        self.version = max(self.version, rows.version)
        if rows.rows or rows.is_full_table:
            self._pass_on(rows, rows.is_full_table)

    async def _ask_for_changes(self, number: int) -> RowSet:
        # Further calls find out whether the store answers at all, so they don't wait.
        wait_s = 0.0 if number or self.is_failing else self._poll_s
        return await self._source.wait_for_changes(
            self.table, self.version, wait_s, self.era
        )

    def _get_interval_s(self, number: int) -> float:
        """Return the time from the start of a call to the next if it isn't answered."""
        is_probe = number > 0 or self.is_failing
        return _PROBE_INTERVAL_S if is_probe else self._poll_s + _OVERDUE_S

    async def _call(
        self,
        ask: Callable[[int], Awaitable[RowSet]],
        get_interval_s: Callable[[int], float],
    ) -> Answer[RowSet]:
        """Call the store until it answers.

        :raises ApricotliftError: ``history_lost``.
        """
        return await call_until_answered(
            ask,
            get_interval_s,
            self._get_pause_s,
            lambda error: error.code is not Code.HISTORY_LOST,
            self._note_error,
            self._clock,
        )

    def _get_pause_s(self, n_failures: int) -> float:
        """Return the pause after a call that failed."""
        pause_s = _RETRY_PAUSE_MIN_S * 2 ** min(n_failures - 1, 10)
        return min(_RETRY_PAUSE_MAX_S, pause_s) * random.uniform(0.7, 1.3)

    def _take_whole_table(self, rows: RowSet) -> None:
        """Take a whole table as the new position."""
        if self.is_loaded and rows.era != self.era:
            if rows.era > self._newest_era:
                self._note_restore()
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

    def _note_success(self, answer: Answer[RowSet]) -> None:
        now = self._clock()
        self._confirmed_at = max(self._confirmed_at, now - answer.result.age_s)
        overtaken_at = answer.overtaken_at
        if overtaken_at is not None:
            self._unanswered_at = max(self._unanswered_at, overtaken_at)
            if self._failing_since is None:
                self._note_loss(overtaken_at, reason="overdue")
        if self._failing_since is None:
            return
        seconds = round(now - self._failing_since, 3)
        self._failing_since = None
        self._recovered_at = now
        logs.log(
            logs.INFO,
            "store_regained",
            table=self.table,
            seconds=seconds,
            unanswered_s=_round_s(now - self._unanswered_at),
        )

    def _note_restore(self) -> None:
        """Record that the store has come back from a copy."""
        self._recovered_at = self._clock()
        if not self.is_failing:
            # A restart breaks all connections, so it is noticed soon.
            self._unanswered_at = self._recovered_at

    def _note_certain(self, until: float) -> None:
        self._unchanged_until = self._certain_until
        self._certain_until = max(self._certain_until, until)

    def _note_error(self, error: ApricotliftError, asked_at: float) -> None:
        self._metrics.count("feed_failures_total", table=self.table, reason=error.code)
        # A node that asks neither a reader nor the store learns nothing of the store.
        if error.scope is not Scope.NODE:
            self._unanswered_at = max(self._unanswered_at, asked_at)
        if self._failing_since is None:
            self._note_loss(self._clock(), reason=error.message, code=error.code)

    def _note_loss(self, since: float, **fields) -> None:
        self._failing_since = since
        logs.log(
            logs.WARNING,
            "store_lost",
            table=self.table,
            age_s=round(self.age_s, 3) if self.is_loaded else None,
            **fields,
        )


def _round_s(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
