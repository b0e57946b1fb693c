"""Steps on the reports of removed cache blocks."""

from apricotlift.node.cacheevents import build_drop_messages
from apricotlift.upstreams.kvevents import KvBatch, KvEvent
from behave import given, then


@given('cache events "{text}"')
def build_batch(context, text):
    events = []
    for seq, part in enumerate(text.split(","), start=1):
        kind, root, *blocks = [*part.split(), ""]
        events.append(KvEvent(seq, kind, root, tuple(name for name in blocks if name)))
    context.kv_batch = KvBatch("b1", tuple(events))


@then('the reported removals are "{text}"')
def check_removals(context, text):
    found = []
    for key, message in build_drop_messages("e1", context.kv_batch):
        assert (message.holder, message.boot_id) == ("e1", "b1"), message
        assert message.shard_key == key, message
        names = " ".join(block.hex() for block in message.blocks)
        found.append(f"{key.hex()}: {names}" if key else "everything")
    assert (", ".join(found) or "none") == text, found
