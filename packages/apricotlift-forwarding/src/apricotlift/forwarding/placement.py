"""Chooses the engine for a prompt and the transfers of its cached prompt parts.

For each part of the prompt, an engine can reuse the KV cache that it holds, fetch it
from another engine or a KV store, or compute it (prefill). Engines are compared by an
expected cost in seconds: the time to the first token, and a charge for tokens that are
recomputed or transferred. The last part of a prompt belongs to the request alone, so
only the parts before it are shared, fetched and saved.
"""

import random
from collections.abc import Callable, Sequence, Set
from dataclasses import dataclass, field
from functools import lru_cache

from apricotlift.core.hashing import digest, rank_nodes
from apricotlift.forwarding.cacheindex import CacheIndex, HeldParts, Holder
from apricotlift.forwarding.engineloads import EngineLoad
from apricotlift.forwarding.enginepools import PromptKind, classify_prompt
from apricotlift.forwarding.entities import Account, Engine, Prompt, Server
from apricotlift.forwarding.partruns import (
    N_PARTS_MAX,
    PartRun,
    build_runs,
    compute_n_parts_max,
    compute_n_runs_max,
    remember_sources,
)
from apricotlift.forwarding.servers import ServerHandle

#: Assumed prefill throughput of an engine, for lack of a better estimate.
PREFILL_TOKENS_PER_S = 30_000.0

#: A transfer between failure domains takes this many times as long as within one.
_CROSS_DOMAIN_FACTOR = 2.0
_FETCH_SETUP_S = 0.006

#: Costs, in seconds for a thousand tokens, that are added to the latency estimate.
_RECOMPUTE_COST_S_PER_KTOKEN = 0.25
_TRANSFER_COST_S_PER_KTOKEN = 0.012

#: Costs, in seconds, of an engine in the pool for the other kind of prompts. A prefill
#: among streams harms several requests, a stream among prefills only itself.
_PREFILL_IN_DECODE_POOL_COST_S = 2.0
_DECODE_IN_PREFILL_POOL_COST_S = 1.0
#: Engines with a lower penalty are ranked as engines of the prompt's own pool.
_POOL_PENALTY_MAX = 0.5

_AVOIDED_ENGINE_COST_S = 5.0
_FAILURE_COST_S = 2.0
_IN_FLIGHT_COST_S = 0.004
#: Costs of each place in the ranking of the engines. All nodes rank them alike, so that
#: requests for a part that no engine or store holds go to the same engine.
_RANK_COST_S = 0.02
_UNCACHED_RANK_COST_S = 0.25
_MAX_RANK = 3

#: Tokens that stay free in a store beside each part that is saved.
_STORE_SPARE_TOKENS = 16
_NO_ADDRESS = "-"


@dataclass(frozen=True)
class Placement:
    """The engine for one attempt of a prompt, and the sources of its parts.

    :param weight_version: weight version that the engine is expected to have.
    :param has_newer_target: whether the operator has named a newer version; no part is
        saved then.
    :param salt: cache salt of the prompt's parts.
    :param fetch: source address for each part, ``None`` where it isn't fetched.
    :param save: store address for each part, ``None`` where it isn't saved.
    :param n_reused: tokens whose KV cache the engine already holds.
    :param n_fetched: tokens whose KV cache is fetched.
    :param n_read: tokens that the engine has to compute.
    :param cost_s: expected cost in seconds.
    """

    handle: ServerHandle
    weight_version: int | None
    has_newer_target: bool
    salt: str
    fetch: tuple[str | None, ...]
    save: tuple[str | None, ...]
    n_reused: int
    n_fetched: int
    n_read: int
    cost_s: float


@dataclass(frozen=True)
class EngineChoice:
    """A candidate engine for a prompt.

    :param weight_version: weight version that it has.
    :param load: work that all nodes have given it.
    :param newer_target_at: time after which the operator named a newer version,
        ``None`` where there is no newer one.
    :param is_avoided: whether it refuses work at present or its breaker is open.
    :param is_outdated: whether engines with the newer version are already preferred.
    :param pool_penalty: how strongly prompts of this kind should avoid it, from 0 to 1.
    """

    handle: ServerHandle
    weight_version: int | None
    load: EngineLoad = field(default_factory=EngineLoad)
    newer_target_at: float | None = None
    is_avoided: bool = False
    is_outdated: bool = False
    pool_penalty: float = 0.0


