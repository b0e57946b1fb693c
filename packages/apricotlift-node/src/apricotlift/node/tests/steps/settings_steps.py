"""Steps on the settings file of a node."""

import tempfile
from pathlib import Path

from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.node.settings import load_settings
from apricotlift.policy.routing import POLICIES
from behave import given, then, when

_REQUIRED = """\
[node]
name = n1
failure_domain = z1
[cluster]
secret = a-secret-of-the-cluster
[platform]
table_url = http://127.0.0.1:1
objects_url = http://127.0.0.1:1/objects
"""


@given("settings without a routing section")
def write_required(context):
    context.settings_text = _REQUIRED


@given('settings with the routing policy "{name}"')
def write_policy(context, name):
    context.settings_text = f"{_REQUIRED}[routing]\npolicy = {name}\n"


@when("the settings are loaded")
def load(context):
    context.settings = context.error = None
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.ini"
        path.write_text(context.settings_text)
        try:
            context.settings = load_settings(path)
        except ApricotliftError as error:
            context.error = error


@then('the routing policy is "{name}"')
def check_policy(context, name):
    assert context.error is None, context.error.details
    assert context.settings.routing.policy == name, context.settings.routing
    assert callable(POLICIES[name]())


@then('they are refused with a finding that contains "{text}"')
def check_finding(context, text):
    assert context.error is not None, context.settings
    assert context.error.code is Code.BAD_SETTINGS, context.error.code
    findings = context.error.details["findings"]
    assert any(text in line and "node.ini" in line for line in findings), findings
