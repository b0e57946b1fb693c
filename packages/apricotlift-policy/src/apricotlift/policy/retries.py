"""Retry budget, number of attempts and back-off.

A retry is paid for from a budget that grows with first attempts, so a failing
upstream group can't multiply its own load. Counters by reason are the caller's.
"""

from dataclasses import dataclass
from random import Random

from apricotlift.core.errors import Code, Ran


@dataclass(frozen=True)
class RetrySettings:
    """Limits on retries.

    :param budget_share: retries earned by each first attempt.
    :param n_free: retries that are available before any first attempt.
    :param n_saved_max: unspent retries that are kept. An engine that crashes breaks
        up to its in-flight limit of streams (64 by default) at once, and all of
        them have to continue elsewhere; a much larger store of retries would let a
        fleet-wide fault double the load for long.
    :param n_attempts_max: attempts per request, the first one included.
    :param backoff_s: upper bound of the wait before the first retry.
    :param backoff_max_s: upper bound of any wait.
    """

    budget_share: float = 0.1
    n_free: float = 3.0
    n_saved_max: float = 100.0
    n_attempts_max: int = 3
    backoff_s: float = 0.05
    backoff_max_s: float = 2.0


@dataclass(frozen=True)
class FailedAttempt:
    """What is known when an attempt has failed.

    :param n_attempts: attempts of this request so far, this one included.
    :param ran: whether the failed attempt ran.
    :param repeatable: whether the request may run more than once.
    :param time_left_s: time until the caller's deadline.
    :param retry_after_s: the wait that the upstream asked for.
    """

    n_attempts: int
    ran: Ran
    repeatable: bool = True
    time_left_s: float = float("inf")
    retry_after_s: float = 0.0


@dataclass(frozen=True)
class RetryDecision:
    """Whether to try again.

    :param retry: the verdict; a retry has been taken from the budget.
    :param delay_s: wait before the retry.
    :param code: why there is no retry. Nothing when the attempts are used up: the
        caller then receives the last attempt's own failure.
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
        self.n_saved = settings.n_free

    def add_first_attempt(self) -> None:
        """Earn the share of a retry that one first attempt brings."""
        settings = self.settings
        self.n_saved = min(settings.n_saved_max, self.n_saved + settings.budget_share)

    def take(self) -> bool:
        """Spend one retry if there is one."""
        # Ten shares of 0.1 add up to slightly less than 1 in binary floating point.
        if self.n_saved < 1 - 1e-9:
            return False
        self.n_saved = max(0.0, self.n_saved - 1)
        return True


def decide_retry(
    failed: FailedAttempt, budget: RetryBudget, settings: RetrySettings, random: Random
) -> RetryDecision:
    """Decide whether a request is tried again, and take the retry from the budget.

    :param failed: the attempt that has failed.
    :param budget: budget of the upstream group.
    :param settings: limits.
    :param random: source of the jitter.

    >>> failed = FailedAttempt(n_attempts=1, ran=Ran.MAYBE, repeatable=False)
    >>> settings = RetrySettings()
    >>> decide_retry(failed, RetryBudget(settings), settings, Random(1)).code.value
    'may_have_run'
    """
    if not failed.repeatable and failed.ran is not Ran.NO:
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
    """Return a wait between half and all of the exponential bound."""
    bound_s = settings.backoff_s * 2.0 ** min(n_attempts - 1, 60)
    return min(bound_s, settings.backoff_max_s) * random.uniform(0.5, 1.0)
