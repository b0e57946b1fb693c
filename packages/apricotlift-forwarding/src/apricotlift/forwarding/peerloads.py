"""What the other nodes have sent to each engine.

Engines report their load late and only when asked, and their cache events come after a
part was read. Each node therefore tells the others what it gives an engine, so that
nodes neither crowd one engine nor read the same part at several, and again when the
prompt is read and when the attempt ends. A note that is lost does no lasting harm: each
entry ends by itself.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from apricotlift.core import clocks
from apricotlift.core.metrics import Metrics
from apricotlift.state.view import MembershipView
from apricotlift.wire.connections import PeerPool
from apricotlift.wire.handshake import Identity
from apricotlift.wire.messages import OrderNote, PlacementNote, ProgressNote

#: With more nodes, each one's part of the load is small and notes to all cost more.
MAX_NODES = 24

_UNREAD_KEPT_S = 2.5
_RUNNING_KEPT_S = 8.0


@dataclass
class _Entry:
    """A peer's prompt at an engine.

    :param unread_until: when its tokens no longer count as unread.
    :param ends_at: when it no longer counts at all.
    """

    n_unread: int
    n_running: int
    unread_until: float
    ends_at: float


@dataclass
class PeerLoads:
    """Prompts that peers have under way, by server.

    :param expect_part: receives address, salt and part of what an engine will hold.
    :param note_loading: receives the id of an engine that loads weights.
    """

    view: MembershipView
    expect_part: Callable[[str, str, str], None]
    note_loading: Callable[[str], None]
    peers: PeerPool
    metrics: Metrics
    clock: Callable[[], float] = clocks.monotonic
    _entries: dict[str, dict[tuple[str, int], _Entry]] = field(
        default_factory=lambda: defaultdict(dict)
    )

    def get_loads(self, server_id: str) -> tuple[int, int]:
        """Return the tokens that peers have a server read, and those in its memory."""
        now = self.clock()
        entries = self._entries.get(server_id)
        if not entries:
            return 0, 0
        for key in [key for key, entry in entries.items() if entry.ends_at < now]:
            del entries[key]
        n_unread = sum(e.n_unread for e in entries.values() if e.unread_until >= now)
        return n_unread, sum(entry.n_running for entry in entries.values())

    def tell(self, note: PlacementNote | ProgressNote | OrderNote) -> None:
        """Tell the other nodes what a server was given, has done, or loads."""
        members = self.view.get_serving()
        if len(members) > MAX_NODES:
            return
        for member in members:
            if member.node_id != self.view.own.node_id:
                self.peers.send(member.peer_address, note)

    async def handle_order(self, note: OrderNote, peer: Identity) -> None:
        """Take over that an engine loads weights."""
        self.note_loading(note.server)

    async def handle_placement(self, note: PlacementNote, peer: Identity) -> None:
        """Take over what a peer gave an engine."""
        now = self.clock()
        self._entries[note.server][(peer.node_id, note.number)] = _Entry(
            note.n_unread, note.n_running, now + _UNREAD_KEPT_S, now + _RUNNING_KEPT_S
        )
        for part in note.parts:
            self.expect_part(note.address, note.salt, part)

    async def handle_progress(self, note: ProgressNote, peer: Identity) -> None:
        """Take over that a peer's prompt is read, or that its attempt has ended."""
        entries = self._entries.get(note.server, {})
        key = (peer.node_id, note.number)
        if note.is_ended:
            entries.pop(key, None)
        elif key in entries:
            entries[key].n_unread = 0

    def forget(self, server_id: str) -> None:
        """Forget a server that is gone."""
        self._entries.pop(server_id, None)
