"""Forwards a server's response to the client, as a whole or event by event."""

from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.forwarding.events import (
    EventSplitter,
    ServerSentEvent,
    parse_event_number,
)
from apricotlift.forwarding.requeststate import (
    BufferedResponse,
    ClientResponse,
    Headers,
    RequestState,
)
from apricotlift.forwarding.runningattempts import RunningAttempt
from apricotlift.upstreams.persistentconnections import StreamedResponse
from apricotlift.upstreams.service import HOP_BY_HOP_HEADERS

#: Largest whole response that is forwarded; a small machine's budget allows less.
MAX_RESPONSE_BYTES = 33_554_432

#: A server that has used this share of the time that is left counts as silent.
_ATTEMPT_TIME_SHARE = 0.45

#: The server of a stream counts as silent if the first event takes longer than this
#: multiple of the route's latency target, or a later event longer than a multiple of
#: the route's event gap target.
_FIRST_EVENT_LATENCY_FACTOR = 3.0

_EVENT_GAP_FACTOR = 4.0

_MIN_EVENT_GAP_TIMEOUT_S = 1.0

_MIN_REDIRECT_STATUS = 300
_MIN_SERVER_ERROR_STATUS = 500

_STATUS_NO_CONTENT = 204


def compute_response_due_at(request_state: RequestState) -> float:
    """Return the time from which a server that is asked now counts as silent.

    For a stream, that is the time of the response headers; any other response has to be
    complete by then.
    """
    route = request_state.request.route
    time_left_s = max(0.01, request_state.time_left_s)
    silence_s = _ATTEMPT_TIME_SHARE * time_left_s
    if route.is_stream:
        limit_s = _FIRST_EVENT_LATENCY_FACTOR * route.target_latency_s
        silence_s = min(time_left_s, max(limit_s, 0.5 * silence_s))
    return clocks.monotonic() + silence_s


def is_event_stream(upstream_response: StreamedResponse) -> bool:
    """Return whether the response body is a stream of server-sent events."""
    content_type = upstream_response.get_header("content-type") or ""
    return content_type.startswith("text/event-stream")


def _select_headers(upstream_response: StreamedResponse) -> Headers:
    hop_by_hop = (upstream_response.get_header("connection") or "").lower().split(",")
    dropped = HOP_BY_HOP_HEADERS.union(item.strip() for item in hop_by_hop)
    return [item for item in upstream_response.headers if item[0] not in dropped]


def is_forwarded_as_stream(
    request_state: RequestState, upstream_response: StreamedResponse
) -> bool:
    """Return whether a response is forwarded event by event."""
    is_stream = request_state.request.route.is_stream
    is_success = upstream_response.status < _MIN_REDIRECT_STATUS
    return is_stream and is_success and is_event_stream(upstream_response)


async def forward_response(
    request_state: RequestState, attempt: RunningAttempt, response: ClientResponse
) -> None:
    """Forward the response of an attempt to its end.

    :raises ApricotliftError: if the response is incomplete or a server error.
    """
    upstream_response = attempt.upstream_response
    is_stream = is_forwarded_as_stream(request_state, upstream_response)
    if is_stream:
        await _forward_event_stream(request_state, attempt, response)
    else:
        await _forward_buffered_response(request_state, attempt, response)
    if upstream_response.status < _MIN_REDIRECT_STATUS:
        attempt.tracker.note_complete(is_stream)


async def _forward_buffered_response(
    request_state: RequestState, attempt: RunningAttempt, response: ClientResponse
) -> None:
    """Read a response to its end and send it to the client.

    A server error (status 500 or higher) is stored in ``request_state`` instead while
    another server may be tried.

    :raises ApricotliftError: if the response is incomplete, is a server error and
        another attempt is possible, or can't continue a stream that has been started.
    """
    upstream_response = attempt.upstream_response
    body = attempt.body
    if body is None:
        body = await upstream_response.read(MAX_RESPONSE_BYTES)
    buffered = BufferedResponse(
        upstream_response.status, _select_headers(upstream_response), body
    )
    if upstream_response.status >= _MIN_SERVER_ERROR_STATUS and (
        request_state.may_try_another or response.is_started
    ):
        if not response.is_started:
            request_state.fallback_response = buffered
        message = (
            f"{request_state.server_id} failed with status {upstream_response.status}"
        )
        raise ApricotliftError(Code.UPSTREAM_FAILED, message, Ran.MAYBE, Scope.UPSTREAM)
    if response.is_started:
        raise _build_resumption_error(request_state, upstream_response)
    await response.send_complete(buffered.status, buffered.headers, buffered.body)


def _build_resumption_error(
    request_state: RequestState, upstream_response: StreamedResponse
) -> ApricotliftError:
    message = (
        f"{request_state.server_id} sent status {upstream_response.status} instead "
        "of the rest of a resumed stream"
    )
    return ApricotliftError(Code.STREAM_BROKEN, message, Ran.MAYBE, Scope.UPSTREAM)


