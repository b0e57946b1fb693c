"""Runs a prompt on engines until its answer is whole.

An attempt that breaks off is resumed at the same engine by offset. When the engine
has lost it, the next attempt continues on another engine from the text that is
already there, on the same slot, so one answer never mixes weight versions.
"""

from dataclasses import dataclass

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.hashing import digest
from apricotlift.node.runtime import Attempt, Node
from apricotlift.node.snapshot import Identity, Snapshot
from apricotlift.node.streams import StreamState
from apricotlift.state.declarations import Upstream
from apricotlift.upstreams.engine import EngineStream, GenerateCall, TextChunk, Usage
from apricotlift.upstreams.pool import Timeouts

MAX_ATTEMPTS = 3
MAX_RESUMES = 3
WATCH_INTERVAL_S = 0.5

#: Failures after which the same engine may still hold the stream.
_RESUMABLE = (
    Code.STREAM_BROKEN,
    Code.STREAM_GAP,
    Code.UPSTREAM_TIMEOUT,
    Code.FOREIGN_ATTEMPT,
    Code.UPSTREAM_PROTOCOL,
)
#: Failures after which another engine may do better.
_RETRYABLE = (
    *_RESUMABLE,
    Code.STREAM_LOST,
    Code.UPSTREAM_CONNECT,
    Code.UPSTREAM_CRASHED,
    Code.UPSTREAM_FULL,
    Code.UPSTREAM_DRAINING,
    Code.SLOT_NOT_LOADED,
    Code.WEIGHT_VERSION_MISMATCH,
)


@dataclass(frozen=True)
class PromptCall:
    """An admitted prompt, pinned to one slot.

    :param prompt: empty where a caller resumes without sending the prompt again.
    :param deadline: on the clock of :mod:`apricotlift.core.clocks`.
    """

    identity: Identity
    request_id: str
    request_key: str
    body_digest: str
    model: str
    slot: str
    prompt: str
    max_tokens: int
    cache_salt: str
    deadline: float
    priority: int = 0
    seed: int = 0
    temperature: float | None = None
    stop: tuple[str, ...] = ()


def build_request_key(account: str, request_id: str) -> str:
    """Return the name of a request that no other account can produce."""
    return digest("request", account, request_id).hex()[:24]


def build_cache_salt(secret: str, account: str, slot: str) -> str:
    """Return the salt that keeps an engine's prefix cache apart by account."""
    return digest("salt", secret, account, slot).hex()


def get_weight_version(slot: str) -> str:
    """Return the weight version that a slot's name pins.

    >>> get_weight_version("wax@v2+short")
    'v2'
    """
    return slot.partition("@")[2].partition("+")[0]


@dataclass(frozen=True)
class KeptAttempt:
    """An attempt that another node has started and an engine still holds."""

    upstream: Upstream
    attempt_id: str
    number: int


async def run_prompt(
    node: Node,
    call: PromptCall,
    stream: StreamState,
    kept: KeptAttempt | None = None,
) -> None:
    """Run a prompt and fill its stream; never raises.

    :param kept: an attempt to follow first, before any new one is made.
    """
    started = clocks.monotonic()
    try:
        timeout_s = max(0.0, call.deadline - clocks.monotonic())
        with stream.scope, anyio.move_on_after(timeout_s) as deadline_scope:
            await _run_attempts(node, call, stream, kept)
        if stream.scope.cancelled_caught:
            raise ApricotliftError(Code.CANCELLED, "cancelled by its caller", Ran.YES)
        if deadline_scope.cancelled_caught:
            raise ApricotliftError(
                Code.DEADLINE_EXCEEDED, "the deadline has passed", Ran.MAYBE
            )
    except ApricotliftError as error:
        node.metrics.count("failed_answers_total", code=error.code)
        stream.fail(error)
    except Exception:
        logs.log_exception("prompt_failed", request_id=call.request_id)
        node.metrics.count("failed_answers_total", code=Code.INTERNAL)
        stream.fail(ApricotliftError(Code.INTERNAL, "internal error", Ran.MAYBE))
    finally:
        if not stream.is_finished:
            error = ApricotliftError(Code.STOPPING, "the node stops", Ran.MAYBE)
            stream.fail(error)
        logs.log(
            logs.INFO,
            "prompt_ended",
            request_id=call.request_id,
            account=call.identity.account,
            attempt=stream.attempt_id,
            upstream=stream.upstream,
            code=stream.error.code if stream.error else "ok",
            n_characters=stream.n_characters,
            seconds=round(clocks.monotonic() - started, 4),
        )


