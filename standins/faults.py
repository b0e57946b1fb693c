"""Faults that a stand-in of the platform switches on and off, per part."""

import random
import time
from dataclasses import dataclass, field
from enum import StrEnum

import anyio


class Fate(StrEnum):
    """What happens to a request."""

    SERVE = "serve"
    CLOSE = "close"
    ERROR_BEFORE = "error_before"
    ERROR_AFTER = "error_after"
    DROP_AFTER = "drop_after"
    THROTTLE = "throttle"


_COUNTED_FATES = (
    Fate.ERROR_BEFORE,
    Fate.ERROR_AFTER,
    Fate.DROP_AFTER,
    Fate.THROTTLE,
)


@dataclass
class FaultPlan:
    """The faults of one part, as ``POST /faults`` sets them.

    The names with ``n_`` hit the next writes, the probabilities each request.

    :param down: close the connection of each request before any effect.
    :param reads_down: the same for reads alone.
    :param writes_down: the same for writes alone.
    :param error_before: probability of status 500 without an effect.
    :param error_after: probability of status 500 after a write's effect.
    :param drop_after: probability that a write's answer is dropped after its effect.
    :param delay_s: mean delay before the effect.
    :param delay_kind: ``fixed``, ``uniform`` (0 to twice the mean) or ``exponential``.
    :param delay_writes_only: reads aren't delayed.
    :param reads_per_s: rows read a second, 0 for no limit.
    :param writes_per_s: rows written a second, 0 for no limit.
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
class _Bucket:
    """A token bucket that holds one second of its rate."""

    rate_per_s: float
    level: float = 0.0
    filled_at: float = field(default_factory=time.monotonic)

    def __post_init__(self):
        self.level = self.rate_per_s

    def take(self, amount: float) -> bool:
        now = time.monotonic()
        filled = self.level + (now - self.filled_at) * self.rate_per_s
        self.level = min(self.rate_per_s, filled)
        self.filled_at = now
        # A request larger than the bucket passes when the bucket is full.
        if self.level < min(amount, self.rate_per_s):
            return False
        self.level -= amount
        return True


class Faults:
    """Decides the fate of each request of one part."""

    def __init__(self, plan: FaultPlan | None = None):
        self.plan = plan or FaultPlan()
        self._random = random.Random(self.plan.seed)
        self._reads = _Bucket(self.plan.reads_per_s)
        self._writes = _Bucket(self.plan.writes_per_s)

    def choose_fate(self, is_write: bool, n_rows: int) -> Fate:
        """Return what happens to a request that reads or writes so many rows."""
        plan = self.plan
        if plan.down or (plan.writes_down if is_write else plan.reads_down):
            return Fate.CLOSE
        rate_per_s = plan.writes_per_s if is_write else plan.reads_per_s
        bucket = self._writes if is_write else self._reads
        if rate_per_s and not bucket.take(n_rows):
            return Fate.THROTTLE
        if is_write:
            for fate in _COUNTED_FATES:
                n_left = getattr(plan, f"n_{fate}")
                if n_left:
                    setattr(plan, f"n_{fate}", n_left - 1)
                    return fate
        if self._random.random() < plan.error_before:
            return Fate.ERROR_BEFORE
        if is_write and self._random.random() < plan.error_after:
            return Fate.ERROR_AFTER
        if is_write and self._random.random() < plan.drop_after:
            return Fate.DROP_AFTER
        return Fate.SERVE

    async def delay(self, is_write: bool) -> None:
        """Wait for the planned delay."""
        mean_s = self.plan.delay_s
        if not mean_s or (self.plan.delay_writes_only and not is_write):
            return
        delays_s = {
            "fixed": lambda: mean_s,
            "uniform": lambda: self._random.uniform(0, 2 * mean_s),
            "exponential": lambda: self._random.expovariate(1 / mean_s),
        }
        await anyio.sleep(delays_s[self.plan.delay_kind]())
