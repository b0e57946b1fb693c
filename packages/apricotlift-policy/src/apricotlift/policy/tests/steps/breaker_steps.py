"""Steps for the circuit breaker."""

from random import Random

from apricotlift.policy.breaker import Breaker, BreakerSettings
from behave import given, then, when


@given("a breaker with the default settings")
def make_breaker(context):
    context.breaker = Breaker(BreakerSettings())
    context.random = Random(7)


def run_attempt(context, succeeded, now_s):
    ticket = context.breaker.begin(now_s)
    assert ticket is not None
    context.breaker.finish(ticket, succeeded, now_s, context.random)


@when("{n:d} attempts fail at second {now_s:g}")
def fail_attempts(context, n, now_s):
    for _ in range(n):
        run_attempt(context, False, now_s)


@when("{n:d} attempts alternate between failure and success at second {now_s:g}")
def alternate_attempts(context, n, now_s):
    for number in range(n):
        run_attempt(context, number % 2 == 1, now_s)


@then("the breaker is open and refuses at second {now_s:g}")
def check_open(context, now_s):
    assert context.breaker.state == "open", context.breaker.state
    assert context.breaker.begin(now_s) is None


@then("it allows exactly one probe at second {now_s:g}")
def check_one_probe(context, now_s):
    tickets = [context.breaker.begin(now_s) for _ in range(3)]
    assert [ticket is not None for ticket in tickets] == [True, False, False]


@then('after 2 successful probes it is "half_open" and after 3 it is "closed"')
def check_closing(context):
    states = []
    for _ in range(3):
        run_attempt(context, True, 2.0)
        states.append(context.breaker.state)
    assert states == ["half_open", "half_open", "closed"], states


@then("the waits before {n:d} failing probes grow between {low:g} and {high:g} seconds")
def check_waits(context, n, low, high):
    now_s = 0.0
    waits = []
    for _ in range(n):
        wait_s = 0.0
        while not context.breaker.allows(now_s + wait_s):
            wait_s += 0.01
        waits.append(wait_s)
        now_s += wait_s
        run_attempt(context, False, now_s)
    assert all(low <= wait_s <= high + 0.02 for wait_s in waits), waits
    assert waits[4] > 4 * waits[0], waits


@then("results of attempts begun before the opening don't change the state")
def check_late_results(context):
    breaker = context.breaker
    early = [breaker.begin(0.0) for _ in range(6)]
    fail_attempts(context, 5, 0.0)
    for ticket in early[:3]:
        breaker.finish(ticket, True, 0.5, context.random)
    assert breaker.state == "open"
    for _ in range(3):
        run_attempt(context, True, 2.0)
    for ticket in early[3:]:
        breaker.finish(ticket, False, 2.0, context.random)
    assert breaker.state == "closed"


@then("a new probe is allowed after one is abandoned and after one times out")
def check_lost_probe(context):
    breaker = context.breaker
    ticket = breaker.begin(2.0)
    assert not breaker.allows(2.1)
    breaker.abandon(ticket)
    assert breaker.begin(2.1) is not None
    assert not breaker.allows(30.0)
    assert breaker.allows(32.2)
