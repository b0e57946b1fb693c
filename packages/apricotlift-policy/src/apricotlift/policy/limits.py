"""Token buckets and in-flight limits per consumer and per account.

A request is checked against its consumer and then its account; nothing is taken
from either unless both allow it, so a consumer that exceeds its own limit doesn't
use up its account's.
"""

import math
from dataclasses import dataclass, field

from apricotlift.core.errors import ApricotliftError, Code, Scope


@dataclass(frozen=True)
class Quota:
    """Limits of one consumer or account at one node.

    :param rate_per_s: sustained requests per second.
    :param burst: requests that may come at once after a pause.
    :param max_in_flight: requests that may be in flight.
    """

    rate_per_s: float
    burst: float
    max_in_flight: int

    def divide(self, n_instances: int) -> "Quota":
        """Return the part that one of the account's named instances enforces.

        Burst and in-flight limit are at least one, because a smaller one would
        refuse every request.
        """
        return Quota(
            rate_per_s=self.rate_per_s / n_instances,
            burst=max(1.0, self.burst / n_instances),
            max_in_flight=max(1, math.ceil(self.max_in_flight / n_instances)),
        )


@dataclass(frozen=True)
class LimitState:
    """What is left of a limit, for the ``x-ratelimit-*`` headers.

    :param limit: the burst.
    :param remaining: requests that could start now.
    :param reset_s: seconds until the burst is available again.
    :param scope: whose limit it is.
    """

    limit: int
    remaining: int
    reset_s: float
    scope: Scope


@dataclass
class _Usage:
    tokens: float
    updated_s: float
    n_in_flight: int = 0

    def refill(self, quota: Quota, now_s: float) -> None:
        # A clock value that is older than the last one must not take tokens away.
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.tokens = min(quota.burst, self.tokens + elapsed_s * quota.rate_per_s)
        self.updated_s = max(self.updated_s, now_s)


@dataclass
class Limits:
    """Use of the limits by all consumers and accounts of one node.

    >>> limits = Limits()
    >>> quota = Quota(rate_per_s=1, burst=1, max_in_flight=9)
    >>> limits.begin("bee", "app", quota, quota, now_s=0.0).remaining
    0
    >>> try:
    ...     limits.begin("bee", "app", quota, quota, now_s=0.5)
    ... except ApricotliftError as error:
    ...     print(error.scope, error.retry_after_s)
    consumer 0.5
    """

    _usage: dict[tuple[str, str | None], _Usage] = field(default_factory=dict)

    def begin(
        self,
        account: str,
        consumer: str,
        account_quota: Quota,
        consumer_quota: Quota,
        now_s: float,
    ) -> LimitState:
        """Take one request from both limits.

        :returns: the state of the limit that has less left.
        :raises ApricotliftError: ``rate_limited`` or ``concurrency_limited``, with
            the scope whose limit is reached; nothing was taken.
        """
        consumer_usage = self._get_usage((account, consumer), consumer_quota, now_s)
        account_usage = self._get_usage((account, None), account_quota, now_s)
        _check(consumer_usage, consumer_quota, Scope.CONSUMER)
        _check(account_usage, account_quota, Scope.ACCOUNT)
        for usage in (consumer_usage, account_usage):
            usage.tokens -= 1
            usage.n_in_flight += 1
        states = [
            _describe(consumer_usage, consumer_quota, Scope.CONSUMER),
            _describe(account_usage, account_quota, Scope.ACCOUNT),
        ]
        return min(states, key=lambda state: state.remaining)

    def end(self, account: str, consumer: str) -> None:
        """Record that a request that :meth:`begin` let through has ended."""
        for key in ((account, consumer), (account, None)):
            usage = self._usage[key]
            if usage.n_in_flight <= 0:
                raise ValueError(f"no request of {key!r} is in flight")
            usage.n_in_flight -= 1

    def forget_idle(self, idle_s: float, now_s: float) -> int:
        """Drop entries without requests in flight that were unused for a while.

        :param idle_s: at least the longest burst / rate, because a dropped entry
            starts with a full bucket.
        :returns: how many were dropped.
        """
        idle = [
            key
            for key, usage in self._usage.items()
            if not usage.n_in_flight and now_s - usage.updated_s >= idle_s
        ]
        for key in idle:
            del self._usage[key]
        return len(idle)

    def _get_usage(
        self, key: tuple[str, str | None], quota: Quota, now_s: float
    ) -> _Usage:
        usage = self._usage.setdefault(key, _Usage(quota.burst, now_s))
        usage.refill(quota, now_s)
        return usage


def _check(usage: _Usage, quota: Quota, scope: Scope) -> None:
    if usage.n_in_flight >= quota.max_in_flight:
        raise ApricotliftError(
            Code.CONCURRENCY_LIMITED,
            f"{usage.n_in_flight} requests of this {scope} are in flight, "
            f"the limit is {quota.max_in_flight}",
            scope=scope,
            # Unknown when a request will end: one token's time keeps the callers'
            # retries at the sustained rate.
            retry_after_s=1 / quota.rate_per_s,
            details={"limit": quota.max_in_flight, "remaining": 0},
        )
    # Refilled fractions may add up to slightly less than 1.
    if usage.tokens < 1 - 1e-9:
        wait_s = (1 - usage.tokens) / quota.rate_per_s
        raise ApricotliftError(
            Code.RATE_LIMITED,
            f"this {scope} may send {quota.rate_per_s:g} requests/s "
            f"with bursts of {quota.burst:g}",
            scope=scope,
            retry_after_s=wait_s,
            details={"limit": int(quota.burst), "remaining": 0, "reset_s": wait_s},
        )


def _describe(usage: _Usage, quota: Quota, scope: Scope) -> LimitState:
    n_free = quota.max_in_flight - usage.n_in_flight
    return LimitState(
        limit=int(quota.burst),
        remaining=max(0, min(int(usage.tokens + 1e-9), n_free)),
        reset_s=max(0.0, (quota.burst - usage.tokens) / quota.rate_per_s),
        scope=scope,
    )
