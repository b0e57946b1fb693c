"""Steps for connections between nodes.

Each scenario runs its traffic in one event loop, in its last ``When`` or ``Then`` step.
A ``Given`` step only stores what to serve, because a loop can't outlive a step.
"""

import contextlib
import functools
import random
import socket
import ssl

import anyio
from anyio.abc import SocketAttribute
from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.core.metrics import Metrics
from apricotlift.wire.connections import PeerPool, PeerServer
from apricotlift.wire.frames import MAX_FRAME_BYTES, decode_frame, encode_frame
from apricotlift.wire.handshake import (
    Identity,
    ProofSide,
    authenticate_as_listener,
    authenticate_as_opener,
    build_hello,
    build_mac,
)
from apricotlift.wire.links import Link
from apricotlift.wire.messages import (
    DocumentReply,
    DocumentRequest,
    FindAttempt,
    HeadReply,
    HeadRequest,
    Hello,
    Proof,
)
from apricotlift.wire.pool import PoolSettings
from behave import given, then, when
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve

from standins.endless import EndlessState, send_without_end

SECRET = b"cluster secret of the tests"
MEMBER = Identity("node-b", "0002", "domain-2")
STEP_TIMEOUT_S = 20


def open_socket(port=0):
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind(("127.0.0.1", port))
    return listening


def get_address(listening):
    return f"127.0.0.1:{listening.getsockname()[1]}"


def run_in_event_loop(function):
    """Run an async step in an event loop of its own with a time limit."""

    @functools.wraps(function)
    def step(context, *arguments, **named):
        async def main():
            with anyio.fail_after(STEP_TIMEOUT_S):
                await function(context, *arguments, **named)

        anyio.run(main)

    return step


@contextlib.asynccontextmanager
async def run_server(context, listening=None):
    listening = listening or open_socket()
    context.address = get_address(listening)
    server = PeerServer(
        listening,
        lambda: Identity("node-a", "0001", "domain-1"),
        SECRET,
        context.metrics,
        getattr(context, "tls", None),
    )

    async def echo(message, peer):
        context.seen.append(peer.node_id)
        if message.digest == "slow":
            # Replies after all other requests, so it finishes last unless it blocks
            # them.
            await wait_until(lambda: context.n_echoed == 200)
        if message.digest == "refuse":
            raise ApricotliftError(Code.OVERLOADED, "too busy")
        if message.digest == "fail":
            raise ZeroDivisionError("a fault of the handler")
        if message.digest == "huge":
            return DocumentReply(True, bytes(MAX_FRAME_BYTES))
        if message.digest == "surrogate":
            return HeadReply(1, "\ud800", 0, True)
        context.n_echoed += 1
        return DocumentReply(True, message.digest.encode())

    async def accept_head_request(message, peer):
        context.seen.append(peer.node_id)

    server.register(DocumentRequest, echo)
    server.register(HeadRequest, accept_head_request)
    async with server:
        yield server


def build_pool(metrics=None, tls=None, **settings):
    return PeerPool(
        lambda: MEMBER,
        SECRET,
        metrics or Metrics(),
        tls,
        PoolSettings(**settings),
        random.Random(3),
    )


async def request_document(pool, context, digest="ping", timeout_s=5):
    return await pool.request(context.address, DocumentRequest(digest), timeout_s)


async def wait_until(predicate):
    for _ in range(STEP_TIMEOUT_S * 100):
        if predicate():
            return
        await anyio.sleep(0.01)
    raise AssertionError(f"the condition wasn't met within {STEP_TIMEOUT_S} s")


async def get_error(request):
    try:
        reply = await request
    except ApricotliftError as error:
        return error
    raise AssertionError(f"the request was answered: {reply}")


async def check_member(context):
    async with build_pool() as pool:
        reply = await request_document(pool, context)
    assert reply.body == b"ping"


@given("a peer server that echoes digests")
@given('a peer server that echoes digests and delays the digest "slow"')
def prepare_server(context):
    context.metrics = Metrics()
    context.seen = []
    context.n_echoed = 0
    logs.configure("wire-tests", "fatal")


