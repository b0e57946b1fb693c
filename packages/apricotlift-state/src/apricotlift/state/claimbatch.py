"""Group commit: the queued claim writes of a node are sent in one transaction.

A transaction is applied as a whole or not at all, so an item whose condition does
not hold cancels the others. The table reports the indexes of such items. Their
callers get the error, and the other items are sent again without them.
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

#: Time for which a batch is collected. It bounds the latency that batching adds.
BATCH_WINDOW_S = 0.005

#: The protocol allows 4 MB a transaction; the remainder is a margin for the encoding
#: of names and numbers.
MAX_BATCH_BYTES = 3_000_000

#: Queue limit: more writes than the table accepts in several seconds.
MAX_QUEUED_WRITES = 5_000

_MAX_ATTEMPTS = 3
_INITIAL_BACKOFF_S = 0.02

#: Sends one write and waits for its outcome. The second argument is a deadline on the
#: boot-time clock: a write that was not sent by then fails with
#: ``table_unavailable``. Raises what ``Table.transact`` raises.
WriteFunction = Callable[[Write, float], Awaitable[None]]


def build_direct_write(table: Table) -> WriteFunction:
    """Return a function that sends each write in a transaction of its own.

    It sends at once, so it ignores the deadline.
    """

    async def write(item: Write, send_deadline_at: float) -> None:
        await table.transact([item])

    return write


@dataclass(eq=False)
class _QueuedWrite:
    """A write whose caller waits for its outcome."""

    write: Write
    send_deadline_at: float
    queued_at: float
    n_attempts: int = 0
    error: ApricotliftError | None = None
    done: anyio.Event = field(default_factory=anyio.Event)

    def finish(self, error: ApricotliftError | None = None) -> None:
        self.error = error
        self.done.set()


class WriteBatcher:
    """Sends queued writes in batches, one transaction at a time.

    :param window_s: seconds for which a batch is collected, counted from the time at
        which its first write was queued.
    :param max_items: largest number of writes in one transaction.
    """

    def __init__(
        self,
        table: Table,
        metrics: Metrics,
        window_s: float = BATCH_WINDOW_S,
        max_items: int = MAX_TRANSACTION_ITEMS,
        clock: Callable[[], float] = monotonic,
    ):
        self._table = table
        self._metrics = metrics
        self._window_s = window_s
        self._max_items = max_items
        self._clock = clock
        self._queue: list[_QueuedWrite] = []
        self._queue_changed = anyio.Event()

    async def write(self, write: Write, send_deadline_at: float) -> None:
        """Queue a write for the next batch and wait for its own outcome.

        :param send_deadline_at: time on the boot-time clock after which the write is
            no longer sent.
        :raises ApricotliftError: ``condition_failed``; ``table_unavailable`` if the
            write was certainly not applied; ``table_unclear`` if the outcome of the
            whole transaction is unknown, which each caller resolves by reading its
            own row.
        """
        if len(self._queue) >= MAX_QUEUED_WRITES:
            self._metrics.count("claim_writes_refused_total", reason="queue_full")
            raise _build_refusal(f"the queue is full with {MAX_QUEUED_WRITES} writes")
        queued = _QueuedWrite(write, send_deadline_at, self._clock())
        self._queue.append(queued)
        self._notify_queue_changed()
        try:
            await queued.done.wait()
        except BaseException:
            # Cancelled: a finished write is no longer put into a batch.
            queued.finish()
            raise
        if queued.error is not None:
            # Each waiting task raises a copy of its own, because raising attaches a
            # traceback to the exception instance.
            raise replace(queued.error)

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Send batches until cancelled."""
        task_status.started()
        while True:
            while not self._queue:
                await self._queue_changed.wait()
                self._queue_changed = anyio.Event()
            await self._wait_for_batch()
            batch = self._take_batch()
            if batch:
                await self._send(batch)

    def _notify_queue_changed(self) -> None:
        self._queue_changed.set()

    async def _wait_for_batch(self) -> None:
        window_ends_at = self._queue[0].queued_at + self._window_s
        while 0 < len(self._queue) < self._max_items:
            remaining_s = window_ends_at - self._clock()
            if remaining_s <= 0:
                return
            with anyio.move_on_after(remaining_s):
                await self._queue_changed.wait()
            self._queue_changed = anyio.Event()

    def _take_batch(self) -> list[_QueuedWrite]:
        """Remove the next batch from the queue: writes of distinct rows, in order."""
        now = self._clock()
        batch: list[_QueuedWrite] = []
        deferred: list[_QueuedWrite] = []
        used_row_keys = set()
        n_bytes = 0
        for queued in self._queue:
            if queued.done.is_set():
                continue
            if queued.send_deadline_at < now:
                self._metrics.count("claim_writes_refused_total", reason="waited")
                queued.finish(
                    _build_refusal("the write was not sent before its deadline")
                )
                continue
            row_key = _get_row_key(queued.write)
            size_bytes = _estimate_size_bytes(queued.write)
            is_full = len(batch) >= self._max_items
            is_large = bool(batch) and n_bytes + size_bytes > MAX_BATCH_BYTES
            if is_full or is_large or row_key in used_row_keys:
                deferred.append(queued)
                # Later writes of the same row are deferred too, to keep their order.
                used_row_keys.add(row_key)
                continue
            used_row_keys.add(row_key)
            n_bytes += size_bytes
            batch.append(queued)
        self._queue = deferred
        return batch

    async def _send(self, batch: list[_QueuedWrite]) -> None:
        for queued in batch:
            queued.n_attempts += 1
        self._metrics.count("claim_batch_items_total", len(batch))
        started_at = self._clock()
        try:
            await self._table.transact([queued.write for queued in batch])
        except ApricotliftError as error:
            self._metrics.count("claim_batches_total", outcome=error.code)
            await self._handle_failure(batch, error)
        except Exception:
            logs.log_exception("claim_batch_failed", n_items=len(batch))
            self._metrics.count("claim_batches_total", outcome="internal")
            unclear = ApricotliftError(
                Code.TABLE_UNCLEAR,
                "the batch failed unexpectedly",
                Ran.MAYBE,
                Scope.NODE,
            )
            for queued in batch:
                queued.finish(unclear)
        else:
            self._metrics.count("claim_batches_total", outcome="applied")
            for queued in batch:
                queued.finish()
        self._metrics.observe("claim_batch_seconds", self._clock() - started_at)

    async def _handle_failure(
        self, batch: list[_QueuedWrite], error: ApricotliftError
    ) -> None:
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
        # The table throttled the batch, is unavailable, or cancelled the batch because
        # of a conflict with another transaction. Nothing of it was applied, so it can
        # be sent again.
        retryable = [item for item in batch if item.n_attempts < _MAX_ATTEMPTS]
        for queued in batch:
            if queued not in retryable:
                queued.finish(error)
        if retryable:
            self._metrics.count("claim_batch_retries_total", reason=error.code)
            backoff_s = _INITIAL_BACKOFF_S * 2 ** retryable[0].n_attempts
            await anyio.sleep(backoff_s * random.uniform(0.5, 1.0))
            self._queue[:0] = retryable


def _get_row_key(write: Write) -> tuple[str, str]:
    key = write.row if isinstance(write, Put) else write
    return key.pk, key.sk


def _estimate_size_bytes(write: Write) -> int:
    if isinstance(write, Delete):
        return 0
    return sum(
        len(name) + (len(value) if isinstance(value, str | bytes) else 16)
        for name, value in write.row.values.items()
    )


def _build_refusal(message: str) -> ApricotliftError:
    return ApricotliftError(Code.TABLE_UNAVAILABLE, message, Ran.NO, Scope.NODE)
