"""Client of the platform's object store: a subset of the S3 REST interface.

Objects are immutable and named by the digest of their content, so a write that is
repeated after a lost answer is harmless.
"""

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.upstreams.pool import Pool, Timeouts

_MAX_OBJECT_BYTES = 67_108_864
_EXISTS_STATUSES = (409, 412)


class ObjectStore:
    """One bucket.

    :param url: for example ``http://127.0.0.1:8001/bucket``.
    """

    def __init__(
        self, url: str, pool: Pool, timeout_s: float = 5.0, authorization: str = ""
    ):
        self._url = url.rstrip("/")
        self._pool = pool
        self._timeouts = Timeouts(min(1.0, timeout_s), timeout_s, timeout_s)
        self._headers = {"authorization": authorization} if authorization else {}

    async def get(self, key: str) -> bytes:
        """Return an object.

        :raises ApricotliftError: ``object_missing`` or ``objects_unavailable``.
        """
        response = await self._request("GET", key)
        if response.status == 404:
            message = f"no object {key!r}"
            raise ApricotliftError(Code.OBJECT_MISSING, message)
        if response.status != 200:
            raise _refuse(f"GET {key}: {response.status}")
        return response.body

    async def put(self, key: str, body: bytes) -> None:
        """Write an object unless it is there already.

        :raises ApricotliftError: ``objects_unavailable``; the object may exist.
        """
        response = await self._request("PUT", key, body, {"if-none-match": "*"})
        if response.status not in (200, 201, *_EXISTS_STATUSES):
            raise _refuse(f"PUT {key}: {response.status}")

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
            raise _refuse(f"{method} {key}: {error.message}") from error


def _refuse(message: str) -> ApricotliftError:
    text = f"object store: {message}"
    return ApricotliftError(Code.OBJECTS_UNAVAILABLE, text, Ran.MAYBE, Scope.FLEET)
