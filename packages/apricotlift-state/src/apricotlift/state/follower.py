"""Follows the configuration head at a node.

Each second the node reads the head from the table. When that fails it asks two
peers, whose word counts with their own age plus the round trip. Versions only
increase: a lower one from a stale reader is ignored and counted.
"""

import random as random_module
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial

import anyio
from apricotlift.core import logs
from apricotlift.core.clocks import monotonic
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.platform import ObjectStore, Table
from apricotlift.state.configuration import Head, check_document, read_head
from apricotlift.state.freshness import Freshness
from apricotlift.state.snapshots import Snapshot
from apricotlift.wire.messages import DocumentReply, HeadReply

READ_TIMEOUT_S = 0.8
POLL_INTERVAL_S = 1.0
N_ASKED_PEERS = 2

#: Longest delay before the next poll while nothing answers. Its random share spreads
#: the first reads of all nodes after an outage over two seconds.
OUTAGE_DELAY_S = 2.0

_JITTER = 0.1

#: Limit for one source of a document, so that a hanging object store leaves time to
#: ask peers within the 4 s in which a version is to be in force.
DOCUMENT_TIMEOUT_S = 1.5


@dataclass(frozen=True)
class Peers:
    """Calls to other nodes.

    Each call raises :class:`ApricotliftError` when the peer doesn't answer.

    :param choose: returns up to so many peers to ask, at random.
    :param request_head: asks a peer for the head.
    :param request_document: asks a peer for the document of a digest.
    """

    choose: Callable[[int], Sequence[str]]
    request_head: Callable[[str], Awaitable[HeadReply]]
    request_document: Callable[[str, str], Awaitable[DocumentReply]]


@dataclass(frozen=True)
class _Finding:
    """A head that one source named.

    :param started_at: when the request began.
    :param age_s: the age of a peer's own confirmation.
    """

    head: Head
    started_at: float
    source: str
    age_s: float = 0.0

    @property
    def as_of(self) -> float:
        """When the head was certainly the newest."""
        return self.started_at - self.age_s


