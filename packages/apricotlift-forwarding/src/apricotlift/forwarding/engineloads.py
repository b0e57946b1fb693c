"""Load of each engine from the prompts of all nodes.

Engines report their load late and only when asked, and they report a cached part only
after its prefill. Each node therefore notifies its peers when it sends a prompt to an
engine, when the prefill is done, and when the attempt ends. This keeps nodes from
overloading one engine and from computing the same part at several. A lost message has
no lasting effect, because entries of peers expire. In a fleet too large for such notes,
the load of the other nodes is estimated from sums; see :mod:`.loadview`.
"""

import itertools
from collections import defaultdict, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from apricotlift.core import clocks
from apricotlift.forwarding.entities import Server
from apricotlift.forwarding.partruns import N_PARTS_MAX
from apricotlift.state.view import MembershipView
from apricotlift.wire.handshake import Identity
from apricotlift.wire.messages import Notes, PlacementNote, ProgressNote

#: Time after which the prefill, or the attempt, of a peer's prompt is assumed to have
#: ended if no message has reported it.
_PREFILL_EXPIRY_S = 2.5
_RUN_EXPIRY_S = 8.0


@dataclass
class EngineLoad:
    """Work that one engine has been given.

    :param n_unread: prompt tokens whose prefill isn't done.
    :param n_own: tokens in its memory that belong to a single request.
    :param n_shared: tokens of shared parts, each part counted once.
    :param parts: number of requests that use a part, and the part's tokens, by salt and
        part id. In a large fleet these are the parts of this node's requests only.
    :param age_s: age of the sums that the load is estimated from, 0 if from none.
    """

    n_unread: int = 0
    n_own: int = 0
    n_shared: int = 0
    parts: dict[tuple[str, str], tuple[int, int]] = field(default_factory=dict)
    age_s: float = 0.0

    @property
    def n_used_tokens(self) -> int:
        """Tokens of the engine's memory that running requests use."""
        return self.n_own + self.n_shared

    def count_added_tokens(
        self, salt: str, parts: Sequence[tuple[str, int]], n_own: int
    ) -> int:
        """Return the tokens of memory that one more request would add.

        >>> load = EngineLoad(parts={("salt", "p1"): (1, 800)})
        >>> load.count_added_tokens("salt", [("p1", 800), ("p2", 100)], 50)
        150
        """
        return n_own + sum(n for part, n in parts if (salt, part) not in self.parts)


@dataclass
class _Attempt:
    note: PlacementNote
    is_prefill_pending: bool = True


_AttemptKey = tuple[str, str, int]


class LargeFleet(Protocol):
    """Estimates loads in a fleet whose nodes don't notify each other of each prompt."""

    @property
    def is_large(self) -> bool:
        """Whether the fleet is too large for notes now."""

    def get_load(self, server_id: str, own: EngineLoad) -> EngineLoad:
        """Return the estimated load of an engine, given that from this node."""

    def note_begun(self, server_id: str, n_unread: int) -> None:
        """Record that this node sends a prompt to an engine."""


