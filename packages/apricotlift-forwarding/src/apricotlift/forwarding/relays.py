"""Spreads the rows of the platform's store from a few reader nodes to the others.

If each node of a large fleet polled the store, every change would cost one call a node.
So only a few nodes, chosen by rendezvous hashing over the live members and spread over
the failure domains, poll the store. The others poll one of these readers over the inner
protocol, if possible one of their own failure domain.

A reader states the age of its last answer from the store, and a follower counts the
time since it sent its own request as well, so that an age is never understated. A
follower reads from the store itself as soon as its reader refuses, is silent or has
rows that are too old. Its limits are shares of the time within which a configuration
has to be in force, so that a reader that dies, freezes or loses the store delays a
change by less than that time.
"""

import math
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Protocol

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.hashing import choose_owners, rank_nodes
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.feeds import POLL_S, Feed, RowSet, RowSource, StoredRow
from apricotlift.forwarding.tablecopies import TableCopy
from apricotlift.wire.handshake import Identity
from apricotlift.wire.messages import (
    Message,
    RowRecord,
    RowsReply,
    RowsRequest,
)
from apricotlift.wire.tablenames import build_table_name, split_table_name

#: Up to this number of nodes, all of them read from the store: readers poll more often
#: than other nodes, so that fewer followers would save no calls.
MAX_DIRECT_NODES = 12
#: Readers of a larger fleet: a least number, and one for so many nodes.
N_READERS_MIN = 3
N_NODES_PER_READER = 16

#: Shares of the time limit for applying a configuration. Together with the margin of a
#: reply, the longest age and the longest wait stay below the limit.
_READER_POLL_SHARE = 0.4
_AGE_SHARE_MAX = 0.55
_WAIT_SHARE = 0.22
_REPLY_MARGIN_S = 0.3

#: Pause between a change and the next poll, so that changes in quick succession are
#: passed on together.
_CHANGE_PAUSE_S = 0.2

#: Time for which a reader that didn't answer is not asked again.
_READER_BACKOFF_S = 3.0
#: The same for one that refused at once; it may have lost the store for a moment.
_REFUSAL_BACKOFF_S = 0.6
#: Pause between two reads of a follower from a store that doesn't answer it; its reader
#: tries more often.
_DIRECT_RETRY_S = 1.5
#: A node that has been asked within this time polls the store as a reader.
_ASKED_RECENTLY_S = 5.0


class EraSource(RowSource, Protocol):
    """Read access to the tables of the store, with the store's newest era.

    :ivar era: newest era known; 0 until one is.
    """

    era: int

    def note_era(self, era: int) -> None:
        """Take an era that a peer has seen for the newest if it is higher."""


Request = Callable[[str, Message, float], Awaitable[Message]]


@dataclass(frozen=True)
class Peers:
    """What a relay needs to know about the other nodes.

    :param own_name: name of this node.
    :param list_domains: returns the failure domain of each live node, this one
        included.
    :param get_address: returns a node's address for peers, ``None`` if it is unknown.
    :param request: sends a message to an address and returns the reply; its last
        argument is the timeout in seconds.
    """

    own_name: str
    list_domains: Callable[[], Mapping[str, str]]
    get_address: Callable[[str], str | None]
    request: Request


@dataclass
class _TableState:
    """How this node reads one table.

    :param is_relayed: whether the rows come from a reader.
    :param asked_at: when another node last asked for rows.
    :param direct_failed_at: when the store last failed to answer.
    :param paused_until: time of the next poll after a change.
    """

    is_relayed: bool = False
    asked_at: float = -math.inf
    direct_failed_at: float = -math.inf
    paused_until: float = -math.inf


