"""Which cache blocks are copied to stores, and which are dropped from them.

The value of a block is the expected time that it saves per byte: the probability
that a conversation that uses it returns, times the time to rebuild it, divided by
its size.
"""

import heapq
import math
from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass, field

_N_PER_DOUBLING = 4
_AGE_BOUNDS_S = tuple(
    2.0 ** (number / _N_PER_DOUBLING) for number in range(4, 20 * _N_PER_DOUBLING + 1)
)
"""Upper bounds of the age classes: 2 s to 12 days, four to a doubling.

With one class to a doubling, returns after 20 hours fall into a class that a horizon
of a day covers by a third, and two thirds of them were left out.
"""


@dataclass(frozen=True)
class RetentionSettings:
    """Assumptions about returns, and how much is kept.

    :param horizon_s: returns within this time count.
    :param prior_share: share of conversations that return while their age doubles,
        assumed of an account of which nothing is known.
    :param prior_weight: number of conversations that this assumption is worth.
    :param n_kept_max: conversations per class after which the older half of the
        weight is forgotten, so that the histogram follows a changing account.
    :param min_saved_s_per_byte: value below which a copy isn't worth its transfer.
        With 8,000 tokens/s, 131 MB per 1,000 tokens and the default routing weights,
        a block that returns with 4% saves as much as its copy costs.
    :param n_copies_max: 1 or 2.
    :param second_copy_share: share of the exported bytes, those of highest value,
        that get a second copy.
    :param second_copy_factor: value of one of two copies / value of a sole copy. It
        is the probability that the other copy is lost before the return.
    """

    horizon_s: float = 86_400.0
    prior_share: float = 0.03
    prior_weight: float = 5.0
    n_kept_max: float = 10_000.0
    min_saved_s_per_byte: float = 4e-11
    n_copies_max: int = 2
    second_copy_share: float = 0.2
    second_copy_factor: float = 0.05


@dataclass(frozen=True)
class Block:
    """A cache block and the conversations that use it.

    :param block_id: its digest.
    :param account: the account that it belongs to.
    :param position: its number in the prefix; a block needs all those before it.
    :param size_bytes: size of one copy.
    :param rebuild_s: time to compute it anew.
    :param ages_s: for each conversation that uses it, the time since its last use.
    :param stores: names of the stores that hold a copy.
    """

    block_id: str
    account: str
    position: int
    size_bytes: int
    rebuild_s: float
    ages_s: tuple[float, ...]
    stores: frozenset[str] = frozenset()


@dataclass(frozen=True)
class StoreSpace:
    """A store as the choice of exports sees it.

    :param free_bytes: what fits, including what may be dropped for it.
    """

    name: str
    failure_domain: str
    free_bytes: float
    usable: bool = True


@dataclass(frozen=True)
class Export:
    """One copy to be made."""

    block: Block
    store: str
    value: float


@dataclass
class _Ages:
    """Per age class: conversations that reached it, and that returned in it."""

    n_reached: list[float]
    n_returned: list[float]


