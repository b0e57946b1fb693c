"""HTTP listeners: uvicorn servers on sockets that this process has already bound."""

import socket
import ssl
from collections.abc import Iterable
from contextlib import nullcontext
from functools import partial

import anyio
import uvicorn
from apricotlift.core import logs
from apricotlift.forwarding.clientconnections import ConnectionGuard, LimitedProtocol

_BACKLOG = 2048
#: Connections that are accepted before their number is checked. asyncio accepts as many
#: at once as the backlog that it is given.
_ACCEPT_BATCH = 32
#: The parser's buffer also holds what was read beyond a head; asyncio reads up to this.
_MIN_PARSER_BYTES = 262_144
#: uvicorn ticks every 0.1 s. A check of 2,000 connections takes some milliseconds.
_TICKS_PER_CHECK = 5
_SEND_POLL_INTERVAL_S = 0.05


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the process.

    :param guard: limits of its connections, which are checked about every 0.5 s.
    """

    def __init__(self, config: uvicorn.Config, guard: ConnectionGuard):
        super().__init__(config)
        self._guard = guard

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to accept connections."""
        await super().startup(sockets)
        for listener in sockets or []:
            listener.listen(_BACKLOG)

    async def on_tick(self, counter: int) -> bool:
        """Check the times of all connections, and return whether to stop."""
        if counter % _TICKS_PER_CHECK == 0:
            limits = self._guard.get_limits()
            for connection in list(self.server_state.connections):
                # A fault with one connection must not end the listener.
                try:
                    connection.check_times(limits)
                except Exception:
                    logs.log_exception("connection_check_failed")
                    connection.transport.abort()
            self._guard.report()
        return await super().on_tick(counter)

    def capture_signals(self):
        """Install no signal handlers."""
        return nullcontext()

    @property
    def n_unsent_bytes(self) -> int:
        """Bytes of responses that clients haven't taken from this process yet."""
        return sum(
            connection.transport.get_write_buffer_size()
            for connection in self.server_state.connections
        )


async def wait_until_sent(servers: Iterable[HttpServer]) -> None:
    """Wait until clients have taken all bytes of the responses."""
    while any(server.n_unsent_bytes for server in servers):
        await anyio.sleep(_SEND_POLL_INTERVAL_S)


def bind_listener(address: str) -> socket.socket:
    """Return a listening TCP socket.

    :param address: ``IP:PORT``; for port 0 the operating system chooses a free port.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets that were created with an explicit
    # protocol. Without it, a response sent in two writes is delayed by 40 ms, until
    # the client's delayed acknowledgement arrives.
    listener = socket.socket(family, proto=socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host.strip("[]"), int(port)))
    listener.listen(_BACKLOG)
    return listener


def get_bound_address(listener: socket.socket) -> str:
    """Return ``IP:PORT`` of a listening socket."""
    host, port = listener.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def build_http_server(
    app,
    context: ssl.SSLContext | None,
    guard: ConnectionGuard,
) -> HttpServer:
    """Return a server for an ASGI app.

    :param context: TLS settings, ``None`` for plain HTTP.
    :param guard: limits of the connections; the parser's buffer is twice as large as
        the largest request head.
    """
    limits = guard.get_limits()
    config = uvicorn.Config(
        app,
        log_config=None,
        log_level="critical",
        access_log=False,
        lifespan="off",
        server_header=False,
        date_header=False,
        http="h11",
        ws="none",
        timeout_keep_alive=limits.idle_timeout_s,
        h11_max_incomplete_event_size=max(
            _MIN_PARSER_BYTES, 2 * limits.max_header_bytes
        ),
        backlog=_ACCEPT_BATCH,
    )
    config.load()
    config.http_protocol_class = partial(LimitedProtocol, guard)
    if context is not None:
        config.ssl = context
    return HttpServer(config, guard)
