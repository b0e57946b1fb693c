"""Repeats a call until one is answered, beside those that still wait for an answer.

A call may be lost without any sign but silence. If the next one began only when its
time limit is over, the caller would notice a server's return that much later.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import anyio
from anyio.abc import TaskGroup
from apricotlift.core.errors import ApricotliftError

Result = TypeVar("Result")


@dataclass(frozen=True)
class Answer(Generic[Result]):
    """The first answer to several calls.

    :param asked_at: when the answered call began.
    :param overtaken_at: when the last of the earlier calls began that still waited
        then; ``None`` if none did.
    """

    result: Result
    asked_at: float
    overtaken_at: float | None = None


@dataclass
class _Calls(Generic[Result]):
    """The calls for one answer.

    :param waiting: start of each call that waits for its answer, in their order.
    :param answer: the first answer, or the error that ends the calls.
    """

    ask: Callable[[int], Awaitable[Result]]
    may_repeat: Callable[[ApricotliftError], bool]
    note_error: Callable[[ApricotliftError, float], None]
    clock: Callable[[], float]
    tasks: TaskGroup
    failed: anyio.Event
    waiting: dict[int, float] = field(default_factory=dict)
    n_failures: int = 0
    answer: Answer[Result] | Exception | None = None

    async def run_call(self, number: int) -> None:
        """Make one call, and end the others if it is answered."""
        asked_at = self.waiting[number] = self.clock()
        try:
            result = await self.ask(number)
        except ApricotliftError as error:
            del self.waiting[number]
            if self.may_repeat(error):
                self.n_failures += 1
                self.note_error(error, asked_at)
                self.failed.set()
            else:
                self._end(error)
        # It is raised again where the answer is awaited, not as a group of errors.
        except Exception as error:
            self._end(error)
        else:
            earlier = [at for other, at in self.waiting.items() if other < number]
            self._end(Answer(result, asked_at, earlier[-1] if earlier else None))

    def _end(self, answer: Answer[Result] | Exception) -> None:
        if self.answer is None:
            self.answer = answer
        self.tasks.cancel_scope.cancel()


async def call_until_answered(
    ask: Callable[[int], Awaitable[Result]],
    get_interval_s: Callable[[int], float],
    get_pause_s: Callable[[int], float],
    may_repeat: Callable[[ApricotliftError], bool],
    note_error: Callable[[ApricotliftError, float], None],
    clock: Callable[[], float],
) -> Answer[Result]:
    """Make a call, and repeat it until one is answered.

    The calls that still wait then are cancelled. ``ask`` bounds the time of a call, and
    with it the number of calls that wait at the same time.

    :param ask: makes one call; its argument is the number of calls before it.
    :param get_interval_s: returns the seconds from the start of the call with this
        number to the next one, if it isn't answered.
    :param get_pause_s: returns the pause in seconds after so many failed calls.
    :param may_repeat: whether the call is repeated after an error.
    :param note_error: called with each such error and the start of its call.
    :raises ApricotliftError: the first error after which the call isn't repeated.
    """
    async with anyio.create_task_group() as tasks:
        calls = _Calls(ask, may_repeat, note_error, clock, tasks, anyio.Event())
        number = 0
        while True:
            calls.failed = anyio.Event()
            tasks.start_soon(calls.run_call, number)
            with anyio.move_on_after(get_interval_s(number)):
                await calls.failed.wait()
                await anyio.sleep(get_pause_s(calls.n_failures))
            number += 1
    if isinstance(calls.answer, Exception):
        raise calls.answer
    return calls.answer
