"""Gossip: heartbeats between random members.

An exchange is one ``Heartbeat`` and its reply. Both carry the ages of all members in
roster order, one byte each, and the summaries of recently changed members. If the
rosters still differ, the reply lists its sender's member keys, and a second exchange
carries the summaries that either side lacks.

A message may wait in a buffer for any time. Its ages are therefore proofs only if the
message was certainly built after a known time of the receiver's clock. A reply was
built after its request was sent. A request echoes the last stamp that its receiver
sent, with the time since the stamp arrived, so it was built no earlier than the stamp
plus that time.

Partners are chosen from a small random sample of the members, one of which is replaced
at a time. Choosing among all members would need a new connection for most heartbeats,
and the random graph of the samples spreads changes as fast.
"""

from collections.abc import Awaitable, Callable
from math import ceil
from random import Random

from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.state.freshness import Freshness
from apricotlift.state.view import MEMBER_KEY_BYTES, NEVER, Member, MembershipView
from apricotlift.wire.messages import Heartbeat, HeartbeatReply, MemberSummary, Message

HEARTBEAT_INTERVAL_S = 1.0
N_GOSSIP_TASKS = 3
EXCHANGE_TIMEOUT_S = 1.0

#: Number of members that a node keeps connections to, and how often one is replaced.
SAMPLE_SIZE = 8
SAMPLE_REPLACEMENT_INTERVAL_S = 10.0

AGE_UNIT_S = 0.05
UNKNOWN_AGE = 255
_MAX_AGE = UNKNOWN_AGE - 1

_SPARSE_FORM = 0
_DENSE_FORM = 1
_SPARSE_ENTRY_BYTES = 3

_PROCESS_ID_BYTES = 4
_STAMP_TIME_BYTES = 8
_MAX_LAG = 255

Request = Callable[[str, Message, float], Awaitable[Message]]


