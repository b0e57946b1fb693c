"""Failure domains whose servers may get no requests, by the operator's instruction.

An instruction is a row of the operator's table and holds while the row exists. Only
requests avoid the domain: its servers are still listed, ordered to load weights and
used as sources of cached parts.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.entities import Evacuation, Server

#: Ended evacuations are kept for so many domains, the newest ones.
N_ENDED_KEPT = 256


@dataclass
class _Instruction:
    """An instruction in force.

    :param version: version of its row in the era of the last read; 0 where unknown.
    :param ends_at: when it ends without a row; infinite while the row exists.
    """

    version: int
    ends_at: float = math.inf


@dataclass
class Evacuations:
    """The instructions in force, and those that have ended.

    :param restored_grace_s: time in seconds for which an instruction holds whose row a
        restored store lacks.
    :param handle_end: called with each domain whose evacuation has ended.
    :param get_age_s: returns the age of the operator's rows in seconds, for the log.
    """

    metrics: Metrics
    restored_grace_s: float
    handle_end: Callable[[str], None]
    get_age_s: Callable[[], float]
    clock: Callable[[], float] = clocks.monotonic
    _in_force: dict[str, _Instruction] = field(default_factory=dict)
    _ended_at: dict[str, float] = field(default_factory=dict)
    _listed: set[str] = field(default_factory=set)
    _era: int | None = None
    _is_restored: bool = False

    def list_domains(self) -> frozenset[str]:
        """Return the domains whose servers may get no requests."""
        self._end_lapsed()
        return frozenset(self._in_force)

    def is_evacuated(self, server: Server) -> bool:
        """Return whether a server may get no requests."""
        self._end_lapsed()
        return server.failure_domain in self._in_force

    def check(self, server: Server) -> None:
        """Check whether a request may still be sent to a server.

        :raises ApricotliftError: ``upstream_evacuated``.
        """
        if not self.is_evacuated(server):
            return
        message = (
            f"the failure domain {server.failure_domain} of {server.server_id} is "
            "evacuated"
        )
        # The server isn't marked as tried: the request didn't reach it.
        details = {"try_again": True}
        raise ApricotliftError(
            Code.UPSTREAM_EVACUATED, message, Ran.NO, Scope.UPSTREAM, details=details
        )

    def get_ended_ago_s(self, failure_domain: str) -> float:
        """Return the seconds since an evacuation ended; infinite if none did."""
        self._end_lapsed()
        return self.clock() - self._ended_at.get(failure_domain, -math.inf)

    def begin_table(self, era: int) -> None:
        """Prepare for the rows of the whole table.

        :param era: era of the table.
        """
        self._listed.clear()
        self._is_restored = self._era not in (None, era)
        self._era = era
        if self._is_restored:
            # Versions of another era can't be compared.
            for instruction in self._in_force.values():
                instruction.version = 0

    def apply(self, evacuation: Evacuation, version: int) -> None:
        """Apply a row that was written or removed.

        :param version: version of the row; 0 where unknown.
        """
        domain = evacuation.failure_domain
        known = self._in_force.get(domain)
        if evacuation.is_active:
            self._listed.add(domain)
        if known is not None and 0 < version < known.version:
            # A poll that was asked before the table was last read may arrive after it.
            return
        if not evacuation.is_active:
            self._end(domain, "row_removed")
            return
        self._in_force[domain] = _Instruction(version)
        self._ended_at.pop(domain, None)
        if known is None:
            self._log("evacuation_started", domain)

    def finish_table(self) -> None:
        """End the instructions whose rows the whole table lacks.

        In a store that was restored from a copy, a missing row doesn't mean that the
        operator removed it. The instruction holds for a while, in which the operator's
        tools can write it again.
        """
        for domain in [name for name in self._in_force if name not in self._listed]:
            instruction = self._in_force[domain]
            if self._is_restored:
                due_at = self.clock() + self.restored_grace_s
                instruction.ends_at = min(instruction.ends_at, due_at)
                self._log(
                    "evacuation_row_missing",
                    domain,
                    holds_s=round(instruction.ends_at - self.clock(), 3),
                )
            elif math.isinf(instruction.ends_at):
                self._end(domain, "row_missing")

    def _end_lapsed(self) -> None:
        if not self._in_force:
            return
        now = self.clock()
        for domain, instruction in list(self._in_force.items()):
            if now >= instruction.ends_at:
                self._end(domain, "missing_after_restore")

    def _end(self, domain: str, reason: str) -> None:
        if self._in_force.pop(domain, None) is None:
            return
        self._ended_at.pop(domain, None)
        self._ended_at[domain] = self.clock()
        if len(self._ended_at) > N_ENDED_KEPT:
            del self._ended_at[next(iter(self._ended_at))]
        self._log("evacuation_ended", domain, reason=reason)
        self.handle_end(domain)

    def _log(self, event: str, domain: str, **fields) -> None:
        self.metrics.gauge("evacuated_domains", len(self._in_force))
        logs.log(
            logs.WARNING,
            event,
            failure_domain=domain,
            config_age_s=round(self.get_age_s(), 3),
            **fields,
        )