def compute_cache_salt(
    model: str,
    weight_version: int | None,
    account: Account | None,
    regions: Set[str] | None = None,
) -> str:
    """Return the salt that is part of the cache key of prompt parts.

    It differs by weight version, so that no request uses the KV cache of another
    version, and by client account where the account is isolated. It also differs by
    the allowed regions: another request with the same part, which may run anywhere,
    could otherwise fetch it into another region.

    :param regions: allowed regions, ``None`` for any region.

    >>> compute_cache_salt("m", 2, None) == compute_cache_salt("m", 3, None)
    False
    """
    isolated = account.name if account is not None and account.is_isolated else ""
    allowed = None if regions is None else tuple(sorted(regions))
    return _digest_salt(model, weight_version or 0, isolated, allowed)


@lru_cache(maxsize=4096)
def _digest_salt(
    model: str, weight_version: int, isolated: str, allowed: tuple[str, ...] | None
) -> str:
    restriction = () if allowed is None else ("regions", *allowed)
    return digest("parts", model, weight_version, isolated, *restriction).hex()[:16]


def choose_placement(
    prompt: Prompt,
    account: Account | None,
    engine: Engine,
    choices: Sequence[EngineChoice],
    index: CacheIndex,
    now: float,
    rng: random.Random,
    regions: Set[str] | None = None,
) -> Placement | None:
    """Return the placement with the lowest expected cost.

    The cost is varied by up to 2 %, so that nodes with the same information don't all
    choose the same engine.

    :param now: time on the clock of :mod:`apricotlift.core.clocks`.
    :param regions: allowed regions, ``None`` for any region.
    :returns: ``None`` where there is no candidate.
    """
    key, rank_cost_s = _choose_rank_key(prompt, account, choices, index, regions)
    ranks = _rank_engines(key, choices)
    estimate = _build_estimator(
        prompt, account, engine, index, now, regions, len(choices)
    )
    pool_cost_s = _get_pool_cost_s(prompt)
    best = None
    for choice in choices:
        estimated = estimate(choice)
        rank = ranks.get(choice.handle.server.server_id, _MAX_RANK)
        cost_s = estimated.cost_s + rank_cost_s * rank
        cost_s += pool_cost_s * choice.pool_penalty
        cost_s *= rng.uniform(0.98, 1.02)
        if best is None or cost_s < best[0]:
            best = (cost_s, estimated)
    if best is None:
        return None
    return _build_placement(prompt, best[1])


def mark_expected_parts(
    placement: Placement, prompt: Prompt, index: CacheIndex
) -> None:
    """Record that the chosen engine is expected to hold the prompt's shared parts."""
    address = placement.handle.server.address
    for part in prompt.parts[:-1][:N_PARTS_MAX]:
        index.mark_expected(address, placement.salt, part.part_id)


def choose_save_stores(
    placement: Placement,
    prompt: Prompt,
    index: CacheIndex,
    now: float,
    is_usable_domain: Callable[[str], bool] = lambda failure_domain: True,
) -> tuple[str | None, ...]:
    """Choose and reserve a store for each shared part that no store holds yet.

    Parts after the first :data:`~.partruns.N_PARTS_MAX` are not saved.

    :param is_usable_domain: returns whether parts may be saved in a failure domain.
    :returns: store address for each part, ``None`` where it isn't saved.
    """
    if placement.has_newer_target:
        # The engine may change its weights during the prefill. It would then save KV
        # cache of the newer version under the salt of the older one.
        return ()
    domain = placement.handle.server.failure_domain
    stores = index.list_stores()
    # Counting ends expired reservations, also of stores that can't be used.
    rooms = [
        _StoreRoom(
            held,
            held.holder.failure_domain == domain,
            held.count_free_tokens(now),
        )
        for held in stores
    ]
    rooms = [room for room in rooms if is_usable_domain(room.failure_domain)]
    saves: list[str | None] = [None] * len(prompt.parts)
    for place, part in enumerate(prompt.parts[:-1][:N_PARTS_MAX]):
        key = (placement.salt, part.part_id)
        if any(key in held.parts or key in held.pending for held in stores):
            continue
        n_needed = part.n_tokens + _STORE_SPARE_TOKENS
        with_room = [room for room in rooms if room.n_free >= n_needed]
        if not with_room:
            continue
        chosen = max(with_room, key=lambda room: (room.is_near, room.n_free))
        index.reserve(chosen.held, placement.salt, part.part_id, part.n_tokens)
        chosen.n_free -= part.n_tokens
        saves[place] = chosen.held.holder.address
    return tuple(saves)


