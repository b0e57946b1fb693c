"""Answers in progress and finished ones that a caller may still resume.

The task that reads from the engine writes into a :class:`StreamState`; each caller's
connection reads from it at its own pace and offset. So a caller that loses its
connection costs nothing but the reading, and can come back.
"""

from bisect import bisect_right
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import anyio
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError
from apricotlift.upstreams.engine import Usage

#: Pieces of one answer that are kept apart.
MAX_PIECES = 64


@dataclass(frozen=True)
class Piece:
    """Text that is ready to be sent.

    :param end: offset in characters after the text.
    """

    text: str
    end: int


@dataclass
class StreamState:
    """The answer to one request.

    :param request_key: digest of account and request id.
    :param scope: cancelling it ends the task that fills the answer.
    :param body_digest: tells a repeated request from another one with the same id.
    """

    request_id: str
    request_key: str
    body_digest: str
    account: str
    model: str
    slot: str
    attempt_id: str = ""
    upstream: str = ""
    boot_id: str = ""
    finish_reason: str | None = None
    usage: Usage | None = None
    error: ApricotliftError | None = None
    finished_at: float | None = None
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    _texts: list[str] = field(default_factory=list)
    _ends: list[int] = field(default_factory=list)
    _changed: anyio.Event = field(default_factory=anyio.Event)
    _started: anyio.Event = field(default_factory=anyio.Event)

    @property
    def n_characters(self) -> int:
        """Length of the text so far."""
        return self._ends[-1] if self._ends else 0

    @property
    def is_finished(self) -> bool:
        """Whether nothing more will come."""
        return self.finished_at is not None

    @property
    def text(self) -> str:
        """The text so far."""
        return "".join(self._texts)

    def append(self, text: str) -> None:
        """Add text at the end and wake the readers."""
        if not text:
            return
        if self.is_finished:
            raise RuntimeError("text after the end of an answer")
        self._texts.append(text)
        self._ends.append(self.n_characters + len(text))
        if len(self._texts) >= MAX_PIECES:
            self._join()
        self._started.set()
        self._wake()

    def finish(self, finish_reason: str, usage: Usage | None) -> None:
        """Mark the answer as whole."""
        self.finish_reason = finish_reason
        self.usage = usage
        self._end()

    def fail(self, error: ApricotliftError) -> None:
        """Mark the answer as broken; it is never taken for a whole one."""
        self.error = error
        self._end()

    async def wait_started(self) -> None:
        """Wait for the first text or the end."""
        await self._started.wait()

    async def read(self, offset: int = 0) -> AsyncIterator[list[Piece]]:
        """Yield what is ready from an offset on, until the answer has ended.

        :param offset: in characters; text before it is left out.
        """
        position = offset
        while True:
            changed = self._changed
            # Found anew each time, because pieces are joined meanwhile.
            index = bisect_right(self._ends, position)
            if index < len(self._texts):
                pieces = []
                for text, end in zip(
                    self._texts[index:], self._ends[index:], strict=True
                ):
                    start = end - len(text)
                    pieces.append(Piece(text[max(0, position - start) :], end))
                    position = end
                yield pieces
                continue
            if self.is_finished:
                return
            await changed.wait()

    def _join(self) -> None:
        """Join the pieces; one that stands alone costs about 100 bytes a token."""
        self._texts = ["".join(self._texts)]
        self._ends = self._ends[-1:]

    def _end(self) -> None:
        if self.is_finished:
            raise RuntimeError("an answer ends once")
        self.finished_at = clocks.monotonic()
        if self._texts:
            self._join()
        self._started.set()
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


@dataclass
class StreamRegistry:
    """The answers that this node holds, by request key."""

    retention_s: float
    streams: dict[str, StreamState] = field(default_factory=dict)

    @property
    def n_running(self) -> int:
        """How many answers are in progress."""
        return sum(not stream.is_finished for stream in self.streams.values())

    def get(self, request_key: str) -> StreamState | None:
        """Return an answer that is held."""
        return self.streams.get(request_key)

    def add(self, stream: StreamState) -> None:
        """Hold an answer."""
        self.streams[stream.request_key] = stream

    def drop_expired(self, now: float) -> int:
        """Drop answers that ended longer ago than the retention; return how many."""
        expired = [
            key
            for key, stream in self.streams.items()
            if stream.finished_at is not None
            and now - stream.finished_at > self.retention_s
        ]
        for key in expired:
            del self.streams[key]
        return len(expired)
