"""Stand-in for a model engine.

Generates text that is a function of the prompt and the seed, so that a checker can
tell whether an answer is complete and to which prompt it belongs. Run as
``python -m standins.engine --name e1 --slots wax@v1``.
"""

import json
import os
import random
import uuid
from dataclasses import dataclass, field, replace

import anyio
import defopt
from apricotlift.core import clocks, logs
from apricotlift.upstreams.pool import Pool

from standins.enginebatch import (
    CRASH_EXIT_CODE,
    Batch,
    BatchSettings,
    Stream,
    build_answer,
    count_tokens,
    hash_prompt,
)
from standins.enginecache import EventLog, PrefixCache
from standins.enginefaults import Faults
from standins.enginekv import export_blocks, import_blocks
from standins.engineorders import Weights, WeightStore
from standins.http import (
    Reply,
    Request,
    StreamingReply,
    bind,
    build_app,
    build_json_reply,
)
from standins.http import serve as serve_http
from standins.journal import Journal

__all__ = ["build_answer"]

MAX_LONG_POLL_S = 30.0
_CLEANUP_INTERVAL_S = 0.2
_FOREIGN_ATTEMPT_ID = "0" * 24


@dataclass
class Engine:
    """The state of one engine process."""

    name: str
    weights: Weights
    events: EventLog
    cache: PrefixCache
    pool: Pool
    block_bytes: int
    retention_s: float
    initial_faults: Faults
    settings: BatchSettings
    journal: Journal
    boot_id: str = field(default_factory=lambda: uuid.uuid4().hex)
    streams: dict[str, Stream] = field(default_factory=dict)
    ran: list[dict] = field(default_factory=list)
    load_report: dict = field(default_factory=dict)

    def __post_init__(self):
        self.batch = Batch(
            self.settings, self.cache, self.get_token_times, self.journal
        )
        self.replace_faults({})

    def get_token_times(self) -> tuple[float, float]:
        """Return the token interval and the prefill time per token, both in seconds."""
        token_s = self.faults.token_s
        prefill_s = self.faults.prefill_s_per_token
        return (
            self.settings.token_s if token_s is None else token_s,
            self.settings.prefill_s_per_token if prefill_s is None else prefill_s,
        )

    def replace_faults(self, data: dict) -> None:
        """Replace all faults.

        A fault that isn't given returns to the value of the command-line options.
        """
        self.faults = replace(self.initial_faults, **data)
        self.events.delay_s = self.faults.event_delay_s
        self.events.gap_every = self.faults.event_gap_every
        self.events.duplicate_every = self.faults.event_duplicate_every

    def get_load(self) -> dict:
        """Return the load report, which is up to ``load_lag_s`` old."""
        now_ms = clocks.wall_ms()
        age_ms = now_ms - self.load_report.get("as_of_ms", 0)
        if age_ms >= self.faults.load_lag_s * 1000:
            self.load_report = {
                "boot_id": self.boot_id,
                "running": len(self.batch.running),
                "waiting": len(self.batch.waiting),
                "waiting_prompt_tokens": self.batch.waiting_prompt_tokens,
                "kv_blocks_used": len(self.cache),
                "kv_blocks_total": self.cache.capacity,
                "as_of_ms": now_ms,
            }
        return self.load_report

    def get_health(self) -> dict:
        """Return the state, the role, the loaded slots and the loads in progress."""
        slots = {
            slot: {
                "model": slot.split("@")[0],
                "weight_version": version,
                "running": self.batch.count_slot(slot),
            }
            for slot, version in self.weights.slots.items()
        }
        return {
            "boot_id": self.boot_id,
            "state": self.faults.header_state,
            "role": self.weights.role,
            "slots": slots,
            "loading": sorted(self.weights.loading),
        }

    def get_truth(self) -> dict:
        """Return the attempts, orders and loads of this process for checkers."""
        return {
            "boot_id": self.boot_id,
            "ran": self.ran,
            "orders": self.weights.orders,
            "loads": self.weights.loads,
        }


