import tempfile
from pathlib import Path

from apricotlift.control.tracing import read_story, render_story
from apricotlift.core.errors import ApricotliftError
from behave import given, then, when


@given("the log files")
def step_files(context):
    context.log = Path(tempfile.mkdtemp()) / "node.log"
    context.log.write_text(context.text)


@when('the operator traces "{request_id}"')
def step_trace(context, request_id):
    try:
        context.story = read_story(request_id, [str(context.log)])
    except ApricotliftError as error:
        context.error = error


@then('the story\'s events are "{events}"')
def step_events(context, events):
    found = [line["event"] for line in context.story.lines]
    assert found == events.split(", "), found


@then('the story says "{text}"')
def step_says(context, text):
    assert text in render_story(context.story)


@then('the trace fails with "{text}"')
def step_fails(context, text):
    assert text in str(context.error)
