"""Server-sent events, after the WHATWG HTML standard, section 9.2.

Only the parts that engines and callers use: ``event``, ``data`` and ``id`` fields,
lines that end in LF or CRLF, comments.
"""

from dataclasses import dataclass

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope

MAX_EVENT_BYTES = 1_048_576


@dataclass(frozen=True)
class Event:
    """One event."""

    data: str
    event: str = ""
    id: str = ""


class EventParser:
    """Splits bytes that arrive in pieces into events.

    >>> parser = EventParser()
    >>> parser.feed(b"id: 7\\ndata: a\\n\\nda")
    [Event(data='a', event='', id='7')]
    >>> parser.feed(b"ta: b\\n\\n")
    [Event(data='b', event='', id='')]
    """

    def __init__(self):
        self._rest = b""

    @property
    def is_complete(self) -> bool:
        """Whether no part of an event is waiting for its end."""
        return not self._rest.strip()

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that end in this piece.

        :raises ApricotliftError: ``upstream_protocol`` when an event is too large
            or not UTF-8.
        """
        self._rest += chunk.replace(b"\r\n", b"\n")
        *blocks, self._rest = self._rest.split(b"\n\n")
        if len(self._rest) > MAX_EVENT_BYTES:
            raise _refuse(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        try:
            parsed = [_parse_block(block.decode()) for block in blocks]
        except UnicodeDecodeError as error:
            raise _refuse("an event isn't valid UTF-8") from error
        return [event for event in parsed if event is not None]


def format_event(data: str, event: str = "", event_id: str = "") -> bytes:
    """Return the bytes of one event; ``data`` is one line.

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


def _refuse(message: str) -> ApricotliftError:
    return ApricotliftError(Code.UPSTREAM_PROTOCOL, message, Ran.MAYBE, Scope.UPSTREAM)
