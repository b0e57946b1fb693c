"""Faults of the platform stand-in, set separately for each part of it."""

import random
import time
from dataclasses import dataclass, field
from enum import StrEnum

import anyio


class RequestOutcome(StrEnum):
    """How a request is served, or which fault applies to it."""

    SERVE = "serve"
    CLOSE = "close"
    ERROR_BEFORE = "error_before"
    ERROR_AFTER = "error_after"
    DROP_AFTER = "drop_after"
    THROTTLE = "throttle"


_COUNTED_OUTCOMES = (
    RequestOutcome.ERROR_BEFORE,
    RequestOutcome.ERROR_AFTER,
    RequestOutcome.DROP_AFTER,
    RequestOutcome.THROTTLE,
)


@dataclass
class FaultPlan:
    """The faults of one part, as ``POST /faults`` sets them.

    A count, whose name begins with ``n_``, applies to that number of next writes. A
    probability applies to each request.

    :param down: close the connection of each request before it has an effect.
    :param reads_down: the same for reads only.
    :param writes_down: the same for writes only.
    :param error_before: probability of status 500 before the request's effect.
    :param error_after: probability of status 500 after a write's effect.
    :param drop_after: probability that the connection is closed after a write's
        effect, without an answer.
    :param delay_s: mean delay before the effect, in seconds.
    :param delay_kind: ``fixed``, ``uniform`` (0 to twice the mean) or ``exponential``.
    :param delay_writes_only: delay writes only.
    :param reads_per_s: maximum rows read per second; 0 is unlimited.
    :param writes_per_s: maximum rows written per second; 0 is unlimited.
    :param seed: seed of the random delays and outcomes.
    """

    down: bool = False
    reads_down: bool = False
    writes_down: bool = False
    error_before: float = 0.0
    error_after: float = 0.0
    drop_after: float = 0.0
    n_error_before: int = 0
    n_error_after: int = 0
    n_drop_after: int = 0
    n_throttle: int = 0
    delay_s: float = 0.0
    delay_kind: str = "fixed"
    delay_writes_only: bool = False
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0
    seed: int = 0


@dataclass
class _TokenBucket:
    """A token bucket with a capacity of one second at its rate."""

    rate_per_s: float
    level: float = 0.0
    refilled_at: float = field(default_factory=time.monotonic)

    def __post_init__(self):
        self.level = self.rate_per_s

    def take(self, n_rows_wanted: float) -> bool:
        now = time.monotonic()
        refilled_level = self.level + (now - self.refilled_at) * self.rate_per_s
        self.level = min(self.rate_per_s, refilled_level)
        self.refilled_at = now
        # A request larger than the capacity passes when the bucket is full.
        if self.level < min(n_rows_wanted, self.rate_per_s):
            return False
        self.level -= n_rows_wanted
        return True


class Faults:
    """Chooses the outcome of each request to one part."""

    def __init__(self, plan: FaultPlan | None = None):
        self.plan = plan or FaultPlan()
        self._random = random.Random(self.plan.seed)
        self._reads = _TokenBucket(self.plan.reads_per_s)
        self._writes = _TokenBucket(self.plan.writes_per_s)

    def choose_outcome(self, is_write: bool, n_rows: int) -> RequestOutcome:
        """Return the outcome of a request that reads or writes a number of rows."""
        plan = self.plan
        if plan.down or (plan.writes_down if is_write else plan.reads_down):
            return RequestOutcome.CLOSE
        rate_per_s = plan.writes_per_s if is_write else plan.reads_per_s
        bucket = self._writes if is_write else self._reads
        if rate_per_s and not bucket.take(n_rows):
            return RequestOutcome.THROTTLE
        if is_write:
            for outcome in _COUNTED_OUTCOMES:
                n_left = getattr(plan, f"n_{outcome}")
                if n_left:
                    setattr(plan, f"n_{outcome}", n_left - 1)
                    return outcome
        if self._random.random() < plan.error_before:
            return RequestOutcome.ERROR_BEFORE
        if is_write and self._random.random() < plan.error_after:
            return RequestOutcome.ERROR_AFTER
        if is_write and self._random.random() < plan.drop_after:
            return RequestOutcome.DROP_AFTER
        return RequestOutcome.SERVE

    async def delay(self, is_write: bool) -> None:
        """Wait for the delay that the plan sets for a read or a write."""
        mean_s = self.plan.delay_s
        if not mean_s or (self.plan.delay_writes_only and not is_write):
            return
        delays_s = {
            "fixed": lambda: mean_s,
            "uniform": lambda: self._random.uniform(0, 2 * mean_s),
            "exponential": lambda: self._random.expovariate(1 / mean_s),
        }
        await anyio.sleep(delays_s[self.plan.delay_kind]())