@when("200 peer requests with distinct digests and one slow request run")
@run_in_event_loop
async def run_requests(context):
    context.replies = {}

    async def request(pool, digest):
        context.replies[digest] = await request_document(
            pool, context, digest, timeout_s=30
        )

    async with (
        run_server(context),
        build_pool() as pool,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(request, pool, "slow")
        for number in range(200):
            tasks.start_soon(request, pool, f"digest {number}")


@then("each peer request got the reply with its own digest")
def check_replies(context):
    assert len(context.replies) == 201
    for digest, reply in context.replies.items():
        assert reply == DocumentReply(True, digest.encode())


@then("the slow peer request finished last")
def check_order(context):
    assert list(context.replies)[-1] == "slow"


@then("bytes in both directions were counted")
def check_bytes(context):
    for direction in ("in", "out"):
        n_bytes = context.metrics.get_count("peer_bytes_total", direction=direction)
        assert n_bytes > 201 * 40, n_bytes


async def authenticate_as_intruder(action, link):
    own = build_hello(MEMBER)
    if action == "proves with another secret":
        await authenticate_as_opener(link, MEMBER, b"another secret of 24 byte")
    elif action == "replays the proof of a member":
        # Sends the hello and proof that a member used on an earlier connection.
        await link.send(own)
        await link.receive()
        old = Hello(1, "node-a", "0001", "domain-1", bytes(32))
        await link.send(Proof(build_mac(SECRET, ProofSide.OPENER, own, old)))
    elif action == "reflects the listener's nonce":
        await link.send(own)
        listener = (await link.receive()).message
        # The proof that the listener itself would send as an opener for this nonce.
        mac = build_mac(SECRET, ProofSide.OPENER, listener, own)
        await link.send(Proof(mac))
    elif action == "reflects a listener's proof":
        await link.send(own)
        listener = (await link.receive()).message
        mac = build_mac(SECRET, ProofSide.LISTENER, own, listener)
        await link.send(Proof(mac))
    elif action == "sends a request without a proof":
        await link.send(own)
        await link.receive()
        await link.send(DocumentRequest("x"), 1)
    else:
        await link.send(Hello(2, "node-b", "0002", "domain-2", bytes(32)))
    await link.receive()


@when("an unauthenticated client connects and {action}")
@run_in_event_loop
async def run_intruder(context, action):
    async with run_server(context):
        async with connect(f"ws://{context.address}/peer") as websocket:
            link = Link(websocket, Metrics(), is_opener=True)
            await get_error(authenticate_as_intruder(action, link))
            await websocket.wait_closed()
            context.close_code = websocket.close_code
        context.seen_from_intruder = list(context.seen)
        await check_member(context)
        context.is_member_served = True


@then("the unauthenticated client is disconnected with close code {close:d}")
@then("the faulty member is disconnected with close code {close:d}")
def check_close(context, close):
    assert context.close_code == close, context.close_code


@then("the peer server counted the reason {reason}")
def check_reason(context, reason):
    n_closed = context.metrics.get_count(
        "peer_closed_total", side="listener", reason=reason
    )
    assert n_closed == 1, context.metrics.render()


@then("the peer server still answers a member")
def check_served(context):
    assert context.is_member_served


@then("no peer handler received a message of the unauthenticated client")
def check_unseen(context):
    assert context.seen_from_intruder == []


@given("a listener that reflects the opener's proof")
def prepare_reflecting_listener(context):
    async def reflect(websocket):
        hello = decode_frame(await websocket.recv()).message
        own = build_hello(Identity("node-a", "0001", hello.failure_domain))
        await websocket.send(encode_frame(own))
        await websocket.send(await websocket.recv())
        await websocket.wait_closed()

    context.reflect = reflect


@when("a peer request is sent to it")
@run_in_event_loop
async def request_from_reflecting_listener(context):
    context.metrics = Metrics()
    listening = open_socket()
    context.address = get_address(listening)
    async with (
        serve(context.reflect, sock=listening),
        build_pool(context.metrics) as pool,
    ):
        context.error = await get_error(request_document(pool, context))


@given("a listener that sends without end in its {place}")
def prepare_endless_listener(context, place):
    context.place = place
    context.endless = EndlessState()


@when("a peer request is sent to the endless listener")
@run_in_event_loop
async def request_from_endless_listener(context):
    async def send(stream):
        async with stream:
            await stream.receive()
            await send_without_end(stream, context.place, {}, context.endless)

    context.metrics = Metrics()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    context.address = f"127.0.0.1:{port}"
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, send)
        async with build_pool(context.metrics) as pool:
            context.error = await get_error(request_document(pool, context))
            await wait_until(lambda: context.endless.n_closed)
        tasks.cancel_scope.cancel()


