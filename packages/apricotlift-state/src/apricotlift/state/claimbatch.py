"""Group commit: the writes that wait at a node go to the table in one transaction.

A transaction is applied as a whole or not at all, so an item whose condition does
not hold cancels the others. The table names such items; they are answered, and the
others are sent again without them.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import anyio
from anyio.abc import TaskStatus
from apricotlift.core import logs
from apricotlift.core.clocks import monotonic
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.platform import Delete, Put, Table
from apricotlift.platform.table import MAX_TRANSACTION_ITEMS, Write

#: Time in which writes gather. It bounds the latency that batching adds.
WINDOW_S = 0.005

#: The protocol allows 4 MB a transaction; the rest is for names and numbers.
MAX_BATCH_BYTES = 3_000_000

#: More waiting writes than the table takes in several seconds.
MAX_QUEUED = 5_000

_MAX_ATTEMPTS = 3
_FIRST_BACKOFF_S = 0.02

#: Sends one write, and gives up with ``table_unavailable`` when it has not been sent
#: by the given time of the boot-time clock. Raises as ``Table.transact`` does.
WriteFunction = Callable[[Write, float], Awaitable[None]]


def build_direct_write(table: Table) -> WriteFunction:
    """Return a function that sends each write in a transaction of its own."""

    async def write(item: Write, give_up_at: float) -> None:
        await table.transact([item])

    return write


@dataclass(eq=False)
class _Queued:
    """A write that waits for its outcome."""

    write: Write
    give_up_at: float
    queued_at: float
    n_attempts: int = 0
    error: ApricotliftError | None = None
    done: anyio.Event = field(default_factory=anyio.Event)

    def finish(self, error: ApricotliftError | None = None) -> None:
        self.error = error
        self.done.set()


class Batcher:
    """Sends waiting writes together, one transaction at a time.

    :param window_s: time in which writes gather, from the first of them.
    :param max_items: most writes in one transaction.
    """

    def __init__(
        self,
        table: Table,
        metrics: Metrics,
        window_s: float = WINDOW_S,
        max_items: int = MAX_TRANSACTION_ITEMS,
        clock: Callable[[], float] = monotonic,
    ):
        self._table = table
        self._metrics = metrics
        self._window_s = window_s
        self._max_items = max_items
        self._clock = clock
        self._queue: list[_Queued] = []
        self._changed = anyio.Event()

    async def write(self, write: Write, give_up_at: float) -> None:
        """Send a write with others and wait for its own outcome.

        :param give_up_at: a write that was not sent by then is not sent at all.
        :raises ApricotliftError: ``condition_failed``; ``table_unavailable``, certainly
            not applied; ``table_unclear``, which applies to the whole transaction and
            which each caller resolves by reading its own row.
        """
        if len(self._queue) >= MAX_QUEUED:
            self._metrics.count("claim_writes_refused_total", reason="queue_full")
            raise _refuse(f"{MAX_QUEUED} writes are waiting")
        queued = _Queued(write, give_up_at, self._clock())
        self._queue.append(queued)
        self._wake()
        try:
            await queued.done.wait()
        except BaseException:
            # Cancelled: the write isn't sent, or not sent again.
            queued.finish()
            raise
        if queued.error is not None:
            # Each waiting task raises its own instance, because a traceback is
            # attached to the instance.
            raise replace(queued.error)

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Send batches until cancelled."""
        task_status.started()
        while True:
            while not self._queue:
                await self._changed.wait()
                self._changed = anyio.Event()
            await self._gather()
            batch = self._take_batch()
            if batch:
                await self._send(batch)

    def _wake(self) -> None:
        self._changed.set()

    async def _gather(self) -> None:
        ends_at = self._queue[0].queued_at + self._window_s
        while 0 < len(self._queue) < self._max_items:
            left_s = ends_at - self._clock()
            if left_s <= 0:
                return
            with anyio.move_on_after(left_s):
                await self._changed.wait()
            self._changed = anyio.Event()

    def _take_batch(self) -> list[_Queued]:
        """Take writes of different rows off the queue, in order."""
        now = self._clock()
        batch: list[_Queued] = []
        kept: list[_Queued] = []
        targets = set()
        n_bytes = 0
        for queued in self._queue:
            if queued.done.is_set():
                continue
            if queued.give_up_at < now:
                self._metrics.count("claim_writes_refused_total", reason="waited")
                queued.finish(_refuse("the write waited too long to be sent"))
                continue
            target = _get_target(queued.write)
            size_bytes = _measure(queued.write)
            is_full = len(batch) >= self._max_items
            is_large = bool(batch) and n_bytes + size_bytes > MAX_BATCH_BYTES
            if is_full or is_large or target in targets:
                kept.append(queued)
                # A later write of the same row must not overtake this one.
                targets.add(target)
                continue
            targets.add(target)
            n_bytes += size_bytes
            batch.append(queued)
        self._queue = kept
        return batch

    async def _send(self, batch: list[_Queued]) -> None:
        for queued in batch:
            queued.n_attempts += 1
        self._metrics.count("claim_batch_items_total", len(batch))
        started_at = self._clock()
        try:
            await self._table.transact([queued.write for queued in batch])
        except ApricotliftError as error:
            self._metrics.count("claim_batches_total", outcome=error.code)
            await self._resolve(batch, error)
        except Exception:
            logs.log_exception("claim_batch_failed", n_items=len(batch))
            self._metrics.count("claim_batches_total", outcome="internal")
            unclear = ApricotliftError(
                Code.TABLE_UNCLEAR, "the batch failed", Ran.MAYBE, Scope.NODE
            )
            for queued in batch:
                queued.finish(unclear)
        else:
            self._metrics.count("claim_batches_total", outcome="applied")
            for queued in batch:
                queued.finish()
        self._metrics.observe("claim_batch_seconds", self._clock() - started_at)

    async def _resolve(self, batch: list[_Queued], error: ApricotliftError) -> None:
        if error.code is Code.CONDITION_FAILED:
            failed = set(error.details["failed"])
            for index in failed:
                batch[index].finish(replace(error, details={}))
            self._queue[:0] = [
                item for index, item in enumerate(batch) if index not in failed
            ]
            return
        if error.code is not Code.TABLE_UNAVAILABLE:
            for queued in batch:
                queued.finish(error)
            return
        # The table was throttled, is out, or cancelled the batch because another
        # transaction held a row. None of it was applied, so it can be sent again.
        retried = [item for item in batch if item.n_attempts < _MAX_ATTEMPTS]
        for queued in batch:
            if queued not in retried:
                queued.finish(error)
        if retried:
            self._metrics.count("claim_batch_retries_total", reason=error.code)
            backoff_s = _FIRST_BACKOFF_S * 2 ** retried[0].n_attempts
            await anyio.sleep(backoff_s * random.uniform(0.5, 1.0))
            self._queue[:0] = retried


def _get_target(write: Write) -> tuple[str, str]:
    key = write.row if isinstance(write, Put) else write
    return key.pk, key.sk


def _measure(write: Write) -> int:
    if isinstance(write, Delete):
        return 0
    return sum(
        len(name) + (len(value) if isinstance(value, str | bytes) else 16)
        for name, value in write.row.values.items()
    )


def _refuse(message: str) -> ApricotliftError:
    return ApricotliftError(Code.TABLE_UNAVAILABLE, message, Ran.NO, Scope.NODE)
