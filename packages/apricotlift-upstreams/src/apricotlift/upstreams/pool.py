"""HTTP/1.1 connection pools for upstreams, KV stores and the platform.

Transport failures are converted to
:class:`~apricotlift.core.errors.ApricotliftError`. Its ``ran`` attribute tells whether
the request may have run: it certainly did not if no connection could be opened.
"""

import ssl
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

import httpcore
from apricotlift.upstreams.bodies import (
    TRANSPORT_ERRORS,
    convert_transport_error,
    iterate_body,
    read_body,
)
from apricotlift.upstreams.boundedstreams import BoundedBackend
from apricotlift.upstreams.readbudget import ReadBudget

MAX_CONNECTIONS = 1000
MAX_IDLE_CONNECTIONS = 8
KEEPALIVE_S = 15.0


@dataclass(frozen=True)
class Timeouts:
    """Time limits in seconds.

    :param connect_s: for opening the connection, TLS handshake included.
    :param read_s: between two chunks of the response.
    :param write_s: between two chunks of the request.
    """

    connect_s: float = 1.0
    read_s: float = 30.0
    write_s: float = 10.0


@dataclass(frozen=True)
class Response:
    """A response with its whole body."""

    status: int
    headers: dict[str, str]
    body: bytes


class ResponseStream:
    """A response whose body is read as it arrives."""

    def __init__(self, raw: httpcore.Response, budget: ReadBudget):
        self._raw = raw
        self._budget = budget
        self.status = raw.status
        self.headers = _decode_headers(raw.headers)

    def iterate(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive.

        :raises ApricotliftError: as :func:`~.bodies.iterate_body`.
        """
        return iterate_body(self._raw)

    async def read(self, max_bytes: int) -> bytes:
        """Return the whole body.

        :raises ApricotliftError: as :func:`~.bodies.read_body`.
        """
        return await read_body(self._raw, max_bytes, self._budget)


class Pool:
    """Connection pools for any number of addresses.

    :param ssl_context: verifies the certificates of servers with ``https`` URLs.
    :param budget: memory that all bodies being read share.
    """

    def __init__(
        self,
        ssl_context: ssl.SSLContext | None = None,
        budget: ReadBudget | None = None,
    ):
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}
        self._ssl_context = ssl_context
        self._budget = budget or ReadBudget()

    async def __aenter__(self) -> "Pool":
        return self

    async def __aexit__(self, *details) -> None:
        for pool in self._pools.values():
            await pool.aclose()
        self._pools.clear()

    def _get_pool(self, url: str) -> httpcore.AsyncConnectionPool:
        """Return the connection pool for the address in a URL.

        Each address has a pool of its own, because httpcore examines every connection
        of a pool for each request. With 200 idle connections in a single pool, this
        cost 31 ms of processor time.
        """
        origin = url[: url.index("/", url.index("://") + 3)]
        pool = self._pools.get(origin)
        if pool is None:
            pool = self._pools[origin] = httpcore.AsyncConnectionPool(
                ssl_context=self._ssl_context,
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_IDLE_CONNECTIONS,
                keepalive_expiry=KEEPALIVE_S,
                network_backend=BoundedBackend(),
            )
        return pool

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeouts: Timeouts | None = None,
        use_new_connection: bool = False,
    ) -> AsyncIterator[ResponseStream]:
        """Send a request and yield the response once its headers have arrived.

        :param fresh: open a connection for this request only. A reused
            connection that the server closes while the request is in transit leaves
            it unknown whether the request ran, which non-repeatable calls must avoid.
        """
        timeouts = timeouts or Timeouts()
        request_headers = {"host": _get_host(url), **(headers or {})}
        if body or method in ("POST", "PUT", "PATCH"):
            request_headers["content-length"] = str(len(body))
        if use_new_connection:
            request_headers["connection"] = "close"
        encoded = [
            (key.encode("latin-1"), value.encode("latin-1"))
            for key, value in request_headers.items()
        ]
        extensions = {
            "timeout": {
                "connect": timeouts.connect_s,
                "read": timeouts.read_s,
                "write": timeouts.write_s,
                "pool": timeouts.connect_s,
            }
        }
        request = httpcore.Request(
            method, url, headers=encoded, content=body, extensions=extensions
        )
        if use_new_connection:
            async with self._open_single_use_pool(url) as connection:
                raw = await _send(connection, request)
                try:
                    yield ResponseStream(raw, self._budget)
                finally:
                    await _close(raw)
            return
        raw = await _send(self._get_pool(url), request)
        try:
            yield ResponseStream(raw, self._budget)
        finally:
            await _close(raw)

    async def request(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeouts: Timeouts | None = None,
        max_bytes: int = 4_194_304,
        use_new_connection: bool = False,
    ) -> Response:
        """Send a request and return the response with its whole body."""
        async with self.stream(
            method, url, headers, body, timeouts, use_new_connection
        ) as answer:
            content = await answer.read(max_bytes)
            return Response(answer.status, answer.headers, content)

    @asynccontextmanager
    async def _open_single_use_pool(
        self, url: str
    ) -> AsyncIterator[httpcore.AsyncConnectionPool]:
        pool = httpcore.AsyncConnectionPool(
            ssl_context=self._ssl_context,
            max_connections=1,
            network_backend=BoundedBackend(),
        )
        async with pool:
            yield pool


async def _send(
    pool: httpcore.AsyncConnectionPool, request: httpcore.Request
) -> httpcore.Response:
    try:
        return await pool.handle_async_request(request)
    except TRANSPORT_ERRORS as error:
        raise convert_transport_error(error) from error


async def _close(raw: httpcore.Response) -> None:
    # Data after the end of the response belongs to no request. httpcore would read it
    # as the response to the next request on this connection.
    trailing_data, _ = raw.stream._stream._connection._h11_state.trailing_data
    if trailing_data:
        raw.extensions["network_stream"].has_extra_bytes = True
    with suppress(*TRANSPORT_ERRORS):
        await raw.aclose()


def _decode_headers(raw: list[tuple[bytes, bytes]]) -> dict[str, str]:
    return {
        key.decode("latin-1").lower(): value.decode("latin-1") for key, value in raw
    }


def _get_host(url: str) -> str:
    return url.split("://", 1)[1].split("/", 1)[0]
