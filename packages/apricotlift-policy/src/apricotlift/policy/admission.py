"""Admission of requests while the fleet is full: admit, queue or refuse.

Refusals (a refused request has not run):

============================== ============ ===========================================
code                           scope        retry_after_s
============================== ============ ===========================================
``deadline_unreachable``       ``request``  none: the same deadline fails again
``concurrency_limited``        ``account``  until one of the account's requests ends
``overloaded``                 ``account``  until the account is below its fair share
``overloaded``                 ``fleet``    until the requests that wait are served
============================== ============ ===========================================
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum, StrEnum

from apricotlift.core.errors import ApricotliftError, Code, Scope


class RequestClass(IntEnum):
    """The caller's ``x-priority``; lower numbers go first."""

    INTERACTIVE = 0
    BATCH = 1


class Verdict(StrEnum):
    """Decision on a request that isn't refused."""

    ADMIT = "admit"
    WAIT = "wait"


@dataclass(frozen=True)
class AdmissionSettings:
    """Thresholds of the full state and limits that apply in it.

    :param enter_full_share: in-flight share of the capacity at which the fleet becomes
        full.
    :param leave_full_share: in-flight share of the capacity at which the fleet is no
        longer full; lower than ``enter_full_share``, so that the state doesn't change
        with every request.
    :param overshoot_share: share of the capacity up to which interactive requests of
        accounts below their fair share are admitted, until the accounts above theirs
        have shrunk.
    :param n_waiting_max: largest number of waiting requests.
    :param initial_duration_s: initial value of the mean request duration in seconds.
    """

    enter_full_share: float = 1.0
    leave_full_share: float = 0.85
    overshoot_share: float = 1.1
    n_waiting_max: int = 64
    initial_duration_s: float = 2.0


@dataclass(frozen=True)
class AdmissionRequest:
    """A request that asks for admission.

    :param time_left_s: time until the caller's deadline.
    :param estimated_s: estimated time until the response is complete, not counting
        the wait for admission.
    :param account_limit: declared in-flight limit of the client account.
    """

    request_id: str
    account: str
    request_class: RequestClass = RequestClass.INTERACTIVE
    time_left_s: float = math.inf
    estimated_s: float = 0.0
    account_limit: int = 1_000_000


def compute_fair_share(demands: Iterable[float], capacity: float) -> float:
    """Return the max-min fair share: the largest amount that any account may use.

    Accounts with a demand below the share get their demand, and the others divide
    the remaining capacity equally.

    >>> compute_fair_share([10, 20, 90, 200], capacity=100)
    35.0
    >>> compute_fair_share([10, 20], capacity=100)
    90
    """
    sorted_demands = sorted(demands)
    remaining = capacity
    for index, demand in enumerate(sorted_demands):
        share = remaining / (len(sorted_demands) - index)
        if demand >= share:
            return share
        remaining -= demand
    # All demands fit: the account with the largest may also use the remaining capacity.
    return remaining + (sorted_demands[-1] if sorted_demands else 0.0)


@dataclass
class _AccountUsage:
    n_in_flight: int = 0
    n_waiting: int = 0


@dataclass(frozen=True)
class _WaitingRequest:
    request: AdmissionRequest
    sequence_number: int
    expires_s: float


