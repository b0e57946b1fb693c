"""Client of a KV store. Block bytes never pass through a node."""

import base64
import binascii
import json
import secrets
from dataclasses import dataclass

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.upstreams.kvtransfer import StoredBlock
from apricotlift.upstreams.pool import Pool, Response, Timeouts

_TIMEOUTS = Timeouts(connect_s=1.0, read_s=2.0, write_s=2.0)


@dataclass(frozen=True)
class StoreUsage:
    """What ``GET /usage`` tells.

    :param boot_id: new after each start; the blocks of an earlier boot are gone.
    """

    boot_id: str
    memory_bytes: int
    disk_bytes: int
    capacity_bytes: int


class StoreClient:
    """Calls one KV store.

    :param address: ``IP:PORT``.
    """

    def __init__(
        self, name: str, address: str, pool: Pool, metrics: Metrics, tls: bool = False
    ):
        self.name = name
        self.url = f"{'https' if tls else 'http'}://{address}"
        self._pool = pool
        self._metrics = metrics

    async def head(self, block: str) -> StoredBlock | None:
        """Return what the store holds under an id, ``None`` where nothing.

        :raises ApricotliftError: ``store_unavailable``.
        """
        response = await self._call("HEAD", f"/blocks/{block}")
        if response.status == 404:
            return None
        self._check_status(response, 200)
        headers = response.headers
        try:
            length = int(headers["content-length"])
            sha256 = read_digest(headers["content-digest"])
            generation = headers["etag"].strip('"')
        except (KeyError, ValueError) as error:
            raise self._fail(f"unreadable headers: {error}", "protocol") from error
        return StoredBlock(block, length, sha256, generation)

    async def get_usage(self) -> StoreUsage:
        """Return the store's use of its tiers.

        :raises ApricotliftError: ``store_unavailable``.
        """
        response = await self._call("GET", "/usage")
        self._check_status(response, 200)
        try:
            return StoreUsage(**json.loads(response.body))
        except (ValueError, TypeError) as error:
            raise self._fail("unreadable usage", "protocol") from error

    async def delete(self, block: str, generation: str = "") -> bool:
        """Free a block.

        :param generation: free it only while it is this one; an id may have been
            used again since the caller learned of the block.
        :returns: whether the store held the block and freed it.
        :raises ApricotliftError: ``store_unavailable``.
        """
        headers = {"if-match": f'"{generation}"'} if generation else {}
        response = await self._call("DELETE", f"/blocks/{block}", headers)
        if response.status in (404, 412):
            return False
        self._check_status(response, 204)
        return True

    async def _call(
        self, method: str, path: str, headers: dict[str, str] | None = None
    ) -> Response:
        call_id = secrets.token_hex(8)
        sent = {"x-call-id": call_id, **(headers or {})}
        try:
            response = await self._pool.request(
                method, self.url + path, sent, timeouts=_TIMEOUTS
            )
        except ApricotliftError as error:
            raise self._fail(error.message, error.code, error.ran) from error
        if response.headers.get("x-call-id", call_id) != call_id:
            raise self._fail("answered for another call", Code.FOREIGN_ATTEMPT)
        return response

    def _check_status(self, response: Response, expected: int) -> None:
        if response.status != expected:
            raise self._fail(f"answered {response.status}", "status")

    def _fail(self, message: str, reason: str, ran: Ran = Ran.MAYBE):
        self._metrics.count("store_failures_total", store=self.name, reason=reason)
        return ApricotliftError(
            Code.STORE_UNAVAILABLE, f"store {self.name}: {message}", ran, Scope.UPSTREAM
        )


def read_digest(value: str) -> str:
    """Return the SHA-256 of a ``Content-Digest`` header in hexadecimal (RFC 9530).

    :raises ValueError: when the header has no SHA-256.

    >>> read_digest("sha-256=:" + base64.b64encode(bytes(32)).decode() + ":")[:8]
    '00000000'
    """
    for item in value.split(","):
        name, _, rest = item.strip().partition("=")
        if name == "sha-256" and len(rest) > 1 and rest[0] == rest[-1] == ":":
            try:
                raw = base64.b64decode(rest[1:-1], validate=True)
            except binascii.Error as error:
                raise ValueError(f"bad content-digest {value!r}") from error
            if len(raw) == 32:
                return raw.hex()
    raise ValueError(f"no sha-256 in content-digest {value!r}")
