"""Splits a stream of server-sent events into complete events without changing a byte.

The format is defined in section 9.2 of the WHATWG HTML standard. A proxy must forward
an event completely or not at all, because a stream that is resumed at another server
continues after the last complete event.
"""

import re
from dataclasses import dataclass

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.upstreams.readbudget import Reservation

MAX_EVENT_BYTES = 262_144
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")
#: The end of an event may be split over chunks, except for its last byte.
_N_OVERLAP = 3


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

    def __init__(self, reservation: Reservation | None = None):
        """Start with an empty buffer.

        :param reservation: memory for an event that isn't complete yet.
        """
        self._reservation = reservation
        self._buffer = bytearray()

    @property
    def remainder(self) -> bytes:
        """The bytes after the last complete event."""
        return bytes(self._buffer)

    def feed(self, chunk: bytes) -> list[ServerSentEvent]:
        """Return the events that this chunk completes.

        :raises ApricotliftError: ``upstream_protocol`` if an event is too large, and
            the errors of the reservation.
        """
        searched_to = max(0, len(self._buffer) - _N_OVERLAP)
        self._buffer += chunk
        events = []
        event_start = 0
        for match in _EVENT_END.finditer(self._buffer, searched_to):
            data = bytes(self._buffer[event_start : match.end()])
            event_start = match.end()
            events.append(ServerSentEvent(data, _find_event_id(data)))
        del self._buffer[:event_start]
        self._check_size()
        return events

    def _check_size(self) -> None:
        n_bytes = len(self._buffer)
        if n_bytes > MAX_EVENT_BYTES:
            message = f"an event in the stream exceeds {MAX_EVENT_BYTES} bytes"
            raise ApricotliftError(
                Code.UPSTREAM_PROTOCOL, message, Ran.MAYBE, Scope.UPSTREAM
            )
        if self._reservation is not None:
            self._reservation.resize(n_bytes)


def _find_event_id(data: bytes) -> str | None:
    found = _EVENT_ID.findall(data)
    return found[-1].decode("latin-1") if found else None
