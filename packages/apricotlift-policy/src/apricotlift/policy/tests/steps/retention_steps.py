"""Steps for retention."""

from dataclasses import replace

from apricotlift.policy.retention import (
    Block,
    RetentionSettings,
    ReturnEstimator,
    StoreSpace,
    choose_drops,
    choose_exports,
    compute_value,
)
from behave import given, then
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

SETTINGS = RetentionSettings()
HOUR_S = 3600.0
BLOCK_BYTES = 131_072_000
STORES = [StoreSpace("east", "zone-1", 1e12), StoreSpace("west", "zone-2", 1e12)]


def build_block(account, position, **changes):
    name = f"{account}-{position}"
    block = Block(name, account, position, BLOCK_BYTES, 0.125, (HOUR_S,))
    return replace(block, **changes)


@given('an account "daily" that returns after 20 hours and "once" that never does')
def make_ages(context):
    context.returns = ReturnEstimator(SETTINGS)
    for _ in range(500):
        context.returns.add_return("daily", 20 * HOUR_S)
        context.returns.add_no_return("once", 1000 * HOUR_S)
    daily = [build_block("daily", position) for position in range(10)]
    once = [build_block("once", position) for position in range(10)]
    context.blocks = [*once, *reversed(daily)]


def export(context, stores=STORES, settings=SETTINGS, max_bytes=1e12):
    return choose_exports(context.blocks, stores, context.returns, settings, max_bytes)


@then("at an age of one hour their estimates are above 0.9 and below 0.1")
def check_learned(context):
    assert context.returns.estimate("daily", HOUR_S) > 0.9
    assert context.returns.estimate("once", HOUR_S) < 0.1


@then('a conversation of "daily" that is 10 days old is unlikely to return')
def check_old_conversation(context):
    assert context.returns.estimate("daily", 240 * HOUR_S) < 0.1


@then("an account without history has an estimate between 0.1 and 0.9")
def check_prior(context):
    assert 0.1 < context.returns.estimate("new", HOUR_S) < 0.9


@then("after 30000 returns, 30000 ends without a return bring it below 0.2")
def check_changed_account(context):
    returns = ReturnEstimator(SETTINGS)
    for _ in range(30_000):
        returns.add_return("bee", 20 * HOUR_S)
    for _ in range(30_000):
        returns.add_no_return("bee", 1000 * HOUR_S)
    assert returns.estimate("bee", HOUR_S) < 0.2


@then("estimates lie between 0 and 1, grow with the horizon and have no jumps")
def check_probabilities(context):
    ages = st.floats(0, 2e6)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @any_of(st.lists(st.tuples(ages, st.booleans()), max_size=60), ages)
    def check(history, age_s):
        shorter = ReturnEstimator(replace(SETTINGS, horizon_s=HOUR_S))
        longer = ReturnEstimator(SETTINGS)
        for returns in (shorter, longer):
            for past_age_s, returned in history:
                add = returns.add_return if returned else returns.add_no_return
                add("bee", past_age_s)
        low, high = shorter.estimate("bee", age_s), longer.estimate("bee", age_s)
        assert 0 <= low <= high + 1e-12 <= 1 + 1e-9
        assert abs(longer.estimate("bee", age_s + 1e-6) - high) < 1e-3

    check()


@then('only blocks of "daily" are exported, first positions first')
def check_exports(context):
    exports = export(context, settings=replace(SETTINGS, n_copies_max=1))
    assert [e.block.position for e in exports] == list(range(10))
    assert {e.block.account for e in exports} == {"daily"}


@then("if 5 copies fit, the first 5 positions are exported to one store")
def check_partial_export(context):
    exports = export(context, max_bytes=5 * BLOCK_BYTES)
    assert [e.block.position for e in exports] == list(range(5))
    assert len({e.store for e in exports}) == 1


@then("no block is exported to an unusable store")
def check_unusable_store(context):
    stores = [replace(STORES[0], usable=False), STORES[1]]
    assert {e.store for e in export(context, stores)} == {"west"}


@then("a fifth of the bytes gets a second copy, in another failure domain")
def check_second_copies(context):
    first, second = {}, {}
    for entry in export(context):
        copies = second if entry.block.block_id in first else first
        copies[entry.block.block_id] = entry.store
    assert len(first) == 10
    assert set(second) == {"daily-0", "daily-1"}
    assert all(first[name] != store for name, store in second.items())


@then("with one failure domain or one copy allowed there is no second copy")
def check_no_second_copy(context):
    one_domain = [replace(store, failure_domain="zone-1") for store in STORES]
    assert len(export(context, one_domain)) == 10
    assert len(export(context, settings=replace(SETTINGS, n_copies_max=1))) == 10


@then("100 new blocks displace blocks of the account with 900, none of that with 50")
def check_fair_drops(context):
    blocks = [build_block("large", n, ages_s=(60.0,)) for n in range(900)]
    blocks += [build_block("small", n, ages_s=(1e6,)) for n in range(50)]
    drops = choose_drops(
        blocks, "east", 950 * BLOCK_BYTES, 100 * BLOCK_BYTES, ReturnEstimator(SETTINGS)
    )
    assert len(drops) == 100
    assert {block.account for block in drops} == {"large"}


@then("later positions are dropped before earlier ones, second copies before sole ones")
def check_drop_order(context):
    both = frozenset(["east", "west"])
    blocks = [build_block("bee", n, stores=frozenset(["east"])) for n in range(3)]
    blocks += [build_block("bee", n, stores=both) for n in range(3, 6)]
    returns = ReturnEstimator(SETTINGS)
    drops = choose_drops(blocks, "east", 6 * BLOCK_BYTES, 5 * BLOCK_BYTES, returns)
    assert [block.position for block in drops] == [5, 4, 3, 2, 1]
    assert compute_value(blocks[0], returns) > compute_value(blocks[0], returns, 1)


@then("for many contents the drops free enough space and one fewer wouldn't")
def check_freed_space(context):
    sizes = st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 99)), max_size=40)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @any_of(sizes, st.integers(0, 1000))
    def check(contents, needed):
        blocks = [
            build_block(account, number, size_bytes=size)
            for number, (account, size) in enumerate(contents)
        ]
        capacity = sum(size for _, size in contents)
        drops = choose_drops(
            blocks, "east", capacity, needed, ReturnEstimator(SETTINGS)
        )
        freed = sum(block.size_bytes for block in drops)
        assert freed >= min(needed, capacity)
        if drops:
            assert freed - drops[-1].size_bytes < needed

    check()
