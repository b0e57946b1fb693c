"""Steps for the index of prefix runs."""

from apricotlift.core.metrics import Metrics
from apricotlift.state.prefixes import PrefixIndex
from apricotlift.wire.messages import PrefixRun
from behave import given, then, when


def _parse_chain(text):
    return [name.strip().encode() for name in text.split(",")]


@given("an index of prefix runs")
def build_index(context):
    context.prefix_index = PrefixIndex(Metrics(), clock=lambda: 100.0)


@given("the index stores at most {n:d} blocks of a holder")
def limit_blocks(context, n):
    context.prefix_index.max_blocks_per_holder = n


@given('holder "{holder}" of boot "{boot_id}" is reported with "{blocks}"')
def report_run(context, holder, boot_id, blocks):
    chain = _parse_chain(blocks)
    run = PrefixRun(holder, False, boot_id, chain, 0, 0)
    context.prefix_index.record(chain[0], [run])


@when('boot "{boot_id}" of "{holder}" drops "{blocks}"')
def drop_blocks(context, boot_id, holder, blocks):
    context.prefix_index.remove_blocks(b"root", holder, boot_id, _parse_chain(blocks))


@when('boot "{boot_id}" of "{holder}" drops everything')
def drop_holder(context, boot_id, holder):
    context.prefix_index.remove_holder(holder, boot_id)


@then('the chain "{blocks}" is found on "{holder}" with {n:d} blocks')
def check_found(context, blocks, holder, n):
    chain = _parse_chain(blocks)
    runs = {run.holder: run for run in context.prefix_index.locate(chain[0], chain)}
    assert runs[holder].blocks == chain[:n], runs


@then('the chain "{blocks}" is found nowhere')
def check_not_found(context, blocks):
    chain = _parse_chain(blocks)
    assert context.prefix_index.locate(chain[0], chain) == []
    assert context.prefix_index.n_shards == 0
