"""The membership lease of a node: its lease row in the table.

A node writes only its own row, except on behalf of a peer that can't reach the table.
Each write carries an increasing renewal number and takes effect only if the row still
has the incarnation and renewal number that the writer last read or wrote. A delayed
write therefore can't undo a later one, and two processes with one node id can't both
keep the row.

The lease runs from the start of the last write that is known to have taken effect.
"""

import math
from collections.abc import Awaitable, Callable
from random import Random

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.platform.table import ABSENT, Condition, Delete, Put, Row, build_equals
from apricotlift.state.view import (
    NEVER,
    MemberState,
    build_incarnation,
    is_valid_summary,
)
from apricotlift.wire.messages import MemberSummary, RenewLease

MEMBER_PK = "member"
LEASE_DURATION_S = 10.0
RENEWAL_INTERVAL_S = 5.0

#: The first two attempts may each find that a delayed write of this node took effect
#: first, and the last one then succeeds.
_MAX_WRITE_ATTEMPTS = 3

_MAX_DELETE_ATTEMPTS = 5
_DELETE_RETRY_DELAY_S = 0.5

AskPeer = Callable[[RenewLease], Awaitable[None]]


class Lease:
    """Writes and renews the lease row of this node.

    :param table: a ``platform.table.Table``.
    :param own: this node's summary; its incarnation is replaced.
    :param ask_peer: sends a renewal to a peer; raises the error of the peer.
    :param clock: returns seconds of a monotonic clock that counts suspended time.
    :param wall_ms: returns the wall-clock time in milliseconds.
    """

    def __init__(
        self,
        table,
        own: MemberSummary,
        ask_peer: AskPeer,
        metrics: Metrics,
        random: Random,
        clock: Callable[[], float] = clocks.monotonic,
        wall_ms: Callable[[], int] = clocks.wall_ms,
    ):
        self.incarnation = build_incarnation(wall_ms(), random)
        self.state = MemberState(own.state)
        self.confirmed_version = 0
        self.is_superseded = False
        self._table = table
        self._own = own
        self._ask_peer = ask_peer
        self._metrics = metrics
        self._random = random
        self._clock = clock
        self._wall_ms = wall_ms
        self._lock = anyio.Lock()
        self._last_renewed_at = NEVER
        self._has_written_row = False
        self._is_deleted = False
        self._is_restored = False
        self._replaces = ""
        self._written_incarnation = ""
        self._renewal = 0
        # The row in the table as last read or written; ``None`` if unknown or absent.
        self._known_row: Row | None = None
        self._last_pause_check_at = NEVER

    def get_summary(self) -> MemberSummary:
        """Return the summary of this node that gossip spreads."""
        return MemberSummary(
            node_id=self._own.node_id,
            incarnation=self.incarnation,
            peer_address=self._own.peer_address,
            caller_address=self._own.caller_address,
            failure_domain=self._own.failure_domain,
            state=str(self.state),
        )

    def is_held(self) -> bool:
        """Return whether this node certainly holds the lease now."""
        if self.is_superseded or self._is_deleted:
            return False
        return self._clock() < self._last_renewed_at + LEASE_DURATION_S

    def detect_pause(self) -> bool:
        """Take a new incarnation after a pause longer than the lease.

        The running tasks call this method often. A long gap between two calls means
        that the process was paused.

        :returns: whether there was a pause.
        """
        now = self._clock()
        gap_s = now - self._last_pause_check_at
        self._last_pause_check_at = now
        if gap_s <= LEASE_DURATION_S or math.isinf(gap_s):
            return False
        self._metrics.count("lease_pauses_total")
        logs.log(logs.WARNING, "pause_observed", seconds=round(gap_s, 1))
        self._take_new_incarnation()
        return True

    def handle_newer_incarnation(self, incarnation: str) -> bool:
        """Handle a newer incarnation of this node's id that gossip reported.

        Before this node's first write the incarnation belongs to an earlier process,
        for example if the wall clock was set back, and this node takes a newer one.
        After the first write it belongs to another running process, and this node is
        superseded.

        :returns: whether this node may continue.
        """
        if incarnation <= self.incarnation:
            return not self.is_superseded
        if self._has_written_row:
            self._mark_superseded(incarnation)
            return False
        self.incarnation = build_incarnation(self._wall_ms(), self._random, incarnation)
        return True

    def handle_restore(self) -> None:
        """Have the next renewal write the row again after the table was restored.

        The row may then be missing, or older than this node's last write.
        """
        self._known_row = None
        self._is_restored = True

    async def publish(
        self, state: MemberState | None = None, confirmed_version: int | None = None
    ) -> bool:
        """Write a changed state or confirmed version immediately.

        :returns: whether the write is known to have taken effect. Otherwise the
            next renewal carries the change.
        """
        if state is not None:
            self.state = state
        if confirmed_version is not None:
            self.confirmed_version = max(self.confirmed_version, confirmed_version)
        return await self.renew()

    async def renew(self) -> bool:
        """Write the row, through a peer if the table can't be reached.

        :returns: whether the lease was renewed.
        """
        async with self._lock:
            if self.is_superseded or self._is_deleted:
                return False
            started_at = self._clock()
            try:
                await self._write()
            except ApricotliftError as error:
                self._metrics.count("lease_failures_total", code=error.code)
                return False
            # The write may have found that the row belongs to another process, or this
            # node may have taken a new incarnation after a pause in the meantime.
            if self.is_superseded or self._written_incarnation != self.incarnation:
                return False
            self._last_renewed_at = started_at
            self._has_written_row = True
            self._is_restored = False
            self._replaces = ""
            self._metrics.count("lease_renewals_total")
            return True

    async def delete(self) -> bool:
        """Delete the row at the end of a drain.

        :returns: whether the row is known to be gone. Otherwise it expires, and any
            node deletes it after some hours.
        """
        async with self._lock:
            self._is_deleted = True
            for _ in range(_MAX_DELETE_ATTEMPTS):
                condition = build_equals(incarnation=self.incarnation)
                delete = Delete(MEMBER_PK, self._own.node_id, condition)
                try:
                    await self._table.transact([delete])
                    return True
                except ApricotliftError as error:
                    # The row is gone already after an earlier unclear attempt, or it
                    # belongs to another incarnation and must not be deleted.
                    if error.code == Code.CONDITION_FAILED:
                        return True
                await anyio.sleep(_DELETE_RETRY_DELAY_S)
            return False

    async def _write(self) -> None:
        try:
            await self._write_to_table()
        except ApricotliftError as error:
            if error.code not in (Code.TABLE_UNAVAILABLE, Code.TABLE_UNCLEAR):
                raise
            # An unclear write may still take effect later. The peer's write has a
            # higher renewal number, and only one of the two can take effect.
            self._known_row = None
            if not self._has_written_row:
                raise
            await self._write_through_peer()

    async def _write_to_table(self) -> None:
        known = self._known_row
        if known is None:
            known = await self._read_own_row()
        for attempt in range(_MAX_WRITE_ATTEMPTS):
            if self.is_superseded:
                return
            row = self._build_row()
            try:
                await self._table.transact([Put(row, build_row_condition(known))])
                self._known_row = row
                return
            except ApricotliftError as error:
                self._known_row = None
                if error.code == Code.TABLE_UNCLEAR:
                    # The answer was lost: the row shows whether the write took effect.
                    known = await self._read_own_row()
                    if known is not None and known.values == row.values:
                        return
                elif error.code == Code.CONDITION_FAILED:
                    known = await self._read_own_row()
                is_last = attempt == _MAX_WRITE_ATTEMPTS - 1
                if error.code == Code.TABLE_UNAVAILABLE or is_last:
                    raise

    async def _read_own_row(self) -> Row | None:
        """Read this node's row and check which incarnation holds it."""
        row = await self._table.get(MEMBER_PK, self._own.node_id)
        if row is None:
            if self._has_written_row and not self._is_restored:
                # The row was deleted because it was unrenewed for hours, or by an
                # operator. Gossip may report that this incarnation left.
                self._has_written_row = False
                self._take_new_incarnation()
            self._known_row = None
            return None
        if parse_summary_row(row) is None:
            # Another program wrote it, so it says nothing about another process.
            self._metrics.count("lease_rows_unusable_total")
            logs.log(logs.WARNING, "lease_row_unusable", node_id=self._own.node_id)
            self._known_row = row
            return row
        holder = str(row.values.get("incarnation", ""))
        if holder not in (self.incarnation, self._replaces):
            # A process that takes a row over chooses a higher incarnation than that in
            # the row, so a lower one was restored with the table.
            is_newer = holder > (self._replaces or self.incarnation)
            if self._has_written_row and is_newer:
                self._mark_superseded(holder)
                return row
            if holder > self.incarnation:
                self.incarnation = build_incarnation(
                    self._wall_ms(), self._random, holder
                )
        self._renewal = max(self._renewal, row.values["renewal"])
        self._known_row = row
        return row

    async def _write_through_peer(self) -> None:
        message = RenewLease(dict(self._build_row().values), self._replaces)
        await self._ask_peer(message)
        self._metrics.count("lease_peer_renewals_total")

    def _build_row(self) -> Row:
        self._renewal += 1
        self._written_incarnation = self.incarnation
        summary = self.get_summary()
        values = {
            "incarnation": summary.incarnation,
            "renewal": self._renewal,
            "peer_address": summary.peer_address,
            "caller_address": summary.caller_address,
            "failure_domain": summary.failure_domain,
            "state": summary.state,
            "confirmed_version": self.confirmed_version,
        }
        return Row(MEMBER_PK, summary.node_id, values)

    def _take_new_incarnation(self) -> None:
        self._last_renewed_at = NEVER
        if not self._replaces:
            self._replaces = self.incarnation
        self.incarnation = build_incarnation(
            self._wall_ms(), self._random, self.incarnation
        )

    def _mark_superseded(self, holder: str) -> None:
        self.is_superseded = True
        self._metrics.count("lease_superseded_total")
        logs.log(
            logs.ERROR,
            "node_id_taken",
            node_id=self._own.node_id,
            incarnation=self.incarnation,
            holder=holder,
        )


