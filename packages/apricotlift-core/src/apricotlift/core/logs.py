"""Structured logging: JSON lines, written through ``absl.logging``.

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


#: Limit of the information-level lines: the sustained rate, and the burst that is
#: allowed after a time with few lines.
MAX_LINES_PER_S = 400.0
MAX_BURST_LINES = 2_000.0

#: Limits the bytes that are buffered for a slow reader; further lines are dropped.
MAX_BACKLOG_BYTES = 524_288


class NonBlockingLineWriter:
    """Writes lines to a file descriptor without blocking on a slow reader.

    Lines that don't fit into the backlog are dropped and counted. The count is written
    with the next line after the backlog is empty.

    :param descriptor: file descriptor to write to; it is set to non-blocking.
    :param max_backlog_bytes: largest size of the backlog.
    """

    def __init__(self, descriptor: int, max_backlog_bytes: int = MAX_BACKLOG_BYTES):
        self.n_dropped = 0
        self._descriptor = descriptor
        self._max_backlog_bytes = max_backlog_bytes
        self._backlog = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write or buffer one or more lines, or drop them if the backlog is full."""
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
        """Write as much of the backlog as is possible without blocking."""
        while self._backlog:
            try:
                n_written = os.write(self._descriptor, self._backlog)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is no other output for the lines.
                self._backlog.clear()
                return
            del self._backlog[:n_written]

    def close(self) -> None:
        """Write as much of the backlog as possible; the descriptor stays open."""
        self.flush()


def _build_drop_line(n_dropped: int) -> bytes:
    line = {"level": "warning", "event": "log_lines_dropped", "n_lines": n_dropped}
    return json.dumps(line).encode() + b"\n"


class LineRateLimiter:
    """Limits the lines per second with a token bucket.

    :param per_s: tokens that are added per second.
    :param burst: size of the bucket.
    :param now: start time in seconds; by default the current time.

    >>> limiter = LineRateLimiter(per_s=1.0, burst=2.0, now=0.0)
    >>> [limiter.take(0.0), limiter.take(0.0), limiter.take(0.0), limiter.take(1.0)]
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
        self._n_tokens = burst
        self._updated_at_s = time.monotonic() if now is None else now

    def take(self, now: float | None = None) -> bool:
        """Take a token if there is one and return whether a line may be written."""
        now = time.monotonic() if now is None else now
        self._n_tokens = min(
            self._burst, self._n_tokens + (now - self._updated_at_s) * self._per_s
        )
        self._updated_at_s = now
        if self._n_tokens < 1:
            self.n_refused += 1
            return False
        self._n_tokens -= 1
        return True


_info_limiter = LineRateLimiter()


class _JsonFormatter(stdlib_logging.Formatter):
    """Formats log records of this program and of libraries as JSON lines."""

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
        try:
            return json.dumps(line, default=str)
        # A value from elsewhere may be nested too deeply, or a number too large.
        except (TypeError, ValueError, RecursionError) as error:
            kept = {key: line[key] for key in ("time", "level", "component", "event")}
            return json.dumps({**kept, "fields_left_out": type(error).__name__})


def configure(
    component: str,
    level: str = "info",
    stream: TextIO | NonBlockingLineWriter | None = None,
) -> None:
    """Send JSON lines to standard error, or to another stream.

    :param component: name of the process, written on each line.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    # absl logs a warning unless its flags have been parsed. This program has no absl
    # flags, so an empty command line is parsed.
    flags.FLAGS([component])
    flags.FLAGS.logtostderr = True
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(_JsonFormatter(component))
    absl_logging.use_absl_handler()
    handler.python_handler.stream = stream or sys.stderr
    absl_logging.set_verbosity(level)
    stdlib_logging.getLogger("websockets").setLevel(stdlib_logging.WARNING)
    # asyncio logs a warning for each write to a connection that is already lost.
    stdlib_logging.getLogger("asyncio").setLevel(stdlib_logging.ERROR)


def log(level: int, event: str, **fields: object) -> None:
    """Write one log line.

    Lines of level ``INFO`` beyond the rate limit are left out. The next line that is
    written has the number of lines left out.

    :param level: one of this module's level constants.
    :param event: a short constant name, in snake case.
    :param fields: JSON-serialisable values; fields that are ``None`` are left out.
    """
    logger = absl_logging.get_absl_logger()
    std_level = absl_logging.converter.absl_to_standard(level)
    if not logger.isEnabledFor(std_level):
        return
    if level == INFO and not _info_limiter.take():
        return
    present = {key: value for key, value in fields.items() if value is not None}
    if _info_limiter.n_refused:
        present["n_lines_left_out"] = _info_limiter.n_refused
        _info_limiter.n_refused = 0
    logger.log(std_level, event, extra={"fields": present})


def log_exception(event: str, **fields: object) -> None:
    """Write one error line with the traceback of the current exception."""
    logger = absl_logging.get_absl_logger()
    logger.error(event, extra={"fields": fields}, exc_info=True)
