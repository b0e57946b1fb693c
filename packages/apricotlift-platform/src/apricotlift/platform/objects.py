"""Client of the platform's object store: a subset of the S3 REST interface.

Objects are immutable and named by the digest of their content, so a write can safely be
repeated after a lost response.
"""

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.upstreams.pool import Pool, Timeouts

_MAX_OBJECT_BYTES = 67_108_864
_ALREADY_EXISTS_STATUSES = (409, 412)


class ObjectStore:
    """Client of one bucket.

    :param url: for example ``http://127.0.0.1:8001/bucket``.
    :param timeout_s: time limit in seconds between two chunks of a request or response;
        the limit for connecting is at most 1 s.
    :param authorization: value of the ``authorization`` header, empty for none.
    """

    def __init__(
        self, url: str, pool: Pool, timeout_s: float = 5.0, authorization: str = ""
    ):
        self._url = url.rstrip("/")
        self._pool = pool
        self._timeouts = Timeouts(min(1.0, timeout_s), timeout_s, timeout_s)
        self._headers = {"authorization": authorization} if authorization else {}

    async def get(self, key: str) -> bytes:
        """Return the content of an object.

        :raises ApricotliftError: ``object_missing`` or ``objects_unavailable``.
        """
        response = await self._request("GET", key)
        if response.status == 404:
            message = f"object {key!r} not found"
            raise ApricotliftError(Code.OBJECT_MISSING, message)
        if response.status != 200:
            raise _build_error(f"GET {key}: status {response.status}, expected 200")
        return response.body

    async def put(self, key: str, body: bytes) -> None:
        """Write an object unless it exists already.

        :raises ApricotliftError: ``objects_unavailable``; the object may have been
            written.
        """
        response = await self._request("PUT", key, body, {"if-none-match": "*"})
        if response.status not in (200, 201, *_ALREADY_EXISTS_STATUSES):
            raise _build_error(
                f"PUT {key}: status {response.status}, expected 200, 201, 409 or 412"
            )

    async def _request(
        self, method: str, key: str, body: bytes = b"", headers: dict | None = None
    ):
        try:
            return await self._pool.request(
                method,
                f"{self._url}/{key}",
                {**self._headers, **(headers or {})},
                body,
                self._timeouts,
                _MAX_OBJECT_BYTES,
            )
        except ApricotliftError as error:
            raise _build_error(f"{method} {key}: {error.message}") from error


def _build_error(message: str) -> ApricotliftError:
    text = f"object store: {message}"
    return ApricotliftError(Code.OBJECTS_UNAVAILABLE, text, Ran.MAYBE, Scope.FLEET)
