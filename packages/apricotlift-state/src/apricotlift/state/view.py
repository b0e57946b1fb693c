"""A node's view of the members.

The members are the lease rows of the table, expired ones included, and what gossip
adds before the next query of the table. Two times are kept for each member:

- ``heard_at``: some message said that the member lived. Suspicion uses it. It is a
  hint, because a message can wait in a buffer for any time.
- ``proven_at``: the member certainly lived at this time or later, by this node's
  clock. It comes only from messages that were certainly built after a known time,
  as that time less the age in the message. Uncertain nodes count it for their
  majority, and only it is passed on.
"""

import math
import re
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum
from random import Random

from apricotlift.core import clocks, hashing
from apricotlift.core.metrics import Metrics
from apricotlift.wire.messages import MemberSummary

SUSPICION_S = 5.0
MAJORITY_WINDOW_S = 8.0

#: A member that left is remembered for longer than the member query takes to reach
#: every node, so that no node adds it again from older gossip.
DEPARTED_S = 60.0

#: A member that only gossip knows, and that stays silent, is dropped after this
#: time. Its row may have been written after the last query began.
GOSSIP_ONLY_S = 60.0

#: A change is passed on with every heartbeat for this time, so that few exchanges
#: find different rosters. More changes than the limit are left to those exchanges.
NEWS_S = 3.0
MAX_NEWS = 16

KEY_BYTES = 8

NEVER = -math.inf

#: Suspicion changes slowly, so the owners are not computed anew for each request.
_REFRESH_S = 0.2
_MAX_CACHED_OWNERS = 4096

_INCARNATION = re.compile(r"[0-9a-f]{20}")
_TIME_DIGITS = 12


class MemberState(StrEnum):
    """State of a member; an incarnation moves only downwards in this list."""

    SERVING = "serving"
    DRAINING = "draining"
    LEFT = "left"


_STATE_RANKS = {state: rank for rank, state in enumerate(MemberState)}


@dataclass(slots=True)
class Member:
    """One member as this node knows it.

    :param version: configuration version that was in force at ``proven_at``.
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
    """What an uncertain node knows about the other members.

    :param n_members: members in the view with this node, expired ones included.
    :param n_heard: members proven alive within the window, with this node.
    :param newest_version: the newest configuration version heard of, by any path.
    """

    n_members: int
    n_heard: int
    newest_version: int

    @property
    def is_majority(self) -> bool:
        """Whether more than half of the members were heard."""
        return 2 * self.n_heard > self.n_members


def build_incarnation(wall_ms: int, random: Random, after: str = "") -> str:
    """Return a new incarnation: milliseconds in 12 hex digits and 8 random ones.

    :param after: an incarnation that the new one must exceed even when the wall
        clock has gone back.

    >>> build_incarnation(5, Random(1), after="00000000000affffffff")[:12]
    '00000000000b'
    """
    if after:
        wall_ms = max(wall_ms, int(after[:_TIME_DIGITS], 16) + 1)
    return f"{wall_ms:012x}{random.getrandbits(32):08x}"


def is_valid_summary(summary: MemberSummary) -> bool:
    """Return whether a summary has a known state and an ordered incarnation."""
    is_ordered = _INCARNATION.fullmatch(summary.incarnation) is not None
    return is_ordered and summary.state in _STATE_RANKS and bool(summary.node_id)


def build_key(summary: MemberSummary) -> bytes:
    """Return the 8 bytes that stand for a member's incarnation in its state."""
    parts = (summary.node_id, summary.incarnation, summary.state)
    return hashing.digest(*parts)[:KEY_BYTES]


