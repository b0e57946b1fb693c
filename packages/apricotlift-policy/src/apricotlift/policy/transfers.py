"""Order and limits of transfers over a store's link.

Waiting callers come first, then prefetches for prompts that are about to return,
then background copies, which use idle bandwidth only. Transfers that have started
aren't interrupted, so the bytes on the link are limited: that limit is the longest
time that a waiting caller's fetch stands behind others.
"""

from dataclasses import dataclass
from enum import IntEnum


class Priority(IntEnum):
    """Who waits for a transfer; lower numbers go first."""

    WAITING = 0
    PREFETCH = 1
    BACKGROUND = 2


@dataclass(frozen=True)
class TransferSettings:
    """Byte budget of a link, as time at its full rate.

    :param budget_s: bytes on the link, with a waiting caller's.
    :param prefetch_budget_s: bytes on the link up to which a prefetch is started.
    :param background_budget_s: bytes on the link up to which a background copy is.
    :param idle_after_s: time since the last foreground transfer on the link after
        which its bandwidth counts as idle.
    """

    budget_s: float = 0.5
    prefetch_budget_s: float = 0.25
    background_budget_s: float = 0.15
    idle_after_s: float = 0.05


@dataclass(frozen=True)
class Transfer:
    """One fetch or copy.

    :param useful_until_s: time after which it is no longer wanted: a caller's
        deadline, or the expected return that a prefetch is for.
    """

    transfer_id: str
    account: str
    priority: Priority
    size_bytes: int
    queued_at_s: float
    useful_until_s: float = float("inf")


@dataclass(frozen=True)
class LinkView:
    """What the decision needs to know of a link.

    :param bytes_per_s: rate of the link.
    :param waiting: transfers that haven't started.
    :param started: transfers on the link.
    :param account_bytes: bytes recently started per account.
    :param foreign_bytes: bytes that other nodes have on the link.
    :param foreground_at_s: when a waiting caller's transfer or a prefetch last used
        the link.
    """

    bytes_per_s: float
    waiting: tuple[Transfer, ...]
    started: tuple[Transfer, ...]
    account_bytes: dict[str, float]
    foreign_bytes: float
    foreground_at_s: float


@dataclass(frozen=True)
class TransferDecision:
    """What to start now and what isn't wanted any more.

    :param wait_s: time after which to decide anew if nothing else happens.
    """

    start: tuple[Transfer, ...]
    expired: tuple[Transfer, ...]
    wait_s: float | None


def choose_transfers(
    link: LinkView, settings: TransferSettings, now_s: float
) -> TransferDecision:
    """Choose the transfers that start now.

    Within a priority, the account with the fewest bytes started recently goes first,
    then the longest wait. A transfer larger than the budget starts on an empty link.
    A lower priority never passes a higher one that waits for room.
    """
    expired = tuple(t for t in link.waiting if t.useful_until_s <= now_s)
    waiting = [t for t in link.waiting if t.useful_until_s > now_s]
    on_link = link.foreign_bytes + sum(t.size_bytes for t in link.started)
    account_bytes = dict(link.account_bytes)
    start: list[Transfer] = []
    idle = now_s - link.foreground_at_s >= settings.idle_after_s
    wait_s = None
    while waiting:
        transfer = min(waiting, key=lambda t: _rank(t, account_bytes))
        if transfer.priority is Priority.BACKGROUND and not (
            idle and _is_background_only(link.started, start)
        ):
            wait_s = settings.idle_after_s
            break
        budget = _get_budget_s(transfer.priority, settings) * link.bytes_per_s
        if on_link and on_link + transfer.size_bytes > budget:
            excess = on_link + min(transfer.size_bytes, budget) - budget
            wait_s = max(0.001, excess / link.bytes_per_s)
            break
        waiting.remove(transfer)
        start.append(transfer)
        on_link += transfer.size_bytes
        taken = account_bytes.get(transfer.account, 0.0)
        account_bytes[transfer.account] = taken + transfer.size_bytes
    return TransferDecision(tuple(start), expired, wait_s)


