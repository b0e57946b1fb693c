"""Steps on the validation of callers' requests and of node settings."""

import json
import tempfile
from pathlib import Path

from apricotlift.core.errors import ApricotliftError
from apricotlift.node.httpmessages import parse_prompt_body, read_headers
from apricotlift.node.settings import BorderModel, load_settings
from behave import given, then
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as values

_JSON = values.recursive(
    values.none() | values.booleans() | values.integers() | values.text(max_size=5),
    lambda inner: (
        values.lists(inner, max_size=3)
        | values.dictionaries(
            values.sampled_from(["model", "prompt", "messages", "stream", "n", "role"]),
            inner,
            max_size=5,
        )
    ),
    max_leaves=8,
)


@then('any bytes as a prompt\'s body are parsed or refused as "{code}"')
def check_any_body(context, code):
    def check_body(body, is_chat):
        try:
            parsed = parse_prompt_body(body, is_chat)
        except ApricotliftError as error:
            assert error.code == code, error
            assert error.ran == "no", error
        else:
            assert parsed.build_prompt() is not None

    run_examples = settings(derandomize=True, max_examples=300, deadline=None)
    run_examples(
        given_values(values.binary(max_size=60), values.booleans())(check_body)
    )()

    def check_json_body(data, is_chat):
        check_body(json.dumps(data).encode(), is_chat)

    run_examples(given_values(_JSON, values.booleans())(check_json_body))()


@then('a request with these headers loses "{dropped}" and keeps "{kept}"')
def check_internal_headers(context, dropped, kept):
    scope = {"headers": [(dropped.encode(), b"1"), (kept.encode(), b"2")]}
    assert read_headers(scope, BorderModel()) == {kept: "2"}


@given("the node settings")
def write_settings(context):
    context.settings_file = Path(tempfile.mkdtemp()) / "node.ini"
    context.settings_file.write_text(context.text)


@then('the node settings are refused with findings at lines "{lines}"')
def check_findings(context, lines):
    try:
        load_settings(context.settings_file)
    except ApricotliftError as error:
        context.findings = error.details["findings"]
    found = {finding.split(":")[1] for finding in context.findings}
    expected = {line.strip() for line in lines.split(",")}
    assert found == expected, context.findings


@then('a finding says "{text}"')
def check_finding(context, text):
    assert any(text in finding for finding in context.findings), context.findings
