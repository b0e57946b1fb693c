"""Splits a stream of server-sent events into whole events without changing a byte.

The format is that of the WHATWG HTML standard, section 9.2. A relay must forward an
event whole or not at all, because a stream that is resumed elsewhere goes on after the
last whole event.
"""

import re
from dataclasses import dataclass

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope

MAX_EVENT_BYTES = 1_048_576
_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


@dataclass(frozen=True)
class WholeEvent:
    """One event as it came, its end included."""

    data: bytes
    event_id: str | None


class EventSplitter:
    """Collects pieces of a body and hands out whole events.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 7\\ndata: a\\n\\nid:")
    [WholeEvent(data=b'id: 7\\ndata: a\\n\\n', event_id='7')]
    >>> splitter.rest
    b'id:'
    """

    def __init__(self):
        self.rest = b""

    def feed(self, piece: bytes) -> list[WholeEvent]:
        """Return the events that end in this piece.

        :raises ApricotliftError: ``upstream_protocol`` for an oversize event.
        """
        self.rest += piece
        events = []
        start = 0
        for match in _END.finditer(self.rest):
            data = self.rest[start : match.end()]
            start = match.end()
            events.append(WholeEvent(data, _find_id(data)))
        self.rest = self.rest[start:]
        if len(self.rest) > MAX_EVENT_BYTES:
            message = f"an event exceeds {MAX_EVENT_BYTES} bytes"
            raise ApricotliftError(
                Code.UPSTREAM_PROTOCOL, message, Ran.MAYBE, Scope.UPSTREAM
            )
        return events


def _find_id(data: bytes) -> str | None:
    found = _ID.findall(data)
    return found[-1].decode("latin-1") if found else None
