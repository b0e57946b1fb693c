"""Steps for transfers."""

from apricotlift.policy.transfers import (
    LinkScheduler,
    Transfer,
    TransferPriority,
    TransferSettings,
)
from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

PRIORITIES = {
    "waiting": TransferPriority.WAITING,
    "prefetch": TransferPriority.PREFETCH,
    "background": TransferPriority.BACKGROUND,
}


@given("a link of 1000 bytes a second")
def make_link(context):
    context.link = LinkScheduler(1000, TransferSettings())


def add(link, name, priority, size=100, account="bee", now_s=0.0, useful_until_s=1e9):
    transfer = Transfer(
        name, account, PRIORITIES[priority], size, now_s, useful_until_s
    )
    link.add(transfer, now_s)


def start(link, now_s):
    return [transfer.transfer_id for transfer in link.start(now_s).start]


@when("background, prefetch and waiting transfers of 100 bytes are queued")
def add_all(context):
    for priority in ("background", "prefetch", "waiting"):
        for number in range(5):
            add(context.link, f"{priority}-{number}", priority)


@then("only the waiting ones start until they have finished, then the prefetches")
def check_order(context):
    started = start(context.link, 0.0)
    assert started == [f"waiting-{number}" for number in range(5)]
    assert start(context.link, 0.1) == []
    for name in started:
        context.link.finish(name, 0.5)
    assert start(context.link, 0.5) == ["prefetch-0", "prefetch-1"]


@when("50 prefetches of 50 bytes are queued")
def add_prefetches(context):
    for number in range(50):
        add(context.link, f"prefetch-{number}", "prefetch", 50)


@then("at most 250 bytes of them are on the link at once")
def check_prefetch_budget(context):
    assert len(start(context.link, 0.0)) == 5
    assert start(context.link, 0.1) == []


@then("a waiting fetch of 100 bytes starts at once while they are on the link")
def check_waiting_fetch(context):
    add(context.link, "fetch", "waiting", 100, now_s=0.1)
    assert start(context.link, 0.1) == ["fetch"]


@then("a copy starts on an idle link but not during or just after a caller's fetch")
def check_idle(context):
    link = context.link
    add(link, "fetch", "waiting")
    assert start(link, 0.0) == ["fetch"]
    add(link, "copy", "background")
    assert start(link, 9.0) == []
    link.finish("fetch", 9.0)
    assert start(link, 9.01) == []
    assert start(link, 9.1) == ["copy"]


@then("it doesn't start while other nodes have bytes on the link")
def check_other_nodes(context):
    context.link.finish("copy", 10.0)
    context.link.other_nodes_bytes = 100
    add(context.link, "copy-2", "background")
    assert start(context.link, 20.0) == []
    context.link.other_nodes_bytes = 0
    assert start(context.link, 20.1) == ["copy-2"]


@when('account "large" queues 20 fetches and then "small" queues one')
def add_accounts(context):
    for number in range(20):
        add(context.link, f"large-{number}", "waiting", account="large")
    context.started = start(context.link, 0.0)
    add(context.link, "small", "waiting", account="small", now_s=0.1)


@then('the fetch of "small" is the next to start')
def check_accounts(context):
    context.link.finish(context.started[0], 0.1)
    assert start(context.link, 0.1) == ["small"]


@then("an expired prefetch is reported and never started")
def check_expired(context):
    add(context.link, "late", "prefetch", useful_until_s=5.0)
    decision = context.link.start(5.0)
    assert decision.start == ()
    assert [transfer.transfer_id for transfer in decision.expired] == ["late"]
    assert context.link.start(6.0).expired == ()


@then("a waiting fetch of 5000 bytes starts when the link is empty")
def check_large(context):
    add(context.link, "small", "waiting")
    assert start(context.link, 0.0) == ["small"]
    add(context.link, "large", "waiting", 5000)
    assert start(context.link, 0.1) == []
    context.link.finish("small", 0.2)
    assert start(context.link, 0.2) == ["large"]


@then("each transfer starts once and within the budget, for many sequences")
def check_sequences(context):
    entries = st.tuples(st.sampled_from(sorted(PRIORITIES)), st.integers(1, 900))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @any_of(st.lists(entries, max_size=30))
    def check(transfers):
        link = LinkScheduler(1000, TransferSettings())
        sizes = {}
        for number, (priority, size) in enumerate(transfers):
            sizes[str(number)] = size
            add(link, str(number), priority, size, account=f"account-{size % 3}")
        finished = []
        now_s = 1.0
        for _ in range(200):
            started = start(link, now_s)
            on_link = sum(sizes[name] for name in started)
            assert on_link <= 500 or len(started) == 1
            now_s += 1.0
            for name in started:
                link.finish(name, now_s)
            finished += started
            now_s += 1.0
        assert sorted(finished) == sorted(sizes)

    check()


@then("bytes ahead are started, other nodes' and queued ones of no lower priority")
def check_bytes_ahead(context):
    link = context.link
    add(link, "fetch", "waiting", 400)
    assert start(link, 0.0) == ["fetch"]
    add(link, "prefetch", "prefetch", 30)
    add(link, "copy", "background", 7)
    link.other_nodes_bytes = 1000
    assert link.count_bytes_ahead(TransferPriority.WAITING) == 1400
    assert link.count_bytes_ahead(TransferPriority.PREFETCH) == 1430
    assert link.count_bytes_ahead(TransferPriority.BACKGROUND) == 1437
