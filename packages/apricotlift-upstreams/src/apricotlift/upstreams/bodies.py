"""Reads response bodies, and converts transport failures to errors with codes."""

import errno
from collections.abc import AsyncIterator

import httpcore
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.upstreams.readbudget import ReadBudget

TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)

#: Errors that show that no server listens at an address.
_REFUSED_ERRNOS = frozenset({errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ECONNRESET})


async def iterate_body(raw: httpcore.Response) -> AsyncIterator[bytes]:
    """Yield the chunks of a body as they arrive.

    :param raw: a response on a :class:`~.boundedstreams.BoundedStream`.
    :raises ApricotliftError: ``stream_broken``, ``upstream_protocol`` or
        ``upstream_timeout``.
    """
    stream = raw.extensions["network_stream"]
    stream.begin_body()
    n_payload = 0
    try:
        async for chunk in raw.aiter_stream():
            n_payload += len(chunk)
            stream.check_framing(n_payload)
            yield chunk
    except TRANSPORT_ERRORS as error:
        raise convert_transport_error(error, stream.has_ended) from error


async def read_body(
    raw: httpcore.Response, max_bytes: int, budget: ReadBudget
) -> bytes:
    """Return a whole body.

    :param budget: memory that all bodies being read share.
    :raises ApricotliftError: as :func:`iterate_body`, ``upstream_protocol`` for a body
        longer than ``max_bytes``, and the errors of the budget.
    """
    chunks = []
    n_bytes = 0
    with budget.open_reservation() as reservation:
        async for chunk in iterate_body(raw):
            n_bytes += len(chunk)
            if n_bytes > max_bytes:
                message = f"response body exceeds {max_bytes} bytes"
                raise ApricotliftError(
                    Code.UPSTREAM_PROTOCOL, message, Ran.MAYBE, Scope.UPSTREAM
                )
            reservation.resize(n_bytes)
            chunks.append(chunk)
        return b"".join(chunks)


def is_connection_refused(error: ApricotliftError) -> bool:
    """Return whether a server's address refused a connection or can't be reached.

    A connection that wasn't opened in time, or for which this process had no
    descriptor, failed for other reasons.
    """
    cause: BaseException | None = error.__cause__
    if not isinstance(cause, httpcore.ConnectError):
        return False
    while cause is not None:
        if isinstance(cause, OSError) and cause.errno is not None:
            return cause.errno in _REFUSED_ERRNOS
        cause = cause.__cause__ or cause.__context__
    return True


def convert_transport_error(
    error: Exception, has_ended: bool = False
) -> ApricotliftError:
    """Return the error for a transport failure, with ``ran`` as far as it is known.

    :param has_ended: whether the server closed the connection before the end of the
        body; what it sent until then may have been valid.
    """
    name = type(error).__name__
    text = f"{name}: {error}" if str(error) else name
    if isinstance(error, httpcore.ConnectError | httpcore.ConnectTimeout):
        return ApricotliftError(Code.UPSTREAM_CONNECT, text, Ran.NO, Scope.UPSTREAM)
    if isinstance(error, httpcore.PoolTimeout):
        return ApricotliftError(Code.UPSTREAM_FULL, text, Ran.NO, Scope.UPSTREAM)
    if isinstance(error, httpcore.LocalProtocolError):
        return ApricotliftError(Code.BAD_REQUEST, text, Ran.NO)
    if isinstance(error, httpcore.TimeoutException):
        return ApricotliftError(Code.UPSTREAM_TIMEOUT, text, Ran.MAYBE, Scope.UPSTREAM)
    if isinstance(error, httpcore.RemoteProtocolError) and not has_ended:
        return ApricotliftError(Code.UPSTREAM_PROTOCOL, text, Ran.MAYBE, Scope.UPSTREAM)
    return ApricotliftError(Code.STREAM_BROKEN, text, Ran.MAYBE, Scope.UPSTREAM)
