"""Reads one engine stream into an answer, and ends streams that stall."""

import anyio
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.node.runtime import Attempt, Node
from apricotlift.node.streams import StreamState
from apricotlift.state.declarations import Upstream
from apricotlift.upstreams.engine import EngineStream, TextChunk, Usage

WATCH_INTERVAL_S = 0.5

#: Failures after which the same engine may still hold the stream.
RESUMABLE = (
    Code.STREAM_BROKEN,
    Code.STREAM_GAP,
    Code.UPSTREAM_TIMEOUT,
    Code.FOREIGN_ATTEMPT,
    Code.UPSTREAM_PROTOCOL,
)


def get_weight_version(slot: str) -> str:
    """Return the weight version that a slot's name pins.

    >>> get_weight_version("wax@v2+short")
    'v2'
    """
    return slot.partition("@")[2].partition("+")[0]


async def follow(
    node: Node, stream: StreamState, upstream: Upstream, attempt_id: str, opened
) -> None:
    """Read one engine stream to its end.

    :param opened: context manager that yields the stream.
    :raises ApricotliftError: when the answer isn't whole afterwards.
    """
    with anyio.CancelScope() as scope:
        attempt = Attempt(attempt_id, upstream.name, scope, clocks.monotonic())
        node.attempts[attempt_id] = attempt
        try:
            async with opened as engine_stream:
                _check_version(engine_stream, stream.slot)
                stream.boot_id = engine_stream.boot_id
                node.probes.get_state(upstream.name).see_boot(engine_stream.boot_id)
                node.probes.note_state(upstream.name, engine_stream.engine_state)
                await _read(stream, engine_stream, attempt)
        finally:
            del node.attempts[attempt_id]
    if attempt.stalled:
        message = f"upstream {upstream.name} sent nothing for too long"
        raise ApricotliftError(
            Code.UPSTREAM_TIMEOUT, message, Ran.MAYBE, Scope.UPSTREAM
        )


async def watch_attempts(node: Node) -> None:
    """End attempts whose engine has been silent for too long.

    One task for all attempts costs less than a timer for every token.
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
            if now - attempt.progress_at > limit_s:
                attempt.stalled = True
                attempt.scope.cancel()
        node.streams.drop_expired(now)


async def _read(
    stream: StreamState, engine_stream: EngineStream, attempt: Attempt
) -> None:
    finish_reason: str | None = None
    usage: Usage | None = None
    async for chunks in engine_stream.iterate():
        attempt.progress_at = clocks.monotonic()
        for chunk in chunks:
            _append(stream, chunk)
            finish_reason = chunk.finish_reason or finish_reason
            usage = chunk.usage or usage
        attempt.has_text = True
        if engine_stream.is_done and finish_reason is not None:
            # The engine may close the connection a little later; the caller
            # doesn't wait for that.
            stream.finish(finish_reason, usage)
    if stream.is_finished:
        return
    if finish_reason is None:
        raise ApricotliftError(
            Code.STREAM_BROKEN, "end mark without a finish reason", Ran.MAYBE
        )
    stream.finish(finish_reason, usage)


def _append(stream: StreamState, chunk: TextChunk) -> None:
    """Add a chunk; what was sent before is dropped, a gap is refused."""
    n_known = stream.n_characters
    if chunk.offset > n_known:
        message = f"stream jumps from character {n_known} to {chunk.offset}"
        raise ApricotliftError(Code.STREAM_GAP, message, Ran.MAYBE, Scope.UPSTREAM)
    stream.append(chunk.text[n_known - chunk.offset :])


def _check_version(engine_stream: EngineStream, slot: str) -> None:
    wanted = get_weight_version(slot)
    if engine_stream.weight_version != wanted:
        message = f"answer by version {engine_stream.weight_version!r}, not {wanted!r}"
        raise ApricotliftError(
            Code.WEIGHT_VERSION_MISMATCH, message, Ran.MAYBE, Scope.UPSTREAM
        )
