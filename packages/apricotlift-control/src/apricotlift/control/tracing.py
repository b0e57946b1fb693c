"""The story of one request from the nodes' log lines.

Nodes write one JSON line for each decision. The lines that carry the request's id tell
what was done; lines about the servers that it used, and about the store and the
configuration shortly before, tell what the node believed then.
"""

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

from apricotlift.core.errors import ApricotliftError, Code

#: How long before a request's first line a change of belief belongs to its story.
CONTEXT_S = 10.0

_BELIEF_EVENTS = frozenset(
    {
        "server_added",
        "server_changed",
        "server_dropped",
        "order_sent",
        "crash_recorded",
        "engine_report_failed",
    }
)
_FLEET_EVENTS = frozenset(
    {
        "store_lost",
        "store_regained",
        "feed_history_lost",
        "configuration_applied",
        "weights_named",
        "settings_reloaded",
        "stopping",
        "starting",
        "log_lines_dropped",
    }
)
_OWN_KEYS = ("time", "level", "component", "event", "request_id")


@dataclass(frozen=True)
class Story:
    """The lines of a request and those that explain them, in order of time.

    :param n_unreadable: lines of the files that aren't JSON objects.
    """

    request_id: str
    lines: tuple[dict, ...]
    n_unreadable: int = 0


@dataclass
class _Reader:
    """Log lines of files; what isn't JSON is counted."""

    n_unreadable: int = 0
    lines: list[dict] = field(default_factory=list)

    def read(self, path: str) -> None:
        """Read one file.

        :raises ApricotliftError: ``not_found`` where it can't be read.
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


def read_story(request_id: str, paths: Sequence[str]) -> Story:
    """Return the story of a request from log files of one or more nodes.

    :raises ApricotliftError: ``not_found`` where no line has the id.
    """
    reader = _Reader()
    for path in paths:
        reader.read(path)
    own = [line for line in reader.lines if line.get("request_id") == request_id]
    if not own:
        message = f"no line of {len(paths)} files has the request id {request_id!r}"
        raise ApricotliftError(Code.NOT_FOUND, message)
    context = _select_context(own, reader.lines)
    lines = sorted([*own, *context], key=lambda line: line.get("time", ""))
    return Story(request_id, tuple(lines), reader.n_unreadable)


def render_story(story: Story) -> str:
    """Return one text line for each log line, with its own fields last.

    >>> line = {"time": "2026-01-01T00:00:00.5+00:00", "component": "n1",
    ...         "event": "request_ended", "request_id": "r", "status": 502}
    >>> print(render_story(Story("r", (line,))))
    2026-01-01T00:00:00.5+00:00 n1 > request_ended status=502
    """
    rows = []
    for line in story.lines:
        mark = ">" if line.get("request_id") == story.request_id else " "
        fields = " ".join(
            f"{key}={value}" for key, value in line.items() if key not in _OWN_KEYS
        )
        head = f"{line.get('time', '')} {line.get('component', '')} {mark}"
        rows.append(f"{head} {line['event']} {fields}".rstrip())
    if story.n_unreadable:
        rows.append(f"{story.n_unreadable} lines could not be read")
    return "\n".join(rows)


def _select_context(own: list[dict], lines: Iterable[dict]) -> list[dict]:
    components = {line.get("component") for line in own}
    servers = {line["server"] for line in own if "server" in line}
    times = [at for line in own if (at := _read_time(line)) is not None]
    if not times:
        return []
    first, last = min(times) - CONTEXT_S, max(times)
    selected = []
    for line in lines:
        at = _read_time(line)
        if at is None or not first <= at <= last:
            continue
        event = line["event"]
        is_server = event in _BELIEF_EVENTS and line.get("server") in servers
        is_fleet = event in _FLEET_EVENTS and line.get("component") in components
        if is_server or is_fleet:
            selected.append(line)
    return selected


def _read_time(line: dict) -> float | None:
    try:
        return datetime.fromisoformat(line["time"]).timestamp()
    except (KeyError, TypeError, ValueError):
        return None
