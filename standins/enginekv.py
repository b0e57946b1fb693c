"""Transfer of cache blocks between the stand-in engine and a KV store."""

import base64
import hashlib

from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.upstreams.pool import Pool, Response, Timeouts

from standins.enginecache import PrefixCache, decode_origin

_TIMEOUTS = Timeouts(connect_s=1.0, read_s=10.0, write_s=10.0)
_MAX_BLOCK_BYTES = 268_435_456


async def export_blocks(
    cache: PrefixCache, pool: Pool, data: dict, block_bytes: int
) -> dict[str, dict]:
    """Write blocks to a store and return the outcome of each."""
    outcomes = {}
    for block in data["blocks"]:
        origin = cache.get(data["salt"], block)
        if origin is None:
            outcomes[block] = {"stored": False, "reason": "not_cached"}
            continue
        body = origin.encode(block_bytes)
        outcomes[block] = await _put_block(pool, data["store"], block, body)
    return outcomes


async def import_blocks(
    cache: PrefixCache, pool: Pool, data: dict, unchecked: bool
) -> dict:
    """Read blocks from a store into the cache.

    :param unchecked: import blocks whose generation, length or digest is wrong.
    """
    origins = {}
    failed = []
    n_bytes = 0
    for item in data["blocks"]:
        try:
            response = await _get_block(pool, data["store"], item, unchecked)
            reason = _check_block(response, item, unchecked)
        except ApricotliftError as error:
            reason = "truncated" if error.code is Code.STREAM_BROKEN else error.code
        else:
            n_bytes += len(response.body)
        if reason:
            failed.append({"block": item["block"], "reason": str(reason)})
            continue
        origins[item["block"]] = decode_origin(response.body)
    root = data["blocks"][0]["block"] if data["blocks"] else ""
    imported = cache.store(data["salt"], root, origins)
    failed += [
        {"block": block, "reason": "cache_full"}
        for block in origins
        if block not in imported
    ]
    return {"imported": imported, "failed": failed, "bytes": n_bytes}


async def _put_block(pool: Pool, store: str, block: str, body: bytes) -> dict:
    sha256 = hashlib.sha256(body)
    value = base64.b64encode(sha256.digest()).decode()
    headers = {"content-digest": f"sha-256=:{value}:"}
    url = f"{store.rstrip('/')}/blocks/{block}"
    try:
        response = await pool.request("PUT", url, headers, body, _TIMEOUTS)
    except ApricotliftError as error:
        return {"stored": False, "reason": str(error.code)}
    if response.status not in (200, 201):
        reason = "full" if response.status == 507 else f"status_{response.status}"
        return {"stored": False, "reason": reason}
    return {
        "stored": True,
        "length": len(body),
        "sha256": sha256.hexdigest(),
        "generation": response.headers.get("etag", "").strip('"'),
    }


async def _get_block(pool: Pool, store: str, item: dict, unchecked: bool) -> Response:
    headers = {} if unchecked else {"if-match": f'"{item["generation"]}"'}
    url = f"{store.rstrip('/')}/blocks/{item['block']}"
    return await pool.request(
        "GET", url, headers, timeouts=_TIMEOUTS, max_bytes=_MAX_BLOCK_BYTES
    )


def _check_block(response: Response, item: dict, unchecked: bool) -> str:
    if response.status != 200:
        known = {404: "missing", 412: "replaced"}
        return known.get(response.status, f"status_{response.status}")
    if unchecked:
        return ""
    if response.headers.get("etag", "").strip('"') != item["generation"]:
        return "replaced"
    if len(response.body) != item["length"]:
        return "length"
    if hashlib.sha256(response.body).hexdigest() != item["sha256"]:
        return "digest"
    return ""
