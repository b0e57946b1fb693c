"""Follows the engines' cache events and reports removed blocks to shard owners.

Each engine is followed by the two nodes that own its name, so removals are reported
as long as one of the two is alive. Reports are hints: a duplicate or lost report at
worst makes an estimate wrong.
"""

import anyio
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.node.cluster import Cluster
from apricotlift.upstreams.engine import EngineClient
from apricotlift.upstreams.kvevents import KvBatch, follow_events
from apricotlift.wire.messages import DropBlocks

OWNERSHIP_CHECK_INTERVAL_S = 1.0
#: Limit of blocks in one message; it keeps messages far below the frame limit.
MAX_BLOCKS_PER_MESSAGE = 1_000


async def follow_engines(
    cluster: Cluster, metrics: Metrics, get_declarations, get_engine
) -> None:
    """Follow the events of the engines that this node owns, until cancelled."""
    followed: dict[str, tuple[str, anyio.CancelScope]] = {}
    async with anyio.create_task_group() as tasks:
        while True:
            declarations = get_declarations()
            owned = {}
            if declarations is not None:
                owned = {
                    name: upstream
                    for name, upstream in declarations.upstreams.items()
                    if upstream.kind == "engine" and _owns_events(cluster, name)
                }
            for name, (address, scope) in list(followed.items()):
                if name not in owned or owned[name].address != address:
                    scope.cancel()
                    del followed[name]
            for name, upstream in owned.items():
                if name not in followed:
                    scope = anyio.CancelScope()
                    followed[name] = (upstream.address, scope)
                    engine = get_engine(upstream)
                    tasks.start_soon(_follow_engine, cluster, metrics, engine, scope)
            await anyio.sleep(OWNERSHIP_CHECK_INTERVAL_S)


def _owns_events(cluster: Cluster, engine: str) -> bool:
    return cluster.node_id in cluster.membership.view.choose_owners(f"events/{engine}")


async def _follow_engine(
    cluster: Cluster, metrics: Metrics, engine: EngineClient, scope: anyio.CancelScope
) -> None:
    with scope:
        async for batch in follow_events(engine, metrics):
            for shard_key, message in build_drop_messages(engine.name, batch):
                metrics.count("block_drops_sent_total", len(message.blocks))
                try:
                    if shard_key:
                        await cluster.send_to_owners(shard_key, message)
                    else:
                        await cluster.send_to_all(message)
                except ApricotliftError as error:
                    metrics.count("block_drops_failed_total", reason=error.code)


def build_drop_messages(engine: str, batch: KvBatch) -> list[tuple[bytes, DropBlocks]]:
    """Return the messages that report a batch's removals, each with its shard key.

    An empty key means that the engine has cleared its whole cache. A block that is
    stored again later in the batch is not reported as removed.
    """
    removed: dict[str, dict[str, None]] = {}
    was_cleared = False
    for event in batch.events:
        if event.kind == "cleared":
            was_cleared = True
            removed.clear()
        elif event.kind == "removed":
            removed.setdefault(event.root, {}).update(dict.fromkeys(event.blocks))
        elif event.kind == "stored":
            for block in event.blocks:
                removed.get(event.root, {}).pop(block, None)
    messages = []
    if was_cleared:
        messages.append((b"", DropBlocks(b"", engine, batch.boot_id, [])))
    for root, names in removed.items():
        try:
            key = bytes.fromhex(root)
            blocks = [bytes.fromhex(name) for name in names]
        except ValueError:
            continue
        for start in range(0, len(blocks), MAX_BLOCKS_PER_MESSAGE):
            part = blocks[start : start + MAX_BLOCKS_PER_MESSAGE]
            messages.append((key, DropBlocks(key, engine, batch.boot_id, part)))
    return messages
