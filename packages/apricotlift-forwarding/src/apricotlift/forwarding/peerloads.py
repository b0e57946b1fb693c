"""What the other nodes have sent to each engine.

Engines report their load late and only when asked, and their cache events come after a
part was read. Each node therefore tells the others what it gives an engine to read, so
that nodes neither crowd one engine nor read the same part at several, and again when
it is read. A note that is lost does no lasting harm: each entry ends by itself.
"""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from apricotlift.core import clocks
from apricotlift.core.metrics import Metrics
from apricotlift.state.view import MembershipView
from apricotlift.wire.connections import PeerPool
from apricotlift.wire.handshake import Identity
from apricotlift.wire.messages import OrderNote, PlacementNote

#: With more nodes, each one's part of the load is small and notes to all cost more.
MAX_NODES = 24

_KEPT_S = 2.5


@dataclass
class PeerLoads:
    """Prompt tokens that peers have under way, by server.

    :param expect_part: receives address, salt and part of what an engine will hold.
    :param note_loading: receives the id of an engine that loads weights.
    """

    view: MembershipView
    expect_part: Callable[[str, str, str], None]
    note_loading: Callable[[str], None]
    peers: PeerPool
    metrics: Metrics
    clock: Callable[[], float] = clocks.monotonic
    _entries: dict[str, dict[str, deque]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(deque))
    )

    def get_tokens(self, server_id: str) -> int:
        """Return the prompt tokens that peers have given a server to read."""
        now = self.clock()
        total = 0
        for entries in self._entries.get(server_id, {}).values():
            while entries and entries[0][0] < now:
                entries.popleft()
            total += sum(n_tokens for _, n_tokens in entries)
        return total

    def tell(self, note: PlacementNote | OrderNote) -> None:
        """Tell the other nodes what a server was given, has read, or loads."""
        members = self.view.get_serving()
        if len(members) > MAX_NODES:
            return
        for member in members:
            if member.node_id != self.view.own.node_id:
                self.peers.send(member.peer_address, note)

    async def handle_order(self, note: OrderNote, peer: Identity) -> None:
        """Take over that an engine loads weights."""
        self.note_loading(note.server)

    async def handle_note(self, note: PlacementNote, peer: Identity) -> None:
        """Take over a peer's note."""
        entries = self._entries[note.server][peer.node_id]
        if not note.is_read:
            entries.append((self.clock() + _KEPT_S, note.n_tokens))
            for part in note.parts:
                self.expect_part(note.address, note.salt, part)
            return
        for entry in entries:
            if entry[1] == note.n_tokens:
                entries.remove(entry)
                return

    def forget(self, server_id: str) -> None:
        """Forget a server that is gone."""
        self._entries.pop(server_id, None)
