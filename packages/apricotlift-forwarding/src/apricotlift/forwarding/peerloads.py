"""What the other nodes have sent to each engine, so that nodes don't crowd one.

Engines report their load late and only when asked. Each node therefore tells the
others of the prompt tokens that it gives an engine to read, and again when they are
read. A note that is lost does no lasting harm, because each entry ends by itself.
"""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from apricotlift.core import clocks
from apricotlift.core.metrics import Metrics
from apricotlift.state.view import MembershipView
from apricotlift.wire.connections import PeerPool
from apricotlift.wire.handshake import Identity
from apricotlift.wire.messages import LoadNote

#: With more nodes, each one's part of the load is small and notes to all cost more.
MAX_NODES = 24

_KEPT_S = 2.5


@dataclass
class PeerLoads:
    """Prompt tokens that peers have under way, by server."""

    view: MembershipView
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

    def tell_started(self, server_id: str, n_tokens: int) -> None:
        """Tell the other nodes of a prompt that was sent to a server."""
        self._tell(LoadNote(server_id, 1, 0, n_tokens))

    def tell_read(self, server_id: str, n_tokens: int) -> None:
        """Tell the other nodes that a prompt has been read, or was given up."""
        self._tell(LoadNote(server_id, 0, 1, n_tokens))

    async def handle_note(self, note: LoadNote, peer: Identity) -> None:
        """Take over a peer's note."""
        entries = self._entries[note.upstream][peer.node_id]
        if note.n_started:
            entries.append((self.clock() + _KEPT_S, note.prompt_tokens))
            return
        for entry in entries:
            if entry[1] == note.prompt_tokens:
                entries.remove(entry)
                return

    def forget(self, server_id: str) -> None:
        """Forget a server that is gone."""
        self._entries.pop(server_id, None)

    def _tell(self, note: LoadNote) -> None:
        members = self.view.get_serving()
        if len(members) > MAX_NODES:
            return
        for member in members:
            if member.node_id != self.view.own.node_id:
                self.peers.send(member.peer_address, note)
