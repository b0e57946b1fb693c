"""Stand-in for a model engine.

Generates text that is a function of the prompt and the seed, so that a checker can
tell whether an answer is whole and whose it is. Run as
``python -m standins.engine --name e1 --slots wax@v1``.
"""

import hashlib
import json
import random
import uuid
from dataclasses import dataclass, field

import anyio
import defopt
from apricotlift.core import logs

from standins.http import Reply, Request, Streaming, bind, build_app, build_json_reply
from standins.http import serve as serve_http

_WORDS = ("wax", "fold", "chain", "sheet", "dust", "map", "rain", "north", "link")


def build_answer(prompt: str, seed: int, n_tokens: int) -> list[str]:
    """Return the tokens of the answer to a prompt.

    The first token carries a digest of the prompt, so that a crossed answer shows.
    """
    head = hashlib.sha256(prompt.encode()).hexdigest()[:12]
    source = random.Random(f"{head}.{seed}")
    tokens = [f"[{head}]"]
    tokens += [f" {source.choice(_WORDS)}" for _ in range(n_tokens - 1)]
    return tokens[:n_tokens]


@dataclass
class Stream:
    """An attempt, running or finished."""

    attempt_id: str
    slot: str
    weight_version: str
    prompt: str
    text: str = ""
    n_tokens: int = 0
    finished: bool = False
    cancelled: bool = False
    changed: anyio.Event = field(default_factory=anyio.Event)

    def append(self, token: str) -> None:
        """Add a token and wake the readers."""
        self.text += token
        self.n_tokens += 1
        self.wake()

    def wake(self) -> None:
        """Wake the readers."""
        self.changed.set()
        self.changed = anyio.Event()


@dataclass
class Faults:
    """Faults that ``POST /faults`` switches.

    :param break_after: close each new stream after so many tokens; 0 is off.
    """

    break_after: int = 0
    foreign_events: bool = False
    wrong_version: bool = False
    state: str = "serving"
    token_s: float | None = None


@dataclass
class Engine:
    """The state of one engine process."""

    name: str
    slots: dict[str, str]
    token_s: float
    prefill_s_per_token: float
    boot_id: str = field(default_factory=lambda: uuid.uuid4().hex)
    streams: dict[str, Stream] = field(default_factory=dict)
    faults: Faults = field(default_factory=Faults)
    ran: list[dict] = field(default_factory=list)


async def handle(engine: Engine, tasks, request: Request, out: Streaming):
    """Answer one request."""
    path = request.path
    if path == "/v1/completions":
        return await _complete(engine, tasks, request, out)
    if path == "/v1/streams":
        return _find_streams(engine, request.query.get("prefix", ""))
    if path.startswith("/v1/streams/"):
        return await _stream(engine, request, out)
    if path == "/health":
        slots = {
            slot: {"model": slot.split("@")[0], "weight_version": version}
            for slot, version in engine.slots.items()
        }
        return build_json_reply(
            {
                "boot_id": engine.boot_id,
                "state": engine.faults.state,
                "role": "mixed",
                "slots": slots,
            }
        )
    if path == "/load":
        running = sum(not stream.finished for stream in engine.streams.values())
        return build_json_reply(
            {
                "boot_id": engine.boot_id,
                "running": running,
                "waiting": 0,
                "waiting_prompt_tokens": 0,
                "kv_blocks_used": 0,
                "kv_blocks_total": 1000,
                "as_of_ms": 0,
            }
        )
    if path == "/faults":
        engine.faults = Faults(**request.read_json())
        return build_json_reply({})
    if path == "/truth":
        return build_json_reply({"ran": engine.ran})
    return _refuse(404, "not_found")


async def _complete(engine: Engine, tasks, request: Request, out: Streaming):
    data = request.read_json()
    slot = data["model"]
    if slot not in engine.slots:
        return _refuse(404, "model_not_found")
    if engine.faults.state != "serving":
        return _refuse(503, "draining")
    attempt_id = data["request_id"]
    version = "other" if engine.faults.wrong_version else engine.slots[slot]
    continued = data.get("continue_text", "")
    stream = Stream(attempt_id, slot, version, data["prompt"], continued)
    engine.streams[attempt_id] = stream
    engine.ran.append(
        {"attempt_id": attempt_id, "slot": slot, "salt": data["cache_salt"]}
    )
    tasks.start_soon(_generate, engine, stream, data)
    return await _send_stream(engine, stream, len(continued), out)


