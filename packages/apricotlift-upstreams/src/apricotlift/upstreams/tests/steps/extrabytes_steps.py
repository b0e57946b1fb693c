"""Steps for extra bytes that a server sends after a response."""

import anyio
from apricotlift.core.metrics import Metrics
from apricotlift.upstreams.persistentconnections import HttpCall, PersistentConnections
from apricotlift.upstreams.pool import Pool
from behave import given, then, when

_TIMEOUT_S = 10.0
_REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n"


def build_response(path, size_bytes):
    """Return a response to a path whose head and body have a size together."""
    for n_body in range(size_bytes, 0, -1):
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {n_body}\r\n\r\n".encode()
        if len(head) + n_body == size_bytes:
            return head + path.encode().ljust(n_body, b".")
    raise ValueError(f"no response has {size_bytes} bytes")


@given("a server that sends {extra} together with each response of {n:d} bytes")
def step_server(context, extra, n):
    context.extra = {"a refusal": _REFUSAL, "nothing": b""}[extra]
    context.size_bytes = n
    context.n_connections = 0


async def request_with_pool(address, paths):
    async with Pool() as pool:
        return [await pool.request("GET", f"http://{address}{path}") for path in paths]


async def request_with_connections(address, paths):
    connections = PersistentConnections(address, 1, Metrics())
    calls = [HttpCall("GET", path) for path in paths]
    responses = [await connections.request(call, _TIMEOUT_S) for call in calls]
    await connections.close()
    return responses


CLIENTS = {
    "pool": request_with_pool,
    "persistent connections": request_with_connections,
}


@when("two requests are sent one after the other through the {client}")
def step_requests(context, client):
    async def serve(stream):
        context.n_connections += 1
        async with stream:
            async for data in stream:
                path = data.split(b" ")[1].decode()
                response = build_response(path, context.size_bytes)
                try:
                    await stream.send(response + context.extra)
                except anyio.BrokenResourceError:
                    return

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            with anyio.fail_after(_TIMEOUT_S):
                context.responses = await CLIENTS[client](
                    f"127.0.0.1:{port}", ["/1", "/2"]
                )
            tasks.cancel_scope.cancel()

    anyio.run(run)


@then("each of them gets its own response")
def step_own_responses(context):
    found = [
        (response.status, response.body.rstrip(b".")) for response in context.responses
    ]
    assert found == [(200, b"/1"), (200, b"/2")], found


@then("the server accepted {n:d} connection")
def step_n_connections(context, n):
    assert context.n_connections == n, context.n_connections
