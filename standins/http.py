"""A small HTTP server for stand-ins."""

import json
import signal
import socket
from collections.abc import Awaitable, Callable
from contextlib import nullcontext
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import anyio
import uvicorn
from apricotlift.core import logs

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@dataclass(frozen=True)
class Request:
    """A request whose body has been read."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def read_json(self) -> dict:
        """Return the body as JSON."""
        return json.loads(self.body or b"{}")


@dataclass(frozen=True)
class Reply:
    """A reply that is sent at once.

    :param cut: close the connection instead of sending the reply.
    """

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    cut: bool = False


class StreamingReply:
    """Sends a reply in several parts."""

    def __init__(self, send):
        self._send = send

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send the status and the headers."""
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": encode_headers(headers),
            }
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self) -> None:
        """End the body."""
        await self._send({"type": "http.response.body", "body": b""})


Handler = Callable[[Request, StreamingReply], Awaitable[Reply | None]]


def build_json_reply(data: object, status: int = 200, **headers: str) -> Reply:
    """Return a JSON reply; underscores in header names become hyphens."""
    named = {key.replace("_", "-"): value for key, value in headers.items()}
    named["content-type"] = "application/json"
    return Reply(status, json.dumps(data).encode(), named)


def encode_headers(headers: dict[str, str]) -> list[tuple[bytes, bytes]]:
    """Return headers in the form that ASGI requires."""
    return [(key.encode(), value.encode()) for key, value in headers.items()]


def build_app(handle: Handler):
    """Return an ASGI app that calls the handler for each request.

    A handler that sends its reply through ``Streaming`` returns None.
    """

    async def app(scope, receive, send) -> None:
        if scope["type"] != "http":
            return
        body = b""
        more = True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message.get("body", b"")
            more = message.get("more_body", False)
        query = {
            key: values[-1]
            for key, values in parse_qs(scope["query_string"].decode()).items()
        }
        headers = {
            key.decode("latin-1"): value.decode("latin-1")
            for key, value in scope["headers"]
        }
        request = Request(scope["method"], scope["path"], query, headers, body)
        streaming = StreamingReply(send)
        reply = await handle(request, streaming)
        if reply is None:
            return
        if reply.cut:
            # ASGI can't end a connection without a response, so the transport behind
            # uvicorn's send callable is aborted.
            send.__self__.transport.abort()
            await receive()
            return
        reply_headers = {"content-length": str(len(reply.body)), **reply.headers}
        await streaming.start(reply.status, reply_headers)
        await send({"type": "http.response.body", "body": reply.body})

    return app


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    def capture_signals(self):
        return nullcontext()


def bind(address: str = "127.0.0.1:0") -> socket.socket:
    """Return a listening socket; with port 0 the system chooses the port."""
    host, _, port = address.rpartition(":")
    # asyncio sets TCP_NODELAY only on sockets created with an explicit protocol.
    # Without it, a reply in two parts waits 40 ms for the client's delayed
    # acknowledgement.
    listener = socket.socket(proto=socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(1024)
    return listener


async def serve(app, listener: socket.socket, component: str) -> None:
    """Serve until a stop signal arrives.

    Logs a ``listening`` event with the address, from which tests read the port.
    """
    config = uvicorn.Config(
        app,
        log_config=None,
        log_level="critical",
        access_log=False,
        lifespan="off",
        server_header=False,
        http="h11",
        ws="none",
        timeout_keep_alive=60,
        timeout_graceful_shutdown=1,
    )
    server = _Server(config)
    host, port = listener.getsockname()[:2]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, server)
        logs.log(logs.INFO, "listening", listener=component, address=f"{host}:{port}")
        await server.serve(sockets=[listener])
        tasks.cancel_scope.cancel()


async def _stop_on_signal(server: uvicorn.Server) -> None:
    with anyio.open_signal_receiver(*STOP_SIGNALS) as signals:
        async for _ in signals:
            server.should_exit = True
            return
