"""Retention of cache blocks: which to export to stores and which to drop from them.

The value of a block is the expected time that a copy saves per byte: the probability
that a conversation that uses the block returns, times the time to recompute the
block, divided by its size.
"""

import heapq
import math
from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass, field

_N_CLASSES_PER_DOUBLING = 4
_AGE_BOUNDS_S = tuple(
    2.0 ** (index / _N_CLASSES_PER_DOUBLING)
    for index in range(4, 20 * _N_CLASSES_PER_DOUBLING + 1)
)
"""Upper bounds of the age classes: 2 s to 12 days, four classes per doubling.

With one class per doubling, returns after 20 hours fall into a class of which a
horizon of one day covers only a third, so two thirds of these returns were left out.
"""


@dataclass(frozen=True)
class RetentionSettings:
    """Parameters of the return estimates, and limits on the number of copies.

    :param horizon_s: time in seconds within which a return counts.
    :param prior_return_share: prior share of conversations that return while their
        age doubles, for accounts without history.
    :param prior_weight: weight of this prior, as a number of conversations.
    :param n_conversations_max: number of conversations in a histogram after which all
        its counts are halved, so that the estimates follow an account whose
        behaviour changes.
    :param min_saved_s_per_byte: value below which a copy isn't worth its transfer.
        With 8,000 tokens/s, 131 MB per 1,000 tokens and the default routing weights,
        a block with a return probability of 4% saves as much as its copy costs.
    :param n_copies_max: largest number of copies of a block, 1 or 2.
    :param second_copy_share: share of the exported bytes that get a second copy; the
        blocks of highest value come first.
    :param second_copy_factor: value of one of two copies / value of a sole copy. It
        is the probability that the other copy is lost before the return.
    """

    horizon_s: float = 86_400.0
    prior_return_share: float = 0.03
    prior_weight: float = 5.0
    n_conversations_max: float = 10_000.0
    min_saved_s_per_byte: float = 4e-11
    n_copies_max: int = 2
    second_copy_share: float = 0.2
    second_copy_factor: float = 0.05


