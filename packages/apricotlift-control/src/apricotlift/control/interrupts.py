"""Lets every stop signal end a command as an interrupt from the keyboard does."""

import signal


def treat_stop_signals_as_interrupts() -> None:
    """Have ``SIGTERM`` and ``SIGHUP`` act like ``SIGINT``.

    A command that is interrupted reports what it has done. Signals that the caller set
    to be ignored stay ignored, as with ``nohup``. An ignored ``SIGINT`` doesn't disable
    the others: shells without job control start background commands that ignore it.
    """
    for number in (signal.SIGTERM, signal.SIGHUP):
        if signal.getsignal(number) is signal.SIG_DFL:
            signal.signal(number, _interrupt)


def _interrupt(number: int, frame: object) -> None:
    if signal.getsignal(signal.SIGINT) is signal.SIG_IGN:
        # SIGINT would have no effect.
        raise KeyboardInterrupt
    # An event loop's own handler cancels its main task, so that nothing is left open.
    signal.raise_signal(signal.SIGINT)
