import re

import anyio
from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.core.metrics import Metrics
from apricotlift.upstreams.persistentconnections import HttpCall, PersistentConnections
from behave import given, then, when


@given("a server that counts the bytes it receives")
def step_counting_server(context):
    context.n_accepted = 0
    context.n_received = 0


@when("a request is called off by its check once the connection is open")
def step_call_off(context):
    async def count(stream):
        context.n_accepted += 1
        async with stream:
            async for data in stream:
                context.n_received += len(data)

    def call_off():
        raise ApricotliftError(Code.UPSTREAM_PAUSED, "called off")

    async def expect_refusal():
        try:
            async with context.connections.open_response(
                HttpCall("GET", "/"), 5.0, call_off
            ):
                raise AssertionError("the request was sent")
        except ApricotliftError as error:
            assert error.code is Code.UPSTREAM_PAUSED, error

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        context.connections = PersistentConnections(f"127.0.0.1:{port}", 4, Metrics())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, count)
            with anyio.fail_after(5):
                await expect_refusal()
            with anyio.fail_after(5):
                while not context.n_accepted:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(run)


@then("the server accepted {n:d} connection and received {n_bytes:d} bytes")
def step_counts(context, n, n_bytes):
    found = (context.n_accepted, context.n_received)
    assert found == (n, n_bytes), found


@then("no connection is open")
def step_none_open(context):
    assert context.connections.n_open == 0, context.connections.n_open


@when('a request is sent to the address "{address}"')
def step_request_to_address(context, address):
    address = address.replace("(5000 digits)", "9" * 5000)
    address = re.sub(r"\\u([0-9a-f]{4})", lambda found: chr(int(found[1], 16)), address)
    context.connections = PersistentConnections(address, 4, Metrics())
    context.error = None

    async def run():
        try:
            await context.connections.request(HttpCall("GET", "/"), 5.0)
        except Exception as error:
            context.error = error

    anyio.run(run)


@then("it fails with upstream_connect and did not run")
def step_connect_error(context):
    error = context.error
    assert isinstance(error, ApricotliftError), repr(error)[:200]
    assert error.code is Code.UPSTREAM_CONNECT and error.ran is Ran.NO, error


@when('a server answers with the keep-alive time "\\xb2"')
def step_keep_alive(context):
    async def answer(stream):
        async with stream:
            await stream.receive()
            head = b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=\xb2\r\n"
            await stream.send(head + b"content-length: 0\r\n\r\n")

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        connections = PersistentConnections(f"127.0.0.1:{port}", 4, Metrics())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, answer)
            context.response = await connections.request(HttpCall("GET", "/"), 5.0)
            await connections.close()
            tasks.cancel_scope.cancel()

    anyio.run(run)


@then("the request succeeds")
def step_succeeds(context):
    assert context.response.status == 200
