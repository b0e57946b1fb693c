"""What all nodes together have given each engine.

Engines report their load late and only when asked, and their cache events come after a
part was read. Each node therefore tells the others what it gives an engine, so that
nodes neither crowd one engine nor read the same part at several, and again when the
prompt is read and when the attempt ends. A note that is lost does no lasting harm: what
peers told ends by itself.
"""

import itertools
from collections import defaultdict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from apricotlift.core import clocks
from apricotlift.forwarding.facts import Server
from apricotlift.state.view import MembershipView
from apricotlift.wire.connections import PeerPool
from apricotlift.wire.handshake import Identity
from apricotlift.wire.messages import Message, OrderNote, PlacementNote, ProgressNote

#: With more nodes, each one's part of the load is small and notes to all cost more.
MAX_NODES = 24

_UNREAD_KEPT_S = 2.5
_RUNNING_KEPT_S = 8.0


@dataclass
class EngineLoad:
    """What runs at one engine.

    :param n_unread: prompt tokens that it still has to read.
    :param n_own: tokens in its memory that belong to one request each.
    :param n_shared: tokens of shared parts, each part counted once.
    :param parts: how many requests use a part, and its tokens, by salt and part.
    """

    n_unread: int = 0
    n_own: int = 0
    n_shared: int = 0
    parts: dict[tuple[str, str], tuple[int, int]] = field(default_factory=dict)

    @property
    def n_running(self) -> int:
        """Tokens of its memory that runs take."""
        return self.n_own + self.n_shared

    def count_more(
        self, salt: str, parts: Sequence[tuple[str, int]], n_own: int
    ) -> int:
        """Return the tokens of memory that one more run takes.

        >>> load = EngineLoad(parts={("salt", "p1"): (1, 800)})
        >>> load.count_more("salt", [("p1", 800), ("p2", 100)], 50)
        150
        """
        return n_own + sum(n for part, n in parts if (salt, part) not in self.parts)


@dataclass
class _Entry:
    note: PlacementNote
    is_unread: bool = True


_Key = tuple[str, str, int]


@dataclass
class EngineLoads:
    """Prompts that this node and its peers have under way, by engine.

    :param expect_part: receives address, salt and part of what an engine will hold.
    :param note_loading: receives the id of an engine that loads weights.
    """

    view: MembershipView
    expect_part: Callable[[str, str, str], None]
    note_loading: Callable[[str], None]
    peers: PeerPool
    clock: Callable[[], float] = clocks.monotonic
    _loads: dict[str, EngineLoad] = field(
        default_factory=lambda: defaultdict(EngineLoad)
    )
    _entries: dict[_Key, _Entry] = field(default_factory=dict)
    _read_by: deque[tuple[float, _Key]] = field(default_factory=deque)
    _ended_by: deque[tuple[float, _Key]] = field(default_factory=deque)
    _numbers: itertools.count = field(default_factory=lambda: itertools.count(1))

    def get_load(self, server_id: str) -> EngineLoad:
        """Return what runs at an engine."""
        self._end_overdue()
        return self._loads.get(server_id) or EngineLoad()

    def begin(
        self,
        server: Server,
        salt: str,
        parts: Sequence[tuple[str, int]],
        n_unread: int,
        n_own: int,
    ) -> PlacementNote:
        """Count a prompt of this node and tell the other nodes.

        :param parts: shared parts and their tokens.
        """
        note = PlacementNote(
            next(self._numbers),
            server.server_id,
            server.address,
            n_unread,
            n_own,
            salt,
            [part for part, _ in parts],
            [n_tokens for _, n_tokens in parts],
        )
        self._add(self.view.own.node_id, note)
        self.tell(note)
        return note

    def note_read(self, note: PlacementNote) -> None:
        """Note that a prompt of this node has been read."""
        if self._read((self.view.own.node_id, note.server, note.number)):
            self.tell(ProgressNote(note.number, note.server, is_ended=False))

    def end(self, note: PlacementNote) -> None:
        """Note that an attempt of this node has ended."""
        self._remove((self.view.own.node_id, note.server, note.number))
        self.tell(ProgressNote(note.number, note.server, is_ended=True))

    def tell(self, note: Message) -> None:
        """Tell the other nodes, while they are few enough."""
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
        key = self._add(peer.node_id, note)
        now = self.clock()
        self._read_by.append((now + _UNREAD_KEPT_S, key))
        self._ended_by.append((now + _RUNNING_KEPT_S, key))
        for part in note.parts:
            self.expect_part(note.address, note.salt, part)

    async def handle_progress(self, note: ProgressNote, peer: Identity) -> None:
        """Take over that a peer's prompt is read, or that its attempt has ended."""
        key = (peer.node_id, note.server, note.number)
        if note.is_ended:
            self._remove(key)
        else:
            self._read(key)

    def _add(self, node_id: str, note: PlacementNote) -> _Key:
        key = (node_id, note.server, note.number)
        # A peer that started anew counts its attempts from 1 again.
        self._remove(key)
        self._entries[key] = _Entry(note)
        load = self._loads[note.server]
        load.n_unread += note.n_unread
        load.n_own += note.n_own
        for part, n_tokens in zip(note.parts, note.part_tokens, strict=False):
            place = (note.salt, part)
            n_users, n_known = load.parts.get(place, (0, n_tokens))
            if not n_users:
                load.n_shared += n_known
            load.parts[place] = (n_users + 1, n_known)
        return key

    def _read(self, key: _Key) -> bool:
        entry = self._entries.get(key)
        if entry is None or not entry.is_unread:
            return False
        entry.is_unread = False
        self._loads[entry.note.server].n_unread -= entry.note.n_unread
        return True

    def _remove(self, key: _Key) -> None:
        self._read(key)
        entry = self._entries.pop(key, None)
        if entry is None:
            return
        note = entry.note
        load = self._loads[note.server]
        load.n_own -= note.n_own
        for part, _ in zip(note.parts, note.part_tokens, strict=False):
            n_users, n_tokens = load.parts.pop((note.salt, part))
            if n_users > 1:
                load.parts[(note.salt, part)] = (n_users - 1, n_tokens)
            else:
                load.n_shared -= n_tokens
        if not (load.n_unread or load.n_own or load.parts):
            del self._loads[note.server]

    def _end_overdue(self) -> None:
        now = self.clock()
        while self._read_by and self._read_by[0][0] < now:
            self._read(self._read_by.popleft()[1])
        while self._ended_by and self._ended_by[0][0] < now:
            self._remove(self._ended_by.popleft()[1])
