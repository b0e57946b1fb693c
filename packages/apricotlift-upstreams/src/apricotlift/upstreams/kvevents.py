"""Cache events of an engine, by long poll.

Events arrive late, with gaps and duplicates. The follower passes each event on once,
in the order of arrival, and reports what is missing, so that hints which depend on
lost events can be discounted.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import anyio
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.upstreams.engine import EngineClient, read_json, refuse_body
from apricotlift.upstreams.pool import Timeouts

#: How long the engine holds a poll open when it has no news.
POLL_S = 10.0
_TIMEOUTS = Timeouts(connect_s=1.0, read_s=POLL_S + 5.0, write_s=2.0)
_RETRY_S = 0.5
_MAX_RETRY_S = 10.0

#: Missing numbers that are remembered, to recognise events that come after all.
_MAX_MISSING = 10_000


@dataclass(frozen=True)
class KvEvent:
    """One event.

    :param kind: ``stored``, ``removed`` or ``cleared``.
    """

    seq: int
    kind: str
    root: str
    blocks: tuple[str, ...]


@dataclass(frozen=True)
class KvBatch:
    """What one poll brought.

    :param is_new_boot: the engine was started anew since the last batch (or this is
        the first one): everything known of its cache is void.
    :param gaps: first and last number of each run of missing events.
    :param n_duplicates: events that were dropped because they had come before.
    """

    boot_id: str
    events: tuple[KvEvent, ...]
    is_new_boot: bool = False
    gaps: tuple[tuple[int, int], ...] = ()
    n_duplicates: int = 0


@dataclass
class EventSequence:
    """What has been received of one engine's numbered events.

    :param is_new_boot: whether the next batch is the first of its boot.
    """

    boot_id: str = ""
    last_seq: int = 0
    missing: set[int] = field(default_factory=set)
    is_new_boot: bool = False

    def take(
        self, boot_id: str, first_seq: int, events: list[KvEvent]
    ) -> KvBatch | None:
        """Sort an answer into news, duplicates and gaps.

        :returns: ``None`` for an answer to a poll that was numbered by an earlier
            boot's events; the poll is to be repeated from the start.

        >>> sequence = EventSequence("b", 4)
        >>> event = KvEvent(7, "cleared", "", ())
        >>> sequence.take("b", 1, [event, event]).gaps
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
        fresh = []
        n_duplicates = 0
        if first_seq > self.last_seq + 1:
            gaps.append(self._skip_to(first_seq))
        for event in events:
            if event.seq > self.last_seq:
                if event.seq > self.last_seq + 1:
                    gaps.append(self._skip_to(event.seq))
                self.last_seq = event.seq
                fresh.append(event)
            elif event.seq in self.missing:
                self.missing.discard(event.seq)
                fresh.append(event)
            else:
                n_duplicates += 1
        is_new_boot = self.is_new_boot
        self.is_new_boot = False
        return KvBatch(boot_id, tuple(fresh), is_new_boot, tuple(gaps), n_duplicates)

    def _skip_to(self, seq: int) -> tuple[int, int]:
        gap = (self.last_seq + 1, seq - 1)
        self.missing.update(range(max(gap[0], seq - _MAX_MISSING), seq))
        if len(self.missing) > _MAX_MISSING:
            self.missing = set(sorted(self.missing)[-_MAX_MISSING:])
        self.last_seq = seq - 1
        return gap


async def follow_events(
    engine: EngineClient, metrics: Metrics, poll_s: float = POLL_S
) -> AsyncIterator[KvBatch]:
    """Yield batches for ever, starting with all events that the engine still has.

    Failed polls are counted and repeated after a growing pause.
    """
    sequence = EventSequence()
    pause_s = _RETRY_S
    while True:
        path = f"/kv/events?after={sequence.last_seq}&wait_s={poll_s:g}"
        try:
            answer = read_json(await engine.call("GET", path, timeouts=_TIMEOUTS))
            boot_id, first_seq, events = _read_answer(answer)
        except ApricotliftError as error:
            metrics.count("kv_event_polls_failed_total", reason=error.code)
            await anyio.sleep(pause_s)
            pause_s = min(_MAX_RETRY_S, pause_s * 2)
            continue
        pause_s = _RETRY_S
        batch = sequence.take(boot_id, first_seq, events)
        if batch is None:
            continue
        _count(metrics, batch)
        if batch.events or batch.is_new_boot or batch.gaps or batch.n_duplicates:
            yield batch


def _read_answer(answer: dict) -> tuple[str, int, list[KvEvent]]:
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
        raise refuse_body("/kv/events") from error


def _count(metrics: Metrics, batch: KvBatch) -> None:
    n_missing = sum(last - first + 1 for first, last in batch.gaps)
    for kind, n_events in (
        ("fresh", len(batch.events)),
        ("missing", n_missing),
        ("duplicate", batch.n_duplicates),
    ):
        if n_events:
            metrics.count("kv_events_total", n_events, kind=kind)
