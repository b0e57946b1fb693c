"""Client of a model engine: OpenAI-compatible completions with extensions.

The engine names the attempt in its response headers and in every event, and states the
character offset of each text. The client checks the attempt ids, and its caller the
offsets, so that a response that is late or belongs to another request never reaches
another caller. Other calls carry an ``x-call-id`` header, and a response that echoes
another call's id is refused.
"""

import json
import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.upstreams.pool import Pool, Response, ResponseStream, Timeouts
from apricotlift.upstreams.sse import Event, EventParser

DONE = "[DONE]"
CONTROL_TIMEOUTS = Timeouts(connect_s=1.0, read_s=2.0, write_s=2.0)
_MAX_ERROR_BYTES = 65_536
_MAX_BODY_BYTES = 4_194_304

# A connection can be reused only if its response was read to the end, which normally
# follows directly after the end mark. This limits how long the caller waits when an
# engine leaves the response open.
_DRAIN_TIMEOUT_S = 0.05


@dataclass(frozen=True)
class GenerateCall:
    """One attempt to run a prompt.

    :param slot: name under which the engine has loaded the weight version that the
        request is pinned to.
    :param continue_text: text that an earlier attempt has already generated.
    """

    attempt_id: str
    slot: str
    prompt: str
    max_tokens: int
    cache_salt: str
    priority: int = 0
    seed: int = 0
    prefix_blocks: tuple[str, ...] = ()
    continue_text: str = ""
    temperature: float | None = None
    stop: tuple[str, ...] = ()


