"""Steps for limits."""

from apricotlift.core.errors import ApricotliftError, Code, Scope
from apricotlift.policy.limits import Quota, RequestLimiter
from behave import given, then
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

LARGE_QUOTA = Quota(rate_per_s=1000, burst=1000, max_in_flight=1000)


def get_refusal(limits, consumer, account_quota, consumer_quota, now_s=0.0):
    try:
        limits.begin("bee", consumer, account_quota, consumer_quota, now_s)
    except ApricotliftError as error:
        return error
    return None


@given("a consumer burst of 2 and an account burst of 3")
def make_limits(context):
    context.limits = RequestLimiter()
    context.account = Quota(rate_per_s=1, burst=3, max_in_flight=100)
    context.consumer = Quota(rate_per_s=1, burst=2, max_in_flight=100)


def send(context, consumer):
    return get_refusal(context.limits, consumer, context.account, context.consumer)


@then('the consumer\'s third request is refused with scope "consumer"')
def check_consumer_scope(context):
    errors = [send(context, "app") for _ in range(3)]
    assert errors[:2] == [None, None]
    assert errors[2].scope is Scope.CONSUMER


@then('another consumer\'s second request is refused with scope "account"')
def check_account_scope(context):
    assert send(context, "web") is None
    error = send(context, "web")
    assert (error.code, error.scope) == (Code.RATE_LIMITED, Scope.ACCOUNT)


@then("after 100 refused requests of one consumer another's request is accepted")
def check_refused_not_counted(context):
    errors = [send(context, "app") for _ in range(102)]
    assert sum(error is not None for error in errors) == 100
    assert send(context, "web") is None


@then("a request sent after retry_after_s is accepted, for many rates and times")
def check_retry_after(context):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @any_of(st.floats(0.01, 500), st.floats(1, 50), st.lists(st.floats(0, 10)))
    def check(rate_per_s, burst, gaps):
        quota = Quota(rate_per_s, burst, max_in_flight=10_000)
        limits = RequestLimiter()
        now_s = 0.0
        for gap_s in [*gaps, *[0.0] * 60]:
            now_s += gap_s
            error = get_refusal(limits, "app", LARGE_QUOTA, quota, now_s)
            if error is not None:
                now_s += error.retry_after_s
                assert get_refusal(limits, "app", LARGE_QUOTA, quota, now_s) is None

    check()


@then("an in-flight limit of 5 accepts 5 of 8 requests, and one more after one ends")
def check_in_flight(context):
    limits = RequestLimiter()
    quota = Quota(rate_per_s=100, burst=100, max_in_flight=5)
    errors = [get_refusal(limits, "app", quota, LARGE_QUOTA) for _ in range(8)]
    assert sum(error is None for error in errors) == 5
    assert errors[-1].code is Code.CONCURRENCY_LIMITED
    limits.end("bee", "app")
    assert get_refusal(limits, "app", quota, LARGE_QUOTA) is None
    assert get_refusal(limits, "app", quota, LARGE_QUOTA) is not None


@then("a quota of 1 request divided among 3 instances still admits one request")
def check_divided(context):
    quota = Quota(rate_per_s=1, burst=1, max_in_flight=1).divide(3)
    limits = RequestLimiter()
    assert get_refusal(limits, "app", quota, quota) is None
    assert get_refusal(limits, "app", quota, quota) is not None


@then("entries without requests in flight are deleted and the others are kept")
def check_deleted_entries(context):
    limits = RequestLimiter()
    for number in range(50):
        assert get_refusal(limits, f"app-{number}", LARGE_QUOTA, LARGE_QUOTA) is None
    for number in range(49):
        limits.end("bee", f"app-{number}")
    assert limits.forget_idle(idle_s=60, now_s=100.0) == 49
    limits.end("bee", "app-49")
