"""Prompts that were sent to an engine and have no response yet.

A busy engine queues prompts. One that begins only after the limit for the use of the
engine's weights would run on weights that must not be used any more, so it is cancelled
in the queue, and may then be sent to an engine with newer weights.
"""

import itertools
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio

#: Prompts are cancelled up to this time after their limit.
_CHECK_INTERVAL_S = 0.1


@dataclass
class PendingPrompt:
    """One prompt at an engine.

    :param weight_version: version that the engine was expected to have.
    :param scope: cancelled when the prompt must not begin any more.
    :param is_overdue: whether it was cancelled for that reason.
    """

    model: str
    weight_version: int | None
    scope: anyio.CancelScope | None = None
    is_overdue: bool = False


@dataclass
class PendingPrompts:
    """The prompts of this node that wait for their response.

    :param may_begin: returns whether prompts for a model may begin on a version.
    """

    may_begin: Callable[[str, int | None], bool]
    _pending: dict[int, PendingPrompt] = field(default_factory=dict)
    _numbers: Iterator[int] = field(default_factory=itertools.count)

    @contextmanager
    def watch(self, model: str, weight_version: int | None) -> Iterator[PendingPrompt]:
        """Watch a prompt until it leaves the block or its ``scope`` is removed."""
        number = next(self._numbers)
        pending = self._pending[number] = PendingPrompt(model, weight_version)
        try:
            yield pending
        finally:
            del self._pending[number]

    def cancel_overdue(self) -> None:
        """Cancel the prompts that must not begin any more."""
        for pending in self._pending.values():
            if pending.scope is None or pending.is_overdue:
                continue
            if not self.may_begin(pending.model, pending.weight_version):
                pending.is_overdue = True
                pending.scope.cancel()

    async def run(self) -> None:
        """Cancel overdue prompts until cancelled."""
        while True:
            await anyio.sleep(_CHECK_INTERVAL_S)
            self.cancel_overdue()
