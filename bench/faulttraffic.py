"""Callers of a randomised run: rival accounts with prompts and routed calls.

Callers behave as the page asks of them: after a broken connection they come back
through another node, by offset or with the same key, and they repeat what is said
not to have run.
"""

import json
import random
from dataclasses import dataclass

import anyio
import httpcore
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError
from apricotlift.upstreams.sse import EventParser

from bench.faultbook import BROKEN, Book, CallRecord, PromptRecord, Told
from bench.faultworld import ACCOUNTS, NodeRun, World, get_key
from standins.fleet import read_chunk_text

N_PROMPT_CALLERS = 3
N_SERVICE_CALLERS = 2
MAX_TRIES = 12
PATIENCE_S = 45.0
_READ_S = 4.0
_WHOLE_READ_S = 20.0
_PAUSE_S = (0.05, 0.4)
#: A request that began later than this after a stop may meet the closed listener.
_STOP_MARGIN_S = 1.0
_TRANSPORT = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)
_SHARED_HISTORY = "The chain, the wax and the fold of each sheet are listed here. " * 40


@dataclass
class Traffic:
    """The callers of a run; they stop to begin new work when ``stopping`` is set."""

    world: World
    book: Book
    source: random.Random
    stopping: bool = False
    n_requests: int = 0

    async def run(self) -> None:
        """Run all callers until they are told to stop and have finished."""
        async with anyio.create_task_group() as tasks:
            for account in ACCOUNTS:
                for number in range(N_PROMPT_CALLERS):
                    source = random.Random(self.source.random())
                    tasks.start_soon(self._send_prompts, account, number, source)
                for number in range(N_SERVICE_CALLERS):
                    source = random.Random(self.source.random())
                    tasks.start_soon(self._send_calls, account, number, source)

    def choose_node(self, source: random.Random) -> NodeRun:
        """Return a node that isn't known to be leaving."""
        runs = [run for run in self.world.nodes.values() if run.leaving_at is None]
        return source.choice(runs or list(self.world.nodes.values()))

    # Prompts

    async def _send_prompts(
        self, account: str, number: int, source: random.Random
    ) -> None:
        n_sent = 0
        while not self.stopping:
            history = _SHARED_HISTORY
            for turn in range(source.randint(1, 5)):
                if self.stopping:
                    return
                n_sent += 1
                prompt = f"{history}\nQuestion {n_sent} of {account}.{number}?"
                name = f"{account}.{number}.{n_sent}"
                text = await self.ask(account, name, prompt, source)
                if text is None:
                    break
                history = f"{prompt}\n{text * 2}"
                await anyio.sleep(source.uniform(*_PAUSE_S) * (turn + 1))

    async def ask(
        self, account: str, name: str, prompt: str, source: random.Random
    ) -> str | None:
        """Send a prompt until its answer is whole; ``None`` when given up."""
        deadline = clocks.monotonic() + PATIENCE_S
        n_tokens = source.randint(10, 40)
        is_streamed = source.random() < 0.7
        for number in range(MAX_TRIES):
            record = PromptRecord(account, f"{name}.{number}", prompt, n_tokens)
            self.book.prompts.append(record)
            await self._follow(record, is_streamed, source, deadline)
            if record.text is not None:
                return record.text
            last = record.told[-1]
            if last.code == "request_crashes_upstream":
                return None
            if clocks.monotonic() > deadline:
                break
            await anyio.sleep(source.uniform(0.2, 1.0))
        self.book.outcomes["prompts given up"] += 1
        return None

    async def _follow(
        self,
        record: PromptRecord,
        is_streamed: bool,
        source: random.Random,
        deadline: float,
    ) -> None:
        """Keep to one request id while its answer may still be had."""
        answer = _Answer(record, self.book)
        for _ in range(MAX_TRIES):
            run = self.choose_node(source)
            told = await self._try(run, answer, is_streamed)
            record.told.append(self.book.note("prompt", told))
            if told.code == "ok":
                record.text = answer.text
                return
            if told.code != BROKEN or clocks.monotonic() > deadline:
                return
            await anyio.sleep(source.uniform(0.05, 0.3))

    async def _try(self, run: NodeRun, answer: "_Answer", is_streamed: bool) -> Told:
        record = answer.record
        headers = {"x-request-id": record.request_id}
        body = {
            "model": "wax",
            "prompt": record.prompt,
            "max_tokens": record.n_tokens,
            "stream": is_streamed,
        }
        if not is_streamed:
            return await self._post(run, record, body, headers, answer)
        if not answer.text:
            path, method = "/v1/completions", "POST"
        else:
            path, method = f"/v1/requests/{record.request_id}/stream", "GET"
            headers["last-event-id"] = f"{record.request_id}:{len(answer.text)}"
            body = None
        return await self._stream(run, record, method, path, body, headers, answer)

    async def _stream(
        self, run, record, method, path, body, headers, answer: "_Answer"
    ) -> Told:
        started = self._begin()
        request = self._build(record.account, body, headers, _READ_S)
        try:
            async with self.world.pool.stream(
                method, f"http://{run.address}{path}", **request
            ) as response:
                if response.status != 200:
                    content = b"".join([piece async for piece in response.stream])
                    return read_refusal(response.status, content)
                parser = EventParser()
                async for piece in response.stream:
                    for event in parser.feed(piece):
                        told = answer.take(event)
                        if told is not None:
                            return told
        except _TRANSPORT as error:
            self.note_break(run, started, error)
            return Told(BROKEN, "maybe")
        self.note_break(run, started, "ended without an end mark")
        return Told(BROKEN, "maybe")

    async def _post(self, run, record, body, headers, answer: "_Answer") -> Told:
        told = await self.exchange(
            run,
            record.account,
            "POST",
            "/v1/completions",
            body,
            headers,
            _WHOLE_READ_S,
        )
        if told.code == "ok":
            data = json.loads(told.body)
            answer.text = data["choices"][0]["text"]
            if not data["choices"][0]["finish_reason"]:
                self.book.violate("whole answers", f"{record.request_id}: no end")
        return told

    # Routed calls

    async def _send_calls(
        self, account: str, number: int, source: random.Random
    ) -> None:
        n_sent = 0
        while not self.stopping:
            n_sent += 1
            key = f"{account}.{number}.{n_sent}"
            repeat = "never" if source.random() < 0.7 else "safe"
            record = CallRecord(account, key, repeat)
            self.book.calls.append(record)
            n_at_once = 2 if repeat == "never" and source.random() < 0.3 else 1
            async with anyio.create_task_group() as tasks:
                for _ in range(n_at_once):
                    tasks.start_soon(self._call, record, source)
            if repeat == "never" and source.random() < 0.5:
                await anyio.sleep(source.uniform(*_PAUSE_S))
                await self._call(record, source)
            await anyio.sleep(source.uniform(*_PAUSE_S))

    async def _call(self, record: CallRecord, source: random.Random) -> None:
        method = "POST" if record.repeat == "never" else "GET"
        path = f"/v1/services/desk/orders/{record.key}"
        headers = {"idempotency-key": record.key, "x-deadline-ms": "5000"}
        body = {"sheet": record.key} if method == "POST" else None
        for _ in range(3):
            run = self.choose_node(source)
            told = await self.exchange(
                run, record.account, method, path, body, headers, 8.0
            )
            record.told.append(self.book.note(record.repeat, told))
            if told.code != BROKEN and told.ran != "no":
                return
            await anyio.sleep(source.uniform(*_PAUSE_S))

    # Common parts

    async def exchange(
        self, run, account, method, path, body, headers, read_s, key=None
    ) -> Told:
        """Send a request and read its whole answer."""
        started = self._begin()
        request = self._build(account, body, headers, read_s, key)
        try:
            response = await self.world.pool.request(
                method, f"http://{run.address}{path}", **request
            )
        except _TRANSPORT as error:
            self.note_break(run, started, error)
            return Told(BROKEN, "maybe")
        if response.status != 200:
            return read_refusal(response.status, response.content)
        return Told("ok", "yes", 200, response.content)

    def _begin(self) -> float:
        self.n_requests += 1
        return clocks.monotonic()

    def _build(self, account, body, headers, read_s, key=None) -> dict:
        authorization = f"Bearer {key or get_key(account)}"
        return {
            "headers": {
                "content-type": "application/json",
                "authorization": authorization,
                **headers,
            },
            "content": b"" if body is None else json.dumps(body).encode(),
            "extensions": {
                "timeout": {"connect": 2.0, "read": read_s, "write": 2.0, "pool": 5.0}
            },
        }

    def note_break(self, run: NodeRun, started: float, error: object) -> None:
        """Check that a graceful stop isn't the cause of a broken connection."""
        self.book.outcomes[f"broken by {type(error).__name__}"] += 1
        if run.disturbed or run.leaving_at is None:
            return
        if isinstance(error, httpcore.TimeoutException):
            return
        if started < run.leaving_at + _STOP_MARGIN_S:
            age_s = started - run.leaving_at
            self.book.violate(
                "graceful stops",
                f"{run.name}.{run.number} cut a request begun {age_s:+.2f} s after "
                f"its stop: {error!r}",
            )


class _Answer:
    """The text of one streamed answer, over all its connections."""

    def __init__(self, record: PromptRecord, book: Book):
        self.record = record
        self.text = ""
        self._book = book
        self._has_reason = False

    def take(self, event) -> Told | None:
        """Add an event; return the outcome where it is the last one."""
        if event.event == "error":
            return read_refusal(200, event.data.encode())
        if event.data == "[DONE]":
            if not self._has_reason:
                self._book.violate("whole answers", f"{self.record.request_id}: no end")
            return Told("ok", "yes", 200)
        chunk = json.loads(event.data)
        self.text += read_chunk_text(chunk)
        self._has_reason = bool(chunk["choices"][0]["finish_reason"])
        wanted = f"{self.record.request_id}:{len(self.text)}"
        if event.id != wanted:
            self._book.violate("offsets", f"event {event.id!r}, expected {wanted!r}")
        return None


def read_refusal(status: int, content: bytes) -> Told:
    """Return what a refusal says; an answer without a body of ours says nothing."""
    try:
        error = json.loads(content)["error"]
        return Told(error["code"], error["ran"], status, content)
    except (ValueError, KeyError, TypeError, ApricotliftError):
        return Told(f"status_{status}", "maybe", status, content)
