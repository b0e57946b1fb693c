"""Work that is repeated in the background until it succeeds."""

import random
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup, TaskStatus
from apricotlift.core import logs
from apricotlift.core.metrics import Metrics

_FIRST_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 15.0

#: Returns whether the work is done.
Attempt = Callable[[], Awaitable[bool]]


class RetryQueue:
    """Runs attempts with growing pauses until each has succeeded.

    :param name: label of the counter ``background_retries_total``.
    """

    def __init__(self, name: str, metrics: Metrics):
        self._name = name
        self._metrics = metrics
        self._tasks: TaskGroup | None = None
        self._idle = anyio.Event()
        self._idle.set()
        self.n_pending = 0

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Work until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            task_status.started()
            await anyio.sleep_forever()

    def submit(self, attempt: Attempt) -> anyio.Event:
        """Start an attempt at once and return the event of its success."""
        if self._tasks is None:
            raise RuntimeError(f"the queue {self._name!r} isn't running")
        done = anyio.Event()
        if not self.n_pending:
            self._idle = anyio.Event()
        self.n_pending += 1
        self._tasks.start_soon(self._repeat, attempt, done)
        return done

    async def wait_idle(self) -> None:
        """Wait until nothing is pending."""
        await self._idle.wait()

    async def _repeat(self, attempt: Attempt, done: anyio.Event) -> None:
        backoff_s = _FIRST_BACKOFF_S
        while not await self._try(attempt):
            self._metrics.count("background_retries_total", queue=self._name)
            await anyio.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)
        self.n_pending -= 1
        done.set()
        if not self.n_pending:
            self._idle.set()

    async def _try(self, attempt: Attempt) -> bool:
        try:
            return await attempt()
        except Exception:
            # One faulty item must not end the work of all others.
            logs.log_exception("background_attempt_failed", queue=self._name)
            return False
