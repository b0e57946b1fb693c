"""Scheduling of transfers over a store's link.

Fetches for waiting callers go first, then prefetches for prompts that are about to
return, then background copies, which use idle bandwidth only. Started transfers
aren't interrupted, so the number of bytes on the link is limited: this bounds the
time that a waiting caller's fetch is delayed by other transfers.
"""

from dataclasses import dataclass
from enum import IntEnum


class TransferPriority(IntEnum):
    """Priority class of a transfer; lower numbers go first."""

    WAITING = 0
    PREFETCH = 1
    BACKGROUND = 2


@dataclass(frozen=True)
class TransferSettings:
    """Limits on the bytes on a link, as seconds at its full rate.

    A transfer is started only if the bytes on the link, including its own, don't
    exceed the budget of its priority.

    :param waiting_budget_s: budget for fetches of waiting callers.
    :param prefetch_budget_s: budget for prefetches.
    :param background_budget_s: budget for background copies.
    :param idle_after_s: time since the last foreground transfer on the link after
        which its bandwidth counts as idle.
    """

    waiting_budget_s: float = 0.5
    prefetch_budget_s: float = 0.25
    background_budget_s: float = 0.15
    idle_after_s: float = 0.05


@dataclass(frozen=True)
class Transfer:
    """A fetch from a store or a copy to it.

    :param queued_at_s: clock value at which the transfer was queued.
    :param useful_until_s: clock value from which the transfer is of no use: the
        caller's deadline, or the return that a prefetch is expected to precede.
    """

    transfer_id: str
    account: str
    priority: TransferPriority
    size_bytes: int
    queued_at_s: float
    useful_until_s: float = float("inf")


@dataclass(frozen=True)
class LinkSnapshot:
    """State of a link at the time of a decision.

    :param bytes_per_s: rate of the link.
    :param waiting: transfers that haven't started.
    :param started: transfers on the link.
    :param account_bytes: bytes recently started per account.
    :param other_nodes_bytes: bytes that other nodes have on the link.
    :param last_foreground_s: clock value at which a waiting caller's fetch or a
        prefetch last used the link.
    """

    bytes_per_s: float
    waiting: tuple[Transfer, ...]
    started: tuple[Transfer, ...]
    account_bytes: dict[str, float]
    other_nodes_bytes: float
    last_foreground_s: float


@dataclass(frozen=True)
class TransferDecision:
    """Transfers to start now, and transfers that are no longer of use.

    :param start: transfers to start, in this order.
    :param expired: waiting transfers past their ``useful_until_s``.
    :param wait_s: time after which to decide again if no transfer is added or ends
        before, or ``None``.
    """

    start: tuple[Transfer, ...]
    expired: tuple[Transfer, ...]
    wait_s: float | None


def choose_transfers(
    link: LinkSnapshot, settings: TransferSettings, now_s: float
) -> TransferDecision:
    """Choose the transfers that start now.

    Within a priority, transfers of the account with the fewest recently started bytes
    go first, then those that have waited longest. A transfer larger than the budget
    starts on an empty link. While a transfer waits for the budget, none of lower
    priority is started.
    """
    expired = tuple(t for t in link.waiting if t.useful_until_s <= now_s)
    waiting = [t for t in link.waiting if t.useful_until_s > now_s]
    on_link_bytes = link.other_nodes_bytes + sum(t.size_bytes for t in link.started)
    account_bytes = dict(link.account_bytes)
    start: list[Transfer] = []
    is_idle = now_s - link.last_foreground_s >= settings.idle_after_s
    wait_s = None
    while waiting:
        transfer = min(waiting, key=lambda t: _get_sort_key(t, account_bytes))
        if transfer.priority is TransferPriority.BACKGROUND and not (
            is_idle and _is_background_only(link.started, start)
        ):
            wait_s = settings.idle_after_s
            break
        budget_bytes = _get_budget_s(transfer.priority, settings) * link.bytes_per_s
        if on_link_bytes and on_link_bytes + transfer.size_bytes > budget_bytes:
            excess_bytes = (
                on_link_bytes + min(transfer.size_bytes, budget_bytes) - budget_bytes
            )
            wait_s = max(0.001, excess_bytes / link.bytes_per_s)
            break
        waiting.remove(transfer)
        start.append(transfer)
        on_link_bytes += transfer.size_bytes
        started_bytes = account_bytes.get(transfer.account, 0.0)
        account_bytes[transfer.account] = started_bytes + transfer.size_bytes
    return TransferDecision(tuple(start), expired, wait_s)


