"""State shared by the attempts of one request, and the response to its client."""

from dataclasses import dataclass, field
from typing import Protocol

from apricotlift.core import clocks
from apricotlift.forwarding.crashchecks import CrashCheck
from apricotlift.forwarding.entities import ClientRequest, Service
from apricotlift.policy.retries import RetryBudget

Headers = list[tuple[str, str]]


class ClientResponse(Protocol):
    """The response to the client."""

    is_started: bool
    status: int

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response with its content length."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers of a response whose length is not known yet."""

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """Mark the end of the body."""


@dataclass(frozen=True)
class BufferedResponse:
    """A server's response, read to its end."""

    status: int
    headers: Headers
    body: bytes


@dataclass
class RequestState:
    """State that the attempts of one request share.

    :param n_possibly_run: failed attempts that may have run on a server.
    :param n_refused: failed attempts that certainly did not run.
    :param fallback_response: a server's error response, sent if no later attempt
        succeeds.
    :param last_event_id: last event that the client has; a stream resumes after it.
    :param crash_checks: checks of engines that broke off an attempt before its answer
        was under way.
    :param n_crashes: engines that crashed in this way.
    :param outcome: result of the request, for the log.
    :param server_id: server of the current attempt.
    """

    request: ClientRequest
    service: Service
    fingerprint: str
    retry_budget: RetryBudget
    n_possibly_run: int = 0
    n_refused: int = 0
    n_attempts: int = 0
    tried_server_ids: set[str] = field(default_factory=set)
    fallback_response: BufferedResponse | None = None
    last_event_id: str | None = None
    crash_checks: list[CrashCheck] = field(default_factory=list)
    n_crashes: int = 0
    outcome: str = ""
    server_id: str = ""

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may be retried after an attempt that may have run."""
        return self.request.route.is_repeatable

    @property
    def may_try_another(self) -> bool:
        """Whether another server may be tried if the current attempt fails."""
        return (
            self.is_repeatable
            and self.n_possibly_run + 1 < self.request.route.n_servers_max
        )

    @property
    def time_left_s(self) -> float:
        """Seconds until the request's deadline."""
        return self.request.deadline_at - clocks.monotonic()