@dataclass
class ReturnAges:
    """Learned ages at which conversations return, per account.

    Accounts share nothing: an account's returns change neither the estimates nor the
    retention of another one beyond its share of the store.

    >>> ages = ReturnAges(RetentionSettings())
    >>> for _ in range(1000):
    ...     ages.add_return("bee", age_s=600)
    >>> ages.estimate("bee", age_s=60) > 0.99
    True
    >>> ages.estimate("bee", age_s=90_000) < ages.estimate("bee", age_s=60)
    True
    """

    settings: RetentionSettings
    _ages: dict[str, _Ages] = field(default_factory=dict)

    def add_return(self, account: str, age_s: float) -> None:
        """Record that a conversation returned at an age."""
        self._add(account, age_s, returned=1.0)

    def add_end(self, account: str, age_s: float) -> None:
        """Record that a conversation was forgotten at an age without a return."""
        self._add(account, age_s, returned=0.0)

    def forget_account(self, account: str) -> None:
        """Drop what is known of an account that has left."""
        self._ages.pop(account, None)

    def estimate(self, account: str, age_s: float) -> float:
        """Return the probability of a return within the horizon from an age on.

        Each age class contributes the share of conversations that return in it among
        those that reach it (the Kaplan-Meier estimate), so conversations that are
        still waiting aren't counted as lost.
        """
        settings = self.settings
        ages = self._ages.get(account)
        first = bisect_right(_AGE_BOUNDS_S, age_s)
        last = bisect_right(_AGE_BOUNDS_S, age_s + settings.horizon_s)
        p_away = 1.0
        for number in range(first, min(last, len(_AGE_BOUNDS_S) - 1) + 1):
            n_reached = settings.prior_weight
            n_returned = settings.prior_weight * settings.prior_share / _N_PER_DOUBLING
            if ages is not None:
                n_reached += ages.n_reached[number]
                n_returned += ages.n_returned[number]
            part = self._compute_part(number, age_s)
            p_away *= 1.0 - part * n_returned / n_reached
        return 1.0 - p_away

    def _compute_part(self, number: int, age_s: float) -> float:
        """Return the part of an age class that lies within the horizon.

        Without it, the estimate would jump when an age enters the next class.
        """
        low_s = _AGE_BOUNDS_S[number - 1] if number else 0.0
        high_s = _AGE_BOUNDS_S[number]
        start_s = max(low_s, age_s)
        end_s = min(high_s, age_s + self.settings.horizon_s)
        return max(0.0, min(1.0, (end_s - start_s) / (high_s - low_s)))

    def _add(self, account: str, age_s: float, returned: float) -> None:
        n_classes = len(_AGE_BOUNDS_S)
        ages = self._ages.get(account)
        if ages is None:
            ages = self._ages[account] = _Ages([0.0] * n_classes, [0.0] * n_classes)
        number = min(bisect_right(_AGE_BOUNDS_S, age_s), n_classes - 1)
        for reached in range(number):
            ages.n_reached[reached] += 1.0
        # Without a return it's unknown how the conversation ended within its class.
        ages.n_reached[number] += 1.0 if returned else 0.5
        ages.n_returned[number] += returned
        if ages.n_reached[0] > self.settings.n_kept_max:
            for counts in (ages.n_reached, ages.n_returned):
                counts[:] = [count / 2 for count in counts]


def compute_value(block: Block, returns: ReturnAges, n_other_copies: int = 0) -> float:
    """Return the seconds that one copy is expected to save per byte.

    :param n_other_copies: copies that remain without this one.
    """
    return _weigh(block, _estimate_use(block, returns), n_other_copies, returns)


def _estimate_use(block: Block, returns: ReturnAges) -> float:
    """Return the probability that a conversation that uses the block returns."""
    estimates = (returns.estimate(block.account, age_s) for age_s in block.ages_s)
    return 1 - math.prod(1 - estimate for estimate in estimates)


def _weigh(block, p_use: float, n_other_copies: int, returns: ReturnAges) -> float:
    factor = returns.settings.second_copy_factor if n_other_copies else 1.0
    return factor * p_use * block.rebuild_s / block.size_bytes


def _compute_values(
    blocks, returns: ReturnAges, store: str | None = None
) -> list[float]:
    """Return the value of each block, or of its copy in one store."""
    # The blocks of a conversation share their ages, and the estimate is what costs.
    known: dict[tuple, float] = {}
    values = []
    for block in blocks:
        key = (block.account, block.ages_s)
        if key not in known:
            known[key] = _estimate_use(block, returns)
        n_other_copies = len(block.stores - {store}) if store else 0
        values.append(_weigh(block, known[key], n_other_copies, returns))
    return values


