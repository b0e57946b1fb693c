"""JSON log lines through ``absl.logging``.

Each line is one JSON object with the time, level, component and event, followed by
the event's fields. Prompt text and secrets are never passed to :func:`log`.
"""

import json
import logging as stdlib_logging
import os
import sys
import time
from datetime import UTC, datetime
from typing import TextIO

from absl import flags
from absl import logging as absl_logging

DEBUG = absl_logging.DEBUG
INFO = absl_logging.INFO
WARNING = absl_logging.WARNING
ERROR = absl_logging.ERROR

_LEVELS = {DEBUG: "debug", INFO: "info", WARNING: "warning", ERROR: "error"}


#: Lines a second that are written in the long run, and at once after a quiet time.
MAX_LINES_PER_S = 400.0
MAX_BURST_LINES = 2_000.0

#: Bytes that wait for a reader who is slow; what comes beyond them is dropped.
MAX_BACKLOG_BYTES = 524_288


class LineOutput:
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines that don't fit into the backlog are dropped and counted; the count is
    written as soon as there is room.

    :param descriptor: is set to non-blocking.
    """

    def __init__(self, descriptor: int, max_backlog_bytes: int = MAX_BACKLOG_BYTES):
        self.n_dropped = 0
        self._descriptor = descriptor
        self._max_backlog_bytes = max_backlog_bytes
        self._backlog = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Take one line, or several."""
        data = text.encode(errors="replace")
        self.flush()
        if self.n_dropped and not self._backlog:
            self._backlog += _build_drop_line(self.n_dropped)
            self.n_dropped = 0
        if len(self._backlog) + len(data) > self._max_backlog_bytes:
            self.n_dropped += 1
            return len(text)
        self._backlog += data
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much of the backlog as the reader takes now."""
        while self._backlog:
            try:
                n_written = os.write(self._descriptor, self._backlog)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is no other place for lines.
                self._backlog.clear()
                return
            del self._backlog[:n_written]

    def close(self) -> None:
        """Write what the reader still takes; the descriptor stays open."""
        self.flush()


def _build_drop_line(n_dropped: int) -> bytes:
    line = {"level": "warning", "event": "log_lines_dropped", "n_lines": n_dropped}
    return json.dumps(line).encode() + b"\n"


class LineRate:
    """Bounds the lines a second by a token bucket.

    >>> rate = LineRate(per_s=1.0, burst=2.0, now=0.0)
    >>> [rate.take(0.0), rate.take(0.0), rate.take(0.0), rate.take(1.0)]
    [True, True, False, True]
    """

    def __init__(
        self,
        per_s: float = MAX_LINES_PER_S,
        burst: float = MAX_BURST_LINES,
        now: float | None = None,
    ):
        self.n_refused = 0
        self._per_s = per_s
        self._burst = burst
        self._left = burst
        self._at = time.monotonic() if now is None else now

    def take(self, now: float | None = None) -> bool:
        """Return whether one more line may be written."""
        now = time.monotonic() if now is None else now
        self._left = min(self._burst, self._left + (now - self._at) * self._per_s)
        self._at = now
        if self._left < 1:
            self.n_refused += 1
            return False
        self._left -= 1
        return True


_rate = LineRate()


class _JsonFormatter(stdlib_logging.Formatter):
    """Formats records of this program and of libraries as JSON lines."""

    def __init__(self, component: str):
        super().__init__()
        self._component = component

    def format(self, record: stdlib_logging.LogRecord) -> str:
        """Return one JSON line."""
        when = datetime.fromtimestamp(record.created, UTC)
        line = {
            "time": when.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "component": self._component,
        }
        fields = getattr(record, "fields", None)
        if fields is None:
            line["event"] = "library"
            line["logger"] = record.name
            line["message"] = record.getMessage()
        else:
            line["event"] = record.getMessage()
            line.update(fields)
        if record.exc_info and record.exc_info[0]:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure(
    component: str, level: str = "info", stream: TextIO | LineOutput | None = None
) -> None:
    """Send JSON lines to standard error, or to another stream.

    :param component: the name of the process, on every line.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    # absl asks for parsed flags before it logs without a warning. This program
    # takes no absl flags, so an empty command line is parsed.
    flags.FLAGS([component])
    flags.FLAGS.logtostderr = True
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(_JsonFormatter(component))
    absl_logging.use_absl_handler()
    handler.python_handler.stream = stream or sys.stderr
    absl_logging.set_verbosity(level)
    stdlib_logging.getLogger("websockets").setLevel(stdlib_logging.WARNING)
    # asyncio repeats one line for each write to a connection that is already lost.
    stdlib_logging.getLogger("asyncio").setLevel(stdlib_logging.ERROR)


def log(level: int, event: str, **fields: object) -> None:
    """Write one line, unless it is for information and too many came before.

    The next line that is written says how many were left out.

    :param level: one of this module's level constants.
    :param event: a short constant name, in snake case.
    :param fields: JSON-ready values; ``None`` is left out.
    """
    logger = absl_logging.get_absl_logger()
    std_level = absl_logging.converter.absl_to_standard(level)
    if not logger.isEnabledFor(std_level):
        return
    if level == INFO and not _rate.take():
        return
    present = {key: value for key, value in fields.items() if value is not None}
    if _rate.n_refused:
        present["n_lines_left_out"] = _rate.n_refused
        _rate.n_refused = 0
    logger.log(std_level, event, extra={"fields": present})


def log_exception(event: str, **fields: object) -> None:
    """Write one error line with the traceback of the current exception."""
    logger = absl_logging.get_absl_logger()
    logger.error(event, extra={"fields": fields}, exc_info=True)
