"""Membership of one node: its lease, the queries of the lease rows, and gossip.

``Membership`` runs the background tasks. The logic is in the modules ``memberlease``,
``view``, ``gossip`` and ``freshness``.
"""

from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from random import Random
from typing import Self

import anyio
from anyio.abc import TaskGroup
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.platform.livelist import LiveList
from apricotlift.platform.table import Delete, Row
from apricotlift.state.freshness import AdmissionBasis, Freshness
from apricotlift.state.gossip import HEARTBEAT_INTERVAL_S, N_GOSSIP_TASKS, Gossip
from apricotlift.state.memberlease import (
    MEMBER_PK,
    RENEWAL_INTERVAL_S,
    Lease,
    build_row_condition,
    parse_summary_row,
    write_for_peer,
)
from apricotlift.state.view import NEVER, MembershipView, MemberState
from apricotlift.wire.connections import PeerPool, PeerServer
from apricotlift.wire.handshake import Identity
from apricotlift.wire.messages import Ack, Heartbeat, MemberSummary, RenewLease

QUERY_INTERVAL_S = 15.0

#: In large fleets each node writes and reads the lease rows less often, in proportion
#: to the number of members. Who is alive is known from gossip; the rows are needed by
#: nodes that start, and by those that gossip can't reach.
RENEWAL_PACE_S_PER_MEMBER = 0.5
QUERY_PACE_S_PER_MEMBER = 1.0
#: Shorter than the time for which members that left are remembered.
MAX_QUERY_INTERVAL_S = 45.0

#: Interval after the first query; it doubles up to the regular one. Nodes that start
#: at the same time find no rows at first, and must find each other within seconds.
FIRST_QUERY_INTERVAL_S = 1.0

#: Lease rows that are unrenewed for this long are deleted. The time is longer than the
#: three hours for which an uncertain node may admit work, so a member whose row is
#: deleted can't be serving.
MAX_UNRENEWED_ROW_AGE_S = 4 * 3600.0

#: After so many missed queries, the observed ages of rows are discarded.
_MAX_MISSED_QUERIES = 4

#: A failed lease write is retried after this delay instead of the renewal interval, so
#: that two attempts fit into the duration of a lease.
_LEASE_RETRY_DELAY_S = 1.0
#: After a restore of the table, nodes write their rows again at a random moment within
#: this time for each member, and at most within a renewal interval.
_RESTORE_SPREAD_S_PER_MEMBER = 0.01

_PEER_RENEWAL_TIMEOUT_S = 2.5
_MAX_RENEWAL_PEERS = 2


@dataclass
class _ObservedRow:
    """A lease row and when this node first read its latest renewal."""

    row: Row
    seen_at: float


