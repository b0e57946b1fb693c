"""When a committed configuration is accepted: in force everywhere and for good.

A version is accepted when every member with an unexpired lease confirms it and a
majority of all members does. The members are the lease rows of the table, expired
ones included. A lease counts as expired when its row has not changed for 12 s by
this process's own clock, so clocks of different machines are never compared.

A member whose lease has expired doesn't serve: 8 s after its last word from a
majority it refuses new work, and a majority without the version is impossible once
another majority has confirmed it.
"""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
from apricotlift.core.clocks import monotonic
from apricotlift.core.errors import ApricotliftError
from apricotlift.platform import Row, Table
from apricotlift.state.lease import MEMBER_PK

#: Time without a renewal after which a lease counts as expired. Longer than the 8 s
#: after which a node that is cut off stops serving.
EXPIRY_WATCH_S = 12.0

#: Longer than the 8 s for which the word of a majority counts at a member that is
#: cut off.
MAJORITY_WATCH_S = 10.0

_POLL_S = 0.25

#: Reasons for which a member is waited for.
BEHIND = "confirms an older version"
SILENT = "doesn't renew its lease"


@dataclass(frozen=True)
class WaitingMember:
    """A member that keeps a version from being accepted.

    :param confirmed_version: what its lease row confirms, 0 for nothing yet.
    :param unrenewed_s: how long its row has been seen unchanged.
    """

    node_id: str
    failure_domain: str
    confirmed_version: int
    unrenewed_s: float
    reason: str


@dataclass(frozen=True)
class Acceptance:
    """How far a version is.

    :param expired: members that are not waited for, because their lease is expired.
    :param problem: why nothing is known, empty where the members could be read.
    """

    version: int
    accepted: bool = False
    n_members: int = 0
    n_confirmed: int = 0
    waiting: tuple[WaitingMember, ...] = ()
    expired: tuple[str, ...] = ()
    problem: str = ""


@dataclass
class _Watch:
    row: Row
    first_seen_at: float


class LeaseWatch:
    """Watches lease rows and judges whether a version is accepted.

    A lease is unrenewed for the time from the end of the first read that returned
    its row to the start of the last one that returned it unchanged.
    """

    def __init__(self, version: int):
        self._version = version
        self._watches: dict[str, _Watch] = {}
        self._majority_since: float | None = None

    def judge(self, rows: list[Row], started_at: float, ended_at: float) -> Acceptance:
        """Judge by one read of all lease rows.

        :param started_at: time in seconds before the read.
        :param ended_at: time after it, by the same clock.
        """
        watches: dict[str, _Watch] = {}
        waiting = []
        expired = []
        n_confirmed = 0
        for row in rows:
            watch = self._watches.get(row.sk)
            if watch is None or watch.row != row:
                watch = _Watch(row, ended_at)
            watches[row.sk] = watch
            confirmed = int(row.values.get("confirmed_version", 0))
            if confirmed >= self._version:
                n_confirmed += 1
                continue
            unrenewed_s = max(0.0, started_at - watch.first_seen_at)
            if unrenewed_s >= EXPIRY_WATCH_S:
                expired.append(row.sk)
                continue
            domain = str(row.values.get("failure_domain", ""))
            reason = SILENT if unrenewed_s > EXPIRY_WATCH_S / 2 else BEHIND
            waiting.append(
                WaitingMember(row.sk, domain, confirmed, unrenewed_s, reason)
            )
        self._watches = watches
        has_majority = self._has_lasting_majority(
            n_confirmed, len(rows), bool(expired), started_at, ended_at
        )
        accepted = has_majority and not waiting
        problem = "" if rows else "no instance holds a lease yet"
        return Acceptance(
            self._version,
            accepted,
            len(rows),
            n_confirmed,
            tuple(waiting),
            tuple(expired),
            problem,
        )

    def _has_lasting_majority(
        self,
        n_confirmed: int,
        n_members: int,
        has_expired: bool,
        started_at: float,
        ended_at: float,
    ) -> bool:
        """Return whether a majority confirms, and for long enough.

        An expired member may have heard a majority that was still on the old
        version just before those members confirmed the new one, and may admit work
        on that for as long as the word of a majority counts.
        """
        if 2 * n_confirmed <= n_members:
            self._majority_since = None
            return False
        if self._majority_since is None:
            self._majority_since = ended_at
        if not has_expired:
            return True
        return started_at - self._majority_since >= MAJORITY_WATCH_S


async def wait_for_acceptance(
    table: Table,
    version: int,
    timeout_s: float,
    report: Callable[[Acceptance], None] = lambda acceptance: None,
    clock: Callable[[], float] = monotonic,
    poll_s: float = _POLL_S,
) -> Acceptance:
    """Wait until a committed version is accepted.

    :param timeout_s: how long to wait; must exceed :data:`EXPIRY_WATCH_S` for the
        expiry of a lease to be seen.
    :param report: called after each read whose result differs from the one before.
    :returns: the last result, accepted or not.
    """
    deadline = clock() + timeout_s
    watch = LeaseWatch(version)
    last = Acceptance(version)
    while True:
        started_at = clock()
        try:
            rows = await table.query(MEMBER_PK)
            found = watch.judge(rows, started_at, clock())
        except ApricotliftError as error:
            found = Acceptance(version, problem=error.message)
        if _describe(found) != _describe(last):
            report(found)
        last = found
        if found.accepted or clock() >= deadline:
            return found
        await anyio.sleep(poll_s)


def _describe(acceptance: Acceptance) -> tuple:
    waiting = [(item.node_id, item.reason) for item in acceptance.waiting]
    return acceptance.n_confirmed, acceptance.expired, acceptance.problem, waiting
