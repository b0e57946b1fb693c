"""Leases on rows of the table service, with fencing numbers.

A row contains its holder, a fencing number that increases with each acquisition, and
a ``beat`` counter that increases with each renewal. Clocks of different nodes are never
compared: the holder measures the lease from the start of its last confirmed write, and
other nodes take a lease over only after the row has been unchanged for longer than the
lease by their own clock. All writes are conditional on fence and beat; no pair of the
two occurs twice.

A table that comes back from a copy has a new era. The era is the upper part of a
fencing number, so that a new number is above all those of earlier eras, whatever the
row says. A write counts only if the era is the same before and after it.

With a new era a lease is lost at once. The row may be that of an earlier holder, free
or missing, so nobody but the last holder acquires a lease of an earlier era before
``takeover_wait_s`` has passed since the new era was first seen. A row states the era in
which it was written. A missing row, or one of a lease that was never acquired, says
nothing about holders in earlier eras: the table may come back from a copy that was made
before the first acquisition, and all nodes may have started since. It counts as written
in the first era, in which there were no earlier holders.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from uuid import uuid4

from apricotlift.core import logs
from apricotlift.core.clocks import monotonic, wall_ms
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.platform.table import (
    ABSENT,
    Condition,
    Put,
    Row,
    Table,
    Value,
    build_equals,
)

#: Fencing numbers of one era. Receivers of orders may handle numbers as floating-point
#: values, which are exact below 2**53; eras up to 2**29 keep them below that.
FENCES_PER_ERA = 2**24

#: Share of the takeover wait for which a node is sure that nobody else has acquired the
#: lease since its last write; clocks may run at different rates.
_LAST_HOLDER_SHARE = 0.95

#: Era of a table that has never come back from a copy. A table without eras states 0.
_FIRST_ERA = 1

_ENSURE_PAUSE_S = 0.5

#: Numbers above this one aren't exact in all readers of JSON.
_NUMBER_MAX = 2**53 - 1


@dataclass(frozen=True)
class LeaseSettings:
    """Durations of a lease.

    :param lease_s: how long the lease is valid after the start of a confirmed write.
    :param takeover_wait_s: how long other nodes must observe an unchanged row before
        they take it over; the excess over ``lease_s`` allows for clocks that run at
        different rates.
    """

    lease_s: float = 10.0
    takeover_wait_s: float = 12.0


def _is_usable(row: Row) -> bool:
    numbers = [row.values.get(name) for name in ("fence", "beat")]
    return (
        all(type(number) is int and 0 <= number < _NUMBER_MAX for number in numbers)
        and type(row.values.get("era", 0)) is int
        and type(row.values.get("held")) is bool
        and type(row.values.get("holder")) is str
    )


async def _always_allow(_: Row) -> bool:
    return True


def _get_only_era() -> int:
    return 0


class TableLease:
    """One node's handle on the lease in one table row.

    :param pk: partition key of the row.
    :param sk: sort key of the row.
    :param clock: returns seconds of a monotonic clock that counts suspended time.
    :param get_era: returns the newest known era of the table. Without it, the table
        must never come back from a copy while a lease is in use.
    """

    def __init__(
        self,
        table: Table,
        pk: str,
        sk: str,
        node_id: str,
        metrics: Metrics,
        settings: LeaseSettings = LeaseSettings(),  # noqa: B008 (frozen)
        clock: Callable[[], float] = monotonic,
        get_era: Callable[[], int] = _get_only_era,
    ):
        self._table = table
        self._pk = pk
        self._sk = sk
        self._node_id = node_id
        self._metrics = metrics
        self._settings = settings
        self._clock = clock
        self._get_era = get_era
        # Distinguishes lease objects with the same node id, also across a restart.
        self._holder = uuid4().hex
        self._valid_until = float("-inf")
        self._row: Row | None = None
        self._observed_fence_and_beat: tuple[Value, Value] | None = None
        self._unchanged_since = 0.0
        # Highest number that this process has seen: without an era, a restored row may
        # be lower or missing.
        self._highest_fence = 0
        self._era = get_era()
        self._era_seen_at = clock()
        self._sole_holder_until = float("-inf")
        self._is_last_holder = False
        self._ensured_era = 0
        self._ensure_at = float("-inf")

    @property
    def fence(self) -> int:
        """Fencing number of the last acquisition; 0 before the first one."""
        return int(self._row.values["fence"]) if self._row else 0

    @property
    def unchanged_s(self) -> float:
        """Seconds for which the row has been observed unchanged."""
        return self._clock() - self._unchanged_since

    def is_valid(self, margin_s: float = 0.0) -> bool:
        """Return whether the lease is held now and for ``margin_s`` more seconds."""
        self._note_era()
        return self._clock() + margin_s < self._valid_until

    def abandon(self) -> None:
        """Treat the lease as lost without writing to the table."""
        self._valid_until = float("-inf")

    async def ensure_row(self) -> None:
        """Create the row of a free lease if it is missing, once in each era.

        Nodes of earlier versions, which may run beside this one, take a missing row for
        that of a new table and would acquire the lease at once. The row states the
        first era, so that they wait in later ones.

        :raises ApricotliftError: ``table_unavailable`` or ``table_unclear``.
        """
        era = self._note_era()
        if era == self._ensured_era or self._clock() < self._ensure_at:
            return
        self._ensure_at = self._clock() + _ENSURE_PAUSE_S
        row = await self._table.get(self._pk, self._sk)
        if row is not None:
            self._record_state(row)
        if row is None or _is_later_start(row):
            await self._write_free_row(row)
            # Read again later, because another node may have written it first.
        elif self._note_era() == era:
            self._ensured_era = era

    async def acquire(
        self,
        min_fence: int = 0,
        may_acquire: Callable[[Row], Awaitable[bool]] = _always_allow,
        may_acquire_lapsed: Callable[[Row], Awaitable[bool]] = _always_allow,
        **values: Value,
    ) -> bool:
        """Try to become the holder of the lease.

        :param min_fence: the new fencing number is above this number as well.
        :param may_acquire: called with an existing row; returns whether it may be
            acquired.
        :param may_acquire_lapsed: called with an existing row that its holder did not
            release; returns whether it may be acquired.
        :param values: additional values to store in the row.
        :returns: whether the lease was acquired.
        :raises ApricotliftError: ``table_unavailable``.
        """
        era = self._note_era()
        min_fence = max(min_fence, era * FENCES_PER_ERA, self._highest_fence)
        row = await self._table.get(self._pk, self._sk)
        if self._note_era() != era:
            return False
        if row is not None:
            self._record_state(row)
            if not _is_usable(row):
                return await self._replace_unusable_row(row, min_fence, values)
            if not await may_acquire(row):
                return False
        if not self._is_lapsed(row):
            return False
        if row is None:
            return await self._write(min_fence + 1, 1, True, None, values)
        if row.values["held"] and not await may_acquire_lapsed(row):
            return False
        if self._note_era() != era:
            return False
        fence = max(int(row.values["fence"]), min_fence) + 1
        return await self._write(fence, 1, True, row, values)

    async def renew(self, **values: Value) -> bool:
        """Extend the lease if it is still valid.

        :param values: values of the row to change.
        :returns: whether the lease is held.
        """
        if not self.is_valid() or self._row is None:
            return False
        kept = {**self._row.values, **values}
        beat = int(self._row.values["beat"]) + 1
        try:
            await self._write(self.fence, beat, True, self._row, kept)
        except ApricotliftError as error:
            # The lease remains valid from the last confirmed write.
            self._metrics.count("lease_renewals_failed_total", reason=error.code)
        return self.is_valid()

    async def release(self) -> None:
        """Release the lease, so that other nodes needn't wait until it expires.

        A failure is counted; the lease then expires.
        """
        if not self.is_valid() or self._row is None:
            self.abandon()
            return
        self.abandon()
        self._sole_holder_until = float("-inf")
        beat = int(self._row.values["beat"]) + 1
        try:
            await self._write(self.fence, beat, False, self._row, self._row.values)
        except ApricotliftError as error:
            self._metrics.count("lease_releases_failed_total", reason=error.code)

    async def _replace_unusable_row(
        self, row: Row, min_fence: int, values: dict[str, Value]
    ) -> bool:
        """Acquire the lease of a row that another program wrote.

        Its holder isn't known, so it counts as held until it was unchanged for long.
        """
        if self.unchanged_s < self._settings.takeover_wait_s:
            return False
        self._metrics.count("lease_rows_unusable_total")
        logs.log(logs.WARNING, "lease_row_unusable", row=f"{self._pk}/{self._sk}")
        # Fencing numbers count acquisitions, so the milliseconds since the epoch are
        # above all earlier ones, which can't be read any more.
        fence = max(wall_ms(), min_fence) + 1
        return await self._write(fence, 1, True, row, values)

    def _note_era(self) -> int:
        era = self._get_era()
        if era != self._era:
            now = self._clock()
            self._is_last_holder = now < self._sole_holder_until
            self.abandon()
            self._era = era
            self._era_seen_at = now
        return era

    def _is_lapsed(self, row: Row | None) -> bool:
        """Return whether no other node can hold the lease any more."""
        if _get_acquired_era(row) < self._era:
            waited_s = self._clock() - self._era_seen_at
            return self._is_last_holder or waited_s >= self._settings.takeover_wait_s
        if row is None or not row.values["held"]:
            return True
        is_own = row.values["holder"] == self._holder
        return is_own or self.unchanged_s >= self._settings.takeover_wait_s

    def _record_state(self, row: Row) -> None:
        state = (row.values.get("fence"), row.values.get("beat"))
        if _is_usable(row):
            self._highest_fence = max(self._highest_fence, int(row.values["fence"]))
        if state != self._observed_fence_and_beat:
            self._observed_fence_and_beat = state
            self._unchanged_since = self._clock()

    async def _write(
        self,
        fence: int,
        beat: int,
        held: bool,
        before: Row | None,
        values: dict[str, Value],
    ) -> bool:
        era = self._note_era()
        own = {
            "owner": self._node_id,
            "holder": self._holder,
            "fence": fence,
            "beat": beat,
            "held": held,
            "era": era,
        }
        row = Row(self._pk, self._sk, {**values, **own})
        condition = _build_condition(before)
        started_at = self._clock()
        try:
            await self._table.transact([Put(row, condition)])
        except ApricotliftError as error:
            if error.code is Code.CONDITION_FAILED:
                self._note_era()
                self.abandon()
                self._sole_holder_until = float("-inf")
                return False
            if error.code is not Code.TABLE_UNCLEAR:
                raise
            if not await self._is_written(row):
                return False
        if self._note_era() != era:
            return False
        self._row = row
        self._highest_fence = max(self._highest_fence, fence)
        if held:
            self._valid_until = started_at + self._settings.lease_s
            sole_s = _LAST_HOLDER_SHARE * self._settings.takeover_wait_s
            self._sole_holder_until = started_at + sole_s
        return True

    async def _write_free_row(self, before: Row | None) -> None:
        beat = int(before.values["beat"]) + 1 if before else 0
        values = {
            "owner": self._node_id,
            "holder": self._holder,
            "fence": 0,
            "beat": beat,
            "held": False,
            "era": min(self._era, _FIRST_ERA),
        }
        condition = _build_condition(before)
        try:
            await self._table.transact(
                [Put(Row(self._pk, self._sk, values), condition)]
            )
        except ApricotliftError as error:
            if error.code is not Code.CONDITION_FAILED:
                raise

    async def _is_written(self, row: Row) -> bool:
        found = await self._table.get(self._pk, self._sk)
        names = ("holder", "fence", "beat")
        return found is not None and all(
            found.values.get(name) == row.values[name] for name in names
        )


def _build_condition(before: Row | None) -> Condition:
    if before is None:
        return ABSENT
    names = [name for name in ("fence", "beat") if name in before.values]
    return build_equals(**{name: before.values[name] for name in names})


def _is_later_start(row: Row) -> bool:
    """Return whether a lease was never acquired, and its row states a later era."""
    is_unacquired = _is_usable(row) and row.values["fence"] == 0
    return is_unacquired and row.values.get("era", 0) > _FIRST_ERA


def _get_acquired_era(row: Row | None) -> int:
    """Return the latest era of whose lease holders a row tells."""
    if row is None or row.values["fence"] == 0:
        return _FIRST_ERA
    return int(row.values.get("era", 0))
