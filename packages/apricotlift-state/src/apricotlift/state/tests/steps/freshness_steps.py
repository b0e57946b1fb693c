"""Steps for the freshness of a node's configuration and the admission that depends on it."""

import math

from apricotlift.core.errors import ApricotliftError, Ran
from apricotlift.core.metrics import Metrics
from apricotlift.state.freshness import Freshness
from apricotlift.state.tests.membership_fakes import FakeClock
from apricotlift.state.view import Majority
from behave import given, then, when


@given("a freshness state without a version")
def build_state(context):
    context.clock = FakeClock()
    context.metrics = Metrics()
    context.freshness = Freshness(context.metrics, context.clock)


@given("a freshness state with version {version:d} confirmed {age:g} s ago")
def build_confirmed_state(context, version, age):
    build_state(context)
    context.clock.now = 50_000
    context.freshness.observe_read(version, context.clock.now - age)
    context.freshness.put_in_force(version)


@when(
    "freshness admission is checked with {heard:d} of {n:d} members heard and newest version {newest:d}"
)
def check_admission(context, heard, n, newest):
    try:
        context.result = context.freshness.check_admission(Majority(n, heard, newest))
    except ApricotliftError as error:
        assert error.ran == Ran.NO
        context.result = error.code


@when("a freshness read that began {ago:g} s ago returns version {version:d}")
def observe_read(context, ago, version):
    context.freshness.observe_read(version, context.clock.now - ago)


@when(
    "a freshness peer asked {ago:g} s ago answers version {version:d} of age {age:g} s"
)
def observe_peer(context, ago, version, age):
    context.freshness.observe_peer(version, age, context.clock.now - ago)


@when("version {version:d} is put in force in the freshness state")
def put_in_force(context, version):
    context.freshness.put_in_force(version)


@when("the freshness state requires a confirmation after a pause")
def note_pause(context):
    context.freshness.require_confirmation(context.clock.now)


@then("freshness admission results in {result}")
def check_result(context, result):
    assert context.result == result, context.result


@then("the freshness age is {age} s with version {version:d}")
def check_age(context, age, version):
    assert context.freshness.version == version
    found = context.freshness.get_age()
    assert math.isclose(found, float(age), abs_tol=1e-6), found


@then("{n:d} freshness regressions were counted")
def check_regressions(context, n):
    assert sum(context.metrics.counters["config_regressions_total"].values()) == n
