"""Freshness of a node's configuration, and what an uncertain node may admit.

The freshness age is the time since the start of the read that last confirmed the
version in force. A node with an age of at most 3 s is current. Above that it is
uncertain, and admits new work only while a majority of the members was heard within
8 s, none of them has a newer version, and the age is at most 3 hours. All times are
of a clock that counts suspended time.
"""

import math
from collections.abc import Callable
from enum import StrEnum

from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.state.view import NEVER, Majority

CURRENT_AGE_S = 3.0
UNCERTAIN_LIMIT_S = 3 * 3600.0

_RETRY_AFTER_S = 2.0


class Standing(StrEnum):
    """Why a node may admit new work."""

    CURRENT = "current"
    MAJORITY = "majority"


class Freshness:
    """The version in force, the newest version seen and the last confirmation.

    A version is confirmed by a read that began at a known time. The read must be
    reported with ``observe_read`` or ``observe_peer`` before the version that it
    returned is put in force.
    """

    def __init__(self, metrics: Metrics, clock: Callable[[], float] = clocks.monotonic):
        self.version: int | None = None
        self.newest_version = 0
        self._metrics = metrics
        self._clock = clock
        self._confirmed_at = NEVER
        self._observed: tuple[int, float] = (0, NEVER)
        self._not_before = NEVER

    def put_in_force(self, version: int) -> bool:
        """Note that a version is in force; return whether it is newer.

        A lower version is ignored and counted.
        """
        if self.version is not None and version <= self.version:
            if version < self.version:
                self._metrics.count("config_regressions_total", source="document")
            return False
        self.version = version
        self.observe_hint(version)
        observed_version, observed_at = self._observed
        # The old version's confirmation says nothing about the new one.
        self._confirmed_at = observed_at if observed_version == version else NEVER
        return True

    def observe_read(self, version: int, started_at: float) -> None:
        """Note that a read of the head returned a version.

        :param started_at: when the read began, by the boot-time clock.
        """
        self._observe(version, started_at, "table")

    def observe_peer(self, version: int, age_s: float, started_at: float) -> None:
        """Note a peer's head.

        :param age_s: the peer's freshness age in its reply.
        :param started_at: when the request to the peer began, so that the round
            trip counts into the age.
        """
        if age_s >= 0:
            self._observe(version, started_at - age_s, "peer")

    def observe_hint(self, version: int) -> None:
        """Note that a version exists, without a confirmation."""
        self.newest_version = max(self.newest_version, version)

    def require_confirmation(self, since: float) -> None:
        """After a pause, accept only confirmations by reads that began later."""
        self._not_before = max(self._not_before, since)

    def get_age(self, now: float | None = None) -> float:
        """Return the freshness age in seconds, infinite if never confirmed."""
        return (self._clock() if now is None else now) - self._confirmed_at

    def get_age_ms(self, now: float | None = None) -> int:
        """Return the age for a message: rounded up, -1 if never confirmed."""
        age_s = self.get_age(now)
        return -1 if math.isinf(age_s) else math.ceil(age_s * 1000)

    def is_current(self) -> bool:
        """Return whether the version in force was confirmed recently enough."""
        is_confirmed = self._confirmed_at >= self._not_before
        return is_confirmed and self.get_age() <= CURRENT_AGE_S

    def check_admission(self, majority: Majority) -> Standing:
        """Return why new work may be admitted now.

        :param majority: what the membership view knows at this moment.
        :raises ApricotliftError: ``NO_CONFIG`` or ``CONFIG_UNCERTAIN``, not run.
        """
        if self.version is None:
            raise self._refuse(Code.NO_CONFIG, "no configuration is in force")
        if self.is_current():
            return Standing.CURRENT
        if self._confirmed_at < self._not_before:
            raise self._refuse_uncertain("it wasn't confirmed after a pause")
        newest_version = max(self.newest_version, majority.newest_version)
        if newest_version > self.version:
            raise self._refuse_uncertain(f"version {newest_version} exists")
        if self.get_age() > UNCERTAIN_LIMIT_S:
            raise self._refuse_uncertain("it is uncertain for too long")
        if not majority.is_majority:
            counts = f"{majority.n_heard} of {majority.n_members}"
            raise self._refuse_uncertain(f"only {counts} members were heard")
        return Standing.MAJORITY

    def _observe(self, version: int, confirmed_at: float, source: str) -> None:
        self.observe_hint(version)
        observed_version, observed_at = self._observed
        if version > observed_version:
            self._observed = (version, confirmed_at)
        elif version == observed_version:
            self._observed = (version, max(observed_at, confirmed_at))
        if self.version is None:
            return
        if version < self.version:
            self._metrics.count("config_regressions_total", source=source)
        elif version == self.version:
            self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def _refuse_uncertain(self, reason: str) -> ApricotliftError:
        message = f"configuration version {self.version} is uncertain: {reason}"
        return self._refuse(Code.CONFIG_UNCERTAIN, message)

    def _refuse(self, code: Code, message: str) -> ApricotliftError:
        return ApricotliftError(
            code, message, Ran.NO, Scope.NODE, retry_after_s=_RETRY_AFTER_S
        )
