"""The weight-load slots: at most so many weight loads run at once.

Engines share the platform's rate-limited weight store, so a load takes a slot before
its order is sent and keeps it until the engine no longer reports the load.
"""

from collections.abc import Awaitable, Callable

from apricotlift.core.clocks import monotonic
from apricotlift.core.metrics import Metrics
from apricotlift.platform.table import Row, Table
from apricotlift.state.leases import LeaseSettings, TableLease

PARTITION = "loadslot"

#: How long the load of a slot whose holder is gone is taken to run on when its
#: engine doesn't answer. A load takes about 0.5 s, several times that when the store
#: is busy.
UNCLEAR_LOAD_S = 30.0

#: Tells whether an upstream is loading a slot, ``None`` when it doesn't answer.
IsLoading = Callable[[str, str], Awaitable[bool | None]]


class LoadSlots:
    """The load slots as one node sees them."""

    def __init__(
        self,
        table: Table,
        node_id: str,
        metrics: Metrics,
        is_loading: IsLoading,
        settings: LeaseSettings = LeaseSettings(),  # noqa: B008 (frozen)
        clock: Callable[[], float] = monotonic,
    ):
        self._table = table
        self._node_id = node_id
        self._metrics = metrics
        self._is_loading = is_loading
        self._settings = settings
        self._clock = clock
        self._leases: dict[int, TableLease] = {}
        self._busy: set[TableLease] = set()

    async def take(self, upstream: str, slot: str, n_slots: int) -> TableLease | None:
        """Return the lease of a free load slot, ``None`` when all are taken.

        :param n_slots: how many slots there are.
        :raises ApricotliftError: ``table_unavailable``.
        """
        for number in range(n_slots):
            lease = self._leases.setdefault(number, self._build(number))
            if lease in self._busy:
                continue
            # Marked before the first await: several upstreams are served at once.
            self._busy.add(lease)
            is_taken = False
            try:

                async def has_ended(row: Row, lease: TableLease = lease) -> bool:
                    return await self._has_ended(row, lease)

                is_taken = await lease.acquire(
                    may_take_lapsed=has_ended, upstream=upstream, slot=slot
                )
            finally:
                if not is_taken:
                    self._busy.discard(lease)
            if is_taken:
                return lease
        self._metrics.count("load_slots_waits_total")
        return None

    async def give_back(self, lease: TableLease) -> None:
        """Free a slot whose load has ended or was not sent."""
        try:
            await lease.release()
        finally:
            self._busy.discard(lease)

    def drop(self, lease: TableLease) -> None:
        """Let a slot end by time, as nothing can tell when its load ends."""
        lease.abandon()
        self._busy.discard(lease)

    def _build(self, number: int) -> TableLease:
        return TableLease(
            self._table,
            PARTITION,
            str(number),
            self._node_id,
            self._metrics,
            self._settings,
            self._clock,
        )

    async def _has_ended(self, row: Row, lease: TableLease) -> bool:
        # A load goes on when the node that ordered it is gone.
        upstream = str(row.values.get("upstream", ""))
        slot = str(row.values.get("slot", ""))
        loading = await self._is_loading(upstream, slot)
        if loading is None:
            return lease.watched_s >= UNCLEAR_LOAD_S
        return not loading
