"""Requests that crash upstreams.

A request that was in flight at an upstream that crashed is a suspect. With one crash
it runs only on an upstream where no other suspect runs, so that a second crash
accuses it alone; after two crashes it is refused for an hour. Crashes are rows of
the table, which all nodes read every two seconds; the owners of the request's shard
key learn of a crash first and give their count in ``LocateReply``.
"""

import json
import random
import uuid
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial

import anyio
from anyio.abc import TaskStatus
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.core.hashing import digest
from apricotlift.core.metrics import Metrics
from apricotlift.platform import ABSENT, Delete, Put, Row, Table
from apricotlift.platform import build_equals as equals
from apricotlift.platform.table import MAX_TRANSACTION_ITEMS, Write
from apricotlift.state.retryqueue import RetryQueue

PARTITION_KEY = "suspect"
POLL_S = 2.0
EXPIRY_MS = 3_600_000
MAX_CRASHES = 2

_RUN_PREFIX = "run#"
#: A report that other nodes wrote is in the table by then, or was cleared.
_SEEN_BY_S = 10.0
#: Rows are deleted later than they expire, so that clocks may differ.
_DELETE_AFTER_MS = 2 * EXPIRY_MS
#: Every node sees an expired row, and one deletion is enough.
_DELETE_SHARE = 0.1
#: Fields that name a request or its sender and don't change what an engine does.
_ID_FIELDS = frozenset({"id", "request_id", "user", "metadata", "idempotency_key"})


def build_fingerprint(account: str, model: str, body: Mapping) -> str:
    """Return the fingerprint of a prompt request.

    :param body: the request's JSON object; identifiers in it are left out.

    >>> first = build_fingerprint("north", "wax", {"prompt": "a", "user": "u1"})
    >>> first == build_fingerprint("north", "wax", {"user": "u2", "prompt": "a"})
    True
    """
    kept = {name: value for name, value in body.items() if name not in _ID_FIELDS}
    text = json.dumps(kept, sort_keys=True, separators=(",", ":"))
    return digest("fingerprint", account, model, text).hex()


@dataclass(frozen=True)
class Crash:
    """One crash of an upstream that a request was in flight at.

    :param boot_id: of the upstream's process that crashed.
    """

    fingerprint: str
    boot_id: str
    upstream: str
    crashed_at_ms: int

    @property
    def key(self) -> tuple[str, str]:
        """What makes the crash one crash, whoever reports it."""
        return self.fingerprint, self.boot_id


@dataclass
class _Local:
    """A crash that this node knows of and that the table may not show yet.

    :param written_at: when its row was there, ``None`` while it is being written.
    """

    crash: Crash
    written_at: float | None = None


@dataclass(frozen=True)
class QuarantinedRun:
    """The run of a suspect that has an upstream to itself."""

    fingerprint: str
    upstream: str
    token: str = field(default_factory=lambda: uuid.uuid4().hex)


