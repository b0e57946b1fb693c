"""The configuration head, its history and changes to it.

The table holds the row ``config`` / ``head``, one ``config-history`` row per version,
and one ``config-retired`` row per name whose reuse is restricted in later versions.
The document of a version is stored in the object store under its digest. One
transaction writes all rows of a change, on condition that the head still has the
version that the change was based on.
"""

import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from functools import partial
from uuid import uuid4

import anyio
from apricotlift.core.clocks import wall_ms
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.platform import ABSENT, ObjectStore, Put, Row, Table, build_equals
from apricotlift.platform.table import MAX_TRANSACTION_ITEMS, Write
from apricotlift.state.changes import (
    Change,
    RetiredNames,
    check_change,
    compare_declarations,
    find_retired,
)
from apricotlift.state.declarations import (
    Declarations,
    decode_document,
    digest_document,
    encode_document,
)

HEAD_KEY = ("config", "head")
HISTORY_PK = "config-history"
RETIRED_PK = "config-retired"

#: Maximum number of changes listed in a history row. A table row holds at most
#: 400 KB, and a first version with 2,600 accounts has thousands of changes.
MAX_LISTED_CHANGES = 200

#: Maximum length of the text of one change in a history row, for the same reason.
MAX_CHANGE_CHARACTERS = 300

_RETRY_DELAYS_S = (0.1, 0.2, 0.5, 1.0, 2.0)
_MAX_PARALLEL_READS = 8


@dataclass(frozen=True)
class ConfigurationHead:
    """The newest committed version; version 0 means that there is none yet."""

    version: int = 0
    digest: str = ""


@dataclass(frozen=True)
class HistoryEntry:
    """The history record of one version.

    :param token: identifies the change that created the version.
    :param at_ms: the operator's wall clock at the change, in milliseconds;
        informational only.
    :param summary: the first :data:`MAX_LISTED_CHANGES` changes.
    :param n_changes: the number of all changes.
    """

    version: int
    digest: str
    token: str
    author: str
    at_ms: int
    message: str
    summary: tuple[str, ...] = ()
    n_changes: int = 0


@dataclass(frozen=True)
class Proposal:
    """A configuration change requested by an operator.

    :param base_version: the version that the declarations were derived from; 0 for
        the first configuration.
    :param token: identifies the change, so that it can be found after a lost answer.
    """

    declarations: Declarations
    base_version: int
    author: str
    message: str
    token: str = field(default_factory=lambda: uuid4().hex)


@dataclass(frozen=True)
class CommitResult:
    """The outcome of a change.

    :param is_new: ``False`` when the head already had these declarations.
    """

    version: int
    digest: str
    changes: tuple[Change, ...]
    is_new: bool


async def read_head(table: Table) -> ConfigurationHead:
    """Return the head by a consistent read.

    :raises ApricotliftError: ``table_unavailable``, or ``internal`` when the head
        row is malformed.
    """
    row = await table.get(*HEAD_KEY)
    if row is None:
        return ConfigurationHead()
    try:
        return ConfigurationHead(int(row.values["version"]), str(row.values["digest"]))
    except (KeyError, ValueError) as error:
        message = (
            f"row {HEAD_KEY} must have an integer version and a digest, "
            f"got {row.values}"
        )
        raise ApricotliftError(Code.INTERNAL, message, Ran.NO, Scope.FLEET) from error


async def read_document(objects: ObjectStore, digest: str) -> bytes:
    """Return the document with this digest, after verifying its content.

    :raises ApricotliftError: ``object_corrupt``, ``object_missing`` or
        ``objects_unavailable``.
    """
    body = await objects.get(digest)
    check_document(body, digest)
    return body


def check_document(body: bytes, digest: str) -> None:
    """Raise ``object_corrupt`` unless the document has the digest."""
    found = digest_document(body)
    if found != digest:
        message = f"document digest mismatch: expected {digest}, got {found}"
        raise ApricotliftError(Code.OBJECT_CORRUPT, message, Ran.NO, Scope.FLEET)


async def read_declarations(
    objects: ObjectStore, head: ConfigurationHead
) -> Declarations:
    """Return the declarations of a head; empty ones for version 0."""
    if not head.version:
        return Declarations()
    return decode_document(await read_document(objects, head.digest))


