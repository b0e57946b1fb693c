"""The node's shared state: platform clients, peers, membership, configuration."""

import random
import socket
import ssl
from collections.abc import Awaitable, Callable, Iterable
from contextlib import AsyncExitStack
from typing import Self

import anyio
from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.node.settings import NodeSettings
from apricotlift.platform import ObjectStore, Table
from apricotlift.state.claimbatch import WriteBatcher
from apricotlift.state.claims import ClaimManager
from apricotlift.state.follower import ConfigurationFollower, ConfigurationPeers
from apricotlift.state.membership import Membership
from apricotlift.state.prefixes import PrefixIndex
from apricotlift.state.snapshots import Snapshot
from apricotlift.state.suspects import SuspectRegistry
from apricotlift.state.view import MemberState
from apricotlift.upstreams.pool import Pool
from apricotlift.wire.connections import PeerPool, PeerServer
from apricotlift.wire.handshake import Identity
from apricotlift.wire.messages import (
    Ack,
    ClearSuspect,
    DocumentReply,
    DocumentRequest,
    DropBlocks,
    FindAttempt,
    FindAttemptReply,
    HeadReply,
    HeadRequest,
    Locate,
    LocateReply,
    MemberSummary,
    Message,
    RecordAttempt,
    RecordRuns,
    ReportCrash,
)

PEER_TIMEOUT_S = 0.8
#: How long a second owner's reply is awaited after the first one.
SECOND_REPLY_TIMEOUT_S = 0.02
MAX_DOCUMENT_PART_BYTES = 131_072
MAX_ATTEMPT_HINTS = 20_000
_PUBLISH_RETRY_S = 0.5