class Suspects:
    """What one node knows of suspects.

    :param node: this node's id.
    :param is_alive: whether a node still runs under an incarnation.
    """

    def __init__(
        self,
        table: Table,
        metrics: Metrics,
        node: str,
        get_incarnation: Callable[[], str],
        is_alive: Callable[[str, str], bool],
        clock: Callable[[], float] = clocks.monotonic,
        get_wall_ms: Callable[[], int] = clocks.wall_ms,
    ):
        self._table = table
        self._metrics = metrics
        self._node = node
        self._get_incarnation = get_incarnation
        self._is_alive = is_alive
        self._clock = clock
        self._get_wall_ms = get_wall_ms
        self._retries = RetryQueue("suspects", metrics)
        self._stored: dict[tuple[str, str], Crash] = {}
        self._stored_runs: dict[str, Row] = {}
        self._local: dict[tuple[str, str], _Local] = {}
        self._cleared: dict[tuple[str, str], int] = {}
        self._runs: dict[str, QuarantinedRun] = {}

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Read the rows every two seconds and finish writes until cancelled."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._retries.run)
            task_status.started()
            while True:
                await self.poll()
                await anyio.sleep(POLL_S * random.uniform(0.9, 1.1))

    async def poll(self) -> None:
        """Read the rows once; an unreachable table leaves what is known."""
        started_at = self._clock()
        try:
            rows = await self._table.query(PARTITION_KEY)
        except ApricotliftError as error:
            self._metrics.count("suspect_poll_failures_total", reason=error.code)
            return
        now_ms = self._get_wall_ms()
        self._stored = {}
        self._stored_runs = {}
        for row in rows:
            if row.sk.startswith(_RUN_PREFIX):
                self._stored_runs[row.sk.removeprefix(_RUN_PREFIX)] = row
                continue
            crash = _decode_crash(row)
            if crash.key not in self._cleared:
                self._stored[crash.key] = crash
        self._drop_seen(started_at)
        self._delete_orphaned_runs()
        self._drop_expired(now_ms)
        self._delete_expired(now_ms)
        self._metrics.gauge("suspects", len(self._group_crashes()))

    def report_crash(self, fingerprint: str, upstream: str, boot_id: str) -> None:
        """Report a request of this node that was in flight at a crash.

        Counts at once here; the row is written in the background.
        """
        crash = Crash(fingerprint, boot_id, upstream, self._get_wall_ms())
        if crash.key in self._local or crash.key in self._stored:
            return
        self._cleared.pop(crash.key, None)
        self._local[crash.key] = _Local(crash)
        self._metrics.count("suspect_crashes_total", source="own")
        self._retries.submit(lambda: self._try_write(crash))

    def note_crash(self, fingerprint: str, upstream: str, boot_id: str) -> None:
        """Count a crash that a peer reported to this owner of the shard key.

        The peer writes the row.
        """
        crash = Crash(fingerprint, boot_id, upstream, self._get_wall_ms())
        if crash.key in self._local or crash.key in self._stored:
            return
        self._cleared.pop(crash.key, None)
        self._local[crash.key] = _Local(crash, self._clock() + _SEEN_BY_S)
        self._metrics.count("suspect_crashes_total", source="peer")

    def count_crashes(self, fingerprint: str) -> int:
        """Return how many crashes count against a request."""
        return len(self._group_crashes().get(fingerprint, ()))

    def check(self, fingerprint: str, n_owner_crashes: int = 0) -> bool:
        """Return whether a request is a suspect that needs an upstream to itself.

        :param n_owner_crashes: count in the ``LocateReply`` of the shard key's owner.
        :raises ApricotliftError: ``request_crashes_upstream`` after two crashes.
        """
        n_crashes = max(self.count_crashes(fingerprint), n_owner_crashes)
        if n_crashes < MAX_CRASHES:
            return n_crashes > 0
        self._metrics.count("suspect_refusals_total")
        message = f"upstreams crashed {n_crashes} times while this request ran"
        left_s = self._get_left_ms(fingerprint) / 1000
        raise ApricotliftError(
            Code.REQUEST_CRASHES_UPSTREAM, message, Ran.MAYBE, retry_after_s=left_s
        )

    def list_occupied(self) -> set[str]:
        """Return the upstreams, by name, where a suspect runs."""
        alive = {
            upstream
            for upstream, row in self._stored_runs.items()
            if self._runs_on(row)
        }
        return alive | set(self._runs)

    async def begin_run(self, fingerprint: str, upstream: str) -> QuarantinedRun | None:
        """Reserve an upstream for a suspect's run.

        :returns: ``None`` when another suspect runs there. While the table can't be
            reached, what this node knows decides, because prompts go on then.
        """
        if upstream in self._runs:
            return None
        run = QuarantinedRun(fingerprint, upstream)
        # Reserved before the first await, so that two tasks don't both get it.
        self._runs[upstream] = run
        reserved = False
        try:
            reserved = await self._reserve(run)
        finally:
            if not reserved:
                del self._runs[upstream]
        return run if reserved else None

    def end_run(self, run: QuarantinedRun, completed: bool) -> None:
        """Free the upstream; a completed run clears the suspect."""
        if self._runs.get(run.upstream) == run:
            del self._runs[run.upstream]
        key = f"{_RUN_PREFIX}{run.upstream}"
        delete = Delete(PARTITION_KEY, key, equals(token=run.token))
        self._retries.submit(lambda: self._try_delete([delete]))
        if completed:
            self.clear(run.fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Forget a request's crashes, because it completed; delete its rows."""
        deletes: list[Write] = [
            Delete(PARTITION_KEY, f"{fingerprint}#{boot_id}")
            for boot_id in self._forget(fingerprint)
        ]
        if deletes:
            self._metrics.count("suspects_cleared_total", source="own")
            self._retries.submit(lambda: self._try_delete(deletes))

    def note_clear(self, fingerprint: str) -> None:
        """Forget a request's crashes, because a peer says that it completed."""
        if self._forget(fingerprint):
            self._metrics.count("suspects_cleared_total", source="peer")

    def _group_crashes(self) -> dict[str, list[Crash]]:
        """Return the crashes by fingerprint whose last one is recent enough."""
        crashes = dict(self._stored)
        crashes |= {key: local.crash for key, local in self._local.items()}
        groups: dict[str, list[Crash]] = {}
        for crash in crashes.values():
            groups.setdefault(crash.fingerprint, []).append(crash)
        oldest_ms = self._get_wall_ms() - EXPIRY_MS
        return {
            fingerprint: group
            for fingerprint, group in groups.items()
            if max(crash.crashed_at_ms for crash in group) > oldest_ms
        }

    def _get_left_ms(self, fingerprint: str) -> int:
        group = self._group_crashes().get(fingerprint, [])
        last_ms = max((crash.crashed_at_ms for crash in group), default=0)
        return max(1000, last_ms + EXPIRY_MS - self._get_wall_ms())

    def _forget(self, fingerprint: str) -> list[str]:
        """Forget a fingerprint's crashes and return their boot ids.

        A poll that was begun before doesn't bring them back.
        """
        keys = [key for key in {**self._stored, **self._local} if key[0] == fingerprint]
        for key in keys:
            self._stored.pop(key, None)
            self._local.pop(key, None)
            self._cleared[key] = self._get_wall_ms()
        return [boot_id for _, boot_id in keys]

    def _drop_seen(self, started_at: float) -> None:
        """Drop what the table shows, or no longer shows because it was cleared."""
        for key, local in list(self._local.items()):
            if local.written_at is not None and started_at > local.written_at:
                del self._local[key]

    def _drop_expired(self, now_ms: int) -> None:
        for key, local in list(self._local.items()):
            if now_ms - local.crash.crashed_at_ms > EXPIRY_MS:
                del self._local[key]
        for key, cleared_at_ms in list(self._cleared.items()):
            if now_ms - cleared_at_ms > EXPIRY_MS:
                del self._cleared[key]

    def _delete_expired(self, now_ms: int) -> None:
        expired: list[Write] = [
            Delete(PARTITION_KEY, f"{crash.fingerprint}#{crash.boot_id}")
            for crash in self._stored.values()
            if now_ms - crash.crashed_at_ms > _DELETE_AFTER_MS
        ][:MAX_TRANSACTION_ITEMS]
        if expired and random.random() < _DELETE_SHARE:
            self._retries.submit(lambda: self._try_delete(expired))

    def _delete_orphaned_runs(self) -> None:
        """Delete runs of this node that ended before their row was there.

        A reservation that seemed lost can reach the table after its deletion.
        """
        tokens = {run.token for run in self._runs.values()}
        for row in self._stored_runs.values():
            token = row.values["token"]
            if row.values["node"] == self._node and token not in tokens:
                self._retries.submit(partial(self._try_delete, [_build_free(row)]))

    def _runs_on(self, row: Row) -> bool:
        values = row.values
        if values["node"] == self._node:
            return values["incarnation"] == self._get_incarnation() and any(
                run.token == values["token"] for run in self._runs.values()
            )
        return self._is_alive(values["node"], values["incarnation"])

    async def _reserve(self, run: QuarantinedRun) -> bool:
        """Write the run's row; the row of a lost node may be replaced."""
        sort_key = f"{_RUN_PREFIX}{run.upstream}"
        values = {
            "token": run.token,
            "fingerprint": run.fingerprint,
            "node": self._node,
            "incarnation": self._get_incarnation(),
        }
        try:
            found = await self._table.get(PARTITION_KEY, sort_key)
            if found is not None and self._runs_on(found):
                return False
            condition = ABSENT if found is None else equals(token=found.values["token"])
            row = Row(PARTITION_KEY, sort_key, values)
            await self._table.transact([Put(row, condition)])
        except ApricotliftError as error:
            if error.code is Code.CONDITION_FAILED:
                return False
            self._metrics.count("suspect_runs_unconfirmed_total", reason=error.code)
            stored = self._stored_runs.get(run.upstream)
            return stored is None or not self._runs_on(stored)
        return True

    async def _try_write(self, crash: Crash) -> bool:
        if crash.key not in self._local:
            return True
        values = {"upstream": crash.upstream, "crashed_at_ms": crash.crashed_at_ms}
        sort_key = f"{crash.fingerprint}#{crash.boot_id}"
        if not await self._try_transact([Put(Row(PARTITION_KEY, sort_key, values))]):
            return False
        local = self._local.get(crash.key)
        if local is not None:
            local.written_at = self._clock()
        elif crash.key in self._cleared:
            # Cleared while the row was on its way, perhaps after the deletion.
            return await self._try_transact([Delete(PARTITION_KEY, sort_key)])
        return True

    async def _try_delete(self, deletes: list[Write]) -> bool:
        return await self._try_transact(deletes)

    async def _try_transact(self, writes: list[Write]) -> bool:
        try:
            await self._table.transact(writes)
        except ApricotliftError as error:
            if error.code is Code.CONDITION_FAILED:
                return True
            self._metrics.count("suspect_write_retries_total", reason=error.code)
            return False
        return True


def _build_free(row: Row) -> Delete:
    return Delete(row.pk, row.sk, equals(token=row.values["token"]))


def _decode_crash(row: Row) -> Crash:
    fingerprint, _, boot_id = row.sk.partition("#")
    crashed_at_ms = row.values["crashed_at_ms"]
    if not fingerprint or not boot_id:
        logs.log(logs.WARNING, "suspect_row_invalid", sk=row.sk)
    return Crash(fingerprint, boot_id, row.values["upstream"], crashed_at_ms)
