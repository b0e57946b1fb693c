"""Where a prompt runs, and which of its parts are reused, fetched, read and saved.

Each engine is given an expected cost in seconds: the time to the first token, and a
charge for tokens that are read again or moved. The prompt's last part belongs to the
request alone, so only the parts before it are worth keeping.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from apricotlift.core.hashing import digest, rank_nodes
from apricotlift.forwarding.cacheindex import CacheIndex, HeldParts
from apricotlift.forwarding.engineloads import EngineLoad
from apricotlift.forwarding.facts import Account, Engine, Prompt, PromptPart
from apricotlift.forwarding.servers import ServerHandle

#: Prompt tokens that an engine reads in a second, until something better is known.
PREFILL_TOKENS_PER_S = 30_000.0

#: Moving cached parts takes this many times as long between failure domains.
_OTHER_DOMAIN_FACTOR = 2.0
_FETCH_SET_UP_S = 0.006

#: Charges in seconds for a thousand tokens.
_READ_AGAIN_CHARGE_S = 0.25
_MOVE_CHARGE_S = 0.012

_DOUBT_COST_S = 5.0
_FAILURE_COST_S = 2.0
_STEP_COST_S = 0.004
#: Requests for the same part go to the same engine while nobody holds it: all nodes
#: rank the engines alike.
_RANK_COST_S = 0.02
_UNHELD_RANK_COST_S = 0.25
_MAX_RANK = 3

_NO_ADDRESS = "-"


@dataclass(frozen=True)
class Placement:
    """How one attempt of a prompt runs.

    :param weights: the version that the engine is expected to have.
    :param is_replaced: a newer version has been named, so nothing is saved.
    :param fetch: a source for each part, ``None`` where it isn't fetched.
    :param save: a store for each part, ``None`` where it isn't saved.
    """

    handle: ServerHandle
    weights: int | None
    is_replaced: bool
    salt: str
    fetch: tuple[str | None, ...]
    save: tuple[str | None, ...]
    n_reused: int
    n_fetched: int
    n_read: int
    cost_s: float


@dataclass(frozen=True)
class EngineChoice:
    """An engine that may run the prompt.

    :param weights: the version that it has.
    :param load: what runs there.
    :param is_doubtful: it refuses work now or its breaker is open.
    :param replaced_at: when a newer version was named than it has, if one was.
    :param is_outdated: the newer version is preferred by now.
    """

    handle: ServerHandle
    weights: int | None
    load: EngineLoad = field(default_factory=EngineLoad)
    replaced_at: float | None = None
    is_doubtful: bool = False
    is_outdated: bool = False


def _compute_crowding(
    engine: Engine, choice: EngineChoice, prompt: Prompt, salt: str
) -> float:
    """Return the share of an engine's memory that runs take with one more.

    Above 1, a run waits until others have ended.
    """
    load = choice.load
    n_more = load.count_more(salt, prompt.shared_parts, prompt.n_own)
    return (load.n_running + n_more) / max(1, engine.kv_capacity_tokens)


def build_salt(model: str, weights: int | None, account: Account | None) -> str:
    """Return the text under which parts are cached.

    It differs by weight version, so that no request reads parts of another version,
    and by account where the account shares nothing.

    >>> build_salt("m", 2, None) == build_salt("m", 3, None)
    False
    """
    isolated = account.name if account is not None and account.is_isolated else ""
    return digest("parts", model, weights or 0, isolated).hex()[:16]


def place(
    prompt: Prompt,
    account: Account | None,
    engine: Engine,
    choices: Sequence[EngineChoice],
    index: CacheIndex,
    now: float,
    source: random.Random,
) -> Placement | None:
    """Return the placement of the least expected cost, ``None`` without an engine."""
    names = [choice.handle.server.server_id for choice in choices]
    key, rank_cost_s = _choose_rank_key(prompt, account, choices, index)
    ranks = {name: n for n, name in enumerate(rank_nodes(key, names))} if key else {}
    best = None
    for choice in choices:
        rank = ranks.get(choice.handle.server.server_id, 0)
        found = _place_on(prompt, account, engine, choice, index, now)
        cost_s = found.cost_s + rank_cost_s * min(rank, _MAX_RANK)
        cost_s *= source.uniform(0.98, 1.02)
        if best is None or cost_s < best[0]:
            best = (cost_s, found)
    if best is None:
        return None
    return best[1]


def note_placed(placement: Placement, prompt: Prompt, index: CacheIndex) -> None:
    """Note that the chosen engine will hold the prompt's shared parts."""
    address = placement.handle.server.address
    for part in prompt.parts[:-1]:
        index.expect(address, placement.salt, part.part_id)


def choose_saves(
    placement: Placement, prompt: Prompt, index: CacheIndex, now: float
) -> tuple[str | None, ...]:
    """Return the store for each part that no store holds yet, and reserve its room."""
    if placement.is_replaced:
        # The engine may change its weights while it reads; what it then saves would
        # be of the newer version under the older one's salt.
        return ()
    saves: list[str | None] = []
    domain = placement.handle.server.failure_domain
    stores = index.list_stores()
    for part in prompt.parts[:-1]:
        key = (placement.salt, part.part_id)
        if any(key in held.parts or key in held.pending for held in stores):
            saves.append(None)
            continue
        chosen = _choose_store(stores, part, domain, now)
        if chosen is None:
            saves.append(None)
            continue
        index.reserve(chosen, placement.salt, part.part_id, part.n_tokens)
        saves.append(chosen.holder.address)
    saves.append(None)
    return tuple(saves)


