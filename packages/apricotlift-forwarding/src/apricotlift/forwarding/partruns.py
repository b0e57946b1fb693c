"""Runs of prompt parts that the same engines and stores hold.

A placement compares engines. Parts that follow each other and are held alike cost each
engine the same, so that an engine is judged by runs of parts and not by parts. The work
for a prompt is bounded, whatever its number of parts and whatever others have cached.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from heapq import nsmallest

from apricotlift.forwarding.cacheindex import CacheIndex, Holder
from apricotlift.forwarding.entities import PromptPart

#: Parts of a prompt that are looked at one by one. Those after them are computed where
#: the engine doesn't hold them by itself.
N_PARTS_MAX = 256
#: For one prompt: lookups of a part at an engine or store, and estimates of a run of
#: parts for an engine, which take longer.
_N_LOOKUPS_MAX = 20_000
_N_ESTIMATES_MAX = 6_000
_N_ITEMS_MIN = 8


@dataclass(frozen=True)
class PartRun:
    """Parts that follow each other and that the same engines and stores hold.

    :param keepers: addresses of the engines that needn't compute or fetch them.
    :param sources: holders from which all of them can be fetched.
    """

    n_parts: int
    n_tokens: int
    keepers: frozenset[str]
    sources: tuple[Holder, ...]


def compute_n_parts_max(n_holders: int) -> int:
    """Return how many parts are looked up at each of several holders."""
    return _share(_N_LOOKUPS_MAX, n_holders)


def compute_n_runs_max(n_engines: int) -> int:
    """Return how many runs are estimated for each of several engines."""
    return _share(_N_ESTIMATES_MAX, n_engines)


def _share(n_steps: int, n_shares: int) -> int:
    return max(_N_ITEMS_MIN, min(N_PARTS_MAX, n_steps // max(1, n_shares)))


def build_runs(
    index: CacheIndex,
    salt: str,
    parts: Sequence[PromptPart],
    learned_before: float | None,
    n_runs_max: int,
) -> list[PartRun]:
    """Return the runs of a prompt's parts up to the first one that nobody holds.

    An engine can use the KV cache of a part only with that of all parts before it.

    :param learned_before: as for :meth:`~.cacheindex.CacheIndex.find_uses`.
    """
    groups: list[tuple[list[str], list[Holder], list[PromptPart]]] = []
    for part in parts[: compute_n_parts_max(len(index.held))]:
        keepers, sources = index.find_uses(
            (salt, part.part_id), part.n_tokens, learned_before
        )
        if not keepers and not sources:
            break
        if groups and groups[-1][:2] == (keepers, sources):
            groups[-1][2].append(part)
        elif len(groups) < n_runs_max:
            groups.append((keepers, sources, [part]))
        else:
            break
    return [
        PartRun(
            len(members),
            sum(part.n_tokens for part in members),
            frozenset(keepers),
            tuple(sources),
        )
        for keepers, sources, members in groups
    ]


SourceLookup = Callable[[PartRun, str, str], Holder | None]


def remember_sources() -> SourceLookup:
    """Return a lookup of the nearest source of a run for an engine.

    Its arguments are the run, and the failure domain and address of the engine. The
    sources are compared once for each run and failure domain.
    """
    nearest: dict[tuple[int, str], list[Holder]] = {}

    def find_source(run: PartRun, domain: str, own_address: str) -> Holder | None:
        key = (id(run), domain)
        if key not in nearest:
            # Stores are preferred: they never evict a part on their own, engines may.
            nearest[key] = nsmallest(
                2,
                run.sources,
                key=lambda holder: (
                    holder.failure_domain != domain,
                    not holder.is_store,
                ),
            )
        found = (item for item in nearest[key] if item.address != own_address)
        return next(found, None)

    return find_source