@then("the endless listener saw its connection closed")
def check_endless_closed(context):
    assert context.endless.n_closed == {context.place: 1}, context.endless


@then("the peer request fails with {code}")
def check_error(context, code):
    assert context.error.code == code, context.error
    n_closed = context.metrics.get_count(
        "peer_closed_total", side="opener", reason=code
    )
    assert n_closed == 1, context.metrics.render()


@contextlib.asynccontextmanager
async def open_member(context):
    url = f"ws://{context.address}/peer"
    async with connect(url, max_size=None) as websocket:
        link = Link(websocket, Metrics(), is_opener=True)
        await authenticate_as_opener(link, MEMBER, SECRET)
        yield websocket


@when("a member connects and sends {fault}")
@run_in_event_loop
async def run_faulty_member(context, fault):
    data = {
        "malformed CBOR": b"\xff\x00",
        "an unknown kind": b"\x83\x66gossip\x01\xa0",
        "a text message": "text",
        "an oversize frame": bytes(MAX_FRAME_BYTES + 1),
    }[fault]
    async with run_server(context), build_pool() as pool:
        await request_document(pool, context)
        async with open_member(context) as websocket:
            await websocket.send(data)
            await websocket.wait_closed()
            context.close_code = websocket.close_code
        # Another member's existing connection still works.
        await request_document(pool, context)
        assert pool.metrics.get_count("peer_drops_total", reason="connection_lost") == 0
        context.is_member_served = True


@when("members connect and send {n:d} random frames")
@run_in_event_loop
async def run_random_frames(context, n):
    source = random.Random(11)
    frame = encode_frame(DocumentRequest("x"), 1)
    async with run_server(context), build_pool() as pool:
        for _ in range(n):
            data = bytearray(frame)
            for _ in range(source.randrange(1, 4)):
                data[source.randrange(len(data))] = source.randrange(256)
            async with open_member(context) as websocket:
                await websocket.send(bytes(data[: source.randrange(len(data) + 1)]))
            assert (await request_document(pool, context)).body == b"ping"
        assert pool.count_connections() == 1
        assert not context.metrics.get_count(
            "peer_failures_total", kind="document_request", code="internal"
        )
        context.is_member_served = True


@then('the digest "{digest}" is answered with {code}')
def add_expected_refusal(context, digest, code):
    refusals = getattr(context, "refusals", [])
    context.refusals = [*refusals, (DocumentRequest(digest), code)]


@then("a message kind without handler is answered with {code}")
def add_missing_handler_refusal(context, code):
    context.refusals = [*context.refusals, (FindAttempt("k"), code)]


@then("all these requests used one peer connection")
@run_in_event_loop
async def check_refusals(context):
    assert len(context.refusals) == 5
    async with run_server(context), build_pool() as pool:
        for message, code in context.refusals:
            error = await get_error(pool.request(context.address, message, 5))
            assert error.code == code, error
        assert (await request_document(pool, context)).body == b"ping"
        assert pool.count_connections() == 1
    n_closed = context.metrics.counters["peer_closed_total"].values()
    assert sum(n_closed) == 1, context.metrics.render()


@when("the peer server stops, a request fails, and it starts again")
@run_in_event_loop
async def restart_server(context):
    async with build_pool(min_back_off_s=0.2, max_back_off_s=0.4) as pool:
        async with run_server(context):
            await request_document(pool, context)
        port = int(context.address.rpartition(":")[2])
        errors = []
        while len(errors) < 50:
            errors.append(await get_error(request_document(pool, context)))
            await anyio.sleep(0.01)
        assert {error.code for error in errors} == {Code.PEER_UNREACHABLE}
        context.pool_metrics = pool.metrics
        context.is_member_served = False
        async with run_server(context, open_socket(port)):
            while not context.is_member_served:
                with contextlib.suppress(ApricotliftError):
                    context.is_member_served = bool(
                        await request_document(pool, context)
                    )
                await anyio.sleep(0.01)