@dataclass
class _StoreRoom:
    """Room in a store while a prompt's parts are assigned.

    :param is_near: whether it is in the failure domain of the engine.
    :param n_free: free tokens, less those assigned so far.
    """

    held: HeldParts
    is_near: bool
    n_free: int

    @property
    def failure_domain(self) -> str:
        """Failure domain of the store."""
        return self.held.holder.failure_domain


def format_addresses(
    addresses: Sequence[str | None], has_per_part_addresses: bool
) -> str | None:
    """Return the header value for the addresses of a prompt's parts.

    :param has_per_part_addresses: whether each part may have an address of its own;
        else the most frequent address holds for all.
    :returns: ``None`` where no part has an address.

    >>> format_addresses(["10.0.0.1:80", None], has_per_part_addresses=True)
    '10.0.0.1:80,-'
    >>> format_addresses([None, "10.0.0.1:80", None], has_per_part_addresses=False)
    '10.0.0.1:80'
    """
    named = [address for address in addresses if address]
    if not named:
        return None
    if not has_per_part_addresses:
        return max(named, key=named.count)
    return ",".join(address or _NO_ADDRESS for address in addresses)


def _choose_rank_key(prompt, account, choices, index, regions) -> tuple[str, float]:
    """Return the part by which engines are ranked, and the cost of each lower rank.

    This is the first shared part that nothing holds, or else the last shared part.
    """
    salts = {
        compute_cache_salt(prompt.model, choice.weight_version, account, regions)
        for choice in choices
        if not choice.is_outdated
    }
    shared = prompt.parts[:-1][: compute_n_parts_max(len(index.held))]
    for part in shared:
        if not any(index.is_held(salt, part.part_id) for salt in salts):
            return part.part_id, _UNCACHED_RANK_COST_S
    return (shared[-1].part_id if shared else ""), _RANK_COST_S


def _rank_engines(key: str, choices: Sequence[EngineChoice]) -> dict[str, int]:
    """Return the ranks of the engines, up to the largest one that counts.

    Engines of the other pool aren't ranked, since the first ranks attract prompts.
    """
    if not key:
        return {choice.handle.server.server_id: 0 for choice in choices}
    in_pool = [
        choice.handle.server.server_id
        for choice in choices
        if choice.pool_penalty < _POOL_PENALTY_MAX
    ]
    return {
        server_id: min(rank, _MAX_RANK)
        for rank, server_id in enumerate(rank_nodes(key, in_pool))
    }


def _get_pool_cost_s(prompt: Prompt) -> float:
    if classify_prompt(prompt) is PromptKind.PREFILL:
        return _PREFILL_IN_DECODE_POOL_COST_S
    return _DECODE_IN_PREFILL_POOL_COST_S


@dataclass(frozen=True)
class _Estimate:
    """The expected cost of a prompt at one engine.

    :param runs: runs of parts that somebody holds.
    :param sources: address from which each run is fetched, ``None`` where it isn't;
        shorter than ``runs`` where the engine has to compute the rest.
    """

    choice: EngineChoice
    salt: str
    runs: list[PartRun]
    sources: list[str | None]
    n_reused: int
    n_fetched: int
    n_read: int
    cost_s: float


def _build_placement(prompt: Prompt, estimate: _Estimate) -> Placement:
    fetch: list[str | None] = []
    for run, address in zip(estimate.runs, estimate.sources, strict=False):
        fetch += [address] * run.n_parts
    fetch += [None] * (max(1, len(prompt.parts)) - len(fetch))
    choice = estimate.choice
    return Placement(
        choice.handle,
        choice.weight_version,
        choice.newer_target_at is not None,
        estimate.salt,
        tuple(fetch),
        (),
        estimate.n_reused,
        estimate.n_fetched,
        estimate.n_read,
        estimate.cost_s,
    )