@dataclass
class EngineLoads:
    """Load by engine, from the prompts that this node and its peers have in flight.

    :param expect_part: is called with the address, salt and part id of each part that a
        peer's prompt will leave in an engine's cache.
    :param note_loading: is called with the id of an engine that loads weights.
    :param notify: sends a note to the other nodes.
    :param large_fleet: estimates the load of other nodes that send no notes.
    """

    view: MembershipView
    expect_part: Callable[[str, str, str], None]
    note_loading: Callable[[str], None]
    notify: Callable[[PlacementNote | ProgressNote], None]
    clock: Callable[[], float] = clocks.monotonic
    large_fleet: LargeFleet | None = None
    _loads: dict[str, EngineLoad] = field(
        default_factory=lambda: defaultdict(EngineLoad)
    )
    _own_loads: dict[str, EngineLoad] = field(
        default_factory=lambda: defaultdict(EngineLoad)
    )
    _attempts: dict[_AttemptKey, _Attempt] = field(default_factory=dict)
    _prefill_expiries: deque[tuple[float, _AttemptKey]] = field(default_factory=deque)
    _run_expiries: deque[tuple[float, _AttemptKey]] = field(default_factory=deque)
    _attempt_numbers: itertools.count = field(
        default_factory=lambda: itertools.count(1)
    )

    def get_load(self, server_id: str) -> EngineLoad:
        """Return the load of an engine, empty where none is known."""
        self._expire_overdue()
        if self.large_fleet is not None and self.large_fleet.is_large:
            own = self._own_loads.get(server_id) or EngineLoad()
            return self.large_fleet.get_load(server_id, own)
        return self._loads.get(server_id) or EngineLoad()

    def get_own_loads(self) -> Mapping[str, EngineLoad]:
        """Return the load of each engine from the prompts of this node."""
        return self._own_loads

    def begin(
        self,
        server: Server,
        salt: str,
        parts: Sequence[tuple[str, int]],
        n_unread: int,
        n_own: int,
    ) -> PlacementNote:
        """Count a prompt of this node and notify the other nodes.

        Parts after the first :data:`~.partruns.N_PARTS_MAX` count as the request's own.

        :param parts: ids and tokens of the shared parts.
        :param n_unread: prompt tokens that the engine has to compute.
        :param n_own: tokens of its memory that belong to this request alone.
        """
        noted = parts[:N_PARTS_MAX]
        n_not_noted = sum(n_tokens for _, n_tokens in parts[N_PARTS_MAX:])
        note = PlacementNote(
            next(self._attempt_numbers),
            server.server_id,
            server.address,
            n_unread,
            n_own + n_not_noted,
            salt,
            [part for part, _ in noted],
            [n_tokens for _, n_tokens in noted],
        )
        self._add(self.view.own.node_id, note)
        if self.large_fleet is not None:
            self.large_fleet.note_begun(server.server_id, n_unread)
        self.notify(note)
        return note

    def note_prefilled(self, note: PlacementNote) -> None:
        """Record that the prefill of a prompt of this node is done."""
        if self._mark_prefilled((self.view.own.node_id, note.server, note.number)):
            self.notify(ProgressNote(note.number, note.server, is_ended=False))

    def end(self, note: PlacementNote) -> None:
        """Record that an attempt of this node has ended."""
        self._remove((self.view.own.node_id, note.server, note.number))
        self.notify(ProgressNote(note.number, note.server, is_ended=True))

    async def handle_notes(self, notes: Notes, peer: Identity) -> None:
        """Record what a peer reports about its prompts and its orders."""
        for placement in notes.placements:
            self.handle_placement(placement, peer)
        for progress in notes.progress:
            self.handle_progress(progress, peer)
        for order in notes.orders:
            self.note_loading(order.server)

    def handle_placement(self, note: PlacementNote, peer: Identity) -> None:
        """Record that a peer sent a prompt to an engine."""
        key = self._add(peer.node_id, note)
        now = self.clock()
        self._prefill_expiries.append((now + _PREFILL_EXPIRY_S, key))
        self._run_expiries.append((now + _RUN_EXPIRY_S, key))
        for part in note.parts:
            self.expect_part(note.address, note.salt, part)

    def handle_progress(self, note: ProgressNote, peer: Identity) -> None:
        """Record that the prefill or the attempt of a peer's prompt has ended."""
        key = (peer.node_id, note.server, note.number)
        if note.is_ended:
            self._remove(key)
        else:
            self._mark_prefilled(key)

    def _add(self, node_id: str, note: PlacementNote) -> _AttemptKey:
        key = (node_id, note.server, note.number)
        # A peer that restarted numbers its attempts from 1 again.
        self._remove(key)
        self._attempts[key] = _Attempt(note)
        for loads in self._list_loads(node_id):
            _add_to_load(loads[note.server], note)
        return key

    def _mark_prefilled(self, key: _AttemptKey) -> bool:
        attempt = self._attempts.get(key)
        if attempt is None or not attempt.is_prefill_pending:
            return False
        attempt.is_prefill_pending = False
        for loads in self._list_loads(key[0]):
            loads[attempt.note.server].n_unread -= attempt.note.n_unread
        return True

    def _remove(self, key: _AttemptKey) -> None:
        self._mark_prefilled(key)
        attempt = self._attempts.pop(key, None)
        if attempt is None:
            return
        note = attempt.note
        for loads in self._list_loads(key[0]):
            load = loads[note.server]
            _remove_from_load(load, note)
            if not (load.n_unread or load.n_own or load.parts):
                del loads[note.server]

    def _list_loads(self, node_id: str) -> list[dict[str, EngineLoad]]:
        """Return the loads that a node's prompts are part of."""
        if node_id == self.view.own.node_id:
            return [self._loads, self._own_loads]
        return [self._loads]

    def _expire_overdue(self) -> None:
        now = self.clock()
        while self._prefill_expiries and self._prefill_expiries[0][0] < now:
            self._mark_prefilled(self._prefill_expiries.popleft()[1])
        while self._run_expiries and self._run_expiries[0][0] < now:
            self._remove(self._run_expiries.popleft()[1])


def _add_to_load(load: EngineLoad, note: PlacementNote) -> None:
    load.n_unread += note.n_unread
    load.n_own += note.n_own
    for part, n_tokens in zip(note.parts, note.part_tokens, strict=False):
        part_key = (note.salt, part)
        n_users, n_part_tokens = load.parts.get(part_key, (0, n_tokens))
        if not n_users:
            load.n_shared += n_part_tokens
        load.parts[part_key] = (n_users + 1, n_part_tokens)


def _remove_from_load(load: EngineLoad, note: PlacementNote) -> None:
    """Remove a request whose prefill is done from a load."""
    load.n_own -= note.n_own
    for part, _ in zip(note.parts, note.part_tokens, strict=False):
        n_users, n_tokens = load.parts.pop((note.salt, part))
        if n_users > 1:
            load.parts[(note.salt, part)] = (n_users - 1, n_tokens)
        else:
            load.n_shared -= n_tokens
