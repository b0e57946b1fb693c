"""HTTP listeners: uvicorn servers on sockets that this process has already bound."""

import socket
import ssl
from collections.abc import Iterable
from contextlib import nullcontext

import anyio
import uvicorn

_BACKLOG = 2048
_SEND_POLL_INTERVAL_S = 0.05


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the process."""

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
    max_header_bytes: int,
    idle_timeout_s: float = 75,
) -> HttpServer:
    """Return a server for an ASGI app.

    :param context: TLS settings, ``None`` for plain HTTP.
    :param max_header_bytes: largest request head that the node accepts; the parser's
        buffer is twice as large.
    :param idle_timeout_s: idle time after which a connection is closed.
    """
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
        timeout_keep_alive=idle_timeout_s,
        h11_max_incomplete_event_size=2 * max_header_bytes,
    )
    config.load()
    if context is not None:
        config.ssl = context
    return HttpServer(config)