@dataclass(frozen=True)
class Usage:
    """Token counts that the engine reports with the last event."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True)
class TextChunk:
    """Generated text and its offset in the whole answer, in characters."""

    offset: int
    text: str
    finish_reason: str | None = None
    usage: Usage | None = None


@dataclass
class EngineStream:
    """An open event stream of an engine."""

    attempt_id: str
    boot_id: str
    weight_version: str
    engine_state: str
    response: ResponseStream
    metrics: Metrics
    is_done: bool = False
    _parser: EventParser = field(default_factory=EventParser)

    async def iterate(self) -> AsyncIterator[list[TextChunk]]:
        """Yield lists of the chunks that arrived together, until the end mark.

        :raises ApricotliftError: ``stream_broken`` when the stream ends without
            an end mark, ``upstream_protocol`` when an event can't be decoded.
        """
        pieces = self.response.iterate()
        async for data in pieces:
            chunks = []
            for event in self._parser.feed(data):
                if event.data == DONE:
                    self.is_done = True
                    break
                chunk = self._decode_chunk(event)
                if chunk is not None:
                    chunks.append(chunk)
            if chunks:
                yield chunks
            if self.is_done:
                await _drain(pieces)
                return
        raise ApricotliftError(
            Code.STREAM_BROKEN,
            "stream ended without the end mark [DONE]",
            Ran.MAYBE,
            Scope.UPSTREAM,
        )

    def _decode_chunk(self, event: Event) -> TextChunk | None:
        try:
            data = json.loads(event.data)
            attempt_id = data["attempt_id"]
            choice = data["choices"][0]
            usage = data.get("usage")
            chunk = TextChunk(
                int(data["offset"]),
                str(choice["text"]),
                choice.get("finish_reason"),
                Usage(**usage) if usage else None,
            )
        except (ValueError, KeyError, IndexError, TypeError) as error:
            message = f"can't decode an event from the engine: {type(error).__name__}"
            raise ApricotliftError(
                Code.UPSTREAM_PROTOCOL, message, Ran.MAYBE, Scope.UPSTREAM
            ) from error
        if attempt_id != self.attempt_id:
            self.metrics.count("dropped_events_total", reason=Code.FOREIGN_ATTEMPT)
            return None
        return chunk


async def _drain(pieces: AsyncIterator[bytes]) -> None:
    with anyio.move_on_after(_DRAIN_TIMEOUT_S):
        try:
            async for _ in pieces:
                pass
        except ApricotliftError:
            # The text is complete, so only the reuse of the connection is lost.
            return


@dataclass(frozen=True)
class RetainedStream:
    """A stream that an engine still retains for resumption."""

    attempt_id: str
    slot: str
    n_characters: int
    finished: bool


@dataclass(frozen=True)
class EngineHealth:
    """The response to ``GET /health``.

    :param slots: weight version by slot.
    :param running: number of attempts by slot, waiting ones included; without the
        slots for which the engine doesn't report it.
    :param loading: slots whose weights are being loaded, ``None`` when the engine
        doesn't report them.
    """

    boot_id: str
    state: str
    role: str
    slots: dict[str, str]
    running: dict[str, int] = field(default_factory=dict)
    loading: frozenset[str] | None = None


@dataclass(frozen=True)
class EngineLoad:
    """The response to ``GET /load``, which is out of date by an unknown time.

    :param as_of_ms: the engine's wall clock in ms when the values were measured.
    """

    boot_id: str
    running: int
    waiting: int
    waiting_prompt_tokens: int
    kv_blocks_used: int
    kv_blocks_total: int
    as_of_ms: int


class EngineClient:
    """Client of one engine."""

    def __init__(
        self, name: str, address: str, pool: Pool, metrics: Metrics, tls: bool = False
    ):
        self.name = name
        self.address = address
        self._base = f"{'https' if tls else 'http'}://{address}"
        self._pool = pool
        self._metrics = metrics

    @asynccontextmanager
    async def generate(
        self, call: GenerateCall, timeouts: Timeouts
    ) -> AsyncIterator[EngineStream]:
        """Start an attempt and yield its stream.

        :raises ApricotliftError: with ``ran`` telling whether the attempt ran, as far
            as it is known.
        """
        data = {
            "model": call.slot,
            "prompt": call.prompt,
            "max_tokens": call.max_tokens,
            "stream": True,
            "priority": call.priority,
            "cache_salt": call.cache_salt,
            "request_id": call.attempt_id,
            "seed": call.seed,
            "prefix_blocks": list(call.prefix_blocks),
            "continue_text": call.continue_text,
        }
        if call.temperature is not None:
            data["temperature"] = call.temperature
        if call.stop:
            data["stop"] = list(call.stop)
        url = f"{self._base}/v1/completions"
        headers = {"content-type": "application/json"}
        body = json.dumps(data).encode()
        async with self._pool.stream("POST", url, headers, body, timeouts) as response:
            yield await self._check_stream(response, call.attempt_id)

    @asynccontextmanager
    async def resume(
        self, attempt_id: str, offset: int, timeouts: Timeouts
    ) -> AsyncIterator[EngineStream]:
        """Yield the rest of an attempt's stream.

        :param offset: number of characters that the caller already has.
        """
        url = f"{self._base}/v1/streams/{attempt_id}?offset={offset}"
        async with self._pool.stream("GET", url, timeouts=timeouts) as response:
            yield await self._check_stream(response, attempt_id)

    async def cancel(self, attempt_id: str) -> None:
        """Stop an attempt; an engine ignores unknown ids."""
        await self.call("DELETE", f"/v1/streams/{attempt_id}")

    async def find_streams(self, request_key: str) -> list[RetainedStream]:
        """Return the streams of one request that the engine still retains.

        :param request_key: common prefix of the ids of the request's attempts.
        """
        path = f"/v1/streams?prefix={request_key}"
        data = decode_json_object(await self.call("GET", path))
        try:
            return [RetainedStream(**item) for item in data["streams"]]
        except (KeyError, TypeError) as error:
            raise build_body_error(path) from error

    async def get_health(self) -> EngineHealth:
        """Return the engine's state and loaded slots."""
        data = decode_json_object(await self.call("GET", "/health"))
        try:
            slots = {
                name: str(item["weight_version"])
                for name, item in data["slots"].items()
            }
            running = {
                name: int(item["running"])
                for name, item in data["slots"].items()
                if "running" in item
            }
            loading = frozenset(data["loading"]) if "loading" in data else None
            return EngineHealth(
                str(data["boot_id"]),
                str(data["state"]),
                str(data["role"]),
                slots,
                running,
                loading,
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise build_body_error("/health") from error

    async def get_load(self) -> EngineLoad:
        """Return the engine's load report."""
        data = decode_json_object(await self.call("GET", "/load"))
        try:
            return EngineLoad(**data)
        except TypeError as error:
            raise build_body_error("/load") from error

    async def call(
        self,
        method: str,
        path: str,
        data: object = None,
        timeouts: Timeouts = CONTROL_TIMEOUTS,
    ) -> Response:
        """Send a control call and check that the response belongs to it.

        :param path: path and query.
        :param data: value to send as JSON, ``None`` for no body.
        :raises ApricotliftError: ``foreign_attempt`` for the response to another call,
            or a transport failure.
        """
        call_id = secrets.token_hex(8)
        headers = {"x-call-id": call_id, "content-type": "application/json"}
        body = b"" if data is None else json.dumps(data).encode()
        response = await self._pool.request(
            method, self._base + path, headers, body, timeouts, _MAX_BODY_BYTES
        )
        # Engines without this extension don't echo the header.
        if response.headers.get("x-call-id", call_id) != call_id:
            raise self._build_foreign_error("call")
        return response

    async def _check_stream(
        self, response: ResponseStream, attempt_id: str
    ) -> EngineStream:
        headers = response.headers
        echoed = headers.get("x-attempt-id")
        is_refusal = response.status != 200
        # A refusal is reported as "not run". If it belongs to another attempt, this
        # one may be running, so its id is checked as well.
        if echoed != attempt_id and not (is_refusal and echoed is None):
            raise self._build_foreign_error("attempt")
        if is_refusal:
            refusal = await _decode_refusal(response, self.name)
            if echoed is None and refusal.ran is Ran.NO:
                message = f"{refusal.message}, without the id of the attempt"
                raise ApricotliftError(
                    Code.UPSTREAM_PROTOCOL, message, Ran.MAYBE, Scope.UPSTREAM
                )
            raise refusal
        return EngineStream(
            attempt_id,
            headers.get("x-boot-id", ""),
            headers.get("x-weight-version", ""),
            headers.get("x-engine-state", "serving"),
            response,
            self._metrics,
        )

    def _build_foreign_error(self, what: str) -> ApricotliftError:
        self._metrics.count("dropped_answers_total", reason=Code.FOREIGN_ATTEMPT)
        message = f"upstream {self.name} sent the response to another {what}"
        return ApricotliftError(
            Code.FOREIGN_ATTEMPT, message, Ran.MAYBE, Scope.UPSTREAM
        )


async def _decode_refusal(response: ResponseStream, name: str) -> ApricotliftError:
    body = await response.read(_MAX_ERROR_BYTES)
    try:
        code = json.loads(body)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        code = ""
    message = f"upstream {name} answered with status {response.status} {code}".rstrip()
    by_code = {
        "model_not_found": Code.SLOT_NOT_LOADED,
        "draining": Code.UPSTREAM_DRAINING,
        "full": Code.UPSTREAM_FULL,
        "stream_not_found": Code.STREAM_LOST,
    }
    if code == "cancelled":
        return ApricotliftError(Code.CANCELLED, message, Ran.YES)
    known = by_code.get(code)
    if code == "attempt_exists":
        # The engine already has the attempt, so an earlier copy of this call arrived.
        return ApricotliftError(
            Code.UPSTREAM_REFUSED, message, Ran.MAYBE, Scope.REQUEST
        )
    if known is not None:
        ran = Ran.MAYBE if known is Code.STREAM_LOST else Ran.NO
        return ApricotliftError(known, message, ran, Scope.UPSTREAM)
    if response.status < 500:
        return ApricotliftError(Code.UPSTREAM_REFUSED, message, Ran.NO, Scope.REQUEST)
    return ApricotliftError(Code.UPSTREAM_REFUSED, message, Ran.MAYBE, Scope.UPSTREAM)


def decode_json_object(response: Response) -> dict:
    """Return the JSON object in the body of a response.

    :raises ApricotliftError: ``upstream_refused`` for a status other than 200,
        ``upstream_protocol`` for a body that isn't a JSON object.
    """
    if response.status != 200:
        message = f"upstream answered with status {response.status}, expected 200"
        raise ApricotliftError(Code.UPSTREAM_REFUSED, message, Ran.NO, Scope.UPSTREAM)
    try:
        data = json.loads(response.body)
    except ValueError as error:
        raise build_body_error("response") from error
    if not isinstance(data, dict):
        raise build_body_error("response")
    return data


def build_body_error(what: str) -> ApricotliftError:
    """Return the error for a response body that can't be decoded.

    :param what: path of the call, or another name for the response.
    """
    message = f"can't decode the response body of {what}"
    return ApricotliftError(Code.UPSTREAM_PROTOCOL, message, Ran.NO, Scope.UPSTREAM)