class Admission:
    """Admission control: counts requests per account and limits them to a capacity.

    :param settings: thresholds and limits.
    :param capacity: number of requests that the fleet can have in flight.

    >>> admission = Admission(AdmissionSettings(n_waiting_max=0), capacity=2)
    >>> for number in range(2):
    ...     admission.decide(AdmissionRequest(f"r{number}", "bee"), 0.0).value
    'admit'
    'admit'
    >>> try:
    ...     admission.decide(AdmissionRequest("r3", "bee"), 0.0)
    ... except ApricotliftError as error:
    ...     print(error.code, error.scope)
    overloaded account
    """

    def __init__(self, settings: AdmissionSettings, capacity: float):
        self.settings = settings
        self.capacity = capacity
        self.is_full = False
        self.n_in_flight = 0
        self.mean_duration_s = settings.initial_duration_s
        self._accounts: dict[str, _AccountUsage] = {}
        self._waiting: dict[str, _WaitingRequest] = {}
        self._n_queued_total = 0

    def decide(self, request: AdmissionRequest, now_s: float) -> Verdict:
        """Admit, queue or refuse a request.

        :raises ApricotliftError: if the request is refused; the module docstring lists
            the codes.
        """
        account = self._accounts.get(request.account, _AccountUsage())
        if request.estimated_s > request.time_left_s:
            raise _refuse_deadline(request, request.estimated_s)
        if account.n_in_flight >= request.account_limit:
            raise self._refuse_account(
                Code.CONCURRENCY_LIMITED, account, request.account_limit
            )
        self._update_is_full()
        if not self.is_full:
            self._admit(request.account)
            return Verdict.ADMIT
        share = self.compute_account_share(request.account)
        if account.n_in_flight + account.n_waiting >= max(1.0, share):
            raise self._refuse_account(Code.OVERLOADED, account, share)
        if not self._count_ahead(request) and self._has_capacity(request.request_class):
            self._admit(request.account)
            return Verdict.ADMIT
        return self._enqueue(request, now_s)

    def end(self, account: str, duration_s: float) -> None:
        """Record that an admitted request has ended.

        :param duration_s: time that the request was in flight.
        """
        self._accounts[account].n_in_flight -= 1
        self.n_in_flight -= 1
        self._delete_if_idle(account)
        self.mean_duration_s += 0.02 * (duration_s - self.mean_duration_s)
        self._update_is_full()

    def admit_waiting(self, now_s: float) -> tuple[list[str], list[str]]:
        """Admit waiting requests up to the capacity, after a request has ended.

        Interactive requests go before batch requests, then those of the account with
        the fewest requests in flight, then those that have waited longest.

        :returns: ids of the admitted requests, and of the removed requests that can
            no longer meet their deadline.
        """
        expired = [key for key, w in self._waiting.items() if w.expires_s < now_s]
        for key in expired:
            self.cancel(key)
        admitted: list[str] = []
        while self._waiting:
            waiting = min(self._waiting.values(), key=self._get_sort_key)
            if not self._has_capacity(waiting.request.request_class):
                break
            self.cancel(waiting.request.request_id)
            self._admit(waiting.request.account)
            admitted.append(waiting.request.request_id)
        return admitted, expired

    def cancel(self, request_id: str) -> None:
        """Remove a waiting request."""
        waiting = self._waiting.pop(request_id)
        self._accounts[waiting.request.account].n_waiting -= 1
        self._delete_if_idle(waiting.request.account)

    def compute_account_share(self, account: str) -> float:
        """Return the current fair share if an account sends one more request.

        Demand is the number of requests in flight or waiting now. An average over
        seconds would reserve capacity for accounts that don't use it at the moment;
        instead, these may briefly exceed the capacity when they send again.
        """
        demands = {
            name: entry.n_in_flight + entry.n_waiting
            for name, entry in self._accounts.items()
        }
        demands[account] = demands.get(account, 0) + 1
        return compute_fair_share(demands.values(), self.capacity)

    def _get_or_add_account(self, name: str) -> _AccountUsage:
        return self._accounts.setdefault(name, _AccountUsage())

    def _delete_if_idle(self, name: str) -> None:
        account = self._accounts[name]
        if not account.n_in_flight and not account.n_waiting:
            del self._accounts[name]

    def _update_is_full(self) -> None:
        settings = self.settings
        if self.n_in_flight >= settings.enter_full_share * self.capacity:
            self.is_full = True
        elif self.n_in_flight <= settings.leave_full_share * self.capacity:
            self.is_full = False

    def _count_ahead(self, request: AdmissionRequest) -> int:
        """Return the number of waiting requests that go before a new one."""
        return sum(
            waiting.request.request_class <= request.request_class
            for waiting in self._waiting.values()
        )

    def _has_capacity(self, request_class: RequestClass) -> bool:
        share = 1.0
        if request_class is RequestClass.INTERACTIVE:
            share = self.settings.overshoot_share
        return self.n_in_flight < share * self.capacity

    def _admit(self, account: str) -> None:
        self._get_or_add_account(account).n_in_flight += 1
        self.n_in_flight += 1

    def _enqueue(self, request: AdmissionRequest, now_s: float) -> Verdict:
        wait_s = (
            (self._count_ahead(request) + 1)
            * self.mean_duration_s
            / max(1, self.n_in_flight)
        )
        if wait_s + request.estimated_s > request.time_left_s:
            raise _refuse_deadline(request, wait_s + request.estimated_s)
        if len(self._waiting) >= self.settings.n_waiting_max:
            raise ApricotliftError(
                Code.OVERLOADED,
                f"the admission queue is full: {len(self._waiting)} requests wait and "
                f"{self.n_in_flight} are in flight, the capacity is {self.capacity:g}",
                scope=Scope.FLEET,
                retry_after_s=wait_s,
            )
        self._n_queued_total += 1
        expires_s = now_s + request.time_left_s - request.estimated_s
        self._waiting[request.request_id] = _WaitingRequest(
            request, self._n_queued_total, expires_s
        )
        self._get_or_add_account(request.account).n_waiting += 1
        return Verdict.WAIT

    def _get_sort_key(self, waiting: _WaitingRequest):
        n_in_flight = self._accounts[waiting.request.account].n_in_flight
        return waiting.request.request_class, n_in_flight, waiting.sequence_number

    def _refuse_account(
        self, code: Code, account: _AccountUsage, limit: float
    ) -> ApricotliftError:
        # The requests above the limit have to end first. The account's requests end at
        # a rate of its number in flight divided by the mean duration.
        n_excess = account.n_in_flight - math.floor(limit) + 1
        wait_s = max(1, n_excess) * self.mean_duration_s / max(1, account.n_in_flight)
        return ApricotliftError(
            code,
            f"{account.n_in_flight} requests of this account are in flight, "
            f"its current limit is {limit:.1f}",
            scope=Scope.ACCOUNT,
            retry_after_s=wait_s,
            details={"limit": math.floor(limit), "remaining": 0},
        )


def _refuse_deadline(request: AdmissionRequest, estimated_s: float) -> ApricotliftError:
    return ApricotliftError(
        Code.DEADLINE_UNREACHABLE,
        f"the response is estimated to take {estimated_s:.1f} s, "
        f"but the deadline is in {request.time_left_s:.1f} s",
        scope=Scope.REQUEST,
    )
