"""Divides the nodes of a large fleet into groups, and chooses their aggregators.

Each failure domain is a group, so that most reports stay inside it. A large domain is
divided and small ones are joined, which bounds both the reports that an aggregator gets
and the number of aggregators that exchange their sums.
"""

import math
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from apricotlift.core.hashing import digest, rank_nodes

MAX_GROUP_NODES = 48
MAX_DOMAIN_GROUPS = 16

#: Time for which a node that missed a reply isn't asked again. It is the suspicion time
#: of the membership, after which such a node is no member anyway.
_AVOIDED_S = 5.0


def divide_nodes(domains: Mapping[str, str]) -> dict[str, list[str]]:
    """Return the ranked candidates for the aggregator of each group.

    Candidates are all nodes of the group's failure domains.

    :param domains: failure domain by node.
    """
    are_joined = len(set(domains.values())) > MAX_DOMAIN_GROUPS
    members: dict[str, list[str]] = defaultdict(list)
    for node, domain in domains.items():
        name = str(digest(domain)[0] % MAX_DOMAIN_GROUPS) if are_joined else domain
        members[name].append(node)
    return {
        f"{name}/{part}": rank_nodes(f"load-sums/{name}/{part}", nodes)
        for name, nodes in members.items()
        for part in range(_count_parts(nodes))
    }


def find_group(groups: Mapping[str, list[str]], node: str) -> str | None:
    """Return the name of a node's group, ``None`` if it is in none."""
    for name, candidates in groups.items():
        if node in candidates:
            place = int.from_bytes(digest(node)[:4], "big") % _count_parts(candidates)
            return f"{name.rpartition('/')[0]}/{place}"
    return None


def _count_parts(nodes: list[str]) -> int:
    return math.ceil(len(nodes) / MAX_GROUP_NODES)


@dataclass
class AggregatorChoice:
    """Which nodes this node regards as aggregators."""

    own_name: str
    _domains: Mapping[str, str] | None = None
    _groups: dict[str, list[str]] = field(default_factory=dict)
    _group: str | None = None
    _avoided_until: dict[str, float] = field(default_factory=dict)

    def update(self, domains: Mapping[str, str]) -> bool:
        """Set the serving nodes by failure domain, and return whether any changed."""
        # The view returns the same mapping until a member changes.
        if domains is self._domains:
            return False
        self._domains = domains
        self._groups = divide_nodes(domains)
        self._group = find_group(self._groups, self.own_name)
        return True

    def list_candidates(self, now: float) -> list[str]:
        """Return the nodes to report to, best first, without the avoided ones."""
        ranked = self._groups.get(self._group or "", [])
        return [name for name in ranked if not self.is_avoided(name, now)]

    def list_aggregators(self, now: float) -> set[str]:
        """Return the expected aggregators of all groups."""
        chosen = set()
        for ranked in self._groups.values():
            usable = (name for name in ranked if not self.is_avoided(name, now))
            chosen.add(next(usable, ranked[0]))
        return chosen

    def is_avoided(self, name: str, now: float) -> bool:
        """Return whether a node missed a reply recently."""
        return self._avoided_until.get(name, 0.0) > now

    def note_missed(self, name: str, now: float) -> None:
        """Record that a node didn't reply."""
        self._avoided_until[name] = now + _AVOIDED_S
        for other, until in list(self._avoided_until.items()):
            if until <= now:
                del self._avoided_until[other]
