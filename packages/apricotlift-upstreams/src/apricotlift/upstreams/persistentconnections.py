"""Persistent HTTP/1.1 connections to one server, with one request at a time on each.

The sender of a non-repeatable request must know whether the server may have run it. If
the connection can't be opened, the server has received nothing; after the first byte
was written, only a response shows whether the request ran. A connection is reused only
if it has carried nothing but the responses to its own requests.
"""

import socket
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field

import anyio
import httpcore
from apricotlift.core import clocks
from apricotlift.core.addresses import split_address
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.upstreams.bodies import (
    TRANSPORT_ERRORS,
    convert_transport_error,
    iterate_body,
    read_body,
)
from apricotlift.upstreams.boundedstreams import BoundedBackend
from apricotlift.upstreams.pool import Response
from apricotlift.upstreams.readbudget import ReadBudget

#: Longest idle time of a connection whose server states no keep-alive timeout.
DEFAULT_IDLE_S = 4.0
#: A connection is given up this long before the server's keep-alive timeout, because
#: a request that is sent while the server closes the connection may have run.
IDLE_MARGIN_S = 1.0
#: For short keep-alive timeouts, the connection is used for this fraction of them.
_IDLE_TIME_FRACTION = 0.5

#: A connection is closed when its peer acknowledges no data for this time.
_UNACKNOWLEDGED_LIMIT_MS = 1500
_PROBE_INTERVAL_S = 1
_N_PROBES = 2

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _N_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_LIMIT_MS),
)

Headers = list[tuple[str, str]]


