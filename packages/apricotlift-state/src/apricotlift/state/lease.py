"""The lease row of a node in the table.

A node writes only its own row. Each write carries a renewal number that grows, and
holds only on condition that the row still has the incarnation and renewal number
that the writer knows. A delayed write therefore can't undo a later one, and two
processes under one node id can't both keep the row.

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
from apricotlift.state.view import NEVER, MemberState, build_incarnation
from apricotlift.wire.messages import MemberSummary, RenewLease

MEMBER_PK = "member"
LEASE_S = 10.0
RENEWAL_S = 5.0

#: One to find that an own delayed write came first, one to find another.
_N_WRITE_ATTEMPTS = 3

_N_DELETE_ATTEMPTS = 5
_DELETE_PAUSE_S = 0.5

AskPeer = Callable[[RenewLease], Awaitable[None]]


class Lease:
    """Keeps the lease row of this node.

    :param table: a ``platform.table.Table``.
    :param own: this node's summary; its incarnation is replaced at the start.
    :param ask_peer: passes a renewal to a peer and raises what the peer raised.
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
        self._held_from = NEVER
        self._is_started = False
        self._is_ended = False
        self._replaces = ""
        self._written = ""
        self._renewal = 0
        # The row that the table holds, as far as this node knows.
        self._known: Row | None = None
        self._ticked_at = NEVER

    def get_summary(self) -> MemberSummary:
        """Return what gossip says of this node."""
        return MemberSummary(
            node_id=self._own.node_id,
            incarnation=self.incarnation,
            peer_address=self._own.peer_address,
            caller_address=self._own.caller_address,
            failure_domain=self._own.failure_domain,
            state=str(self.state),
        )

    def is_held(self) -> bool:
        """Return whether the lease is certainly this node's now."""
        if self.is_superseded or self._is_ended:
            return False
        return self._clock() < self._held_from + LEASE_S

    def notice_pause(self) -> bool:
        """Take a new incarnation after a pause longer than the lease.

        It is called often by running tasks; a long gap between calls is a pause of
        the process.

        :returns: whether there was a pause.
        """
        now = self._clock()
        gap_s = now - self._ticked_at
        self._ticked_at = now
        if gap_s <= LEASE_S or math.isinf(gap_s):
            return False
        self._metrics.count("lease_pauses_total")
        logs.log(logs.WARNING, "pause_observed", seconds=round(gap_s, 1))
        self._renew_incarnation()
        return True

    def outrank(self, incarnation: str) -> bool:
        """React to a newer incarnation of this node's id that gossip reported.

        Before the first write it belongs to an earlier process, for example when
        the wall clock has gone back, and this process takes a newer one. Later it
        belongs to another running process.

        :returns: whether this node may go on.
        """
        if incarnation <= self.incarnation:
            return not self.is_superseded
        if self._is_started:
            self._give_up(incarnation)
            return False
        self.incarnation = build_incarnation(self._wall_ms(), self._random, incarnation)
        return True

    async def publish(
        self, state: MemberState | None = None, confirmed_version: int | None = None
    ) -> bool:
        """Write a changed state or confirmed version at once.

        :returns: whether the write is known to have taken effect. Otherwise the
            next renewal carries the change.
        """
        if state is not None:
            self.state = state
        if confirmed_version is not None:
            self.confirmed_version = max(self.confirmed_version, confirmed_version)
        return await self.renew()

    async def renew(self) -> bool:
        """Write the row, through a peer where the table can't be reached.

        :returns: whether the lease was renewed.
        """
        async with self._lock:
            if self.is_superseded or self._is_ended:
                return False
            started_at = self._clock()
            try:
                await self._write()
            except ApricotliftError as error:
                self._metrics.count("lease_failures_total", code=error.code)
                return False
            # During the write the row may have turned out to be another process's,
            # or a pause may have given this node a new incarnation.
            if self.is_superseded or self._written != self.incarnation:
                return False
            self._held_from = started_at
            self._is_started = True
            self._replaces = ""
            self._metrics.count("lease_renewals_total")
            return True

    async def delete(self) -> bool:
        """Delete the row at the end of a drain.

        :returns: whether the row is known to be gone. Otherwise it expires, and any
            node deletes it after some hours.
        """
        async with self._lock:
            self._is_ended = True
            for _ in range(_N_DELETE_ATTEMPTS):
                condition = build_equals(incarnation=self.incarnation)
                delete = Delete(MEMBER_PK, self._own.node_id, condition)
                try:
                    await self._table.transact([delete])
                    return True
                except ApricotliftError as error:
                    # After an unclear attempt the row may be gone already, and
                    # another incarnation's row isn't this node's to delete.
                    if error.code == Code.CONDITION_FAILED:
                        return True
                await anyio.sleep(_DELETE_PAUSE_S)
            return False

    async def _write(self) -> None:
        try:
            await self._write_to_table()
        except ApricotliftError as error:
            if error.code not in (Code.TABLE_UNAVAILABLE, Code.TABLE_UNCLEAR):
                raise
            # An unclear write may still take effect later; the peer's write has a
            # higher renewal number, and only one of the two can hold.
            self._known = None
            if not self._is_started:
                raise
            await self._write_through_peer()

    async def _write_to_table(self) -> None:
        known = self._known
        if known is None:
            known = await self._read_known()
        for attempt in range(_N_WRITE_ATTEMPTS):
            if self.is_superseded:
                return
            row = self._build_row()
            try:
                await self._table.transact([Put(row, build_row_condition(known))])
                self._known = row
                return
            except ApricotliftError as error:
                self._known = None
                if error.code == Code.TABLE_UNCLEAR:
                    # The answer was lost, so the row tells what happened.
                    known = await self._read_known()
                    if known is not None and known.values == row.values:
                        return
                elif error.code == Code.CONDITION_FAILED:
                    known = await self._read_known()
                is_last = attempt == _N_WRITE_ATTEMPTS - 1
                if error.code == Code.TABLE_UNAVAILABLE or is_last:
                    raise

    async def _read_known(self) -> Row | None:
        """Read the row and check whose it is."""
        row = await self._table.get(MEMBER_PK, self._own.node_id)
        if row is None:
            if self._is_started:
                # The row was deleted as unrenewed for hours, or by an operator.
                # Gossip may say that this incarnation left.
                self._is_started = False
                self._renew_incarnation()
            self._known = None
            return None
        holder = str(row.values.get("incarnation", ""))
        if holder not in (self.incarnation, self._replaces):
            if self._is_started:
                self._give_up(holder)
                return row
            if holder > self.incarnation:
                self.incarnation = build_incarnation(
                    self._wall_ms(), self._random, holder
                )
        renewal = row.values.get("renewal", 0)
        self._renewal = max(self._renewal, int(renewal))
        self._known = row
        return row

    async def _write_through_peer(self) -> None:
        message = RenewLease(dict(self._build_row().values), self._replaces)
        await self._ask_peer(message)
        self._metrics.count("lease_peer_renewals_total")

    def _build_row(self) -> Row:
        self._renewal += 1
        self._written = self.incarnation
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

    def _renew_incarnation(self) -> None:
        self._held_from = NEVER
        if not self._replaces:
            self._replaces = self.incarnation
        self.incarnation = build_incarnation(
            self._wall_ms(), self._random, self.incarnation
        )

    def _give_up(self, holder: str) -> None:
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
    """Return the condition that the table holds exactly this renewal of a row."""
    if known is None:
        return ABSENT
    names = ("incarnation", "renewal")
    return build_equals(**{name: known.values[name] for name in names})


