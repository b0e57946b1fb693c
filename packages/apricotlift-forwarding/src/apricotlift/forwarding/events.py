"""Splits a stream of server-sent events into complete events without changing a byte.

The format is defined in section 9.2 of the WHATWG HTML standard. A proxy must forward
an event completely or not at all, because a stream that is resumed at another server
continues after the last complete event.
"""

import re
from dataclasses import dataclass

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope

MAX_EVENT_BYTES = 1_048_576
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


@dataclass(frozen=True)
class ServerSentEvent:
    """One event as received, including the blank line that ends it."""

    data: bytes
    event_id: str | None


class EventSplitter:
    """Assembles complete events from the chunks of a body.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 7\\ndata: a\\n\\nid:")
    [ServerSentEvent(data=b'id: 7\\ndata: a\\n\\n', event_id='7')]
    >>> splitter.remainder
    b'id:'
    """

    def __init__(self):
        self.remainder = b""

    def feed(self, chunk: bytes) -> list[ServerSentEvent]:
        """Return the events that this chunk completes.

        :raises ApricotliftError: ``upstream_protocol`` if an event is too large.
        """
        self.remainder += chunk
        events = []
        event_start = 0
        for match in _EVENT_END.finditer(self.remainder):
            data = self.remainder[event_start : match.end()]
            event_start = match.end()
            events.append(ServerSentEvent(data, _find_event_id(data)))
        self.remainder = self.remainder[event_start:]
        if len(self.remainder) > MAX_EVENT_BYTES:
            message = f"an event in the stream exceeds {MAX_EVENT_BYTES} bytes"
            raise ApricotliftError(
                Code.UPSTREAM_PROTOCOL, message, Ran.MAYBE, Scope.UPSTREAM
            )
        return events


def _find_event_id(data: bytes) -> str | None:
    found = _EVENT_ID.findall(data)
    return found[-1].decode("latin-1") if found else None
