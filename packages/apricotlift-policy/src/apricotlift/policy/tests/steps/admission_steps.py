"""Steps for admission."""

from random import Random

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.policy.admission import (
    Admission,
    AdmissionRequest,
    AdmissionSettings,
    RequestClass,
    compute_fair_share,
)
from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

BATCH = RequestClass.BATCH


@given("a capacity of 100 and no queue")
def make_without_queue(context):
    context.admission = Admission(AdmissionSettings(n_waiting_max=0), 100)


@given("a capacity of 10 and a queue of 8 requests")
def make_with_queue(context):
    context.admission = Admission(AdmissionSettings(n_waiting_max=8), 10)


def send(admission, account, request_id="r", now_s=0.0, **fields):
    """Return the verdict, or the refusal."""
    try:
        return admission.decide(AdmissionRequest(request_id, account, **fields), now_s)
    except ApricotliftError as error:
        assert error.ran is Ran.NO
        return error


@then("the shares use the capacity and limit only large demands, for many demands")
def check_fair_share(context):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @any_of(st.lists(st.integers(1, 500), min_size=1), st.integers(1, 2000))
    def check(demands, capacity):
        share = compute_fair_share(demands, capacity)
        used = sum(min(demand, share) for demand in demands)
        assert abs(used - min(capacity, sum(demands))) < 1e-6
        assert share >= capacity / len(demands) - 1e-9

    check()


@when('account "large" sends {n:d} requests')
def send_large(context, n):
    context.results = [send(context.admission, "large") for _ in range(n)]


@then('100 of them are admitted and the others are refused with scope "account"')
def check_large(context):
    refusals = [r for r in context.results if isinstance(r, ApricotliftError)]
    assert len(refusals) == 400
    assert {refusal.code for refusal in refusals} == {Code.OVERLOADED}
    assert {refusal.scope for refusal in refusals} == {Scope.ACCOUNT}
    assert all(refusal.retry_after_s > 0 for refusal in refusals)


@then('five requests of account "small" are all admitted')
def check_small(context):
    results = [send(context.admission, "small") for _ in range(5)]
    assert results == ["admit"] * 5, results


@then('"large" is refused until it is below its fair share')
def check_large_shrinks(context):
    # The fair share of "large" is now 100 - 5 requests.
    for _ in range(5):
        assert isinstance(send(context.admission, "large"), ApricotliftError)
        context.admission.end("large", 2.0)
    assert context.admission.n_in_flight == 100
    context.admission.end("large", 2.0)
    assert send(context.admission, "large") == "admit"


@then("the fleet stays full down to 86 requests in flight and not at 85")
def check_hysteresis(context):
    admission = context.admission
    states = {100: send(admission, "large") and admission.is_full}
    while admission.n_in_flight > 84:
        admission.end("large", 2.0)
        states[admission.n_in_flight] = admission.is_full
    assert [n for n, full in states.items() if full] == list(range(100, 85, -1))
    while admission.n_in_flight < 99:
        assert send(admission, "large") == "admit"
    assert not admission.is_full


@when("the fleet is full and both classes wait")
def fill_and_wait(context):
    admission = context.admission
    for number in range(6):
        assert send(admission, "a", f"a{number}") == "admit"
    for number in range(5):
        assert send(admission, "b", f"b{number}") == "admit"
    # One above the capacity: an interactive request may overshoot it.
    assert send(admission, "c", "batch", request_class=BATCH) == "wait"
    assert send(admission, "c", "first") == "wait"
    assert send(admission, "d", "second") == "wait"


@then("interactive requests are admitted before batch ones that waited longer")
def check_classes(context):
    admission = context.admission
    admitted = []
    for account in ("a", "b", "a", "a"):
        admission.end(account, 2.0)
        ids, _ = admission.admit_waiting(1.0)
        admitted += ids
    assert admitted == ["first", "second", "batch"], admitted


@then("the account with fewer requests in flight goes first")
def check_waiting_accounts(context):
    admission = Admission(AdmissionSettings(), 10)
    for account in "aaabbbcccdd":
        assert send(admission, account) == "admit"
    assert send(admission, "d", "of-d") == "wait"
    assert send(admission, "e", "of-e") == "wait"
    admission.end("a", 2.0)
    assert admission.admit_waiting(1.0)[0] == ["of-e"]


@then("an interactive request doesn't wait behind a batch one")
def check_not_behind_batch(context):
    admission = Admission(AdmissionSettings(), 10)
    for _ in range(10):
        assert send(admission, "a") == "admit"
    assert send(admission, "b", "batch", request_class=BATCH) == "wait"
    assert send(admission, "c", "interactive") == "admit"


@then("an estimate beyond the deadline is refused at once, even when idle")
def check_deadline(context):
    result = send(context.admission, "a", time_left_s=1.0, estimated_s=1.5)
    assert (result.code, result.scope) == (Code.DEADLINE_UNREACHABLE, Scope.REQUEST)
    assert context.admission.n_in_flight == 0


def fill_fleet(context):
    for number in range(11):
        assert send(context.admission, f"account-{number}") == "admit"


@then("a request whose wait would end after the deadline is refused at once")
def check_wait_deadline(context):
    fill_fleet(context)
    result = send(context.admission, "late", time_left_s=1.0, estimated_s=0.9)
    assert result.code is Code.DEADLINE_UNREACHABLE


@then("a waiting request that can no longer meet its deadline is removed")
def check_expired_wait(context):
    admission = context.admission
    sent = send(admission, "late", "late", time_left_s=3.0, estimated_s=1.0)
    assert sent == "wait"
    admission.end("account-0", 2.0)
    assert admission.admit_waiting(2.5) == ([], ["late"])


@then('a full queue refuses with scope "fleet" and a declared limit with "account"')
def check_refusals(context):
    fill_fleet(context)
    results = [send(context.admission, f"more-{n}", f"m{n}") for n in range(9)]
    assert results[:8] == ["wait"] * 8
    assert (results[8].code, results[8].scope) == (Code.OVERLOADED, Scope.FLEET)
    assert results[8].retry_after_s > 0
    limited = send(context.admission, "account-1", account_limit=1)
    assert limited.code is Code.CONCURRENCY_LIMITED
    assert limited.scope is Scope.ACCOUNT
    assert limited.retry_after_s > 0


@then("after many random sequences no request and no account entry is left")
def check_counts(context):
    for seed in range(100):
        random = Random(seed)
        admission = Admission(AdmissionSettings(n_waiting_max=5), 20)
        running, waiting = [], {}
        for number in range(400):
            account = random.choice("aaaabbcde")
            request_class = random.choice(list(RequestClass))
            request_id = str(number)
            result = send(
                admission, account, request_id, number, request_class=request_class
            )
            if result == "admit":
                running.append(account)
            elif result == "wait":
                waiting[request_id] = account
            if running and random.random() < 0.4:
                admission.end(running.pop(random.randrange(len(running))), 2.0)
                ids, _ = admission.admit_waiting(number)
                running += [waiting.pop(request_id) for request_id in ids]
            assert admission.n_in_flight == len(running) <= 22
        for request_id in waiting:
            admission.cancel(request_id)
        for account in running:
            admission.end(account, 2.0)
        assert admission.n_in_flight == 0
        assert admission._accounts == {}
