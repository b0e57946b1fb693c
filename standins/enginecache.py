"""Prefix cache and cache events of the stand-in engine.

Blocks are held by cache salt and digest, so requests with different salts never
share one. Each entry keeps what its content says about its origin; a checker reads
from the engine's ground truth whether an attempt used a block of another salt, of
another slot or of another digest.
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
class Content:
    """What a block was computed from."""

    block: str
    salt: str
    slot: str

    def encode(self, size_bytes: int) -> bytes:
        """Return the block's bytes: its origin and filler that depends on it."""
        head = json.dumps(asdict(self)).encode() + b"\n"
        n_filler = max(0, size_bytes - len(head))
        return head + random.Random(head).randbytes(n_filler)


def decode_content(data: bytes) -> Content:
    """Return the origin that a block's bytes name, ``unreadable`` where none is."""
    try:
        return Content(**json.loads(data.partition(b"\n")[0]))
    except (ValueError, TypeError):
        return Content("unreadable", "unreadable", "unreadable")


class EventLog:
    """Numbered cache events, published late, with gaps and duplicates."""

    def __init__(self, source: random.Random):
        self.delay_s = 0.0
        self.gap_every = 0
        self.duplicate_every = 0
        self._source = source
        self._events: list[tuple[float, dict]] = []
        self._n_written = 0
        self._changed = anyio.Event()

    @property
    def first_seq(self) -> int:
        """Number of the oldest event that is kept."""
        return self._n_written - len(self._events) + 1

    @property
    def last_seq(self) -> int:
        """Number of the newest event."""
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
        delay_s = self.delay_s * self._source.uniform(0.5, 1.0)
        self._events.append((clocks.monotonic() + delay_s, event))
        del self._events[:-MAX_EVENTS]
        self._changed.set()
        self._changed = anyio.Event()

    def read(self, after: int) -> list[dict]:
        """Return the published events after a number."""
        now = clocks.monotonic()
        found = []
        for visible_at, event in self._events:
            seq = event["seq"]
            if seq <= after or (self.gap_every and seq % self.gap_every == 0):
                continue
            if visible_at > now:
                break
            found.append(event)
            if self.duplicate_every and seq % self.duplicate_every == 0:
                found.append(event)
        return found

    async def wait(self, timeout_s: float) -> None:
        """Wait for the next event, or a short time for late ones."""
        with anyio.move_on_after(min(timeout_s, 0.1) if self.delay_s else timeout_s):
            await self._changed.wait()


@dataclass
class _Entry:
    content: Content
    root: str


class PrefixCache:
    """Blocks in order of use; the least recently used unpinned one is evicted."""

    def __init__(self, capacity: int, events: EventLog):
        self.capacity = capacity
        self._events = events
        self._entries: OrderedDict[tuple[str, str], _Entry] = OrderedDict()
        self._pins: Counter[tuple[str, str]] = Counter()

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, salt: str, block: str) -> Content | None:
        """Return a block's content."""
        entry = self._entries.get((salt, block))
        return entry.content if entry else None

    def find_prefix(self, salt: str, blocks: Sequence[str]) -> list[Content]:
        """Return the longest run of leading blocks that is cached under a salt."""
        found = []
        for block in blocks:
            entry = self._entries.get((salt, block))
            if entry is None:
                break
            found.append(entry.content)
        # The leading blocks are touched last, so that a chain is evicted from its
        # end; a chain without its head would be of no use.
        for block in reversed(blocks[: len(found)]):
            self._entries.move_to_end((salt, block))
        return found

    def pin(self, salt: str, blocks: Sequence[str]) -> None:
        """Keep blocks from eviction while a run uses them."""
        self._pins.update((salt, block) for block in blocks)

    def unpin(self, salt: str, blocks: Sequence[str]) -> None:
        """Allow eviction again."""
        self._pins.subtract((salt, block) for block in blocks)
        self._pins += Counter()

    def store(self, salt: str, root: str, contents: dict[str, Content]) -> list[str]:
        """Add blocks under a salt and return those that found room."""
        added = []
        stored = []
        for block, content in contents.items():
            key = (salt, block)
            if key not in self._entries:
                if not self._make_room():
                    break
                self._entries[key] = _Entry(content, root)
                added.append(block)
            elif root in contents:
                # An import names its first block as the root; a prompt that uses the
                # block afterwards names the real one.
                self._entries[key].root = root
            stored.append(block)
        for block in reversed(stored):
            self._entries.move_to_end((salt, block))
        if added:
            self._events.write("stored", root, added)
        return stored

    def clear(self) -> None:
        """Drop all unpinned blocks."""
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
