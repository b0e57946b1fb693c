import contextlib
import io
import json
import os
import time

from apricotlift.core import logs
from apricotlift.core.logs import LineRateLimiter, NonBlockingLineWriter
from behave import given, then, when


@given("a pipe that nobody reads and a backlog of {n:d} bytes")
def open_pipe(context, n):
    context.reader, writer = os.pipe()
    context.output = NonBlockingLineWriter(writer, n)


@when("{n:d} lines are written")
def write_lines(context, n):
    started = time.monotonic()
    for number in range(n):
        context.output.write(json.dumps({"event": "e", "number": number}) + "\n")
    context.seconds = time.monotonic() - started


@then("the writer was never blocked")
def check_not_blocked(context):
    assert context.output.n_dropped > 0


def read_lines(context):
    os.set_blocking(context.reader, False)
    data = b""
    for _ in range(200):
        try:
            data += os.read(context.reader, 1_000_000)
        except BlockingIOError:
            context.output.write(json.dumps({"event": "later"}) + "\n")
    return [json.loads(row) for row in data.decode().splitlines()]


@then("the reader, once it reads, learns how many lines were dropped")
def check_dropped(context):
    n_dropped = context.output.n_dropped
    events = {line["event"]: line for line in read_lines(context)}
    assert events["log_lines_dropped"]["n_lines"] >= n_dropped


@then("the reader, once it reads, finds only whole lines")
def check_whole_lines(context):
    assert all("event" in line for line in read_lines(context))


@given("a rate of {per_s:d} lines a second with {burst:d} at once")
def create_limiter(context, per_s, burst):
    context.limiter = LineRateLimiter(per_s, burst, now=0.0)


@when("{n:d} lines are requested within a second")
def request_lines(context, n):
    context.n_taken = sum(context.limiter.take(number / n) for number in range(n))
    context.n_requested = n


@then("at most {n:d} are written and the others are counted")
def check_limit(context, n):
    assert context.n_taken <= n, context.n_taken
    assert context.limiter.n_refused == context.n_requested - context.n_taken


def build_nested_list(depth):
    value = []
    for _ in range(depth):
        value = [value]
    return value


_UNENCODABLE = {
    "a number of 5000 digits": 10**5000,
    "a list nested 100000 deep": build_nested_list(100_000),
    "a map with a key of bytes": {b"key": 1},
}


@when("a line is logged with {value} in a field")
def log_unencodable(context, value):
    output = io.StringIO()
    with contextlib.redirect_stderr(output):
        logs.configure("logs-tests")
        logs.log(logs.WARNING, "odd_value", value=_UNENCODABLE[value])
    logs.configure("logs-tests")
    context.output = output.getvalue()


@then("the line names its event and the fault of its fields")
def check_fault_named(context):
    (text,) = context.output.splitlines()
    line = json.loads(text)
    assert line["event"] == "odd_value" and line["fields_left_out"], line