async def handle(engine: Engine, tasks, request: Request, out: StreamingReply):
    """Answer one request."""
    reply = await _dispatch(engine, tasks, request, out)
    if reply is not None:
        reply.headers["x-boot-id"] = engine.boot_id
        reply.headers["x-engine-state"] = engine.faults.header_state
        if "x-call-id" in request.headers:
            is_foreign = engine.faults.foreign_headers
            call_id = (
                _FOREIGN_ATTEMPT_ID if is_foreign else request.headers["x-call-id"]
            )
            reply.headers["x-call-id"] = call_id
    return reply


async def _dispatch(engine: Engine, tasks, request: Request, out: StreamingReply):
    path = request.path
    if path == "/v1/completions":
        return await _handle_completion(engine, request, out)
    if path == "/v1/streams":
        return _list_streams(engine, request.query.get("prefix", ""))
    if path.startswith("/v1/streams/"):
        return await _handle_stream(engine, request, out)
    if path == "/health":
        return build_json_reply(engine.get_health())
    if path == "/load":
        return build_json_reply(engine.get_load())
    if path == "/orders":
        return _handle_order(engine, request.read_json(), tasks)
    if path == "/kv/events":
        return await _poll_events(engine, request.query)
    if path == "/kv/export":
        outcomes = await export_blocks(
            engine.cache, engine.pool, request.read_json(), engine.block_bytes
        )
        return build_json_reply({"blocks": outcomes})
    if path == "/kv/import":
        unchecked = engine.faults.import_unchecked
        data = request.read_json()
        return build_json_reply(
            await import_blocks(engine.cache, engine.pool, data, unchecked)
        )
    if path == "/kv/clear":
        engine.cache.clear()
        return build_json_reply({})
    if path == "/faults":
        return _handle_faults(engine, request)
    if path == "/truth":
        return build_json_reply(engine.get_truth())
    return _build_error_reply(404, "not_found")


def _handle_faults(engine: Engine, request: Request) -> Reply:
    try:
        engine.replace_faults(request.read_json())
    except TypeError as error:
        return build_json_reply({"error": str(error)}, 400)
    return build_json_reply({})


def _handle_order(engine: Engine, data: dict, tasks) -> Reply:
    if engine.faults.orders_fail:
        return _build_error_reply(500, "order_failed")
    status, body = engine.weights.receive(data, tasks)
    reply = build_json_reply(body, status)
    return replace(reply, cut=engine.faults.order_answers_lost)


async def _poll_events(engine: Engine, query: dict[str, str]) -> Reply:
    after = int(query.get("after", "0"))
    deadline = clocks.monotonic() + min(
        float(query.get("wait_s", "5")), MAX_LONG_POLL_S
    )
    published = engine.events.read(after)
    # A sequence number beyond the newest event comes from an earlier boot. It is
    # answered without waiting, so that the caller learns the new boot id.
    is_known = after <= engine.events.last_seq
    while is_known and not published and clocks.monotonic() < deadline:
        await engine.events.wait(deadline - clocks.monotonic())
        published = engine.events.read(after)
    first_seq = engine.events.first_seq
    return build_json_reply(
        {"boot_id": engine.boot_id, "first_seq": first_seq, "events": published}
    )


async def _handle_completion(engine: Engine, request: Request, out: StreamingReply):
    data = request.read_json()
    slot = data["model"]
    attempt_id = data["request_id"]
    faults = engine.faults
    refusal = _find_refusal(engine, slot, attempt_id)
    if refusal is not None and faults.refusals_without_id:
        return refusal
    if refusal is not None:
        is_foreign = faults.foreign_headers
        refusal.headers["x-attempt-id"] = (
            _FOREIGN_ATTEMPT_ID if is_foreign else attempt_id
        )
        return refusal
    truth = {
        "attempt_id": attempt_id,
        "slot": slot,
        "salt": data["cache_salt"],
        "cached": [],
    }
    engine.ran.append(truth)
    prompt_digest = hash_prompt(data["prompt"])
    engine.journal.write("ran", boot_id=engine.boot_id, prompt=prompt_digest, **truth)
    should_crash = bool(faults.crash_marker) and faults.crash_marker in data["prompt"]
    if should_crash and not faults.crash_after_tokens:
        engine.journal.write("crashed", prompt=prompt_digest)
        os._exit(CRASH_EXIT_CODE)
    version = engine.weights.slots[slot]
    if faults.wrong_version:
        # The answer changes as well, as other weights would generate another text.
        version = "other"
        data["seed"] = data.get("seed", 0) + 1
    continued = data.get("continue_text", "")
    stream = Stream(attempt_id, slot, version, data["prompt"], continued)
    engine.streams[attempt_id] = stream
    job = engine.batch.submit(stream, data, truth)
    if should_crash:
        job.crash_after = faults.crash_after_tokens
    if faults.break_before_headers:
        return Reply(cut=True)
    return await _send_stream(engine, stream, len(continued), out)