async def _generate(engine: Engine, stream: Stream, data: dict) -> None:
    n_prompt_tokens = len(stream.prompt.encode()) // 4
    await anyio.sleep(n_prompt_tokens * engine.prefill_s_per_token)
    tokens = build_answer(stream.prompt, data.get("seed", 0), data["max_tokens"])
    n_done = _count_done(tokens, stream.text)
    for token in tokens[n_done:]:
        token_s = engine.faults.token_s
        await anyio.sleep(engine.token_s if token_s is None else token_s)
        if stream.cancelled:
            return
        stream.append(token)
    stream.finished = True
    stream.wake()


def _count_done(tokens: list[str], text: str) -> int:
    n_characters = 0
    for index, token in enumerate(tokens):
        if n_characters >= len(text):
            return index
        n_characters += len(token)
    return len(tokens)


async def _stream(engine: Engine, request: Request, out: Streaming):
    attempt_id = request.path.rpartition("/")[2]
    stream = engine.streams.get(attempt_id)
    if stream is None:
        return _refuse(404, "stream_not_found")
    if request.method == "DELETE":
        stream.cancelled = True
        stream.wake()
        return build_json_reply({})
    return await _send_stream(engine, stream, int(request.query["offset"]), out)


def _find_streams(engine: Engine, prefix: str) -> Reply:
    streams = [
        {
            "attempt_id": stream.attempt_id,
            "slot": stream.slot,
            "n_characters": len(stream.text),
            "finished": stream.finished,
        }
        for stream in engine.streams.values()
        if stream.attempt_id.startswith(prefix) and not stream.cancelled
    ]
    return build_json_reply({"streams": streams})


async def _send_stream(engine: Engine, stream: Stream, offset: int, out: Streaming):
    await out.start(
        200,
        {
            "content-type": "text/event-stream",
            "x-boot-id": engine.boot_id,
            "x-weight-version": stream.weight_version,
            "x-attempt-id": stream.attempt_id,
            "x-engine-state": engine.faults.state,
        },
    )
    n_events = 0
    while not stream.cancelled:
        changed = stream.changed
        if len(stream.text) > offset:
            text = stream.text[offset:]
            if engine.faults.foreign_events:
                await out.write(_format("0" * 24, offset, "not yours", None, None))
            await out.write(_format(stream.attempt_id, offset, text, None, None))
            offset = len(stream.text)
            n_events += 1
            if engine.faults.break_after and n_events >= engine.faults.break_after:
                raise ConnectionResetError("the stream is broken on purpose")
            continue
        if stream.finished:
            usage = {
                "prompt_tokens": len(stream.prompt.encode()) // 4,
                "completion_tokens": stream.n_tokens,
                "cached_tokens": 0,
            }
            await out.write(_format(stream.attempt_id, offset, "", "stop", usage))
            await out.write(b"data: [DONE]\n\n")
            break
        await changed.wait()
    await out.finish()


def _format(attempt_id, offset, text, finish_reason, usage) -> bytes:
    data = {
        "attempt_id": attempt_id,
        "offset": offset,
        "choices": [{"index": 0, "text": text, "finish_reason": finish_reason}],
        "usage": usage,
    }
    return f"data: {json.dumps(data)}\n\n".encode()


def _refuse(status: int, code: str) -> Reply:
    return build_json_reply({"error": {"code": code}}, status)


def main(
    *,
    name: str = "engine",
    address: str = "127.0.0.1:0",
    slots: str = "wax@v1",
    token_s: float = 0.01,
    prefill_s_per_token: float = 0.0,
) -> None:
    """Run a stand-in engine.

    :param name: name in its logs
    :param address: where it listens
    :param slots: comma-separated MODEL@VERSION
    :param token_s: seconds a token
    :param prefill_s_per_token: seconds a prompt token
    """
    logs.configure(name)
    loaded = {slot: slot.split("@")[1] for slot in slots.split(",") if slot}
    engine = Engine(name, loaded, token_s, prefill_s_per_token)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:

            async def answer(request: Request, out: Streaming):
                return await handle(engine, tasks, request, out)

            await serve_http(build_app(answer), bind(address), name)
            tasks.cancel_scope.cancel()

    anyio.run(run)


if __name__ == "__main__":
    defopt.run(main)
