"""Gossip: heartbeats between random members.

An exchange is one ``Heartbeat`` and its reply. Both carry the ages of all members in
roster order, one byte each, and the summaries of members that changed a short time
ago. When the rosters differ otherwise, the reply lists its sender's keys, and a
second exchange carries the summaries that either side lacks.

A message may wait in a buffer for any time, so its ages prove nothing unless it was
certainly built after some time of the receiver's clock. A reply was built after its
request was sent. A request echoes the stamp that its receiver sent last, with the
time since it arrived, so it was built no earlier than the stamp plus that time.

Partners come from a small random sample of the members that is renewed one by one.
New partners for each heartbeat would need a new connection for most of them, and the
sample's random graph spreads news as fast.
"""

from collections.abc import Awaitable, Callable
from math import ceil
from random import Random

from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.state.freshness import Freshness
from apricotlift.state.view import KEY_BYTES, NEVER, Member, MembershipView
from apricotlift.wire.messages import Heartbeat, HeartbeatReply, MemberSummary, Message

HEARTBEAT_S = 1.0
N_PARTNERS = 3
EXCHANGE_TIMEOUT_S = 1.0

#: Members that a node keeps connections to, and how often one is replaced.
N_SAMPLE = 8
SAMPLE_RENEWAL_S = 10.0

AGE_UNIT_S = 0.05
UNKNOWN_AGE = 255
_MAX_AGE = UNKNOWN_AGE - 1

_SPARSE = 0
_DENSE = 1
_LAG_BYTES = 3

_PROCESS_BYTES = 4
_TIME_BYTES = 8
_MAX_LAG = 255

Request = Callable[[str, Message, float], Awaitable[Message]]


