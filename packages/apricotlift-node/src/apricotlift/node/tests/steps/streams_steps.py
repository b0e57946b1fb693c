"""Steps about buffered answers."""

import anyio
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.node.streams import StreamRegistry, StreamState
from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as values


def _build_stream():
    return StreamState("r", "k", "b", "fes", "wax", "wax@v1")


async def _check_readers(segments, offsets):
    whole = "".join(segments)
    stream = _build_stream()
    received = {}

    async def read(number, offset):
        text = ""
        async for batch in stream.read(offset):
            text += "".join(segment.text for segment in batch)
            assert batch[-1].end <= len(whole)
        received[number] = text

    async with anyio.create_task_group() as tasks:
        for number, offset in enumerate(offsets):
            tasks.start_soon(read, number, min(offset, len(whole)))
        for count, segment in enumerate(segments):
            stream.append(segment)
            if count % 3 == 0:
                await anyio.lowlevel.checkpoint()
        stream.finish("stop", None)
    for number, offset in enumerate(offsets):
        assert received[number] == whole[min(offset, len(whole)) :]


@then("for any segments and offsets each reader of an answer gets the rest of its text")
def check_readers(context):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given_values(
        values.lists(values.text(min_size=1, max_size=5), max_size=200),
        values.lists(values.integers(0, 300), min_size=1, max_size=4),
    )
    def check(segments, offsets):
        anyio.run(_check_readers, segments, offsets)

    check()


@given("an answer that has ended")
def build_ended(context):
    async def build():
        context.stream = _build_stream()
        context.stream.append("a")
        context.stream.finish("stop", None)

    anyio.run(build)


@then("adding text to the answer is refused")
def check_append(context):
    try:
        context.stream.append("b")
    except RuntimeError:
        return
    raise AssertionError("text was added to an answer that had ended")


@then("ending the answer again is refused")
def check_end(context):
    try:
        context.stream.fail(ApricotliftError(Code.CANCELLED, "late"))
    except RuntimeError:
        return
    raise AssertionError("an answer that had ended was ended again")


@when("the answer's retention has passed")
def pass_retention(context):
    context.registry = StreamRegistry(retention_s=10.0)
    context.registry.add(context.stream)
    assert context.registry.drop_expired(clocks.monotonic()) == 0
    context.n_dropped = context.registry.drop_expired(clocks.monotonic() + 11.0)


@then("the answer is no longer held")
def check_dropped(context):
    assert context.n_dropped == 1
    assert context.registry.get("k") is None
