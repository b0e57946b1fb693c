"""Kept HTTP/1.1 connections to one server, one request at a time on each.

A request that may run only once must know how far it got. A connection that can't be
opened carried nothing; after the first byte was written, only an answer tells what
happened. A connection is kept only while nothing but answers to its own requests has
come over it.
"""

import socket
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field

import anyio
import httpcore
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.upstreams.pool import TRANSPORT_ERRORS, Response, translate

#: Without a stated time, servers close idle connections after an unknown one.
DEFAULT_IDLE_S = 4.0
#: A connection is given up before the server's own time is over, because a request
#: that crosses the server's close may have run.
IDLE_MARGIN_S = 1.0
#: Of short times this share is used.
_SHARE_OF_IDLE = 0.5

#: A peer that acknowledges nothing for this time is taken to be gone.
_SILENCE_LIMIT_MS = 1500
_PROBE_INTERVAL_S = 1
_N_PROBES = 2

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _N_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _SILENCE_LIMIT_MS),
)

Headers = list[tuple[str, str]]


@dataclass(frozen=True)
class Call:
    """One request as it goes onto the connection.

    :param target: path and query.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class Exchange:
    """An answer that is being read."""

    def __init__(self, raw: httpcore.Response):
        self._raw = raw
        self.status = raw.status
        self.headers: Headers = [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in raw.headers
        ]

    def get_header(self, name: str) -> str | None:
        """Return the first header of a lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the pieces of the body.

        :raises ApricotliftError: ``stream_broken`` or ``upstream_timeout``.
        """
        try:
            async for piece in self._raw.aiter_stream():
                yield piece
        except TRANSPORT_ERRORS as error:
            raise translate(error) from error

    async def read(self, max_bytes: int) -> bytes:
        """Return the whole body.

        :raises ApricotliftError: ``upstream_protocol`` over ``max_bytes``.
        """
        pieces = []
        n_bytes = 0
        async for piece in self.iterate():
            n_bytes += len(piece)
            if n_bytes > max_bytes:
                message = f"response body exceeds {max_bytes} bytes"
                raise ApricotliftError(
                    Code.UPSTREAM_PROTOCOL, message, Ran.MAYBE, Scope.UPSTREAM
                )
            pieces.append(piece)
        return b"".join(pieces)


@dataclass
class _Kept:
    connection: httpcore.AsyncHTTP11Connection
    idle_since: float = 0.0
    idle_limit_s: float = DEFAULT_IDLE_S


@dataclass
class KeptConnections:
    """The connections to one address.

    :param address: ``IP:PORT``.
    :param n_max: connections that this process may hold.
    """

    address: str
    n_max: int
    metrics: Metrics
    n_open: int = 0
    _idle: list[_Kept] = field(default_factory=list)

    @asynccontextmanager
    async def exchange(
        self, call: Call, connect_timeout_s: float
    ) -> AsyncIterator[Exchange]:
        """Send a request and hand out its answer.

        Leaving the block before the body was read to its end closes the connection,
        which tells the server to stop.

        :raises ApricotliftError: ``upstream_connect`` or ``upstream_full``, not run;
            otherwise ran ``maybe``: ``stream_broken``, ``upstream_timeout``.
        """
        kept = await self._acquire(connect_timeout_s)
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._release, kept)
            try:
                raw = await kept.connection.handle_async_request(
                    _build_request(self.address, call)
                )
            except TRANSPORT_ERRORS as error:
                raise translate(error) from error
            stack.push_async_callback(_close_response, raw)
            answer = Exchange(raw)
            kept.idle_limit_s = _read_idle_limit_s(answer)
            yield answer

    async def request(
        self, call: Call, timeout_s: float, max_bytes: int = 4_194_304
    ) -> Response:
        """Send a request and return its whole answer.

        :raises ApricotliftError: as :meth:`exchange`, and ``upstream_timeout``.
        """
        try:
            with anyio.fail_after(timeout_s):
                async with self.exchange(call, timeout_s) as answer:
                    body = await answer.read(max_bytes)
                    return Response(answer.status, dict(answer.headers), body)
        except TimeoutError as error:
            message = f"no answer from {self.address} in {timeout_s:g} s"
            raise ApricotliftError(
                Code.UPSTREAM_TIMEOUT, message, Ran.MAYBE, Scope.UPSTREAM
            ) from error

    async def close(self) -> None:
        """Close what is idle; busy connections close when their answer ends."""
        self.n_max = 0
        while self._idle:
            await self._discard(self._idle.pop())

    async def close_stale(self) -> None:
        """Close idle connections that will not be used again."""
        kept_ones = self._idle
        self._idle = []
        for kept in kept_ones:
            if _is_usable(kept):
                self._idle.append(kept)
            else:
                await self._discard(kept)

    async def _acquire(self, connect_timeout_s: float) -> _Kept:
        while self._idle:
            kept = self._idle.pop()
            if _is_usable(kept):
                self.metrics.count("upstream_connections_reused_total")
                return kept
            await self._discard(kept)
        if self.n_open >= self.n_max:
            message = f"{self.n_open} connections to {self.address} are in use"
            raise ApricotliftError(Code.UPSTREAM_FULL, message, Ran.NO, Scope.UPSTREAM)
        self.n_open += 1
        try:
            return _Kept(await _open(self.address, connect_timeout_s))
        except TRANSPORT_ERRORS as error:
            self.n_open -= 1
            raise translate(error) from error
        except BaseException:
            self.n_open -= 1
            raise
        finally:
            self.metrics.count("upstream_connections_opened_total")

    async def _release(self, kept: _Kept) -> None:
        connection = kept.connection
        # Bytes beyond the answer belong to no request; the next one would read them
        # as its own answer.
        is_clean = connection.is_idle() and not connection._h11_state.trailing_data[0]
        if is_clean and self.n_open <= self.n_max and kept.idle_limit_s > 0:
            kept.idle_since = clocks.monotonic()
            self._idle.append(kept)
            return
        if connection.is_idle():
            self.metrics.count("upstream_connections_dropped_total")
        await self._discard(kept)

    async def _discard(self, kept: _Kept) -> None:
        self.n_open -= 1
        with anyio.CancelScope(shield=True), suppress(*TRANSPORT_ERRORS, OSError):
            await kept.connection.aclose()


async def _open(address: str, timeout_s: float) -> httpcore.AsyncHTTP11Connection:
    host, _, port = address.rpartition(":")
    stream = await httpcore.AnyIOBackend().connect_tcp(
        host, int(port), timeout=timeout_s, socket_options=SOCKET_OPTIONS
    )
    origin = httpcore.Origin(b"http", host.encode(), int(port))
    return httpcore.AsyncHTTP11Connection(origin, stream)


def _build_request(address: str, call: Call) -> httpcore.Request:
    host, _, port = address.rpartition(":")
    url = httpcore.URL(
        scheme=b"http",
        host=host.encode(),
        port=int(port),
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


def _read_idle_limit_s(answer: Exchange) -> float:
    """Return how long the connection may stay idle after this answer.

    >>> class Answer(Exchange):
    ...     def __init__(self, value):
    ...         self.headers = [("keep-alive", value)]
    >>> _read_idle_limit_s(Answer("timeout=5, max=100"))
    4.0
    """
    for item in (answer.get_header("keep-alive") or "").split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            stated_s = float(value)
            return max(stated_s - IDLE_MARGIN_S, stated_s * _SHARE_OF_IDLE)
    return DEFAULT_IDLE_S


def _is_usable(kept: _Kept) -> bool:
    if clocks.monotonic() - kept.idle_since > kept.idle_limit_s:
        return False
    return kept.connection.is_idle() and not kept.connection.has_expired()


async def _close_response(raw: httpcore.Response) -> None:
    with anyio.CancelScope(shield=True), suppress(*TRANSPORT_ERRORS, OSError):
        await raw.aclose()


__all__ = [
    "SOCKET_OPTIONS",
    "Call",
    "Exchange",
    "KeptConnections",
]
