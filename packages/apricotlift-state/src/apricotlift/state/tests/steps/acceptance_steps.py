"""Steps for the acceptance of a configuration, with a simulated clock."""

import anyio
from apricotlift.platform.table import Row
from apricotlift.state.acceptance import AcceptanceTracker, wait_for_acceptance
from apricotlift.state.memberlease import MEMBER_PK
from apricotlift.state.tests.configuration_fakes import FakeTable
from behave import given, then, when

READ_DURATION_S = 0.25


class SimulatedMembers:
    """A table whose lease rows depend on a clock that each read advances."""

    def __init__(self, rows):
        self.rows = [row.as_dict() for row in rows]
        self.fake = FakeTable()
        self.fake.on_read = self.advance
        self.now_s = 1000.0
        self.outage = (0.0, 0.0)

    def advance(self):
        self.now_s += READ_DURATION_S
        elapsed_s = self.now_s - 1000.0
        self.fake.is_down = self.outage[0] <= elapsed_s < self.outage[1]
        self.fake.rows.clear()
        for row in self.rows:
            word, _, rest = row["renews"].partition(" ")
            at_s = float(rest.removesuffix(" s")) if rest else 0.0
            if word == "until" and elapsed_s >= at_s:
                continue
            renewal = {"no": 0, "at": elapsed_s >= at_s}.get(word, self.now_s)
            self.fake.put(
                MEMBER_PK,
                row["node"],
                confirmed_version=int(row["confirms"]),
                failure_domain="a",
                renewal=renewal,
            )


@given("the configuration members")
def set_members(context):
    context.members = SimulatedMembers(context.table)


@given("the configuration table is down from {start:d} s to {end:d} s")
def set_outage(context, start, end):
    context.members.outage = (float(start), float(end))


@when("acceptance of configuration version {version:d} is awaited for {timeout:d} s")
def await_acceptance(context, version, timeout):
    context.reports = []

    async def wait():
        context.acceptance = await wait_for_acceptance(
            context.members.fake,
            version,
            float(timeout),
            context.reports.append,
            clock=lambda: context.members.now_s,
            poll_s=0.0,
        )

    anyio.run(wait)
    context.elapsed_s = context.members.now_s - 1000.0


@then("the configuration is accepted after {earliest:f} s at the earliest")
def check_accepted(context, earliest):
    assert context.acceptance.accepted, context.acceptance
    assert earliest <= context.elapsed_s <= earliest + 1.0, context.elapsed_s


@then('the configuration is not accepted and waits for "{names}"')
@then('the configuration is not accepted and waits for ""')
def check_not_accepted(context, names=""):
    assert not context.acceptance.accepted, context.acceptance
    waiting = ",".join(item.node_id for item in context.acceptance.waiting)
    assert waiting == names, context.acceptance


@then('the configuration acceptance reported that it waits for "{name}"')
def check_report(context, name):
    waiting = {item.node_id for report in context.reports for item in report.waiting}
    assert waiting == {name}, waiting


@then('the configuration acceptance lists "{name}" as expired')
def check_expired(context, name):
    assert context.acceptance.expired == (name,), context.acceptance


@then("the configuration acceptance reported the outage")
def check_outage_report(context):
    assert any(report.problem for report in context.reports), context.reports


def _build_lease_rows(confirmed, renewal):
    rows = [
        Row("member", name, {"confirmed_version": confirmed, "renewal": renewal})
        for name in ("n1", "n2", "n3")
    ]
    return [*rows, Row("member", "n4", {"confirmed_version": 1, "renewal": 1})]


@given(
    'the configuration acceptance tracker has seen "n4" expire while "n1, n2, n3" were behind'
)
def observe_expiry(context):
    context.acceptance_tracker = AcceptanceTracker(2)
    for second in range(14):
        found = context.acceptance_tracker.evaluate(
            _build_lease_rows(1, second), float(second), float(second)
        )
    assert found.expired == ("n4",), found
    assert not found.accepted


@when('the configuration acceptance tracker sees "n1, n2, n3" confirm')
def observe_confirmation(context):
    found = context.acceptance_tracker.evaluate(_build_lease_rows(2, 14), 14.0, 14.0)
    assert not found.accepted, found


@then("the configuration acceptance tracker accepts after 10 s more and not after 9 s")
def check_late_acceptance(context):
    evaluate = context.acceptance_tracker.evaluate
    assert not evaluate(_build_lease_rows(2, 15), 23.0, 23.0).accepted
    assert evaluate(_build_lease_rows(2, 16), 24.0, 24.0).accepted
