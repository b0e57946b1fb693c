"""Requests to nodes that exchange load sums, and proofs of when messages were built.

A node of an earlier build ends the connection on an unknown message. So a node is first
asked for a table that only builds with load sums know; an earlier one refuses that and
keeps the connection.

A message echoes the last stamp of its receiver's clock and the time since that arrived,
so it was certainly built no earlier than their sum. What waited in a buffer, or in a
process that was frozen, is thus recognised as old.
"""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.wire.messages import Message, RowsReply, RowsRequest

#: Table that builds with load sums answer for, with no rows.
SUPPORT_TABLE = "load-sums"

_REPLY_TIMEOUT_S = 0.4

#: Echo of a message to a node from which no stamp has arrived.
_NO_STAMP = -1


@dataclass(frozen=True)
class Nodes:
    """What the exchange needs to know about the other nodes.

    :param own_name: name of this node.
    :param list_domains: returns the failure domain of each serving node by name.
    :param get_address: returns a node's address for peers, ``None`` if it is unknown.
    :param get_incarnation: returns a node's incarnation, ``None`` if it is unknown.
    :param request: sends a message to an address and returns the reply; its last
        argument is the timeout in seconds.
    :param send: sends a message without a reply.
    """

    own_name: str
    list_domains: Callable[[], Mapping[str, str]]
    get_address: Callable[[str], str | None]
    get_incarnation: Callable[[str], str | None]
    request: Callable[[str, Message, float], Awaitable[Message]]
    send: Callable[[str, Message], bool]


@dataclass
class LoadPeers:
    """Requests to the other nodes, and the stamps that they sent."""

    nodes: Nodes
    metrics: Metrics
    clock: Callable[[], float] = clocks.monotonic
    _stamps: dict[str, tuple[int, float]] = field(default_factory=dict)
    _supporters: dict[str, tuple[str | None, bool]] = field(default_factory=dict)

    async def request(self, name: str, message: Message) -> Message | None:
        """Return a node's reply, ``None`` without one.

        :raises ApricotliftError: ``not_found``.
        """
        address = self.nodes.get_address(name)
        reason = "no_address"
        if address is not None:
            reason = "no_support"
            if await self.is_supported(name, address):
                try:
                    return await self.nodes.request(address, message, _REPLY_TIMEOUT_S)
                except ApricotliftError as error:
                    if error.code == Code.NOT_FOUND:
                        # The node works, but lacks what it is asked for.
                        raise
                    reason = str(error.code)
        self.metrics.count(
            "load_requests_failed_total", kind=message.kind, reason=reason
        )
        return None

    async def is_supported(self, name: str, address: str) -> bool:
        """Return whether a node knows the messages of load sums."""
        incarnation = self.nodes.get_incarnation(name)
        known = self._supporters.get(name)
        if known is not None and known[0] == incarnation:
            return known[1]
        probe = RowsRequest(SUPPORT_TABLE, -1, 0)
        try:
            reply = await self.nodes.request(address, probe, _REPLY_TIMEOUT_S)
            is_supported = isinstance(reply, RowsReply)
        except ApricotliftError as error:
            if error.code != Code.TABLE_UNAVAILABLE:
                return False
            is_supported = False
        self._supporters[name] = (incarnation, is_supported)
        return is_supported

    def forget_all_but(self, names: Mapping[str, str]) -> None:
        """Forget nodes that are no longer members."""
        for known in (self._stamps, self._supporters):
            for name in known.keys() - names.keys():
                del known[name]

    def note_stamp(self, name: str, stamp_ms: int) -> None:
        """Keep the stamp of a node's message, to echo it."""
        self._stamps[name] = (stamp_ms, self.clock())

    def get_stamp_ms(self) -> int:
        """Return a stamp for a message."""
        return int(self.clock() * 1000)

    def get_echo(self, name: str) -> tuple[int, int]:
        """Return the last stamp of a node, and for how many ms it has been held."""
        stamp = self._stamps.get(name)
        if stamp is None:
            return _NO_STAMP, 0
        return stamp[0], int((self.clock() - stamp[1]) * 1000)

    def prove_time(self, echo_ms: int, held_ms: int) -> float | None:
        """Return the earliest time a message can be from, ``None`` without proof."""
        if echo_ms < 0 or held_ms < 0:
            return None
        return min(self.clock(), (echo_ms + held_ms) / 1000)


async def answer_support(message: RowsRequest) -> RowsReply:
    """Tell another node that this one knows load sums."""
    return RowsReply(1, is_full_table=True, age_ms=0, held_ms=0, rows=[])
