"""Callers of a randomised run: several accounts that send prompts and routed calls.

Callers follow the documented client protocol. After a broken connection they resume
through another node, at the offset reached or with the same idempotency key. They
repeat requests that were refused as not run.
"""

import json
import random
from dataclasses import dataclass

import anyio
import httpcore
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError
from apricotlift.upstreams.sse import EventParser

from bench.faultbook import BROKEN, CallRecord, Observations, Outcome, PromptRecord
from bench.faultworld import ACCOUNTS, TRANSPORT_ERRORS, NodeRun, Testbed, get_key
from standins.fleet import read_chunk_text

N_PROMPT_CALLERS = 3
N_SERVICE_CALLERS = 2
MAX_ATTEMPTS = 12
ANSWER_TIMEOUT_S = 45.0
_STREAM_READ_TIMEOUT_S = 4.0
_WHOLE_READ_TIMEOUT_S = 20.0
_PAUSE_RANGE_S = (0.05, 0.4)
#: A request sent later than this after the stop signal may find the listener closed.
_STOP_MARGIN_S = 1.0
_SHARED_HISTORY = "The chain, the wax and the fold of each sheet are listed here. " * 40


@dataclass
class Traffic:
    """The callers of a run; they start no new work once ``is_stopping`` is set."""

    testbed: Testbed
    observations: Observations
    rng: random.Random
    is_stopping: bool = False
    n_requests: int = 0

    async def run(self) -> None:
        """Run all callers until ``is_stopping`` is set and they have finished."""
        async with anyio.create_task_group() as tasks:
            for account in ACCOUNTS:
                for number in range(N_PROMPT_CALLERS):
                    rng = random.Random(self.rng.random())
                    tasks.start_soon(self._send_prompts, account, number, rng)
                for number in range(N_SERVICE_CALLERS):
                    rng = random.Random(self.rng.random())
                    tasks.start_soon(self._send_calls, account, number, rng)

    def choose_node(self, rng: random.Random) -> NodeRun:
        """Return a random node, preferably one without a stop signal."""
        runs = [
            run for run in self.testbed.nodes.values() if run.stop_requested_at is None
        ]
        return rng.choice(runs or list(self.testbed.nodes.values()))

    # Prompts

    async def _send_prompts(
        self, account: str, number: int, rng: random.Random
    ) -> None:
        n_sent = 0
        while not self.is_stopping:
            history = _SHARED_HISTORY
            for turn in range(rng.randint(1, 5)):
                if self.is_stopping:
                    return
                n_sent += 1
                prompt = f"{history}\nQuestion {n_sent} of {account}.{number}?"
                name = f"{account}.{number}.{n_sent}"
                text = await self.send_until_answered(account, name, prompt, rng)
                if text is None:
                    break
                history = f"{prompt}\n{text * 2}"
                await anyio.sleep(rng.uniform(*_PAUSE_RANGE_S) * (turn + 1))

    async def send_until_answered(
        self,
        account: str,
        name: str,
        prompt: str,
        rng: random.Random,
        n_tokens: int = 0,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> str | None:
        """Send a prompt, with new request ids, until its answer is complete.

        :param n_tokens: length of the answer in tokens; 0 draws a random one.
        :param answer_timeout_s: time in seconds after which no new attempt starts.
        :returns: the answer, or ``None`` if all attempts failed.
        """
        deadline = clocks.monotonic() + answer_timeout_s
        n_tokens = n_tokens or rng.randint(10, 40)
        is_streamed = rng.random() < 0.7
        for number in range(MAX_ATTEMPTS):
            record = PromptRecord(account, f"{name}.{number}", prompt, n_tokens)
            self.observations.prompts.append(record)
            await self._follow_request(record, is_streamed, rng, deadline)
            if record.text is not None:
                return record.text
            last = record.outcomes[-1]
            if last.code == "request_crashes_upstream":
                return None
            if clocks.monotonic() > deadline:
                break
            await anyio.sleep(rng.uniform(0.2, 1.0))
        self.observations.outcome_counts["prompts given up"] += 1
        return None

    async def _follow_request(
        self,
        record: PromptRecord,
        is_streamed: bool,
        rng: random.Random,
        deadline: float,
    ) -> None:
        """Send or resume one request id until it has an outcome or time runs out."""
        answer = _Answer(record, self.observations)
        for _ in range(MAX_ATTEMPTS):
            run = self.choose_node(rng)
            outcome = await self._send_attempt(run, answer, is_streamed)
            record.outcomes.append(self.observations.count_outcome("prompt", outcome))
            if outcome.code == "ok":
                record.text = answer.text
                return
            if outcome.code != BROKEN or clocks.monotonic() > deadline:
                return
            await anyio.sleep(rng.uniform(0.05, 0.3))

    async def _send_attempt(
        self, run: NodeRun, answer: "_Answer", is_streamed: bool
    ) -> Outcome:
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
    ) -> Outcome:
        started = self._count_request()
        request = self._build_request(
            record.account, body, headers, _STREAM_READ_TIMEOUT_S
        )
        try:
            async with self.testbed.pool.stream(
                method, f"http://{run.address}{path}", **request
            ) as response:
                if response.status != 200:
                    content = b"".join([piece async for piece in response.stream])
                    return parse_refusal(response.status, content)
                parser = EventParser()
                async for piece in response.stream:
                    for event in parser.feed(piece):
                        outcome = answer.add_event(event)
                        if outcome is not None:
                            return outcome
        except TRANSPORT_ERRORS as error:
            self.check_broken_connection(run, started, error)
            return Outcome(BROKEN, "maybe")
        self.check_broken_connection(run, started, "stream ended without [DONE]")
        return Outcome(BROKEN, "maybe")

    async def _post(self, run, record, body, headers, answer: "_Answer") -> Outcome:
        outcome = await self.send_request(
            run,
            record.account,
            "POST",
            "/v1/completions",
            body,
            headers,
            _WHOLE_READ_TIMEOUT_S,
        )
        if outcome.code == "ok":
            data = json.loads(outcome.body)
            answer.text = data["choices"][0]["text"]
            if not data["choices"][0]["finish_reason"]:
                self.observations.add_violation(
                    "whole answers", f"{record.request_id}: no finish reason"
                )
        return outcome

    # Routed calls

    async def _send_calls(self, account: str, number: int, rng: random.Random) -> None:
        n_sent = 0
        while not self.is_stopping:
            n_sent += 1
            key = f"{account}.{number}.{n_sent}"
            repeat = "never" if rng.random() < 0.7 else "safe"
            record = CallRecord(account, key, repeat)
            self.observations.calls.append(record)
            n_at_once = 2 if repeat == "never" and rng.random() < 0.3 else 1
            async with anyio.create_task_group() as tasks:
                for _ in range(n_at_once):
                    tasks.start_soon(self._call, record, rng)
            if repeat == "never" and rng.random() < 0.5:
                await anyio.sleep(rng.uniform(*_PAUSE_RANGE_S))
                await self._call(record, rng)
            await anyio.sleep(rng.uniform(*_PAUSE_RANGE_S))

    async def _call(self, record: CallRecord, rng: random.Random) -> None:
        method = "POST" if record.repeat == "never" else "GET"
        path = f"/v1/services/desk/orders/{record.key}"
        headers = {"idempotency-key": record.key, "x-deadline-ms": "5000"}
        body = {"sheet": record.key} if method == "POST" else None
        for _ in range(3):
            run = self.choose_node(rng)
            outcome = await self.send_request(
                run, record.account, method, path, body, headers, 8.0
            )
            record.outcomes.append(
                self.observations.count_outcome(record.repeat, outcome)
            )
            if outcome.code != BROKEN and outcome.ran != "no":
                return
            await anyio.sleep(rng.uniform(*_PAUSE_RANGE_S))

    # Common to prompts and routed calls

    async def send_request(
        self, run, account, method, path, body, headers, read_s, key=None
    ) -> Outcome:
        """Send a request and read the complete response."""
        started = self._count_request()
        request = self._build_request(account, body, headers, read_s, key)
        try:
            response = await self.testbed.pool.request(
                method, f"http://{run.address}{path}", **request
            )
        except TRANSPORT_ERRORS as error:
            self.check_broken_connection(run, started, error)
            return Outcome(BROKEN, "maybe")
        if response.status != 200:
            return parse_refusal(response.status, response.content)
        return Outcome("ok", "yes", 200, response.content)

    def _count_request(self) -> float:
        self.n_requests += 1
        return clocks.monotonic()

    def _build_request(self, account, body, headers, read_s, key=None) -> dict:
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

    def check_broken_connection(
        self, run: NodeRun, started: float, error: object
    ) -> None:
        """Count a broken connection; record a violation if a graceful stop broke it."""
        self.observations.outcome_counts[f"broken by {type(error).__name__}"] += 1
        if run.is_disturbed or run.stop_requested_at is None:
            return
        if isinstance(error, httpcore.TimeoutException):
            return
        if started < run.stop_requested_at + _STOP_MARGIN_S:
            age_s = started - run.stop_requested_at
            self.observations.add_violation(
                "graceful stops",
                f"{run.name}.{run.number} cut a request begun {age_s:+.2f} s after "
                f"its stop: {error!r}",
            )


