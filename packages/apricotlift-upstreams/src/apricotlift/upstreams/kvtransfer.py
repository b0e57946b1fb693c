"""Orders an engine to transfer KV blocks to or from a store.

The engine transfers the bytes itself. An import states the length, digest and
generation of each block, so that an engine never uses a block that was deleted,
replaced or only partly written since it was exported.
"""

from collections.abc import Sequence
from dataclasses import asdict, dataclass

import anyio
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.upstreams.engine import (
    EngineClient,
    build_body_error,
    decode_json_object,
)
from apricotlift.upstreams.pool import Response, Timeouts

#: Failure reason of a block that the engine's response doesn't mention.
UNREPORTED = "unreported"


@dataclass(frozen=True)
class StoredBlock:
    """Description of a block in a store, for checking its content.

    :param length: in bytes.
    :param sha256: digest in hexadecimal.
    :param generation: differs for each block that the store has held under this id.
    """

    block: str
    length: int
    sha256: str
    generation: str


@dataclass(frozen=True)
class ExportResult:
    """Outcome of an export.

    :param stored: description of each stored block by id.
    :param failed: failure reason by block id.
    """

    stored: dict[str, StoredBlock]
    failed: dict[str, str]


@dataclass(frozen=True)
class ImportResult:
    """Outcome of an import.

    :param imported: ids of the blocks that the engine has verified and holds.
    :param failed: failure reason by block id.
    :param n_bytes: bytes transferred over the link, failed blocks included.
    """

    imported: tuple[str, ...]
    failed: dict[str, str]
    n_bytes: int


async def export_blocks(
    engine: EngineClient,
    blocks: Sequence[str],
    store_url: str,
    salt: str,
    timeout_s: float,
) -> ExportResult:
    """Order an engine to write blocks of its cache to a store.

    :param salt: cache salt of the blocks.
    :param timeout_s: time limit in seconds for the whole transfer.
    :raises ApricotliftError: when the engine sends no valid response in time.
    """
    data = {"blocks": list(blocks), "store": store_url, "salt": salt}
    answer = decode_json_object(await _call(engine, "/kv/export", data, timeout_s))
    stored = {}
    failed = dict.fromkeys(blocks, UNREPORTED)
    try:
        for block, item in answer["blocks"].items():
            _check_requested(block, blocks)
            if not item["stored"]:
                failed[block] = str(item.get("reason", "refused"))
                continue
            stored[block] = StoredBlock(
                block, int(item["length"]), item["sha256"], item["generation"]
            )
            del failed[block]
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise build_body_error("/kv/export") from error
    return ExportResult(stored, failed)


async def import_blocks(
    engine: EngineClient,
    blocks: Sequence[StoredBlock],
    store_url: str,
    salt: str,
    timeout_s: float,
) -> ImportResult:
    """Order an engine to read blocks from a store into its cache.

    :param salt: cache salt under which the engine holds the blocks.
    :param timeout_s: time limit in seconds for the whole transfer.
    :raises ApricotliftError: when the engine sends no valid response in time.
    """
    data = {
        "blocks": [asdict(block) for block in blocks],
        "store": store_url,
        "salt": salt,
    }
    answer = decode_json_object(await _call(engine, "/kv/import", data, timeout_s))
    requested = [block.block for block in blocks]
    failed = dict.fromkeys(requested, UNREPORTED)
    try:
        imported = tuple(str(block) for block in answer["imported"])
        for block in imported:
            _check_requested(block, requested)
            del failed[block]
        for item in answer["failed"]:
            _check_requested(item["block"], list(failed))
            failed[item["block"]] = str(item["reason"])
        return ImportResult(imported, failed, int(answer["bytes"]))
    except (KeyError, TypeError, ValueError) as error:
        raise build_body_error("/kv/import") from error


async def _call(
    engine: EngineClient, path: str, data: dict, timeout_s: float
) -> Response:
    timeouts = Timeouts(min(1.0, timeout_s), timeout_s, timeout_s)
    with anyio.move_on_after(timeout_s):
        return await engine.call("POST", path, data, timeouts)
    message = f"engine {engine.name} did not respond to {path} within {timeout_s:g} s"
    raise ApricotliftError(Code.UPSTREAM_TIMEOUT, message, Ran.MAYBE, Scope.UPSTREAM)


def _check_requested(block: str, requested: Sequence[str]) -> None:
    if block not in requested:
        message = "engine's response names a block that was not requested"
        raise ApricotliftError(
            Code.UPSTREAM_PROTOCOL, message, Ran.MAYBE, Scope.UPSTREAM
        )
