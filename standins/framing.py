"""Stand-in for servers whose responses have neither a length nor chunks.

Such a response ends with its connection (RFC 9112, section 6.3). Run as
``python -m standins.framing``; the path of a request names the response, one of
:data:`BODIES`, :data:`HEAD_ENDS` or :data:`EVENT_ENDS` with the number of the last
event, as in ``/regular`` and ``/whole_events:3``. ``repeated_events`` begin with the
first event where a later one is asked for, and ``sized_events`` have a length. A name
that ends in ``_reset`` ends with a reset of the connection, one that ends in ``_stall``
is left open, all others end regularly.
"""

import socket
import struct

import anyio
import defopt
from anyio.abc import SocketAttribute, SocketStream
from apricotlift.core import logs

_HTTP_1_1 = b"HTTP/1.1 200 OK\r\n"
_HTTP_1_0 = b"HTTP/1.0 200 OK\r\n"
_CLOSE = b"connection: close\r\n"
_EVENT_STREAM = b"content-type: text/event-stream\r\n"
_EVENT_INTERVAL_S = 0.02

#: Time in which a client reads what was sent before the connection is reset.
_RESET_DELAY_S = 0.05

#: Time after which a response without an end closes its connection.
_STALL_S = 30.0

#: By name: the first lines of the response, and its body with the text that identifies
#: it in the place of ``{}``.
BODIES: dict[str, tuple[bytes, bytes]] = {
    "regular": (_HTTP_1_1, b"{}"),
    "close_header": (_HTTP_1_1 + _CLOSE, b"{}"),
    "http_1_0": (_HTTP_1_0, b"{}"),
    "http_1_0_keep_alive": (_HTTP_1_0 + b"connection: keep-alive\r\n", b"{}"),
    "http_1_0_sized": (_HTTP_1_0 + b"content-length: 2\r\n", b"ok"),
    "response_inside": (_HTTP_1_1, b"{}\r\nHTTP/1.1 200 OK\r\n\r\nextra"),
    "empty": (_HTTP_1_1, b""),
    "body_reset": (_HTTP_1_1, b"{}"),
    "http_1_0_reset": (_HTTP_1_0, b"{}"),
    "empty_reset": (_HTTP_1_1, b""),
    "body_stall": (_HTTP_1_1, b"{}"),
    "short": (_HTTP_1_1 + _CLOSE + b"content-length: 100\r\n", b"short"),
    "short_reset": (_HTTP_1_1 + _CLOSE + b"content-length: 100\r\n", b"short"),
    "chunks_short": (_HTTP_1_1 + b"transfer-encoding: chunked\r\n", b"5\r\nshort\r\n"),
    "no_content_stream": (b"HTTP/1.1 204 No Content\r\n" + _EVENT_STREAM, b""),
}

#: By name: where the head of a response ends; ``{}`` stands for the echoed headers.
HEAD_ENDS: dict[str, bytes] = {
    "head_in_version": b"HTTP/1",
    "head_in_status": b"HTTP/1.1 20",
    "head_in_status_line": b"HTTP/1.1 200 OK",
    "head_after_status_line": _HTTP_1_1,
    "head_in_name": _HTTP_1_1 + b"{}content-le",
    "head_in_length": _HTTP_1_1 + b"{}content-length: 1",
    "head_after_length": _HTTP_1_1 + b"{}content-length: 0\r\n",
    "head_after_headers": _HTTP_1_1 + b"{}",
    "head_in_blank_line": _HTTP_1_1 + b"{}content-length: 0\r\n\r",
    "head_of_http_1_0": _HTTP_1_0 + b"{}",
    "head_of_chunks": _HTTP_1_1 + b"{}transfer-encoding: chunked\r\n",
    "head_of_events": _HTTP_1_1 + b"{}" + _EVENT_STREAM,
    "head_after_interim": b"HTTP/1.1 102 Processing\r\n\r\n" + _HTTP_1_1 + b"{}",
    "head_after_headers_reset": _HTTP_1_1 + b"{}",
    "head_in_length_reset": _HTTP_1_1 + b"{}content-length: 1",
}

_FAILURE = b'{"error": "failed"}'
_FAILURE_HEAD = b"HTTP/1.1 503 Service Unavailable\r\n"
_FAILURE_HEADERS = b"content-type: application/json\r\ncontent-length: 19\r\n"