class Cluster:
    """Holds the platform clients and the state that this node shares with others.

    It is an async context manager; leaving it stops its tasks.

    :param peer_socket: the bound socket of the peer listener.
    :param peer_address: the address under which other nodes reach this node.
    :param caller_address: the address under which callers reach this node.
    """

    def __init__(
        self,
        settings: NodeSettings,
        metrics: Metrics,
        pool: Pool,
        peer_socket: socket.socket,
        peer_address: str,
        caller_address: str,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
    ):
        platform = settings.platform
        self.metrics = metrics
        self.random = random.Random()
        self.table = Table(
            platform.table_url,
            platform.table_name,
            pool,
            metrics,
            platform.timeout_s,
            platform.authorization,
        )
        self.objects = ObjectStore(
            platform.objects_url, pool, authorization=platform.authorization
        )
        secret = settings.cluster.secret.encode()
        self.peers = PeerPool(self._get_identity, secret, metrics, client_tls)
        self.server = PeerServer(
            peer_socket, self._get_identity, secret, metrics, server_tls
        )
        own_summary = MemberSummary(
            settings.node.name,
            "",
            peer_address,
            caller_address,
            settings.node.failure_domain,
            MemberState.SERVING,
        )
        self.membership = Membership(own_summary, self.table, self.peers, metrics)
        self.follower = ConfigurationFollower(
            self.table,
            self.objects,
            ConfigurationPeers(
                self._choose_peers, self._request_head, self._request_document
            ),
            self.membership.freshness,
            metrics,
            self.random,
            self._on_applied,
        )
        self.membership.gossip.on_newer_version = self.follower.handle_newer_version
        self.batcher = WriteBatcher(self.table, metrics)
        self.claims = ClaimManager(
            self.table,
            self.objects,
            self.batcher.write,
            metrics,
            settings.node.name,
            self._get_incarnation,
            self.is_alive,
        )
        self.suspects = SuspectRegistry(
            self.table,
            metrics,
            settings.node.name,
            self._get_incarnation,
            self.is_alive,
        )
        self.prefixes = PrefixIndex(metrics)
        self.attempt_hints: dict[str, RecordAttempt] = {}
        self._applied = anyio.Event()
        self._stack = AsyncExitStack()
        self._register_handlers()

    async def __aenter__(self) -> Self:
        await self._stack.enter_async_context(self.peers)
        await self._stack.enter_async_context(self.server)
        await self._stack.enter_async_context(self.membership)
        tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self._stack.callback(tasks.cancel_scope.cancel)
        await tasks.start(self.batcher.run)
        await tasks.start(self.claims.run)
        await tasks.start(self.suspects.run)
        tasks.start_soon(self._follow_configuration)
        tasks.start_soon(self._publish_versions)
        return self

    async def __aexit__(self, *details: object) -> None:
        await self._stack.aclose()

    @property
    def node_id(self) -> str:
        """This node's id."""
        return self.membership.view.own.node_id

    def is_alive(self, node_id: str, incarnation: str) -> bool:
        """Return whether a node has the given incarnation and is not suspected."""
        if node_id == self.node_id:
            return incarnation == self.membership.lease.incarnation
        member = self.membership.view.members.get(node_id)
        return (
            member is not None
            and member.summary.incarnation == incarnation
            and not self.membership.view.is_suspected(node_id)
        )

    async def publish_serving(self) -> None:
        """Publish the state ``serving`` after a drain was cancelled."""
        self.membership.lease.state = MemberState.SERVING
        await self.membership.lease.renew()

    async def query_owners(
        self, key: bytes | str, message: Message, timeout_s: float
    ) -> list[Message]:
        """Send a message to a shard's owners and return their replies.

        Both owners are awaited, because a new owner may have fewer records than the
        other one. After the first reply, the second is awaited for at most
        ``SECOND_REPLY_TIMEOUT_S``. If this node is an owner, it calls its own handler
        instead of sending a message.

        :returns: the replies received in time; empty if there were none.
        """
        replies: list[Message] = []
        owners = self.membership.view.choose_owners(key)
        with anyio.move_on_after(timeout_s) as scope:
            async with anyio.create_task_group() as tasks:

                async def query_owner(owner: str) -> None:
                    reply = await self._query_owner(owner, message, timeout_s)
                    if reply is not None:
                        replies.append(reply)
                        second_deadline_at = (
                            anyio.current_time() + SECOND_REPLY_TIMEOUT_S
                        )
                        scope.deadline = min(scope.deadline, second_deadline_at)

                for owner in owners:
                    tasks.start_soon(query_owner, owner)
        if not replies:
            self.metrics.count("owner_queries_unanswered_total", kind=message.kind)
        return replies

    async def send_to_owners(self, key: bytes | str, message: Message) -> None:
        """Send a message to a shard's owners without waiting for replies."""
        await self._send_to_nodes(self.membership.view.choose_owners(key), message)

    async def send_to_all(self, message: Message) -> None:
        """Send a message to all nodes that may own shards, including this node."""
        await self._send_to_nodes(self.membership.view.get_eligible(), message)

    async def _send_to_nodes(self, nodes: Iterable[str], message: Message) -> None:
        for node_id in nodes:
            if node_id == self.node_id:
                await self._handlers[type(message)](message, self._get_identity())
                continue
            address = self.membership.view.get_address(node_id)
            if address is not None:
                self.peers.send(address, message)

    async def send_to_owners_and_wait(
        self, key: bytes | str, message: Message, timeout_s: float
    ) -> None:
        """Send a message to a shard's owners and wait a limited time for replies."""
        with anyio.move_on_after(timeout_s):
            async with anyio.create_task_group() as tasks:
                for owner in self.membership.view.choose_owners(key):
                    tasks.start_soon(self._query_owner, owner, message, timeout_s)

    async def _query_owner(
        self, owner: str, message: Message, timeout_s: float
    ) -> Message | None:
        if owner == self.node_id:
            return await self._handlers[type(message)](message, self._get_identity())
        address = self.membership.view.get_address(owner)
        if address is None:
            return None
        try:
            return await self.peers.request(address, message, timeout_s)
        except ApricotliftError as error:
            self.metrics.count("owner_queries_failed_total", code=error.code)
            return None

    def _register_handlers(self) -> None:
        self._handlers: dict[
            type[Message], Callable[[Message, Identity], Awaitable[Message | None]]
        ] = {
            HeadRequest: self._handle_head_request,
            DocumentRequest: self._handle_document_request,
            Locate: self._handle_locate,
            RecordRuns: self._handle_record_runs,
            DropBlocks: self._handle_drop_blocks,
            ReportCrash: self._handle_report_crash,
            ClearSuspect: self._handle_clear_suspect,
            RecordAttempt: self._handle_record_attempt,
            FindAttempt: self._handle_find_attempt,
        }
        for message_type, handler in self._handlers.items():
            self.server.register(message_type, handler)
        self.membership.register(self.server)

    def _get_identity(self) -> Identity:
        return self.membership.get_identity()

    def _get_incarnation(self) -> str:
        return self.membership.lease.incarnation

    # Configuration

    def _choose_peers(self, n_peers: int) -> list[str]:
        serving = [
            member.peer_address
            for member in self.membership.view.get_serving()
            if member.node_id != self.node_id
        ]
        return self.random.sample(serving, min(n_peers, len(serving)))

    async def _request_head(self, address: str) -> HeadReply:
        return await self._request(address, HeadRequest(), HeadReply)

    async def _request_document(self, address: str, digest: str) -> DocumentReply:
        body = b""
        while True:
            message = DocumentRequest(digest, len(body))
            part = await self._request(address, message, DocumentReply)
            body += part.body
            if not part.found or not part.body or len(body) >= part.size_bytes:
                return DocumentReply(part.found, body, len(body))

    async def _request(self, address: str, message: Message, reply_type: type):
        reply = await self.peers.request(address, message, PEER_TIMEOUT_S)
        if not isinstance(reply, reply_type):
            text = (
                f"peer {address} answered {message.kind} with unexpected {reply.kind}"
            )
            raise ApricotliftError(Code.PEER_PROTOCOL, text)
        return reply

    async def _follow_configuration(self) -> None:
        # A configuration change is accepted once every member listed in the table
        # has it. A node that served before its row was written would not be waited
        # for.
        while not await self.membership.lease.renew():
            await anyio.sleep(_PUBLISH_RETRY_S)
        await self.follower.run()

    def _on_applied(self, snapshot: Snapshot) -> None:
        logs.log(logs.INFO, "configuration_in_force", version=snapshot.version)
        self._applied.set()

    async def _publish_versions(self) -> None:
        published = 0
        while True:
            await self._applied.wait()
            self._applied = anyio.Event()
            while published < self.follower.version:
                version = self.follower.version
                if await self.membership.publish_version(version):
                    published = version
                else:
                    await anyio.sleep(_PUBLISH_RETRY_S)

    # Handlers

    async def _handle_head_request(
        self, message: HeadRequest, peer: Identity
    ) -> HeadReply:
        age_ms = self.membership.freshness.get_age_ms()
        snapshot = self.follower.snapshot
        if snapshot is None or age_ms < 0:
            return HeadReply(0, "", 0, False)
        return HeadReply(snapshot.version, snapshot.digest, age_ms, True)

    async def _handle_document_request(
        self, message: DocumentRequest, peer: Identity
    ) -> DocumentReply:
        body = self.follower.get_document(message.digest)
        if body is None:
            return DocumentReply(False, b"")
        part = body[message.offset : message.offset + MAX_DOCUMENT_PART_BYTES]
        return DocumentReply(True, part, len(body))

    async def _handle_locate(self, message: Locate, peer: Identity) -> LocateReply:
        runs = self.prefixes.locate(message.shard_key, message.chain)
        n_crashes = self.suspects.count_crashes(message.fingerprint.hex())
        return LocateReply(runs, n_crashes, bool(runs))

    async def _handle_record_runs(self, message: RecordRuns, peer: Identity) -> None:
        self.prefixes.record(message.shard_key, message.runs)

    async def _handle_drop_blocks(self, message: DropBlocks, peer: Identity) -> None:
        if not message.blocks:
            self.prefixes.remove_holder(message.holder, message.boot_id)
            return
        self.prefixes.remove_blocks(
            message.shard_key, message.holder, message.boot_id, message.blocks
        )

    async def _handle_report_crash(self, message: ReportCrash, peer: Identity) -> Ack:
        self.suspects.record_peer_crash(
            message.fingerprint.hex(), message.upstream, message.boot_id
        )
        return Ack()

    async def _handle_clear_suspect(self, message: ClearSuspect, peer: Identity) -> Ack:
        self.suspects.record_peer_clear(message.fingerprint.hex())
        return Ack()

    async def _handle_record_attempt(
        self, message: RecordAttempt, peer: Identity
    ) -> None:
        self.attempt_hints[message.request_key] = message
        while len(self.attempt_hints) > MAX_ATTEMPT_HINTS:
            del self.attempt_hints[next(iter(self.attempt_hints))]

    async def _handle_find_attempt(
        self, message: FindAttempt, peer: Identity
    ) -> FindAttemptReply:
        hint = self.attempt_hints.get(message.request_key)
        if hint is None:
            return FindAttemptReply(False, "", "", "")
        return FindAttemptReply(True, hint.attempt_id, hint.upstream, hint.slot)
