"""Which prompts were refused for want of room a short time ago.

A client comes back with a new request id, perhaps to another node, so the nodes tell
each other what they refused. A note that is lost makes one client look like a new one.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from apricotlift.core import clocks
from apricotlift.core.hashing import digest
from apricotlift.forwarding.facts import ClientRequest
from apricotlift.wire.handshake import Identity
from apricotlift.wire.messages import RefusalNote

#: Clients come back within a third of the time that they have left.
_KEPT_S = 10.0
_MAX_KEPT = 5000


@dataclass
class Refusals:
    """Prompts that this node and its peers refused.

    :param tell: sends a note to the other nodes.
    """

    tell: Callable[[RefusalNote], None]
    clock: Callable[[], float] = clocks.monotonic
    _until: dict[str, float] = field(default_factory=dict)

    def has_returned(self, request: ClientRequest) -> bool:
        """Tell whether a prompt was refused before."""
        return self._until.get(_identify(request), 0.0) > self.clock()

    def add(self, request: ClientRequest) -> None:
        """Note that a prompt is refused, and tell the other nodes."""
        identity = _identify(request)
        self._keep(identity)
        self.tell(RefusalNote(identity))

    async def handle_note(self, note: RefusalNote, peer: Identity) -> None:
        """Take over what a peer refused."""
        self._keep(note.request)

    def _keep(self, identity: str) -> None:
        now = self.clock()
        # The oldest stand first, because a known one is moved to the end.
        self._until.pop(identity, None)
        self._until[identity] = now + _KEPT_S
        while len(self._until) > _MAX_KEPT:
            del self._until[next(iter(self._until))]


def _identify(request: ClientRequest) -> str:
    account = request.account.name if request.account else ""
    parts = [part.part_id for part in request.prompt.parts]
    return digest("refused", account, request.target, request.body, *parts).hex()
