"""Steps for the lease row of a node, with a fake table and clock."""

import json
from random import Random

import anyio
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.platform.table import Row
from apricotlift.state.memberlease import (
    MEMBER_PK,
    Lease,
    parse_summary_row,
    write_for_peer,
)
from apricotlift.state.tests.membership_fakes import (
    FakeClock,
    FakeTable,
    build_summary,
)
from apricotlift.state.view import MemberState
from apricotlift.wire.messages import RenewLease
from behave import given, then, when

WALL_MS = 1_700_000_000_000


def run(function, *arguments, **named):
    async def main():
        return await function(*arguments, **named)

    return anyio.run(main)


def build_lease(context, wall_ms=WALL_MS, seed=1):
    async def ask_peer(message):
        if context.peer_table is None:
            raise ApricotliftError(Code.PEER_UNREACHABLE, "no peer")
        await write_for_peer(context.peer_table, "node-a", message)

    return Lease(
        context.rows_table,
        build_summary("node-a"),
        ask_peer,
        Metrics(),
        Random(seed),
        context.clock,
        lambda: wall_ms,
    )


@given("a membership lease in a table whose writes take {seconds:d} s")
def build_slow_lease(context, seconds):
    context.clock = FakeClock()
    context.rows_table = FakeTable(context.clock)
    context.peer_table = None
    context.lease = build_lease(context)
    context.rows_table.write_duration_s = seconds


@given("a membership lease that is held")
def build_held_lease(context):
    build_slow_lease(context, 0)
    context.lease.detect_pause()
    assert run(context.lease.renew)
    context.old_incarnation = context.lease.incarnation


@given("a membership lease that is held and a peer that reaches the table")
def build_lease_with_peer(context):
    build_held_lease(context)
    context.peer_table = FakeTable()
    context.peer_table.rows = context.rows_table.rows


@when("the membership lease is renewed")
def renew(context):
    run(context.lease.renew)


@when("the next membership write is {fault} and the lease publishes version {n:d}")
def publish_version(context, fault, n):
    context.rows_table.faults = [fault]
    context.clock.now += 4
    run(context.lease.publish, confirmed_version=n)


@when("the membership lease publishes draining")
def publish_draining(context):
    assert run(context.lease.publish, MemberState.DRAINING)


@when("the delayed membership write arrives")
def deliver(context):
    assert context.rows_table.delayed
    context.rows_table.deliver()


@when("node-a starts again with its wall clock an hour back")
def restart(context):
    context.restarted_lease = build_lease(context, WALL_MS - 3_600_000, seed=2)
    assert context.restarted_lease.incarnation < context.old_incarnation
    assert run(context.restarted_lease.renew)


@when("the process pauses for {seconds:d} s and the membership lease detects it")
def pause(context, seconds):
    context.clock.now += seconds
    assert context.lease.detect_pause()


@when("the table is down for {seconds:d} s while the membership lease runs")
def run_outage(context, seconds):
    context.rows_table.is_down = True
    for _ in range(seconds):
        context.clock.now += 1
        assert not context.lease.detect_pause()
        assert not run(context.lease.renew)


@when("the table is cut off and the membership lease publishes draining")
def cut_off(context):
    context.rows_table.is_down = True
    context.clock.now += 4
    assert run(context.lease.publish, MemberState.DRAINING)


@when("the table is back for the membership lease")
def restore_table(context):
    context.rows_table.is_down = False


@when("a peer is asked for a membership renewal with {fault}")
def ask_peer(context, fault):
    values = dict(context.rows_table.rows["node-a"].values)
    values["renewal"] += 1
    if fault == "an old renewal number":
        values["renewal"] -= 1
    elif fault == "another incarnation":
        values["incarnation"] = "f" * 20
    elif fault == "a row that was left":
        del context.rows_table.rows["node-a"]
    else:
        values["state"] = 1
    context.rows = dict(context.rows_table.rows)
    try:
        run(write_for_peer, context.rows_table, "node-a", RenewLease(values, ""))
        context.code = ""
    except ApricotliftError as error:
        context.code = error.code


