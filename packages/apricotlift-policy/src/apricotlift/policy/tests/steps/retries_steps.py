"""Steps for retries."""

from random import Random

from apricotlift.core.errors import Code, Ran
from apricotlift.policy.retries import (
    FailedAttempt,
    RetryBudget,
    RetrySettings,
    compute_backoff_s,
    decide_retry,
)
from behave import then, when

SETTINGS = RetrySettings()


def run_request(budget, random, fails):
    """Run one request and return its number of attempts."""
    budget.add_first_attempt()
    n_attempts = 1
    while fails():
        failed = FailedAttempt(n_attempts, Ran.MAYBE)
        if not decide_retry(failed, budget, SETTINGS, random).retry:
            break
        n_attempts += 1
    return n_attempts


@when("{n:d} requests run against a group that fails {percent:d} percent of attempts")
def run_requests(context, n, percent):
    random = Random(3)
    budget = RetryBudget(SETTINGS)
    context.attempts = [
        run_request(budget, random, lambda: random.random() * 100 < percent)
        for _ in range(n)
    ]


@then("attempts are at most 1.1 times the requests plus 3, and 3 for each request")
def check_load(context):
    n_requests = len(context.attempts)
    assert sum(context.attempts) <= 1.1 * n_requests + 3 + 1e-6
    assert max(context.attempts) <= 3


@when("1000 requests have succeeded and 64 streams break at once")
def break_streams(context):
    budget = RetryBudget(SETTINGS)
    for _ in range(1000):
        budget.add_first_attempt()
    failed = FailedAttempt(1, Ran.MAYBE)
    context.decisions = [
        decide_retry(failed, budget, SETTINGS, Random(1)) for _ in range(64)
    ]


@then("all 64 streams are retried")
def check_all_retried(context):
    assert all(decision.retry for decision in context.decisions)


@then("a non-repeatable request is retried only if it is known not to have run")
def check_non_repeatable(context):
    for ran in Ran:
        failed = FailedAttempt(1, ran, is_repeatable=False)
        budget = RetryBudget(SETTINGS)
        decision = decide_retry(failed, budget, SETTINGS, Random(1))
        assert decision.retry is (ran is Ran.NO), ran


@then("waits lie between half and all of a bound that doubles from 50 ms to 2 s")
def check_waits_bounded(context):
    random = Random(1)
    for n_attempts in range(1, 2000):
        bound_s = min(2.0, 0.05 * 2 ** min(n_attempts - 1, 20))
        wait_s = compute_backoff_s(n_attempts, SETTINGS, random)
        assert bound_s / 2 <= wait_s <= bound_s, (n_attempts, wait_s)


@then("a retry that would start after the deadline is refused and not charged")
def check_retry_deadline(context):
    budget = RetryBudget(SETTINGS)
    failed = FailedAttempt(1, Ran.NO, time_left_s=1.0, retry_after_s=1.5)
    decision = decide_retry(failed, budget, SETTINGS, Random(1))
    assert decision.code is Code.DEADLINE_EXCEEDED
    assert budget.n_available == SETTINGS.n_initial
