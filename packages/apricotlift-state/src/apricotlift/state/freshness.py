"""Freshness of a node's configuration, and admission of new work that depends on it.

The freshness age is the time since the start of the read that last confirmed the
version in force. A node with an age of at most 3 s is current. With a higher age it is
uncertain, and admits new work only while a majority of the members is proven alive
within the last 8 s, none of them has a newer version, and the age is at most 3 hours.
All times are in seconds of a monotonic clock that counts suspended time.
"""

import math
from collections.abc import Callable
from enum import StrEnum

from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.state.view import NEVER, Majority

MAX_CURRENT_AGE_S = 3.0
MAX_UNCERTAIN_AGE_S = 3 * 3600.0

_RETRY_AFTER_S = 2.0


class AdmissionBasis(StrEnum):
    """The basis on which a node admits new work.

    ``CURRENT``: its configuration was confirmed recently. ``MAJORITY``: it is
    uncertain, but a majority of the members has no newer version.
    """

    CURRENT = "current"
    MAJORITY = "majority"


class Freshness:
    """Tracks the version in force, the newest known version and the last confirmation.

    A version is confirmed by a read that began at a known time. Report the read with
    ``observe_read`` or ``observe_peer`` before putting the version that it returned
    in force.
    """

    def __init__(self, metrics: Metrics, clock: Callable[[], float] = clocks.monotonic):
        self.version: int | None = None
        self.newest_version = 0
        self._metrics = metrics
        self._clock = clock
        self._confirmed_at = NEVER
        self._last_observation: tuple[int, float] = (0, NEVER)
        self._required_confirmation_from = NEVER

    def put_in_force(self, version: int) -> bool:
        """Record that a version is in force.

        A lower version than the one in force is ignored and counted.

        :returns: whether the version is newer than the one in force before.
        """
        if self.version is not None and version <= self.version:
            if version < self.version:
                self._metrics.count("config_regressions_total", source="document")
            return False
        self.version = version
        self.observe_hint(version)
        observed_version, observed_at = self._last_observation
        # The confirmation of the previous version doesn't apply to the new one.
        self._confirmed_at = observed_at if observed_version == version else NEVER
        return True

    def observe_read(self, version: int, started_at: float) -> None:
        """Record that a read of the head returned a version.

        :param started_at: when the read began, in seconds of this object's clock.
        """
        self._observe(version, started_at, "table")

    def observe_peer(self, version: int, age_s: float, started_at: float) -> None:
        """Record the head that a peer reported.

        :param age_s: the freshness age in the peer's reply; negative if the peer has
            no confirmed version.
        :param started_at: when the request to the peer began, so that the age
            includes the round trip.
        """
        if age_s >= 0:
            self._observe(version, started_at - age_s, "peer")

    def observe_hint(self, version: int) -> None:
        """Record that a version exists, without confirming it."""
        self.newest_version = max(self.newest_version, version)

    def require_confirmation(self, since: float) -> None:
        """Require a confirmation by a read that began at or after a time.

        Called after a pause of the process.
        """
        self._required_confirmation_from = max(self._required_confirmation_from, since)

    def get_age(self, now: float | None = None) -> float:
        """Return the freshness age in seconds; infinite if never confirmed."""
        return (self._clock() if now is None else now) - self._confirmed_at

    def get_age_ms(self, now: float | None = None) -> int:
        """Return the age in milliseconds, rounded up; -1 if never confirmed.

        This is the form in which messages carry the age.
        """
        age_s = self.get_age(now)
        return -1 if math.isinf(age_s) else math.ceil(age_s * 1000)

    def is_current(self) -> bool:
        """Return whether the version in force was confirmed recently enough."""
        is_confirmed = self._confirmed_at >= self._required_confirmation_from
        return is_confirmed and self.get_age() <= MAX_CURRENT_AGE_S

    def check_admission(self, majority: Majority) -> AdmissionBasis:
        """Return the basis on which new work may be admitted now.

        :param majority: the current state of the membership view.
        :raises ApricotliftError: ``NO_CONFIG`` or ``CONFIG_UNCERTAIN``, with
            ``Ran.NO``.
        """
        if self.version is None:
            raise self._build_refusal(Code.NO_CONFIG, "no configuration is in force")
        if self.is_current():
            return AdmissionBasis.CURRENT
        if self._confirmed_at < self._required_confirmation_from:
            raise self._build_uncertain_refusal(
                "it hasn't been confirmed since the process was paused"
            )
        newest_version = max(self.newest_version, majority.newest_version)
        if newest_version > self.version:
            raise self._build_uncertain_refusal(f"version {newest_version} exists")
        if self.get_age() > MAX_UNCERTAIN_AGE_S:
            raise self._build_uncertain_refusal(
                f"its last confirmation is more than {MAX_UNCERTAIN_AGE_S:g} s old"
            )
        if not majority.is_majority:
            counts = f"{majority.n_heard} of {majority.n_members}"
            raise self._build_uncertain_refusal(
                f"only {counts} members were heard, expected more than half"
            )
        return AdmissionBasis.MAJORITY

    def _observe(self, version: int, confirmed_at: float, source: str) -> None:
        self.observe_hint(version)
        observed_version, observed_at = self._last_observation
        if version > observed_version:
            self._last_observation = (version, confirmed_at)
        elif version == observed_version:
            self._last_observation = (version, max(observed_at, confirmed_at))
        if self.version is None:
            return
        if version < self.version:
            self._metrics.count("config_regressions_total", source=source)
        elif version == self.version:
            self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def _build_uncertain_refusal(self, reason: str) -> ApricotliftError:
        message = f"configuration version {self.version} is uncertain: {reason}"
        return self._build_refusal(Code.CONFIG_UNCERTAIN, message)

    def _build_refusal(self, code: Code, message: str) -> ApricotliftError:
        return ApricotliftError(
            code, message, Ran.NO, Scope.NODE, retry_after_s=_RETRY_AFTER_S
        )
