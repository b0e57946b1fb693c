"""Connections to other nodes, opened on demand.

Each peer has one task, one connection and one bounded queue. Replies are matched to
requests by number, so several requests to one peer can be in flight. While a peer is
in back-off, requests to it fail at once instead of waiting for their time limit.
"""

import random
import ssl
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from typing import Self

import anyio
from anyio.abc import TaskGroup
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.wire.frames import MAX_FRAME_BYTES, ONE_WAY, Frame, encode_frame
from apricotlift.wire.handshake import Identity, authenticate_as_opener, check_secret
from apricotlift.wire.links import Link, count_close
from apricotlift.wire.listener import CLOSE_TIMEOUT_S, PEER_PATH, PING_INTERVAL_S
from apricotlift.wire.messages import Failure, Message
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException


@dataclass(frozen=True)
class PoolSettings:
    """Limits of the connections to peers.

    :param connect_timeout_s: time limit for connecting and the handshake.
    :param idle_s: time without a queued message or pending request after which the
        connection is closed.
    :param queue_length: messages that may wait for one peer.
    :param min_back_off_s: back-off after the first failure; it doubles with each
        further failure.
    :param max_back_off_s: largest back-off.
    """

    connect_timeout_s: float = 3.0
    idle_s: float = 60.0
    queue_length: int = 256
    min_back_off_s: float = 0.1
    max_back_off_s: float = 5.0


@dataclass
class _QueuedMessage:
    """One queued or sent message; ``done`` is set when it has a reply or an error."""

    request_number: int
    data: bytes
    done: anyio.Event = field(default_factory=anyio.Event)
    reply: Message | None = None
    error: ApricotliftError | None = None
    is_sent: bool = False
    is_abandoned: bool = False

    def fail(self, code: Code, message: str) -> None:
        ran = Ran.MAYBE if self.is_sent else Ran.NO
        self.error = ApricotliftError(code, message, ran=ran, scope=Scope.NODE)
        self.done.set()


class PeerPool:
    """Sends messages to peers by address.

    It is an async context manager; exiting it closes all connections.

    :param get_identity: returns this node's identity at each handshake.
    :param secret: the cluster secret.
    :param tls: TLS client context, or ``None`` for plain TCP.
    """

    def __init__(
        self,
        get_identity: Callable[[], Identity],
        secret: bytes,
        metrics: Metrics,
        tls: ssl.SSLContext | None = None,
        settings: PoolSettings | None = None,
        random_source: random.Random | None = None,
    ):
        check_secret(secret)
        self.get_identity = get_identity
        self.secret = secret
        self.metrics = metrics
        self.tls = tls
        self.settings = settings or PoolSettings()
        self.random = random_source or random.Random()
        self._peers: dict[str, _Peer] = {}
        self._stack = AsyncExitStack()
        self._tasks: TaskGroup | None = None

    async def __aenter__(self) -> Self:
        group = anyio.create_task_group()
        self._tasks = await self._stack.enter_async_context(group)
        return self

    async def __aexit__(self, *details: object) -> None:
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()
        await self._stack.aclose()

    async def request(
        self, address: str, message: Message, timeout_s: float
    ) -> Message:
        """Send a request and return its reply.

        :param address: ``host:port`` of the peer's listener.
        :param timeout_s: time limit, which includes connecting.
        :raises ApricotliftError: ``PEER_UNREACHABLE`` when there is no reply in
            time (``ran`` is ``no`` if nothing was sent), ``FRAME_TOO_LARGE``, the
            reason of a refused connection, or the code of the handler's refusal.
        """
        peer = self._get_peer(address)
        item = peer.enqueue(message, is_request=True)
        try:
            with anyio.move_on_after(timeout_s):
                await item.done.wait()
        finally:
            peer.abandon(item)
        if not item.done.is_set():
            self.count_drop("timeout")
            item.fail(
                Code.PEER_UNREACHABLE,
                f"no reply to {message.kind} from {address} within {timeout_s:g} s",
            )
        if item.error is not None:
            raise item.error
        if isinstance(item.reply, Failure):
            raise _build_failure_error(item.reply, address)
        return item.reply

    def send(self, address: str, message: Message) -> bool:
        """Queue a one-way message and return whether it was queued.

        A message that can't be queued or delivered is dropped and counted.

        :raises ApricotliftError: ``FRAME_TOO_LARGE``.
        """
        try:
            self._get_peer(address).enqueue(message, is_request=False)
        except ApricotliftError as error:
            if error.code != Code.PEER_UNREACHABLE:
                raise
            return False
        return True

    def send_to_all(self, addresses: Iterable[str], message: Message) -> None:
        """Queue one one-way message for several peers.

        A message that can't be queued or delivered is dropped and counted.

        :raises ApricotliftError: ``FRAME_TOO_LARGE``.
        """
        data = encode_frame(message, ONE_WAY)
        for address in addresses:
            # The peer has counted the drop.
            with suppress(ApricotliftError):
                self._get_peer(address).enqueue_frame(data, ONE_WAY)

    def count_drop(self, reason: str) -> None:
        """Count one dropped message."""
        self.metrics.count("peer_drops_total", reason=reason)

    def count_connections(self) -> int:
        """Return the number of peers with an open connection."""
        return sum(peer.is_connected for peer in self._peers.values())

    def remove_peer(self, address: str) -> None:
        """Remove an idle peer; its next message opens a new connection."""
        self._peers.pop(address, None)

    def _get_peer(self, address: str) -> "_Peer":
        peer = self._peers.get(address)
        if peer is None:
            if self._tasks is None:
                raise RuntimeError("PeerPool is used outside its async context")
            peer = _Peer(address, self)
            self._peers[address] = peer
            self._tasks.start_soon(peer.run)
        return peer