class _Answer:
    """The text of one streamed answer, collected over all its connections."""

    def __init__(self, record: PromptRecord, observations: Observations):
        self.record = record
        self.text = ""
        self._book = observations
        self._has_finish_reason = False

    def add_event(self, event) -> Outcome | None:
        """Add an event, and return the outcome if the event ends the answer."""
        if event.event == "error":
            return parse_refusal(200, event.data.encode())
        if event.data == "[DONE]":
            if not self._has_finish_reason:
                self._book.add_violation(
                    "whole answers", f"{self.record.request_id}: no end"
                )
            return Outcome("ok", "yes", 200)
        chunk = json.loads(event.data)
        self.text += read_chunk_text(chunk)
        self._has_finish_reason = bool(chunk["choices"][0]["finish_reason"])
        wanted = f"{self.record.request_id}:{len(self.text)}"
        if event.id != wanted:
            self._book.add_violation(
                "offsets", f"event {event.id!r}, expected {wanted!r}"
            )
        return None


def parse_refusal(status: int, content: bytes) -> Outcome:
    """Return the outcome that a refusal reports.

    A response without an error body of the product doesn't tell whether it ran.
    """
    try:
        error = json.loads(content)["error"]
        return Outcome(error["code"], error["ran"], status, content)
    except (ValueError, KeyError, TypeError, ApricotliftError):
        return Outcome(f"status_{status}", "maybe", status, content)
