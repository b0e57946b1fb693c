import tempfile
from pathlib import Path

from apricotlift.control.tracing import read_trace, render_trace
from apricotlift.core.errors import ApricotliftError
from behave import given, then, when


@given("the log files")
def write_log_file(context):
    context.log = Path(tempfile.mkdtemp()) / "node.log"
    context.log.write_text(context.text)


@when('the operator traces "{request_id}"')
def run_trace(context, request_id):
    try:
        context.request_trace = read_trace(request_id, [str(context.log)])
    except ApricotliftError as error:
        context.error = error


@then('the trace has the events "{events}"')
def check_events(context, events):
    found = [line["event"] for line in context.request_trace.lines]
    assert found == events.split(", "), found


@then('the trace shows "{text}"')
def check_trace_text(context, text):
    assert text in render_trace(context.request_trace)


@then('the trace fails with "{text}"')
def check_trace_error(context, text):
    assert text in str(context.error)
