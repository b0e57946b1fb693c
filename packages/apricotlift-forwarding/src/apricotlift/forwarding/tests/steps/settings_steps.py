import tempfile
from pathlib import Path

import anyio
from apricotlift.core.errors import ApricotliftError
from apricotlift.forwarding.settings import (
    BoundsModel,
    load_settings,
    read_settings_file,
    watch_settings,
)
from behave import given, then, when

_SETTINGS_TEMPLATE = """[node]
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


def load_file(context, callers="10.0.0.1:1", weights_ms="", extra=""):
    path = Path(tempfile.mkdtemp()) / "node.ini"
    path.write_text(
        _SETTINGS_TEMPLATE.format(callers=callers, weights_ms=weights_ms, extra=extra)
    )
    context.findings = []
    context.path = path
    try:
        context.settings = load_settings(path)
    except ApricotliftError as error:
        context.findings = error.details["findings"]


@given('a settings file with "weights_ms" empty')
def step_empty_key(context):
    load_file(context)


@given('a settings file with "weights_ms" of "{value}" and an unknown key "{key}"')
def step_wrong_value_and_key(context, value, key):
    load_file(context, weights_ms=value, extra=f"{key} = x\n")


@given('a settings file with "drain_ms" of {drain_ms:d}')
def step_drain_time_set(context, drain_ms):
    load_file(context, weights_ms=f"\ndrain_ms = {drain_ms}")


@then("the drain time is {drain_ms:d} ms")
def step_drain_time(context, drain_ms):
    assert not context.findings, context.findings
    assert context.settings.bounds.drain_ms == drain_ms


@given('a settings file with "callers" empty')
def step_empty_address(context):
    load_file(context, callers="")


@when("the file changes before the watcher starts with its former content")
def step_change_before_watching(context):
    former_file = anyio.run(read_settings_file, context.path)
    context.path.write_bytes(former_file.content + b"n_retries = 7\n")
    context.n_reloads = 0

    async def watch():
        with anyio.move_on_after(1.5):
            await watch_settings(former_file, count_reload)

    def count_reload():
        context.n_reloads += 1

    anyio.run(watch)


@then("the settings are reloaded once")
def step_reloaded_once(context):
    assert context.n_reloads == 1, context.n_reloads


@then('the settings have the default for "{key}"')
def step_has_default(context, key):
    assert not context.findings, context.findings
    assert getattr(context.settings.bounds, key) == getattr(BoundsModel(), key)


@then('the findings name "{first}" and "{second}" with their lines')
def step_findings_name_both(context, first, second):
    for key in (first, second):
        step_findings_name(context, key)


@then('the findings name "{key}" with its line')
def step_findings_name(context, key):
    matches = [item for item in context.findings if f"] {key}:" in item]
    assert len(matches) == 1 and ".ini:" in matches[0], context.findings
