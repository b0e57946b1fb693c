"""Keeps a node on the newest configuration version.

Each second the node reads the head from the table. When the read fails, it asks two
peers; the age of a peer's answer is the peer's own freshness age plus the round trip.
The version in force never decreases: a lower version from a stale source is ignored
and counted.
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
from apricotlift.state.configuration import ConfigurationHead, check_document, read_head
from apricotlift.state.freshness import Freshness
from apricotlift.state.snapshots import Snapshot
from apricotlift.wire.messages import DocumentReply, HeadReply

READ_TIMEOUT_S = 0.8
POLL_INTERVAL_S = 1.0
MAX_ASKED_PEERS = 2

#: Longest delay before the next poll after a failed one. The delay is uniformly random
#: up to this limit, so that the first reads of all nodes after an outage are spread
#: over two seconds.
MAX_OUTAGE_DELAY_S = 2.0

_JITTER = 0.1

#: Timeout for reading a document from one source. A new version must be in force
#: within 4 s, so a hanging object store must leave time to ask peers.
DOCUMENT_TIMEOUT_S = 1.5


@dataclass(frozen=True)
class ConfigurationPeers:
    """Functions that send configuration requests to other nodes.

    Each request raises :class:`ApricotliftError` when the peer doesn't answer.

    :param choose: returns random peers, at most as many as its argument.
    :param request_head: requests the head from a peer.
    :param request_document: requests the document with a digest from a peer.
    """

    choose: Callable[[int], Sequence[str]]
    request_head: Callable[[str], Awaitable[HeadReply]]
    request_document: Callable[[str, str], Awaitable[DocumentReply]]


@dataclass(frozen=True)
class _HeadReport:
    """A head reported by the table or a peer.

    :param started_at: when the request began, in seconds of the follower's clock.
    :param source: ``table`` or ``peer``.
    :param age_s: the freshness age that a peer reported with its head.
    """

    head: ConfigurationHead
    started_at: float
    source: str
    age_s: float = 0.0

    @property
    def confirmed_at(self) -> float:
        """A time at which this head was certainly the newest."""
        return self.started_at - self.age_s


class ConfigurationFollower:
    """Polls the configuration head and puts newer versions in force.

    :param on_applied: called after a version was put in force, for example to write
        it to the lease row at once. It must not block.
    :param clock: returns seconds of a monotonic clock that counts suspended time.
    """

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        peers: ConfigurationPeers,
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
        self._confirmed_at = float("-inf")
        self._newest_hinted_version = 0
        self._version_applied = anyio.Event()
        self._poll_requested = anyio.Event()

    @property
    def snapshot(self) -> Snapshot | None:
        """The configuration in force; ``None`` before the first one is loaded."""
        return self._snapshot

    @property
    def version(self) -> int:
        """The version in force; 0 before the first one is loaded."""
        return self._snapshot.version if self._snapshot else 0

    def get_snapshot(self) -> Snapshot:
        """Return the configuration in force.

        :raises ApricotliftError: ``no_config`` before the first one is loaded.
        """
        if self._snapshot is None:
            raise ApricotliftError(Code.NO_CONFIG, "no configuration is loaded yet")
        return self._snapshot

    def get_document(self, digest: str) -> bytes | None:
        """Return the document in force for a peer, if it has this digest."""
        if self._snapshot is None or self._snapshot.digest != digest:
            return None
        return self._snapshot.body

    def handle_newer_version(self, version: int) -> None:
        """Poll immediately when a peer's gossip reports a newer version."""
        if version > max(self.version, self._newest_hinted_version):
            self._newest_hinted_version = version
            self._freshness.observe_hint(version)
            self._poll_requested.set()

    async def wait_for_version(self, version: int) -> Snapshot:
        """Wait until this version or a later one is in force and return it."""
        while self.version < version:
            await self._version_applied.wait()
        return self.get_snapshot()

    async def run(self) -> None:
        """Poll the head until cancelled."""
        # Spreads the reads of nodes that start at the same time.
        await anyio.sleep(self._random.uniform(0, POLL_INTERVAL_S * _JITTER))
        while True:
            started_at = self._clock()
            confirmed = await self.poll()
            await self._wait_for_next_poll(self.choose_delay(confirmed, started_at))

    async def poll(self) -> bool:
        """Request the head once and put a newer version in force.

        :returns: whether the time at which the version in force is confirmed has
            advanced.
        """
        confirmed_at_before = self._confirmed_at
        report = await self._read_head_from_table()
        if report is None or not await self._apply_report(report):
            for item in await self._request_heads_from_peers():
                if await self._apply_report(item):
                    break
        return self._confirmed_at > confirmed_at_before

    def choose_delay(self, confirmed: bool, started_at: float) -> float:
        """Return the seconds until the next poll.

        :param confirmed: whether the last poll confirmed the version.
        :param started_at: when the last poll began.
        """
        if not confirmed:
            return self._random.uniform(0, MAX_OUTAGE_DELAY_S)
        jitter = self._random.uniform(1 - _JITTER, 1 + _JITTER)
        elapsed_s = self._clock() - started_at
        return max(0.0, POLL_INTERVAL_S * jitter - elapsed_s)

    async def _wait_for_next_poll(self, delay_s: float) -> None:
        with anyio.move_on_after(delay_s):
            await self._poll_requested.wait()
        self._poll_requested = anyio.Event()

    async def _read_head_from_table(self) -> _HeadReport | None:
        # The age is measured from before the read, because the answer may wait in a
        # buffer while this process is paused.
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
        return _HeadReport(head, started_at, "table")

    async def _request_heads_from_peers(self) -> list[_HeadReport]:
        reports: list[_HeadReport] = []
        async with anyio.create_task_group() as tasks:
            for peer in self._peers.choose(MAX_ASKED_PEERS):
                tasks.start_soon(self._request_head_from_peer, peer, reports)
        reports.sort(
            key=lambda item: (item.head.version, item.confirmed_at), reverse=True
        )
        return reports

    async def _request_head_from_peer(
        self, peer: str, reports: list[_HeadReport]
    ) -> None:
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
        # The peer computed its age when it answered. Counting that age from before the
        # request adds the whole round trip, so the age is never underestimated.
        head = ConfigurationHead(answer.version, answer.digest)
        reports.append(_HeadReport(head, started_at, "peer", answer.age_ms / 1000))

    async def _apply_report(self, report: _HeadReport) -> bool:
        """Apply a reported head unless it is older than the version in force.

        :returns: whether the report confirms the version that is now in force.
        """
        head = report.head
        if head.version < self.version:
            self._metrics.count("config_stale_heads_total", source=report.source)
            logs.log(
                logs.WARNING,
                "config_head_is_stale",
                source=report.source,
                version=head.version,
                version_in_force=self.version,
            )
            return False
        if head.version == 0:
            self._count_failure(report.source, Code.NO_CONFIG)
            return False
        is_newer = head.version > self.version
        if not is_newer and head.digest != self.get_snapshot().digest:
            self._count_failure(report.source, "digest_mismatch")
            return False
        if report.source == "table":
            self._freshness.observe_read(head.version, report.started_at)
        else:
            self._freshness.observe_peer(head.version, report.age_s, report.started_at)
        if is_newer:
            snapshot = await self._load_snapshot(head)
            if snapshot is None:
                return False
            self._put_in_force(snapshot)
        self._confirmed_at = max(self._confirmed_at, report.confirmed_at)
        return True

    async def _load_snapshot(self, head: ConfigurationHead) -> Snapshot | None:
        sources = [partial(self._read_object, head.digest)]
        for peer in self._peers.choose(MAX_ASKED_PEERS):
            sources.append(partial(self._read_from_peer, peer, head.digest))
        for name, read in zip(("objects", "peer", "peer"), sources, strict=False):
            try:
                with anyio.fail_after(DOCUMENT_TIMEOUT_S):
                    body = await read()
                check_document(body, head.digest)
                # Decoding takes 0.15 s for 2,600 accounts. In the event loop it would
                # delay all streams.
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
            message = f"peer {peer} doesn't have document {digest}"
            raise ApricotliftError(Code.OBJECT_MISSING, message)
        return answer.body

    def _put_in_force(self, snapshot: Snapshot) -> None:
        # This is the only function that sets the snapshot, so the check covers every
        # path.
        if snapshot.version <= self.version:
            self._metrics.count("invariant_violations_total", invariant="config")
            raise AssertionError(
                f"configuration version {snapshot.version} must not replace "
                f"version {self.version}: expected a higher version"
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
        applied, self._version_applied = self._version_applied, anyio.Event()
        applied.set()
        self._on_applied(snapshot)

    def _count_failure(self, source: str, reason: str) -> None:
        self._metrics.count("config_failures_total", source=source, reason=reason)
