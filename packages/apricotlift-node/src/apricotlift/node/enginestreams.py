"""Reads engine streams into answers, and cancels attempts that stall."""

import anyio
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.node.runtime import Attempt, Node
from apricotlift.node.streams import StreamState
from apricotlift.state.declarations import Upstream
from apricotlift.upstreams.engine import EngineStream, TextChunk, Usage

WATCH_INTERVAL_S = 0.5

#: Failures after which the same engine may still hold the stream, so that a resume may
#: succeed.
RESUMABLE_CODES = (
    Code.STREAM_BROKEN,
    Code.STREAM_GAP,
    Code.UPSTREAM_TIMEOUT,
    Code.FOREIGN_ATTEMPT,
    Code.UPSTREAM_PROTOCOL,
)


def get_weight_version(slot: str) -> str:
    """Return the weight version in a slot's name.

    >>> get_weight_version("wax@v2+short")
    'v2'
    """
    return slot.partition("@")[2].partition("+")[0]


async def read_engine_stream(
    node: Node, stream: StreamState, upstream: Upstream, attempt_id: str, stream_context
) -> None:
    """Read one engine stream to its end and append its text to an answer.

    :param stream_context: asynchronous context manager that yields the engine stream.
    :raises ApricotliftError: if the answer isn't complete afterwards.
    """
    with anyio.CancelScope() as scope:
        attempt = Attempt(attempt_id, upstream.name, scope, clocks.monotonic())
        node.attempts[attempt_id] = attempt
        try:
            async with stream_context as engine_stream:
                _check_weight_version(engine_stream, stream.slot)
                stream.boot_id = engine_stream.boot_id
                node.probes.get_state(upstream.name).update_boot_id(
                    engine_stream.boot_id
                )
                node.probes.update_reported_state(
                    upstream.name, engine_stream.engine_state
                )
                await _read_chunks(stream, engine_stream, attempt)
        finally:
            del node.attempts[attempt_id]
    if attempt.is_stalled:
        message = f"no data from upstream {upstream.name} within its timeout"
        raise ApricotliftError(
            Code.UPSTREAM_TIMEOUT, message, Ran.MAYBE, Scope.UPSTREAM
        )


async def cancel_stalled_attempts(node: Node) -> None:
    """Cancel attempts whose engine has sent nothing within the timeout.

    The first text of an attempt has a timeout of its own. One task for all attempts
    costs less than a timer for every token. The task also removes answers whose
    retention has passed.
    """
    limits = node.settings.streams
    while True:
        await anyio.sleep(WATCH_INTERVAL_S)
        now = clocks.monotonic()
        for attempt in list(node.attempts.values()):
            limit_s = (
                limits.token_timeout_s
                if attempt.has_text
                else limits.first_token_timeout_s
            )
            if now - attempt.last_progress_at > limit_s:
                attempt.is_stalled = True
                attempt.scope.cancel()
        node.streams.drop_expired(now)


async def _read_chunks(
    stream: StreamState, engine_stream: EngineStream, attempt: Attempt
) -> None:
    finish_reason: str | None = None
    usage: Usage | None = None
    async for chunks in engine_stream.iterate():
        attempt.last_progress_at = clocks.monotonic()
        for chunk in chunks:
            _append_chunk(stream, chunk)
            finish_reason = chunk.finish_reason or finish_reason
            usage = chunk.usage or usage
        attempt.has_text = True
        if engine_stream.is_done and finish_reason is not None:
            # The engine may close the connection a little later. The answer is finished
            # here, so that the caller doesn't wait for that.
            stream.finish(finish_reason, usage)
    if stream.is_finished:
        return
    if finish_reason is None:
        raise ApricotliftError(
            Code.STREAM_BROKEN, "engine stream ended without a finish reason", Ran.MAYBE
        )
    stream.finish(finish_reason, usage)


def _append_chunk(stream: StreamState, chunk: TextChunk) -> None:
    """Append the new text of a chunk.

    :raises ApricotliftError: ``stream_gap`` if text before the chunk is missing.
    """
    n_known = stream.n_characters
    if chunk.offset > n_known:
        message = f"chunk at character {chunk.offset}, expected at most {n_known}"
        raise ApricotliftError(Code.STREAM_GAP, message, Ran.MAYBE, Scope.UPSTREAM)
    stream.append(chunk.text[n_known - chunk.offset :])


def _check_weight_version(engine_stream: EngineStream, slot: str) -> None:
    expected_version = get_weight_version(slot)
    if engine_stream.weight_version != expected_version:
        message = (
            f"answer by weight version {engine_stream.weight_version!r}, "
            f"expected {expected_version!r}"
        )
        raise ApricotliftError(
            Code.WEIGHT_VERSION_MISMATCH, message, Ran.MAYBE, Scope.UPSTREAM
        )