@dataclass(frozen=True)
class Block:
    """A cache block and the conversations that use it.

    :param block_id: digest of the block.
    :param account: client account that the block belongs to.
    :param position: index in the prefix; a block is of use only with all blocks
        before it.
    :param size_bytes: size of one copy.
    :param rebuild_s: time to recompute the block.
    :param ages_s: for each conversation that uses the block, the time since its last
        use.
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
    """Free space of a store, as input to the choice of exports.

    :param free_bytes: free space, including blocks that may be dropped for exports.
    :param usable: false if nothing may be exported to the store.
    """

    name: str
    failure_domain: str
    free_bytes: float
    usable: bool = True


@dataclass(frozen=True)
class Export:
    """A copy of a block to be made in a store.

    :param value: expected seconds saved per byte.
    """

    block: Block
    store: str
    value: float


@dataclass
class _AgeHistogram:
    """Numbers of conversations that reached, and returned in, each age class."""

    n_reached: list[float]
    n_returned: list[float]


@dataclass
class ReturnEstimator:
    """Return probabilities of conversations, learned per account from past returns.

    The accounts are independent: an account's returns don't change the estimates for
    another one, and affect its retention only by the share of the store that each
    account gets.

    >>> estimator = ReturnEstimator(RetentionSettings())
    >>> for _ in range(1000):
    ...     estimator.add_return("bee", age_s=600)
    >>> estimator.estimate("bee", age_s=60) > 0.99
    True
    >>> estimator.estimate("bee", age_s=90_000) < estimator.estimate("bee", age_s=60)
    True
    """

    settings: RetentionSettings
    _histograms: dict[str, _AgeHistogram] = field(default_factory=dict)

    def add_return(self, account: str, age_s: float) -> None:
        """Record that a conversation returned at an age."""
        self._add_observation(account, age_s, returned=1.0)

    def add_no_return(self, account: str, age_s: float) -> None:
        """Record that tracking of a conversation ended at an age without a return."""
        self._add_observation(account, age_s, returned=0.0)

    def forget_account(self, account: str) -> None:
        """Delete the history of an account that has been removed."""
        self._histograms.pop(account, None)

    def estimate(self, account: str, age_s: float) -> float:
        """Return the probability of a return within the horizon after an age.

        Each age class contributes the share of conversations that return in it among
        those that reach it (the Kaplan-Meier estimator), so conversations that may
        still return aren't counted as ended.

        :param age_s: time in seconds since the last use of the conversation.
        """
        settings = self.settings
        histogram = self._histograms.get(account)
        first_index = bisect_right(_AGE_BOUNDS_S, age_s)
        last_index = bisect_right(_AGE_BOUNDS_S, age_s + settings.horizon_s)
        p_no_return = 1.0
        for index in range(first_index, min(last_index, len(_AGE_BOUNDS_S) - 1) + 1):
            n_reached = settings.prior_weight
            n_returned = (
                settings.prior_weight
                * settings.prior_return_share
                / _N_CLASSES_PER_DOUBLING
            )
            if histogram is not None:
                n_reached += histogram.n_reached[index]
                n_returned += histogram.n_returned[index]
            overlap = self._compute_class_overlap(index, age_s)
            p_no_return *= 1.0 - overlap * n_returned / n_reached
        return 1.0 - p_no_return

    def _compute_class_overlap(self, index: int, age_s: float) -> float:
        """Return the fraction of an age class that lies within the horizon.

        Without this fraction, the estimate would jump where an age enters the next
        class.
        """
        low_s = _AGE_BOUNDS_S[index - 1] if index else 0.0
        high_s = _AGE_BOUNDS_S[index]
        start_s = max(low_s, age_s)
        end_s = min(high_s, age_s + self.settings.horizon_s)
        return max(0.0, min(1.0, (end_s - start_s) / (high_s - low_s)))

    def _add_observation(self, account: str, age_s: float, returned: float) -> None:
        n_classes = len(_AGE_BOUNDS_S)
        histogram = self._histograms.get(account)
        if histogram is None:
            histogram = self._histograms[account] = _AgeHistogram(
                [0.0] * n_classes, [0.0] * n_classes
            )
        index = min(bisect_right(_AGE_BOUNDS_S, age_s), n_classes - 1)
        for earlier_index in range(index):
            histogram.n_reached[earlier_index] += 1.0
        # A conversation without a return was observed for an unknown part of its last
        # class; count half.
        histogram.n_reached[index] += 1.0 if returned else 0.5
        histogram.n_returned[index] += returned
        if histogram.n_reached[0] > self.settings.n_conversations_max:
            for counts in (histogram.n_reached, histogram.n_returned):
                counts[:] = [count / 2 for count in counts]


def compute_value(
    block: Block, returns: ReturnEstimator, n_other_copies: int = 0
) -> float:
    """Return the expected seconds that one copy saves per byte.

    :param n_other_copies: number of other copies of the block.
    """
    return _compute_value_per_byte(
        block, _estimate_use_probability(block, returns), n_other_copies, returns
    )


def _estimate_use_probability(block: Block, returns: ReturnEstimator) -> float:
    """Return the probability that a conversation that uses the block returns."""
    estimates = (returns.estimate(block.account, age_s) for age_s in block.ages_s)
    return 1 - math.prod(1 - estimate for estimate in estimates)


def _compute_value_per_byte(
    block, p_use: float, n_other_copies: int, returns: ReturnEstimator
) -> float:
    factor = returns.settings.second_copy_factor if n_other_copies else 1.0
    return factor * p_use * block.rebuild_s / block.size_bytes


def _compute_values(
    blocks, returns: ReturnEstimator, store: str | None = None
) -> list[float]:
    """Return the value of each block, or of its copy in one store."""
    # Most of the time is spent on the probabilities, and the blocks of a conversation
    # have the same ages, so each probability is computed once.
    p_use_by_key: dict[tuple, float] = {}
    values = []
    for block in blocks:
        key = (block.account, block.ages_s)
        if key not in p_use_by_key:
            p_use_by_key[key] = _estimate_use_probability(block, returns)
        n_other_copies = len(block.stores - {store}) if store else 0
        values.append(
            _compute_value_per_byte(block, p_use_by_key[key], n_other_copies, returns)
        )
    return values


def choose_exports(
    blocks: Sequence[Block],
    stores: Sequence[StoreSpace],
    returns: ReturnEstimator,
    settings: RetentionSettings,
    max_bytes: float = math.inf,
) -> list[Export]:
    """Choose the copies to be made, in the order in which to make them.

    First copies come first, by value and then by position, because a block is of no
    use without those before it. The blocks of highest value get a second copy in
    another failure domain while space remains.

    :param max_bytes: largest total size of the copies.
    """
    block_values = _compute_values(blocks, returns)
    values = {b.block_id: value for b, value in zip(blocks, block_values, strict=True)}
    worthwhile = [
        block
        for block in blocks
        if values[block.block_id] >= settings.min_saved_s_per_byte
    ]
    worthwhile.sort(key=lambda block: (-values[block.block_id], block.position))
    capacity = _ExportCapacity(stores, max_bytes)
    exports = []
    stores_by_block = {block.block_id: block.stores for block in worthwhile}
    for block in worthwhile:
        if not block.stores:
            store = capacity.reserve(block, stores_by_block[block.block_id])
            if store is not None:
                stores_by_block[block.block_id] = frozenset([store])
                exports.append(Export(block, store, values[block.block_id]))
    if settings.n_copies_max < 2:
        return exports
    total_bytes = sum(block.size_bytes for block in worthwhile)
    remaining_second_copy_bytes = settings.second_copy_share * total_bytes
    for block in worthwhile:
        remaining_second_copy_bytes -= block.size_bytes
        if remaining_second_copy_bytes < 0:
            break
        value = values[block.block_id] * settings.second_copy_factor
        if value < settings.min_saved_s_per_byte:
            continue
        if len(stores_by_block[block.block_id]) == 1:
            store = capacity.reserve(block, stores_by_block[block.block_id])
            if store is not None:
                exports.append(Export(block, store, value))
    return exports


class _ExportCapacity:
    """Remaining space of the stores while exports are chosen."""

    def __init__(self, stores: Sequence[StoreSpace], max_bytes: float):
        self.domain_by_store = {store.name: store.failure_domain for store in stores}
        self.free_by_store = {s.name: s.free_bytes for s in stores if s.usable}
        self.max_bytes = max_bytes
        self.store_by_conversation: dict[str, str] = {}

    def reserve(self, block: Block, holding_stores: frozenset[str]) -> str | None:
        """Reserve space in a store of a failure domain that has no copy of the block.

        :param holding_stores: names of the stores that hold a copy.
        :returns: the name of the store, or ``None`` if no store has the space.
        """
        if block.size_bytes > self.max_bytes:
            return None
        used_domains = {self.domain_by_store.get(name) for name in holding_stores}
        allowed = [
            name
            for name, free_bytes in self.free_by_store.items()
            if free_bytes >= block.size_bytes
            and self.domain_by_store[name] not in used_domains
            and name not in holding_stores
        ]
        if not allowed:
            return None
        # Keeps a conversation's blocks in one store, because a fetch has one source.
        key = f"{block.account}/{len(holding_stores)}/{block.ages_s}"
        chosen = self.store_by_conversation.get(key)
        if chosen not in allowed:
            chosen = max(allowed, key=lambda name: (self.free_by_store[name], name))
            self.store_by_conversation[key] = chosen
        self.free_by_store[chosen] -= block.size_bytes
        self.max_bytes -= block.size_bytes
        return chosen


def choose_drops(
    blocks: Sequence[Block],
    store: str,
    capacity_bytes: float,
    needed_bytes: float,
    returns: ReturnEstimator,
) -> list[Block]:
    """Choose the blocks that a store drops to free space.

    Blocks are dropped from the account that exceeds its share the most; all accounts
    with blocks in the store have equal shares. Within an account the blocks of least
    value are dropped first, later positions before earlier ones.

    :param blocks: all blocks in the store.
    :param store: name of the store.
    :param capacity_bytes: size of the store.
    :param needed_bytes: space that has to be free afterwards.
    """
    by_account: dict[str, list[tuple[float, int, str, Block]]] = {}
    used_bytes: dict[str, float] = {}
    values = _compute_values(blocks, returns, store)
    for block, value in zip(blocks, values, strict=True):
        entry = (value, -block.position, block.block_id, block)
        by_account.setdefault(block.account, []).append(entry)
        used_bytes[block.account] = (
            used_bytes.get(block.account, 0.0) + block.size_bytes
        )
    for entries in by_account.values():
        heapq.heapify(entries)
    # Shares are equal, so the account that uses most exceeds its share the most.
    accounts = [(-size_bytes, account) for account, size_bytes in used_bytes.items()]
    heapq.heapify(accounts)
    excess_bytes = sum(used_bytes.values()) + needed_bytes - capacity_bytes
    drops = []
    while excess_bytes > 0 and accounts:
        negated_bytes, account = heapq.heappop(accounts)
        entries = by_account[account]
        block = heapq.heappop(entries)[-1]
        drops.append(block)
        excess_bytes -= block.size_bytes
        if entries:
            heapq.heappush(accounts, (negated_bytes + block.size_bytes, account))
    return drops
