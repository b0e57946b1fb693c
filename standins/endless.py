"""Stand-in for a server in trouble: sends bytes without end until the caller closes.

Run as ``python -m standins.endless``; the path of a request names the place of the
response in which the bytes come, one of :data:`PLACES`. ``GET /_sent`` returns how many
bytes each place has sent, and how many of its connections the callers have closed.
"""

import itertools
import json
from dataclasses import dataclass, field

import anyio
import defopt
from anyio.abc import SocketAttribute, SocketStream
from apricotlift.core import logs

_JUNK = b"x" * 16_384
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"transfer-encoding: chunked\r\n"
_EVENT_STREAM = _CHUNKED + b"content-type: text/event-stream\r\n"


def _encode_chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def _build_event(number: int) -> bytes:
    return b"id: %d\ndata: %s\n\n" % (number, _JUNK)


#: By place: what is sent once, with the echoed headers in the place of ``{}``, and what
#: is then sent again and again; numbered events are built one by one.
PLACES: dict[str, tuple[bytes, bytes]] = {
    "status_line": (b"HTTP/1.1 200 ", _JUNK),
    "header_line": (_OK + b"x-junk: ", _JUNK),
    "headers": (_OK, b"x-junk: 1\r\n" * 1000),
    "interim_responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 500),
    "no_response": (b"", _JUNK),
    "chunk_size": (_CHUNKED + b"{}\r\n", b"0" * 16_384),
    "chunk_extension": (_CHUNKED + b"{}\r\n1;x=", _JUNK),
    "chunk_extensions": (
        _CHUNKED + b"{}\r\n",
        b"1;x=" + b"y" * 8_000 + b"\r\nz\r\n",
    ),
    "trailer": (_CHUNKED + b"{}\r\n0\r\nx-junk: ", _JUNK),
    "body": (_OK + b"{}\r\n", _JUNK),
    "sized_body": (_OK + b"{}content-length: 1000000000000\r\n\r\n", _JUNK),
    "chunked_body": (_CHUNKED + b"{}\r\n", _encode_chunk(_JUNK)),
    "event": (_EVENT_STREAM + b"{}\r\n", _encode_chunk(_JUNK)),
    "numbered_events": (_EVENT_STREAM + b"{}\r\n", b""),
    "unnumbered_events": (
        _EVENT_STREAM + b"{}\r\n",
        _encode_chunk(b"data: junk\n\n" * 1000),
    ),
}


@dataclass
class EndlessState:
    """What the stand-in has sent.

    :param n_sent: bytes sent by place.
    :param n_closed: connections that the caller closed, by place.
    """

    n_sent: dict[str, int] = field(default_factory=dict)
    n_closed: dict[str, int] = field(default_factory=dict)


async def send_without_end(
    stream: SocketStream, place: str, headers: dict[str, str], state: EndlessState
) -> None:
    """Send bytes at one place of a response until the caller closes the connection.

    :param headers: headers of the response, where its place lies after them.
    """
    start, repeated = PLACES[place]
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    try:
        await stream.send(start.replace(b"{}", lines.encode()))
        for number in itertools.count(1):
            data = repeated or _encode_chunk(_build_event(number))
            await stream.send(data)
            state.n_sent[place] = state.n_sent.get(place, 0) + len(data)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        state.n_closed[place] = state.n_closed.get(place, 0) + 1


async def _serve_connection(stream: SocketStream, state: EndlessState) -> None:
    async with stream:
        try:
            head = await stream.receive()
        except anyio.EndOfStream:
            return
        path = head.split(b" ", 2)[1].decode().partition("?")[0]
        if path == "/_sent":
            body = json.dumps({"sent": state.n_sent, "closed": state.n_closed}).encode()
            size = f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
            await stream.send(_OK + size.encode() + body)
            return
        await send_without_end(stream, path.rpartition("/")[2], {}, state)


async def run(name: str) -> None:
    """Serve one address until stopped.

    :param name: the listener's name in the log.
    """
    state = EndlessState()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    logs.log(logs.INFO, "listening", listener=name, address=f"127.0.0.1:{port}")

    async def serve(stream: SocketStream) -> None:
        await _serve_connection(stream, state)

    await listener.serve(serve)


def main(*, name: str = "endless") -> None:
    """Run the stand-in until it is stopped.

    :param name: the listener's name in the log.
    """
    logs.configure(name)
    anyio.run(run, name)


if __name__ == "__main__":
    defopt.run(main)
