"""Determines when a committed configuration version is accepted.

An accepted version is in force at every member that admits work, and stays so. A
version is accepted when every member with an unexpired lease and a majority of all
members confirm it. The members are the lease rows of the table, expired ones included.
A lease counts as expired when its row has not changed for 12 s by this process's own
clock, so clocks of different machines are never compared.

A member whose lease has expired doesn't admit work under an older version: it refuses
new work 8 s after it last had proof of a majority, and once a majority has confirmed
the version there can be no majority without it.
"""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
from apricotlift.core.clocks import monotonic
from apricotlift.core.errors import ApricotliftError
from apricotlift.platform import Row, Table
from apricotlift.state.memberlease import MEMBER_PK

#: Time without a renewal after which a lease counts as expired. It is longer than the
#: 8 s after which a node that is cut off stops admitting work.
LEASE_EXPIRY_S = 12.0

#: How long a majority must have confirmed the version while some lease is expired.
#: It is longer than the 8 s for which a member that is cut off relies on the last
#: proof of a majority.
MIN_MAJORITY_DURATION_S = 10.0

_POLL_INTERVAL_S = 0.25

#: Why a member keeps a version from being accepted.
REASON_BEHIND = "confirms an older version"
REASON_NOT_RENEWED = "doesn't renew its lease"


@dataclass(frozen=True)
class WaitingMember:
    """A member that keeps a version from being accepted.

    :param confirmed_version: the version that its lease row confirms; 0 if none.
    :param unrenewed_s: for how long its row has been observed unchanged.
    :param reason: :data:`REASON_BEHIND` or :data:`REASON_NOT_RENEWED`.
    """

    node_id: str
    failure_domain: str
    confirmed_version: int
    unrenewed_s: float
    reason: str


@dataclass(frozen=True)
class Acceptance:
    """The acceptance status of a version.

    :param n_members: number of lease rows, expired ones included.
    :param n_confirmed: number of members that confirm the version or a later one.
    :param waiting: members that must still confirm the version.
    :param expired: ids of members that need not confirm, because their lease expired.
    :param problem: why the status is unknown; empty if the members could be read.
    """

    version: int
    accepted: bool = False
    n_members: int = 0
    n_confirmed: int = 0
    waiting: tuple[WaitingMember, ...] = ()
    expired: tuple[str, ...] = ()
    problem: str = ""


@dataclass
class _ObservedRow:
    row: Row
    first_seen_at: float


class AcceptanceTracker:
    """Evaluates successive reads of the lease rows for the acceptance of a version.

    A lease counts as unrenewed from the end of the first read that returned its
    current row to the start of the last read that returned the row unchanged.
    """

    def __init__(self, version: int):
        self._version = version
        self._observed_rows: dict[str, _ObservedRow] = {}
        self._majority_started_at: float | None = None

    def evaluate(
        self, rows: list[Row], started_at: float, ended_at: float
    ) -> Acceptance:
        """Return the acceptance status after one read of all lease rows.

        :param rows: all lease rows.
        :param started_at: time before the read, in seconds.
        :param ended_at: time after the read, by the same clock.
        """
        observed_rows: dict[str, _ObservedRow] = {}
        waiting = []
        expired = []
        n_confirmed = 0
        for row in rows:
            watch = self._observed_rows.get(row.sk)
            if watch is None or watch.row != row:
                watch = _ObservedRow(row, ended_at)
            observed_rows[row.sk] = watch
            confirmed = int(row.values.get("confirmed_version", 0))
            if confirmed >= self._version:
                n_confirmed += 1
                continue
            unrenewed_s = max(0.0, started_at - watch.first_seen_at)
            if unrenewed_s >= LEASE_EXPIRY_S:
                expired.append(row.sk)
                continue
            domain = str(row.values.get("failure_domain", ""))
            reason = (
                REASON_NOT_RENEWED
                if unrenewed_s > LEASE_EXPIRY_S / 2
                else REASON_BEHIND
            )
            waiting.append(
                WaitingMember(row.sk, domain, confirmed, unrenewed_s, reason)
            )
        self._observed_rows = observed_rows
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
        """Return whether a majority confirms the version and has done so long enough.

        A member whose lease expired may have heard from a majority that was still on
        the old version just before those members confirmed the new one. It may then
        admit work under the old version until that proof is too old.
        """
        if 2 * n_confirmed <= n_members:
            self._majority_started_at = None
            return False
        if self._majority_started_at is None:
            self._majority_started_at = ended_at
        if not has_expired:
            return True
        return started_at - self._majority_started_at >= MIN_MAJORITY_DURATION_S


async def wait_for_acceptance(
    table: Table,
    version: int,
    timeout_s: float,
    report: Callable[[Acceptance], None] = lambda acceptance: None,
    clock: Callable[[], float] = monotonic,
    poll_s: float = _POLL_INTERVAL_S,
) -> Acceptance:
    """Wait until a committed version is accepted.

    :param timeout_s: how long to wait; must exceed :data:`LEASE_EXPIRY_S` so that the
        expiry of a lease can be observed.
    :param report: called after each read whose status differs from the one before.
    :param clock: returns seconds of a monotonic clock.
    :param poll_s: delay between reads.
    :returns: the last status, accepted or not.
    """
    deadline = clock() + timeout_s
    watch = AcceptanceTracker(version)
    last = Acceptance(version)
    while True:
        started_at = clock()
        try:
            rows = await table.query(MEMBER_PK)
            found = watch.evaluate(rows, started_at, clock())
        except ApricotliftError as error:
            found = Acceptance(version, problem=error.message)
        if _build_comparison_key(found) != _build_comparison_key(last):
            report(found)
        last = found
        if found.accepted or clock() >= deadline:
            return found
        await anyio.sleep(poll_s)


def _build_comparison_key(acceptance: Acceptance) -> tuple:
    waiting = [(item.node_id, item.reason) for item in acceptance.waiting]
    return acceptance.n_confirmed, acceptance.expired, acceptance.problem, waiting
