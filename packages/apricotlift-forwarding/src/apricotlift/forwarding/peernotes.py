"""Notes to the other nodes, which are collected and sent together.

A prompt causes several notes to each node. One message for each would cost small
machines most of their processor time, so a node sends at most so many messages a second
as its processor can carry. The first note after a quiet time is sent at once.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError
from apricotlift.state.view import MembershipView
from apricotlift.wire.connections import PeerPool
from apricotlift.wire.messages import (
    Notes,
    OrderNote,
    PlacementNote,
    ProgressNote,
    RefusalNote,
)

#: With more nodes than this, peers aren't notified of each prompt: messages to all of
#: them would cost more than their small shares of the load are worth. Refusals and
#: orders are then sent with load sums; see :mod:`.loadexchange`.
MAX_NOTIFIED_NODES = 24

#: Messages a second that a node with one processor sends to its peers.
_MESSAGES_PER_PROCESSOR_S = 100.0
#: Notes wait no longer than this, since most prompts are read within a second.
_MAX_INTERVAL_S = 1.0
#: More notes than this are sent as several messages, to stay below the frame size.
MAX_NOTES_PER_MESSAGE = 100

Note = PlacementNote | ProgressNote | RefusalNote | OrderNote


@dataclass
class PeerNotes:
    """Collects the notes of this node and sends them to all other nodes.

    :param n_processors: processors that this node may use, as a fraction.
    :param pass_on: is called with the notes in a fleet that is too large for them.
    """

    view: MembershipView
    peers: PeerPool
    n_processors: float
    pass_on: Callable[[list[Note]], None] = lambda notes: None
    _notes: list[Note] = field(default_factory=list)
    _added: anyio.Event = field(default_factory=anyio.Event)

    def add(self, note: Note) -> None:
        """Send a note together with the others of its interval."""
        self._notes.append(note)
        self._added.set()

    async def run(self) -> None:
        """Send notes until cancelled."""
        while True:
            await self._added.wait()
            self._send()
            await anyio.sleep(self.get_interval_s())

    def get_interval_s(self) -> float:
        """Return the time between two messages to each peer, in seconds."""
        n_peers = len(self.view.get_serving()) - 1
        n_messages_per_s = _MESSAGES_PER_PROCESSOR_S * self.n_processors
        return min(_MAX_INTERVAL_S, max(0, n_peers) / n_messages_per_s)

    def _send(self) -> None:
        notes = self._notes
        self._notes = []
        self._added = anyio.Event()
        members = self.view.get_serving()
        if len(members) > MAX_NOTIFIED_NODES:
            self.pass_on(notes)
            return
        own_id = self.view.own.node_id
        addresses = [
            member.peer_address for member in members if member.node_id != own_id
        ]
        for start in range(0, len(notes), MAX_NOTES_PER_MESSAGE):
            message = _build_message(notes[start : start + MAX_NOTES_PER_MESSAGE])
            try:
                self.peers.send_to_all(addresses, message)
            except ApricotliftError as error:
                logs.log(
                    logs.WARNING,
                    "notes_dropped",
                    code=error.code,
                    reason=error.message,
                )


def _build_message(notes: list[Note]) -> Notes:
    def select(kind: type) -> list:
        return [note for note in notes if isinstance(note, kind)]

    return Notes(
        placements=select(PlacementNote),
        progress=select(ProgressNote),
        refusals=select(RefusalNote),
        orders=select(OrderNote),
    )
