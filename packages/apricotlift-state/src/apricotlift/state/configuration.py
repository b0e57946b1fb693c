"""The configuration head, its history and changes to it.

The table holds the row ``config`` / ``head``, one ``config-history`` row a version
and ``config-retired`` rows for names that no later version may use freely. The
document of a version lies in the object store under its digest. One transaction
writes all rows of a change, on condition that the head still has the version that
the change was based on.
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

#: Changes that a history row lists. A row of the table holds 400 KB, and a first
#: version of 2,600 accounts has thousands of changes.
MAX_LISTED_CHANGES = 200

#: Characters of a change in a history row, for the same reason.
MAX_CHANGE_CHARACTERS = 300

_RETRY_DELAYS_S = (0.1, 0.2, 0.5, 1.0, 2.0)
_N_PARALLEL_READS = 8


@dataclass(frozen=True)
class Head:
    """The newest version; version 0 stands for no configuration."""

    version: int = 0
    digest: str = ""


@dataclass(frozen=True)
class HistoryEntry:
    """What the history keeps of one version.

    :param token: names the one change that made the version.
    :param at_ms: the operator's wall clock at the change; only for reading.
    :param summary: the first :data:`MAX_LISTED_CHANGES` changes.
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
    """A change that an operator wants.

    :param base_version: the version that the declarations were made from; 0 for
        the first one.
    """

    declarations: Declarations
    base_version: int
    author: str
    message: str
    token: str = field(default_factory=lambda: uuid4().hex)


@dataclass(frozen=True)
class Committed:
    """The outcome of a change.

    :param is_new: ``False`` when the head already had these declarations.
    """

    version: int
    digest: str
    changes: tuple[Change, ...]
    is_new: bool


async def read_head(table: Table) -> Head:
    """Return the head by a consistent read.

    :raises ApricotliftError: ``table_unavailable``, ``internal`` for a row that
        isn't a head.
    """
    row = await table.get(*HEAD_KEY)
    if row is None:
        return Head()
    try:
        return Head(int(row.values["version"]), str(row.values["digest"]))
    except (KeyError, ValueError) as error:
        message = f"the row {HEAD_KEY} isn't a head: {row.values}"
        raise ApricotliftError(Code.INTERNAL, message, Ran.NO, Scope.FLEET) from error