def _rank(transfer: Transfer, account_bytes: dict[str, float]):
    taken = account_bytes.get(transfer.account, 0.0)
    return transfer.priority, taken, transfer.queued_at_s, transfer.transfer_id


def _get_budget_s(priority: Priority, settings: TransferSettings) -> float:
    if priority is Priority.WAITING:
        return settings.budget_s
    if priority is Priority.PREFETCH:
        return settings.prefetch_budget_s
    return settings.background_budget_s


def _is_background_only(started, start) -> bool:
    return all(t.priority is Priority.BACKGROUND for t in (*started, *start))


class Link:
    """Transfers of one store link, as one node knows them.

    >>> link = Link(bytes_per_s=1000, settings=TransferSettings())
    >>> link.add(Transfer("copy", "bee", Priority.BACKGROUND, 100, 0.0), now_s=0.0)
    >>> link.add(Transfer("fetch", "bee", Priority.WAITING, 400, 0.0), now_s=0.0)
    >>> [transfer.transfer_id for transfer in link.start(now_s=1.0).start]
    ['fetch']
    """

    def __init__(self, bytes_per_s: float, settings: TransferSettings):
        self.bytes_per_s = bytes_per_s
        self.settings = settings
        self.foreign_bytes = 0.0
        self._waiting: dict[str, Transfer] = {}
        self._started: dict[str, Transfer] = {}
        self._account_bytes: dict[str, float] = {}
        self._decayed_at_s = 0.0
        self._foreground_at_s = float("-inf")

    def add(self, transfer: Transfer, now_s: float) -> None:
        """Queue a transfer."""
        known = transfer.transfer_id in self._waiting
        if known or transfer.transfer_id in self._started:
            raise ValueError(f"transfer {transfer.transfer_id!r} is already queued")
        self._waiting[transfer.transfer_id] = transfer
        if transfer.priority is not Priority.BACKGROUND:
            self._foreground_at_s = now_s

    def start(self, now_s: float) -> TransferDecision:
        """Decide what starts now, and record it as started."""
        self._decay(now_s)
        decision = choose_transfers(self._build_view(), self.settings, now_s)
        for transfer in decision.expired:
            del self._waiting[transfer.transfer_id]
        for transfer in decision.start:
            del self._waiting[transfer.transfer_id]
            self._started[transfer.transfer_id] = transfer
            taken = self._account_bytes.get(transfer.account, 0.0)
            self._account_bytes[transfer.account] = taken + transfer.size_bytes
        return decision

    def finish(self, transfer_id: str, now_s: float) -> None:
        """Record that a transfer ended, well or not; a waiting one is cancelled."""
        transfer = self._started.pop(transfer_id, None)
        if transfer is None:
            del self._waiting[transfer_id]
        elif transfer.priority is not Priority.BACKGROUND:
            self._foreground_at_s = now_s

    def count_bytes_ahead(self, priority: Priority) -> float:
        """Return the bytes that go before a new transfer, for ``queued_bytes``."""
        started = sum(t.size_bytes for t in self._started.values())
        waiting = (t for t in self._waiting.values() if t.priority <= priority)
        return self.foreign_bytes + started + sum(t.size_bytes for t in waiting)

    def _build_view(self) -> LinkView:
        return LinkView(
            bytes_per_s=self.bytes_per_s,
            waiting=tuple(self._waiting.values()),
            started=tuple(self._started.values()),
            account_bytes=self._account_bytes,
            foreign_bytes=self.foreign_bytes,
            foreground_at_s=self._foreground_at_s,
        )

    def _decay(self, now_s: float) -> None:
        """Forget half of the started bytes each second."""
        kept_share = 0.5 ** max(0.0, now_s - self._decayed_at_s)
        self._decayed_at_s = max(now_s, self._decayed_at_s)
        kept = {name: n * kept_share for name, n in self._account_bytes.items()}
        self._account_bytes = {name: n for name, n in kept.items() if n >= 1.0}
