"""Captures the signals that stop a process or tell it that its settings have changed.

While a process has no handler for one of them, the signal's default action ends the
process. A program therefore calls :func:`capture_signals` before it imports anything
that takes long, and :meth:`CapturedSignals.ignore` once it has nothing left to do. In
between, the interpreter writes the number of each signal to a pipe as it arrives, so
signals are kept in their order until :meth:`CapturedSignals.receive` is called.

The time between ``exec`` and the program's first statement can't be covered from
within: signals have their default actions then.
"""

import os
import signal
from collections import deque
from itertools import groupby

#: ``SIGHUP`` says that the settings have changed; the others stop the process.
SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)

_READ_BYTES = 4_096


class CapturedSignals:
    """The signals that this process has got and not yet handled.

    :param descriptor: file descriptor from which the numbers of signals are read.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._pending: deque[signal.Signals] = deque()

    async def receive(self) -> signal.Signals:
        """Wait for the next signal and return it; one task at a time may wait."""
        # Imported here because it takes much longer than capturing the signals.
        import anyio
        import anyio.lowlevel

        # Lets other tasks run between the signals of a long series.
        await anyio.lowlevel.checkpoint()
        while not self._pending:
            await anyio.wait_readable(self._descriptor)
            numbers = os.read(self._descriptor, _READ_BYTES)
            # A signal that repeats the one before it says nothing new. Other parts of
            # the program may have handlers for other signals.
            self._pending.extend(
                signal.Signals(number)
                for number, _ in groupby(numbers)
                if number in SIGNALS
            )
        return self._pending.popleft()

    def ignore(self) -> None:
        """Ignore the signals from now on, until the process has exited.

        The interpreter restores the default action of each signal that has a handler
        as it exits, but leaves signals alone that are ignored.
        """
        for number in SIGNALS:
            signal.signal(number, signal.SIG_IGN)


def capture_signals() -> CapturedSignals:
    """Capture the signals in :data:`SIGNALS`, in place of their default actions.

    Call this in the main thread, and once in a process.
    """
    readable, writable = os.pipe()
    os.set_blocking(readable, False)
    os.set_blocking(writable, False)
    signal.set_wakeup_fd(writable, warn_on_full_buffer=False)
    for number in SIGNALS:
        signal.signal(number, _do_nothing)
    return CapturedSignals(readable)


def _do_nothing(number: int, frame: object) -> None:
    """Handle a signal whose number has been written to the pipe already."""