async def read_history(table: Table, n_entries: int = 20) -> list[HistoryEntry]:
    """Return the latest history entries, newest first.

    Each row is read by its version rather than by a query, because at 1,100 changes
    a day the partition grows by 400,000 rows a year.

    :raises ApricotliftError: ``table_unavailable``.
    """
    head = await read_head(table)
    versions = range(head.version, max(0, head.version - n_entries), -1)
    found: dict[int, HistoryEntry] = {}
    limiter = anyio.CapacityLimiter(_MAX_PARALLEL_READS)

    async def read(version: int) -> None:
        async with limiter:
            entry = await read_history_entry(table, version)
        if entry is not None:
            found[version] = entry

    await _run_concurrently([partial(read, version) for version in versions])
    return [found[version] for version in versions if version in found]


async def read_history_entry(table: Table, version: int) -> HistoryEntry | None:
    """Return the history entry of a version, or ``None`` if it doesn't exist yet."""
    row = await table.get(HISTORY_PK, _build_history_key(version))
    if row is None:
        return None
    known = HistoryEntry.__dataclass_fields__
    values = {key: value for key, value in row.values.items() if key in known}
    values["summary"] = tuple(json.loads(str(values["summary"])))
    return HistoryEntry(**values)


async def apply_change(
    table: Table, objects: ObjectStore, metrics: Metrics, proposal: Proposal
) -> CommitResult:
    """Commit new declarations as the version after ``base_version``.

    A change whose answer was lost is recognised in the history by its token. When the
    same author repeats a change with the same message and content, the version
    created by the first run is returned, so repeating a command is always safe.

    :raises ApricotliftError: ``conflict`` with the winning change in ``details``;
        ``bad_declarations`` when a rule between versions is violated;
        ``table_unavailable`` or ``objects_unavailable`` when nothing was committed;
        ``table_unclear`` when the change may have been committed.
    """
    body = encode_document(proposal.declarations)
    digest = digest_document(body)
    head = await read_head(table)
    if head.version != proposal.base_version:
        return await _resolve_outcome(table, metrics, proposal, digest, head.version)
    old = await read_declarations(objects, head)
    if head.version and head.digest == digest:
        return CommitResult(head.version, digest, (), is_new=False)
    changes = tuple(compare_declarations(old, proposal.declarations))
    check_change(old, proposal.declarations, await read_retired_names(table))
    await _put_document(objects, digest, body)
    writes = _build_writes(old, proposal, digest, changes)
    if await _commit(table, metrics, writes, proposal):
        metrics.count("config_changes_total", outcome="committed")
        return CommitResult(head.version + 1, digest, changes, is_new=True)
    return await _resolve_outcome(
        table, metrics, proposal, digest, head.version + 1, changes
    )


async def _commit(
    table: Table, metrics: Metrics, writes: Sequence[Write], proposal: Proposal
) -> bool:
    """Write the rows of a change, with retries.

    :returns: ``True`` when the writes are known to be applied; ``False`` when the
        history entry of the version tells whose change was committed.
    """
    version = proposal.base_version + 1
    is_unclear = False
    for delay_s in (*_RETRY_DELAYS_S, None):
        try:
            await table.transact(writes, proposal.token)
            return True
        except ApricotliftError as error:
            metrics.count("config_apply_failures_total", reason=error.code)
            if error.code is Code.CONDITION_FAILED:
                return False
            if error.code not in (Code.TABLE_UNAVAILABLE, Code.TABLE_UNCLEAR):
                raise
            is_unclear = is_unclear or error.code is Code.TABLE_UNCLEAR
            last_error = error
        if is_unclear and await _is_version_taken(table, version):
            return False
        if delay_s is not None:
            await anyio.sleep(delay_s)
    if not is_unclear:
        raise last_error
    message = f"version {version} may have been committed: {last_error.message}"
    raise ApricotliftError(Code.TABLE_UNCLEAR, message, Ran.MAYBE, Scope.FLEET)


async def _is_version_taken(table: Table, version: int) -> bool:
    try:
        return await read_history_entry(table, version) is not None
    except ApricotliftError:
        return False