async def _forward_event_stream(
    request_state: RequestState, attempt: RunningAttempt, response: ClientResponse
) -> None:
    """Send complete events as they arrive, and skip those that the client already has.

    :raises ApricotliftError: if the stream ends early, inside an event or before the
        first one, or contains something else than numbered events.
    """
    upstream_response = attempt.upstream_response
    if response.is_started and upstream_response.status == _STATUS_NO_CONTENT:
        raise _build_resumption_error(request_state, upstream_response)
    chunks = attempt.chunks or upstream_response.iterate().__aiter__()
    last_received_id = None
    with upstream_response.budget.open_reservation() as reservation:
        splitter = EventSplitter(reservation)
        attempt.due_at = _compute_event_due_at(request_state, attempt)
        while True:
            attempt.is_reading = True
            chunk = await anext(chunks, None)
            attempt.is_reading = False
            if chunk is None:
                break
            events = splitter.feed(chunk)
            data, error = _collect_new_events(request_state, events)
            if events and error is None:
                last_received_id = events[-1].event_id
            if error is not None and not data:
                raise error
            if not data:
                continue
            attempt.tracker.note_event()
            if not response.is_started:
                await response.start(
                    upstream_response.status, _select_headers(upstream_response)
                )
            await response.send_chunk(data)
            if error is not None:
                raise error
            attempt.due_at = _compute_event_due_at(request_state, attempt)
    _check_stream_end(request_state, upstream_response, splitter, last_received_id)
    if not response.is_started:
        await response.start(
            upstream_response.status, _select_headers(upstream_response)
        )
    await response.finish()


def _check_stream_end(
    request_state: RequestState,
    upstream_response: StreamedResponse,
    splitter: EventSplitter,
    last_received_id: str | None,
) -> None:
    """Raise an error if a stream that ended regularly is no complete response.

    A server that crashes after its headers may end an empty body regularly. A stream
    that resumes after an event may have no further one.

    :param last_received_id: id of the last event of this server, ``None`` without one.
    :raises ApricotliftError: ``stream_broken``.
    """
    message = ""
    if splitter.remainder.strip():
        message = "ended its stream in the middle of an event"
    elif request_state.last_event_id is None and _may_have_body(
        request_state, upstream_response
    ):
        message = "ended its stream without an event"
    elif _precedes(last_received_id, request_state.last_event_id):
        message = (
            f"ended its stream with event {last_received_id}, before the last one that "
            "the client has"
        )
    if message:
        message = f"{request_state.server_id} {message}"
        raise ApricotliftError(Code.STREAM_BROKEN, message, Ran.MAYBE, Scope.UPSTREAM)


def _may_have_body(
    request_state: RequestState, upstream_response: StreamedResponse
) -> bool:
    is_head = request_state.request.method == "HEAD"
    return not is_head and upstream_response.status != _STATUS_NO_CONTENT


def _compute_event_due_at(
    request_state: RequestState, attempt: RunningAttempt
) -> float:
    """Return the time by which the next complete event has to arrive."""
    route = request_state.request.route
    silence_s = max(_MIN_EVENT_GAP_TIMEOUT_S, _EVENT_GAP_FACTOR * route.target_gap_s)
    if not attempt.tracker.has_first_event:
        silence_s = max(silence_s, _FIRST_EVENT_LATENCY_FACTOR * route.target_latency_s)
    return clocks.monotonic() + silence_s


def _collect_new_events(
    request_state: RequestState, events: list[ServerSentEvent]
) -> tuple[bytes, ApricotliftError | None]:
    """Record the events that the client doesn't have, up to one that is invalid.

    :returns: bytes to send, and the error of the invalid event. The bytes have to be
        sent before the error is raised, because a resumption goes on after them.
    """
    parts = []
    for event in events:
        try:
            check_event(request_state, event, request_state.server_id)
        except ApricotliftError as error:
            return b"".join(parts), error
        if _record_if_new(request_state, event):
            parts.append(event.data)
    return b"".join(parts), None


def check_event(
    request_state: RequestState, event: ServerSentEvent, server_id: str
) -> None:
    """Check that an event belongs to the stream.

    Servers number all events, so any other bytes are no part of the response.

    :raises ApricotliftError: ``upstream_protocol`` for an event without an id, without
        a number after numbered events, or with the head of a response.
    """
    message = ""
    if not event.event_id:
        message = "sent an event without an id"
    elif event.has_response_head:
        message = f"sent the head of a response inside event {event.event_id[:64]!r}"
    elif (
        parse_event_number(request_state.last_event_id) is not None
        and parse_event_number(event.event_id) is None
    ):
        message = f"sent event {event.event_id[:64]!r} after numbered events"
    if message:
        raise ApricotliftError(
            Code.UPSTREAM_PROTOCOL,
            f"{server_id} {message}",
            Ran.MAYBE,
            Scope.UPSTREAM,
        )


def _record_if_new(request_state: RequestState, event: ServerSentEvent) -> bool:
    """Record the event's id unless the client already has the event.

    :returns: whether the event has to be sent.
    """
    if not is_new_event(request_state, event):
        return False
    request_state.last_event_id = event.event_id
    return True


def is_new_event(request_state: RequestState, event: ServerSentEvent) -> bool:
    """Return whether the client doesn't have an event yet."""
    number = parse_event_number(event.event_id)
    last_number = parse_event_number(request_state.last_event_id)
    return number is None or last_number is None or number > last_number


def _precedes(event_id: str | None, other_id: str | None) -> bool:
    """Return whether both ids are numbers and the first one is lower."""
    number = parse_event_number(event_id)
    other_number = parse_event_number(other_id)
    return number is not None and other_number is not None and number < other_number
