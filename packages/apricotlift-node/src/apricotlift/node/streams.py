"""Buffers of answers that are in progress, or finished and still resumable.

The task that reads from the engine writes into a :class:`StreamState`. Each connection
of a caller reads from it at its own pace and offset. A lost connection therefore
doesn't affect the answer, and the caller can reconnect and resume reading.
"""

from bisect import bisect_right
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import anyio
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError
from apricotlift.upstreams.engine import Usage

#: Number of segments of one answer at which they are merged.
MAX_SEGMENTS = 64


@dataclass(frozen=True)
class TextSegment:
    """A part of an answer's text.

    :param end: offset of the end of the text in the answer, in characters.
    """

    text: str
    end: int


@dataclass
class StreamState:
    """The answer to one request.

    :param request_key: digest of account and request id.
    :param body_digest: distinguishes a repeated request from a different request with
        the same id.
    :param boot_id: boot id of the engine that runs the attempt, empty if unknown.
    :param finished_at: time in seconds on the node's clock, ``None`` while in progress.
    :param scope: cancel scope of the task that writes the answer.
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
    _end_offsets: list[int] = field(default_factory=list)
    _changed: anyio.Event = field(default_factory=anyio.Event)
    _started: anyio.Event = field(default_factory=anyio.Event)

    @property
    def n_characters(self) -> int:
        """Length of the text received so far."""
        return self._end_offsets[-1] if self._end_offsets else 0

    @property
    def is_finished(self) -> bool:
        """Whether the answer has ended, completely or with an error."""
        return self.finished_at is not None

    @property
    def text(self) -> str:
        """The text received so far."""
        return "".join(self._texts)

    def append(self, text: str) -> None:
        """Add text at the end and notify the readers.

        :raises RuntimeError: if the answer has ended.
        """
        if not text:
            return
        if self.is_finished:
            raise RuntimeError(f"text after the end of answer {self.request_key}")
        self._texts.append(text)
        self._end_offsets.append(self.n_characters + len(text))
        if len(self._texts) >= MAX_SEGMENTS:
            self._merge_segments()
        self._started.set()
        self._notify_readers()

    def finish(self, finish_reason: str, usage: Usage | None) -> None:
        """Mark the answer as complete."""
        self.finish_reason = finish_reason
        self.usage = usage
        self._set_finished()

    def fail(self, error: ApricotliftError) -> None:
        """End the answer with an error, so that it isn't taken for a complete one."""
        self.error = error
        self._set_finished()

    async def wait_started(self) -> None:
        """Wait for the first text or the end of the answer."""
        await self._started.wait()

    async def read(self, offset: int = 0) -> AsyncIterator[list[TextSegment]]:
        """Yield the text from an offset on as it arrives, until the answer ends.

        :param offset: in characters; earlier text is skipped.
        """
        position = offset
        while True:
            changed = self._changed
            # The index is searched again each time, because the segments may have been
            # merged in the meantime.
            index = bisect_right(self._end_offsets, position)
            if index < len(self._texts):
                segments = []
                for text, end in zip(
                    self._texts[index:], self._end_offsets[index:], strict=True
                ):
                    start = end - len(text)
                    segments.append(TextSegment(text[max(0, position - start) :], end))
                    position = end
                yield segments
                continue
            if self.is_finished:
                return
            await changed.wait()

    def _merge_segments(self) -> None:
        """Merge all segments into one.

        A segment for each token would cost about 100 bytes of memory per token.
        """
        self._texts = ["".join(self._texts)]
        self._end_offsets = self._end_offsets[-1:]

    def _set_finished(self) -> None:
        if self.is_finished:
            raise RuntimeError(f"answer {self.request_key} has already ended")
        self.finished_at = clocks.monotonic()
        if self._texts:
            self._merge_segments()
        self._started.set()
        self._notify_readers()

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


@dataclass
class StreamRegistry:
    """The answers that this node holds, by request key."""

    retention_s: float
    streams: dict[str, StreamState] = field(default_factory=dict)

    @property
    def n_running(self) -> int:
        """Number of answers in progress."""
        return sum(not stream.is_finished for stream in self.streams.values())

    def get(self, request_key: str) -> StreamState | None:
        """Return the answer with this key, ``None`` if it isn't held."""
        return self.streams.get(request_key)

    def add(self, stream: StreamState) -> None:
        """Add an answer; it replaces one with the same key."""
        self.streams[stream.request_key] = stream

    def drop_expired(self, now: float) -> int:
        """Remove answers whose retention has passed; return their number."""
        expired = [
            key
            for key, stream in self.streams.items()
            if stream.finished_at is not None
            and now - stream.finished_at > self.retention_s
        ]
        for key in expired:
            del self.streams[key]
        return len(expired)