async def read_document(objects: ObjectStore, digest: str) -> bytes:
    """Return a document whose content has the digest that names it.

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
        message = f"document {digest} has the content of {found}"
        raise ApricotliftError(Code.OBJECT_CORRUPT, message, Ran.NO, Scope.FLEET)


async def read_declarations(objects: ObjectStore, head: Head) -> Declarations:
    """Return the declarations of a head; empty ones for version 0."""
    if not head.version:
        return Declarations()
    return decode_document(await read_document(objects, head.digest))


async def read_history(table: Table, n_entries: int = 20) -> list[HistoryEntry]:
    """Return the newest entries, newest first.

    Rows are read one by one by their version, because at 1,100 changes a day the
    whole partition grows by 400,000 rows a year.

    :raises ApricotliftError: ``table_unavailable``.
    """
    head = await read_head(table)
    versions = range(head.version, max(0, head.version - n_entries), -1)
    found: dict[int, HistoryEntry] = {}
    limiter = anyio.CapacityLimiter(_N_PARALLEL_READS)

    async def read(version: int) -> None:
        async with limiter:
            entry = await read_history_entry(table, version)
        if entry is not None:
            found[version] = entry

    await _run_all([partial(read, version) for version in versions])
    return [found[version] for version in versions if version in found]


async def read_history_entry(table: Table, version: int) -> HistoryEntry | None:
    """Return the history of one version, ``None`` where there is none yet."""
    row = await table.get(HISTORY_PK, _build_history_key(version))
    if row is None:
        return None
    known = HistoryEntry.__dataclass_fields__
    values = {key: value for key, value in row.values.items() if key in known}
    values["summary"] = tuple(json.loads(str(values["summary"])))
    return HistoryEntry(**values)


async def apply_change(
    table: Table, objects: ObjectStore, metrics: Metrics, proposal: Proposal
) -> Committed:
    """Commit new declarations as the version after ``base_version``.

    A change whose answer was lost is found by its token. A repeat of a change by
    the same author with the same message and content reports the version that the
    first run made, so an operator may always run the same command again.

    :raises ApricotliftError: ``conflict`` with the winning change in ``details``;
        ``bad_declarations`` when a rule between versions is broken;
        ``table_unavailable`` or ``objects_unavailable``, nothing was committed;
        ``table_unclear``, the change may have been committed.
    """
    body = encode_document(proposal.declarations)
    digest = digest_document(body)
    head = await read_head(table)
    if head.version != proposal.base_version:
        return await _resolve(table, metrics, proposal, digest, head.version)
    old = await read_declarations(objects, head)
    if head.version and head.digest == digest:
        return Committed(head.version, digest, (), is_new=False)
    changes = tuple(compare_declarations(old, proposal.declarations))
    check_change(old, proposal.declarations, await read_retired(table))
    await _put_document(objects, digest, body)
    writes = _build_writes(old, proposal, digest, changes)
    if await _commit(table, metrics, writes, proposal):
        metrics.count("config_changes_total", outcome="committed")
        return Committed(head.version + 1, digest, changes, is_new=True)
    return await _resolve(table, metrics, proposal, digest, head.version + 1, changes)


async def _commit(
    table: Table, metrics: Metrics, writes: Sequence[Write], proposal: Proposal
) -> bool:
    """Return whether the writes were applied; ``False`` leaves it to the history."""
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
        if is_unclear and await _is_decided(table, version):
            return False
        if delay_s is not None:
            await anyio.sleep(delay_s)
    if not is_unclear:
        raise last_error
    message = f"version {version} may have been committed: {last_error.message}"
    raise ApricotliftError(Code.TABLE_UNCLEAR, message, Ran.MAYBE, Scope.FLEET)


async def _is_decided(table: Table, version: int) -> bool:
    try:
        return await read_history_entry(table, version) is not None
    except ApricotliftError:
        return False


async def _resolve(
    table: Table,
    metrics: Metrics,
    proposal: Proposal,
    digest: str,
    head_version: int,
    changes: tuple[Change, ...] = (),
) -> Committed:
    """Tell a change that was committed from one that lost against another."""
    version = proposal.base_version + 1
    if head_version < version:
        message = (
            f"the base is version {proposal.base_version}, "
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
        return Committed(version, digest, changes, is_new=True)
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
                message = f"version {version} exists, its author is unknown: {error}"
                raise ApricotliftError(
                    Code.TABLE_UNCLEAR, message, Ran.MAYBE, Scope.FLEET
                ) from error
            await anyio.sleep(delay_s)
    if entry is None:
        message = f"the head is at version {version} or later without its history row"
        raise ApricotliftError(Code.INTERNAL, message, Ran.NO, Scope.FLEET)
    return entry


async def _put_document(objects: ObjectStore, digest: str, body: bytes) -> None:
    # The document is read back before the head names it: nodes can't load a version
    # whose object is corrupt, and there is no way back from a committed version.
    for delay_s in (*_RETRY_DELAYS_S[:2], None):
        try:
            await objects.put(digest, body)
            await read_document(objects, digest)
            return
        except ApricotliftError as error:
            if delay_s is None or error.code is not Code.OBJECTS_UNAVAILABLE:
                raise
        await anyio.sleep(delay_s)


async def read_retired(table: Table) -> RetiredNames:
    """Return the names that all versions so far have retired."""
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
    listed = [
        text if len(text) <= MAX_CHANGE_CHARACTERS else text[:MAX_CHANGE_CHARACTERS]
        for text in map(str, changes[:MAX_LISTED_CHANGES])
    ]
    shared = {
        "version": base + 1,
        "digest": digest,
        "token": proposal.token,
        "author": proposal.author,
        "at_ms": wall_ms(),
    }
    head = Row(*HEAD_KEY, shared)
    history_values = {
        **shared,
        "message": proposal.message,
        "summary": json.dumps(listed),
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
            f"at most {limit} at once"
        )
        raise ApricotliftError(Code.BAD_DECLARATIONS, message)
    return writes


def _build_history_key(version: int) -> str:
    return f"{version:010d}"


async def _run_all(calls: Sequence) -> None:
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
