"""Queues prompts for admission when the fleet is at its capacity.

:mod:`apricotlift.policy.admission` decides which requests are admitted; this module
makes them wait. The capacity of a node is its share of the engines' declared limits,
because callers are spread over the nodes.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.policy.admission import (
    Admission,
    AdmissionRequest,
    AdmissionSettings,
    Verdict,
)


@dataclass
class AdmissionQueue:
    """Admits requests, or makes them wait for admission.

    :param get_capacity: returns this node's share of the fleet's capacity, in requests.
    """

    get_capacity: Callable[[], float]
    metrics: Metrics
    admission: Admission = field(
        default_factory=lambda: Admission(AdmissionSettings(), 1.0)
    )
    _waiting: dict[str, anyio.Event] = field(default_factory=dict)
    _expired: set[str] = field(default_factory=set)

    @asynccontextmanager
    async def enter(self, request: AdmissionRequest) -> AsyncIterator[None]:
        """Wait for admission, and occupy capacity inside the block.

        :raises ApricotliftError: if the request is refused; nothing ran.
        """
        self.admission.capacity = max(1.0, self.get_capacity())
        verdict = self.admission.decide(request, clocks.monotonic())
        if verdict is Verdict.WAIT:
            self.metrics.count("admission_waits_total")
            await self._wait(request)
        self.metrics.gauge("admitted_requests", self.admission.n_in_flight)
        started = clocks.monotonic()
        try:
            yield
        finally:
            self.admission.end(request.account, clocks.monotonic() - started)
            self._admit_waiting()

    async def _wait(self, request: AdmissionRequest) -> None:
        event = self._waiting[request.request_id] = anyio.Event()
        try:
            with anyio.move_on_after(request.time_left_s):
                await event.wait()
        except BaseException:
            self._release_cancelled(request, event)
            raise
        finally:
            del self._waiting[request.request_id]
        if not event.is_set():
            self.admission.cancel(request.request_id)
        if not event.is_set() or request.request_id in self._expired:
            self._expired.discard(request.request_id)
            message = "the deadline passed before capacity was available"
            raise ApricotliftError(Code.DEADLINE_UNREACHABLE, message)

    def _release_cancelled(self, request: AdmissionRequest, event: anyio.Event) -> None:
        """Remove a request whose wait was cancelled, and release its admission."""
        if not event.is_set():
            self.admission.cancel(request.request_id)
        elif request.request_id in self._expired:
            self._expired.discard(request.request_id)
        else:
            self.admission.end(request.account, 0.0)
            self._admit_waiting()

    def _admit_waiting(self) -> None:
        admitted, expired = self.admission.admit_waiting(clocks.monotonic())
        self._expired.update(expired)
        for request_id in (*admitted, *expired):
            event = self._waiting.get(request_id)
            if event is not None:
                event.set()