def _get_sort_key(transfer: Transfer, account_bytes: dict[str, float]):
    started_bytes = account_bytes.get(transfer.account, 0.0)
    return transfer.priority, started_bytes, transfer.queued_at_s, transfer.transfer_id


def _get_budget_s(priority: TransferPriority, settings: TransferSettings) -> float:
    if priority is TransferPriority.WAITING:
        return settings.waiting_budget_s
    if priority is TransferPriority.PREFETCH:
        return settings.prefetch_budget_s
    return settings.background_budget_s


def _is_background_only(started, start) -> bool:
    return all(t.priority is TransferPriority.BACKGROUND for t in (*started, *start))


class LinkScheduler:
    """Transfer queue of one node for one store link.

    :param bytes_per_s: rate of the link.
    :param settings: byte budgets.

    >>> link = LinkScheduler(bytes_per_s=1000, settings=TransferSettings())
    >>> copy = Transfer("copy", "bee", TransferPriority.BACKGROUND, 100, 0.0)
    >>> link.add(copy, now_s=0.0)
    >>> fetch = Transfer("fetch", "bee", TransferPriority.WAITING, 400, 0.0)
    >>> link.add(fetch, now_s=0.0)
    >>> [transfer.transfer_id for transfer in link.start(now_s=1.0).start]
    ['fetch']
    """

    def __init__(self, bytes_per_s: float, settings: TransferSettings):
        self.bytes_per_s = bytes_per_s
        self.settings = settings
        self.other_nodes_bytes = 0.0
        self._waiting: dict[str, Transfer] = {}
        self._started: dict[str, Transfer] = {}
        self._account_bytes: dict[str, float] = {}
        self._decayed_at_s = 0.0
        self._last_foreground_s = float("-inf")

    def add(self, transfer: Transfer, now_s: float) -> None:
        """Queue a transfer.

        :raises ValueError: if the transfer is already queued or started.
        """
        is_waiting = transfer.transfer_id in self._waiting
        if is_waiting or transfer.transfer_id in self._started:
            raise ValueError(
                f"transfer {transfer.transfer_id!r} is already queued or started"
            )
        self._waiting[transfer.transfer_id] = transfer
        if transfer.priority is not TransferPriority.BACKGROUND:
            self._last_foreground_s = now_s

    def start(self, now_s: float) -> TransferDecision:
        """Choose the transfers that start now, and record them as started."""
        self._decay(now_s)
        decision = choose_transfers(self._build_snapshot(), self.settings, now_s)
        for transfer in decision.expired:
            del self._waiting[transfer.transfer_id]
        for transfer in decision.start:
            del self._waiting[transfer.transfer_id]
            self._started[transfer.transfer_id] = transfer
            started_bytes = self._account_bytes.get(transfer.account, 0.0)
            self._account_bytes[transfer.account] = started_bytes + transfer.size_bytes
        return decision

    def finish(self, transfer_id: str, now_s: float) -> None:
        """Record that a transfer succeeded or failed; a waiting one is cancelled."""
        transfer = self._started.pop(transfer_id, None)
        if transfer is None:
            del self._waiting[transfer_id]
        elif transfer.priority is not TransferPriority.BACKGROUND:
            self._last_foreground_s = now_s

    def count_bytes_ahead(self, priority: TransferPriority) -> float:
        """Return the bytes that go before a new transfer, for ``Store.queued_bytes``.

        These are the started transfers, those of other nodes, and the waiting ones of
        the same or a higher priority.
        """
        started = sum(t.size_bytes for t in self._started.values())
        waiting = (t for t in self._waiting.values() if t.priority <= priority)
        return self.other_nodes_bytes + started + sum(t.size_bytes for t in waiting)

    def _build_snapshot(self) -> LinkSnapshot:
        return LinkSnapshot(
            bytes_per_s=self.bytes_per_s,
            waiting=tuple(self._waiting.values()),
            started=tuple(self._started.values()),
            account_bytes=self._account_bytes,
            other_nodes_bytes=self.other_nodes_bytes,
            last_foreground_s=self._last_foreground_s,
        )

    def _decay(self, now_s: float) -> None:
        """Decay the started bytes per account with a half-life of one second."""
        kept_share = 0.5 ** max(0.0, now_s - self._decayed_at_s)
        self._decayed_at_s = max(now_s, self._decayed_at_s)
        kept = {name: n * kept_share for name, n in self._account_bytes.items()}
        self._account_bytes = {name: n for name, n in kept.items() if n >= 1.0}
