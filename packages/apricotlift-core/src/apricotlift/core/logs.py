"""JSON log lines through ``absl.logging``.

Each line is one JSON object with the time, level, component and event, followed by
the event's fields. Prompt text and secrets are never passed to :func:`log`.
"""

import json
import logging as stdlib_logging
import sys
from datetime import UTC, datetime
from typing import TextIO

from absl import flags
from absl import logging as absl_logging

DEBUG = absl_logging.DEBUG
INFO = absl_logging.INFO
WARNING = absl_logging.WARNING
ERROR = absl_logging.ERROR

_LEVELS = {DEBUG: "debug", INFO: "info", WARNING: "warning", ERROR: "error"}


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


def configure(component: str, level: str = "info", stream: TextIO | None = None):
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
    """Write one line.

    :param level: one of this module's level constants.
    :param event: a short constant name, in snake case.
    :param fields: JSON-ready values; ``None`` is left out.
    """
    logger = absl_logging.get_absl_logger()
    std_level = absl_logging.converter.absl_to_standard(level)
    if not logger.isEnabledFor(std_level):
        return
    present = {key: value for key, value in fields.items() if value is not None}
    logger.log(std_level, event, extra={"fields": present})


def log_exception(event: str, **fields: object) -> None:
    """Write one error line with the traceback of the current exception."""
    logger = absl_logging.get_absl_logger()
    logger.error(event, extra={"fields": fields}, exc_info=True)
