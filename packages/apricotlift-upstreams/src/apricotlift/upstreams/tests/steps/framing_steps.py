"""Steps for responses that end with their connection."""

import re

import anyio
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.upstreams.persistentconnections import HttpCall, PersistentConnections
from apricotlift.upstreams.pool import Pool, Timeouts
from apricotlift.upstreams.sse import EventParser
from apricotlift.upstreams.tests.harness import start_standin
from behave import given, then, when

TIMEOUT_S = 2.0
MAX_BYTES = 1_000_000
LINE_ENDS = {"LF": b"\n", "CRLF": b"\r\n"}


@given("a server whose responses end with their connection")
def step_server(context):
    start_standin(context, "front", "standins.framing")


async def read_with_pool(address, names, timeout_s, max_bytes):
    results = []
    async with Pool() as pool:
        for name in names:
            url = f"http://{address}/{name}"
            call = pool.request(
                "GET", url, timeouts=Timeouts(read_s=timeout_s), max_bytes=max_bytes
            )
            results.append(await get_result(call))
        kept = [
            connection
            for connections in pool._pools.values()
            for connection in connections.connections
            if not connection.has_expired() and not connection.is_closed()
        ]
        return results, len(kept)


async def read_with_connections(address, names, timeout_s, max_bytes):
    connections = PersistentConnections(address, 1, Metrics())
    results = []
    n_kept = 0
    for name in names:
        call = connections.request(HttpCall("GET", f"/{name}"), timeout_s, max_bytes)
        results.append(await get_result(call))
        n_kept += connections.has_idle + connections.n_open
    await connections.close()
    return results, n_kept


async def get_result(call):
    try:
        response = await call
    except ApricotliftError as error:
        assert error.ran == "maybe", error
        return str(error.code)
    return response.body.decode()


CLIENTS = {"pool": read_with_pool, "persistent connections": read_with_connections}


def read_responses(context, client, names, timeout_s=TIMEOUT_S, max_bytes=MAX_BYTES):
    read = CLIENTS[client]
    address = context.addresses["front"]
    context.results, context.n_kept = anyio.run(
        read, address, names, timeout_s, max_bytes
    )


@when("each of these responses is read through the {client}")
def step_read_each(context, client):
    context.expected = {row["response"]: row["result"] for row in context.table}
    read_responses(context, client, list(context.expected))


@then("each response has its result")
def step_results(context):
    found = dict(zip(context.expected, context.results, strict=True))
    assert found == context.expected, found


@then("no connection is kept")
def step_no_connection(context):
    assert context.n_kept == 0, context.n_kept


@when('the response "{first}" and then "{second}" are read through the {client}')
def step_read_two(context, first, second, client):
    read_responses(context, client, [first, second])


@then('the first body ends with "{end}", and the second is "{body}"')
def step_two_bodies(context, end, body):
    first, second = context.results
    assert first.endswith(end), context.results
    assert second == body, context.results


@when('the response "{name}" is read through the {client} with at most {n:g} {unit}')
def step_read_with_limit(context, name, client, n, unit):
    limits = {"bytes": {"max_bytes": int(n)}, "seconds": {"timeout_s": n}}
    read_responses(context, client, [name], **limits[unit])


@then("the call fails with {code:w}")
def step_call_fails(context, code):
    assert re.fullmatch("[a-z_]+", code)
    assert context.results == [code], context.results


@when("an event stream with {name} line ends arrives byte by byte")
def step_feed_bytes(context, name):
    data = b"data: one\n\ndata: [DONE]\n\n".replace(b"\n", LINE_ENDS[name])
    context.parser = EventParser()
    context.events = [
        event
        for number in range(len(data))
        for event in context.parser.feed(data[number : number + 1])
    ]


@then('its events are "{first}" and "{second}", and the stream is complete')
def step_events(context, first, second):
    assert [event.data for event in context.events] == [first, second], context.events
    assert context.parser.is_complete