class ConfigurationFollower:
    """Keeps the newest configuration of a node in force.

    :param on_applied: called after a version is in force, for example to write it
        to the lease row at once. It must not wait.
    :param clock: a clock that counts suspended time.
    """

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        peers: Peers,
        freshness: Freshness,
        metrics: Metrics,
        random: random_module.Random,
        on_applied: Callable[[Snapshot], None] = lambda snapshot: None,
        clock: Callable[[], float] = monotonic,
    ):
        self._table = table
        self._objects = objects
        self._peers = peers
        self._freshness = freshness
        self._metrics = metrics
        self._random = random
        self._on_applied = on_applied
        self._clock = clock
        self._snapshot: Snapshot | None = None
        self._as_of = float("-inf")
        self._noticed = 0
        self._applied = anyio.Event()
        self._wake = anyio.Event()

    @property
    def snapshot(self) -> Snapshot | None:
        """The configuration in force, ``None`` before the first one."""
        return self._snapshot

    @property
    def version(self) -> int:
        """The version in force, 0 before the first one."""
        return self._snapshot.version if self._snapshot else 0

    def get_snapshot(self) -> Snapshot:
        """Return the configuration in force.

        :raises ApricotliftError: ``no_config`` before the first one.
        """
        if self._snapshot is None:
            raise ApricotliftError(Code.NO_CONFIG, "no configuration is loaded yet")
        return self._snapshot

    def get_document(self, digest: str) -> bytes | None:
        """Return the document in force if it has this digest, for a peer."""
        if self._snapshot is None or self._snapshot.digest != digest:
            return None
        return self._snapshot.body

    def notice_version(self, version: int) -> None:
        """Poll at once when a peer's gossip names a newer version."""
        if version > max(self.version, self._noticed):
            self._noticed = version
            self._freshness.observe_hint(version)
            self._wake.set()

    async def wait_for_version(self, version: int) -> Snapshot:
        """Return the first configuration in force at this version or later."""
        while self.version < version:
            await self._applied.wait()
        return self.get_snapshot()

    async def run(self) -> None:
        """Follow the head until cancelled."""
        # Nodes that start together don't read together.
        await anyio.sleep(self._random.uniform(0, POLL_INTERVAL_S * _JITTER))
        while True:
            started_at = self._clock()
            confirmed = await self.poll()
            await self._pause(self.choose_delay(confirmed, started_at))

    async def poll(self) -> bool:
        """Ask once for the head and put a newer version in force.

        :returns: whether the version in force was confirmed later than before.
        """
        as_of_before = self._as_of
        finding = await self._ask_table()
        if finding is None or not await self._take(finding):
            for item in await self._ask_peers():
                if await self._take(item):
                    break
        return self._as_of > as_of_before

    def choose_delay(self, confirmed: bool, started_at: float) -> float:
        """Return the seconds until the next poll.

        :param confirmed: whether the last poll confirmed the version.
        :param started_at: when the last poll began.
        """
        if not confirmed:
            return self._random.uniform(0, OUTAGE_DELAY_S)
        jitter = self._random.uniform(1 - _JITTER, 1 + _JITTER)
        elapsed_s = self._clock() - started_at
        return max(0.0, POLL_INTERVAL_S * jitter - elapsed_s)

    async def _pause(self, delay_s: float) -> None:
        with anyio.move_on_after(delay_s):
            await self._wake.wait()
        self._wake = anyio.Event()

    async def _ask_table(self) -> _Finding | None:
        # The age counts from before the read: an answer may wait in a buffer while
        # this process is paused.
        started_at = self._clock()
        try:
            with anyio.fail_after(READ_TIMEOUT_S):
                head = await read_head(self._table)
        except TimeoutError:
            self._count_failure("table", "timeout")
            return None
        except ApricotliftError as error:
            self._count_failure("table", error.code)
            return None
        self._metrics.observe("config_poll_seconds", self._clock() - started_at)
        return _Finding(head, started_at, "table")

    async def _ask_peers(self) -> list[_Finding]:
        findings: list[_Finding] = []
        async with anyio.create_task_group() as tasks:
            for peer in self._peers.choose(N_ASKED_PEERS):
                tasks.start_soon(self._ask_peer, peer, findings)
        findings.sort(key=lambda item: (item.head.version, item.as_of), reverse=True)
        return findings

    async def _ask_peer(self, peer: str, findings: list[_Finding]) -> None:
        started_at = self._clock()
        try:
            with anyio.fail_after(READ_TIMEOUT_S):
                answer = await self._peers.request_head(peer)
        except TimeoutError:
            self._count_failure("peer", "timeout")
            return
        except ApricotliftError as error:
            self._count_failure("peer", error.code)
            return
        if not answer.known or answer.age_ms < 0:
            self._count_failure("peer", Code.NO_CONFIG)
            return
        # The peer's age is as of its answer; counting it from before the request adds
        # the whole round trip.
        head = Head(answer.version, answer.digest)
        findings.append(_Finding(head, started_at, "peer", answer.age_ms / 1000))

    async def _take(self, finding: _Finding) -> bool:
        """Apply what a source named, if it isn't older than what is in force.

        :returns: whether the source confirmed the version that is now in force.
        """
        head = finding.head
        if head.version < self.version:
            self._metrics.count("config_stale_heads_total", source=finding.source)
            logs.log(
                logs.WARNING,
                "config_head_is_stale",
                source=finding.source,
                version=head.version,
                version_in_force=self.version,
            )
            return False
        if head.version == 0:
            self._count_failure(finding.source, Code.NO_CONFIG)
            return False
        is_newer = head.version > self.version
        if not is_newer and head.digest != self.get_snapshot().digest:
            self._count_failure(finding.source, "digest_mismatch")
            return False
        if finding.source == "table":
            self._freshness.observe_read(head.version, finding.started_at)
        else:
            self._freshness.observe_peer(
                head.version, finding.age_s, finding.started_at
            )
        if is_newer:
            snapshot = await self._load(head)
            if snapshot is None:
                return False
            self._put_in_force(snapshot)
        self._as_of = max(self._as_of, finding.as_of)
        return True

    async def _load(self, head: Head) -> Snapshot | None:
        sources = [partial(self._read_object, head.digest)]
        for peer in self._peers.choose(N_ASKED_PEERS):
            sources.append(partial(self._read_from_peer, peer, head.digest))
        for name, read in zip(("objects", "peer", "peer"), sources, strict=False):
            try:
                with anyio.fail_after(DOCUMENT_TIMEOUT_S):
                    body = await read()
                check_document(body, head.digest)
                # Decoding takes 0.15 s for 2,600 accounts, and in the event loop it
                # would hold up all streams.
                return await anyio.to_thread.run_sync(
                    Snapshot, head.version, head.digest, body
                )
            except TimeoutError:
                self._count_failure(name, "timeout")
            except ApricotliftError as error:
                self._count_failure(name, error.code)
        logs.log(logs.ERROR, "config_document_missing", version=head.version)
        return None

    async def _read_object(self, digest: str) -> bytes:
        return await self._objects.get(digest)

    async def _read_from_peer(self, peer: str, digest: str) -> bytes:
        answer = await self._peers.request_document(peer, digest)
        if not answer.found:
            message = f"peer {peer} hasn't document {digest}"
            raise ApricotliftError(Code.OBJECT_MISSING, message)
        return answer.body

    def _put_in_force(self, snapshot: Snapshot) -> None:
        # Only this function sets the snapshot, so the check covers every path.
        if snapshot.version <= self.version:
            self._metrics.count("invariant_violations_total", invariant="config")
            raise AssertionError(
                f"version {snapshot.version} would replace version {self.version}"
            )
        self._snapshot = snapshot
        self._freshness.put_in_force(snapshot.version)
        self._metrics.count("config_versions_applied_total")
        self._metrics.gauge("config_version", snapshot.version)
        logs.log(
            logs.INFO,
            "config_applied",
            version=snapshot.version,
            digest=snapshot.digest,
        )
        applied, self._applied = self._applied, anyio.Event()
        applied.set()
        self._on_applied(snapshot)

    def _count_failure(self, source: str, reason: str) -> None:
        self._metrics.count("config_failures_total", source=source, reason=reason)
