"""Prefix cache and cache events of the stand-in engine.

Blocks are keyed by cache salt and digest, so requests with different salts never
share a block. Each entry keeps the origin that the block's bytes name. The engine's
ground truth lists the origins of the blocks that an attempt used, so that a checker
finds a block of another salt, slot or digest.
"""

import json
import random
from collections import Counter, OrderedDict
from collections.abc import Sequence
from dataclasses import asdict, dataclass

import anyio
from apricotlift.core import clocks

MAX_EVENTS = 20_000


@dataclass(frozen=True)
class BlockOrigin:
    """What a block was computed from."""

    block: str
    salt: str
    slot: str

    def encode(self, size_bytes: int) -> bytes:
        """Return the block's bytes: its origin, and padding derived from the origin."""
        head = json.dumps(asdict(self)).encode() + b"\n"
        n_filler = max(0, size_bytes - len(head))
        return head + random.Random(head).randbytes(n_filler)


def decode_origin(data: bytes) -> BlockOrigin:
    """Return the origin that a block's bytes name.

    All fields are ``unreadable`` if the bytes name none.
    """
    try:
        return BlockOrigin(**json.loads(data.partition(b"\n")[0]))
    except (ValueError, TypeError):
        return BlockOrigin("unreadable", "unreadable", "unreadable")


class EventLog:
    """Numbered cache events, which faults delay, leave out or repeat."""

    def __init__(self, source: random.Random):
        self.delay_s = 0.0
        self.gap_every = 0
        self.duplicate_every = 0
        self._random = source
        self._events: list[tuple[float, dict]] = []
        self._n_written = 0
        self._changed = anyio.Event()

    @property
    def first_seq(self) -> int:
        """Sequence number of the oldest event that is kept."""
        return self._n_written - len(self._events) + 1

    @property
    def last_seq(self) -> int:
        """Sequence number of the newest event."""
        return self._n_written

    def write(self, kind: str, root: str, blocks: Sequence[str]) -> None:
        """Add an event."""
        self._n_written += 1
        event = {
            "seq": self._n_written,
            "kind": kind,
            "root": root,
            "blocks": list(blocks),
        }
        delay_s = self.delay_s * self._random.uniform(0.5, 1.0)
        self._events.append((clocks.monotonic() + delay_s, event))
        del self._events[:-MAX_EVENTS]
        self._changed.set()
        self._changed = anyio.Event()

    def read(self, after: int) -> list[dict]:
        """Return the published events that follow a sequence number."""
        now = clocks.monotonic()
        published = []
        for visible_at, event in self._events:
            seq = event["seq"]
            if seq <= after or (self.gap_every and seq % self.gap_every == 0):
                continue
            if visible_at > now:
                break
            published.append(event)
            if self.duplicate_every and seq % self.duplicate_every == 0:
                published.append(event)
        return published

    async def wait(self, timeout_s: float) -> None:
        """Wait for the next event.

        With delayed events it waits at most 0.1 s, because the end of a delay sends
        no notification.
        """
        with anyio.move_on_after(min(timeout_s, 0.1) if self.delay_s else timeout_s):
            await self._changed.wait()


@dataclass
class _Entry:
    origin: BlockOrigin
    root: str


class PrefixCache:
    """Cache of blocks that evicts the least recently used unpinned one."""

    def __init__(self, capacity: int, events: EventLog):
        self.capacity = capacity
        self._events = events
        self._entries: OrderedDict[tuple[str, str], _Entry] = OrderedDict()
        self._pins: Counter[tuple[str, str]] = Counter()

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, salt: str, block: str) -> BlockOrigin | None:
        """Return the origin of a cached block."""
        entry = self._entries.get((salt, block))
        return entry.origin if entry else None

    def find_prefix(self, salt: str, blocks: Sequence[str]) -> list[BlockOrigin]:
        """Return the longest run of leading blocks that is cached under a salt."""
        cached = []
        for block in blocks:
            entry = self._entries.get((salt, block))
            if entry is None:
                break
            cached.append(entry.origin)
        # The first block is marked as used last, so that a prefix is evicted from its
        # end. Without its first block, the rest of a prefix can't be used.
        for block in reversed(blocks[: len(cached)]):
            self._entries.move_to_end((salt, block))
        return cached

    def pin(self, salt: str, blocks: Sequence[str]) -> None:
        """Prevent the eviction of blocks while an attempt uses them."""
        self._pins.update((salt, block) for block in blocks)

    def unpin(self, salt: str, blocks: Sequence[str]) -> None:
        """Release one pin of each block."""
        self._pins.subtract((salt, block) for block in blocks)
        self._pins += Counter()

    def store(self, salt: str, root: str, origins: dict[str, BlockOrigin]) -> list[str]:
        """Add blocks under a salt and return those that are now in the cache."""
        added = []
        stored = []
        for block, origin in origins.items():
            key = (salt, block)
            if key not in self._entries:
                if not self._make_room():
                    break
                self._entries[key] = _Entry(origin, root)
                added.append(block)
            elif root in origins:
                # An import names its first block as the root, which may lie within a
                # prefix. A prompt that uses the block later names the real root.
                self._entries[key].root = root
            stored.append(block)
        for block in reversed(stored):
            self._entries.move_to_end((salt, block))
        if added:
            self._events.write("stored", root, added)
        return stored

    def clear(self) -> None:
        """Remove all unpinned blocks."""
        for key in list(self._entries):
            if not self._pins[key]:
                del self._entries[key]
        self._events.write("cleared", "", [])

    def _make_room(self) -> bool:
        if len(self._entries) < self.capacity:
            return True
        for key in self._entries:
            if not self._pins[key]:
                entry = self._entries.pop(key)
                self._events.write("removed", entry.root, [key[1]])
                return True
        return False
