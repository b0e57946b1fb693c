"""Continuous batching of the stand-in engine.

One prefill queue, served by priority at a fixed cost for each token that is not
cached, and one decode loop whose token interval grows with the batch.
"""

import hashlib
import os
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from apricotlift.core import clocks

from standins.enginecache import Content, PrefixCache
from standins.journal import Journal

_WORDS = ("wax", "fold", "chain", "sheet", "dust", "map", "rain", "north", "link")

#: Prefill is cut into chunks of so many tokens; a more urgent job overtakes between.
PREFILL_CHUNK_TOKENS = 512

CRASH_EXIT_CODE = 70


def hash_prompt(prompt: str) -> str:
    """Return the digest of a prompt that its answer begins with."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:12]


def build_answer(prompt: str, seed: int, n_tokens: int) -> list[str]:
    """Return the tokens of the answer to a prompt.

    The first token carries a digest of the prompt, so that a crossed answer shows.
    """
    head = hash_prompt(prompt)
    source = random.Random(f"{head}.{seed}")
    tokens = [f"[{head}]"]
    tokens += [f" {source.choice(_WORDS)}" for _ in range(n_tokens - 1)]
    return tokens[:n_tokens]


def drop_text(tokens: list[str], text: str) -> list[str]:
    """Return the tokens after a text; a token that the text cuts is shortened."""
    n_left = len(text)
    for index, token in enumerate(tokens):
        if n_left < len(token):
            return [token[n_left:], *tokens[index + 1 :]]
        n_left -= len(token)
    return []


def count_tokens(text: str) -> int:
    """Return the length of a text in tokens, by the page's estimate."""
    return len(text.encode()) // 4


@dataclass
class Stream:
    """An attempt, running or finished.

    :param text: all generated text, the continued one included.
    """

    attempt_id: str
    slot: str
    weight_version: str
    prompt: str
    text: str = ""
    n_tokens: int = 0
    n_cached_tokens: int = 0
    finished: bool = False
    cancelled: bool = False
    ended_at: float = 0.0
    changed: anyio.Event = field(default_factory=anyio.Event)

    def append(self, token: str) -> None:
        """Add a token and wake the readers."""
        self.text += token
        self.n_tokens += 1
        self.wake()

    def end(self) -> None:
        """Mark the stream as finished."""
        self.finished = True
        self.ended_at = clocks.monotonic()
        self.wake()

    def wake(self) -> None:
        """Wake the readers."""
        self.changed.set()
        self.changed = anyio.Event()


@dataclass
class Job:
    """An attempt's place in the batch.

    :param priority: lower values are served first.
    :param n_left: tokens that are still to be prefilled.
    """

    stream: Stream
    salt: str
    blocks: list[str]
    priority: int
    number: int
    n_left: int
    tokens: list[str]
    truth: dict
    started: bool = False
    crash_after: int = -1


@dataclass
class BatchSettings:
    """Speeds and sizes.

    :param token_s: token interval of a batch of one.
    :param batch_growth: relative growth of the interval for each further job.
    """

    token_s: float = 0.01
    prefill_s_per_token: float = 0.0
    batch_growth: float = 0.02
    max_running: int = 64
    max_waiting: int = 1024
    chunk_tokens: int = 1000