async def write_for_peer(table, node_id: str, message: RenewLease) -> None:
    """Write the lease row of a peer that can't reach the table.

    A peer's first row isn't written: a delayed request could bring back the row of
    a node that has left.

    :param node_id: the authenticated identity of the peer.
    :raises ApricotliftError: ``CONDITION_FAILED`` when the row isn't the peer's or
        has a later renewal, ``BAD_REQUEST`` on malformed values, or the table's.
    """
    values = message.row
    _check_row_values(values)
    known = await table.get(MEMBER_PK, node_id)
    if known is None:
        raise ApricotliftError(Code.CONDITION_FAILED, f"no lease row of {node_id!r}")
    holder = known.values.get("incarnation")
    if holder not in (values["incarnation"], message.replaces or None):
        raise ApricotliftError(
            Code.CONDITION_FAILED, f"the row belongs to incarnation {holder!r}"
        )
    if values["renewal"] <= known.values.get("renewal", 0):
        raise ApricotliftError(
            Code.CONDITION_FAILED, f"renewal {values['renewal']} isn't the latest"
        )
    row = Row(MEMBER_PK, node_id, dict(values))
    await table.transact([Put(row, build_row_condition(known))])


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
                Code.BAD_REQUEST, f"lease row: {name} isn't a {kind.__name__}"
            )


def read_summary(row: Row) -> MemberSummary | None:
    """Return the summary of a lease row, ``None`` where the row is malformed."""
    try:
        _check_row_values(row.values)
    except ApricotliftError:
        return None
    names = ("incarnation", "peer_address", "caller_address", "failure_domain", "state")
    return MemberSummary(row.sk, **{name: row.values[name] for name in names})
