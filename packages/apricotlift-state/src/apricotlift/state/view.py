"""A node's view of the members.

The members are the lease rows of the table, expired ones included, and members that
gossip added since the last query of the table. Two times are kept for each member:

- ``heard_at``: the time at which the member was alive according to some message. It is
  used for suspicion. It is only a hint, because a message can wait in a buffer for any
  time.
- ``proven_at``: the member was certainly alive at this time or later, by this node's
  clock. It is derived only from messages that were certainly built after a known time:
  that time minus the age in the message. Uncertain nodes count their majority by it,
  and only this time is passed on to other nodes.
"""

import math
import re
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace
from enum import StrEnum
from random import Random

from apricotlift.core import clocks, hashing
from apricotlift.core.addresses import split_address
from apricotlift.core.metrics import Metrics
from apricotlift.wire.messages import MemberSummary

SUSPICION_TIMEOUT_S = 5.0
MAJORITY_WINDOW_S = 8.0

#: How long a member that left is remembered. The time is longer than it takes until
#: every node has queried the lease rows, so that no node adds the member again from
#: older gossip.
DEPARTED_RETENTION_S = 60.0

#: A member that is known only from gossip and isn't heard from is removed after this
#: time. It isn't removed at once, because its row may have been written after the last
#: query began.
GOSSIP_ONLY_RETENTION_S = 60.0

#: Every heartbeat carries a changed member for this time, so that few exchanges find
#: different rosters. If more members than the limit have changed, heartbeats carry none
#: of them, and the exchanges that find different rosters pass them on.
RECENT_CHANGE_S = 3.0
MAX_RECENT_CHANGES = 16

MEMBER_KEY_BYTES = 8

NEVER = -math.inf

#: Suspicion changes slowly, so the eligible members and the shard owners are cached for
#: this time instead of being computed for each request.
_ELIGIBLE_REFRESH_INTERVAL_S = 0.2
_MAX_CACHED_OWNERS = 4096

# The first digit is 0 until the year 2527. After an incarnation of the greatest time,
# there would be none that follows.
_INCARNATION = re.compile(r"0[0-9a-f]{19}")
_TIME_DIGITS = 12


class MemberState(StrEnum):
    """State of a member; within one incarnation it only advances in this order."""

    SERVING = "serving"
    DRAINING = "draining"
    LEFT = "left"


_STATE_RANKS = {state: rank for rank, state in enumerate(MemberState)}


@dataclass(slots=True)
class Member:
    """What this node knows about one member.

    :param key: see :func:`build_member_key`.
    :param version: configuration version that the member had in force at ``proven_at``.
    :param is_in_table: whether the last query of the table returned its row.
    """

    summary: MemberSummary
    key: bytes
    heard_at: float = NEVER
    proven_at: float = NEVER
    version: int = 0
    is_in_table: bool = False
    added_at: float = NEVER


@dataclass(frozen=True)
class Majority:
    """What an uncertain node knows about the members.

    :param n_members: number of members in the view, including this node and members
        with expired leases.
    :param n_heard: number of members proven alive within the window, including this
        node.
    :param newest_version: the newest configuration version known from any message.
    """

    n_members: int
    n_heard: int
    newest_version: int

    @property
    def is_majority(self) -> bool:
        """Whether more than half of the members are proven alive."""
        return 2 * self.n_heard > self.n_members


def build_incarnation(wall_ms: int, random: Random, after: str = "") -> str:
    """Return a new incarnation: the time in 12 hex digits, then 8 random ones.

    :param wall_ms: the wall-clock time in milliseconds.
    :param after: an incarnation that the new one must exceed, even if the wall clock
        was set back.

    >>> build_incarnation(5, Random(1), after="00000000000affffffff")[:12]
    '00000000000b'
    """
    if after:
        wall_ms = max(wall_ms, int(after[:_TIME_DIGITS], 16) + 1)
    return f"{wall_ms:012x}{random.getrandbits(32):08x}"


def is_valid_summary(summary: MemberSummary) -> bool:
    """Return whether all values of a summary can be used and sent to other nodes."""
    is_ordered = _INCARNATION.fullmatch(summary.incarnation) is not None
    if not is_ordered or summary.state not in _STATE_RANKS or not summary.node_id:
        return False
    try:
        split_address(summary.peer_address)
        split_address(summary.caller_address)
        for text in vars(summary).values():
            # Raises UnicodeEncodeError for a lone surrogate.
            text.encode()
    except ValueError:
        return False
    return True


def build_member_key(summary: MemberSummary) -> bytes:
    """Return the 8-byte digest of a member's id, incarnation and state."""
    parts = (summary.node_id, summary.incarnation, summary.state)
    return hashing.digest(*parts)[:MEMBER_KEY_BYTES]