class Gossip:
    """Builds, applies and answers heartbeats of one node.

    :param request: sends a message to an address and returns the reply, within
        seconds.

    ``on_newer_version`` is called with a version above the one in force whenever a
    message names one; ``follower.ConfigurationFollower.notice_version`` fits.
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
        self._sample_renewed_at = NEVER
        # Clocks of two machines at one address can't be told apart by their times.
        self._process = random.randbytes(_PROCESS_BYTES)
        self._stamps: dict[str, tuple[bytes, float]] = {}

    async def exchange(self) -> bool:
        """Run one exchange with a random partner; return whether it succeeded."""
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
        self._see_versions(message)
        is_same = message.roster == self._view.get_roster_digest()
        if is_same:
            self._apply_request(message)
        entries = self._find_entries(message.wanted)
        # Recent changes go along in any case, and mostly explain the difference.
        has_keys = not is_same and not message.wanted and not self._view.get_news()
        return self._build(HeartbeatReply, entries, with_keys=has_keys)

    async def _exchange_with(self, address: str) -> None:
        started_at = self._clock()
        reply = await self._send(address, self._build(Heartbeat, address=address))
        self._apply_reply(reply, started_at)
        if not reply.keys:
            return
        theirs = set(split_keys(reply.keys))
        ours = {member.key: member for member in self._view.get_roster()}
        entries = [ours[key].summary for key in ours if key not in theirs]
        missing = theirs.difference(ours)
        departed = self._view.find_departed(missing)
        second = self._build(Heartbeat, entries + departed, sorted(missing))
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

    def _build(
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
        self._view.see_version(version)
        self._view.prove(own, now, version)
        own.version = version
        roster = self._view.get_roster()
        keys = b"".join(member.key for member in roster) if with_keys else b""
        listed = [*(entries or [])]
        listed += [
            summary for summary in self._view.get_news() if summary not in listed
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
            stamp=self._process + int(now * 1000).to_bytes(_TIME_BYTES, "big"),
            echo=echo,
            held_ms=int((now - arrived_at) * 1000),
            config_version=version,
            config_age_ms=self._freshness.get_age_ms(now),
        )

    def _apply_reply(self, reply: HeartbeatReply, started_at: float) -> None:
        for summary in reply.entries:
            self._view.apply_summary(summary)
        self._see_versions(reply)
        members = self._match_roster(reply)
        if members is not None:
            self._apply_proofs(reply, members, started_at)

    def _apply_request(self, message: Heartbeat) -> None:
        """Apply the ages of a request, as proofs where its echo allows it."""
        roster = self._view.get_roster()
        now = self._clock()
        built_after = self._read_echo(message)
        if built_after is not None and built_after <= now:
            self._apply_proofs(message, roster, built_after)
            return
        for member, age in zip(roster, message.ages, strict=False):
            if age != UNKNOWN_AGE:
                self._view.hear(member, now - age * AGE_UNIT_S)

    def _apply_proofs(
        self, message: Heartbeat, members: list[Member | None], built_after: float
    ) -> None:
        if len(members) != len(message.ages):
            return
        own = self._view.members[self._view.own.node_id]
        lags = decode_lags(message.lags)
        # This loop is most of the cost of gossip, so it compares before it calls.
        for place, (member, age) in enumerate(zip(members, message.ages, strict=True)):
            if member is None or age == UNKNOWN_AGE:
                continue
            at = built_after - age * AGE_UNIT_S
            if at > member.proven_at and member is not own:
                version = message.base_version - lags.get(place, 0)
                self._view.prove(member, at, version)

    def _read_echo(self, message: Heartbeat) -> float | None:
        """Return a time of this node's clock before which no one built a message."""
        process, stamp = message.echo[:_PROCESS_BYTES], message.echo[_PROCESS_BYTES:]
        if process != self._process or len(stamp) != _TIME_BYTES:
            return None
        return (int.from_bytes(stamp, "big") + max(message.held_ms, 0)) / 1000

    def _see_versions(self, message: Heartbeat) -> None:
        newest = max(message.base_version, message.config_version)
        self._view.see_version(newest)
        self._freshness.observe_hint(newest)
        if newest > (self._freshness.version or 0):
            self.on_newer_version(newest)

    def _match_roster(self, reply: HeartbeatReply) -> list[Member | None] | None:
        """Return the member of each place in the reply's roster, if it is known."""
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
        self._renew_sample()
        return self._random.choice(self._sample) if self._sample else None

    def _renew_sample(self) -> None:
        now = self._clock()
        if now - self._sample_renewed_at >= SAMPLE_RENEWAL_S:
            self._sample_renewed_at = now
            self._forget_stamps()
            if len(self._sample) >= N_SAMPLE:
                self._sample.pop(self._random.randrange(len(self._sample)))
            # Any member, because two groups that suspect each other after a
            # partition would otherwise never talk again.
            self._add_to_sample(list(self._view.members))
        while len(self._sample) < N_SAMPLE:
            # Members that were never heard of are tried too. A new node that filled
            # its sample only with those it heard of would join one corner.
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

    def _forget_stamps(self) -> None:
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
    """Return the proven age of each member in units, rounded up.

    Rounding up never lets a member look more recently alive than it was.
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
    """Return how far each member is below the base version.

    The bytes are empty where no member is below. Otherwise a first byte names the
    shorter of two forms: place (2 bytes) and lag of the members below, or the lag
    of each member. A lag above 255 is sent as 255: the version looks newer than it
    is, which can only make a reader more careful.
    """
    versions = [member.version for member in roster]
    n_below = len(versions) - versions.count(base_version)
    if not n_below:
        return b""
    lags = [min(base_version - version, _MAX_LAG) for version in versions]
    if n_below * _LAG_BYTES > len(lags):
        return bytes([_DENSE, *lags])
    sparse = bytearray([_SPARSE])
    for place, lag in enumerate(lags):
        if lag:
            sparse += place.to_bytes(2, "big") + bytes([lag])
    return bytes(sparse)


def decode_lags(lags: bytes) -> dict[int, int]:
    """Return the lag by place.

    >>> decode_lags(bytes([0, 0, 7, 2])), decode_lags(bytes([1, 4, 0]))
    ({7: 2}, {0: 4, 1: 0})
    """
    if lags[:1] == bytes([_DENSE]):
        return dict(enumerate(lags[1:]))
    return {
        int.from_bytes(lags[start : start + 2], "big"): lags[start + 2]
        for start in range(1, len(lags) - _LAG_BYTES + 1, _LAG_BYTES)
    }


def split_keys(keys: bytes) -> list[bytes]:
    """Return the keys of a concatenation.

    >>> split_keys(b"aaaaaaaabbbbbbbb")
    [b'aaaaaaaa', b'bbbbbbbb']
    """
    return [keys[start : start + KEY_BYTES] for start in range(0, len(keys), KEY_BYTES)]