class Gossip:
    """Builds, applies and answers the heartbeats of one node.

    :param request: sends a message to an address and returns the reply; its last
        argument is the timeout in seconds.
    :param clock: returns seconds of a monotonic clock that counts suspended time.

    ``on_newer_version`` is called whenever a message reports a version above the one in
    force, with that version. ``follower.ConfigurationFollower.handle_newer_version``
    has the required signature.
    """

    def __init__(
        self,
        view: MembershipView,
        freshness: Freshness,
        request: Request,
        metrics: Metrics,
        random: Random,
        clock: Callable[[], float] = clocks.monotonic,
    ):
        self._view = view
        self._freshness = freshness
        self._request = request
        self._metrics = metrics
        self._random = random
        self._clock = clock
        self.on_newer_version: Callable[[int], None] = lambda version: None
        self._sample: list[str] = []
        self._sample_replaced_at = NEVER
        # Identifies this process in stamps. The time alone doesn't show whether a stamp
        # comes from another machine that had the same address.
        self._process_id = random.randbytes(_PROCESS_ID_BYTES)
        self._stamps: dict[str, tuple[bytes, float]] = {}

    async def exchange(self) -> bool:
        """Run one exchange with a random partner.

        :returns: whether it succeeded.
        """
        partner = self._choose_partner()
        if partner is None:
            return False
        address = self._view.get_address(partner)
        try:
            await self._exchange_with(address)
        except ApricotliftError as error:
            self._metrics.count("gossip_failures_total", code=error.code)
            if partner in self._sample:
                self._sample.remove(partner)
            return False
        return True

    def answer(self, message: Heartbeat) -> HeartbeatReply:
        """Apply a peer's heartbeat and return the reply."""
        for summary in message.entries:
            self._view.apply_summary(summary)
        self._observe_versions(message)
        is_same = message.roster == self._view.get_roster_digest()
        if is_same:
            self._apply_request(message)
        entries = self._find_entries(message.wanted)
        # Recent changes are always included and usually account for the difference.
        has_keys = (
            not is_same and not message.wanted and not self._view.get_recent_changes()
        )
        return self._build_message(HeartbeatReply, entries, with_keys=has_keys)

    async def _exchange_with(self, address: str) -> None:
        started_at = self._clock()
        reply = await self._send(
            address, self._build_message(Heartbeat, address=address)
        )
        self._apply_reply(reply, started_at)
        if not reply.keys:
            return
        theirs = set(split_keys(reply.keys))
        ours = {member.key: member for member in self._view.get_roster()}
        entries = [ours[key].summary for key in ours if key not in theirs]
        missing = theirs.difference(ours)
        departed = self._view.find_departed(missing)
        second = self._build_message(Heartbeat, entries + departed, sorted(missing))
        started_at = self._clock()
        self._apply_reply(await self._send(address, second), started_at)

    async def _send(self, address: str, message: Heartbeat) -> HeartbeatReply:
        reply = await self._request(address, message, EXCHANGE_TIMEOUT_S)
        if not isinstance(reply, HeartbeatReply):
            raise ApricotliftError(
                Code.PEER_PROTOCOL, f"expected a heartbeat reply, got {reply.kind}"
            )
        self._stamps[address] = (reply.stamp, self._clock())
        return reply

    def _build_message(
        self,
        message_class: type[Heartbeat],
        entries: list[MemberSummary] | None = None,
        wanted: list[bytes] | None = None,
        with_keys: bool = False,
        address: str = "",
    ) -> Heartbeat:
        now = self._clock()
        echo, arrived_at = self._stamps.get(address, (b"", now))
        version = self._freshness.version or 0
        own = self._view.members[self._view.own.node_id]
        self._view.observe_version(version)
        self._view.record_proof(own, now, version)
        own.version = version
        roster = self._view.get_roster()
        keys = b"".join(member.key for member in roster) if with_keys else b""
        listed = [*(entries or [])]
        listed += [
            summary
            for summary in self._view.get_recent_changes()
            if summary not in listed
        ]
        base_version = max([member.version for member in roster])
        return message_class(
            roster=self._view.get_roster_digest(),
            ages=encode_ages(roster, now),
            lags=encode_lags(roster, base_version),
            base_version=base_version,
            keys=keys,
            entries=listed,
            wanted=wanted or [],
            stamp=self._process_id + int(now * 1000).to_bytes(_STAMP_TIME_BYTES, "big"),
            echo=echo,
            held_ms=int((now - arrived_at) * 1000),
            config_version=version,
            config_age_ms=self._freshness.get_age_ms(now),
        )

    def _apply_reply(self, reply: HeartbeatReply, started_at: float) -> None:
        for summary in reply.entries:
            self._view.apply_summary(summary)
        self._observe_versions(reply)
        members = self._match_roster(reply)
        if members is not None:
            self._apply_proofs(reply, members, started_at)

    def _apply_request(self, message: Heartbeat) -> None:
        """Apply the ages of a request: proofs if its echo is valid, else hints."""
        roster = self._view.get_roster()
        now = self._clock()
        built_after = self._read_echo(message)
        if built_after is not None and built_after <= now:
            self._apply_proofs(message, roster, built_after)
            return
        for member, age in zip(roster, message.ages, strict=False):
            if age != UNKNOWN_AGE:
                self._view.record_heard(member, now - age * AGE_UNIT_S)

    def _apply_proofs(
        self, message: Heartbeat, members: list[Member | None], built_after: float
    ) -> None:
        if len(members) != len(message.ages):
            return
        own = self._view.members[self._view.own.node_id]
        lags = decode_lags(message.lags)
        # This loop dominates the cost of gossip, so it compares before it calls.
        for place, (member, age) in enumerate(zip(members, message.ages, strict=True)):
            if member is None or age == UNKNOWN_AGE:
                continue
            at = built_after - age * AGE_UNIT_S
            if at > member.proven_at and member is not own:
                version = message.base_version - lags.get(place, 0)
                self._view.record_proof(member, at, version)

    def _read_echo(self, message: Heartbeat) -> float | None:
        """Return the time of this node's clock after which a message was built.

        :returns: ``None`` if the message doesn't echo a stamp of this process.
        """
        process, stamp = (
            message.echo[:_PROCESS_ID_BYTES],
            message.echo[_PROCESS_ID_BYTES:],
        )
        if process != self._process_id or len(stamp) != _STAMP_TIME_BYTES:
            return None
        return (int.from_bytes(stamp, "big") + max(message.held_ms, 0)) / 1000

    def _observe_versions(self, message: Heartbeat) -> None:
        newest = max(message.base_version, message.config_version)
        self._view.observe_version(newest)
        self._freshness.observe_hint(newest)
        if newest > (self._freshness.version or 0):
            self.on_newer_version(newest)

    def _match_roster(self, reply: HeartbeatReply) -> list[Member | None] | None:
        """Return the member at each position of the reply's roster.

        :returns: ``None`` for a member that this node doesn't know, and ``None`` in
            place of the list if the reply doesn't describe its roster.
        """
        roster = self._view.get_roster()
        if reply.roster == self._view.get_roster_digest():
            return list(roster)
        if not reply.keys:
            return None
        by_key = {member.key: member for member in roster}
        return [by_key.get(key) for key in split_keys(reply.keys)]

    def _find_entries(self, wanted: list[bytes]) -> list[MemberSummary]:
        if not wanted:
            return []
        keys = set(wanted)
        roster = self._view.get_roster()
        return [member.summary for member in roster if member.key in keys]

    def _choose_partner(self) -> str | None:
        members = self._view.members
        self._sample = [node_id for node_id in self._sample if node_id in members]
        self._refresh_sample()
        return self._random.choice(self._sample) if self._sample else None

    def _refresh_sample(self) -> None:
        now = self._clock()
        if now - self._sample_replaced_at >= SAMPLE_REPLACEMENT_INTERVAL_S:
            self._sample_replaced_at = now
            self._remove_unused_stamps()
            if len(self._sample) >= SAMPLE_SIZE:
                self._sample.pop(self._random.randrange(len(self._sample)))
            # Choose among all members, suspected ones included: otherwise two groups
            # that suspect each other after a partition would never reconnect.
            self._add_to_sample(list(self._view.members))
        while len(self._sample) < SAMPLE_SIZE:
            # Include members that were never heard from. Otherwise a new node would
            # connect only to the few members that it has heard from.
            members = self._view.members.items()
            is_suspected = self._view.is_suspected
            likely = [
                node_id
                for node_id, member in members
                if member.heard_at == NEVER or not is_suspected(node_id)
            ]
            if not self._add_to_sample(likely):
                break
        if not self._sample:
            self._add_to_sample(list(self._view.members))

    def _remove_unused_stamps(self) -> None:
        addresses = {self._view.get_address(node_id) for node_id in self._sample}
        for address in addresses.symmetric_difference(self._stamps):
            self._stamps.pop(address, None)

    def _add_to_sample(self, candidates: list[str]) -> bool:
        taken = {self._view.own.node_id, *self._sample}
        free = [node_id for node_id in candidates if node_id not in taken]
        if free:
            self._sample.append(self._random.choice(free))
        return bool(free)


