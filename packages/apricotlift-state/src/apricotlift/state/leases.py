"""Leases on rows of the table service, with fencing numbers.

A row names its holder, a fencing number that grows with each acquisition and a beat
that grows with each renewal. No clocks are compared between nodes: the holder counts
from the begin of its last confirmed write, and others take a lease over only after
they have watched the row stand still for longer than the lease, by their own clock.
All writes are conditional on fence and beat, which together never repeat.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from uuid import uuid4

from apricotlift.core.clocks import monotonic
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.platform.table import ABSENT, Put, Row, Table, Value, build_equals


@dataclass(frozen=True)
class LeaseSettings:
    """Durations of a lease.

    :param lease_s: how long a holder may act after the begin of a confirmed write.
    :param watch_s: how long others watch an unchanged row before they take it over;
        the excess over ``lease_s`` allows for clocks that run at different rates.
    """

    lease_s: float = 10.0
    watch_s: float = 12.0


async def _accept(_: Row) -> bool:
    return True


class TableLease:
    """One lease as one node sees it.

    :param kind: the counters' ``lease`` label, for example ``order``.
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
    ):
        self._table = table
        self._pk = pk
        self._sk = sk
        self._node_id = node_id
        self._metrics = metrics
        self._settings = settings
        self._clock = clock
        # Tells the lease objects of one node id apart, before and after a restart.
        self._holder = uuid4().hex
        self._valid_until = float("-inf")
        self._row: Row | None = None
        self._watched: tuple[Value, Value] | None = None
        self._watched_since = 0.0

    @property
    def fence(self) -> int:
        """Fencing number of the last acquisition."""
        return int(self._row.values["fence"]) if self._row else 0

    @property
    def watched_s(self) -> float:
        """Seconds for which the row has been seen unchanged."""
        return self._clock() - self._watched_since

    def is_valid(self, margin_s: float = 0.0) -> bool:
        """Whether the lease is held now and for so many seconds more."""
        return self._clock() + margin_s < self._valid_until

    def abandon(self) -> None:
        """Stop acting under the lease without telling the table."""
        self._valid_until = float("-inf")

    async def acquire(
        self,
        min_fence: int = 0,
        may_take: Callable[[Row], Awaitable[bool]] = _accept,
        may_take_lapsed: Callable[[Row], Awaitable[bool]] = _accept,
        **values: Value,
    ) -> bool:
        """Try to become the holder and return whether that succeeded.

        :param min_fence: the new fencing number is above this one too.
        :param may_take: asked about any row that exists.
        :param may_take_lapsed: asked about a row whose holder did not release it.
        :param values: further values of the row.
        :raises ApricotliftError: ``table_unavailable``.
        """
        row = await self._table.get(self._pk, self._sk)
        if row is None:
            return await self._write(min_fence + 1, 1, True, None, values)
        self._watch(row)
        if not await may_take(row):
            return False
        if row.values["held"]:
            is_own = row.values["holder"] == self._holder
            if not is_own and self.watched_s < self._settings.watch_s:
                return False
            if not await may_take_lapsed(row):
                return False
        fence = max(int(row.values["fence"]), min_fence) + 1
        return await self._write(fence, 1, True, row, values)

    async def renew(self, **values: Value) -> bool:
        """Extend the lease and return whether it is held.

        :param values: values that change.
        """
        if not self.is_valid() or self._row is None:
            return False
        kept = {**self._row.values, **values}
        beat = int(self._row.values["beat"]) + 1
        try:
            await self._write(self.fence, beat, True, self._row, kept)
        except ApricotliftError as error:
            # The time of the last confirmed write still stands.
            self._metrics.count("lease_renewals_failed_total", reason=error.code)
        return self.is_valid()

    async def release(self) -> None:
        """Give the lease up, so that others needn't wait for its end.

        A failure is counted; the lease then ends by time.
        """
        if not self.is_valid() or self._row is None:
            self.abandon()
            return
        self.abandon()
        beat = int(self._row.values["beat"]) + 1
        try:
            await self._write(self.fence, beat, False, self._row, self._row.values)
        except ApricotliftError as error:
            self._metrics.count("lease_releases_failed_total", reason=error.code)

    def _watch(self, row: Row) -> None:
        state = (row.values["fence"], row.values["beat"])
        if state != self._watched:
            self._watched = state
            self._watched_since = self._clock()

    async def _write(
        self,
        fence: int,
        beat: int,
        held: bool,
        before: Row | None,
        values: dict[str, Value],
    ) -> bool:
        own = {
            "owner": self._node_id,
            "holder": self._holder,
            "fence": fence,
            "beat": beat,
            "held": held,
        }
        row = Row(self._pk, self._sk, {**values, **own})
        condition = ABSENT
        if before is not None:
            state = {name: before.values[name] for name in ("fence", "beat")}
            condition = build_equals(**state)
        begun_at = self._clock()
        try:
            await self._table.transact([Put(row, condition)])
        except ApricotliftError as error:
            if error.code is Code.CONDITION_FAILED:
                self.abandon()
                return False
            if error.code is not Code.TABLE_UNCLEAR:
                raise
            if not await self._is_written(row):
                return False
        self._row = row
        if held:
            self._valid_until = begun_at + self._settings.lease_s
        return True

    async def _is_written(self, row: Row) -> bool:
        found = await self._table.get(self._pk, self._sk)
        names = ("holder", "fence", "beat")
        return found is not None and all(
            found.values.get(name) == row.values[name] for name in names
        )