async def _resolve_outcome(
    table: Table,
    metrics: Metrics,
    proposal: Proposal,
    digest: str,
    head_version: int,
    changes: tuple[Change, ...] = (),
) -> CommitResult:
    """Determine from the history whether the change was committed.

    :param head_version: the newest version known to be committed.
    :raises ApricotliftError: ``conflict`` when another change took the version.
    """
    version = proposal.base_version + 1
    if head_version < version:
        message = (
            f"the change is based on version {proposal.base_version}, "
            f"but the newest version is {head_version}"
        )
        raise ApricotliftError(Code.CONFLICT, message, Ran.NO, Scope.FLEET)
    winner = await _read_winner(table, version)
    same = (winner.digest, winner.author, winner.message)
    if winner.token == proposal.token or same == (
        digest,
        proposal.author,
        proposal.message,
    ):
        metrics.count("config_changes_total", outcome="read_back")
        return CommitResult(version, digest, changes, is_new=True)
    metrics.count("config_changes_total", outcome="conflict")
    message = (
        f"version {version} was taken by a change of {winner.author}: "
        f"{winner.message!r}"
    )
    if head_version > version:
        message += f"; the newest version is {head_version}"
    details = {"winner": asdict(winner), "head_version": head_version}
    raise ApricotliftError(Code.CONFLICT, message, Ran.NO, Scope.FLEET, details=details)


async def _read_winner(table: Table, version: int) -> HistoryEntry:
    for delay_s in (*_RETRY_DELAYS_S, None):
        try:
            entry = await read_history_entry(table, version)
            break
        except ApricotliftError as error:
            if delay_s is None:
                message = (
                    f"version {version} exists, but its history entry "
                    f"could not be read: {error}"
                )
                raise ApricotliftError(
                    Code.TABLE_UNCLEAR, message, Ran.MAYBE, Scope.FLEET
                ) from error
            await anyio.sleep(delay_s)
    if entry is None:
        message = f"the head is at version {version} or later, but has no history row"
        raise ApricotliftError(Code.INTERNAL, message, Ran.NO, Scope.FLEET)
    return entry


async def _put_document(objects: ObjectStore, digest: str, body: bytes) -> None:
    # Read the document back before the head refers to it: nodes can't load a version
    # whose object is corrupt, and a committed version can't be rolled back.
    for delay_s in (*_RETRY_DELAYS_S[:2], None):
        try:
            await objects.put(digest, body)
            await read_document(objects, digest)
            return
        except ApricotliftError as error:
            if delay_s is None or error.code is not Code.OBJECTS_UNAVAILABLE:
                raise
        await anyio.sleep(delay_s)


async def read_retired_names(table: Table) -> RetiredNames:
    """Return the names retired by any version so far."""
    slots = set()
    upstreams = []
    for row in await table.query(RETIRED_PK):
        kind, _, name = row.sk.partition("#")
        if kind == "slot":
            slots.add(name)
        else:
            upstreams.append((name, str(row.values["kind"])))
    return RetiredNames(frozenset(slots), tuple(upstreams))


def _build_writes(
    old: Declarations, proposal: Proposal, digest: str, changes: Sequence[Change]
) -> list[Write]:
    base = proposal.base_version
    summary_lines = [
        text if len(text) <= MAX_CHANGE_CHARACTERS else text[:MAX_CHANGE_CHARACTERS]
        for text in map(str, changes[:MAX_LISTED_CHANGES])
    ]
    common_values = {
        "version": base + 1,
        "digest": digest,
        "token": proposal.token,
        "author": proposal.author,
        "at_ms": wall_ms(),
    }
    head = Row(*HEAD_KEY, common_values)
    history_values = {
        **common_values,
        "message": proposal.message,
        "summary": json.dumps(summary_lines),
        "n_changes": len(changes),
    }
    history = Row(HISTORY_PK, _build_history_key(base + 1), history_values)
    condition = build_equals(version=base) if base else ABSENT
    retired = find_retired(old, proposal.declarations)
    rows = [Row(RETIRED_PK, f"slot#{slot}", {}) for slot in sorted(retired.slots)]
    for name, kind in retired.upstreams:
        rows.append(Row(RETIRED_PK, f"upstream#{name}", {"kind": kind}))
    writes = [Put(head, condition), Put(history, ABSENT), *map(Put, rows)]
    if len(writes) > MAX_TRANSACTION_ITEMS:
        limit = MAX_TRANSACTION_ITEMS - 2
        message = (
            f"the change removes {len(rows)} weight versions and upstreams, "
            f"but one change may remove at most {limit}"
        )
        raise ApricotliftError(Code.BAD_DECLARATIONS, message)
    return writes


def _build_history_key(version: int) -> str:
    return f"{version:010d}"


async def _run_concurrently(calls: Sequence) -> None:
    errors: list[ApricotliftError] = []

    async def run(call) -> None:
        try:
            await call()
        except ApricotliftError as error:
            errors.append(error)

    async with anyio.create_task_group() as tasks:
        for call in calls:
            tasks.start_soon(run, call)
    if errors:
        raise errors[0]