def build_row_condition(known: Row | None) -> Condition:
    """Return the condition that the row still has this incarnation and renewal."""
    if known is None:
        return ABSENT
    names = ("incarnation", "renewal")
    found = {name: known.values[name] for name in names if name in known.values}
    return build_equals(**found)


async def write_for_peer(table, node_id: str, message: RenewLease) -> None:
    """Write the lease row of a peer that can't reach the table.

    A missing row isn't created: a delayed request could restore the row of a node that
    has left.

    :param node_id: the authenticated id of the peer.
    :raises ApricotliftError: ``CONDITION_FAILED`` when the row is missing, belongs to
        another incarnation or has the same or a later renewal; ``BAD_REQUEST`` on
        malformed values; or an error of the table.
    """
    values = message.row
    _check_row_values(values)
    known = await table.get(MEMBER_PK, node_id)
    if known is None:
        raise ApricotliftError(Code.CONDITION_FAILED, f"no lease row of {node_id!r}")
    holder = known.values.get("incarnation")
    if holder not in (values["incarnation"], message.replaces or None):
        raise ApricotliftError(
            Code.CONDITION_FAILED,
            f"the lease row of {node_id!r} belongs to incarnation {holder!r}, "
            f"not to {values['incarnation']!r}",
        )
    if values["renewal"] <= known.values.get("renewal", 0):
        raise ApricotliftError(
            Code.CONDITION_FAILED,
            f"renewal {values['renewal']} of {node_id!r} is not above "
            f"{known.values.get('renewal', 0)}, the renewal in the row",
        )
    row = Row(MEMBER_PK, node_id, dict(values))
    await table.transact([Put(row, build_row_condition(known))])


