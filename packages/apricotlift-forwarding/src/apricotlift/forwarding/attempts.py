"""One attempt of a request at one server.

An attempt ends with a response that was verified to come from this server and to
belong to this request, or with an error that says whether the request may have run.
"""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

import anyio
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.forwarding.availability import check_availability, note_response
from apricotlift.forwarding.dialect import HeaderNames
from apricotlift.forwarding.entities import ClientRequest
from apricotlift.forwarding.pendingprompts import PendingPrompt
from apricotlift.forwarding.runtime import Runtime
from apricotlift.forwarding.servers import ServerHandle
from apricotlift.forwarding.warmup import Permit
from apricotlift.upstreams.persistentconnections import HttpCall, StreamedResponse

#: A new connection takes a few milliseconds, but a second if its first packet is lost
#: and has to be sent again.
CONNECT_TIMEOUT_S = 0.45

_STATUS_MISDIRECTED = 421


@dataclass(frozen=True)
class Dispatch:
    """The server of one attempt and what is sent with the request.

    :param headers: headers added to the client's own for this attempt.
    :param last_event_id: event after which a stream resumes, ``None`` from the start.
    :param permit: permission to send to a server that may be cold, ``None`` where the
        service has no limit for cold servers.
    """

    handle: ServerHandle
    headers: tuple[tuple[str, str], ...] = ()
    last_event_id: str | None = None
    permit: Permit | None = None

    def release(self) -> None:
        """Give back what is reserved for the attempt and wasn't used."""
        if self.permit is not None:
            self.permit.release()


@asynccontextmanager
async def open_attempt(
    node: Runtime,
    request: ClientRequest,
    dispatch: Dispatch,
    timeout_s: float,
    pending: PendingPrompt | None = None,
) -> AsyncIterator[StreamedResponse]:
    """Send a request to a server and yield its response once the headers are received.

    :param timeout_s: time limit for receiving the response headers.
    :param pending: cancels a prompt that may no longer begin.
    :raises ApricotliftError: if the attempt fails; ``ran`` says whether the request may
        have run.
    """
    names = node.dialect.headers
    handle = dispatch.handle
    server_id = handle.server.server_id

    def check_before_send() -> None:
        # While a connection was being opened, the failure domain may have been
        # evacuated, or the server may have said that it leaves, pauses or is cold.
        node.routing_state.evacuations.check(handle.server)
        check_availability(
            handle.availability, server_id, clocks.monotonic(), node.drain_time_s
        )
        if dispatch.permit is not None:
            dispatch.permit.check_before_send()

    call = _build_attempt_call(names, request, dispatch)
    connect_timeout_s = min(CONNECT_TIMEOUT_S, max(0.05, timeout_s))
    upstream_response = None
    async with AsyncExitStack() as stack:
        stack.callback(dispatch.release)
        # The time limit may expire in the moment in which the headers arrive. The scope
        # ends before the body is read, so that it can't end the attempt without error.
        with anyio.move_on_after(timeout_s) as scope:
            if pending is not None:
                pending.scope = scope
            upstream_response = await stack.enter_async_context(
                handle.connections.open_response(
                    call, connect_timeout_s, check_before_send
                )
            )
        if pending is not None:
            pending.scope = None
        if upstream_response is None:
            is_overdue = pending is not None and pending.is_overdue
            raise _build_silence_error(server_id, timeout_s, is_overdue)
        if _is_own_response(names, request, server_id, upstream_response):
            note_response(
                handle.availability,
                server_id,
                names,
                upstream_response,
                clocks.monotonic(),
                node.metrics,
            )
        _validate_response(names, request, dispatch, upstream_response)
        yield upstream_response


def _build_silence_error(
    server_id: str, timeout_s: float, is_overdue: bool
) -> ApricotliftError:
    code = Code.UPSTREAM_SILENT
    message = f"{server_id} sent no response headers within {timeout_s:.3f} s"
    if is_overdue:
        code = Code.WEIGHTS_REPLACED
        message = f"the weights of {server_id} were replaced before the prompt began"
    return ApricotliftError(code, message, Ran.MAYBE, Scope.UPSTREAM)


def _build_attempt_call(
    names: HeaderNames, request: ClientRequest, dispatch: Dispatch
) -> HttpCall:
    time_left_ms = max(1, int((request.deadline_at - clocks.monotonic()) * 1000))
    headers = list(request.headers)
    if dispatch.last_event_id is not None:
        headers = [item for item in headers if item[0] != names.last_event_id]
        headers.append((names.last_event_id, dispatch.last_event_id))
    headers.append((names.deadline_ms, str(time_left_ms)))
    headers.append((names.target_server, dispatch.handle.server.server_id))
    if request.account is not None:
        headers.append((names.account, request.account.name))
    headers += dispatch.headers
    return HttpCall(request.method, request.target, tuple(headers), request.body)


def _is_own_response(
    names: HeaderNames,
    request: ClientRequest,
    server_id: str,
    upstream_response: StreamedResponse,
) -> bool:
    """Return whether a response echoes the request id and names no other server."""
    echoed_request_id = upstream_response.get_header(names.request_id)
    answering_server_id = upstream_response.get_header(names.answering_server)
    return echoed_request_id == request.request_id and (
        answering_server_id in (None, server_id)
    )


def _validate_response(
    names: HeaderNames,
    request: ClientRequest,
    dispatch: Dispatch,
    upstream_response: StreamedResponse,
) -> None:
    """Raise an error unless the response is this server's own to this request."""
    server_id = dispatch.handle.server.server_id
    _check_request_id(names, request, server_id, upstream_response)
    if upstream_response.status == _STATUS_MISDIRECTED:
        answering_server_id = upstream_response.get_header(names.answering_server)
        raise ApricotliftError(
            Code.WRONG_SERVER,
            f"{server_id} rejected the request as misdirected (status 421)",
            Ran.NO,
            Scope.UPSTREAM,
            details={"is_same_server": answering_server_id in (None, server_id)},
        )
    if upstream_response.get_header(names.not_run) is not None:
        message = (
            f"{server_id} did not run the request: status {upstream_response.status}"
        )
        raise ApricotliftError(
            Code.UPSTREAM_FULL,
            message,
            Ran.NO,
            Scope.UPSTREAM,
            details={"status": upstream_response.status},
        )
    is_success = 200 <= upstream_response.status < 300
    if is_success and (
        upstream_response.get_header(names.origin_stamp) is None
        or upstream_response.get_header("content-encoding") is not None
    ):
        message = (
            f"{server_id} sent a response without an origin stamp or with a content "
            "encoding"
        )
        raise ApricotliftError(
            Code.UPSTREAM_PROTOCOL, message, Ran.MAYBE, Scope.UPSTREAM
        )


def _check_request_id(
    names: HeaderNames,
    request: ClientRequest,
    server_id: str,
    upstream_response: StreamedResponse,
) -> None:
    """Raise an error unless a response echoes the id of the request.

    Servers echo the id in all responses. Without it, even a refusal may belong to an
    earlier request, and this one may be running.
    """
    echoed_request_id = upstream_response.get_header(names.request_id)
    if echoed_request_id is None:
        message = (
            f"{server_id} sent a response without a request id, with status "
            f"{upstream_response.status}"
        )
        raise ApricotliftError(
            Code.UPSTREAM_PROTOCOL, message, Ran.MAYBE, Scope.UPSTREAM
        )
    if echoed_request_id != request.request_id:
        message = f"{server_id} sent the response to request {echoed_request_id!r}"
        raise ApricotliftError(Code.FOREIGN_ATTEMPT, message, Ran.MAYBE, Scope.UPSTREAM)
