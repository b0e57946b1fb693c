"""Membership of one node: its lease, the member query and gossip.

``Membership`` owns the tasks; the parts that decide are in ``lease``, ``view``,
``gossip`` and ``freshness``.
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
from apricotlift.state.freshness import Freshness, Standing
from apricotlift.state.gossip import HEARTBEAT_S, N_PARTNERS, Gossip
from apricotlift.state.lease import (
    MEMBER_PK,
    RENEWAL_S,
    Lease,
    build_row_condition,
    read_summary,
    write_for_peer,
)
from apricotlift.state.view import NEVER, MembershipView, MemberState
from apricotlift.wire.connections import PeerPool, PeerServer
from apricotlift.wire.handshake import Identity
from apricotlift.wire.messages import Ack, Heartbeat, MemberSummary, RenewLease

QUERY_S = 15.0

#: Nodes that start together find no rows at first. The interval doubles from this
#: one, so that they know each other within seconds.
FIRST_QUERY_S = 1.0

#: Longer than the three hours for which an uncertain node may serve, so that a
#: member whose row is deleted can't be serving.
UNRENEWED_ROW_S = 4 * 3600.0

#: Queries further apart than this don't show that a row was unrenewed meanwhile.
_MAX_WATCH_GAP_S = 4 * QUERY_S

#: A lease write is retried sooner than a renewal, to fit twice into a lease.
_RETRY_S = 1.0
_PEER_RENEWAL_TIMEOUT_S = 2.5
_N_PEER_RENEWALS = 2


@dataclass
class _WatchedRow:
    """A lease row and when this node first saw its renewal."""

    row: Row
    seen_at: float


class Membership:
    """Keeps this node a member and knows the others.

    It is an async context manager: entering it starts the tasks, leaving it stops
    them and leaves the row in place. A drain calls ``publish_draining`` at its
    begin and ``leave`` at its end.

    :param own: this node's summary; the incarnation in it is replaced.
    :param table: a ``platform.table.Table``.
    :param pool: the peer pool; build it with ``get_identity`` of this object.
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
    ):
        random = random or Random()
        self._table = table
        self._pool = pool
        self._metrics = metrics
        self._random = random
        self._clock = clock
        self._stack = AsyncExitStack()
        self._tasks: TaskGroup | None = None
        self._watched: dict[str, _WatchedRow] = {}
        self._watched_at = NEVER
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
        self._tasks.start_soon(self._keep_lease)
        self._tasks.start_soon(self._keep_members)
        for _ in range(N_PARTNERS):
            self._tasks.start_soon(self._keep_gossip)
        return self

    async def __aexit__(self, *details: object) -> None:
        self._tasks.cancel_scope.cancel()
        await self._stack.aclose()

    def get_identity(self) -> Identity:
        """Return who this node is, for handshakes."""
        own = self.view.own
        return Identity(own.node_id, self.lease.incarnation, own.failure_domain)

    def register(self, server: PeerServer) -> None:
        """Register the handlers of membership messages."""
        server.register(Heartbeat, self.handle_heartbeat)
        server.register(RenewLease, self.handle_renewal)

    def check_admission(self) -> Standing:
        """Return why new work may be admitted now.

        :raises ApricotliftError: ``NO_CONFIG``, ``CONFIG_UNCERTAIN`` or, where
            another process has taken this node's id, ``STOPPING``; not run.
        """
        self.notice_pause()
        if self.lease.is_superseded:
            raise ApricotliftError(
                Code.STOPPING, "another process has taken this node's id"
            )
        return self.freshness.check_admission(self.view.check_majority())

    def notice_pause(self) -> None:
        """React to a pause of the process that was longer than the lease."""
        if self.lease.notice_pause():
            self.freshness.require_confirmation(self._clock())
            self._update_own()

    async def publish_version(self, version: int) -> bool:
        """Write the confirmed configuration version to the lease row at once.

        :returns: whether the write is known to have taken effect.
        """
        return await self.lease.publish(confirmed_version=version)

    async def publish_draining(self) -> bool:
        """Publish the state ``draining`` by gossip and in the lease row."""
        self.lease.state = MemberState.DRAINING
        self._update_own()
        return await self.lease.renew()

    async def leave(self) -> bool:
        """Delete the lease row at the end of a drain.

        :returns: whether the row is known to be gone.
        """
        return await self.lease.delete()

    def apply_live_list(self, live_list: LiveList) -> set[str]:
        """Return the ids of members that the platform says are leaving.

        The list lags, so it changes nothing in the view.
        """
        leaving = {item.name for item in live_list.instances if item.is_leaving}
        return leaving.intersection(self.view.members)

    async def query_members(self) -> None:
        """Read the lease rows, update the view and delete rows long unrenewed.

        :raises ApricotliftError: ``TABLE_UNAVAILABLE``.
        """
        rows = await self._table.query(MEMBER_PK)
        summaries = []
        for row in rows:
            summary = read_summary(row)
            if summary is None:
                self._metrics.count("member_refused_total", reason="malformed_row")
            else:
                summaries.append(summary)
        self.view.apply_table(summaries)
        self.view.drop_departed()
        self._check_own_id()
        self._watch(rows)
        await self._delete_unrenewed()

    async def handle_heartbeat(self, message: Heartbeat, peer: Identity):
        """Answer a peer's heartbeat."""
        self.notice_pause()
        reply = self.gossip.answer(message)
        self._check_own_id()
        return reply

    async def handle_renewal(self, message: RenewLease, peer: Identity) -> Ack:
        """Write a peer's lease row."""
        await write_for_peer(self._table, peer.node_id, message)
        return Ack()

    async def _keep_lease(self) -> None:
        while not self.lease.is_superseded:
            self.notice_pause()
            is_renewed = await self.lease.renew()
            # The incarnation may have changed at the first write.
            self._update_own()
            await anyio.sleep(RENEWAL_S if is_renewed else _RETRY_S)

    async def _keep_members(self) -> None:
        interval_s = FIRST_QUERY_S
        while True:
            try:
                await self.query_members()
            except ApricotliftError as error:
                self._metrics.count("member_query_failures_total", code=error.code)
            # Jitter keeps the nodes from reading the table at the same time.
            await anyio.sleep(interval_s * self._random.uniform(0.8, 1.2))
            interval_s = min(2 * interval_s, QUERY_S)

    async def _keep_gossip(self) -> None:
        while True:
            await anyio.sleep(HEARTBEAT_S * self._random.uniform(0.8, 1.2))
            self.notice_pause()
            await self.gossip.exchange()
            self._check_own_id()

    async def _ask_peer_to_renew(self, message: RenewLease) -> None:
        candidates = [
            member.peer_address
            for member in self.view.get_serving()
            if member.node_id != self.view.own.node_id
        ]
        n_asked = min(_N_PEER_RENEWALS, len(candidates))
        error = ApricotliftError(Code.PEER_UNREACHABLE, "no peer can renew the lease")
        for address in self._random.sample(candidates, n_asked):
            try:
                await self._pool.request(address, message, _PEER_RENEWAL_TIMEOUT_S)
                return
            except ApricotliftError as reason:
                error = reason
        raise error

    def _check_own_id(self) -> None:
        newer = self.view.newer_own_incarnation
        if newer > self.lease.incarnation and self.lease.outrank(newer):
            self._update_own()

    def _update_own(self) -> None:
        summary = self.lease.get_summary()
        if summary != self.view.own:
            self.view.set_own(summary)

    def _watch(self, rows: list[Row]) -> None:
        now = self._clock()
        # Nodes that couldn't reach the table couldn't renew either. After an outage
        # they get the whole time again.
        if now - self._watched_at > _MAX_WATCH_GAP_S:
            self._watched.clear()
        self._watched_at = now
        watched = {}
        for row in rows:
            known = self._watched.get(row.sk)
            is_renewed = known is None or known.row.values != row.values
            watched[row.sk] = _WatchedRow(row, now) if is_renewed else known
        self._watched = watched

    async def _delete_unrenewed(self) -> None:
        limit = self._clock() - UNRENEWED_ROW_S
        for watched in list(self._watched.values()):
            row = watched.row
            if watched.seen_at > limit or row.sk == self.view.own.node_id:
                continue
            if read_summary(row) is None:
                continue
            delete = Delete(MEMBER_PK, row.sk, build_row_condition(row))
            try:
                await self._table.transact([delete])
            except ApricotliftError as error:
                self._metrics.count("member_row_failures_total", code=error.code)
                continue
            self._metrics.count("member_rows_deleted_total")
            logs.log(logs.INFO, "member_row_deleted", node_id=row.sk)
