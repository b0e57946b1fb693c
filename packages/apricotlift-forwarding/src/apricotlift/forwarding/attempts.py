"""One attempt of a request at one server.

An attempt ends with an answer that is certainly the server's own to this request, or
with an error that says whether the request may have run there.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.forwarding.dialect import HeaderNames
from apricotlift.forwarding.facts import ClientRequest
from apricotlift.forwarding.servers import ServerHandle
from apricotlift.upstreams.kept import Call, Exchange

#: A new connection takes a few milliseconds; a lost opening packet takes a second.
CONNECT_TIMEOUT_S = 0.45

_MISDIRECTED = 421


@dataclass(frozen=True)
class Dispatch:
    """Where one attempt goes.

    :param headers: what the system adds for this attempt.
    """

    handle: ServerHandle
    headers: tuple[tuple[str, str], ...] = ()
    last_event_id: str | None = None


@asynccontextmanager
async def open_attempt(
    names: HeaderNames, request: ClientRequest, dispatch: Dispatch, timeout_s: float
) -> AsyncIterator[Exchange]:
    """Send a request to a server and hand out its answer once its headers are there.

    :param timeout_s: time in which the headers have to come.
    :raises ApricotliftError: with ``ran`` set from what is known.
    """
    connections = dispatch.handle.connections
    call = _build_call(names, request, dispatch)
    connect_s = min(CONNECT_TIMEOUT_S, max(0.05, timeout_s))
    scope = anyio.CancelScope(deadline=anyio.current_time() + timeout_s)
    is_answered = False
    with scope:
        async with connections.exchange(call, connect_s) as answer:
            is_answered = True
            scope.deadline = float("inf")
            _check(names, request, dispatch, answer)
            yield answer
    if scope.cancelled_caught and not is_answered:
        message = f"{dispatch.handle.server.server_id} was silent for {timeout_s:.3f} s"
        raise ApricotliftError(Code.UPSTREAM_SILENT, message, Ran.MAYBE, Scope.UPSTREAM)


def _build_call(names: HeaderNames, request: ClientRequest, dispatch: Dispatch) -> Call:
    left_ms = max(1, int((request.deadline_at - clocks.monotonic()) * 1000))
    headers = list(request.headers)
    if dispatch.last_event_id is not None:
        headers = [item for item in headers if item[0] != names.last_event_id]
        headers.append((names.last_event_id, dispatch.last_event_id))
    headers.append((names.deadline_ms, str(left_ms)))
    headers.append((names.target_server, dispatch.handle.server.server_id))
    if request.account is not None:
        headers.append((names.account, request.account.name))
    headers += dispatch.headers
    return Call(request.method, request.target, tuple(headers), request.body)


def _check(
    names: HeaderNames, request: ClientRequest, dispatch: Dispatch, answer: Exchange
) -> None:
    """Refuse an answer that isn't this server's own to this request."""
    server_id = dispatch.handle.server.server_id
    echoed = answer.get_header(names.request_id)
    if echoed is not None and echoed != request.request_id:
        message = f"{server_id} answered request {echoed!r}"
        raise ApricotliftError(Code.FOREIGN_ATTEMPT, message, Ran.MAYBE, Scope.UPSTREAM)
    if answer.status == _MISDIRECTED:
        found = answer.get_header(names.answering_server)
        raise ApricotliftError(
            Code.WRONG_SERVER,
            f"{server_id} refused the request as misdirected",
            Ran.NO,
            Scope.UPSTREAM,
            details={"is_same_server": found in (None, server_id)},
        )
    if answer.get_header(names.not_run) is not None:
        message = f"{server_id} did not run the request: status {answer.status}"
        raise ApricotliftError(
            Code.UPSTREAM_FULL,
            message,
            Ran.NO,
            Scope.UPSTREAM,
            details={"status": answer.status},
        )
    is_success = 200 <= answer.status < 300
    if is_success and (
        echoed is None
        or answer.get_header(names.origin_stamp) is None
        or answer.get_header("content-encoding") is not None
    ):
        message = f"{server_id} sent an answer that isn't its own"
        raise ApricotliftError(
            Code.UPSTREAM_PROTOCOL, message, Ran.MAYBE, Scope.UPSTREAM
        )
