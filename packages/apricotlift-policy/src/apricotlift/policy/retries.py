"""Retry budget, limit on attempts and back-off.

Each retry is taken from a budget that grows with first attempts, so retries can't
multiply the load on a failing upstream group. Metrics of retries by reason are
counted by the caller.
"""

from dataclasses import dataclass
from random import Random

from apricotlift.core.errors import Code, Ran


@dataclass(frozen=True)
class RetrySettings:
    """Limits on retries.

    :param budget_share: retries added to the budget by each first attempt.
    :param n_initial: initial budget, before any first attempt.
    :param n_available_max: upper limit of the budget. An engine that crashes breaks up
        to its in-flight limit of streams (64 by default) at once, and all of them have
        to continue on other upstreams; with a much larger budget, a fault of the whole
        fleet would double the load for a long time.
    :param n_attempts_max: attempts per request, including the first one.
    :param backoff_s: upper bound of the wait before the first retry.
    :param backoff_max_s: upper bound of any wait.
    """

    budget_share: float = 0.1
    n_initial: float = 3.0
    n_available_max: float = 100.0
    n_attempts_max: int = 3
    backoff_s: float = 0.05
    backoff_max_s: float = 2.0


@dataclass(frozen=True)
class FailedAttempt:
    """A failed attempt, as input to the retry decision.

    :param n_attempts: attempts of this request so far, including this one.
    :param ran: whether the failed attempt ran on the upstream.
    :param is_repeatable: whether the request may run more than once.
    :param time_left_s: time until the caller's deadline.
    :param retry_after_s: shortest wait that the upstream requested.
    """

    n_attempts: int
    ran: Ran
    is_repeatable: bool = True
    time_left_s: float = float("inf")
    retry_after_s: float = 0.0


@dataclass(frozen=True)
class RetryDecision:
    """Whether and when to retry.

    :param retry: whether to retry; if so, the retry has been taken from the budget.
    :param delay_s: wait before the retry.
    :param code: reason for not retrying, or ``None`` if the limit on attempts is
        reached: the caller then receives the failure of the last attempt.
    """

    retry: bool
    delay_s: float = 0.0
    code: Code | None = None


class RetryBudget:
    """Retry budget of one upstream group.

    >>> budget = RetryBudget(RetrySettings())
    >>> [budget.take() for _ in range(4)]
    [True, True, True, False]
    """

    def __init__(self, settings: RetrySettings):
        self.settings = settings
        self.n_available = settings.n_initial

    def add_first_attempt(self) -> None:
        """Increase the budget by the share that a first attempt adds."""
        settings = self.settings
        self.n_available = min(
            settings.n_available_max, self.n_available + settings.budget_share
        )

    @property
    def has_retry(self) -> bool:
        """Whether the budget holds at least one retry."""
        # Ten shares of 0.1 add up to slightly less than 1 in binary floating point.
        return self.n_available >= 1 - 1e-9

    def take(self) -> bool:
        """Take one retry from the budget.

        :returns: whether the budget held at least one retry.
        """
        if not self.has_retry:
            return False
        self.n_available = max(0.0, self.n_available - 1)
        return True


def decide_retry(
    failed: FailedAttempt, budget: RetryBudget, settings: RetrySettings, random: Random
) -> RetryDecision:
    """Decide whether to retry a request, and if so take the retry from the budget.

    :param failed: the failed attempt.
    :param budget: budget of the upstream group.
    :param settings: limits on attempts and back-off.
    :param random: source of the jitter.

    >>> failed = FailedAttempt(n_attempts=1, ran=Ran.MAYBE, is_repeatable=False)
    >>> settings = RetrySettings()
    >>> decide_retry(failed, RetryBudget(settings), settings, Random(1)).code.value
    'may_have_run'
    """
    if not failed.is_repeatable and failed.ran is not Ran.NO:
        return RetryDecision(retry=False, code=Code.MAY_HAVE_RUN)
    if failed.n_attempts >= settings.n_attempts_max:
        return RetryDecision(retry=False)
    backoff_s = compute_backoff_s(failed.n_attempts, settings, random)
    delay_s = max(backoff_s, failed.retry_after_s)
    if delay_s >= failed.time_left_s:
        return RetryDecision(retry=False, code=Code.DEADLINE_EXCEEDED)
    if not budget.take():
        return RetryDecision(retry=False, code=Code.RETRY_BUDGET_EXHAUSTED)
    return RetryDecision(retry=True, delay_s=delay_s)


def compute_backoff_s(
    n_attempts: int, settings: RetrySettings, random: Random
) -> float:
    """Return a random wait between half and all of the exponential bound.

    :param n_attempts: attempts so far; the bound doubles with each of them.
    :param random: source of the jitter.
    """
    bound_s = settings.backoff_s * 2.0 ** min(n_attempts - 1, 60)
    return min(bound_s, settings.backoff_max_s) * random.uniform(0.5, 1.0)
