"""Where the beginnings of prompts are cached: block identity and prefix runs.

A block's digest covers the client account, the slot (model, weight version and
adapter) and the whole prompt up to the block's end, so blocks of another account or
weight version never match. An owner of a shard keeps, for each holder, the blocks
that it was told of. All of it is hints: the requester checks boot ids and the
engine's own count of cached tokens.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import takewhile

from apricotlift.core import clocks
from apricotlift.core.hashing import digest
from apricotlift.core.metrics import Metrics
from apricotlift.wire.messages import PrefixRun

#: Conversations that one owner remembers; the least recently used go first.
MAX_SHARDS = 20_000

#: Holders of one shard: as many as a prompt can usefully have.
MAX_RUNS_PER_SHARD = 8

#: Blocks of one holder in one shard; those not reported for longest go first.
MAX_BLOCKS_PER_HOLDER = 5_000


def build_chain(
    account: str, slot: str, prompt: str, chunk_bytes: int
) -> tuple[bytes, ...]:
    """Return the digests of the full blocks of a prompt.

    :param chunk_bytes: length of a block's text in UTF-8 bytes.

    >>> short = build_chain("fes", "wax@v1", "a" * 8, 4)
    >>> long = build_chain("fes", "wax@v1", "a" * 13, 4)
    >>> len(long), long[:2] == short
    (3, True)
    >>> build_chain("agadir", "wax@v1", "a" * 8, 4) == short
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
class _Holding:
    """What one holder has of one shard.

    :param blocks: when each block was last reported, the oldest first.
    """

    boot_id: str
    is_store: bool
    seen_at: float
    blocks: OrderedDict[bytes, float] = field(default_factory=OrderedDict)


@dataclass
class PrefixIndex:
    """The prefix runs of the shards that this node owns.

    Conversations that begin alike share a shard, so blocks are kept one by one: a
    run of one conversation leaves those of the others in place.
    """

    metrics: Metrics
    clock: Callable[[], float] = clocks.monotonic
    max_shards: int = MAX_SHARDS
    max_blocks: int = MAX_BLOCKS_PER_HOLDER
    _shards: OrderedDict[bytes, dict[str, _Holding]] = field(
        default_factory=OrderedDict
    )

    @property
    def n_shards(self) -> int:
        """How many shards are remembered."""
        return len(self._shards)

    def record(self, shard_key: bytes, runs: Sequence[PrefixRun]) -> None:
        """Remember runs.

        A run adds to what its holder is known to have; one of another boot replaces
        it, and one without blocks removes the holder.
        """
        now = self.clock()
        held = self._shards.setdefault(shard_key, {})
        self._shards.move_to_end(shard_key)
        for run in runs:
            self._record_run(held, run, now - run.age_ms / 1000)
        while len(held) > MAX_RUNS_PER_SHARD:
            del held[min(held, key=lambda name: held[name].seen_at)]
        if not held:
            del self._shards[shard_key]
        while len(self._shards) > self.max_shards:
            self._shards.popitem(last=False)
            self.metrics.count("prefix_shards_evicted_total")

    def locate(self, shard_key: bytes, chain: Sequence[bytes]) -> list[PrefixRun]:
        """Return the runs that begin like a chain, cut to what they share with it."""
        held = self._shards.get(shard_key)
        if held is None:
            return []
        self._shards.move_to_end(shard_key)
        now = self.clock()
        found = []
        for holder, holding in held.items():
            blocks = list(takewhile(holding.blocks.__contains__, chain))
            if blocks:
                age_ms = max(0, int((now - holding.blocks[blocks[-1]]) * 1000))
                found.append(
                    PrefixRun(
                        holder, holding.is_store, holding.boot_id, blocks, 0, age_ms
                    )
                )
        return found

    def trim(
        self, shard_key: bytes, holder: str, boot_id: str, removed: Sequence[bytes]
    ) -> None:
        """Note that a holder has dropped blocks: runs end before the first of them.

        :param boot_id: the boot that dropped them; another boot's blocks stay.
        """
        held = self._shards.get(shard_key, {})
        holding = held.get(holder)
        if holding is None or holding.boot_id != boot_id:
            return
        for block in removed:
            holding.blocks.pop(block, None)
        if not holding.blocks:
            del held[holder]
        if not held:
            del self._shards[shard_key]

    def forget_holder(self, holder: str, boot_id: str) -> None:
        """Drop all that one boot of a holder was known to have."""
        for shard_key, held in list(self._shards.items()):
            holding = held.get(holder)
            if holding is not None and holding.boot_id == boot_id:
                del held[holder]
                if not held:
                    del self._shards[shard_key]

    def _record_run(
        self, held: dict[str, _Holding], run: PrefixRun, seen_at: float
    ) -> None:
        known = held.get(run.holder)
        replaces = known is not None and (
            not run.blocks or known.boot_id != run.boot_id
        )
        if replaces and known.seen_at > seen_at:
            self.metrics.count("prefix_runs_ignored_total", reason="older")
            return
        if not run.blocks:
            held.pop(run.holder, None)
            return
        if known is None or known.boot_id != run.boot_id:
            known = held[run.holder] = _Holding(run.boot_id, run.is_store, seen_at)
        known.seen_at = max(known.seen_at, seen_at)
        # The leading blocks go last, so that a chain is forgotten from its end.
        for block in reversed(run.blocks):
            known.blocks[block] = max(seen_at, known.blocks.get(block, seen_at))
            known.blocks.move_to_end(block)
        while len(known.blocks) > self.max_blocks:
            known.blocks.popitem(last=False)
