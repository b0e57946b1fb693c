"""Recently refused prompts, shared between the nodes.

Admission control treats a prompt that is submitted again after a refusal differently
from a new one. The client retries with a new request id, perhaps at another node, so
prompts are recognised by a fingerprint, and each node sends the fingerprints that it
refused to its peers. If such a message is lost, the retry is treated as a new prompt.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from apricotlift.core import clocks
from apricotlift.core.hashing import digest
from apricotlift.forwarding.entities import ClientRequest
from apricotlift.wire.messages import RefusalNote

#: Time for which a refusal is remembered. Clients retry within a third of the time
#: that they have left.
_RETENTION_S = 10.0
_MAX_REFUSALS = 5000

#: Hexadecimal digits by which refusals are told apart. Messages of large fleets carry
#: only so much of a fingerprint; two of 5,000 are alike in one of 10^12 cases.
_N_KEY_DIGITS = 16


@dataclass
class Refusals:
    """Prompts that this node and its peers refused recently.

    :param notify: sends a refusal to the other nodes.
    """

    notify: Callable[[RefusalNote], None]
    clock: Callable[[], float] = clocks.monotonic
    _expires_at: dict[str, float] = field(default_factory=dict)

    def is_resubmission(self, request: ClientRequest) -> bool:
        """Return whether a prompt was refused before."""
        return self._expires_at.get(_compute_key(request), 0.0) > self.clock()

    def add(self, request: ClientRequest) -> None:
        """Record that a prompt is refused, and notify the other nodes."""
        fingerprint = _compute_fingerprint(request)
        self._remember(fingerprint)
        self.notify(RefusalNote(fingerprint))

    def handle_refusal(self, note: RefusalNote) -> None:
        """Record a prompt that a peer refused."""
        self._remember(note.request)

    def _remember(self, fingerprint: str) -> None:
        now = self.clock()
        fingerprint = fingerprint[:_N_KEY_DIGITS]
        # Entries are in order of expiry: a known one is moved to the end.
        self._expires_at.pop(fingerprint, None)
        self._expires_at[fingerprint] = now + _RETENTION_S
        while len(self._expires_at) > _MAX_REFUSALS:
            del self._expires_at[next(iter(self._expires_at))]


def _compute_key(request: ClientRequest) -> str:
    return _compute_fingerprint(request)[:_N_KEY_DIGITS]


def _compute_fingerprint(request: ClientRequest) -> str:
    account = request.account.name if request.account else ""
    parts = [part.part_id for part in request.prompt.parts]
    return digest("refused", account, request.target, request.body, *parts).hex()
