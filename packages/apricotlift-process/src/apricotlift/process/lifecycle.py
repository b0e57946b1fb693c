"""The phases of a server process, and what a signal does in each of them.

======== ============================================ ==================================
phase    ``SIGTERM``, ``SIGINT``                      ``SIGHUP``
======== ============================================ ==================================
starting cancels the start: nothing is accepted yet   reloads once the process serves
serving  starts the graceful shutdown                 reloads the settings
stopping nothing more; ``SIGINT`` may shorten the     reloads the settings
         shutdown, where the program allows it
======== ============================================ ==================================

Signals may come in any order and number. Before the first phase they wait in the pipe
of :mod:`apricotlift.process.signals`, and after the last one they are ignored.
"""

import signal
from collections.abc import Callable
from enum import StrEnum

import anyio
from apricotlift.core import logs
from apricotlift.core.metrics import Metrics
from apricotlift.process.signals import CapturedSignals


class Phase(StrEnum):
    """What a process is doing."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


class Lifecycle:
    """The phase of this process, changed by its start and by its signals.

    :ivar phase: the current phase.
    :ivar start_scope: the scope in which the program starts and runs; a stop signal
        cancels it while the program starts.
    """

    def __init__(self, metrics: Metrics):
        self.phase = Phase.STARTING
        self.start_scope = anyio.CancelScope()
        self._metrics = metrics
        self._stop_requested = anyio.Event()
        self._interrupted = anyio.Event()
        self._reload: Callable[[], None] | None = None
        self._is_reload_needed = False

    async def follow_signals(self, signals: CapturedSignals) -> None:
        """Handle signals until cancelled."""
        while True:
            self.handle_signal(await signals.receive())

    def handle_signal(self, number: signal.Signals) -> None:
        """Do what a signal means in the current phase."""
        name = signal.Signals(number).name
        logs.log(logs.INFO, "signal_received", signal=name, phase=self.phase)
        self._metrics.count("signals_total", signal=name, phase=self.phase)
        if number == signal.SIGHUP:
            self._reload_settings()
        elif self.phase is not Phase.STOPPING:
            self._stop(name)
        elif number == signal.SIGINT:
            self._interrupted.set()

    def begin_service(self, reload: Callable[[], None]) -> None:
        """Enter the phase in which requests are served.

        :param reload: reads and applies the settings; called at once if ``SIGHUP`` has
            come during the start.
        """
        self._reload = reload
        self.phase = Phase.SERVING
        if self._is_reload_needed:
            reload()

    async def wait_for_stop(self) -> None:
        """Wait for the first stop signal."""
        await self._stop_requested.wait()

    @property
    def is_interrupted(self) -> bool:
        """Whether a ``SIGINT`` has come after a stop signal."""
        return self._interrupted.is_set()

    async def wait_for_interrupt(self) -> None:
        """Wait for a ``SIGINT`` that comes after a stop signal.

        A person sends it to end a shutdown that takes too long. Supervisors repeat
        ``SIGTERM``, which therefore has no such meaning.
        """
        await self._interrupted.wait()

    def _reload_settings(self) -> None:
        if self._reload is None:
            self._is_reload_needed = True
            return
        self._reload()

    def _stop(self, name: str) -> None:
        logs.log(logs.INFO, "stopping", signal=name)
        if self.phase is Phase.STARTING:
            self.start_scope.cancel()
        self.phase = Phase.STOPPING
        self._stop_requested.set()