def _build_estimator(
    prompt: Prompt,
    account: Account | None,
    engine: Engine,
    index: CacheIndex,
    now: float,
    regions: Set[str] | None,
    n_choices: int,
) -> Callable[[EngineChoice], _Estimate]:
    """Return a function that estimates a prompt's cost at an engine.

    What is the same for several engines is computed once.
    """
    n_runs_max = compute_n_runs_max(n_choices)
    find_source = remember_sources()
    runs_by_salt: dict[tuple[str, float | None], list[PartRun]] = {}
    compared = prompt.shared_parts[: compute_n_parts_max(n_choices)]
    n_not_compared = prompt.n_shared - sum(n_tokens for _, n_tokens in compared)

    def find_runs(salt: str, choice: EngineChoice) -> list[PartRun]:
        # Once a newer weight version is named, an engine may change its weights during
        # a prefill, and then keep or save KV cache that doesn't belong to the salt's
        # version. Only parts that a store held before that time are used then.
        key = (salt, choice.newer_target_at)
        if key not in runs_by_salt:
            runs_by_salt[key] = build_runs(
                index, salt, prompt.parts[:-1], choice.newer_target_at, n_runs_max
            )
        return runs_by_salt[key]

    def compute_memory_share(choice: EngineChoice, salt: str) -> float:
        """Return the share of an engine's memory in use once the prompt runs as well.

        Above 1, a request waits until others have ended.
        """
        load = choice.load
        n_added = load.count_added_tokens(salt, compared, prompt.n_own + n_not_compared)
        return (load.n_used_tokens + n_added) / max(1, engine.kv_capacity_tokens)

    def estimate(choice: EngineChoice) -> _Estimate:
        handle = choice.handle
        server = handle.server
        salt = compute_cache_salt(prompt.model, choice.weight_version, account, regions)
        runs = find_runs(salt, choice)
        n_reused = n_fetched = 0
        cost_s = 0.0
        sources: list[str | None] = []
        for run in runs:
            source = find_source(run, server.failure_domain, server.address)
            if server.address in run.keepers:
                n_reused += run.n_tokens
                # The engine may have evicted parts since, and fetches only those.
                is_stored = source is not None and source.is_store
                sources.append(source.address if is_stored else None)
            elif source is not None:
                n_fetched += run.n_tokens
                cost_s += _compute_fetch_cost_s(run, source, server, engine)
                sources.append(source.address)
            else:
                # An engine can use the KV cache of a part only with all before it.
                break
        n_read = max(1, prompt.n_tokens - n_reused - n_fetched)
        n_shared_recomputed = prompt.n_shared - n_reused - n_fetched
        cost_s += n_read / PREFILL_TOKENS_PER_S
        cost_s += n_shared_recomputed * _RECOMPUTE_COST_S_PER_KTOKEN / 1000
        cost_s += choice.load.n_unread / PREFILL_TOKENS_PER_S
        cost_s += handle.n_in_flight * _IN_FLIGHT_COST_S
        if engine.kv_capacity_tokens:
            cost_s += max(0.0, compute_memory_share(choice, salt) - 0.5)
        cost_s += handle.get_failure_share(now) * _FAILURE_COST_S
        cost_s += (
            _AVOIDED_ENGINE_COST_S * choice.is_avoided
            + _AVOIDED_ENGINE_COST_S * choice.is_outdated
        )
        return _Estimate(
            choice, salt, runs, sources, n_reused, n_fetched, n_read, cost_s
        )

    return estimate


def _compute_fetch_cost_s(
    run: PartRun, source: Holder, server: Server, engine: Engine
) -> float:
    """Return the time to fetch a run of parts, with the charge for the transfer."""
    factor = 1.0
    if source.failure_domain != server.failure_domain:
        factor = _CROSS_DOMAIN_FACTOR
    transfer_s = run.n_tokens * engine.token_bytes * 8e-6 / engine.link_mbps
    charge_s = run.n_tokens * _TRANSFER_COST_S_PER_KTOKEN / 1000
    return (transfer_s + charge_s) * factor + _FETCH_SETUP_S * run.n_parts
