"""Follows the engines' cache events and passes removals on to the shards' owners.

Each engine is followed by the two nodes that own its name, so a removal is reported
while either of them lives. Reports are hints: one that comes twice or is lost costs a
wrong estimate at most.
"""

import anyio
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.node.cluster import Cluster
from apricotlift.upstreams.engine import EngineClient
from apricotlift.upstreams.kvevents import KvBatch, follow_events
from apricotlift.wire.messages import DropBlocks

OWNERS_INTERVAL_S = 1.0
#: Blocks of one message, which keeps it far below the frame limit.
MAX_BLOCKS_PER_MESSAGE = 1_000


async def follow_engines(
    cluster: Cluster, metrics: Metrics, get_declarations, get_engine
) -> None:
    """Follow the events of the engines that this node owns, for ever."""
    running: dict[str, tuple[str, anyio.CancelScope]] = {}
    async with anyio.create_task_group() as tasks:
        while True:
            declarations = get_declarations()
            wanted = {}
            if declarations is not None:
                wanted = {
                    name: upstream
                    for name, upstream in declarations.upstreams.items()
                    if upstream.kind == "engine" and _owns(cluster, name)
                }
            for name, (address, scope) in list(running.items()):
                if name not in wanted or wanted[name].address != address:
                    scope.cancel()
                    del running[name]
            for name, upstream in wanted.items():
                if name not in running:
                    scope = anyio.CancelScope()
                    running[name] = (upstream.address, scope)
                    engine = get_engine(upstream)
                    tasks.start_soon(_follow, cluster, metrics, engine, scope)
            await anyio.sleep(OWNERS_INTERVAL_S)


def _owns(cluster: Cluster, engine: str) -> bool:
    return cluster.node_id in cluster.membership.view.choose_owners(f"events/{engine}")


async def _follow(
    cluster: Cluster, metrics: Metrics, engine: EngineClient, scope: anyio.CancelScope
) -> None:
    with scope:
        async for batch in follow_events(engine, metrics):
            for shard_key, message in build_drops(engine.name, batch):
                metrics.count("block_drops_sent_total", len(message.blocks))
                try:
                    if shard_key:
                        await cluster.tell_owners(shard_key, message)
                    else:
                        await cluster.tell_all(message)
                except ApricotliftError as error:
                    metrics.count("block_drops_failed_total", reason=error.code)


def build_drops(engine: str, batch: KvBatch) -> list[tuple[bytes, DropBlocks]]:
    """Return the messages for a batch, each with its shard key.

    The key is empty where the engine has dropped everything. A block that was stored
    again later in the batch isn't reported as removed.
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
