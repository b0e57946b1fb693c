"""Server-sent events according to the WHATWG HTML standard, section 9.2.

Supports only what engines and callers use: the fields ``event``, ``data`` and ``id``,
lines that end in LF or CRLF, and comments.
"""

from dataclasses import dataclass

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope

MAX_EVENT_BYTES = 1_048_576


@dataclass(frozen=True)
class Event:
    """A server-sent event."""

    data: str
    event: str = ""
    id: str = ""


class EventParser:
    """Incremental parser of an event stream.

    >>> parser = EventParser()
    >>> parser.feed(b"id: 7\\ndata: a\\n\\nda")
    [Event(data='a', event='', id='7')]
    >>> parser.feed(b"ta: b\\n\\n")
    [Event(data='b', event='', id='')]
    """

    def __init__(self):
        self._buffer = b""

    @property
    def is_complete(self) -> bool:
        """Whether the data so far ends at the end of an event."""
        return not self._buffer.strip()

    def feed(self, chunk: bytes) -> list[Event]:
        """Add a chunk of the stream and return the events that it completes.

        :raises ApricotliftError: ``upstream_protocol`` when an event is longer than
            :data:`MAX_EVENT_BYTES` or isn't valid UTF-8.
        """
        # The two bytes of a line end may arrive in different chunks.
        self._buffer = (self._buffer + chunk).replace(b"\r\n", b"\n")
        *blocks, self._buffer = self._buffer.split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise _build_error(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        try:
            parsed = [_parse_block(block.decode()) for block in blocks]
        except UnicodeDecodeError as error:
            raise _build_error("an event isn't valid UTF-8") from error
        return [event for event in parsed if event is not None]


def format_event(data: str, event: str = "", event_id: str = "") -> bytes:
    """Encode an event.

    :param data: text without line breaks.

    >>> format_event("x", event_id="r:1")
    b'id: r:1\\ndata: x\\n\\n'
    """
    head = f"event: {event}\n" if event else ""
    if event_id:
        head += f"id: {event_id}\n"
    return f"{head}data: {data}\n\n".encode()


def _parse_block(block: str) -> Event | None:
    values = {"event": "", "id": ""}
    data: list[str] = []
    for line in block.split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            data.append(value)
        elif name in values:
            values[name] = value
    if not data:
        return None
    return Event("\n".join(data), values["event"], values["id"])


def _build_error(message: str) -> ApricotliftError:
    return ApricotliftError(Code.UPSTREAM_PROTOCOL, message, Ran.MAYBE, Scope.UPSTREAM)
