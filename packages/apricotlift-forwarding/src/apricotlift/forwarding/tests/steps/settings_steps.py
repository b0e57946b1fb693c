import tempfile
from pathlib import Path

import anyio
from apricotlift.core.errors import ApricotliftError
from apricotlift.forwarding.settings import BoundsModel, load_settings, watch_settings
from behave import given, then, when

_TEXT = """[node]
name = n
failure_domain = z
{extra}
[listen]
callers = {callers}
readiness = 10.0.0.1:2
directory = 10.0.0.1:3
peers = 10.0.0.1:4

[store]
address = 10.0.0.1:5

[bounds]
weights_ms = {weights_ms}
"""


def load(context, callers="10.0.0.1:1", weights_ms="", extra=""):
    path = Path(tempfile.mkdtemp()) / "node.ini"
    path.write_text(_TEXT.format(callers=callers, weights_ms=weights_ms, extra=extra))
    context.findings = []
    context.path = path
    try:
        context.settings = load_settings(path)
    except ApricotliftError as error:
        context.findings = error.details["findings"]


@given('a settings file with "weights_ms" empty')
def step_empty(context):
    load(context)


@given('a settings file with "weights_ms" of "{value}" and an unknown key "{key}"')
def step_wrong(context, value, key):
    load(context, weights_ms=value, extra=f"{key} = x\n")


@given('a settings file with "callers" empty')
def step_missing(context):
    load(context, callers="")


@when("it changes, and its former content is in force")
def step_change(context):
    former = context.path.read_bytes()
    context.path.write_bytes(former + b"n_retries = 7\n")
    context.n_reloads = 0

    async def watch():
        with anyio.move_on_after(1.5):
            await watch_settings(context.path, former, note)

    def note():
        context.n_reloads += 1

    anyio.run(watch)


@then("the settings are taken over once")
def step_taken_over(context):
    assert context.n_reloads == 1, context.n_reloads


@then('the settings have the default for "{key}"')
def step_default(context, key):
    assert not context.findings, context.findings
    assert getattr(context.settings.bounds, key) == getattr(BoundsModel(), key)


@then('the findings name "{first}" and "{second}" with their lines')
def step_both(context, first, second):
    for key in (first, second):
        step_one(context, key)


@then('the findings name "{key}" with its line')
def step_one(context, key):
    found = [item for item in context.findings if f"] {key}:" in item]
    assert len(found) == 1 and ".ini:" in found[0], context.findings