class MembershipView:
    """The members that this node knows, itself included.

    :param own: this node's summary.
    :param clock: seconds of a clock that counts suspended time.
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
        self._news: dict[str, float] = {}
        self._roster: list[Member] | None = None
        self._roster_digest = b""
        self._owners: dict[tuple[str | bytes, int], list[str]] = {}
        self._eligible: dict[str, str] = {}
        self._refreshed_at = NEVER
        self.set_own(own)

    # Changes

    def set_own(self, own: MemberSummary) -> None:
        """Set this node's summary after a change of incarnation or state."""
        self.own = own
        self.members[own.node_id] = Member(own, build_key(own), is_in_table=True)
        self._news[own.node_id] = self._clock()
        self._forget_roster()

    def apply_summary(self, summary: MemberSummary) -> bool:
        """Take over what a peer says of a member; return whether it was news.

        A summary of an older incarnation, or of an earlier state of the same one,
        never replaces what is known.
        """
        if not is_valid_summary(summary):
            self._metrics.count("member_refused_total", reason="invalid")
            return False
        if summary.node_id == self.own.node_id:
            self._notice_own(summary)
            return False
        if self._is_stale(summary):
            self._metrics.count("member_refused_total", reason="stale")
            return False
        known = self.members.get(summary.node_id)
        if summary.state == MemberState.LEFT:
            self._remove(summary)
            return known is not None
        if known is None or known.summary.incarnation != summary.incarnation:
            added = Member(summary, build_key(summary), added_at=self._clock())
            self.members[summary.node_id] = added
        elif known.summary.state == summary.state:
            return False
        else:
            known.summary = replace(known.summary, state=summary.state)
            known.key = build_key(known.summary)
        self._news[summary.node_id] = self._clock()
        self._forget_roster()
        return True

    def apply_table(self, summaries: list[MemberSummary]) -> None:
        """Take over the result of a query of the lease rows.

        A member whose row was there before and is gone has left.
        """
        listed = {summary.node_id for summary in summaries}
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
                self._forget_roster()

    def hear(self, member: Member, at: float) -> None:
        """Note a hint that a member lived at a time."""
        member.heard_at = max(member.heard_at, at)

    def prove(self, member: Member, at: float, version: int) -> None:
        """Note a proof that a member lived, with its version, at a time or later."""
        if at > member.heard_at:
            member.heard_at = at
        if at > member.proven_at:
            member.proven_at = at
            member.version = version

    def see_version(self, version: int) -> None:
        """Note that a configuration version exists."""
        self.newest_version = max(self.newest_version, version)

    def drop_departed(self) -> None:
        """Forget members that left long ago."""
        limit = self._clock() - DEPARTED_S
        for node_id, (_, left_at) in list(self._departed.items()):
            if left_at < limit:
                del self._departed[node_id]

    # Questions

    def is_suspected(self, node_id: str) -> bool:
        """Return whether a member hasn't been heard of for the suspicion time."""
        if node_id == self.own.node_id:
            return False
        member = self.members.get(node_id)
        return member is None or self._clock() - member.heard_at > SUSPICION_S

    def get_unsuspected(self) -> dict[str, str]:
        """Return the failure domain of each unsuspected member by node id."""
        limit = self._clock() - SUSPICION_S
        return {
            node_id: member.summary.failure_domain
            for node_id, member in self.members.items()
            if member.heard_at >= limit or node_id == self.own.node_id
        }

    def get_eligible(self) -> dict[str, str]:
        """Return the members that may own shards: unsuspected and not draining."""
        now = self._clock()
        if 0 <= now - self._refreshed_at < _REFRESH_S:
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
        self._refreshed_at = now
        return self._eligible

    def choose_owners(self, key: str | bytes, n_owners: int = 2) -> list[str]:
        """Return the owners of a shard, in different failure domains if possible.

        :param key: the shard key.
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
        """Return the peer address of a member."""
        member = self.members.get(node_id)
        return None if member is None else member.summary.peer_address

    def get_serving(self) -> list[MemberSummary]:
        """Return the unsuspected members that aren't draining, for callers' lists."""
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

    # The roster, which gossip orders by key

    def get_roster(self) -> list[Member]:
        """Return the members in the order of their keys."""
        if self._roster is None:
            self._roster = sorted(self.members.values(), key=lambda item: item.key)
            keys = b"".join(member.key for member in self._roster)
            self._roster_digest = hashing.digest(keys)[:KEY_BYTES]
        return self._roster

    def get_roster_digest(self) -> bytes:
        """Return a digest that is equal at nodes with the same members."""
        self.get_roster()
        return self._roster_digest

    def get_news(self) -> list[MemberSummary]:
        """Return the members that changed a short time ago, unless they are many."""
        limit = self._clock() - NEWS_S
        for node_id, changed_at in list(self._news.items()):
            if changed_at < limit:
                del self._news[node_id]
        if len(self._news) > MAX_NEWS:
            return []
        news = []
        for node_id in self._news:
            if node_id in self.members:
                news.append(self.members[node_id].summary)
            elif node_id in self._departed:
                news.append(self._departed[node_id][0])
        return news

    def find_departed(self, keys: set[bytes]) -> list[MemberSummary]:
        """Return the departed members that a peer still lists.

        :param keys: keys in the peer's roster that this node doesn't have.
        """
        found = []
        for summary, _ in self._departed.values():
            former = [replace(summary, state=str(state)) for state in MemberState]
            if any(build_key(state) in keys for state in former):
                found.append(summary)
        return found

    def _notice_own(self, summary: MemberSummary) -> None:
        """Another process may have started under this node's id."""
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
        limit = self._clock() - GOSSIP_ONLY_S
        return max(member.added_at, member.heard_at) < limit

    def _remove(self, summary: MemberSummary) -> None:
        left = replace(summary, state=str(MemberState.LEFT))
        self._departed[summary.node_id] = (left, self._clock())
        self._news[summary.node_id] = self._clock()
        if self.members.pop(summary.node_id, None) is not None:
            self._forget_roster()

    def _forget_roster(self) -> None:
        self._roster = None
        self._refreshed_at = NEVER