#: The renewal number is increased and must still fit a message.
_NUMBER_MAX = 2**63 - 1

_ROW_TYPES = {
    "incarnation": str,
    "renewal": int,
    "peer_address": str,
    "caller_address": str,
    "failure_domain": str,
    "state": str,
    "confirmed_version": int,
}


def _check_row_values(values: dict) -> None:
    for name, kind in _ROW_TYPES.items():
        if type(values.get(name)) is not kind:
            raise ApricotliftError(
                Code.BAD_REQUEST,
                f"lease row: expected {kind.__name__} for {name}, "
                f"got {type(values.get(name)).__name__}",
            )
        if kind is int and not 0 <= values[name] < _NUMBER_MAX:
            raise ApricotliftError(
                Code.BAD_REQUEST, f"lease row: {name} isn't from 0 to {_NUMBER_MAX - 1}"
            )


def parse_summary_row(row: Row) -> MemberSummary | None:
    """Return the summary in a lease row, or ``None`` if the row is malformed."""
    try:
        _check_row_values(row.values)
    except ApricotliftError:
        return None
    names = ("incarnation", "peer_address", "caller_address", "failure_domain", "state")
    summary = MemberSummary(row.sk, **{name: row.values[name] for name in names})
    return summary if is_valid_summary(summary) else None
