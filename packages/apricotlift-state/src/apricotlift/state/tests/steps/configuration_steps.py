"""Steps for changes of the configuration."""

import anyio
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.state import configuration
from apricotlift.state.configuration import (
    Proposal,
    apply_change,
    read_head,
    read_history,
    read_history_entry,
)
from apricotlift.state.declarations import digest_document, parse_declarations
from apricotlift.state.tests.configuration_fakes import FakeObjects, FakeTable
from behave import given, then, when

TEMPLATE = """
[fleet]
burst = {burst}
[account atlas]
models = wax
[model wax]
weight_version = {weights}
"""


class CorruptingObjects(FakeObjects):
    async def put(self, key, body):
        await super().put(key, body[:-1] + b" ")


def build_proposal(author, base, burst=1, weights="v1"):
    text = TEMPLATE.format(burst=burst, weights=weights)
    declarations = parse_declarations(text)
    return Proposal(declarations, base, author, f"for {author}")


def apply_proposal(context, proposal):
    context.result = context.error = None
    try:
        context.result = anyio.run(
            apply_change, context.fake_table, context.objects, Metrics(), proposal
        )
    except ApricotliftError as error:
        context.error = error


@given('the configuration has version {version:d} by "{author}"')
def commit_version(context, version, author):
    if version == 1:
        context.fake_table = FakeTable()
        context.objects = FakeObjects()
        original = configuration._RETRY_DELAYS_S
        configuration._RETRY_DELAYS_S = (0.0, 0.0)
        context.add_cleanup(setattr, configuration, "_RETRY_DELAYS_S", original)
    apply_proposal(context, build_proposal(author, version - 1, burst=version))
    assert context.result.version == version


@given('the configuration declares weight version "{weights}" in version {version:d}')
def commit_weights(context, weights, version):
    apply_proposal(context, build_proposal("ana", version - 1, weights=weights))
    assert context.result.version == version, context.error


@when('the configuration declares weight version "{weights}" again')
def declare_weights_again(context, weights):
    head = anyio.run(read_head, context.fake_table)
    apply_proposal(context, build_proposal("bo", head.version, weights=weights))


def schedule_competing_commit(context, author):
    async def commit():
        proposal = build_proposal(author, 1, burst=50)
        await apply_change(context.fake_table, context.objects, Metrics(), proposal)

    context.fake_table.before_write = commit


@when(
    'the configuration change of "{loser}" is overtaken by "{winner}" before its write'
)
def apply_overtaken_change(context, loser, winner):
    schedule_competing_commit(context, winner)
    apply_proposal(context, build_proposal(loser, 1, burst=40))


@when('the configuration change of "{loser}" is lost and "{winner}" commits')
def apply_lost_and_overtaken_change(context, loser, winner):
    # The first fault applies to the winner's write, which succeeds; the second one to
    # the loser's write, which is lost.
    context.fake_table.faults = [None, "refused"]
    schedule_competing_commit(context, winner)
    apply_proposal(context, build_proposal(loser, 1, burst=40))


@when('the configuration is changed by "{author}" from version {base:d}')
def change_from(context, author, base):
    apply_proposal(context, build_proposal(author, base, burst=40))


@when('the configuration is changed by "{author}" while the answer is "{fault}"')
def change_with_fault(context, author, fault):
    context.fake_table.faults = [fault]
    apply_proposal(context, build_proposal(author, 1, burst=40))


@when('the configuration is changed by "{author}" and the table fails after the write')
def change_before_outage(context, author):
    table = context.fake_table
    apply = table._apply

    def apply_and_fail(writes):
        apply(writes)
        table.is_down = True

    table._apply = apply_and_fail
    table.faults = ["lost"]
    apply_proposal(context, build_proposal(author, 1, burst=40))
    table._apply = apply


@when('the table is back and the configuration is changed by "{author}" again')
def change_again(context, author):
    context.fake_table.is_down = False
    apply_proposal(context, build_proposal(author, 1, burst=40))


@when('the configuration is changed by "{author}" while the table fails')
def change_without_table(context, author):
    table = context.fake_table

    async def fail():
        table.is_down = True

    table.before_write = fail
    apply_proposal(context, build_proposal(author, 1, burst=40))
    table.is_down = False


@when('the configuration is changed by "{author}" while the object store fails')
def change_without_objects(context, author):
    context.objects.refuses_writes = True
    apply_proposal(context, build_proposal(author, 1, burst=40))


@when('the configuration is changed by "{author}" while the stored content fails')
def change_with_corrupt_content(context, author):
    objects = CorruptingObjects()
    objects.objects.update(context.objects.objects)
    context.objects = objects
    apply_proposal(context, build_proposal(author, 1, burst=40))


@then('the configuration is at version {version:d} by "{author}"')
def check_head(context, version, author):
    async def check():
        head = await read_head(context.fake_table)
        assert head.version == version, head
        entry = await read_history_entry(context.fake_table, version)
        assert (entry.author, entry.digest) == (author, head.digest), entry
        assert await read_history_entry(context.fake_table, version + 1) is None
        body = await context.objects.get(head.digest)
        assert digest_document(body) == head.digest

    anyio.run(check)


@then("the configuration change created version {version:d}")
def check_made(context, version):
    assert context.result is not None, context.error
    assert context.result.version == version, context.result


@then('the configuration change conflicts with version {version:d} by "{author}"')
def check_conflict(context, version, author):
    assert context.error is not None, context.result
    assert context.error.code == "conflict", context.error
    winner = context.error.details["winner"]
    assert (winner["version"], winner["author"]) == (version, author), winner
    assert author in context.error.message and f"for {author}" in context.error.message


@then('the configuration change failed with "{code}" and ran "{ran}"')
def check_failed(context, code, ran):
    assert context.error is not None, context.result
    assert (context.error.code, context.error.ran) == (code, ran), context.error


@when("the configuration history is read")
def read_all_history(context):
    context.history = anyio.run(read_history, context.fake_table)


@then("the configuration history is")
def check_history(context):
    found = [
        {
            "version": str(entry.version),
            "author": entry.author,
            "message": entry.message,
            "summary": entry.summary[-1 if entry.version > 1 else 1],
        }
        for entry in context.history
    ]
    expected = [dict(row.items()) for row in context.table]
    assert found == expected, found
    assert all(entry.at_ms > 0 for entry in context.history)
