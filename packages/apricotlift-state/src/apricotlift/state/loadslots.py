"""Load slots, which limit the number of concurrent weight loads.

Engines share the platform's rate-limited weight store. Therefore a load slot, which
is a lease in the table, is acquired before a load is ordered and is held until the
engine no longer reports the load.
"""

from collections.abc import Awaitable, Callable

from apricotlift.core.clocks import monotonic
from apricotlift.core.metrics import Metrics
from apricotlift.platform.table import Row, Table
from apricotlift.state.tableleases import LeaseSettings, TableLease

PARTITION = "loadslot"

#: If the holder of a load slot has failed and the engine doesn't answer, the load is
#: assumed to continue for this time. A load takes about 0.5 s, and several times that
#: when the weight store is busy.
MAX_UNOBSERVED_LOAD_S = 30.0

#: Returns whether an upstream (first argument) is loading a model slot (second), or
#: ``None`` if that is unknown.
IsLoading = Callable[[str, str], Awaitable[bool | None]]


class LoadSlots:
    """The load slots, as used by one node.

    :param is_loading: queries whether an engine is loading a model slot.
    """

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
        self._lease_by_number: dict[int, TableLease] = {}
        self._in_use: set[TableLease] = set()

    async def acquire(
        self, upstream: str, slot: str, n_slots: int
    ) -> TableLease | None:
        """Acquire a free load slot and return its lease, ``None`` if all are in use.

        :param upstream: name of the upstream that is to load.
        :param slot: model slot to be loaded.
        :param n_slots: number of load slots in the fleet.
        :raises ApricotliftError: ``table_unavailable``.
        """
        for number in range(n_slots):
            lease = self._lease_by_number.setdefault(number, self._build_lease(number))
            if lease in self._in_use:
                continue
            # Marked before the first await, as upstreams are handled concurrently.
            self._in_use.add(lease)
            is_acquired = False
            try:

                async def has_ended(row: Row, lease: TableLease = lease) -> bool:
                    return await self._has_ended(row, lease)

                is_acquired = await lease.acquire(
                    may_acquire_lapsed=has_ended, upstream=upstream, slot=slot
                )
            finally:
                if not is_acquired:
                    self._in_use.discard(lease)
            if is_acquired:
                return lease
        self._metrics.count("load_slots_waits_total")
        return None

    async def release(self, lease: TableLease) -> None:
        """Release a load slot whose load has ended or was not ordered."""
        try:
            await lease.release()
        finally:
            self._in_use.discard(lease)

    def abandon(self, lease: TableLease) -> None:
        """Stop renewing a load slot whose load can no longer be observed.

        Its lease expires.
        """
        lease.abandon()
        self._in_use.discard(lease)

    def _build_lease(self, number: int) -> TableLease:
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
        # A load continues after the node that ordered it has failed.
        upstream = str(row.values.get("upstream", ""))
        slot = str(row.values.get("slot", ""))
        loading = await self._is_loading(upstream, slot)
        if loading is None:
            return lease.unchanged_s >= MAX_UNOBSERVED_LOAD_S
        return not loading
