"""Network streams that bound the bytes of a response besides its body.

A server in trouble may send bytes without end: header lines, interim responses
(RFC 9110, section 15.2), or chunk extensions (RFC 9112, section 7.1.1). httpcore limits
one line and one header block, but neither the number of interim responses nor the sum
of all chunk extensions. The streams here count what they read and fail above a limit.
"""

import ssl
from collections.abc import Iterable
from typing import Any

import httpcore

#: Largest size of a response's status line and headers, interim responses included.
MAX_HEAD_BYTES = 65_536
#: Largest excess of the bytes on the wire over the payload of a body and as much again.
#: It covers one read of httpcore, whose chunks have not all been handed on yet.
MAX_FRAMING_BYTES = 131_072
#: At most this much arrives at once. A read of less would leave bytes in the buffer of
#: anyio, which doesn't tell whether it holds any.
_READ_BYTES = 262_144


class ResponseTooLargeError(httpcore.RemoteProtocolError):
    """A response passed a limit of its size; the message names the limit."""


class BoundedStream(httpcore.AsyncNetworkStream):
    """Limits the bytes that are read for the head and the framing of each response.

    :param has_ended: whether the peer has closed its side of the connection.
    :param has_extra_bytes: whether the peer has sent more than its response, so that
        the connection can't be used again.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream):
        self._stream = stream
        self._is_head = True
        self._n_read = 0
        self._unread = b""
        self.has_ended = False
        self.has_extra_bytes = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read from the connection.

        :raises ResponseTooLargeError: if the head of a response exceeds its limit.
        :raises httpcore.ReadError: if the connection ends inside a head.
        """
        if self._is_head:
            max_bytes = min(max_bytes, MAX_HEAD_BYTES - self._n_read)
            if max_bytes <= 0:
                raise ResponseTooLargeError(
                    f"response headers exceed {MAX_HEAD_BYTES} bytes"
                )
        received = self._unread or await self._stream.read(_READ_BYTES, timeout)
        data, self._unread = received[:max_bytes], received[max_bytes:]
        self._n_read += len(data)
        if not data:
            self.has_ended = True
            if self._is_head:
                raise httpcore.ReadError("connection closed before a response")
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write a part of a request; what is read next is the head of its response."""
        self._is_head = True
        self._n_read = 0
        await self._stream.write(buffer, timeout)

    def begin_body(self) -> None:
        """Note that the head is complete, and count the bytes of the body from here."""
        self._is_head = False
        self._n_read = 0

    def check_framing(self, n_payload: int) -> None:
        """Check the bytes that the body took on the wire.

        :param n_payload: bytes of the body's payload so far.
        :raises ResponseTooLargeError: if the rest is out of proportion to the payload.
        """
        n_framing = self._n_read - n_payload
        if n_framing > n_payload + MAX_FRAMING_BYTES:
            raise ResponseTooLargeError(
                f"chunk framing of {n_framing} bytes exceeds the payload of "
                f"{n_payload} bytes by more than {MAX_FRAMING_BYTES}"
            )

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return a bounded stream that encrypts this connection."""
        return BoundedStream(
            await self._stream.start_tls(ssl_context, server_hostname, timeout)
        )

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection that httpcore asks for.

        An idle connection that is readable is closed instead of being used again.
        """
        if info == "is_readable" and (self._unread or self.has_extra_bytes):
            return True
        return self._stream.get_extra_info(info)


class BoundedBackend(httpcore.AsyncNetworkBackend):
    """Opens bounded streams with anyio."""

    def __init__(self):
        self._backend = httpcore.AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a TCP connection."""
        return BoundedStream(
            await self._backend.connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        )

    async def sleep(self, seconds: float) -> None:
        """Wait between two attempts to connect."""
        await self._backend.sleep(seconds)
