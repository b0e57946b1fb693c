"""What the attempts of one request share, and the reply that they fill."""

from dataclasses import dataclass, field
from typing import Protocol

from apricotlift.core import clocks
from apricotlift.forwarding.facts import ClientRequest, Service
from apricotlift.policy.retries import RetryBudget

Headers = list[tuple[str, str]]


class Reply(Protocol):
    """The answer to the client."""

    is_started: bool

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""

    async def begin(self, status: int, headers: Headers) -> None:
        """Begin an answer of unknown length."""

    async def send_piece(self, data: bytes) -> None:
        """Send a piece of it."""

    async def end(self) -> None:
        """Complete it."""


@dataclass(frozen=True)
class Answer:
    """A server's whole answer."""

    status: int
    headers: Headers
    body: bytes


@dataclass
class Run:
    """What one request's attempts share.

    :param n_ran: attempts that may have run.
    :param n_refused: attempts that servers refused.
    :param kept: a server's failure that is sent if no other attempt does better.
    """

    request: ClientRequest
    service: Service
    fingerprint: str
    budget: RetryBudget
    n_ran: int = 0
    n_refused: int = 0
    n_attempts: int = 0
    tried: set[str] = field(default_factory=set)
    kept: Answer | None = None
    last_event_id: str | None = None
    outcome: str = ""
    server_id: str = ""

    @property
    def is_repeatable(self) -> bool:
        """Whether another attempt may follow one that may have run."""
        return self.request.route.is_repeatable

    @property
    def may_try_another(self) -> bool:
        """Whether another server may run it after the present attempt."""
        return self.is_repeatable and self.n_ran + 1 < self.request.route.n_servers_max

    @property
    def time_left_s(self) -> float:
        """Seconds until the request ends."""
        return self.request.deadline_at - clocks.monotonic()