def _find_refusal(engine: Engine, slot: str, attempt_id: str) -> Reply | None:
    if engine.faults.state == "draining":
        return _build_error_reply(503, "draining")
    if engine.faults.state == "full" or engine.batch.is_full:
        return _build_error_reply(503, "full")
    if slot not in engine.weights.slots:
        return _build_error_reply(404, "model_not_found")
    if attempt_id in engine.streams:
        return _build_error_reply(409, "attempt_exists")
    return None


async def _handle_stream(engine: Engine, request: Request, out: StreamingReply):
    attempt_id = request.path.rpartition("/")[2]
    stream = engine.streams.get(attempt_id)
    if stream is None:
        reply = _build_error_reply(404, "stream_not_found")
        reply.headers["x-attempt-id"] = attempt_id
        return reply
    if request.method == "DELETE":
        _cancel(engine, stream)
        return build_json_reply({}, x_attempt_id=attempt_id)
    if stream.cancelled:
        reply = _build_error_reply(410, "cancelled")
        reply.headers["x-attempt-id"] = attempt_id
        return reply
    return await _send_stream(engine, stream, int(request.query["offset"]), out)


def _cancel(engine: Engine, stream: Stream) -> None:
    stream.cancelled = True
    stream.ended_at = clocks.monotonic()
    engine.batch.cancel(stream)
    stream.notify_readers()


def _list_streams(engine: Engine, prefix: str) -> Reply:
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


async def _send_stream(
    engine: Engine, stream: Stream, offset: int, out: StreamingReply
):
    faults = engine.faults
    await anyio.sleep(faults.answer_delay_s)
    foreign = faults.foreign_headers
    await out.start(
        200,
        {
            "content-type": "text/event-stream",
            "x-boot-id": engine.boot_id,
            "x-weight-version": stream.weight_version,
            "x-attempt-id": _FOREIGN_ATTEMPT_ID if foreign else stream.attempt_id,
            "x-engine-state": faults.header_state,
        },
    )
    n_events = 0
    while not stream.cancelled:
        changed = stream.changed
        if len(stream.text) > offset:
            n_events += 1
            data = _format(stream.attempt_id, offset, stream.text[offset:], None, None)
            offset = len(stream.text)
            await _send_event(engine.faults, n_events, data, out)
            continue
        if stream.finished:
            usage = {
                "prompt_tokens": count_tokens(stream.prompt),
                "completion_tokens": stream.n_tokens,
                "cached_tokens": stream.n_cached_tokens,
            }
            await out.write(_format(stream.attempt_id, offset, "", "stop", usage))
            await out.write(b"data: [DONE]\n\n")
            break
        await changed.wait()
    await out.finish()


async def _send_event(
    faults: Faults, number: int, data: bytes, out: StreamingReply
) -> None:
    if faults.foreign_events:
        await out.write(
            _format(_FOREIGN_ATTEMPT_ID, 0, "text of another attempt", None, None)
        )
    if not faults.skip_every or number % faults.skip_every:
        await out.write(data)
    if faults.duplicate_every and number % faults.duplicate_every == 0:
        await out.write(data)
    if faults.break_after and number >= faults.break_after:
        raise ConnectionResetError(
            f"fault break_after: stream cut after {number} events"
        )


