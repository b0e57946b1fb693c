"""Reconstructs what happened to one request from the nodes' log files.

Nodes write one JSON line for each decision. The lines with the request's id say what
was done. Lines about the servers that it used, and about the store and the
configuration shortly before, say on which information the node based its decisions.
"""

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

from apricotlift.core.errors import ApricotliftError, Code

#: Lines about servers and nodes are included from this time before the request's first
#: line.
CONTEXT_S = 10.0

_SERVER_EVENTS = frozenset(
    {
        "server_added",
        "server_changed",
        "server_dropped",
        "order_sent",
        "crash_recorded",
        "engine_report_failed",
    }
)
_NODE_EVENTS = frozenset(
    {
        "store_lost",
        "store_regained",
        "store_restored",
        "table_read_again",
        "feed_history_lost",
        "configuration_applied",
        "weights_named",
        "settings_reloaded",
        "stopping",
        "starting",
        "log_lines_dropped",
    }
)
_HEADER_KEYS = ("time", "level", "component", "event", "request_id")


@dataclass(frozen=True)
class RequestTrace:
    """The log lines of a request and those that explain them, in order of time.

    :param n_unreadable: number of lines that could not be parsed as log lines.
    """

    request_id: str
    lines: tuple[dict, ...]
    n_unreadable: int = 0


@dataclass
class _LogReader:
    """Reads log lines from files and counts the lines that can't be parsed."""

    n_unreadable: int = 0
    lines: list[dict] = field(default_factory=list)

    def read(self, path: str) -> None:
        """Read one file.

        :raises ApricotliftError: ``not_found`` if it can't be read.
        """
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            message = f"{path}: {error.strerror}"
            raise ApricotliftError(Code.NOT_FOUND, message) from error
        for row in text.splitlines():
            start = row.find("{")
            try:
                line = json.loads(row[start:]) if start >= 0 else None
            except ValueError:
                line = None
            if isinstance(line, dict) and "event" in line:
                self.lines.append(line)
            elif row.strip():
                self.n_unreadable += 1


def read_trace(request_id: str, paths: Sequence[str]) -> RequestTrace:
    """Return the trace of a request from the log files of one or more nodes.

    :raises ApricotliftError: ``not_found`` if no line has the id.
    """
    reader = _LogReader()
    for path in paths:
        reader.read(path)
    request_lines = [
        line for line in reader.lines if line.get("request_id") == request_id
    ]
    if not request_lines:
        message = f"no line of {len(paths)} files has the request id {request_id!r}"
        raise ApricotliftError(Code.NOT_FOUND, message)
    context = _select_context(request_lines, reader.lines)
    lines = sorted([*request_lines, *context], key=lambda line: line.get("time", ""))
    return RequestTrace(request_id, tuple(lines), reader.n_unreadable)


def render_trace(request_trace: RequestTrace) -> str:
    """Return one text line for each log line, with the event's fields last.

    Lines of the request itself are marked with ``>``.

    >>> line = {"time": "2026-01-01T00:00:00.5+00:00", "component": "n1",
    ...         "event": "request_ended", "request_id": "r", "status": 502}
    >>> print(render_trace(RequestTrace("r", (line,))))
    2026-01-01T00:00:00.5+00:00 n1 > request_ended status=502
    """
    rows = []
    for line in request_trace.lines:
        mark = ">" if line.get("request_id") == request_trace.request_id else " "
        fields = " ".join(
            f"{key}={value}" for key, value in line.items() if key not in _HEADER_KEYS
        )
        head = f"{line.get('time', '')} {line.get('component', '')} {mark}"
        rows.append(f"{head} {line['event']} {fields}".rstrip())
    if request_trace.n_unreadable:
        rows.append(f"{request_trace.n_unreadable} lines could not be read")
    return "\n".join(rows)


def _select_context(request_lines: list[dict], lines: Iterable[dict]) -> list[dict]:
    components = {line.get("component") for line in request_lines}
    servers = {line["server"] for line in request_lines if "server" in line}
    times = [at for line in request_lines if (at := _read_time(line)) is not None]
    if not times:
        return []
    first, last = min(times) - CONTEXT_S, max(times)
    selected = []
    for line in lines:
        at = _read_time(line)
        if at is None or not first <= at <= last:
            continue
        event = line["event"]
        is_server = event in _SERVER_EVENTS and line.get("server") in servers
        is_fleet = event in _NODE_EVENTS and line.get("component") in components
        if is_server or is_fleet:
            selected.append(line)
    return selected


def _read_time(line: dict) -> float | None:
    try:
        return datetime.fromisoformat(line["time"]).timestamp()
    except (KeyError, TypeError, ValueError):
        return None
