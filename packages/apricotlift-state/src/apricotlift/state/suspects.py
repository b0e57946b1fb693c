"""Tracking and quarantine of requests that may crash upstreams.

A request that was in flight at an upstream that crashed is a suspect. After one crash
it runs only on an upstream where no other suspect runs, so that a second crash can be
attributed to it alone. After two crashes it is refused for an hour. Crashes are stored
as rows of the table, which all nodes read every two seconds. The owners of the
request's shard key are told of a crash directly and report their count in
``LocateReply``, so that it is known before the next read.
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
POLL_INTERVAL_S = 2.0
#: The crashes of a request count until an hour after the last of them.
EXPIRY_MS = 3_600_000
#: Number of crashes from which on a request is refused.
CRASH_THRESHOLD = 2

_RUN_PREFIX = "run#"
#: Time after which a crash that a peer reports is in the table, or was cleared.
_VISIBLE_AFTER_S = 10.0
#: Rows are deleted some time after they expire, as the clocks of nodes may differ.
_DELETE_AFTER_MS = 2 * EXPIRY_MS
#: All nodes see an expired row, but one deletion suffices, so each node deletes it
#: with this probability per poll.
_DELETE_PROBABILITY = 0.1
#: Fields that identify a request or its sender and don't affect what an engine does.
_IDENTIFIER_FIELDS = frozenset(
    {"id", "request_id", "user", "metadata", "idempotency_key"}
)


def build_fingerprint(account: str, model: str, body: Mapping) -> str:
    """Return the fingerprint of a prompt request, equal for identical prompts.

    :param body: the JSON object of the request. Fields that only identify the request
        or its sender are left out.

    >>> first = build_fingerprint("north", "wax", {"prompt": "a", "user": "u1"})
    >>> first == build_fingerprint("north", "wax", {"user": "u2", "prompt": "a"})
    True
    """
    relevant_fields = {
        name: value for name, value in body.items() if name not in _IDENTIFIER_FIELDS
    }
    text = json.dumps(relevant_fields, sort_keys=True, separators=(",", ":"))
    return digest("fingerprint", account, model, text).hex()


@dataclass(frozen=True)
class Crash:
    """A crash of an upstream at which a request was in flight.

    :param fingerprint: fingerprint of the request.
    :param boot_id: boot id of the upstream process that crashed.
    :param crashed_at_ms: Unix time in milliseconds of the report.
    """

    fingerprint: str
    boot_id: str
    upstream: str
    crashed_at_ms: int

    @property
    def key(self) -> tuple[str, str]:
        """Identity of the crash: equal for all reports of it."""
        return self.fingerprint, self.boot_id


@dataclass
class _LocalCrash:
    """A crash that this node knows of and that may not be in the table yet.

    :param visible_at: monotonic time in seconds from which on a read of the table
        returns its row; ``None`` while the row is being written.
    """

    crash: Crash
    visible_at: float | None = None


@dataclass(frozen=True)
class QuarantinedRun:
    """A run of a suspect on an upstream that is reserved for it.

    :param token: unique token of the reservation.
    """

    fingerprint: str
    upstream: str
    token: str = field(default_factory=lambda: uuid.uuid4().hex)


class SuspectRegistry:
    """Crash counts and quarantined runs of suspects, as known to one node.

    :param node: id of this node.
    :param get_incarnation: returns this node's incarnation.
    :param is_alive: returns whether a node still runs under a given incarnation.
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
        self._stored_crashes: dict[tuple[str, str], Crash] = {}
        self._stored_runs: dict[str, Row] = {}
        self._local_crashes: dict[tuple[str, str], _LocalCrash] = {}
        self._cleared_at_ms: dict[tuple[str, str], int] = {}
        self._active_runs: dict[str, QuarantinedRun] = {}

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Read the rows every two seconds and retry writes until cancelled."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._retries.run)
            task_status.started()
            while True:
                await self.poll()
                await anyio.sleep(POLL_INTERVAL_S * random.uniform(0.9, 1.1))

    async def poll(self) -> None:
        """Read the rows once. If that fails, what was read before remains in effect."""
        started_at = self._clock()
        try:
            rows = await self._table.query(PARTITION_KEY)
        except ApricotliftError as error:
            self._metrics.count("suspect_poll_failures_total", reason=error.code)
            return
        now_ms = self._get_wall_ms()
        self._stored_crashes = {}
        self._stored_runs = {}
        for row in rows:
            if row.sk.startswith(_RUN_PREFIX):
                self._stored_runs[row.sk.removeprefix(_RUN_PREFIX)] = row
                continue
            crash = _decode_crash(row)
            if crash.key not in self._cleared_at_ms:
                self._stored_crashes[crash.key] = crash
        self._drop_visible(started_at)
        self._delete_orphaned_runs()
        self._drop_expired(now_ms)
        self._delete_expired(now_ms)
        self._metrics.gauge("suspects", len(self._group_crashes()))

    def report_crash(self, fingerprint: str, upstream: str, boot_id: str) -> None:
        """Report that a request of this node was in flight at a crashed upstream.

        The crash counts at this node at once; its row is written in the background.
        """
        crash = Crash(fingerprint, boot_id, upstream, self._get_wall_ms())
        if crash.key in self._local_crashes or crash.key in self._stored_crashes:
            return
        self._cleared_at_ms.pop(crash.key, None)
        self._local_crashes[crash.key] = _LocalCrash(crash)
        self._metrics.count("suspect_crashes_total", source="own")
        self._retries.submit(lambda: self._try_write_crash(crash))

    def record_peer_crash(self, fingerprint: str, upstream: str, boot_id: str) -> None:
        """Count a crash that a peer reported, because this node owns the shard key.

        The peer writes the row.
        """
        crash = Crash(fingerprint, boot_id, upstream, self._get_wall_ms())
        if crash.key in self._local_crashes or crash.key in self._stored_crashes:
            return
        self._cleared_at_ms.pop(crash.key, None)
        self._local_crashes[crash.key] = _LocalCrash(
            crash, self._clock() + _VISIBLE_AFTER_S
        )
        self._metrics.count("suspect_crashes_total", source="peer")

    def count_crashes(self, fingerprint: str) -> int:
        """Return the number of unexpired crashes of a request."""
        return len(self._group_crashes().get(fingerprint, ()))

    def check(self, fingerprint: str, n_owner_crashes: int = 0) -> bool:
        """Return whether a request is a suspect and must run quarantined.

        :param n_owner_crashes: crash count that the owner of the shard key reported in
            its ``LocateReply``.
        :raises ApricotliftError: ``request_crashes_upstream`` after two crashes.
        """
        n_crashes = max(self.count_crashes(fingerprint), n_owner_crashes)
        if n_crashes < CRASH_THRESHOLD:
            return n_crashes > 0
        self._metrics.count("suspect_refusals_total")
        message = f"upstreams crashed {n_crashes} times while running this request"
        remaining_s = self._get_remaining_ms(fingerprint) / 1000
        raise ApricotliftError(
            Code.REQUEST_CRASHES_UPSTREAM, message, Ran.MAYBE, retry_after_s=remaining_s
        )

    def list_occupied_upstreams(self) -> set[str]:
        """Return the names of the upstreams on which a suspect runs."""
        occupied = {
            upstream
            for upstream, row in self._stored_runs.items()
            if self._is_run_active(row)
        }
        return occupied | set(self._active_runs)

    async def begin_run(self, fingerprint: str, upstream: str) -> QuarantinedRun | None:
        """Reserve an upstream for a run of a suspect.

        :returns: the run, or ``None`` if another suspect runs on the upstream. While
            the table can't be reached, prompts continue to be served, so this node
            decides by the rows that it has read last.
        """
        if upstream in self._active_runs:
            return None
        run = QuarantinedRun(fingerprint, upstream)
        # Set before the first await, so that two tasks can't both reserve it.
        self._active_runs[upstream] = run
        is_reserved = False
        try:
            is_reserved = await self._reserve(run)
        finally:
            if not is_reserved:
                del self._active_runs[upstream]
        return run if is_reserved else None

    def end_run(self, run: QuarantinedRun, is_completed: bool) -> None:
        """Release the upstream, and clear the suspect if its run completed.

        :param is_completed: whether the request was answered in full.
        """
        if self._active_runs.get(run.upstream) == run:
            del self._active_runs[run.upstream]
        key = f"{_RUN_PREFIX}{run.upstream}"
        delete = Delete(PARTITION_KEY, key, equals(token=run.token))
        self._retries.submit(lambda: self._try_delete([delete]))
        if is_completed:
            self.clear(run.fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Discard the crashes of a request that completed, and delete their rows."""
        deletes: list[Write] = [
            Delete(PARTITION_KEY, f"{fingerprint}#{boot_id}")
            for boot_id in self._forget(fingerprint)
        ]
        if deletes:
            self._metrics.count("suspects_cleared_total", source="own")
            self._retries.submit(lambda: self._try_delete(deletes))

    def record_peer_clear(self, fingerprint: str) -> None:
        """Discard the crashes of a request that completed, as reported by a peer."""
        if self._forget(fingerprint):
            self._metrics.count("suspects_cleared_total", source="peer")

    def _group_crashes(self) -> dict[str, list[Crash]]:
        """Return crashes by fingerprint, without requests whose last crash expired."""
        crashes = dict(self._stored_crashes)
        crashes |= {key: local.crash for key, local in self._local_crashes.items()}
        groups: dict[str, list[Crash]] = {}
        for crash in crashes.values():
            groups.setdefault(crash.fingerprint, []).append(crash)
        cutoff_ms = self._get_wall_ms() - EXPIRY_MS
        return {
            fingerprint: group
            for fingerprint, group in groups.items()
            if max(crash.crashed_at_ms for crash in group) > cutoff_ms
        }

    def _get_remaining_ms(self, fingerprint: str) -> int:
        group = self._group_crashes().get(fingerprint, [])
        last_ms = max((crash.crashed_at_ms for crash in group), default=0)
        return max(1000, last_ms + EXPIRY_MS - self._get_wall_ms())

    def _forget(self, fingerprint: str) -> list[str]:
        """Discard the crashes of a fingerprint and return their boot ids.

        Their keys are kept, so that a poll that has already started, or that still
        finds the rows, doesn't restore them.
        """
        keys = [
            key
            for key in {**self._stored_crashes, **self._local_crashes}
            if key[0] == fingerprint
        ]
        for key in keys:
            self._stored_crashes.pop(key, None)
            self._local_crashes.pop(key, None)
            self._cleared_at_ms[key] = self._get_wall_ms()
        return [boot_id for _, boot_id in keys]

    def _drop_visible(self, started_at: float) -> None:
        """Drop local crashes that the poll must have found unless they were cleared.

        :param started_at: monotonic time in seconds at which the poll started.
        """
        for key, local in list(self._local_crashes.items()):
            if local.visible_at is not None and started_at > local.visible_at:
                del self._local_crashes[key]

    def _drop_expired(self, now_ms: int) -> None:
        for key, local in list(self._local_crashes.items()):
            if now_ms - local.crash.crashed_at_ms > EXPIRY_MS:
                del self._local_crashes[key]
        for key, cleared_at_ms in list(self._cleared_at_ms.items()):
            if now_ms - cleared_at_ms > EXPIRY_MS:
                del self._cleared_at_ms[key]

    def _delete_expired(self, now_ms: int) -> None:
        expired: list[Write] = [
            Delete(PARTITION_KEY, f"{crash.fingerprint}#{crash.boot_id}")
            for crash in self._stored_crashes.values()
            if now_ms - crash.crashed_at_ms > _DELETE_AFTER_MS
        ][:MAX_TRANSACTION_ITEMS]
        if expired and random.random() < _DELETE_PROBABILITY:
            self._retries.submit(lambda: self._try_delete(expired))

    def _delete_orphaned_runs(self) -> None:
        """Delete rows of this node's runs that have already ended.

        A reservation whose answer was lost can reach the table after its deletion.
        """
        tokens = {run.token for run in self._active_runs.values()}
        for row in self._stored_runs.values():
            token = row.values["token"]
            if row.values["node"] == self._node and token not in tokens:
                self._retries.submit(
                    partial(self._try_delete, [_build_run_delete(row)])
                )

    def _is_run_active(self, row: Row) -> bool:
        values = row.values
        if values["node"] == self._node:
            return values["incarnation"] == self._get_incarnation() and any(
                run.token == values["token"] for run in self._active_runs.values()
            )
        return self._is_alive(values["node"], values["incarnation"])

    async def _reserve(self, run: QuarantinedRun) -> bool:
        """Write the row of a run and return whether the upstream is reserved.

        The row of a run that is no longer active, such as one of a failed node, is
        replaced.
        """
        sort_key = f"{_RUN_PREFIX}{run.upstream}"
        values = {
            "token": run.token,
            "fingerprint": run.fingerprint,
            "node": self._node,
            "incarnation": self._get_incarnation(),
        }
        try:
            found = await self._table.get(PARTITION_KEY, sort_key)
            if found is not None and self._is_run_active(found):
                return False
            condition = ABSENT if found is None else equals(token=found.values["token"])
            row = Row(PARTITION_KEY, sort_key, values)
            await self._table.transact([Put(row, condition)])
        except ApricotliftError as error:
            if error.code is Code.CONDITION_FAILED:
                return False
            self._metrics.count("suspect_runs_unconfirmed_total", reason=error.code)
            stored = self._stored_runs.get(run.upstream)
            return stored is None or not self._is_run_active(stored)
        return True

    async def _try_write_crash(self, crash: Crash) -> bool:
        if crash.key not in self._local_crashes:
            return True
        values = {"upstream": crash.upstream, "crashed_at_ms": crash.crashed_at_ms}
        sort_key = f"{crash.fingerprint}#{crash.boot_id}"
        if not await self._try_transact([Put(Row(PARTITION_KEY, sort_key, values))]):
            return False
        local = self._local_crashes.get(crash.key)
        if local is not None:
            local.visible_at = self._clock()
        elif crash.key in self._cleared_at_ms:
            # The crash was cleared during the write, which may have taken effect after
            # the deletion of its row.
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


def _build_run_delete(row: Row) -> Delete:
    return Delete(row.pk, row.sk, equals(token=row.values["token"]))


def _decode_crash(row: Row) -> Crash:
    fingerprint, _, boot_id = row.sk.partition("#")
    crashed_at_ms = row.values["crashed_at_ms"]
    if not fingerprint or not boot_id:
        logs.log(logs.WARNING, "suspect_row_invalid", sk=row.sk)
    return Crash(fingerprint, boot_id, row.values["upstream"], crashed_at_ms)
