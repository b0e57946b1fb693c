"""Client of a KV store.

Only metadata of blocks passes through a node; engines transfer the blocks themselves.
"""

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
    """The response to ``GET /usage``.

    :param boot_id: changes with each start; the blocks of an earlier boot are lost.
    """

    boot_id: str
    memory_bytes: int
    disk_bytes: int
    capacity_bytes: int


class StoreClient:
    """Client of one KV store.

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
        """Return the description of a block, ``None`` when the store doesn't hold it.

        :raises ApricotliftError: ``store_unavailable``.
        """
        response = await self._call("HEAD", f"/blocks/{block}")
        if response.status == 404:
            return None
        self._check_status(response, 200)
        headers = response.headers
        try:
            length = int(headers["content-length"])
            sha256 = decode_content_digest(headers["content-digest"])
            generation = headers["etag"].strip('"')
        except (KeyError, ValueError) as error:
            raise self._build_error(
                f"invalid block headers: {error!r}", "protocol"
            ) from error
        return StoredBlock(block, length, sha256, generation)

    async def get_usage(self) -> StoreUsage:
        """Return how many bytes the store's memory and disk tiers hold.

        :raises ApricotliftError: ``store_unavailable``.
        """
        response = await self._call("GET", "/usage")
        self._check_status(response, 200)
        try:
            return StoreUsage(**json.loads(response.body))
        except (ValueError, TypeError) as error:
            raise self._build_error(
                f"invalid response to GET /usage: {error}", "protocol"
            ) from error

    async def delete(self, block: str, generation: str = "") -> bool:
        """Delete a block.

        :param generation: delete the block only if it has this generation, because
            its id may have been reused since the caller learned of it. Empty for any.
        :returns: whether the store held the block and deleted it.
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
            raise self._build_error(error.message, error.code, error.ran) from error
        if response.headers.get("x-call-id", call_id) != call_id:
            raise self._build_error(
                "sent the response to another call", Code.FOREIGN_ATTEMPT
            )
        return response

    def _check_status(self, response: Response, expected: int) -> None:
        if response.status != expected:
            raise self._build_error(
                f"answered with status {response.status}, expected {expected}", "status"
            )

    def _build_error(self, message: str, reason: str, ran: Ran = Ran.MAYBE):
        self._metrics.count("store_failures_total", store=self.name, reason=reason)
        return ApricotliftError(
            Code.STORE_UNAVAILABLE, f"store {self.name}: {message}", ran, Scope.UPSTREAM
        )


def decode_content_digest(value: str) -> str:
    """Return the SHA-256 of a ``Content-Digest`` header in hexadecimal (RFC 9530).

    :raises ValueError: when the header has no SHA-256.

    >>> digest = base64.b64encode(bytes(32)).decode()
    >>> decode_content_digest(f"sha-256=:{digest}:")[:8]
    '00000000'
    """
    for item in value.split(","):
        name, _, rest = item.strip().partition("=")
        if name == "sha-256" and len(rest) > 1 and rest[0] == rest[-1] == ":":
            try:
                raw = base64.b64decode(rest[1:-1], validate=True)
            except binascii.Error as error:
                raise ValueError(
                    f"invalid base64 in content-digest {value!r}"
                ) from error
            if len(raw) == 32:
                return raw.hex()
    raise ValueError(f"no sha-256 digest of 32 bytes in content-digest {value!r}")
