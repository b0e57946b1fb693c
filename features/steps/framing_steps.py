"""Steps for responses that end with their connection."""

import http.client
import re
from dataclasses import dataclass

from behave import then, when

from features.forwardingfleet import send_client_request
from features.keptconnections import (
    check_kept_connections,
    list_entries,
    open_connections,
)


@dataclass(frozen=True)
class Result:
    """What one client received.

    :param response: status, headers by lower-case name, and body.
    :param is_complete: whether the body ended as its framing says.
    """

    script: str
    request_id: str
    response: tuple[int, dict, bytes]
    is_complete: bool = True


def send_requests(context, name, method, target, is_kept=False):
    """Send a request for each row of the step's table.

    :param is_kept: whether the node is to keep connections before each request.
    """
    context.results = []
    for row in context.table:
        script = row["response"]
        is_complete = True
        if is_kept:
            open_connections(context, name)
        try:
            status, headers, body = send_client_request(
                context, name, method, target, script
            )
        except http.client.IncompleteRead as error:
            status, headers, body = 200, {}, error.partial
            is_complete = False
        headers = {key.lower(): value for key, value in headers.items()}
        context.results.append(
            Result(script, context.request_id, (status, headers, body), is_complete)
        )
    if is_kept:
        check_kept_connections(context)


@when('clients get "{target}" from "{name}" with these responses')
def step_get(context, target, name):
    send_requests(context, name, "GET", target)


@when('clients post "{target}" to "{name}" with these responses')
def step_post(context, target, name):
    send_requests(context, name, "POST", target)


@when('clients get "{target}" from "{name}" on {kind} connections with these responses')
def step_get_on(context, target, name, kind):
    send_requests(context, name, "GET", target, kind == "kept")


@when('clients post "{target}" to "{name}" on {kind} connections with these responses')
def step_post_on(context, target, name, kind):
    send_requests(context, name, "POST", target, kind == "kept")


@then("each client gets 200, a length and the whole response")
def step_whole(context):
    for result in context.results:
        status, headers, body = result.response
        assert status == 200 and result.is_complete, result
        assert int(headers["content-length"]) == len(body), result
        assert body.endswith(f"ran {result.request_id}".encode()), result


@then("each client gets 200, a length and an empty response")
def step_empty(context):
    for result in context.results:
        status, headers, body = result.response
        assert (status, headers["content-length"], body) == (200, "0", b""), result


@then("each client gets only the response to its own request")
def step_own_response(context):
    for result in context.results:
        status, _, body = result.response
        assert status == 200, result
        assert re.findall(rb"ran (\w+)", body) == [result.request_id.encode()], result
        assert (b"extra" in body) == ("response_inside" in result.script), result


@then("each client gets the error {status:d}")
def step_error(context, status):
    for result in context.results:
        assert result.response[0] == status and result.is_complete, result
        assert b"ran " + result.request_id.encode() not in result.response[2], result


@then("each client gets the events {first:d} to {last:d} once each, and nothing else")
def step_events(context, first, last):
    for result in context.results:
        status, _, body = result.response
        numbers = [int(number) for number in re.findall(rb"id: (\d+)\ndata", body)]
        assert status == 200 and result.is_complete, result
        assert numbers == list(range(first, last + 1)), result
        assert re.fullmatch(rb"(id: \d+\ndata: [^\n]+\n\n)+", body), result


@then("each client gets an incomplete stream")
def step_incomplete(context):
    for result in context.results:
        assert not result.is_complete, result
        assert b"id: 99" not in result.response[2], result


@then(
    "each client gets the events {first:d} to {last:d} once each in an incomplete stream, "
    "and nothing else"
)
def step_incomplete_events(context, first, last):
    for result in context.results:
        body = result.response[2]
        numbers = [int(number) for number in re.findall(rb"id: (\d+)\ndata", body)]
        assert not result.is_complete, result
        assert numbers == list(range(first, last + 1)), result
        assert re.fullmatch(rb"(id: \d+\ndata: [^\n]+\n\n)+", body), result


@then("each client gets no length")
def step_no_length(context):
    for result in context.results:
        assert "content-length" not in result.response[1], result


@then("each request was sent {n:d} time")
@then("each request was sent {n:d} times")
def step_sent(context, n):
    for result in context.results:
        servers = [entry["server"] for entry in list_entries(context, result)]
        assert len(servers) == len(set(servers)) == n, (result, servers)


@then("each second server was asked to resume after event {number:d}")
def step_resumed(context, number):
    for result in context.results:
        second = list_entries(context, result)[1]
        assert second["headers"]["last-event-id"] == str(number), (result, second)