@when("the next membership write is {fault} and the lease is deleted")
def delete(context, fault):
    context.rows_table.faults = [fault]
    assert run(context.lease.delete)


@when("the membership row of node-a is deleted by another node")
def delete_row(context):
    del context.rows_table.rows["node-a"]


@then("the membership lease is held for {seconds:d} s more")
def check_held(context, seconds):
    now = context.clock.now
    context.clock.now = now + seconds - 0.01
    assert context.lease.is_held()
    context.clock.now = now + seconds
    assert not context.lease.is_held()
    context.clock.now = now


@then("the membership lease can be renewed")
def check_renewal(context):
    assert run(context.lease.renew)
    assert context.lease.is_held()


@then("the membership row of node-a has {name} {value}")
def check_row(context, name, value):
    row = context.rows_table.rows["node-a"]
    if name == "the":
        assert context.lease.incarnation > context.old_incarnation
        assert row.values["incarnation"] == context.lease.incarnation
    else:
        assert str(row.values[name]) == value, row


@then("the new membership incarnation is above the old one")
def check_incarnation(context):
    assert context.restarted_lease.incarnation > context.old_incarnation


@then("the old membership lease is superseded and leaves the row alone")
def check_superseded(context):
    row = context.rows_table.rows["node-a"]
    assert row.values["incarnation"] == context.restarted_lease.incarnation
    assert not run(context.lease.renew)
    assert context.lease.is_superseded
    assert not context.lease.is_held()
    assert context.rows_table.rows["node-a"] == row
    assert run(context.restarted_lease.renew)


@then("the membership lease is not held and has {article} {age} incarnation")
def check_lost(context, article, age):
    assert not context.lease.is_held()
    is_new = context.lease.incarnation > context.old_incarnation
    assert is_new == (age == "new")


@then("the membership peer refuses with {code} and the row is unchanged")
def check_refused(context, code):
    assert context.code == code, context.code
    assert context.rows_table.rows == context.rows


@then("there is no membership row of node-a")
def check_no_row(context):
    assert context.rows_table.rows == {}


_USABLE_VALUES = {
    "incarnation": f"{WALL_MS:012x}" + "0" * 8,
    "renewal": 1,
    "peer_address": "127.0.0.1:1",
    "caller_address": "127.0.0.1:2",
    "failure_domain": "domain-1",
    "state": "serving",
    "confirmed_version": 0,
}
_ODD_VALUES = {"2**70": 2**70, '"f" * 20': "f" * 20, '"\\ud800"': "\ud800"}


@when("another program writes the membership row of node-a with {fault}")
def write_odd_row(context, fault):
    known = context.rows_table.rows.get("node-a")
    values = dict(known.values if known else _USABLE_VALUES)
    if fault == "no values":
        values = {}
    else:
        _, name, text = fault.split(" ", 2)
        is_named = text in _ODD_VALUES
        values[name] = _ODD_VALUES[text] if is_named else json.loads(text)
    context.rows_table.rows["node-a"] = Row("member", "node-a", values)


@then("the membership row of node-a is usable again")
def check_usable(context):
    row = context.rows_table.rows["node-a"]
    summary = parse_summary_row(row)
    assert summary is not None and summary.incarnation == context.lease.incarnation
    assert summary.incarnation[0] == "0" and row.values["renewal"] < 2**63, row


@when("the table comes back with {row} of node-a")
def restore_rows(context, row):
    rows = context.rows_table.rows
    if row == "no row":
        del rows["node-a"]
    else:
        values = {**rows["node-a"].values, "renewal": 1, "state": "serving"}
        if row == "the row of an earlier process":
            values["incarnation"] = "0" * 20
        rows["node-a"] = Row(MEMBER_PK, "node-a", values)
    context.lease.handle_restore()


@then("the membership lease keeps its incarnation")
def check_same_incarnation(context):
    assert not context.lease.is_superseded
    assert context.lease.incarnation == context.old_incarnation
    row = context.rows_table.rows["node-a"]
    assert row.values["incarnation"] == context.old_incarnation, row
