"""Detects and refuses requests and prompt parts that crash the servers they run on.

A crash counts when a server broke off requests and then refuses new connections. A node
writes one row for each crash that it sees, and a row for the parts that its answers
have cleared. All nodes follow the table, so that no write depends on another.
"""

import uuid
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.hashing import digest
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.clusterrows import (
    PARTITION,
    TABLE,
    ClusterRows,
    build_row,
)
from apricotlift.forwarding.crashchecks import BrokenRequest, CrashCheck, CrashChecks
from apricotlift.forwarding.crashevidence import (
    PART_RETENTION_S,
    CrashEvidence,
    Incarnation,
)
from apricotlift.forwarding.crashreports import (
    N_ITEMS_MAX,
    Clearance,
    CrashReport,
    list_part_keys,
    parse_row,
)
from apricotlift.forwarding.entities import ClientRequest, Prompt, Server
from apricotlift.forwarding.feeds import Feed, RowSet, StoredRow, apply_rows
from apricotlift.platform.table import Delete, Put

#: Number of crashes at which a request is refused.
N_CRASHES_MAX = 3
CRASH_RETENTION_S = 120.0

#: A writer deletes its rows after the retention of parts. The others delete a row that
#: they have seen for twice that time, because its writer has died.
_ABANDONED_AFTER_S = 2 * PART_RETENTION_S
_N_DELETES_MAX = 50
_N_WRITES_MAX = 20
_SWEEP_INTERVAL_S = 5.0
_DELETE_RETRY_S = 30.0

#: Clearances are collected for a random share of this time. Most of the nodes that
#: answer on the same part then learn of another node's row before they write their own.
#: With more nodes, the time is longer in proportion.
_CLEARANCE_INTERVAL_S = 0.4
_N_NODES_PER_INTERVAL = 12
_WRITE_RETRY_S = 2.0

_N_FINGERPRINTS_KEPT = 4096
_N_ROWS_KEPT = 4096
_N_REPORTS_KEPT = 256
_N_PARTS_LOGGED = 10


def build_fingerprint(request: ClientRequest) -> str:
    """Return a digest that stays the same when a client sends a request again."""
    account = request.account.name if request.account else ""
    return digest(
        "suspect", account, request.method, request.target, request.body
    ).hex()


@dataclass
class _KnownRow:
    """A row of the table.

    :param version: the store's version; 0 for an own row that wasn't read back yet.
    :param incarnation: the crash that the row reports, if it reports one.
    :param content: digest of the row as it was last read.
    """

    version: int
    delete_at: float
    is_own: bool = False
    incarnation: Incarnation | None = None
    content: bytes = b""


