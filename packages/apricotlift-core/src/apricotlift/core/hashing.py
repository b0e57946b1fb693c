"""Digests and rendezvous hashing.

When a node joins or leaves, rendezvous (highest random weight) hashing moves only
the keys of that node; see Thaler and Ravishankar, "Using name-based mappings to
increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import hashlib
import math
from collections.abc import Iterable, Mapping, Sequence

_DIGEST_BYTES = 16
_HASH_RANGE = float(1 << 64)


def digest(*parts: str | bytes | int) -> bytes:
    """Return a 16-byte digest of the parts.

    Each part is preceded by its length, so ``("ab", "c")`` and ``("a", "bc")``
    differ.

    >>> digest("ab", "c") == digest("a", "bc")
    False
    """
    hasher = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        data = part if isinstance(part, bytes) else str(part).encode()
        hasher.update(len(data).to_bytes(8, "big"))
        hasher.update(data)
    return hasher.digest()


def rank_nodes(
    key: str | bytes,
    nodes: Iterable[str],
    weights: Mapping[str, float] | None = None,
) -> list[str]:
    """Return the nodes in descending order of their rendezvous score for the key.

    :param key: the key to place.
    :param nodes: names of the nodes.
    :param weights: relative share of the keys by node; 1 for nodes without an entry.

    >>> rank_nodes("k", ["a", "b", "c"])
    ['c', 'a', 'b']
    """
    raw = key if isinstance(key, bytes) else key.encode()
    weights = weights or {}

    def score(node: str) -> float:
        hasher = hashlib.blake2b(raw, digest_size=8, key=node.encode()[:64])
        fraction = (int.from_bytes(hasher.digest(), "big") + 1) / (_HASH_RANGE + 2)
        return -weights.get(node, 1.0) / math.log(fraction)

    return sorted(nodes, key=lambda node: (-score(node), node))


def choose_owners(
    key: str | bytes, members: Mapping[str, str], n_owners: int = 2
) -> list[str]:
    """Return the owners of a key, in different failure domains where possible.

    :param key: the key of the shard.
    :param members: failure domain by node name.
    :param n_owners: how many owners to choose.

    >>> choose_owners("k", {"a": "x", "b": "x", "c": "y"})
    ['c', 'a']
    """
    return spread_over_domains(rank_nodes(key, members), members, n_owners)


def spread_over_domains(
    ranked: Sequence[str], domains: Mapping[str, str], n_chosen: int
) -> list[str]:
    """Choose nodes from a ranking, spread over failure domains.

    Each round goes through the remaining ranking and takes at most one node of each
    failure domain.

    :param ranked: nodes, best first.
    :param domains: failure domain by node name.
    :param n_chosen: how many nodes to choose.
    """
    remaining = list(ranked)
    chosen: list[str] = []
    while remaining and len(chosen) < n_chosen:
        used_domains: set[str] = set()
        for node in list(remaining):
            if len(chosen) < n_chosen and domains[node] not in used_domains:
                used_domains.add(domains[node])
                chosen.append(node)
                remaining.remove(node)
    return chosen