def _format(attempt_id, offset, text, finish_reason, usage) -> bytes:
    data = {
        "attempt_id": attempt_id,
        "offset": offset,
        "choices": [{"index": 0, "text": text, "finish_reason": finish_reason}],
        "usage": usage,
    }
    return f"data: {json.dumps(data)}\n\n".encode()


def _build_error_reply(status: int, code: str) -> Reply:
    return build_json_reply({"error": {"code": code}}, status)


async def _delete_expired_streams(engine: Engine) -> None:
    """Delete finished and cancelled streams after the retention period."""
    while True:
        await anyio.sleep(_CLEANUP_INTERVAL_S)
        limit = clocks.monotonic() - engine.retention_s
        for attempt_id, stream in list(engine.streams.items()):
            ended = stream.finished or stream.cancelled
            if ended and stream.ended_at < limit:
                del engine.streams[attempt_id]


def main(
    *,
    name: str = "engine",
    address: str = "127.0.0.1:0",
    slots: str = "wax@v1",
    token_s: float = 0.01,
    prefill_s_per_token: float = 0.0,
    batch_growth: float = 0.02,
    max_running: int = 64,
    max_waiting: int = 1024,
    chunk_tokens: int = 1000,
    kv_blocks: int = 1000,
    block_bytes: int = 65536,
    load_s: float = 0.5,
    weight_store: str = "",
    fencing: str = "checked",
    role: str = "mixed",
    retention_s: float = 600.0,
    crash_marker: str = "",
    journal: str = "",
    seed: int = 0,
) -> None:
    """Run a stand-in engine.

    :param name: name of the component in the logs
    :param address: HOST:PORT to listen on; port 0 lets the system choose
    :param slots: slots loaded at start, as comma-separated MODEL@VERSION
    :param token_s: seconds per generated token in a batch of one
    :param prefill_s_per_token: seconds per prompt token that is not cached
    :param batch_growth: relative growth of the token interval for each further job
    :param max_running: maximum number of jobs in the batch
    :param max_waiting: length of the prefill queue at which the engine is full
    :param chunk_tokens: tokens per cache block
    :param kv_blocks: capacity of the prefix cache in blocks
    :param block_bytes: size of an exported block in bytes
    :param load_s: seconds that a weight load takes while at most two run
    :param weight_store: folder through which engines share the load limit
    :param fencing: checked or ignored; whether orders with an old fence are refused
    :param role: mixed, prefill or decode
    :param retention_s: seconds for which a finished stream is kept
    :param crash_marker: the process exits on a prompt that contains this text
    :param journal: file to which the ground truth is appended, so that checks can
        read it after the process has ended
    :param seed: seed of the random delays of cache events
    """
    logs.configure(name)
    if fencing not in ("checked", "ignored"):
        raise SystemExit(f"fencing: expected checked or ignored, got {fencing!r}")
    loaded = {slot: slot.split("@")[1] for slot in slots.split(",") if slot}
    weights = Weights(
        loaded, role, fencing == "checked", load_s, WeightStore(weight_store)
    )
    settings = BatchSettings(
        token_s,
        prefill_s_per_token,
        batch_growth,
        max_running,
        max_waiting,
        chunk_tokens,
    )

    async def run() -> None:
        events = EventLog(random.Random(seed))
        async with Pool() as pool, anyio.create_task_group() as tasks:
            engine = Engine(
                name,
                weights,
                events,
                PrefixCache(kv_blocks, events),
                pool,
                block_bytes,
                retention_s,
                Faults(crash_marker=crash_marker),
                settings,
                Journal(journal),
            )

            async def answer(request: Request, out: StreamingReply):
                return await handle(engine, tasks, request, out)

            tasks.start_soon(engine.batch.prefill)
            tasks.start_soon(engine.batch.decode)
            tasks.start_soon(_delete_expired_streams, engine)
            await serve_http(build_app(answer), bind(address), name)
            tasks.cancel_scope.cancel()

    anyio.run(run)


if __name__ == "__main__":
    defopt.run(main)