@dataclass
class Relay:
    """Reads tables from the store or from a reader, and answers followers.

    :param store: the client of the store. It also keeps the newest era that this node
        or a peer has seen.
    :param apply_limit_s: time within which a configuration has to be in force.
    :param peers: the other nodes; ``None`` until this node has joined them.
    :param sleep: waits for a number of seconds.
    """

    store: EraSource
    apply_limit_s: float
    metrics: Metrics
    clock: Callable[[], float] = clocks.monotonic
    peers: Peers | None = None
    sleep: Callable[[float], Awaitable[None]] = anyio.sleep
    _feeds: dict[str, Feed] = field(default_factory=dict)
    _copies: dict[str, TableCopy] = field(default_factory=dict)
    _tables: dict[str, _TableState] = field(default_factory=dict)
    _avoided_until: dict[str, float] = field(default_factory=dict)
    _ranked_domains: Mapping[str, str] | None = None
    _readers: list[str] = field(default_factory=list)

    def register(self, feed: Feed) -> None:
        """Offer the rows of a feed to other nodes."""
        feed.copy = self._copies[feed.table] = TableCopy()
        self._feeds[feed.table] = feed

    def note_era(self, era: int) -> None:
        """Have all tables read again, because the store is in a new era."""
        self.metrics.count("store_restored_total")
        logs.log(
            logs.WARNING,
            "store_restored",
            era=era,
            previous=max((feed.era for feed in self._feeds.values()), default=0),
            tables=sorted(self._feeds),
        )
        for feed in self._feeds.values():
            feed.note_era(era)

    async def read_table(self, table: str) -> RowSet:
        """Return all rows, always from the store.

        :raises ApricotliftError: ``table_unavailable``.
        """
        rows = await self._call_store(table, self.store.read_table(table))
        self._note_source(table, is_relayed=False, reason="read")
        return rows

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float, era: int = 0
    ) -> RowSet:
        """Return the rows that changed after a version, or none after the wait.

        :param era: era that the version belongs to, 0 if unknown. If a newer one is
            known, the result is the whole table at once.
        :raises ApricotliftError: ``history_lost`` or ``table_unavailable``.
        """
        state = self._get_state(table)
        if self.clock() < state.paused_until:
            await self.sleep(state.paused_until - self.clock())
        rows, reason = await self._wait_at_readers(table, after, wait_s, era)
        if rows is None:
            rows = await self._wait_at_store(table, after, wait_s, era)
        self._note_source(table, reason == "", reason)
        if rows.rows and (reason == "" or self._has_followers(table)):
            state.paused_until = self.clock() + _CHANGE_PAUSE_S
        return rows

    async def handle_rows(self, message: RowsRequest, peer: Identity) -> RowsReply:
        """Answer a follower as soon as there are changes, or at the end of its wait.

        :raises ApricotliftError: ``table_unavailable`` if this node doesn't read the
            table from the store, has no recent answer from it, or hasn't read it in the
            newest era.
        """
        started_at = self.clock()
        table, stated_era = split_table_name(message.table)
        self._get_current_feed(table)
        self._get_state(table).asked_at = started_at
        self.store.note_era(stated_era or 0)
        copy = self._copies[table]
        era = copy.era if stated_era is None else stated_era
        with anyio.move_on_after(message.wait_ms / 1000):
            await copy.wait_beyond(message.after, era)
        feed = self._get_current_feed(table)
        if feed.is_outdated:
            raise _build_error(f"table {table!r} is being read in a new era")
        rows = copy.collect(message.after, era)
        self.metrics.count("rows_relayed_total", len(rows.rows), table=table)
        return RowsReply(
            version=feed.version,
            is_full_table=rows.is_full_table,
            age_ms=math.ceil(feed.age_s * 1000),
            held_ms=int((self.clock() - started_at) * 1000),
            rows=[
                RowRecord(row.key, row.value or b"", row.version, row.value is None)
                for row in rows.rows
            ],
            era=0 if stated_era is None else feed.era,
        )

    def list_readers(self) -> list[str]:
        """Return the readers that this node may ask; none if it reads by itself."""
        if self.peers is None:
            return []
        domains = self.peers.list_domains()
        # The view returns the same mapping until a member changes.
        if domains is not self._ranked_domains:
            self._ranked_domains = domains
            self._readers = self._choose_readers(domains)
        return self._readers

    def _choose_readers(self, domains: Mapping[str, str]) -> list[str]:
        own_name = self.peers.own_name
        if len(domains) <= MAX_DIRECT_NODES:
            return []
        n_readers = max(N_READERS_MIN, math.ceil(len(domains) / N_NODES_PER_READER))
        readers = choose_owners("readers", domains, n_readers)
        if own_name in readers:
            return []
        # Each follower has an order of its own, which spreads them over the readers.
        ranked = rank_nodes(own_name, readers)
        own_domain = domains.get(own_name)
        return sorted(ranked, key=lambda name: domains[name] != own_domain)

    async def _wait_at_readers(
        self, table: str, after: int, wait_s: float, era: int
    ) -> tuple[RowSet | None, str]:
        """Ask the readers in turn.

        :returns: the rows, or ``None`` and why this node has to ask the store.
        """
        reason = "reads_itself"
        for name in self.list_readers():
            if self._avoided_until.get(name, 0.0) > self.clock():
                reason = "readers_avoided"
                continue
            asked_at = self.clock()
            try:
                return await self._ask_reader(name, table, after, wait_s, era), ""
            except ApricotliftError as error:
                reason = str(error.code)
                self.metrics.count("relay_failures_total", table=table, reason=reason)
            has_refused = self.clock() - asked_at <= _REPLY_MARGIN_S
            backoff_s = _REFUSAL_BACKOFF_S if has_refused else _READER_BACKOFF_S
            self._avoided_until[name] = self.clock() + backoff_s
            if not has_refused:
                # Too much of the time limit has passed to try another reader.
                break
        return None, reason

    async def _ask_reader(
        self, name: str, table: str, after: int, wait_s: float, era: int
    ) -> RowSet:
        address = self.peers.get_address(name)
        if address is None:
            raise _build_error(f"address of the reader {name} is unknown")
        pace = self._compute_pace_s(wait_s)
        wait_ms = int(_WAIT_SHARE * pace * 1000)
        if era < self.store.era:
            # The version is of an earlier era, so the whole table is asked for.
            era, after = self.store.era, -1
        sent_at = self.clock()
        reply = await self.peers.request(
            address,
            RowsRequest(build_table_name(table, era), after, wait_ms),
            wait_ms / 1000 + _REPLY_MARGIN_S,
        )
        if not isinstance(reply, RowsReply):
            raise _build_error(f"the reader {name} sent a {reply.kind}")
        # The reply was built no earlier than the reader's hold after the request.
        held_s = min(reply.held_ms / 1000, self.clock() - sent_at)
        age_s = self.clock() - sent_at - held_s + reply.age_ms / 1000
        if age_s > _AGE_SHARE_MAX * pace:
            raise _build_error(f"rows of the reader {name} are {age_s:.1f} s old")
        self.store.note_era(reply.era)
        if reply.era < self.store.era:
            raise _build_error(f"rows of the reader {name} are of an earlier era")
        is_comparable = reply.era == era
        if is_comparable and reply.is_full_table and reply.version < after:
            raise _build_error(f"rows of the reader {name} are older than this node's")
        rows = tuple(
            StoredRow(row.key, None if row.is_deleted else row.value, row.version)
            for row in reply.rows
        )
        return RowSet(rows, reply.version, reply.is_full_table, age_s, era=reply.era)

    async def _wait_at_store(
        self, table: str, after: int, wait_s: float, era: int
    ) -> RowSet:
        state = self._get_state(table)
        if (
            self.list_readers()
            and self.clock() < state.direct_failed_at + _DIRECT_RETRY_S
        ):
            raise _build_error("neither a reader nor the store has answered")
        if self._has_followers(table):
            wait_s = min(wait_s, _READER_POLL_SHARE * self._compute_pace_s(wait_s))
        call = self.store.wait_for_changes(table, after, wait_s, era)
        return replace(await self._call_store(table, call), wait_s=wait_s)

    async def _call_store(self, table: str, call: Awaitable[RowSet]) -> RowSet:
        try:
            return await call
        except ApricotliftError as error:
            if error.code is not Code.HISTORY_LOST:
                self._get_state(table).direct_failed_at = self.clock()
            raise

    def _compute_pace_s(self, wait_s: float) -> float:
        """Return the time within which changes of a table have to arrive.

        Tables that are polled less often than the routing tables have more time.
        """
        return self.apply_limit_s * max(1.0, wait_s / POLL_S)

    def _has_followers(self, table: str) -> bool:
        return self.clock() - self._get_state(table).asked_at < _ASKED_RECENTLY_S

    def _get_state(self, table: str) -> _TableState:
        return self._tables.setdefault(table, _TableState())

    def _get_current_feed(self, table: str) -> Feed:
        feed = self._feeds.get(table)
        if feed is None or not feed.is_loaded:
            raise _build_error(f"table {table!r} is not loaded here")
        if self._get_state(table).is_relayed:
            raise _build_error(f"table {table!r} is not read from the store here")
        if feed.is_failing:
            raise _build_error(f"the store has not answered for {feed.age_s:.1f} s")
        return feed

    def _note_source(self, table: str, is_relayed: bool, reason: str) -> None:
        state = self._get_state(table)
        if state.is_relayed == is_relayed:
            return
        state.is_relayed = is_relayed
        logs.log(
            logs.INFO,
            "row_source_changed",
            table=table,
            source="reader" if is_relayed else "store",
            reason=reason or None,
        )


def _build_error(message: str) -> ApricotliftError:
    return ApricotliftError(Code.TABLE_UNAVAILABLE, message, Ran.NO, Scope.NODE)
