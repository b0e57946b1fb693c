"""Compact encoding of the load of engines.

Engines are identified by their place in a sorted list that all nodes derive from the
store's entries, and the list by a digest. Each number takes one byte on a logarithmic
scale with an error of at most 4 %. Shared parts are sent as one byte of hashed buckets
for each engine: unlike a sum, its union over the nodes counts a part that several
nodes use only once.
"""

import math
import struct
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from apricotlift.core.hashing import digest

_SCALE = 1.08
_LARGEST_CODE = 255
_VALUES = [0] + [round(_SCALE ** (code - 1)) for code in range(1, _LARGEST_CODE + 1)]

_N_BUCKETS = 8
_N_COLUMNS = 3
_ENTRY = struct.Struct(">HBBB")
_DIGEST_BYTES = 8

#: Time for which a new list of engines isn't used for sending, so that nodes that learn
#: of a change later can decode what they get. It exceeds the 1.65 s that a change may
#: take to reach a node.
_SETTLE_S = 2.0
_MAX_LISTS = 16


@dataclass
class EngineSum:
    """Load of one engine, from several nodes.

    :param n_unread: prompt tokens whose prefill isn't done.
    :param n_own: tokens of memory that belong to single requests.
    :param buckets: the buckets of the shared parts in use, one bit each.
    """

    n_unread: int = 0
    n_own: int = 0
    buckets: int = 0

    def add(self, other: "EngineSum") -> None:
        """Include the load from other nodes."""
        self.n_unread += other.n_unread
        self.n_own += other.n_own
        self.buckets |= other.buckets


Sums = dict[str, EngineSum]


def encode_number(value: int) -> int:
    """Return the one-byte code of a number.

    >>> encode_number(0), decode_number(encode_number(1000))
    (0, 1019)
    """
    if value <= 0:
        return 0
    return min(_LARGEST_CODE, 1 + round(math.log(value) / math.log(_SCALE)))


def decode_number(code: int) -> int:
    """Return the number of a one-byte code."""
    return _VALUES[code]


def choose_bucket(salt: str, part: str) -> int:
    """Return the bucket of a shared part, as a byte with one bit set."""
    return 1 << (digest(salt, part)[0] % _N_BUCKETS)


def estimate_n_parts(buckets: int) -> float:
    """Return the expected number of different parts in the set buckets.

    This is linear counting: Whang et al., "A linear-time probabilistic counting
    algorithm for database applications", ACM TODS 15(2), 1990.

    >>> estimate_n_parts(0), round(estimate_n_parts(0b101), 1)
    (0.0, 2.3)
    """
    # With all buckets set the estimate would be infinite; half a bucket is left empty.
    n_empty = max(0.5, _N_BUCKETS - buckets.bit_count())
    return abs(_N_BUCKETS * math.log(_N_BUCKETS / n_empty))


@dataclass(frozen=True)
class EngineList:
    """The sorted ids of all engines at one time."""

    names: tuple[str, ...]
    digest: bytes
    since: float
    places: dict[str, int]


@dataclass
class EngineLists:
    """The lists of engines that this node has had, newest last."""

    _lists: list[EngineList] = field(default_factory=list)

    def update(self, names: Iterable[str], now: float) -> None:
        """Set the present engines."""
        ordered = tuple(sorted(names))
        if self._lists and self._lists[-1].names == ordered:
            return
        # A list that returns is moved to the end.
        self._lists = [known for known in self._lists if known.names != ordered]
        places = {name: place for place, name in enumerate(ordered)}
        list_digest = digest(*ordered)[:_DIGEST_BYTES]
        self._lists.append(EngineList(ordered, list_digest, now, places))
        del self._lists[:-_MAX_LISTS]

    def get_settled(self, now: float) -> EngineList | None:
        """Return the newest list that other nodes are expected to know."""
        for known in reversed(self._lists):
            if now - known.since >= _SETTLE_S:
                return known
        return self._lists[0] if self._lists else None

    def find(self, list_digest: bytes) -> EngineList | None:
        """Return the list with a digest, ``None`` if this node hasn't had it."""
        for known in self._lists:
            if known.digest == list_digest:
                return known
        return None


def encode_entries(engines: EngineList, sums: Mapping[str, EngineSum]) -> bytes:
    """Return the load of the engines that have any."""
    return b"".join(
        _ENTRY.pack(
            engines.places[name],
            encode_number(load.n_unread),
            encode_number(load.n_own),
            load.buckets,
        )
        for name, load in sums.items()
        if name in engines.places
    )


def decode_entries(engines: EngineList, entries: bytes) -> Sums:
    """Return the load by engine.

    :raises ValueError: if the entries don't match the list.
    """
    if len(entries) % _ENTRY.size:
        raise ValueError(f"{len(entries)} bytes of entries")
    sums = {}
    for place, unread, own, buckets in _ENTRY.iter_unpack(entries):
        if place >= len(engines.names):
            raise ValueError(f"entry {place} of {len(engines.names)}")
        sums[engines.names[place]] = EngineSum(_VALUES[unread], _VALUES[own], buckets)
    return sums


def encode_columns(engines: EngineList, sums: Mapping[str, EngineSum]) -> bytes:
    """Return the compressed load of all engines of a list."""
    size = len(engines.names)
    columns = bytearray(_N_COLUMNS * size)
    for name, load in sums.items():
        place = engines.places.get(name)
        if place is not None:
            columns[place] = encode_number(load.n_unread)
            columns[place + size] = encode_number(load.n_own)
            columns[place + 2 * size] = load.buckets
    return zlib.compress(bytes(columns), 1)


def decode_columns(engines: EngineList, data: bytes) -> Sums:
    """Return the load by engine.

    :raises ValueError: if the columns don't match the list.
    """
    size = len(engines.names)
    try:
        columns = zlib.decompressobj().decompress(data, _N_COLUMNS * size + 1)
    except zlib.error as error:
        raise ValueError(f"columns: {error}") from error
    if len(columns) != _N_COLUMNS * size:
        raise ValueError(f"{len(columns)} bytes of columns for {size} engines")
    rows = zip(
        engines.names,
        columns[:size],
        columns[size : 2 * size],
        columns[2 * size :],
        strict=True,
    )
    return {
        name: EngineSum(_VALUES[unread], _VALUES[own], buckets)
        for name, unread, own, buckets in rows
        if unread or own or buckets
    }