def encode_ages(roster: list[Member], now: float) -> bytes:
    """Return the proven age of each member in units of ``AGE_UNIT_S``.

    Ages are rounded up, so that no member appears more recently alive than it was.
    """
    oldest = now - _MAX_AGE * AGE_UNIT_S
    units_per_s = 1 / AGE_UNIT_S
    return bytes(
        [
            UNKNOWN_AGE
            if member.proven_at < oldest
            else ceil((now - member.proven_at) * units_per_s)
            for member in roster
        ]
    )


def encode_lags(roster: list[Member], base_version: int) -> bytes:
    """Return the encoded lags of the members: how far each is below the base version.

    The result is empty if no member is below the base version. Otherwise the first byte
    selects the shorter of two forms: position (2 bytes) and lag of each member below
    the base version, or the lag of every member. A lag above 255 is sent as 255. The
    version then appears newer than it is, which can only make the receiver refuse more.
    """
    versions = [member.version for member in roster]
    n_below = len(versions) - versions.count(base_version)
    if not n_below:
        return b""
    lags = [min(base_version - version, _MAX_LAG) for version in versions]
    if n_below * _SPARSE_ENTRY_BYTES > len(lags):
        return bytes([_DENSE_FORM, *lags])
    sparse = bytearray([_SPARSE_FORM])
    for place, lag in enumerate(lags):
        if lag:
            sparse += place.to_bytes(2, "big") + bytes([lag])
    return bytes(sparse)


def decode_lags(lags: bytes) -> dict[int, int]:
    """Return the lag by position in the roster.

    >>> decode_lags(bytes([0, 0, 7, 2])), decode_lags(bytes([1, 4, 0]))
    ({7: 2}, {0: 4, 1: 0})
    """
    if lags[:1] == bytes([_DENSE_FORM]):
        return dict(enumerate(lags[1:]))
    return {
        int.from_bytes(lags[start : start + 2], "big"): lags[start + 2]
        for start in range(1, len(lags) - _SPARSE_ENTRY_BYTES + 1, _SPARSE_ENTRY_BYTES)
    }


def split_keys(keys: bytes) -> list[bytes]:
    """Split concatenated member keys.

    >>> split_keys(b"aaaaaaaabbbbbbbb")
    [b'aaaaaaaa', b'bbbbbbbb']
    """
    return [
        keys[start : start + MEMBER_KEY_BYTES]
        for start in range(0, len(keys), MEMBER_KEY_BYTES)
    ]
