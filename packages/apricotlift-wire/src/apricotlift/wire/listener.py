"""Accepts connections from other nodes and runs the handlers of their messages."""

import logging
import socket
import ssl
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from functools import partial
from http import HTTPStatus
from typing import Self

import anyio
from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.wire.frames import MAX_FRAME_BYTES, ONE_WAY, Frame
from apricotlift.wire.handshake import (
    Identity,
    authenticate_as_listener,
    check_secret,
)
from apricotlift.wire.links import Link, count_close
from apricotlift.wire.messages import Failure, Message
from websockets.asyncio.server import ServerConnection, serve
from websockets.http11 import Request, Response
from websockets.protocol import State

PEER_PATH = "/peer"

HANDSHAKE_TIMEOUT_S = 5.0

#: A replaced secret is accepted for this time, because some peers learn of the new one
#: later, for example those that cannot reach the store.
EARLIER_SECRET_S = 3600.0
PING_INTERVAL_S = 10.0
CLOSE_TIMEOUT_S = 2.0

#: Limits the connections that have not authenticated yet. Further ones are closed at
#: once, so that unauthenticated clients can't exhaust the node's memory.
MAX_UNAUTHENTICATED_CONNECTIONS = 64

#: Limits the connections whose HTTP handshake isn't complete. For each further one, the
#: oldest of them is closed, so that slow clients don't keep peers out.
MAX_OPENING_CONNECTIONS = 64
#: Limits the bytes that a client sends before its HTTP handshake is complete.
MAX_HANDSHAKE_BYTES = 16_384
#: asyncio accepts as many connections at once as the backlog that it is given.
ACCEPT_BATCH = 32
BACKLOG = 2048

#: Refused connections are logged at most this often, and counted in any case.
REFUSALS_LOGGED_PER_S = 1.0
MAX_BURST_REFUSALS_LOGGED = 10.0

#: Limits the frames of one connection that are buffered before they are handled. An
#: unauthenticated client can occupy this many frames of the largest size until the
#: handshake times out.
MAX_READ_AHEAD_FRAMES = 4

#: Limits the requests of one connection that run at the same time. At the limit,
#: reading stops, so TCP flow control slows down the peer.
MAX_CONCURRENT_REQUESTS = 64

#: After a connection is lost, its handlers have this time to finish writes that they
#: have begun.
HANDLER_GRACE_S = 5.0

Handler = Callable[[Message, Identity], Awaitable[Message | None]]


def _build_quiet_logger() -> logging.Logger:
    """Return a logger that leaves out failed handshakes, which clients can cause."""
    logger = logging.getLogger("websockets.server.peers")
    logger.setLevel(logging.CRITICAL)
    return logger


