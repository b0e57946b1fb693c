"""KV block transfers between engines and stores, ordered by a node.

The engine moves the bytes itself. A block is named together with length, digest and
generation, so that an engine never uses one that was freed, replaced or only partly
written since it was exported.
"""

from collections.abc import Sequence
from dataclasses import asdict, dataclass

import anyio
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.upstreams.engine import EngineClient, read_json, refuse_body
from apricotlift.upstreams.pool import Response, Timeouts

#: Reason for a block that the engine's answer doesn't mention.
UNREPORTED = "unreported"


@dataclass(frozen=True)
class StoredBlock:
    """A block in a store, as its exporter described it.

    :param sha256: in hexadecimal.
    """

    block: str
    length: int
    sha256: str
    generation: str


@dataclass(frozen=True)
class ExportResult:
    """Outcome of an export.

    :param stored: by block.
    :param failed: reason by block.
    """

    stored: dict[str, StoredBlock]
    failed: dict[str, str]


@dataclass(frozen=True)
class ImportResult:
    """Outcome of an import.

    :param imported: blocks that the engine has checked and holds.
    :param failed: reason by block.
    :param n_bytes: bytes that crossed the link, failed blocks included.
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
    """Have an engine put blocks of its cache into a store.

    :param timeout_s: for the whole transfer.
    :raises ApricotliftError: when the engine gives no usable answer.
    """
    data = {"blocks": list(blocks), "store": store_url, "salt": salt}
    answer = read_json(await _call(engine, "/kv/export", data, timeout_s))
    stored = {}
    failed = dict.fromkeys(blocks, UNREPORTED)
    try:
        for block, item in answer["blocks"].items():
            _check_asked(block, blocks)
            if not item["stored"]:
                failed[block] = str(item.get("reason", "refused"))
                continue
            stored[block] = StoredBlock(
                block, int(item["length"]), item["sha256"], item["generation"]
            )
            del failed[block]
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise refuse_body("/kv/export") from error
    return ExportResult(stored, failed)


async def import_blocks(
    engine: EngineClient,
    blocks: Sequence[StoredBlock],
    store_url: str,
    salt: str,
    timeout_s: float,
) -> ImportResult:
    """Have an engine get blocks from a store into its cache.

    :param timeout_s: for the whole transfer.
    :raises ApricotliftError: when the engine gives no usable answer.
    """
    data = {
        "blocks": [asdict(block) for block in blocks],
        "store": store_url,
        "salt": salt,
    }
    answer = read_json(await _call(engine, "/kv/import", data, timeout_s))
    asked = [block.block for block in blocks]
    failed = dict.fromkeys(asked, UNREPORTED)
    try:
        imported = tuple(str(block) for block in answer["imported"])
        for block in imported:
            _check_asked(block, asked)
            del failed[block]
        for item in answer["failed"]:
            _check_asked(item["block"], list(failed))
            failed[item["block"]] = str(item["reason"])
        return ImportResult(imported, failed, int(answer["bytes"]))
    except (KeyError, TypeError, ValueError) as error:
        raise refuse_body("/kv/import") from error


async def _call(
    engine: EngineClient, path: str, data: dict, timeout_s: float
) -> Response:
    timeouts = Timeouts(min(1.0, timeout_s), timeout_s, timeout_s)
    with anyio.move_on_after(timeout_s):
        return await engine.call("POST", path, data, timeouts)
    message = f"engine {engine.name} did not answer {path} within {timeout_s:g} s"
    raise ApricotliftError(Code.UPSTREAM_TIMEOUT, message, Ran.MAYBE, Scope.UPSTREAM)


def _check_asked(block: str, asked: Sequence[str]) -> None:
    if block not in asked:
        message = "engine answered for a block that wasn't asked for"
        raise ApricotliftError(
            Code.UPSTREAM_PROTOCOL, message, Ran.MAYBE, Scope.UPSTREAM
        )