def format_addresses(
    addresses: Sequence[str | None], takes_parts_apart: bool
) -> str | None:
    """Return the header value for the addresses, ``None`` where there is none.

    :param takes_parts_apart: whether each part may have an address of its own.

    >>> format_addresses(["10.0.0.1:80", None], takes_parts_apart=True)
    '10.0.0.1:80,-'
    >>> format_addresses([None, "10.0.0.1:80", None], takes_parts_apart=False)
    '10.0.0.1:80'
    """
    named = [address for address in addresses if address]
    if not named:
        return None
    if not takes_parts_apart:
        return max(named, key=named.count)
    return ",".join(address or _NO_ADDRESS for address in addresses)


def _choose_rank_key(prompt, account, choices, index) -> tuple[str, float]:
    """Return the part by which engines are ranked, and the cost of a later rank."""
    salts = {
        build_salt(prompt.model, choice.weights, account)
        for choice in choices
        if not choice.is_outdated
    }
    for part in prompt.parts[:-1]:
        if not any(index.find_holders(salt, part.part_id) for salt in salts):
            return part.part_id, _UNHELD_RANK_COST_S
    shared = prompt.parts[:-1]
    return (shared[-1].part_id if shared else ""), _RANK_COST_S


def _choose_store(
    stores: Sequence[HeldParts], part: PromptPart, domain: str, now: float
) -> HeldParts | None:
    def rank(held: HeldParts) -> tuple[bool, int]:
        return (held.holder.failure_domain == domain, held.count_free(now))

    fitting = [held for held in stores if held.count_free(now) >= part.n_tokens + 16]
    return max(fitting, key=rank, default=None)


def _place_on(
    prompt: Prompt,
    account: Account | None,
    engine: Engine,
    choice: EngineChoice,
    index: CacheIndex,
    now: float,
) -> Placement:
    handle = choice.handle
    server = handle.server
    salt = build_salt(prompt.model, choice.weights, account)
    n_reused = n_fetched = 0
    fetch_s = move_s = 0.0
    fetch: list[str | None] = []
    is_joined = True
    for part in prompt.parts[:-1]:
        found = _find_source(index, salt, part, choice) if is_joined else None
        if is_joined and index.has_part(server.address, salt, part.part_id):
            n_reused += part.n_tokens
            # The engine may have dropped it since; it fetches only what it lacks.
            fetch.append(found.address if found and found.is_store else None)
        elif found:
            n_fetched += part.n_tokens
            part_s = part.n_tokens * engine.token_bytes * 8e-6 / engine.link_mbps
            fetch_s += part_s * found.factor + _FETCH_SET_UP_S
            move_s += part.n_tokens * _MOVE_CHARGE_S / 1000 * found.factor
            fetch.append(found.address)
        else:
            # An engine reuses a part only where it has all parts before it.
            is_joined = False
            fetch.append(None)
    fetch.append(None)
    n_read = max(1, prompt.n_tokens - n_reused - n_fetched)
    n_shared_read = sum(p.n_tokens for p in prompt.parts[:-1]) - n_reused - n_fetched
    cost_s = fetch_s + move_s + n_read / PREFILL_TOKENS_PER_S
    cost_s += n_shared_read * _READ_AGAIN_CHARGE_S / 1000
    cost_s += choice.load.n_unread / PREFILL_TOKENS_PER_S
    cost_s += handle.n_in_flight * _STEP_COST_S
    if engine.kv_capacity_tokens:
        crowding = _compute_crowding(engine, choice, prompt, salt)
        cost_s += max(0.0, crowding - 0.5)
    cost_s += handle.get_failure_share(now) * _FAILURE_COST_S
    cost_s += _DOUBT_COST_S * choice.is_doubtful + _DOUBT_COST_S * choice.is_outdated
    return Placement(
        handle,
        choice.weights,
        choice.replaced_at is not None,
        salt,
        tuple(fetch),
        (),
        n_reused,
        n_fetched,
        n_read,
        cost_s,
    )


@dataclass(frozen=True)
class _Source:
    """Where a part can be fetched.

    :param factor: how much longer it takes than within a failure domain.
    """

    address: str
    factor: float
    is_store: bool


def _find_source(
    index: CacheIndex, salt: str, part: PromptPart, choice: EngineChoice
) -> _Source | None:
    """Return the nearest holder of a whole part.

    Once newer weights are named, an engine may change them while it reads, and what
    it then keeps or saves isn't what its salt says. Only what a store held before is
    certain.
    """
    server = choice.handle.server
    best = None
    for held, n_tokens in index.find_holders(salt, part.part_id):
        if n_tokens < part.n_tokens or held.holder.address == server.address:
            continue
        if choice.replaced_at is not None and not (
            held.holder.is_store
            and held.learned_at[(salt, part.part_id)] < choice.replaced_at
        ):
            continue
        factor = 1.0
        if held.holder.failure_domain != server.failure_domain:
            factor = _OTHER_DOMAIN_FACTOR
        # A store never drops a part on its own, an engine may.
        rank = (factor, not held.holder.is_store)
        if best is None or rank < best[0]:
            source = _Source(held.holder.address, factor, held.holder.is_store)
            best = (rank, source)
    return best[1] if best else None
