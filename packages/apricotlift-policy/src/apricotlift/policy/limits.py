"""Token buckets and in-flight limits per consumer and per client account.

A request is checked against the limits of its consumer and then of its account. It
is counted only if both allow it, so a consumer that exceeds its own limit doesn't
use up the limit of its account.
"""

import math
from dataclasses import dataclass, field

from apricotlift.core.errors import ApricotliftError, Code, Scope


@dataclass(frozen=True)
class Quota:
    """Limits of one consumer or account at one node.

    :param rate_per_s: sustained requests per second.
    :param burst: size of the token bucket: requests that may be sent at once after a
        pause.
    :param max_in_flight: largest number of requests in flight.
    """

    rate_per_s: float
    burst: float
    max_in_flight: int

    def divide(self, n_instances: int) -> "Quota":
        """Return the part of the quota that one of several instances enforces.

        Burst and in-flight limit are at least 1, because smaller values would refuse
        every request.

        :param n_instances: number of instances that the account names.
        """
        return Quota(
            rate_per_s=self.rate_per_s / n_instances,
            burst=max(1.0, self.burst / n_instances),
            max_in_flight=max(1, math.ceil(self.max_in_flight / n_instances)),
        )


@dataclass(frozen=True)
class LimitState:
    """State of a limit, for the ``x-ratelimit-*`` headers.

    :param limit: the quota's burst.
    :param remaining: number of requests that could start now.
    :param reset_s: seconds until the whole burst is available again.
    :param scope: whether the limit is the consumer's or the account's.
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
        # An earlier clock value than the last one must not remove tokens.
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.tokens = min(quota.burst, self.tokens + elapsed_s * quota.rate_per_s)
        self.updated_s = max(self.updated_s, now_s)


@dataclass
class RequestLimiter:
    """Token buckets and in-flight counts of all consumers and accounts of one node.

    >>> limits = RequestLimiter()
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
        """Count a request against the limits of its consumer and its account.

        :returns: the state of the limit that has fewer requests remaining.
        :raises ApricotliftError: ``rate_limited`` or ``concurrency_limited``, with
            the scope whose limit is reached; the request is not counted.
        """
        consumer_usage = self._get_usage((account, consumer), consumer_quota, now_s)
        account_usage = self._get_usage((account, None), account_quota, now_s)
        _check_quota(consumer_usage, consumer_quota, Scope.CONSUMER)
        _check_quota(account_usage, account_quota, Scope.ACCOUNT)
        for usage in (consumer_usage, account_usage):
            usage.tokens -= 1
            usage.n_in_flight += 1
        states = [
            _build_state(consumer_usage, consumer_quota, Scope.CONSUMER),
            _build_state(account_usage, account_quota, Scope.ACCOUNT),
        ]
        return min(states, key=lambda state: state.remaining)

    def end(self, account: str, consumer: str) -> None:
        """Record that a request that :meth:`begin` counted has ended.

        :raises ValueError: if the consumer or account has no request in flight.
        """
        for key in ((account, consumer), (account, None)):
            usage = self._usage[key]
            if usage.n_in_flight <= 0:
                raise ValueError(
                    f"no request of (account, consumer) {key!r} is in flight"
                )
            usage.n_in_flight -= 1

    def forget_idle(self, idle_s: float, now_s: float) -> int:
        """Delete entries that have no requests in flight and haven't been used lately.

        :param idle_s: time since the last use after which an entry is deleted. It must
            be at least the longest burst / rate, because a new entry starts with a
            full bucket.
        :returns: the number of deleted entries.
        """
        idle_keys = [
            key
            for key, usage in self._usage.items()
            if not usage.n_in_flight and now_s - usage.updated_s >= idle_s
        ]
        for key in idle_keys:
            del self._usage[key]
        return len(idle_keys)

    def _get_usage(
        self, key: tuple[str, str | None], quota: Quota, now_s: float
    ) -> _Usage:
        usage = self._usage.setdefault(key, _Usage(quota.burst, now_s))
        usage.refill(quota, now_s)
        return usage


def _check_quota(usage: _Usage, quota: Quota, scope: Scope) -> None:
    if usage.n_in_flight >= quota.max_in_flight:
        raise ApricotliftError(
            Code.CONCURRENCY_LIMITED,
            f"{usage.n_in_flight} requests of this {scope} are in flight, "
            f"the in-flight limit is {quota.max_in_flight}",
            scope=scope,
            # It is unknown when a request will end. Waiting for one token keeps the
            # retries of the callers at the sustained rate.
            retry_after_s=1 / quota.rate_per_s,
            details={"limit": quota.max_in_flight, "remaining": 0},
        )
    # Fractions of a token may add up to slightly less than 1 in floating point.
    if usage.tokens < 1 - 1e-9:
        wait_s = (1 - usage.tokens) / quota.rate_per_s
        raise ApricotliftError(
            Code.RATE_LIMITED,
            f"this {scope} has reached its limit of {quota.rate_per_s:g} requests/s "
            f"with bursts of {quota.burst:g}",
            scope=scope,
            retry_after_s=wait_s,
            details={"limit": int(quota.burst), "remaining": 0, "reset_s": wait_s},
        )


def _build_state(usage: _Usage, quota: Quota, scope: Scope) -> LimitState:
    n_free_slots = quota.max_in_flight - usage.n_in_flight
    return LimitState(
        limit=int(quota.burst),
        remaining=max(0, min(int(usage.tokens + 1e-9), n_free_slots)),
        reset_s=max(0.0, (quota.burst - usage.tokens) / quota.rate_per_s),
        scope=scope,
    )