@dataclass
class Suspects:
    """The recent crashes known to this node.

    :param table: writes rows of the nodes' own table.
    :param rows: the followed table.
    :param count_nodes: returns the number of live nodes.
    """

    table: object
    rows: ClusterRows
    metrics: Metrics
    clock: Callable[[], float] = clocks.monotonic
    random: Random = field(default_factory=Random)
    count_nodes: Callable[[], int] = lambda: 1
    evidence: CrashEvidence = field(init=False)
    checks: CrashChecks = field(init=False)
    _crashes: OrderedDict[str, dict[Incarnation, float]] = field(
        default_factory=OrderedDict
    )
    _reports: OrderedDict[Incarnation, tuple[str, CrashReport]] = field(
        default_factory=OrderedDict
    )
    _rows: OrderedDict[str, _KnownRow] = field(default_factory=OrderedDict)
    _unwritten: dict[str, None] = field(default_factory=dict)
    _unwritten_reports: dict[Incarnation, None] = field(default_factory=dict)
    _own_clearances: OrderedDict[str, list[str]] = field(default_factory=OrderedDict)
    _lost_clearances: dict[str, None] = field(default_factory=dict)
    _deleted_keys: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _refused_parts: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _era: int = 0

    def __post_init__(self):
        self.rows.register("", self._apply)
        self.evidence = CrashEvidence(self.clock)
        self.checks = CrashChecks(self.count_own_crash)

    @property
    def feed(self) -> Feed:
        """The feed of the table."""
        return self.rows.feed

    def check(self, fingerprint: str, prompt: Prompt | None = None) -> None:
        """Refuse a request that has crashed too many servers, or whose parts have.

        :raises ApricotliftError: ``request_crashes_upstream``; the request did not run.
        """
        n_crashes = self.count_crashes(fingerprint)
        if n_crashes >= N_CRASHES_MAX:
            message = f"request crashed {n_crashes} servers; limit is {N_CRASHES_MAX}"
            raise ApricotliftError(Code.REQUEST_CRASHES_UPSTREAM, message)
        for part in list_part_keys(prompt):
            if self.evidence.is_refused(part):
                n_crashes = self.evidence.count_crashes(part)
                self._note_refused(part, n_crashes)
                message = f"prompt part {part} crashed {n_crashes} servers"
                raise ApricotliftError(Code.REQUEST_CRASHES_UPSTREAM, message)

    def is_refused(self, fingerprint: str, prompt: Prompt | None) -> bool:
        """Return whether :meth:`check` refuses a request."""
        try:
            self.check(fingerprint, prompt)
        except ApricotliftError:
            return True
        return False

    def count_crashes(self, fingerprint: str) -> int:
        """Return the number of recent crashes of a request."""
        known = self._crashes.get(fingerprint, {})
        counted_from = self.clock() - CRASH_RETENTION_S
        return sum(at > counted_from for at in known.values())

    def note_answer(self, prompt: Prompt) -> None:
        """Clear the shared parts of a prompt that an engine has answered."""
        for part in list_part_keys(prompt):
            self._note_answered_part(part)

    def begin_check(
        self, server: Server, request: BrokenRequest, start_soon: Callable
    ) -> CrashCheck:
        """Check in the background whether a server that broke a request has crashed."""
        check, is_new = self.checks.add(server, request)
        if is_new:
            start_soon(self.run_check, check)
        return check

    async def run_check(self, check: CrashCheck) -> None:
        """Check a server, and write the report of a crash."""
        await self.checks.run(check)
        if check.is_crash:
            await self.write_report(check.server.incarnation)

    def count_own_crash(self, check: CrashCheck) -> None:
        """Count a crash that is certain, and add it to this node's report."""
        server = check.server
        counted = [request for request in check.requests if not request.is_answering]
        key, known = self._reports.get(server.incarnation, ("", None))
        report = self._build_report(server, check.requests, counted, known)
        self._reports[server.incarnation] = (key or f"crash.{uuid.uuid4().hex}", report)
        if len(self._reports) > _N_REPORTS_KEPT:
            self._reports.popitem(last=False)
        for part in report.answered:
            self._note_answered_part(part)
        self._count_crash(report)
        if known is None:
            self.metrics.count("crashes_recorded_total")
        logs.log(
            logs.WARNING,
            "crash_recorded",
            server=server.server_id,
            n_requests=len(check.requests),
            n_counted=len(counted),
        )

    async def write_report(self, incarnation: Incarnation) -> None:
        """Write this node's report of a crash as one row."""
        key, report = self._reports[incarnation]
        self._add_own_row(key, incarnation)
        self._unwritten_reports[incarnation] = None
        if await self._write([Put(build_row(key, report))], "crash"):
            self._unwritten_reports.pop(incarnation, None)

    async def write_left_reports(self) -> bool:
        """Write the reports that the store didn't take before.

        :returns: whether nothing is left to be repeated.
        """
        for incarnation in list(self._unwritten_reports):
            if incarnation not in self._reports:
                del self._unwritten_reports[incarnation]
                continue
            await self.write_report(incarnation)
            if incarnation in self._unwritten_reports:
                return False
        return True

    async def run_maintenance(self) -> None:
        """Write clearances and delete old rows until cancelled."""
        swept_at = self.clock()
        while True:
            await anyio.sleep(self._get_interval_s() * self.random.random())
            # Reports come first: without them, other nodes go on to crash engines.
            has_written = await self.write_left_reports()
            if not (has_written and await self.write_clearances()):
                await anyio.sleep(_WRITE_RETRY_S)
            if self.clock() >= swept_at + _SWEEP_INTERVAL_S:
                swept_at = self.clock()
                await self.delete_old_rows()

    def _get_interval_s(self) -> float:
        return _CLEARANCE_INTERVAL_S * max(
            1.0, self.count_nodes() / _N_NODES_PER_INTERVAL
        )

    async def write_clearances(self) -> bool:
        """Write the parts that were cleared since the last call as one row.

        :returns: whether nothing is left to be repeated.
        """
        if not await self._write_lost_clearances():
            return False
        parts = list(self._unwritten)[:N_ITEMS_MAX]
        if not parts:
            return True
        key = f"cleared.{uuid.uuid4().hex}"
        self._add_own_row(key)
        self._own_clearances[key] = parts
        if len(self._own_clearances) > _N_REPORTS_KEPT:
            self._own_clearances.popitem(last=False)
        if not await self._write(
            [Put(build_row(key, Clearance(cleared=parts)))], "clear"
        ):
            return False
        for part in parts:
            self._unwritten.pop(part, None)
        logs.log(
            logs.INFO,
            "part_cleared",
            n_parts=len(parts),
            parts=parts[:_N_PARTS_LOGGED],
        )
        return True

    async def _write_lost_clearances(self) -> bool:
        """Write the own clearances again that a restored table lacks."""
        keys = list(self._lost_clearances)[:_N_WRITES_MAX]
        rows = [
            build_row(key, Clearance(cleared=self._own_clearances[key]))
            for key in keys
            if key in self._own_clearances
        ]
        if rows and not await self._write([Put(row) for row in rows], "clear"):
            return False
        for key in keys:
            del self._lost_clearances[key]
        return not self._lost_clearances

    async def delete_old_rows(self) -> None:
        """Delete own rows after their retention, and those of other nodes later."""
        now = self.clock()
        due = [key for key, row in self._rows.items() if row.delete_at <= now]
        due = due[:_N_DELETES_MAX]
        if not due:
            return
        if await self._write([Delete(PARTITION, key) for key in due], "delete"):
            for key in due:
                self._forget_row(key)
        else:
            for key in due:
                if key in self._rows:
                    self._rows[key].delete_at = now + _DELETE_RETRY_S

    def _note_answered_part(self, part: str) -> None:
        if self.evidence.add_answer(part):
            self.metrics.count("parts_cleared_total")
            self._refused_parts.pop(part, None)
            if len(self._unwritten) < N_ITEMS_MAX:
                self._unwritten[part] = None

    def _note_refused(self, part: str, n_crashes: int) -> None:
        if part in self._refused_parts:
            return
        self._refused_parts[part] = None
        if len(self._refused_parts) > _N_REPORTS_KEPT:
            self._refused_parts.popitem(last=False)
        self.metrics.count("parts_refused_total")
        logs.log(logs.WARNING, "part_refused", part=part, n_crashes=n_crashes)

    def _build_report(
        self,
        server: Server,
        requests: list[BrokenRequest],
        counted: list[BrokenRequest],
        known: CrashReport | None,
    ) -> CrashReport:
        fingerprints = dict.fromkeys(known.fingerprints if known else ())
        fingerprints |= dict.fromkeys(request.fingerprint for request in counted)
        parts = dict(known.parts) if known else {}
        answered = dict.fromkeys(known.answered if known else ())
        for request in requests:
            if request.is_answering:
                answered |= dict.fromkeys(request.parts)
                continue
            for position, part in enumerate(request.parts):
                parts.setdefault(part, position)
        # Parts of earlier crashes come first, so that the bound drops none of them.
        suspected = sorted(
            (part for part in parts if part not in answered),
            key=self.evidence.count_crashes,
            reverse=True,
        )[:N_ITEMS_MAX]
        was_answered = self.evidence.was_answered_recently
        recent = [part for part in suspected if was_answered(part)]
        return CrashReport(
            server_id=server.server_id,
            started_ms=server.started_ms,
            address=server.address,
            fingerprints=list(fingerprints)[:N_ITEMS_MAX],
            parts={part: parts[part] for part in suspected},
            answered=list(answered)[:N_ITEMS_MAX],
            recently_answered=recent,
        )

    def _count_crash(self, report: CrashReport, is_old: bool = False) -> None:
        now = self.clock()
        for fingerprint in report.fingerprints:
            known = self._crashes.setdefault(fingerprint, {})
            known.setdefault(report.incarnation, now)
            self._crashes.move_to_end(fingerprint)
        while len(self._crashes) > _N_FINGERPRINTS_KEPT:
            self._crashes.popitem(last=False)
        self.evidence.add_crash(
            report.incarnation,
            report.parts,
            report.answered,
            report.recently_answered,
            is_old,
        )

    def _apply(self, rows: RowSet, is_full_table: bool) -> None:
        if is_full_table and rows.era > self._era:
            if self.feed.is_loaded:
                self._handle_restore(rows)
            self._era = rows.era
        # A clearance applies to the crashes before it, so the order matters.
        ordered = sorted(rows.rows, key=lambda row: row.version)
        apply_rows(TABLE, ordered, self._apply_row, self.metrics)
        if is_full_table:
            listed = {row.key for row in rows.rows}
            for key, row in list(self._rows.items()):
                if key not in listed and row.version:
                    self._forget_row(key)

    def _handle_restore(self, rows: RowSet) -> None:
        """Have own rows written again that a restored table lacks or has older.

        The other rows that are missing weren't deleted: their writers do the same.
        """
        listed = {row.key: digest(row.value) for row in rows.rows}
        for key, row in self._rows.items():
            if listed.get(key) == row.content:
                continue
            row.version = 0
            if row.is_own and row.incarnation in self._reports:
                self._drop_cleared_parts(row.incarnation)
                self._unwritten_reports[row.incarnation] = None
            elif key in self._own_clearances:
                self._lost_clearances[key] = None

    def _drop_cleared_parts(self, incarnation: Incarnation) -> None:
        """Remove from a report the parts that were cleared after the crash.

        A node that starts later reads the report after the clearance, and would count
        the crash again.
        """
        key, report = self._reports[incarnation]
        cleared = self.evidence.list_cleared(incarnation)
        parts = {part: n for part, n in report.parts.items() if part not in cleared}
        self._reports[incarnation] = (key, report.model_copy(update={"parts": parts}))

    def _apply_row(self, row: StoredRow) -> None:
        if row.value is None:
            self._forget_row(row.key)
            return
        known = self._rows.get(row.key)
        content = digest(row.value)
        if known is not None and (known.is_own or known.content == content):
            known.version = row.version
            known.content = content
            return
        delete_at = self.clock() + _ABANDONED_AFTER_S * self.random.uniform(1.0, 1.25)
        known = _KnownRow(row.version, delete_at, content=content)
        self._add_row(row.key, known)
        if row.key in self._deleted_keys:
            # The row came back with a copy. It is deleted again, but doesn't count.
            return
        try:
            report = parse_row(row.value)
        except ValueError as error:
            self.metrics.count("crash_rows_invalid_total")
            logs.log(
                logs.WARNING,
                "crash_row_invalid",
                key=row.key[:64],
                reason=str(error)[:200],
            )
            return
        if isinstance(report, CrashReport):
            known.incarnation = report.incarnation
            self._count_crash(report, is_old=not self.feed.is_loaded)
        else:
            for part in report.cleared:
                self.evidence.add_answer(part)
                self._unwritten.pop(part, None)
                self._refused_parts.pop(part, None)

    def _add_own_row(self, key: str, incarnation: Incarnation | None = None) -> None:
        delete_at = self.clock() + PART_RETENTION_S
        if key not in self._rows:
            self._add_row(key, _KnownRow(0, delete_at, True, incarnation))

    def _add_row(self, key: str, row: _KnownRow) -> None:
        self._rows[key] = row
        if len(self._rows) > _N_ROWS_KEPT:
            self._rows.popitem(last=False)

    def _forget_row(self, key: str) -> None:
        row = self._rows.pop(key, None)
        self._own_clearances.pop(key, None)
        if row is not None:
            self._deleted_keys[key] = None
            if len(self._deleted_keys) > _N_ROWS_KEPT:
                self._deleted_keys.popitem(last=False)
        if row is not None and row.incarnation is not None:
            self.evidence.forget_crash(row.incarnation)
            self._reports.pop(row.incarnation, None)

    async def _write(self, writes: list, purpose: str) -> bool:
        try:
            await self.table.transact(writes)
        except ApricotliftError as error:
            self.metrics.count(
                "crash_rows_failed_total", purpose=purpose, reason=error.code
            )
            logs.log(
                logs.WARNING,
                "crash_row_failed",
                purpose=purpose,
                n_rows=len(writes),
                code=error.code,
                reason=error.message,
            )
            return False
        return True
