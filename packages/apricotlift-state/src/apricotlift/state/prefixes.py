"""Index of cached prompt prefixes: block digests and prefix runs.

The digest of a block covers the client account, the slot (model, weight version and
adapter) and the whole prompt up to the end of the block, so blocks of another account
or weight version never match. An owner of a shard stores, for each holder (an engine
or a store), the blocks that were reported for it. These are only hints: the requester
checks boot ids and the number of cached tokens that the engine itself reports.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import takewhile

from apricotlift.core import clocks
from apricotlift.core.hashing import digest
from apricotlift.core.metrics import Metrics
from apricotlift.wire.messages import PrefixRun

#: Limit on the shards that one owner stores. A shard holds the conversations with a
#: common beginning. The least recently used shards are evicted first.
MAX_SHARDS = 20_000

#: Limit on the holders of one shard: a prompt doesn't benefit from more.
MAX_HOLDERS_PER_SHARD = 8

#: Limit on the blocks of one holder in one shard. Those whose last report is oldest
#: are evicted first.
MAX_BLOCKS_PER_HOLDER = 5_000


def build_block_chain(
    account: str, slot: str, prompt: str, chunk_bytes: int
) -> tuple[bytes, ...]:
    """Return the chained digests of the full blocks of a prompt.

    :param chunk_bytes: length of a block in bytes of UTF-8 text.

    >>> short = build_block_chain("fes", "wax@v1", "a" * 8, 4)
    >>> long = build_block_chain("fes", "wax@v1", "a" * 13, 4)
    >>> len(long), long[:2] == short
    (3, True)
    >>> build_block_chain("agadir", "wax@v1", "a" * 8, 4) == short
    False
    """
    data = prompt.encode()
    previous = digest("chain", account, slot, chunk_bytes)
    chain = []
    for start in range(0, len(data) - chunk_bytes + 1, chunk_bytes):
        previous = digest(previous, data[start : start + chunk_bytes])
        chain.append(previous)
    return tuple(chain)


@dataclass
class _HolderEntry:
    """The blocks of one shard that one holder is known to have.

    :param reported_at: monotonic time in seconds of the latest report.
    :param blocks: time of the last report by block, in the order of eviction.
    """

    boot_id: str
    is_store: bool
    reported_at: float
    blocks: OrderedDict[bytes, float] = field(default_factory=OrderedDict)


@dataclass
class PrefixIndex:
    """The prefix runs of the shards that this node owns.

    Conversations with a common beginning share a shard. Blocks are therefore stored
    individually, so that a run of one conversation doesn't replace those of others.
    """

    metrics: Metrics
    clock: Callable[[], float] = clocks.monotonic
    max_shards: int = MAX_SHARDS
    max_blocks_per_holder: int = MAX_BLOCKS_PER_HOLDER
    _shards: OrderedDict[bytes, dict[str, _HolderEntry]] = field(
        default_factory=OrderedDict
    )

    @property
    def n_shards(self) -> int:
        """Number of shards in the index."""
        return len(self._shards)

    def record(self, shard_key: bytes, runs: Sequence[PrefixRun]) -> None:
        """Add runs to a shard.

        The blocks of a run are added to those of its holder. A run of another boot
        replaces them, and a run without blocks removes the holder.
        """
        now = self.clock()
        holders = self._shards.setdefault(shard_key, {})
        self._shards.move_to_end(shard_key)
        for run in runs:
            self._record_run(holders, run, now - run.age_ms / 1000)
        while len(holders) > MAX_HOLDERS_PER_SHARD:
            del holders[min(holders, key=lambda name: holders[name].reported_at)]
        if not holders:
            del self._shards[shard_key]
        while len(self._shards) > self.max_shards:
            self._shards.popitem(last=False)
            self.metrics.count("prefix_shards_evicted_total")

    def locate(self, shard_key: bytes, chain: Sequence[bytes]) -> list[PrefixRun]:
        """Return each holder's run of blocks that matches the start of a chain."""
        holders = self._shards.get(shard_key)
        if holders is None:
            return []
        self._shards.move_to_end(shard_key)
        now = self.clock()
        found = []
        for holder, entry in holders.items():
            blocks = list(takewhile(entry.blocks.__contains__, chain))
            if blocks:
                age_ms = max(0, int((now - entry.blocks[blocks[-1]]) * 1000))
                found.append(
                    PrefixRun(holder, entry.is_store, entry.boot_id, blocks, 0, age_ms)
                )
        return found

    def remove_blocks(
        self, shard_key: bytes, holder: str, boot_id: str, removed: Sequence[bytes]
    ) -> None:
        """Remove blocks that a holder has dropped; runs then end before the first.

        :param boot_id: boot that dropped them; blocks of another boot are kept.
        """
        holders = self._shards.get(shard_key, {})
        entry = holders.get(holder)
        if entry is None or entry.boot_id != boot_id:
            return
        for block in removed:
            entry.blocks.pop(block, None)
        if not entry.blocks:
            del holders[holder]
        if not holders:
            del self._shards[shard_key]

    def remove_holder(self, holder: str, boot_id: str) -> None:
        """Remove all blocks of one boot of a holder from all shards."""
        for shard_key, holders in list(self._shards.items()):
            entry = holders.get(holder)
            if entry is not None and entry.boot_id == boot_id:
                del holders[holder]
                if not holders:
                    del self._shards[shard_key]

    def _record_run(
        self, holders: dict[str, _HolderEntry], run: PrefixRun, reported_at: float
    ) -> None:
        entry = holders.get(run.holder)
        is_replacement = entry is not None and (
            not run.blocks or entry.boot_id != run.boot_id
        )
        if is_replacement and entry.reported_at > reported_at:
            self.metrics.count("prefix_runs_ignored_total", reason="older")
            return
        if not run.blocks:
            holders.pop(run.holder, None)
            return
        if entry is None or entry.boot_id != run.boot_id:
            entry = holders[run.holder] = _HolderEntry(
                run.boot_id, run.is_store, reported_at
            )
        entry.reported_at = max(entry.reported_at, reported_at)
        # The leading blocks are moved to the end last, so that a chain is evicted from
        # its end.
        for block in reversed(run.blocks):
            entry.blocks[block] = max(reported_at, entry.blocks.get(block, reported_at))
            entry.blocks.move_to_end(block)
        while len(entry.blocks) > self.max_blocks_per_holder:
            entry.blocks.popitem(last=False)