def choose_exports(
    blocks: Sequence[Block],
    stores: Sequence[StoreSpace],
    returns: ReturnAges,
    settings: RetentionSettings,
    max_bytes: float = math.inf,
) -> list[Export]:
    """Choose the copies to be made, in the order in which to make them.

    First copies come first, by value and then by position, because a block is of no
    use without those before it. The blocks of highest value get a second copy in
    another failure domain while there is room.

    :param max_bytes: what may be sent now.
    """
    numbers = _compute_values(blocks, returns)
    values = {b.block_id: value for b, value in zip(blocks, numbers, strict=True)}
    worthwhile = [
        block
        for block in blocks
        if values[block.block_id] >= settings.min_saved_s_per_byte
    ]
    worthwhile.sort(key=lambda block: (-values[block.block_id], block.position))
    room = _Room(stores, max_bytes)
    exports = []
    held = {block.block_id: block.stores for block in worthwhile}
    for block in worthwhile:
        if not block.stores:
            store = room.take(block, held[block.block_id])
            if store is not None:
                held[block.block_id] = frozenset([store])
                exports.append(Export(block, store, values[block.block_id]))
    if settings.n_copies_max < 2:
        return exports
    total_bytes = sum(block.size_bytes for block in worthwhile)
    second_bytes = settings.second_copy_share * total_bytes
    for block in worthwhile:
        second_bytes -= block.size_bytes
        if second_bytes < 0:
            break
        value = values[block.block_id] * settings.second_copy_factor
        if value < settings.min_saved_s_per_byte:
            continue
        if len(held[block.block_id]) == 1:
            store = room.take(block, held[block.block_id])
            if store is not None:
                exports.append(Export(block, store, value))
    return exports


class _Room:
    """Space of the stores while exports are chosen."""

    def __init__(self, stores: Sequence[StoreSpace], max_bytes: float):
        self.domains = {store.name: store.failure_domain for store in stores}
        self.free = {s.name: s.free_bytes for s in stores if s.usable}
        self.max_bytes = max_bytes
        self.preferred: dict[str, str] = {}

    def take(self, block: Block, held: frozenset[str]) -> str | None:
        """Reserve space in a store of a failure domain without a copy."""
        if block.size_bytes > self.max_bytes:
            return None
        used = {self.domains.get(name) for name in held}
        allowed = [
            name
            for name, free_bytes in self.free.items()
            if free_bytes >= block.size_bytes
            and self.domains[name] not in used
            and name not in held
        ]
        if not allowed:
            return None
        # A conversation's blocks stay together, because a fetch has one source.
        key = f"{block.account}/{len(held)}/{block.ages_s}"
        chosen = self.preferred.get(key)
        if chosen not in allowed:
            chosen = max(allowed, key=lambda name: (self.free[name], name))
            self.preferred[key] = chosen
        self.free[chosen] -= block.size_bytes
        self.max_bytes -= block.size_bytes
        return chosen


def choose_drops(
    blocks: Sequence[Block],
    store: str,
    capacity_bytes: float,
    needed_bytes: float,
    returns: ReturnAges,
) -> list[Block]:
    """Choose the blocks that a store drops to free space.

    Blocks are dropped from the account that is most above its share; shares are
    equal among the accounts with blocks in the store. Within an account the blocks
    of least value go first, later positions before earlier ones.

    :param blocks: what the store holds.
    :param capacity_bytes: size of the store.
    :param needed_bytes: space that has to be free afterwards.
    """
    by_account: dict[str, list[tuple[float, int, str, Block]]] = {}
    used: dict[str, float] = {}
    values = _compute_values(blocks, returns, store)
    for block, value in zip(blocks, values, strict=True):
        entry = (value, -block.position, block.block_id, block)
        by_account.setdefault(block.account, []).append(entry)
        used[block.account] = used.get(block.account, 0.0) + block.size_bytes
    for entries in by_account.values():
        heapq.heapify(entries)
    # Shares are equal, so the account that uses most is the most above its share.
    accounts = [(-size_bytes, account) for account, size_bytes in used.items()]
    heapq.heapify(accounts)
    excess_bytes = sum(used.values()) + needed_bytes - capacity_bytes
    drops = []
    while excess_bytes > 0 and accounts:
        negative_bytes, account = heapq.heappop(accounts)
        entries = by_account[account]
        block = heapq.heappop(entries)[-1]
        drops.append(block)
        excess_bytes -= block.size_bytes
        if entries:
            heapq.heappush(accounts, (negative_bytes + block.size_bytes, account))
    return drops
