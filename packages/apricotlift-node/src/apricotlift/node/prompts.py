"""HTTP handlers for prompts: start, repeat, resume, cancel."""

import json
import time
import uuid
from dataclasses import dataclass, replace

import anyio
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.core.hashing import digest
from apricotlift.node.attempts import (
    PromptCall,
    RetainedAttempt,
    build_cache_salt,
    build_request_key,
    run_prompt,
)
from apricotlift.node.httpmessages import (
    HttpRequest,
    PromptBody,
    Send,
    parse_prompt_body,
    read_body,
    send_json,
    send_start,
)
from apricotlift.node.identity import CallerIdentity
from apricotlift.node.placement import BYTES_PER_TOKEN, PromptPrefix
from apricotlift.node.runtime import Node
from apricotlift.node.streamlookup import find_recorded_stream, find_stream
from apricotlift.node.streams import StreamState
from apricotlift.state.declarations import Fleet
from apricotlift.state.prefixes import build_block_chain
from apricotlift.state.suspects import build_fingerprint
from apricotlift.upstreams.sse import format_event

MAX_REQUEST_ID_CHARACTERS = 128
PRIORITIES = {"interactive": 0, "batch": 1}


@dataclass(frozen=True)
class _ResponseRenderer:
    """Renders an answer as a text completion or as a chat completion."""

    stream_id: str
    model: str
    is_chat: bool
    created: int

    def render_chunk(self, text: str, finish_reason: str | None = None) -> str:
        """Return one streamed chunk as JSON."""
        reason = json.dumps(finish_reason)
        if self.is_chat:
            kind = "chat.completion.chunk"
            delta = {"content": text} if finish_reason is None else {}
            choice = f'"delta":{json.dumps(delta)}'
        else:
            kind = "text_completion"
            choice = f'"text":{json.dumps(text)},"logprobs":null'
        return (
            f'{{"id":{json.dumps(self.stream_id)},"object":"{kind}",'
            f'"created":{self.created},"model":{json.dumps(self.model)},'
            f'"choices":[{{"index":0,{choice},"finish_reason":{reason}}}]}}'
        )

    def build_response(self, stream: StreamState) -> dict:
        """Return the response body of an answer that isn't streamed."""
        choice: dict = {"index": 0, "finish_reason": stream.finish_reason}
        if self.is_chat:
            choice["message"] = {"role": "assistant", "content": stream.text}
        else:
            choice["text"] = stream.text
            choice["logprobs"] = None
        usage = stream.usage
        return {
            "id": self.stream_id,
            "object": "chat.completion" if self.is_chat else "text_completion",
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": usage.prompt_tokens + usage.completion_tokens,
                "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
            }
            if usage
            else None,
        }


async def handle_prompt(
    node: Node,
    identity: CallerIdentity,
    request: HttpRequest,
    send: Send,
    is_chat: bool,
) -> None:
    """Serve ``POST /v1/completions`` and ``POST /v1/chat/completions``."""
    content = await read_body(request, node.settings.border)
    body = parse_prompt_body(content, is_chat)
    request_id = read_request_id(request)
    offset = read_offset(request, request_id)
    call = _build_call(node, identity, request, body, request_id, is_chat)
    stream = node.streams.get(call.request_key)
    if stream is None and "x-request-id" in request.headers:
        # A request id chosen by the caller may repeat a request that another node
        # serves. The owners are always asked, the engines only if the caller sends an
        # offset.
        is_resumed = "last-event-id" in request.headers
        stream = await _adopt_stream(node, call, ask_engines=is_resumed)
    if stream is None:
        stream = _start_stream(node, call)
    elif stream.body_digest != call.body_digest:
        message = f"request id {request_id!r} was used with another body"
        raise ApricotliftError(Code.REQUEST_ID_REUSED, message)
    renderer = _ResponseRenderer(request_id, body.model, is_chat, int(time.time()))
    if body.stream:
        await _send_stream(node, stream, renderer, offset, request, send)
    else:
        await _send_complete(node, stream, renderer, request, send)


async def handle_resume(
    node: Node,
    identity: CallerIdentity,
    request: HttpRequest,
    send: Send,
    request_id: str,
) -> None:
    """Serve ``GET /v1/requests/{request id}/stream``."""
    offset = read_offset(request, request_id)
    stream = await _find_stream(node, identity, request_id)
    renderer = _ResponseRenderer(
        request_id, stream.model, "chat" in request.query, int(time.time())
    )
    await _send_stream(node, stream, renderer, offset, request, send)


async def handle_request_state(
    node: Node, identity: CallerIdentity, send: Send, request_id: str
) -> None:
    """Serve ``GET /v1/requests/{request id}``."""
    stream = await _find_stream(node, identity, request_id)
    state = "running"
    if stream.is_finished:
        state = "failed" if stream.error else "finished"
    data = {
        "request_id": request_id,
        "state": state,
        "model": stream.model,
        "n_characters": stream.n_characters,
        "finish_reason": stream.finish_reason,
    }
    await send_json(send, 200, data)


