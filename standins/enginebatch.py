"""Continuous batching of the stand-in engine.

One loop serves the prefill queue by priority, at a fixed cost for each token that is
not cached. Another loop decodes; its token interval grows with the size of the batch.
"""

import hashlib
import os
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from apricotlift.core import clocks

from standins.enginecache import BlockOrigin, PrefixCache
from standins.journal import Journal

_WORDS = ("wax", "fold", "chain", "sheet", "dust", "map", "rain", "north", "link")

#: Tokens per prefill chunk. A more urgent job can run between two chunks.
PREFILL_CHUNK_TOKENS = 512

CRASH_EXIT_CODE = 70


def hash_prompt(prompt: str) -> str:
    """Return the digest of a prompt that appears at the start of its answer."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:12]


def build_answer(prompt: str, seed: int, n_tokens: int) -> list[str]:
    """Return the tokens of the answer to a prompt.

    The first token carries a digest of the prompt, so that checks notice
    an answer that belongs to another prompt.
    """
    head = hash_prompt(prompt)
    word_source = random.Random(f"{head}.{seed}")
    tokens = [f"[{head}]"]
    tokens += [f" {word_source.choice(_WORDS)}" for _ in range(n_tokens - 1)]
    return tokens[:n_tokens]


def skip_text(tokens: list[str], text: str) -> list[str]:
    """Return the tokens that follow a text.

    If the text ends within a token, the rest of that token comes first.
    """
    n_characters_left = len(text)
    for index, token in enumerate(tokens):
        if n_characters_left < len(token):
            return [token[n_characters_left:], *tokens[index + 1 :]]
        n_characters_left -= len(token)
    return []


def count_tokens(text: str) -> int:
    """Return the estimated length of a text: one token per 4 bytes of UTF-8."""
    return len(text.encode()) // 4


@dataclass
class Stream:
    """The output of an attempt, running or finished.

    :param text: all generated text, including the text that the attempt continues.
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
        """Add a token and notify the readers."""
        self.text += token
        self.n_tokens += 1
        self.notify_readers()

    def end(self) -> None:
        """Mark the stream as finished."""
        self.finished = True
        self.ended_at = clocks.monotonic()
        self.notify_readers()

    def notify_readers(self) -> None:
        """Notify the readers of a change."""
        self.changed.set()
        self.changed = anyio.Event()


@dataclass
class Job:
    """An attempt in the prefill queue or in the batch.

    :param priority: lower values are served first.
    :param number: position in the order of submission.
    :param n_tokens_left: tokens that are still to be prefilled.
    :param crash_after: number of generated tokens at which the process exits; -1 is
        never.
    """

    stream: Stream
    salt: str
    blocks: list[str]
    priority: int
    number: int
    n_tokens_left: int
    tokens: list[str]
    truth: dict
    started: bool = False
    crash_after: int = -1


@dataclass
class BatchSettings:
    """Token times and size limits of the batch.

    :param token_s: seconds per generated token in a batch of one.
    :param batch_growth: relative growth of the interval for each further job.
    """

    token_s: float = 0.01
    prefill_s_per_token: float = 0.0
    batch_growth: float = 0.02
    max_running: int = 64
    max_waiting: int = 1024
    chunk_tokens: int = 1000


class Batch:
    """The waiting and the running jobs of an engine."""

    def __init__(
        self,
        settings: BatchSettings,
        cache: PrefixCache,
        get_token_times: Callable[[], tuple[float, float]],
        journal: Journal,
    ):
        self.settings = settings
        self.waiting: list[Job] = []
        self.running: list[Job] = []
        self._cache = cache
        self._get_token_times = get_token_times
        self._journal = journal
        self._n_jobs = 0
        self._changed = anyio.Event()

    @property
    def is_full(self) -> bool:
        """Whether the prefill queue has reached its limit."""
        return len(self.waiting) >= self.settings.max_waiting

    @property
    def waiting_prompt_tokens(self) -> int:
        """Prompt tokens that are still to be prefilled."""
        return sum(job.n_tokens_left for job in self.waiting)

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
            skip_text(tokens, stream.text),
            truth,
        )
        self.waiting.append(job)
        self._notify_loops()
        return job

    def count_slot(self, slot: str) -> int:
        """Return the number of waiting and running attempts of a slot."""
        return sum(job.stream.slot == slot for job in (*self.waiting, *self.running))

    def cancel(self, stream: Stream) -> None:
        """Remove the job of an attempt."""
        for job in (*self.waiting, *self.running):
            if job.stream is stream:
                self._remove(job)

    async def prefill(self) -> None:
        """Serve the prefill queue until cancelled."""
        while True:
            if not self.waiting or len(self.running) >= self.settings.max_running:
                await self._changed.wait()
                continue
            job = min(self.waiting, key=lambda item: (item.priority, item.number))
            if not job.started:
                self._start_prefill(job)
            n_tokens = min(job.n_tokens_left, PREFILL_CHUNK_TOKENS)
            await anyio.sleep(n_tokens * self._get_token_times()[1])
            job.n_tokens_left -= n_tokens
            if job in self.waiting and job.n_tokens_left <= 0:
                self._start_decode(job)

    async def decode(self) -> None:
        """Generate a token for each running job per interval, until cancelled."""
        next_due_at = clocks.monotonic()
        while True:
            if not self.running:
                await self._changed.wait()
                next_due_at = clocks.monotonic()
                continue
            growth = 1 + self.settings.batch_growth * (len(self.running) - 1)
            next_due_at += self._get_token_times()[0] * growth
            now = clocks.monotonic()
            next_due_at = max(next_due_at, now)
            await anyio.sleep(next_due_at - now)
            for job in list(self.running):
                self._generate_token(job)

    def _start_prefill(self, job: Job) -> None:
        job.started = True
        cached_origins = self._cache.find_prefix(job.salt, job.blocks)
        n_prompt = count_tokens(job.stream.prompt)
        # The last token of a prompt is always computed, because its logits are needed.
        n_cached = min(
            len(cached_origins) * self.settings.chunk_tokens, max(0, n_prompt - 1)
        )
        job.stream.n_cached_tokens = n_cached
        job.n_tokens_left -= n_cached
        self._cache.pin(job.salt, job.blocks)
        used = zip(job.blocks, cached_origins, strict=False)
        job.truth["cached"] = [
            {
                "block": block,
                "stored_block": origin.block,
                "stored_salt": origin.salt,
                "stored_slot": origin.slot,
            }
            for block, origin in used
        ]
        if cached_origins:
            name = job.stream.attempt_id
            self._journal.write("cached", attempt_id=name, cached=job.truth["cached"])

    def _start_decode(self, job: Job) -> None:
        self.waiting.remove(job)
        self.running.append(job)
        if job.blocks:
            origins = {
                block: BlockOrigin(block, job.salt, job.stream.slot)
                for block in job.blocks
            }
            self._cache.store(job.salt, job.blocks[0], origins)
        self._notify_loops()

    def _generate_token(self, job: Job) -> None:
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
        self._notify_loops()

    def _notify_loops(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
