import json
import os
import time

from apricotlift.core.logs import LineOutput, LineRate
from behave import given, then, when


@given("a pipe that nobody reads and a backlog of {n:d} bytes")
def step_pipe(context, n):
    context.reader, writer = os.pipe()
    context.output = LineOutput(writer, n)


@when("{n:d} lines are written")
def step_write(context, n):
    started = time.monotonic()
    for number in range(n):
        context.output.write(json.dumps({"event": "e", "number": number}) + "\n")
    context.seconds = time.monotonic() - started


@then("the writer was never blocked")
def step_not_blocked(context):
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
def step_dropped(context):
    n_dropped = context.output.n_dropped
    events = {line["event"]: line for line in read_lines(context)}
    assert events["log_lines_dropped"]["n_lines"] >= n_dropped


@then("the reader, once it reads, finds only whole lines")
def step_whole(context):
    assert all("event" in line for line in read_lines(context))


@given("a rate of {per_s:d} lines a second with {burst:d} at once")
def step_rate(context, per_s, burst):
    context.rate = LineRate(per_s, burst, now=0.0)


@when("{n:d} lines are asked for within a second")
def step_ask(context, n):
    context.n_taken = sum(context.rate.take(number / n) for number in range(n))
    context.n_asked = n


@then("at most {n:d} are written and the others are counted")
def step_bound(context, n):
    assert context.n_taken <= n, context.n_taken
    assert context.rate.n_refused == context.n_asked - context.n_taken