async def handle_cancel(
    node: Node, identity: CallerIdentity, send: Send, request_id: str
) -> None:
    """Serve ``DELETE /v1/requests/{request id}``."""
    stream = await _find_stream(node, identity, request_id)
    if not stream.is_finished:
        # The engine is told first, so that another node that reads the same attempt
        # sees the stream end as cancelled and not as failed.
        declared = node.get_snapshot().declarations.upstreams.get(stream.upstream)
        if declared is not None:
            await node.get_engine(declared).cancel(stream.attempt_id)
        stream.scope.cancel()
    await send_json(send, 200, {"request_id": request_id, "state": "cancelled"})


def read_request_id(request: HttpRequest) -> str:
    """Return the caller's request id, or a new one.

    :raises ApricotliftError: ``bad_request``.
    """
    request_id = request.headers.get("x-request-id")
    if request_id is None:
        return uuid.uuid4().hex
    printable = request_id.isascii() and request_id.isprintable()
    if not printable or not 0 < len(request_id) <= MAX_REQUEST_ID_CHARACTERS:
        message = (
            f"x-request-id must be 1 to {MAX_REQUEST_ID_CHARACTERS} printable "
            "ASCII characters"
        )
        raise ApricotliftError(Code.BAD_REQUEST, message)
    return request_id


def read_offset(request: HttpRequest, request_id: str) -> int:
    """Return the offset in ``Last-Event-ID``, 0 without this header.

    :raises ApricotliftError: ``bad_request`` if the header is malformed or names
        another request.
    """
    value = request.headers.get("last-event-id", "")
    if not value:
        return 0
    named, _, offset = value.rpartition(":")
    if named != request_id or not offset.isdigit():
        message = f"expected Last-Event-ID {request_id}:OFFSET, got {value!r}"
        raise ApricotliftError(Code.BAD_REQUEST, message)
    return int(offset)


def _build_call(
    node: Node,
    identity: CallerIdentity,
    request: HttpRequest,
    body: PromptBody,
    request_id: str,
    is_chat: bool,
) -> PromptCall:
    declarations = node.get_snapshot().declarations
    slot = node.resolve_slot(identity.account, body.model)
    prompt = body.build_prompt()
    stop = (body.stop,) if isinstance(body.stop, str) else tuple(body.stop or ())
    max_tokens = body.max_completion_tokens or body.max_tokens
    body_digest = digest(
        "body",
        int(is_chat),
        body.model,
        prompt,
        max_tokens,
        body.seed,
        str(body.temperature),
        *stop,
    ).hex()[:8]
    return PromptCall(
        identity,
        request_id,
        build_request_key(identity.account, request_id),
        body_digest,
        body.model,
        slot,
        prompt,
        max_tokens,
        build_cache_salt(node.settings.cluster.secret, identity.account, slot),
        clocks.monotonic() + _read_deadline_s(request, declarations.fleet),
        _build_prefix(identity, body, prompt, slot, declarations.fleet),
        _read_priority(request),
        body.seed,
        body.temperature,
        stop,
    )


def _read_deadline_s(request: HttpRequest, fleet) -> float:
    value = request.headers.get("x-deadline-ms")
    if value is None:
        return fleet.default_deadline_ms / 1000
    if not value.isdigit() or not 0 < int(value) <= fleet.default_deadline_ms:
        message = f"x-deadline-ms must be 1 to {fleet.default_deadline_ms}"
        raise ApricotliftError(Code.BAD_REQUEST, f"{message}, got {value!r}")
    return int(value) / 1000


def _read_priority(request: HttpRequest) -> int:
    value = request.headers.get("x-priority", "interactive")
    if value not in PRIORITIES:
        message = f"x-priority must be one of {', '.join(PRIORITIES)}, got {value!r}"
        raise ApricotliftError(Code.BAD_REQUEST, message)
    return PRIORITIES[value]


def _start_stream(
    node: Node, call: PromptCall, retained: RetainedAttempt | None = None
) -> StreamState:
    if retained is None:
        node.admit_request(call.identity)
    stream = StreamState(
        call.request_id,
        call.request_key,
        call.body_digest,
        call.identity.account,
        call.model,
        call.slot,
    )
    node.streams.add(stream)
    node.metrics.count("prompts_total")
    node.tasks.start_soon(run_prompt, node, call, stream, retained)
    return stream


async def _find_stream(
    node: Node, identity: CallerIdentity, request_id: str
) -> StreamState:
    """Return an answer that this node or an engine still holds.

    :raises ApricotliftError: ``stream_lost`` if none of them holds it.
    """
    request_key = build_request_key(identity.account, request_id)
    stream = node.streams.get(request_key)
    if stream is None:
        stream = await _adopt_stream(
            node, _build_resume_call(node, identity, request_id)
        )
    if stream is None:
        message = f"no answer is held for request {request_id!r}"
        raise ApricotliftError(Code.STREAM_LOST, message, Ran.MAYBE)
    return stream


