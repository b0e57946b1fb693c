"""Steps for a node's view of the members."""

from dataclasses import replace

from apricotlift.core.metrics import Metrics
from apricotlift.state.tests.membership_fakes import FakeClock, build_summary
from apricotlift.state.view import MembershipView
from behave import given, then, when


def parse_summary(node_id, text):
    number, state = text.split()
    return build_summary(node_id, number.rjust(20, "0"), state=state)


def read_owners(context):
    keys = [f"shard {number}" for number in range(300)]
    return {key: context.view.choose_owners(key) for key in keys}


@given("a membership view that knows node-b as {known}")
def build_view(context, known):
    context.clock = FakeClock()
    context.view = MembershipView(build_summary("node-a"), Metrics(), context.clock)
    context.view.apply_summary(parse_summary("node-b", known))


@given("a membership view of {n:d} members in {n_domains:d} failure domains")
def build_full_view(context, n, n_domains):
    context.clock = FakeClock()
    members = [
        build_summary(f"node-{number:02d}", domain=f"domain-{number % n_domains}")
        for number in range(n)
    ]
    context.view = MembershipView(members[0], Metrics(), context.clock)
    context.view.apply_table(members)
    for member in context.view.members.values():
        context.view.record_heard(member, context.clock.now)
    context.owners = read_owners(context)


@when("the membership view receives {node_id} as {told} from {source}")
def apply_told_summary(context, source, node_id, told):
    summary = parse_summary(node_id, told)
    if source.endswith("table"):
        context.view.apply_table([summary])
    else:
        context.view.apply_summary(summary)


@when("the membership view reads an empty table")
def read_empty_table(context):
    context.view.apply_table([])


@when("{seconds:g} s pass for the membership view")
def pass_time(context, seconds):
    context.clock.now += seconds


@when("the membership view hears all members but {node_id} 6 s later")
def hear_all_but(context, node_id):
    context.clock.now += 6
    for name, member in context.view.members.items():
        if name != node_id:
            context.view.record_heard(member, context.clock.now)


@when("the membership view receives {node_id} as draining")
def drain(context, node_id):
    summary = context.view.members[node_id].summary
    context.view.apply_summary(replace(summary, state="draining"))


@when("the membership view has proof of {n:d} members and only hints of {n_heard:d}")
def prove_members(context, n, n_heard):
    others = list(context.view.members.values())[1:]
    for member in others[:n]:
        context.view.record_proof(member, context.clock.now, 1)
    for member in others[n : n + n_heard]:
        context.view.record_heard(member, context.clock.now)


@then("the membership view knows {node_id} as {result}")
def check_known(context, node_id, result):
    member = context.view.members.get(node_id)
    if result == "nothing":
        assert member is None, member
    else:
        assert member.summary == parse_summary(node_id, result), member


@then("the membership view suspects only {node_id}")
def check_suspected(context, node_id):
    names = [name for name in context.view.members if context.view.is_suspected(name)]
    assert names == [node_id], names


@then("of 300 shards only those of {node_id} have other owners")
def check_moved(context, node_id):
    n_moved = 0
    for key, owners in read_owners(context).items():
        if node_id in context.owners[key]:
            n_moved += 1
            assert node_id not in owners
        else:
            assert owners == context.owners[key], key
    assert n_moved > 20, n_moved


@then("the membership owners of each shard are in different failure domains")
def check_domains(context):
    members = context.view.members
    for owners in read_owners(context).values():
        domains = {members[name].summary.failure_domain for name in owners}
        assert len(domains) == 2, owners


@then("the membership view doesn't list {node_id} to callers")
def check_unnamed(context, node_id):
    names = [summary.node_id for summary in context.view.get_serving()]
    assert len(names) == 11, names
    assert node_id not in names


@then("the membership majority is {heard:d} of {n:d}")
def check_majority(context, heard, n):
    majority = context.view.check_majority()
    assert (majority.n_heard, majority.n_members) == (heard, n), majority
    assert majority.is_majority == (heard * 2 > n)


@when("the membership view reads a table with an unusable row of node-b")
def read_unusable_row(context):
    context.view.apply_table([], unusable_ids={"node-b"})


@then("the membership view still holds node-b")
def check_still_held(context):
    assert "node-b" in context.view.members


@when("the membership view receives a summary of node-c with the {name} {value}")
def receive_odd_summary(context, name, value):
    value = value.replace("\\ud800", "\ud800")
    summary = replace(build_summary("node-c"), **{name: value})
    context.view.apply_summary(summary)


@then("the membership view doesn't hold node-c")
def check_not_held(context):
    assert "node-c" not in context.view.members