async def _run_attempts(
    node: Node, call: PromptCall, stream: StreamState, kept: KeptAttempt | None
) -> None:
    tried: set[str] = set()
    number = 0
    if kept is not None:
        number = kept.number
        if await _follow_kept(node, call, stream, kept):
            return
    first = number + 1
    while True:
        number += 1
        upstream = choose_engine(node, call, tried)
        tried.add(upstream.name)
        attempt_id = f"{call.request_key}.{call.body_digest}.{number}"
        try:
            await _run_on_engine(node, call, stream, upstream, attempt_id)
            return
        except ApricotliftError as error:
            if error.code not in _RETRYABLE or number - first + 1 >= MAX_ATTEMPTS:
                raise
            node.metrics.count("retries_total", reason=error.code, kind="attempt")
            logs.log(
                logs.WARNING,
                "attempt_failed",
                request_id=call.request_id,
                account=call.identity.account,
                attempt=attempt_id,
                upstream=upstream.name,
                code=error.code,
                message=error.message,
            )


async def _follow_kept(
    node: Node, call: PromptCall, stream: StreamState, kept: KeptAttempt
) -> bool:
    """Follow another node's attempt; return whether the answer is whole.

    :raises ApricotliftError: when it breaks off and there is no prompt to go on with.
    """
    stream.attempt_id = kept.attempt_id
    stream.upstream = kept.upstream.name
    engine = node.get_engine(kept.upstream)
    timeouts = Timeouts(read_s=node.settings.streams.first_token_timeout_s)
    for _ in range(MAX_RESUMES):
        opened = engine.resume(kept.attempt_id, stream.n_characters, timeouts)
        try:
            await _follow(node, stream, kept.upstream, kept.attempt_id, opened)
            return True
        except ApricotliftError as error:
            node.metrics.count("retries_total", reason=error.code, kind="resume")
            if error.code not in _RESUMABLE:
                if not call.prompt:
                    raise
                return False
    if not call.prompt:
        message = "the stream broke off and its prompt is not known here"
        raise ApricotliftError(Code.STREAM_LOST, message, Ran.MAYBE)
    return False


def choose_engine(node: Node, call: PromptCall, tried: set[str]) -> Upstream:
    """Return the engine with the fewest attempts of this node in flight.

    :raises ApricotliftError: ``no_upstream``.
    """
    snapshot = node.get_snapshot()
    candidates = [
        upstream
        for upstream in list_engines(snapshot, call.model)
        if upstream.name not in tried
    ]
    if not candidates:
        message = f"no engine left for {call.slot}; tried {sorted(tried)}"
        ran = Ran.MAYBE if tried else Ran.NO
        raise ApricotliftError(
            Code.NO_UPSTREAM, message, ran, Scope.FLEET, retry_after_s=1.0
        )
    return min(candidates, key=lambda item: node.in_flight.get(item.name, 0))


def list_engines(snapshot: Snapshot, model: str) -> list[Upstream]:
    """Return the engines that serve a model and take new work."""
    return [
        upstream
        for upstream in snapshot.declarations.upstreams.values()
        if upstream.kind == "engine" and model in upstream.models and not upstream.drain
    ]


async def _run_on_engine(
    node: Node,
    call: PromptCall,
    stream: StreamState,
    upstream: Upstream,
    attempt_id: str,
) -> None:
    engine = node.get_engine(upstream)
    stream.attempt_id = attempt_id
    stream.upstream = upstream.name
    timeouts = Timeouts(read_s=node.settings.streams.first_token_timeout_s)
    generate_call = GenerateCall(
        attempt_id,
        call.slot,
        call.prompt,
        call.max_tokens,
        call.cache_salt,
        call.priority,
        call.seed,
        continue_text=stream.text,
        temperature=call.temperature,
        stop=call.stop,
    )
    node.in_flight[upstream.name] = node.in_flight.get(upstream.name, 0) + 1
    n_resumes = 0
    try:
        while True:
            if n_resumes == 0:
                opened = engine.generate(generate_call, timeouts)
            else:
                opened = engine.resume(attempt_id, stream.n_characters, timeouts)
            try:
                await _follow(node, stream, upstream, attempt_id, opened)
                return
            except ApricotliftError as error:
                if error.code not in _RESUMABLE or n_resumes >= MAX_RESUMES:
                    raise
                n_resumes += 1
                node.metrics.count("retries_total", reason=error.code, kind="resume")
    finally:
        node.in_flight[upstream.name] -= 1


async def _follow(
    node: Node, stream: StreamState, upstream: Upstream, attempt_id: str, opened
) -> None:
    """Read one engine stream to its end."""
    with anyio.CancelScope() as scope:
        attempt = Attempt(attempt_id, upstream.name, scope, clocks.monotonic())
        node.attempts[attempt_id] = attempt
        try:
            async with opened as engine_stream:
                _check_version(engine_stream, stream.slot)
                await _read(stream, engine_stream, attempt)
        finally:
            del node.attempts[attempt_id]
    if attempt.stalled:
        message = f"upstream {upstream.name} sent nothing for too long"
        raise ApricotliftError(
            Code.UPSTREAM_TIMEOUT, message, Ran.MAYBE, Scope.UPSTREAM
        )


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