class _OpeningConnection(ServerConnection):
    """A connection that is limited until its HTTP handshake is complete.

    :param opening: the connections whose handshake isn't complete, the oldest first.
    """

    def __init__(self, opening: dict, metrics: Metrics, *arguments, **options):
        super().__init__(*arguments, **options)
        self._opening = opening
        self._metrics = metrics
        self._n_bytes = 0

    def connection_made(self, transport) -> None:
        """Start the handshake, and end the oldest one if there are too many."""
        super().connection_made(transport)
        if len(self._opening) >= MAX_OPENING_CONNECTIONS:
            oldest = next(iter(self._opening))
            oldest.refuse_handshake(Code.OVERLOADED)
        self._opening[self] = None

    def connection_lost(self, exc) -> None:
        """Forget the connection."""
        self._opening.pop(self, None)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse data, and end a handshake that is too long."""
        if self not in self._opening:
            super().data_received(data)
            return
        self._n_bytes += len(data)
        if self._n_bytes > MAX_HANDSHAKE_BYTES:
            self.refuse_handshake(Code.HEADERS_TOO_LARGE)
            return
        super().data_received(data)
        if self.protocol.state is not State.CONNECTING:
            self._opening.pop(self, None)

    def refuse_handshake(self, reason: Code) -> None:
        """Close the connection without a response."""
        self._opening.pop(self, None)
        self._metrics.count("peer_closed_total", side="listener", reason=reason)
        self.transport.abort()


class PeerServer:
    """Accepts peers on a bound socket and passes their messages to handlers.

    It is an async context manager and accepts connections while it is entered.

    :param listening_socket: a bound TCP socket, which the server closes.
    :param get_identity: returns this node's identity at each handshake.
    :param secret: the cluster secret.
    :param tls: TLS server context, or ``None`` for plain TCP.
    """

    def __init__(
        self,
        listening_socket: socket.socket,
        get_identity: Callable[[], Identity],
        secret: bytes,
        metrics: Metrics,
        tls: ssl.SSLContext | None = None,
    ):
        check_secret(secret)
        self._socket = listening_socket
        self._get_identity = get_identity
        self._secret = secret
        # Secrets that were replaced, with the time until which they are accepted.
        self._earlier_secrets: dict[bytes, float] = {}
        self._metrics = metrics
        self._tls = tls
        self._handlers: dict[str, Handler] = {}
        self._n_unauthenticated = 0
        self._opening: dict[_OpeningConnection, None] = {}
        self._refusal_limiter = logs.LineRateLimiter(
            REFUSALS_LOGGED_PER_S, MAX_BURST_REFUSALS_LOGGED
        )
        self._n_connections = 0
        self._stack = AsyncExitStack()

    def replace_secret(self, secret: bytes) -> None:
        """Authenticate with another secret, and accept the present one for a while."""
        check_secret(secret)
        until = anyio.current_time() + EARLIER_SECRET_S
        self._earlier_secrets[self._secret] = until
        self._earlier_secrets.pop(secret, None)
        self._secret = secret

    def _list_secrets(self) -> list[bytes]:
        now = anyio.current_time()
        for secret, until in list(self._earlier_secrets.items()):
            if until < now:
                del self._earlier_secrets[secret]
        return [self._secret, *self._earlier_secrets]

    def register(self, message_class: type[Message], handler: Handler) -> None:
        """Set the handler of a message kind.

        The handler returns the reply, or ``None`` for a one-way message. When it
        raises an ``ApricotliftError``, the error's code is sent to the requester.

        :raises ValueError: when the kind already has a handler.
        """
        if message_class.kind in self._handlers:
            raise ValueError(f"{message_class.kind} already has a handler")
        self._handlers[message_class.kind] = handler

    async def __aenter__(self) -> Self:
        server = serve(
            self._serve_connection,
            sock=self._socket,
            ssl=self._tls,
            process_request=self._check_path,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            max_queue=MAX_READ_AHEAD_FRAMES,
            create_connection=partial(_OpeningConnection, self._opening, self._metrics),
            logger=_build_quiet_logger(),
            backlog=ACCEPT_BATCH,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_INTERVAL_S,
            close_timeout=CLOSE_TIMEOUT_S,
            server_header=None,
        )
        await self._stack.enter_async_context(server)
        self._socket.listen(BACKLOG)
        return self

    async def __aexit__(self, *details: object) -> None:
        await self._stack.aclose()

    def _check_path(
        self, connection: ServerConnection, request: Request
    ) -> Response | None:
        if request.path == PEER_PATH:
            return None
        self._count_close(Code.NOT_FOUND)
        return connection.respond(HTTPStatus.NOT_FOUND, "not found\n")

    async def _serve_connection(self, websocket: ServerConnection) -> None:
        link = Link(websocket, self._metrics, is_opener=False)
        peer = await self._authenticate(link)
        if peer is None:
            return
        self._update_connection_count(1)
        try:
            await self._serve_peer(link, peer)
        except ApricotliftError as error:
            count_close(self._metrics, "listener", error)
            await link.close(error.code)
        finally:
            self._update_connection_count(-1)

    async def _authenticate(self, link: Link) -> Identity | None:
        if self._n_unauthenticated >= MAX_UNAUTHENTICATED_CONNECTIONS:
            self._count_close(Code.OVERLOADED)
            return None
        self._n_unauthenticated += 1
        try:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                return await authenticate_as_listener(
                    link, self._get_identity(), *self._list_secrets()
                )
        except ApricotliftError as error:
            count_close(self._metrics, "listener", error)
            if self._refusal_limiter.take():
                logs.log(
                    logs.WARNING, "peer_refused", code=error.code, reason=str(error)
                )
            await link.close(error.code)
        except TimeoutError:
            self._count_close(Code.SLOW_SENDER)
        finally:
            self._n_unauthenticated -= 1
        return None

    async def _serve_peer(self, link: Link, peer: Identity) -> None:
        request_slots = anyio.Semaphore(MAX_CONCURRENT_REQUESTS)
        async with anyio.create_task_group() as tasks:
            try:
                while True:
                    await request_slots.acquire()
                    frame = await link.receive()
                    tasks.start_soon(
                        self._handle_request, link, peer, frame, request_slots
                    )
            except ApricotliftError as error:
                # Raised outside the task group, which would wrap it in an exception
                # group.
                close_error = error
                tasks.cancel_scope.deadline = anyio.current_time() + HANDLER_GRACE_S
        raise close_error

    async def _handle_request(
        self, link: Link, peer: Identity, frame: Frame, request_slots: anyio.Semaphore
    ) -> None:
        try:
            reply = await self._run_handler(peer, frame.message)
            if frame.request_number != ONE_WAY and reply is not None:
                await link.send(reply, frame.request_number)
        except ApricotliftError as error:
            # The reply couldn't be sent. If the connection is closed, the task that
            # receives frames ends too.
            reason = error.code
            self._metrics.count("peer_drops_total", reason=f"reply_{reason}")
            is_unsendable = reason in (Code.FRAME_TOO_LARGE, Code.PEER_PROTOCOL)
            if is_unsendable and link.websocket.close_code is None:
                await self._send_failure(link, frame.request_number, error)
        finally:
            request_slots.release()

    async def _send_failure(
        self, link: Link, request_number: int, error: ApricotliftError
    ) -> None:
        try:
            await link.send(Failure(str(error.code), error.message), request_number)
        except ApricotliftError as send_error:
            self._metrics.count("peer_drops_total", reason=f"reply_{send_error.code}")

    async def _run_handler(self, peer: Identity, message: Message) -> Message | None:
        handler = self._handlers.get(message.kind)
        if handler is None:
            self._count_failure(message, Code.NOT_FOUND)
            return Failure(
                str(Code.NOT_FOUND), f"no handler for messages of kind {message.kind}"
            )
        try:
            return await handler(message, peer)
        except ApricotliftError as error:
            self._count_failure(message, error.code)
            return Failure(str(error.code), error.message)
        # An unexpected exception of one handler must not close the peer's connection.
        except Exception:
            self._count_failure(message, Code.INTERNAL)
            logs.log_exception("peer_handler_failed", kind=message.kind)
            return Failure(str(Code.INTERNAL), f"the handler of {message.kind} failed")

    def _count_failure(self, message: Message, code: Code) -> None:
        self._metrics.count("peer_failures_total", kind=message.kind, code=code)

    def _count_close(self, reason: Code) -> None:
        self._metrics.count("peer_closed_total", side="listener", reason=reason)

    def _update_connection_count(self, change: int) -> None:
        self._n_connections += change
        self._metrics.gauge("peer_connections", self._n_connections, side="listener")
