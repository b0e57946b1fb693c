"""Circuit breaker with hysteresis for one upstream or store.

The breaker opens on failures, allows one probe at a time after a jittered wait, and
closes only after several consecutive successful probes, so that it doesn't change
state with every request to a target that fails intermittently.
"""

import math
from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from random import Random


class BreakerState(StrEnum):
    """State of a breaker: all attempts allowed, none, or one probe at a time."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(frozen=True)
class BreakerSettings:
    """Conditions under which a breaker opens, allows a probe and closes.

    :param n_consecutive_failures: consecutive failures that open the breaker.
    :param failure_share: share of failed attempts in the window that opens the breaker.
    :param n_window_min: number of attempts in the window below which
        ``failure_share`` is ignored.
    :param window_s: length of the sliding window in seconds.
    :param n_probes_to_close: consecutive successful probes that close the breaker.
    :param open_min_s: first wait before a probe; doubles with each failed probe.
    :param open_max_s: longest wait before a probe, without jitter.
    :param jitter_share: each wait is changed at random by up to this share up or
        down, so that nodes whose breakers opened together don't probe together.
    :param probe_timeout_s: time after which a probe without a result counts as lost
        and another one is allowed.
    """

    n_consecutive_failures: int = 5
    failure_share: float = 0.5
    n_window_min: int = 20
    window_s: float = 10.0
    n_probes_to_close: int = 3
    open_min_s: float = 1.0
    open_max_s: float = 30.0
    jitter_share: float = 0.2
    probe_timeout_s: float = 30.0


@dataclass(frozen=True)
class Ticket:
    """Permission for one attempt, passed to :meth:`Breaker.finish` with its result.

    :param generation: the breaker's generation when the attempt began.
    :param is_probe: whether the attempt is a probe.
    """

    generation: int
    is_probe: bool


class Breaker:
    """Circuit breaker of one target.

    >>> breaker = Breaker(BreakerSettings(n_consecutive_failures=1))
    >>> ticket = breaker.begin(now_s=0.0)
    >>> breaker.finish(ticket, succeeded=False, now_s=0.1, random=Random(1))
    >>> breaker.allows(now_s=0.2), breaker.allows(now_s=2.0)
    (False, True)
    """

    def __init__(self, settings: BreakerSettings):
        self.settings = settings
        self.state = BreakerState.CLOSED
        self._results: deque[tuple[float, bool]] = deque()
        self._n_failed_in_window = 0
        self._n_consecutive_failures = 0
        self._n_successful_probes = 0
        self._n_consecutive_openings = 0
        self._next_probe_s = -math.inf
        self._probe_expires_s = -math.inf
        # Number of state changes and probes so far. A result of an earlier generation
        # is ignored, because it doesn't tell the present state of the target.
        self._generation = 0

    def allows(self, now_s: float) -> bool:
        """Return whether :meth:`begin` would return a ticket now."""
        if self.state is BreakerState.CLOSED:
            return True
        return now_s >= max(self._next_probe_s, self._probe_expires_s)

    def begin(self, now_s: float) -> Ticket | None:
        """Return a ticket for one attempt, or ``None`` if the breaker refuses it."""
        if not self.allows(now_s):
            return None
        if self.state is BreakerState.CLOSED:
            return Ticket(self._generation, is_probe=False)
        self.state = BreakerState.HALF_OPEN
        self._generation += 1
        self._probe_expires_s = now_s + self.settings.probe_timeout_s
        return Ticket(self._generation, is_probe=True)

    def finish(
        self, ticket: Ticket, succeeded: bool, now_s: float, random: Random
    ) -> None:
        """Record the result of an attempt.

        :param ticket: the ticket that :meth:`begin` returned for the attempt.
        :param succeeded: whether the attempt succeeded, as far as the target goes.
        :param now_s: the current time.
        :param random: source of the jitter.
        """
        if ticket.generation != self._generation:
            return
        if ticket.is_probe:
            self._finish_probe(succeeded, now_s, random)
            return
        self._record_result(succeeded, now_s)
        if self._should_open():
            self._open(now_s, random)

    def abandon(self, ticket: Ticket) -> None:
        """Release a ticket without a result, for example for a cancelled request."""
        if ticket.is_probe and ticket.generation == self._generation:
            self._probe_expires_s = -math.inf

    def _finish_probe(self, succeeded: bool, now_s: float, random: Random) -> None:
        self._probe_expires_s = -math.inf
        if not succeeded:
            self._open(now_s, random)
            return
        self._n_successful_probes += 1
        if self._n_successful_probes >= self.settings.n_probes_to_close:
            self.state = BreakerState.CLOSED
            self._n_consecutive_openings = 0
            self._generation += 1
            self._clear_results()

    def _record_result(self, succeeded: bool, now_s: float) -> None:
        self._n_consecutive_failures += 1
        if succeeded:
            self._n_consecutive_failures = 0
        self._results.append((now_s, succeeded))
        self._n_failed_in_window += not succeeded
        while self._results[0][0] < now_s - self.settings.window_s:
            _, old_succeeded = self._results.popleft()
            self._n_failed_in_window -= not old_succeeded

    def _should_open(self) -> bool:
        settings = self.settings
        if self._n_consecutive_failures >= settings.n_consecutive_failures:
            return True
        n_results = len(self._results)
        n_failures_to_open = settings.failure_share * n_results
        return n_results >= settings.n_window_min and (
            self._n_failed_in_window >= n_failures_to_open
        )

    def _open(self, now_s: float, random: Random) -> None:
        settings = self.settings
        # The exponent is bounded, because the power would overflow a float.
        wait_s = settings.open_min_s * 2.0 ** min(self._n_consecutive_openings, 60)
        wait_s = min(wait_s, settings.open_max_s)
        jitter = random.uniform(-settings.jitter_share, settings.jitter_share)
        self.state = BreakerState.OPEN
        self._n_consecutive_openings += 1
        self._n_successful_probes = 0
        self._next_probe_s = now_s + wait_s * (1 + jitter)
        self._generation += 1
        self._clear_results()

    def _clear_results(self) -> None:
        self._results.clear()
        self._n_failed_in_window = 0
        self._n_consecutive_failures = 0