class _Peer:
    """One peer: its queue, its connection and the task that sends and receives."""

    def __init__(self, address: str, pool: PeerPool):
        self.is_connected = False
        self._address = address
        self._pool = pool
        self._settings = pool.settings
        self._queue: deque[_QueuedMessage] = deque()
        self._message_queued = anyio.Event()
        self._pending: dict[int, _QueuedMessage] = {}
        self._last_request_number = ONE_WAY
        self._n_failures = 0
        self._back_off_until_s = 0.0

    def enqueue(self, message: Message, is_request: bool) -> _QueuedMessage:
        number = ONE_WAY
        if is_request:
            self._last_request_number += 1
            number = self._last_request_number
        return self.enqueue_frame(encode_frame(message, number), number)

    def enqueue_frame(self, data: bytes, number: int) -> _QueuedMessage:
        if clocks.monotonic() < self._back_off_until_s:
            self._pool.count_drop("back_off")
            raise self._build_error("is in back-off")
        if len(self._queue) >= self._settings.queue_length:
            self._pool.count_drop("queue_full")
            raise self._build_error(f"has a full queue of {len(self._queue)} messages")
        item = _QueuedMessage(number, data)
        self._queue.append(item)
        self._message_queued.set()
        return item

    def abandon(self, item: _QueuedMessage) -> None:
        """Discard a request whose caller no longer waits for the reply."""
        item.is_abandoned = True
        self._pending.pop(item.request_number, None)

    async def run(self) -> None:
        """Send and receive messages until the peer has been idle for ``idle_s``."""
        try:
            await self._serve_queue()
        finally:
            self._fail_queued(
                self._build_error(
                    "is unavailable because its connection task has ended"
                )
            )

    async def _serve_queue(self) -> None:
        while await self._wait_for_message():
            error = await self._connect_and_serve()
            if error is None:
                continue
            count_close(self._pool.metrics, "opener", error)
            self._start_back_off()
            self._fail_queued(error)
        self._pool.remove_peer(self._address)

    async def _wait_for_message(self) -> bool:
        """Wait for at most ``idle_s`` and return whether a message is queued.

        There is no await between the last check of the queue and the return, so the
        caller can act on an empty queue.
        """
        if not self._queue:
            self._message_queued = anyio.Event()
            with anyio.move_on_after(self._settings.idle_s):
                await self._message_queued.wait()
        return bool(self._queue)

    async def _connect_and_serve(self) -> ApricotliftError | None:
        """Open and serve one connection.

        :returns: the error that ended it, or ``None`` when it was idle.
        """
        try:
            async with AsyncExitStack() as stack:
                link = await self._open_link(stack)
                self.is_connected = True
                return await self._serve(link)
        except ApricotliftError as error:
            return error
        except TimeoutError:
            return self._build_error("didn't finish the handshake in time")
        except (OSError, WebSocketException, EOFError, ValueError) as error:
            # An address that can't be used raises ValueError.
            fault = f"{type(error).__name__} {error}"
            return self._build_error(f"did not accept the connection: {fault}")
        finally:
            self.is_connected = False
            self._fail_pending()

    async def _open_link(self, stack: AsyncExitStack) -> Link:
        pool = self._pool
        scheme = "ws" if pool.tls is None else "wss"
        with anyio.fail_after(self._settings.connect_timeout_s):
            opening = connect(
                f"{scheme}://{self._address}{PEER_PATH}",
                ssl=pool.tls,
                compression=None,
                max_size=MAX_FRAME_BYTES,
                open_timeout=None,
                ping_interval=PING_INTERVAL_S,
                ping_timeout=PING_INTERVAL_S,
                close_timeout=CLOSE_TIMEOUT_S,
                user_agent_header=None,
                # Connects directly, even if the environment names a proxy.
                proxy=None,
            )
            websocket = await stack.enter_async_context(opening)
            link = Link(websocket, pool.metrics, is_opener=True)
            try:
                await authenticate_as_opener(link, pool.get_identity(), pool.secret)
            except ApricotliftError as error:
                await link.close(error.code)
                raise
        return link

    async def _serve(self, link: Link) -> ApricotliftError | None:
        errors: list[ApricotliftError] = []
        async with anyio.create_task_group() as tasks:

            async def receive_replies() -> None:
                try:
                    while True:
                        self._accept_reply(await link.receive())
                except ApricotliftError as error:
                    errors.append(error)
                    tasks.cancel_scope.cancel()

            tasks.start_soon(receive_replies)
            try:
                await self._send_queued(link)
            except ApricotliftError as error:
                errors.append(error)
            tasks.cancel_scope.cancel()
        if not errors:
            return None
        await link.close(errors[0].code)
        return errors[0]

    async def _send_queued(self, link: Link) -> None:
        """Send queued messages until none was queued or pending for ``idle_s``."""
        while await self._wait_for_message() or self._pending:
            if not self._queue:
                continue
            item = self._queue.popleft()
            if item.is_abandoned:
                continue
            item.is_sent = True
            if item.request_number != ONE_WAY:
                self._pending[item.request_number] = item
            try:
                await link.send_bytes(item.data)
            except ApricotliftError:
                if item.request_number == ONE_WAY:
                    self._pool.count_drop("connection_lost")
                raise

    def _accept_reply(self, frame: Frame) -> None:
        # A reply proves that the peer works, so the next failure starts a new series.
        self._n_failures = 0
        item = self._pending.pop(frame.request_number, None)
        if item is None:
            self._pool.count_drop("late_reply")
            return
        item.reply = frame.message
        item.done.set()

    def _start_back_off(self) -> None:
        delay_s = self._settings.min_back_off_s * 2 ** min(self._n_failures, 16)
        delay_s = min(delay_s, self._settings.max_back_off_s)
        # Half of the delay is random, so that nodes don't reconnect simultaneously.
        delay_s *= self._pool.random.uniform(0.5, 1.0)
        self._n_failures += 1
        self._back_off_until_s = clocks.monotonic() + delay_s

    def _fail_queued(self, error: ApricotliftError) -> None:
        while self._queue:
            self._pool.count_drop("unreachable")
            self._queue.popleft().fail(error.code, f"{self._address}: {error.message}")

    def _fail_pending(self) -> None:
        pending = list(self._pending.values())
        self._pending.clear()
        for item in pending:
            self._pool.count_drop("connection_lost")
            item.fail(Code.PEER_UNREACHABLE, f"{self._address}: connection lost")

    def _build_error(self, fault: str) -> ApricotliftError:
        return ApricotliftError(
            Code.PEER_UNREACHABLE, f"peer {self._address} {fault}", scope=Scope.NODE
        )


def _build_failure_error(failure: Failure, address: str) -> ApricotliftError:
    known = failure.code in Code.__members__.values()
    code = Code(failure.code) if known else Code.PEER_PROTOCOL
    # The handler may have changed state before it failed.
    return ApricotliftError(
        code, f"{address}: {failure.message}", ran=Ran.MAYBE, scope=Scope.NODE
    )
