"""Reads the cache events of an engine by long polling.

Events may arrive late, repeatedly or not at all. :func:`follow_events` yields each
event once, in the order of arrival, and reports gaps, so that its caller can distrust
cache hints that depend on lost events.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import anyio
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.upstreams.engine import (
    EngineClient,
    build_body_error,
    decode_json_object,
)
from apricotlift.upstreams.pool import Timeouts

#: Longest time in seconds that the engine holds a poll open while there are no events.
POLL_WAIT_S = 10.0
_TIMEOUTS = Timeouts(connect_s=1.0, read_s=POLL_WAIT_S + 5.0, write_s=2.0)
_MIN_RETRY_S = 0.5
_MAX_RETRY_S = 10.0

#: Maximum number of missing sequence numbers that are remembered, in order to tell
#: late events from duplicates.
_MAX_MISSING = 10_000


@dataclass(frozen=True)
class KvEvent:
    """A change of the engine's cache.

    :param seq: sequence number.
    :param kind: ``stored``, ``removed`` or ``cleared``.
    """

    seq: int
    kind: str
    root: str
    blocks: tuple[str, ...]


@dataclass(frozen=True)
class KvBatch:
    """The events of one poll.

    :param is_new_boot: whether the engine has restarted since the last batch, or this
        is the first batch. Everything known about its cache is then invalid.
    :param gaps: first and last sequence number of each run of missing events.
    :param n_duplicates: number of events dropped because they had arrived before.
    """

    boot_id: str
    events: tuple[KvEvent, ...]
    is_new_boot: bool = False
    gaps: tuple[tuple[int, int], ...] = ()
    n_duplicates: int = 0


@dataclass
class EventSequenceTracker:
    """Keeps track of which events of one engine have been received.

    :param last_seq: highest sequence number so far, missing ones included.
    :param missing: sequence numbers up to ``last_seq`` that have not arrived, at most
        the highest :data:`_MAX_MISSING`.
    :param is_new_boot: whether the next batch is the first of its boot.
    """

    boot_id: str = ""
    last_seq: int = 0
    missing: set[int] = field(default_factory=set)
    is_new_boot: bool = False

    def add_events(
        self, boot_id: str, first_seq: int, events: list[KvEvent]
    ) -> KvBatch | None:
        """Sort the events of a poll into new events, duplicates and gaps.

        :param first_seq: sequence number of the oldest event that the engine still has.
        :returns: ``None`` when the engine has restarted and the poll asked for events
            after a sequence number of the earlier boot; the caller must poll again
            from the start.

        >>> tracker = EventSequenceTracker("b", 4)
        >>> event = KvEvent(7, "cleared", "", ())
        >>> tracker.add_events("b", 1, [event, event]).gaps
        ((5, 6),)
        """
        if boot_id != self.boot_id:
            was_numbered = self.last_seq > 0
            self.boot_id = boot_id
            self.last_seq = 0
            self.missing.clear()
            self.is_new_boot = True
            if was_numbered:
                return None
        gaps = []
        new_events = []
        n_duplicates = 0
        if first_seq > self.last_seq + 1:
            gaps.append(self._skip_to(first_seq))
        for event in events:
            if event.seq > self.last_seq:
                if event.seq > self.last_seq + 1:
                    gaps.append(self._skip_to(event.seq))
                self.last_seq = event.seq
                new_events.append(event)
            elif event.seq in self.missing:
                self.missing.discard(event.seq)
                new_events.append(event)
            else:
                n_duplicates += 1
        is_new_boot = self.is_new_boot
        self.is_new_boot = False
        return KvBatch(
            boot_id, tuple(new_events), is_new_boot, tuple(gaps), n_duplicates
        )

    def _skip_to(self, seq: int) -> tuple[int, int]:
        gap = (self.last_seq + 1, seq - 1)
        self.missing.update(range(max(gap[0], seq - _MAX_MISSING), seq))
        if len(self.missing) > _MAX_MISSING:
            self.missing = set(sorted(self.missing)[-_MAX_MISSING:])
        self.last_seq = seq - 1
        return gap


async def follow_events(
    engine: EngineClient, metrics: Metrics, poll_s: float = POLL_WAIT_S
) -> AsyncIterator[KvBatch]:
    """Yield batches without end, starting with all events that the engine still has.

    Failed polls are counted and retried with exponential backoff.

    :param poll_s: longest time in seconds that the engine may hold a poll open.
    """
    tracker = EventSequenceTracker()
    pause_s = _MIN_RETRY_S
    while True:
        path = f"/kv/events?after={tracker.last_seq}&wait_s={poll_s:g}"
        try:
            answer = decode_json_object(
                await engine.call("GET", path, timeouts=_TIMEOUTS)
            )
            boot_id, first_seq, events = _decode_batch(answer)
        except ApricotliftError as error:
            metrics.count("kv_event_polls_failed_total", reason=error.code)
            await anyio.sleep(pause_s)
            pause_s = min(_MAX_RETRY_S, pause_s * 2)
            continue
        pause_s = _MIN_RETRY_S
        batch = tracker.add_events(boot_id, first_seq, events)
        if batch is None:
            continue
        _count_events(metrics, batch)
        if batch.events or batch.is_new_boot or batch.gaps or batch.n_duplicates:
            yield batch


def _decode_batch(answer: dict) -> tuple[str, int, list[KvEvent]]:
    try:
        events = [
            KvEvent(
                int(item["seq"]),
                str(item["kind"]),
                str(item["root"]),
                tuple(item["blocks"]),
            )
            for item in answer["events"]
        ]
        return str(answer["boot_id"]), int(answer["first_seq"]), events
    except (KeyError, TypeError, ValueError) as error:
        raise build_body_error("/kv/events") from error


def _count_events(metrics: Metrics, batch: KvBatch) -> None:
    n_missing = sum(last - first + 1 for first, last in batch.gaps)
    for kind, n_events in (
        ("fresh", len(batch.events)),
        ("missing", n_missing),
        ("duplicate", batch.n_duplicates),
    ):
        if n_events:
            metrics.count("kv_events_total", n_events, kind=kind)