@dataclass(frozen=True)
class HttpCall:
    """One HTTP request.

    :param target: path and query of the URL.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class StreamedResponse:
    """A response whose body is read from the connection as it arrives.

    :param budget: memory that all responses being read share.
    """

    def __init__(self, raw: httpcore.Response, budget: ReadBudget):
        self._raw = raw
        self.budget = budget
        self.status = raw.status
        self.headers: Headers = [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in raw.headers
        ]

    def get_header(self, name: str) -> str | None:
        """Return the value of the first header with a lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def iterate(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive.

        :raises ApricotliftError: as :func:`~.bodies.iterate_body`.
        """
        return iterate_body(self._raw)

    async def read(self, max_bytes: int) -> bytes:
        """Return the whole body.

        :raises ApricotliftError: as :func:`~.bodies.read_body`.
        """
        return await read_body(self._raw, max_bytes, self.budget)


@dataclass
class _PooledConnection:
    connection: httpcore.AsyncHTTP11Connection
    idle_since: float = 0.0
    idle_limit_s: float = DEFAULT_IDLE_S


@dataclass
class PersistentConnections:
    """A pool of connections to one address.

    :param address: ``IP:PORT``.
    :param n_connections_max: maximum number of connections that may be open.
    :param budget: memory that all responses being read share.
    :param n_open: number of open connections, idle or in use.
    """

    address: str
    n_connections_max: int
    metrics: Metrics
    budget: ReadBudget = field(default_factory=ReadBudget)
    n_open: int = 0
    _idle: list[_PooledConnection] = field(default_factory=list)

    @property
    def has_idle(self) -> bool:
        """Whether a request can probably be sent without opening a connection."""
        return any(_is_fresh(pooled) for pooled in self._idle)

    @asynccontextmanager
    async def open_response(
        self,
        call: HttpCall,
        connect_timeout_s: float,
        check_before_send: Callable[[], None] = lambda: None,
    ) -> AsyncIterator[StreamedResponse]:
        """Send a request and yield its response.

        Leaving the block before the end of the body closes the connection, which tells
        the server to stop.

        :param connect_timeout_s: time limit in seconds for opening a connection.
        :param check_before_send: called once the connection is open; raises an error if
            the request may no longer be sent.
        :raises ApricotliftError: ``upstream_connect`` or ``upstream_full`` when the
            request did not run; ``stream_broken`` or ``upstream_timeout`` when it may
            have run.
        """
        pooled = await self._acquire_connection(connect_timeout_s)
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._release_connection, pooled)
            check_before_send()
            try:
                raw = await pooled.connection.handle_async_request(
                    _build_request(self.address, call)
                )
            except TRANSPORT_ERRORS as error:
                raise convert_transport_error(error) from error
            stack.push_async_callback(_close_response, raw)
            response = StreamedResponse(raw, self.budget)
            pooled.idle_limit_s = _decode_idle_limit_s(response)
            yield response

    async def request(
        self, call: HttpCall, timeout_s: float, max_bytes: int = 4_194_304
    ) -> Response:
        """Send a request and return the response with its whole body.

        :param timeout_s: time limit in seconds for the whole call.
        :raises ApricotliftError: as :meth:`open_response` and
            :meth:`StreamedResponse.read`, and ``upstream_timeout`` when the time limit
            is over.
        """
        try:
            with anyio.fail_after(timeout_s):
                async with self.open_response(call, timeout_s) as response:
                    body = await response.read(max_bytes)
                    return Response(response.status, dict(response.headers), body)
        except TimeoutError as error:
            message = f"no complete response from {self.address} within {timeout_s:g} s"
            raise ApricotliftError(
                Code.UPSTREAM_TIMEOUT, message, Ran.MAYBE, Scope.UPSTREAM
            ) from error

    async def close(self) -> None:
        """Close idle connections now and busy ones at the end of their response."""
        self.n_connections_max = 0
        while self._idle:
            await self._close_connection(self._idle.pop())

    async def close_stale(self) -> None:
        """Close idle connections that are expired or were closed by the server."""
        idle_connections = self._idle
        self._idle = []
        for pooled in idle_connections:
            if _is_usable(pooled):
                self._idle.append(pooled)
            else:
                await self._close_connection(pooled)

    async def _acquire_connection(self, connect_timeout_s: float) -> _PooledConnection:
        while self._idle:
            pooled = self._idle.pop()
            if _is_usable(pooled):
                self.metrics.count("upstream_connections_reused_total")
                return pooled
            await self._close_connection(pooled)
        if self.n_open >= self.n_connections_max:
            message = (
                f"{self.n_open} connections to {self.address} are in use, at most "
                f"{self.n_connections_max} are allowed"
            )
            raise ApricotliftError(Code.UPSTREAM_FULL, message, Ran.NO, Scope.UPSTREAM)
        self.n_open += 1
        try:
            return _PooledConnection(
                await _open_connection(self.address, connect_timeout_s)
            )
        except TRANSPORT_ERRORS as error:
            self.n_open -= 1
            raise convert_transport_error(error) from error
        except ValueError as error:
            # The address may come from an entry that another program wrote. Host names
            # that can't be encoded raise a subclass, UnicodeError.
            self.n_open -= 1
            message = f"unusable address: {error}"
            raise ApricotliftError(
                Code.UPSTREAM_CONNECT, message, Ran.NO, Scope.UPSTREAM
            ) from error
        except BaseException:
            self.n_open -= 1
            raise
        finally:
            self.metrics.count("upstream_connections_opened_total")

    async def _release_connection(self, pooled: _PooledConnection) -> None:
        connection = pooled.connection
        # Data after the end of the response belongs to no request. If the connection
        # were reused, the next request would read this data as its own response.
        trailing_data, has_ended = connection._h11_state.trailing_data
        if (
            connection.is_idle()
            and not trailing_data
            and not has_ended
            and self.n_open <= self.n_connections_max
            and pooled.idle_limit_s > 0
        ):
            pooled.idle_since = clocks.monotonic()
            self._idle.append(pooled)
            return
        if connection.is_idle() and not has_ended:
            self.metrics.count("upstream_connections_dropped_total")
        await self._close_connection(pooled)

    async def _close_connection(self, pooled: _PooledConnection) -> None:
        self.n_open -= 1
        with anyio.CancelScope(shield=True), suppress(*TRANSPORT_ERRORS, OSError):
            await pooled.connection.aclose()


async def _open_connection(
    address: str, timeout_s: float
) -> httpcore.AsyncHTTP11Connection:
    host, port = split_address(address)
    stream = await BoundedBackend().connect_tcp(
        host, port, timeout=timeout_s, socket_options=SOCKET_OPTIONS
    )
    origin = httpcore.Origin(b"http", host.encode(), port)
    return httpcore.AsyncHTTP11Connection(origin, stream)


def _build_request(address: str, call: HttpCall) -> httpcore.Request:
    host, port = split_address(address)
    url = httpcore.URL(
        scheme=b"http",
        host=host.encode(),
        port=port,
        target=call.target.encode("latin-1"),
    )
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in call.headers
    ]
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        headers.append((b"content-length", str(len(call.body)).encode()))
    if not any(name == b"host" for name, _ in headers):
        headers.insert(0, (b"host", address.encode()))
    return httpcore.Request(call.method, url, headers=headers, content=call.body)


def _decode_idle_limit_s(response: StreamedResponse) -> float:
    """Return how many seconds the connection may stay idle after this response.

    >>> class Answer(StreamedResponse):
    ...     def __init__(self, value):
    ...         self.headers = [("keep-alive", value)]
    >>> _decode_idle_limit_s(Answer("timeout=5, max=100"))
    4.0
    """
    for item in (response.get_header("keep-alive") or "").split(","):
        name, _, value = item.strip().partition("=")
        # Digits of other scripts, as "²", aren't accepted by ``float``.
        if name.lower() == "timeout" and value.strip().isdecimal():
            stated_s = float(value)
            return max(stated_s - IDLE_MARGIN_S, stated_s * _IDLE_TIME_FRACTION)
    return DEFAULT_IDLE_S


def _is_fresh(pooled: _PooledConnection) -> bool:
    return clocks.monotonic() - pooled.idle_since <= pooled.idle_limit_s


def _is_usable(pooled: _PooledConnection) -> bool:
    if not _is_fresh(pooled):
        return False
    return pooled.connection.is_idle() and not pooled.connection.has_expired()


async def _close_response(raw: httpcore.Response) -> None:
    with anyio.CancelScope(shield=True), suppress(*TRANSPORT_ERRORS, OSError):
        await raw.aclose()


__all__ = [
    "SOCKET_OPTIONS",
    "HttpCall",
    "StreamedResponse",
    "PersistentConnections",
]
