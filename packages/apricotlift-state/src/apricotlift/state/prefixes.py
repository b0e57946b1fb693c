"""Where the beginnings of prompts are cached: block identity and prefix runs.

A block's digest covers the client account, the slot (model, weight version and
adapter) and the whole prompt up to the block's end, so blocks of another account or
weight version never match. An owner of a shard keeps, for each holder, the longest
chain that it was told of. All of it is hints: the requester checks boot ids and the
engine's own count of cached tokens.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from apricotlift.core import clocks
from apricotlift.core.hashing import digest
from apricotlift.core.metrics import Metrics
from apricotlift.wire.messages import PrefixRun

#: Conversations that one owner remembers; the least recently used go first.
MAX_SHARDS = 20_000

#: Runs of one conversation: as many holders as a prompt can usefully have.
MAX_RUNS_PER_SHARD = 8


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


def count_common(first: Sequence[bytes], second: Sequence[bytes]) -> int:
    """Return how many leading blocks two chains share.

    Each digest covers all blocks before it, so two chains that agree at a place
    agree everywhere before it; a binary search finds the last such place.
    """
    low, high = 0, min(len(first), len(second))
    while low < high:
        middle = (low + high + 1) // 2
        if first[middle - 1] == second[middle - 1]:
            low = middle
        else:
            high = middle - 1
    return low


@dataclass
class _HeldRun:
    boot_id: str
    is_store: bool
    blocks: tuple[bytes, ...]
    seen_at: float


@dataclass
class PrefixIndex:
    """The prefix runs of the shards that this node owns."""

    metrics: Metrics
    clock: Callable[[], float] = clocks.monotonic
    max_shards: int = MAX_SHARDS
    _shards: OrderedDict[bytes, dict[str, _HeldRun]] = field(
        default_factory=OrderedDict
    )

    @property
    def n_shards(self) -> int:
        """How many conversations are remembered."""
        return len(self._shards)

    def record(self, shard_key: bytes, runs: Sequence[PrefixRun]) -> None:
        """Remember runs; a run replaces what its holder was known to have.

        A run without blocks removes the holder's entry.
        """
        now = self.clock()
        held = self._shards.setdefault(shard_key, {})
        self._shards.move_to_end(shard_key)
        for run in runs:
            seen_at = now - run.age_ms / 1000
            known = held.get(run.holder)
            if known is not None and known.seen_at > seen_at:
                self.metrics.count("prefix_runs_ignored_total", reason="older")
                continue
            if not run.blocks:
                held.pop(run.holder, None)
                continue
            held[run.holder] = _HeldRun(
                run.boot_id, run.is_store, tuple(run.blocks), seen_at
            )
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
        for holder, run in held.items():
            n_common = count_common(run.blocks, chain)
            if n_common:
                age_ms = max(0, int((now - run.seen_at) * 1000))
                blocks = list(run.blocks[:n_common])
                found.append(
                    PrefixRun(holder, run.is_store, run.boot_id, blocks, 0, age_ms)
                )
        return found

    def trim(self, shard_key: bytes, holder: str, removed: Sequence[bytes]) -> None:
        """Note that a holder has dropped blocks: its run ends before the first."""
        held = self._shards.get(shard_key, {})
        run = held.get(holder)
        if run is None:
            return
        gone = set(removed)
        for index, block in enumerate(run.blocks):
            if block in gone:
                run.blocks = run.blocks[:index]
                break
        if not run.blocks:
            del held[holder]