#: By name: what a stream sends after its last whole event.
EVENT_ENDS: dict[str, bytes] = {
    "whole_events": b"",
    "whole_events_reset": b"",
    "whole_events_at_once_reset": b"",
    "part_of_field": b"id: 99\nda",
    "line_without_end": b"id: 99\ndata: x",
    "one_line_feed": b"id: 99\ndata: x\n",
    "one_line_end": b"id: 99\r\ndata: x\r\n",
    "part_of_line_end": b"id: 99\r\ndata: x\r",
    "part_of_blank_line": b"id: 99\r\ndata: x\r\n\r",
    "part_of_field_reset": b"id: 99\nda",
    "one_line_feed_reset": b"id: 99\ndata: x\n",
    "sized_events": b"id: 99\nda",
    "repeated_events": b"",
    "head_after_event": _FAILURE_HEAD + _FAILURE_HEADERS + b"\r\n" + _FAILURE,
    "head_inside_event": b"id: 99\ndata: x"
    + (_FAILURE_HEAD + _FAILURE_HEADERS + b"\r\n" + _FAILURE),
    "bare_head_inside_event": b"id: 99\ndata: x" + _FAILURE_HEAD + b"\r\n" + _FAILURE,
    "error_object": _FAILURE + b"\n\n",
    "error_event": b"event: error\ndata: " + _FAILURE + b"\n\n",
    "events_and_error": b"id: 4\ndata: x\n\nid: 5\ndata: x\n\n" + _FAILURE + b"\n\n",
    "word_as_id": b"id: failed\ndata: " + _FAILURE + b"\n\n",
    "superscript_as_id": b"id: \xb2\ndata: " + _FAILURE + b"\n\n",
    "long_id": b"id: " + b"9" * 5000 + b"\ndata: " + _FAILURE + b"\n\n",
    "empty_id": b"id:\ndata: " + _FAILURE + b"\n\n",
}


async def send_close_delimited(
    stream: SocketStream,
    kind: str,
    headers: dict[str, str],
    text: str,
    first_event_number: int = 1,
) -> None:
    """Send a response and end its connection.

    :param kind: name in :data:`BODIES` or :data:`HEAD_ENDS`, or in
        :data:`EVENT_ENDS` with a colon and the number of the last event.
    :param text: text that identifies the response.
    """
    name, _, last_event_number = kind.partition(":")
    lines = "".join(f"{key}: {value}\r\n" for key, value in headers.items()).encode()
    if name in EVENT_ENDS:
        if name == "sized_events":
            lines += b"content-length: 1000\r\n"
        if name == "repeated_events":
            first_event_number = 1
        await stream.send(_HTTP_1_1 + lines + _EVENT_STREAM + b"\r\n")
        for number in range(first_event_number, int(last_event_number) + 1):
            await stream.send(f"id: {number}\ndata: {text}\n\n".encode())
            await anyio.sleep(_EVENT_INTERVAL_S if "at_once" not in name else 0)
        end = EVENT_ENDS[name]
    elif name in HEAD_ENDS:
        end = HEAD_ENDS[name].replace(b"{}", lines)
    else:
        start, body = BODIES[name]
        end = start + lines + b"\r\n" + body.replace(b"{}", text.encode())
    if end:
        await stream.send(end)
    await _end_connection(stream, name)


async def _end_connection(stream: SocketStream, name: str) -> None:
    if name.endswith("_stall"):
        await anyio.sleep(_STALL_S)
    elif name.endswith("_reset"):
        if "at_once" not in name:
            await anyio.sleep(_RESET_DELAY_S)
        _reset_connection(stream)
    await stream.aclose()


def _reset_connection(stream: SocketStream) -> None:
    """Reset the connection; closing the stream would send a regular end first."""
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    no_linger = struct.pack("ii", 1, 0)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    stream._transport.abort()


async def _serve_connection(stream: SocketStream) -> None:
    async with stream:
        try:
            head = await stream.receive()
            path = head.split(b" ", 2)[1].decode()
            await send_close_delimited(stream, path[1:], {}, f"body of {path[1:]}")
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return


async def run(name: str) -> None:
    """Serve one address until stopped.

    :param name: the listener's name in the log.
    """
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    logs.log(logs.INFO, "listening", listener=name, address=f"127.0.0.1:{port}")
    await listener.serve(_serve_connection)


def main(*, name: str = "framing") -> None:
    """Run the stand-in until it is stopped.

    :param name: the listener's name in the log.
    """
    logs.configure(name)
    anyio.run(run, name)


if __name__ == "__main__":
    defopt.run(main)
