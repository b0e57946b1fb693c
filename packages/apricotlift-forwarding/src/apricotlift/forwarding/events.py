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
#: Digits of the largest 64-bit number; Python refuses to convert very long numbers.
_MAX_ID_DIGITS = 20
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")
#: The head of an HTTP response within an event: a status line and a header, or a status
#: line that ends the head after lines that end in LF only. A line of the event's text
#: that looks like a status line is followed by another field of the event instead.
_RESPONSE_HEAD = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9]{2}[^\r\n]*\r\n(?!(?:data|event|id|retry)?:)[!-9;-~]+:"
    rb"|[^\r]\n[^\r\n]*HTTP/1\.[01] [1-5][0-9]{2}[^\r\n]*\r\n\r\n"
)
#: The end of an event may be split over chunks, except for its last byte.
_N_OVERLAP = 3


@dataclass(frozen=True)
class ServerSentEvent:
    """One event as received, including the blank line that ends it."""

    data: bytes
    event_id: str | None

    @property
    def has_response_head(self) -> bool:
        """Whether the server wrote the head of another response into the event.

        >>> head = b"HTTP/1.1 500 Error\\r\\ncontent-length: 0\\r\\n\\r\\n"
        >>> ServerSentEvent(b"id: 1\\ndata: x" + head, "1").has_response_head
        True
        >>> text = b"data: HTTP/1.1 200 OK\\r\\ndata: content-length: 0\\r\\n\\r\\n"
        >>> ServerSentEvent(b"id: 1\\r\\n" + text, "1").has_response_head
        False
        """
        return b"HTTP/1." in self.data and bool(_RESPONSE_HEAD.search(self.data))


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


def parse_event_number(event_id: str | None) -> int | None:
    """Return the number that an event's id is, ``None`` for another id.

    >>> [parse_event_number(event_id) for event_id in ("12", "a12", "9" * 30, None)]
    [12, None, None, None]
    """
    if event_id is None or not event_id.isdecimal() or len(event_id) > _MAX_ID_DIGITS:
        return None
    return int(event_id)


def _find_event_id(data: bytes) -> str | None:
    found = _EVENT_ID.findall(data)
    return found[-1].decode("latin-1") if found else None