@then("requests during back-off failed without waiting")
def check_back_off(context):
    n_drops = context.pool_metrics.get_count("peer_drops_total", reason="back_off")
    assert n_drops > 10, context.pool_metrics.render()


@when("the peer server cuts the connection during a request")
@run_in_event_loop
async def cut_during_request(context):
    async def cut(websocket):
        link = Link(websocket, Metrics(), is_opener=False)
        identity = Identity("node-a", "0001", "domain-1")
        await authenticate_as_listener(link, identity, SECRET)
        await link.receive()
        websocket.transport.abort()

    listening = open_socket()
    context.address = get_address(listening)
    async with serve(cut, sock=listening), build_pool() as pool:
        context.error = await get_error(request_document(pool, context))
    unused = open_socket()
    context.address = get_address(unused)
    async with build_pool() as pool:
        context.refused = await get_error(request_document(pool, context))
    unused.close()


@then("that peer request fails and may have run")
def check_maybe(context):
    assert context.error.ran == Ran.MAYBE, context.error


@then("a request to an address without a listener fails and has not run")
def check_not_run(context):
    assert context.refused.ran == Ran.NO
    assert context.refused.code == Code.PEER_UNREACHABLE


@given("a listener that never answers the handshake")
def open_silent_listener(context):
    context.listening = open_socket()
    context.listening.listen()


@when("{n:d} one-way messages are sent to it with a queue of {length:d}")
@run_in_event_loop
async def send_messages(context, n, length):
    address = get_address(context.listening)
    async with build_pool(queue_length=length) as pool:
        context.sent = [pool.send(address, HeadRequest()) for _ in range(n)]
        context.metrics = pool.metrics
    context.listening.close()


@then("{n:d} one-way messages were refused and counted as {reason}")
def check_drops(context, n, reason):
    assert context.sent.count(False) == n, context.sent
    assert context.metrics.get_count("peer_drops_total", reason=reason) == n


@when("a pool with an idle time of {idle_s:g} s has sent one request")
def set_idle_time(context, idle_s):
    context.idle_s = idle_s


@then("its connection closes and the next request opens another")
@run_in_event_loop
async def check_idle(context):
    async with run_server(context), build_pool(idle_s=context.idle_s) as pool:
        await request_document(pool, context)
        assert pool.count_connections() == 1
        await wait_until(lambda: not pool.count_connections())
        assert (await request_document(pool, context)).body == b"ping"
        assert pool.metrics.counters.get("peer_drops_total") is None


@given("a peer server with a TLS context")
def prepare_tls_server(context):
    prepare_server(context)
    # Anonymous key exchange avoids the need for a certificate file in the tests.
    context.tls = build_anonymous_context(ssl.PROTOCOL_TLS_SERVER)


def build_anonymous_context(protocol):
    tls = ssl.SSLContext(protocol)
    tls.check_hostname = False
    tls.verify_mode = ssl.CERT_NONE
    tls.maximum_version = ssl.TLSVersion.TLSv1_2
    tls.set_ciphers("AECDH-AES128-SHA:@SECLEVEL=0")
    return tls


@then("a pool with TLS reaches it and a plain-text pool doesn't")
@run_in_event_loop
async def check_tls(context):
    tls = build_anonymous_context(ssl.PROTOCOL_TLS_CLIENT)
    async with run_server(context), build_pool() as plain, build_pool(tls=tls) as pool:
        assert (await request_document(pool, context)).body == b"ping"
        error = await get_error(request_document(plain, context))
        assert error.code == Code.PEER_UNREACHABLE, error


@when('a pool sends a request to the address "{address}"')
def note_unusable_address(context, address):
    address = address.replace("(300 letters)", "a" * 300)
    context.unusable_address = address.replace("\\ud800", "\ud800")


@then("that request fails with peer_unreachable and the pool still reaches the server")
@run_in_event_loop
async def check_pool_goes_on(context):
    async with run_server(context), build_pool() as pool:
        message = DocumentRequest("ping")
        error = await get_error(pool.request(context.unusable_address, message, 5))
        assert error.code == "peer_unreachable", error
        assert (await request_document(pool, context)).body == b"ping"
