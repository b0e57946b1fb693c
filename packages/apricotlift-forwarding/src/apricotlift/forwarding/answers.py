"""Forwards a server's answer, whole or event by event."""

from collections.abc import AsyncIterator

import anyio
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.forwarding.events import EventSplitter
from apricotlift.forwarding.occupancy import Occupancy
from apricotlift.forwarding.runs import Answer, Headers, Reply, Run
from apricotlift.upstreams.kept import Exchange
from apricotlift.upstreams.service import HOP_HEADERS

MAX_ANSWER_BYTES = 33_554_432

#: While another attempt is possible, one attempt gets this share of the time left.
_ATTEMPT_SHARE = 0.45

#: A stream that can go on elsewhere is taken to be stuck after this time without a
#: first event, as a multiple of the latency target, or without a next one.
_FIRST_EVENT_FACTOR = 3.0

_GAP_FACTOR = 4.0

_GAP_MIN_S = 1.0

_SEVERE_STATUS = 500


def get_first_timeout_s(run: Run) -> float:
    """Return how long an attempt may take until its answer begins."""
    route = run.request.route
    left_s = max(0.01, run.time_left_s)
    if not run.may_try_another:
        return left_s
    if route.is_stream:
        limit_s = _FIRST_EVENT_FACTOR * route.target_latency_s
        return min(left_s, max(limit_s, _ATTEMPT_SHARE * left_s * 0.5))
    return _ATTEMPT_SHARE * left_s


def is_event_stream(answer: Exchange) -> bool:
    """Return whether an answer is a series of events."""
    kind = answer.get_header("content-type") or ""
    return kind.startswith("text/event-stream")


def _select_headers(answer: Exchange) -> Headers:
    named = (answer.get_header("connection") or "").lower().split(",")
    dropped = HOP_HEADERS.union(item.strip() for item in named)
    return [item for item in answer.headers if item[0] not in dropped]


async def forward_whole(run: Run, answer: Exchange, reply: Reply) -> None:
    """Read an answer to its end and send it.

    A server's failure is kept back while another server may do better.

    :raises ApricotliftError: where the answer is incomplete or another attempt is due.
    """
    body = await answer.read(MAX_ANSWER_BYTES)
    whole = Answer(answer.status, _select_headers(answer), body)
    if answer.status >= _SEVERE_STATUS and (run.may_try_another or reply.is_started):
        if not reply.is_started:
            run.kept = whole
        message = f"{run.server_id} failed with status {answer.status}"
        raise ApricotliftError(Code.UPSTREAM_FAILED, message, Ran.MAYBE, Scope.UPSTREAM)
    if reply.is_started:
        message = f"{run.server_id} answered a resumed stream with {answer.status}"
        raise ApricotliftError(Code.STREAM_BROKEN, message, Ran.MAYBE, Scope.UPSTREAM)
    await reply.send_whole(whole.status, whole.headers, whole.body)


async def forward_events(
    run: Run, answer: Exchange, reply: Reply, held: Occupancy
) -> None:
    """Send whole events as they come, without those that the client has.

    :raises ApricotliftError: where the stream breaks off.
    """
    splitter = EventSplitter()
    pieces = answer.iterate().__aiter__()
    while True:
        piece = await _read_piece(run, pieces, held.has_first)
        if piece is None:
            break
        events = splitter.feed(piece)
        data = b"".join(event.data for event in events if _is_next(run, event.event_id))
        if not data:
            continue
        held.note_first()
        if not reply.is_started:
            await reply.begin(answer.status, _select_headers(answer))
        await reply.send_piece(data)
    if splitter.rest.strip():
        message = f"{run.server_id} ended its stream inside an event"
        raise ApricotliftError(Code.STREAM_BROKEN, message, Ran.MAYBE, Scope.UPSTREAM)
    if not reply.is_started:
        await reply.begin(answer.status, _select_headers(answer))
    await reply.end()


async def _read_piece(
    run: Run, pieces: AsyncIterator[bytes], has_first: bool
) -> bytes | None:
    """Return the next piece, ``None`` at the end.

    A silent server is given up only where another one can go on.
    """
    if not run.may_try_another:
        return await anext(pieces, None)
    route = run.request.route
    timeout_s = max(_GAP_MIN_S, _GAP_FACTOR * route.target_gap_s)
    if not has_first:
        timeout_s = max(timeout_s, _FIRST_EVENT_FACTOR * route.target_latency_s)
    with anyio.move_on_after(timeout_s) as scope:
        return await anext(pieces, None)
    if scope.cancelled_caught:
        message = f"{run.server_id} sent nothing for {timeout_s:.2f} s"
        raise ApricotliftError(Code.UPSTREAM_SILENT, message, Ran.MAYBE, Scope.UPSTREAM)
    return None


def _is_next(run: Run, event_id: str | None) -> bool:
    """Note an event's id; false for one that the client has."""
    if event_id is None:
        return True
    last = run.last_event_id
    is_numbered = last is not None and last.isdigit() and event_id.isdigit()
    if is_numbered and int(event_id) <= int(last):
        return False
    run.last_event_id = event_id
    return True