class MembershipView:
    """The members that this node knows, itself included.

    :param own: this node's summary.
    :param clock: returns seconds of a monotonic clock that counts suspended time.
    """

    def __init__(
        self,
        own: MemberSummary,
        metrics: Metrics,
        clock: Callable[[], float] = clocks.monotonic,
    ):
        self.own = own
        self.members: dict[str, Member] = {}
        self.newest_version = 0
        self.newer_own_incarnation = ""
        self._metrics = metrics
        self._clock = clock
        self._departed: dict[str, tuple[MemberSummary, float]] = {}
        self._recent_changes: dict[str, float] = {}
        self._roster: list[Member] | None = None
        self._roster_digest = b""
        self._owners: dict[tuple[str | bytes, int], list[str]] = {}
        self._eligible: dict[str, str] = {}
        self._eligible_refreshed_at = NEVER
        self.set_own(own)

    # Changes

    def set_own(self, own: MemberSummary) -> None:
        """Set this node's summary after a change of incarnation or state."""
        self.own = own
        self.members[own.node_id] = Member(own, build_member_key(own), is_in_table=True)
        self._recent_changes[own.node_id] = self._clock()
        self._invalidate_roster()

    def apply_summary(self, summary: MemberSummary) -> bool:
        """Apply a member summary received from a peer.

        A summary of an older incarnation, or of an earlier state of the same
        incarnation, never replaces a newer one.

        :returns: whether the view has changed.
        """
        if not is_valid_summary(summary):
            self._metrics.count("member_refused_total", reason="invalid")
            return False
        if summary.node_id == self.own.node_id:
            self._handle_own_summary(summary)
            return False
        if self._is_stale(summary):
            self._metrics.count("member_refused_total", reason="stale")
            return False
        known = self.members.get(summary.node_id)
        if summary.state == MemberState.LEFT:
            self._remove(summary)
            return known is not None
        if known is None or known.summary.incarnation != summary.incarnation:
            added = Member(summary, build_member_key(summary), added_at=self._clock())
            self.members[summary.node_id] = added
        elif known.summary.state == summary.state:
            return False
        else:
            known.summary = replace(known.summary, state=summary.state)
            known.key = build_member_key(known.summary)
        self._recent_changes[summary.node_id] = self._clock()
        self._invalidate_roster()
        return True

    def apply_table(
        self, summaries: list[MemberSummary], unusable_ids: Collection[str] = ()
    ) -> None:
        """Apply the result of a query of the lease rows.

        A member whose row was returned by an earlier query and is now missing has left.

        :param unusable_ids: ids whose rows another program has overwritten; these
            members haven't left.
        """
        listed = {summary.node_id for summary in summaries}.union(unusable_ids)
        for summary in summaries:
            self.apply_summary(summary)
        for member in list(self.members.values()):
            node_id = member.summary.node_id
            if node_id == self.own.node_id:
                continue
            if node_id in listed:
                member.is_in_table = True
            elif member.is_in_table:
                self._remove(member.summary)
            elif self._is_abandoned(member):
                del self.members[node_id]
                self._invalidate_roster()

    def forget_rows(self) -> None:
        """Take no missing row for a departure until a query has returned the row."""
        for node_id, member in self.members.items():
            member.is_in_table = node_id == self.own.node_id

    def record_heard(self, member: Member, at: float) -> None:
        """Record a hint that a member was alive at a time."""
        member.heard_at = max(member.heard_at, at)

    def record_proof(self, member: Member, at: float, version: int) -> None:
        """Record a proof that a member was alive at a time or later.

        :param version: the configuration version that it had in force.
        """
        if at > member.heard_at:
            member.heard_at = at
        if at > member.proven_at:
            member.proven_at = at
            member.version = version

    def observe_version(self, version: int) -> None:
        """Record that a configuration version exists."""
        self.newest_version = max(self.newest_version, version)

    def forget_departed(self) -> None:
        """Remove the records of members that left long ago."""
        limit = self._clock() - DEPARTED_RETENTION_S
        for node_id, (_, left_at) in list(self._departed.items()):
            if left_at < limit:
                del self._departed[node_id]

    # Queries

    def is_suspected(self, node_id: str) -> bool:
        """Return whether a member wasn't heard from within the suspicion time."""
        if node_id == self.own.node_id:
            return False
        member = self.members.get(node_id)
        return member is None or self._clock() - member.heard_at > SUSPICION_TIMEOUT_S

    def get_unsuspected(self) -> dict[str, str]:
        """Return the failure domain of each unsuspected member by node id."""
        limit = self._clock() - SUSPICION_TIMEOUT_S
        return {
            node_id: member.summary.failure_domain
            for node_id, member in self.members.items()
            if member.heard_at >= limit or node_id == self.own.node_id
        }

    def get_eligible(self) -> dict[str, str]:
        """Return the members that may own shards: unsuspected and not draining."""
        now = self._clock()
        if 0 <= now - self._eligible_refreshed_at < _ELIGIBLE_REFRESH_INTERVAL_S:
            return self._eligible
        unsuspected = self.get_unsuspected()
        eligible = {
            node_id: domain
            for node_id, domain in unsuspected.items()
            if self.members[node_id].summary.state == MemberState.SERVING
        }
        if eligible != self._eligible:
            self._eligible = eligible
            self._owners.clear()
        self._eligible_refreshed_at = now
        return self._eligible

    def choose_owners(self, key: str | bytes, n_owners: int = 2) -> list[str]:
        """Return the owners of a shard, in different failure domains if possible.

        :param key: the shard key.
        :param n_owners: how many owners to choose.
        """
        eligible = self.get_eligible()
        owners = self._owners.get((key, n_owners))
        if owners is None:
            owners = hashing.choose_owners(key, eligible, n_owners)
            if len(self._owners) >= _MAX_CACHED_OWNERS:
                self._owners.clear()
            self._owners[(key, n_owners)] = owners
        return owners

    def get_address(self, node_id: str) -> str | None:
        """Return the peer address of a member, or ``None`` if it is unknown."""
        member = self.members.get(node_id)
        return None if member is None else member.summary.peer_address

    def get_serving(self) -> list[MemberSummary]:
        """Return the unsuspected members that aren't draining.

        These are the instances that are listed to callers.
        """
        return [self.members[node_id].summary for node_id in self.get_eligible()]

    def check_majority(self) -> Majority:
        """Return how many members were proven alive within the window."""
        limit = self._clock() - MAJORITY_WINDOW_S
        own_id = self.own.node_id
        n_heard = sum(
            member.proven_at >= limit or node_id == own_id
            for node_id, member in self.members.items()
        )
        return Majority(len(self.members), n_heard, self.newest_version)

    # The roster: all members in the order of their keys, as gossip encodes them

    def get_roster(self) -> list[Member]:
        """Return the members in the order of their keys."""
        if self._roster is None:
            self._roster = sorted(self.members.values(), key=lambda item: item.key)
            keys = b"".join(member.key for member in self._roster)
            self._roster_digest = hashing.digest(keys)[:MEMBER_KEY_BYTES]
        return self._roster

    def get_roster_digest(self) -> bytes:
        """Return a digest that is equal on all nodes with the same roster."""
        self.get_roster()
        return self._roster_digest

    def get_recent_changes(self) -> list[MemberSummary]:
        """Return the recently changed members, or none if they exceed the limit."""
        limit = self._clock() - RECENT_CHANGE_S
        for node_id, changed_at in list(self._recent_changes.items()):
            if changed_at < limit:
                del self._recent_changes[node_id]
        if len(self._recent_changes) > MAX_RECENT_CHANGES:
            return []
        news = []
        for node_id in self._recent_changes:
            if node_id in self.members:
                news.append(self.members[node_id].summary)
            elif node_id in self._departed:
                news.append(self._departed[node_id][0])
        return news

    def find_departed(self, keys: set[bytes]) -> list[MemberSummary]:
        """Return the departed members that a peer still has in its roster.

        :param keys: keys in the peer's roster that this node's roster doesn't have.
        """
        found = []
        for summary, _ in self._departed.values():
            former = [replace(summary, state=str(state)) for state in MemberState]
            if any(build_member_key(state) in keys for state in former):
                found.append(summary)
        return found

    def _handle_own_summary(self, summary: MemberSummary) -> None:
        """Record a newer incarnation of this node's id.

        Another process may have started under this id.
        """
        newest = max(self.own.incarnation, self.newer_own_incarnation)
        if summary.incarnation > newest:
            self.newer_own_incarnation = summary.incarnation
            self._metrics.count("member_refused_total", reason="own_id")

    def _is_stale(self, summary: MemberSummary) -> bool:
        departed = self._departed.get(summary.node_id)
        if departed is not None and summary.incarnation <= departed[0].incarnation:
            return True
        known = self.members.get(summary.node_id)
        if known is None:
            return False
        if summary.incarnation != known.summary.incarnation:
            return summary.incarnation < known.summary.incarnation
        return _STATE_RANKS[summary.state] < _STATE_RANKS[known.summary.state]

    def _is_abandoned(self, member: Member) -> bool:
        limit = self._clock() - GOSSIP_ONLY_RETENTION_S
        return max(member.added_at, member.heard_at) < limit

    def _remove(self, summary: MemberSummary) -> None:
        left = replace(summary, state=str(MemberState.LEFT))
        self._departed[summary.node_id] = (left, self._clock())
        self._recent_changes[summary.node_id] = self._clock()
        if self.members.pop(summary.node_id, None) is not None:
            self._invalidate_roster()

    def _invalidate_roster(self) -> None:
        self._roster = None
        self._eligible_refreshed_at = NEVER