class Batch:
    """All jobs of an engine."""

    def __init__(
        self,
        settings: BatchSettings,
        cache: PrefixCache,
        get_speeds: Callable[[], tuple[float, float]],
        journal: Journal,
    ):
        self.settings = settings
        self.waiting: list[Job] = []
        self.running: list[Job] = []
        self._cache = cache
        self._get_speeds = get_speeds
        self._journal = journal
        self._n_jobs = 0
        self._changed = anyio.Event()

    @property
    def is_full(self) -> bool:
        """Whether the queue takes no more jobs."""
        return len(self.waiting) >= self.settings.max_waiting

    @property
    def waiting_prompt_tokens(self) -> int:
        """Prompt tokens that are still to be prefilled."""
        return sum(job.n_left for job in self.waiting)

    def submit(self, stream: Stream, data: dict, truth: dict) -> Job:
        """Queue an attempt."""
        self._n_jobs += 1
        tokens = build_answer(stream.prompt, data.get("seed", 0), data["max_tokens"])
        job = Job(
            stream,
            data["cache_salt"],
            list(data.get("prefix_blocks", ())),
            int(data.get("priority", 0)),
            self._n_jobs,
            count_tokens(stream.prompt + stream.text),
            drop_text(tokens, stream.text),
            truth,
        )
        self.waiting.append(job)
        self._wake()
        return job

    def count_slot(self, slot: str) -> int:
        """Return how many attempts use a slot."""
        return sum(job.stream.slot == slot for job in (*self.waiting, *self.running))

    def cancel(self, stream: Stream) -> None:
        """Drop an attempt's job."""
        for job in (*self.waiting, *self.running):
            if job.stream is stream:
                self._remove(job)

    async def prefill(self) -> None:
        """Serve the prefill queue for ever."""
        while True:
            if not self.waiting or len(self.running) >= self.settings.max_running:
                await self._changed.wait()
                continue
            job = min(self.waiting, key=lambda item: (item.priority, item.number))
            if not job.started:
                self._start(job)
            n_tokens = min(job.n_left, PREFILL_CHUNK_TOKENS)
            await anyio.sleep(n_tokens * self._get_speeds()[1])
            job.n_left -= n_tokens
            if job in self.waiting and job.n_left <= 0:
                self._admit(job)

    async def decode(self) -> None:
        """Generate a token for each running job at each interval, for ever."""
        due = clocks.monotonic()
        while True:
            if not self.running:
                await self._changed.wait()
                due = clocks.monotonic()
                continue
            growth = 1 + self.settings.batch_growth * (len(self.running) - 1)
            due += self._get_speeds()[0] * growth
            now = clocks.monotonic()
            due = max(due, now)
            await anyio.sleep(due - now)
            for job in list(self.running):
                self._generate(job)

    def _start(self, job: Job) -> None:
        job.started = True
        found = self._cache.find_prefix(job.salt, job.blocks)
        n_prompt = count_tokens(job.stream.prompt)
        # The last token of a prompt is always computed, for its logits.
        n_cached = min(len(found) * self.settings.chunk_tokens, max(0, n_prompt - 1))
        job.stream.n_cached_tokens = n_cached
        job.n_left -= n_cached
        self._cache.pin(job.salt, job.blocks)
        used = zip(job.blocks, found, strict=False)
        job.truth["cached"] = [
            {
                "block": block,
                "stored_block": content.block,
                "stored_salt": content.salt,
                "stored_slot": content.slot,
            }
            for block, content in used
        ]
        if found:
            name = job.stream.attempt_id
            self._journal.write("cached", attempt_id=name, cached=job.truth["cached"])

    def _admit(self, job: Job) -> None:
        self.waiting.remove(job)
        self.running.append(job)
        if job.blocks:
            contents = {
                block: Content(block, job.salt, job.stream.slot) for block in job.blocks
            }
            self._cache.store(job.salt, job.blocks[0], contents)
        self._wake()

    def _generate(self, job: Job) -> None:
        if job not in self.running:
            return
        if 0 <= job.crash_after <= job.stream.n_tokens:
            self._journal.write("crashed", prompt=hash_prompt(job.stream.prompt))
            os._exit(CRASH_EXIT_CODE)
        if job.tokens:
            job.stream.append(job.tokens.pop(0))
        if not job.tokens:
            self._remove(job)
            job.stream.end()

    def _remove(self, job: Job) -> None:
        for jobs in (self.waiting, self.running):
            if job in jobs:
                jobs.remove(job)
        if job.started:
            self._cache.unpin(job.salt, job.blocks)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