class Membership:
    """Maintains this node's lease and its view of the other members.

    This is an async context manager: entering it starts the background tasks; exiting
    it stops them and keeps the lease row. A drain calls ``publish_draining`` when it
    begins and ``leave`` when it ends.

    :param own: this node's summary; its incarnation is replaced.
    :param table: a ``platform.table.Table``.
    :param pool: the peer pool; build it with ``get_identity`` of this object.
    :param clock: returns seconds of a monotonic clock that counts suspended time.
    :param wall_ms: returns the wall-clock time in milliseconds.
    :param is_lease_needed: whether decisions rest on leases that have not expired; if
        not, large fleets renew them less often than they expire.
    """

    def __init__(
        self,
        own: MemberSummary,
        table,
        pool: PeerPool,
        metrics: Metrics,
        random: Random | None = None,
        clock: Callable[[], float] = clocks.monotonic,
        wall_ms: Callable[[], int] = clocks.wall_ms,
        is_lease_needed: bool = True,
    ):
        random = random or Random()
        self._is_lease_needed = is_lease_needed
        self._table = table
        self._pool = pool
        self._metrics = metrics
        self._random = random
        self._clock = clock
        self._stack = AsyncExitStack()
        self._tasks: TaskGroup | None = None
        self._observed_rows: dict[str, _ObservedRow] = {}
        self._last_query_at = NEVER
        self._restored = anyio.Event()
        self.lease = Lease(
            table, own, self._ask_peer_to_renew, metrics, random, clock, wall_ms
        )
        self.view = MembershipView(self.lease.get_summary(), metrics, clock)
        self.freshness = Freshness(metrics, clock)
        self.gossip = Gossip(
            self.view, self.freshness, pool.request, metrics, random, clock
        )

    async def __aenter__(self) -> Self:
        self._tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self._tasks.start_soon(self._run_lease_renewal)
        self._tasks.start_soon(self._run_member_queries)
        for _ in range(N_GOSSIP_TASKS):
            self._tasks.start_soon(self._run_gossip)
        return self

    async def __aexit__(self, *details: object) -> None:
        self._tasks.cancel_scope.cancel()
        await self._stack.aclose()

    @property
    def queried_at(self) -> float:
        """Time of the last successful query of the lease rows."""
        return self._last_query_at

    def get_identity(self) -> Identity:
        """Return this node's identity for handshakes with peers."""
        own = self.view.own
        return Identity(own.node_id, self.lease.incarnation, own.failure_domain)

    def register(self, server: PeerServer) -> None:
        """Register the handlers of membership messages."""
        server.register(Heartbeat, self.handle_heartbeat)
        server.register(RenewLease, self.handle_renewal)

    def get_renewal_interval_s(self) -> float:
        """Return the time between two renewals of the lease row."""
        if self._is_lease_needed:
            return RENEWAL_INTERVAL_S
        pace_s = RENEWAL_PACE_S_PER_MEMBER * len(self.view.members)
        return max(RENEWAL_INTERVAL_S, pace_s)

    def get_query_interval_s(self) -> float:
        """Return the time between two queries of the lease rows."""
        if self._is_lease_needed:
            return QUERY_INTERVAL_S
        pace_s = QUERY_PACE_S_PER_MEMBER * len(self.view.members)
        return max(QUERY_INTERVAL_S, min(MAX_QUERY_INTERVAL_S, pace_s))

    def check_admission(self) -> AdmissionBasis:
        """Return the basis on which new work may be admitted now.

        :raises ApricotliftError: ``NO_CONFIG``, ``CONFIG_UNCERTAIN`` or, if another
            process uses this node's id, ``STOPPING``.
        """
        self.detect_pause()
        if self.lease.is_superseded:
            raise ApricotliftError(
                Code.STOPPING, "another process runs with this node's id"
            )
        return self.freshness.check_admission(self.view.check_majority())

    def detect_pause(self) -> None:
        """Handle a pause of the process that was longer than the lease.

        After such a pause the configuration must be confirmed again, and the node has
        a new incarnation.
        """
        if self.lease.detect_pause():
            self.freshness.require_confirmation(self._clock())
            self._update_own_summary()

    async def publish_version(self, version: int) -> bool:
        """Write the confirmed configuration version to the lease row immediately.

        :returns: whether the write is known to have taken effect.
        """
        return await self.lease.publish(confirmed_version=version)

    async def publish_draining(self) -> bool:
        """Publish the state ``draining`` by gossip and in the lease row."""
        self.lease.state = MemberState.DRAINING
        self._update_own_summary()
        return await self.lease.renew()

    async def leave(self) -> bool:
        """Delete the lease row at the end of a drain.

        :returns: whether the row is known to be gone.
        """
        return await self.lease.delete()

    def handle_restore(self) -> None:
        """Handle that the table came back from a copy.

        A member whose row is missing now hasn't left, and this node's row is written
        again soon.
        """
        self.view.forget_rows()
        self._observed_rows.clear()
        self.lease.handle_restore()
        self._restored.set()

    def apply_live_list(self, live_list: LiveList) -> set[str]:
        """Return the ids of members that the platform reports as leaving.

        The list is delayed, so the view isn't changed.
        """
        leaving = {item.name for item in live_list.instances if item.is_leaving}
        return leaving.intersection(self.view.members)

    async def query_members(self) -> None:
        """Read the lease rows, update the view and delete long-unrenewed rows.

        :raises ApricotliftError: ``TABLE_UNAVAILABLE``.
        """
        rows = await self._table.query(MEMBER_PK)
        summaries = []
        unusable_ids = set()
        for row in rows:
            summary = parse_summary_row(row)
            if summary is None:
                unusable_ids.add(row.sk)
                self._metrics.count("member_refused_total", reason="malformed_row")
                logs.log(logs.WARNING, "member_row_unusable", node_id=row.sk)
            else:
                summaries.append(summary)
        self.view.apply_table(summaries, unusable_ids)
        self.view.forget_departed()
        self._check_own_incarnation()
        self._record_renewals(rows)
        await self._delete_unrenewed()

    async def handle_heartbeat(self, message: Heartbeat, peer: Identity):
        """Apply a peer's heartbeat and return the reply."""
        self.detect_pause()
        reply = self.gossip.answer(message)
        self._check_own_incarnation()
        return reply

    async def handle_renewal(self, message: RenewLease, peer: Identity) -> Ack:
        """Write the lease row of a peer that can't reach the table."""
        await write_for_peer(self._table, peer.node_id, message)
        return Ack()

    async def _run_lease_renewal(self) -> None:
        while not self.lease.is_superseded:
            self.detect_pause()
            is_renewed = await self.lease.renew()
            # The first write may have changed the incarnation.
            self._update_own_summary()
            await self._wait_for_renewal(
                self.get_renewal_interval_s() if is_renewed else _LEASE_RETRY_DELAY_S
            )

    async def _wait_for_renewal(self, interval_s: float) -> None:
        with anyio.move_on_after(interval_s):
            await self._restored.wait()
            self._restored = anyio.Event()
            spread_s = _RESTORE_SPREAD_S_PER_MEMBER * len(self.view.members)
            spread_s = min(RENEWAL_INTERVAL_S, spread_s)
            await anyio.sleep(spread_s * self._random.random())

    async def _run_member_queries(self) -> None:
        interval_s = FIRST_QUERY_INTERVAL_S
        while True:
            try:
                await self.query_members()
            except ApricotliftError as error:
                self._metrics.count("member_query_failures_total", code=error.code)
            # Jitter keeps the nodes from reading the table at the same time.
            await anyio.sleep(interval_s * self._random.uniform(0.8, 1.2))
            interval_s = min(2 * interval_s, self.get_query_interval_s())

    async def _run_gossip(self) -> None:
        while True:
            await anyio.sleep(HEARTBEAT_INTERVAL_S * self._random.uniform(0.8, 1.2))
            self.detect_pause()
            await self.gossip.exchange()
            self._check_own_incarnation()

    async def _ask_peer_to_renew(self, message: RenewLease) -> None:
        candidates = [
            member.peer_address
            for member in self.view.get_serving()
            if member.node_id != self.view.own.node_id
        ]
        n_asked = min(_MAX_RENEWAL_PEERS, len(candidates))
        error = ApricotliftError(Code.PEER_UNREACHABLE, "no peer can renew the lease")
        for address in self._random.sample(candidates, n_asked):
            try:
                await self._pool.request(address, message, _PEER_RENEWAL_TIMEOUT_S)
                return
            except ApricotliftError as reason:
                error = reason
        raise error

    def _check_own_incarnation(self) -> None:
        newer = self.view.newer_own_incarnation
        if newer > self.lease.incarnation and self.lease.handle_newer_incarnation(
            newer
        ):
            self._update_own_summary()

    def _update_own_summary(self) -> None:
        summary = self.lease.get_summary()
        if summary != self.view.own:
            self.view.set_own(summary)

    def _record_renewals(self, rows: list[Row]) -> None:
        now = self._clock()
        # Nodes that can't reach the table can't renew their rows either. After a table
        # outage the full time is counted again.
        max_gap_s = _MAX_MISSED_QUERIES * self.get_query_interval_s()
        if now - self._last_query_at > max_gap_s:
            self._observed_rows.clear()
        self._last_query_at = now
        watched = {}
        for row in rows:
            known = self._observed_rows.get(row.sk)
            is_renewed = known is None or known.row.values != row.values
            watched[row.sk] = _ObservedRow(row, now) if is_renewed else known
        self._observed_rows = watched

    async def _delete_unrenewed(self) -> None:
        limit = self._clock() - MAX_UNRENEWED_ROW_AGE_S
        for watched in list(self._observed_rows.values()):
            row = watched.row
            if watched.seen_at > limit or row.sk == self.view.own.node_id:
                continue
            if parse_summary_row(row) is None:
                continue
            delete = Delete(MEMBER_PK, row.sk, build_row_condition(row))
            try:
                await self._table.transact([delete])
            except ApricotliftError as error:
                self._metrics.count("member_row_failures_total", code=error.code)
                continue
            self._metrics.count("member_rows_deleted_total")
            logs.log(logs.INFO, "member_row_deleted", node_id=row.sk)
