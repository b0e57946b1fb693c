"""Background work that is retried until it succeeds."""

import random
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup, TaskStatus
from apricotlift.core import logs
from apricotlift.core.metrics import Metrics

_MIN_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 15.0

#: Attempts the work once and returns whether it is done.
Attempt = Callable[[], Awaitable[bool]]


class RetryQueue:
    """Retries each submitted attempt with exponential backoff until it succeeds.

    :param name: value of the label ``queue`` of ``background_retries_total``.
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
        """Run the submitted attempts until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            task_status.started()
            await anyio.sleep_forever()

    def submit(self, attempt: Attempt) -> anyio.Event:
        """Start an attempt immediately.

        :returns: an event that is set when the attempt has succeeded.
        :raises RuntimeError: when the queue isn't running.
        """
        if self._tasks is None:
            raise RuntimeError(
                f"retry queue {self._name!r} isn't running; start run() before submit()"
            )
        done = anyio.Event()
        if not self.n_pending:
            self._idle = anyio.Event()
        self.n_pending += 1
        self._tasks.start_soon(self._run_until_done, attempt, done)
        return done

    async def wait_until_idle(self) -> None:
        """Wait until nothing is pending."""
        await self._idle.wait()

    async def _run_until_done(self, attempt: Attempt, done: anyio.Event) -> None:
        backoff_s = _MIN_BACKOFF_S
        while not await self._run_attempt(attempt):
            self._metrics.count("background_retries_total", queue=self._name)
            await anyio.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)
        self.n_pending -= 1
        done.set()
        if not self.n_pending:
            self._idle.set()

    async def _run_attempt(self, attempt: Attempt) -> bool:
        try:
            return await attempt()
        except Exception:
            # An unexpected error of one attempt must not end the task group and all
            # other attempts with it.
            logs.log_exception("background_attempt_failed", queue=self._name)
            return False