async def _adopt_stream(
    node: Node, call: PromptCall, ask_engines: bool = True
) -> StreamState | None:
    """Take over a stream that another node started, if an engine still holds it.

    :param ask_engines: whether to ask the engines if the owners don't know the stream.
    :returns: ``None`` if no such stream is found.
    """
    found = await find_recorded_stream(node, call.request_key)
    if found is None and ask_engines:
        account = node.get_snapshot().declarations.accounts[call.identity.account]
        found = await find_stream(node, call.request_key, account.models)
    # Another connection of the same caller may have adopted the stream in the meantime.
    existing_stream = node.streams.get(call.request_key)
    if existing_stream is not None or found is None:
        return existing_stream
    if call.prompt and found.body_digest != call.body_digest:
        message = f"request id {call.request_id!r} was used with another body"
        raise ApricotliftError(Code.REQUEST_ID_REUSED, message)
    slot = found.retained.slot
    salt = build_cache_salt(node.settings.cluster.secret, call.identity.account, slot)
    call = replace(
        call,
        body_digest=found.body_digest,
        model=slot.partition("@")[0],
        slot=slot,
        cache_salt=salt,
    )
    node.metrics.count("adopted_streams_total")
    retained = RetainedAttempt(
        found.upstream, found.retained.attempt_id, found.attempt_number
    )
    stream = _start_stream(node, call, retained)
    stream.upstream = retained.upstream.name
    stream.attempt_id = retained.attempt_id
    return stream


def _build_resume_call(
    node: Node, identity: CallerIdentity, request_id: str
) -> PromptCall:
    deadline_ms = node.get_snapshot().declarations.fleet.default_deadline_ms
    request_key = build_request_key(identity.account, request_id)
    deadline = clocks.monotonic() + deadline_ms / 1000
    prefix = PromptPrefix(b"", (), b"", 0)
    return PromptCall(
        identity, request_id, request_key, "", "", "", "", 0, "", deadline, prefix
    )


def _build_prefix(
    identity: CallerIdentity, body: PromptBody, prompt: str, slot: str, fleet: Fleet
) -> PromptPrefix:
    chain = build_block_chain(identity.account, slot, prompt, fleet.piece_bytes)
    fields = body.model_dump(exclude={"stream"})
    fingerprint = bytes.fromhex(build_fingerprint(identity.account, body.model, fields))
    n_tokens = max(1, len(prompt.encode()) // BYTES_PER_TOKEN)
    return PromptPrefix(
        chain[0] if chain else fingerprint, chain, fingerprint, n_tokens
    )


async def _send_stream(
    node: Node,
    stream: StreamState,
    renderer: _ResponseRenderer,
    offset: int,
    request: HttpRequest,
    send: Send,
) -> None:
    started = clocks.monotonic()
    is_refused = False
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on_disconnect, request, tasks.cancel_scope)
        await stream.wait_started()
        is_refused = stream.error is not None and not stream.n_characters
        if not is_refused:
            node.metrics.observe("first_token_seconds", clocks.monotonic() - started)
            await _write_events(stream, renderer, offset, send)
        tasks.cancel_scope.cancel()
    # Raised here, because the task group would wrap the error in an exception group.
    if is_refused:
        raise stream.error


async def _write_events(
    stream: StreamState, renderer: _ResponseRenderer, offset: int, send: Send
) -> None:
    headers = {
        "content-type": "text/event-stream",
        "cache-control": "no-store",
        "x-request-id": renderer.stream_id,
        "x-attempt-id": stream.attempt_id,
    }
    await send_start(send, 200, headers)
    async for segments in stream.read(offset):
        text = "".join(segment.text for segment in segments)
        event_id = f"{renderer.stream_id}:{segments[-1].end}"
        data = format_event(renderer.render_chunk(text), event_id=event_id)
        await send({"type": "http.response.body", "body": data, "more_body": True})
    await send({"type": "http.response.body", "body": _render_end(stream, renderer)})


def _render_end(stream: StreamState, renderer: _ResponseRenderer) -> bytes:
    if stream.error is not None:
        body = json.dumps(stream.error.build_body(renderer.stream_id))
        return format_event(body, event="error")
    event_id = f"{renderer.stream_id}:{stream.n_characters}"
    last = renderer.render_chunk("", stream.finish_reason)
    return format_event(last, event_id=event_id) + format_event("[DONE]")


async def _send_complete(
    node: Node,
    stream: StreamState,
    renderer: _ResponseRenderer,
    request: HttpRequest,
    send: Send,
) -> None:
    is_failed = False
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on_disconnect, request, tasks.cancel_scope)
        async for _ in stream.read():
            pass
        is_failed = stream.error is not None
        if not is_failed:
            headers = {
                "x-request-id": renderer.stream_id,
                "x-attempt-id": stream.attempt_id,
            }
            await send_json(send, 200, renderer.build_response(stream), headers)
        tasks.cancel_scope.cancel()
    if is_failed:
        raise stream.error


async def _cancel_on_disconnect(request: HttpRequest, scope: anyio.CancelScope) -> None:
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return
