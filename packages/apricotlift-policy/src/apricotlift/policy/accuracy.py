"""Accuracy of the estimated fetch times per store.

A store whose fetches take more than three times the estimate is excluded until
probes show that its estimates are accurate again, so that a slow link or store
doesn't make requests slower than recomputation would. Smaller errors are corrected
by a learned factor.
"""

from dataclasses import dataclass, field
from random import Random

from apricotlift.policy.breaker import Breaker, BreakerSettings, Ticket


@dataclass(frozen=True)
class AccuracySettings:
    """Limits on the error of an estimate, and parameters of the learned factor.

    :param error_factor_max: actual / estimated time above which an estimate is
        inaccurate.
    :param probe_error_factor_max: the same limit for probes; lower than
        ``error_factor_max``, so that a store with errors close to the limit isn't
        excluded and included in turn.
    :param ignored_error_s: an estimate exceeded by no more than this time is always
        accurate; such errors are within the scheduling noise on a busy node.
    :param learning_rate: weight of a new fetch in the learned factor.
    :param factor_half_life_s: time in which the deviation of the learned factor from 1
        decays by half. Routing avoids a store that looks slow, so without the decay
        a factor learned in a short period of slowness would never be corrected.
    :param breaker: how many inaccurate estimates exclude a store, and for how long.
    """

    error_factor_max: float = 3.0
    probe_error_factor_max: float = 2.0
    ignored_error_s: float = 0.02
    learning_rate: float = 0.2
    factor_half_life_s: float = 60.0
    breaker: BreakerSettings = field(
        default_factory=lambda: BreakerSettings(
            n_consecutive_failures=2, n_probes_to_close=2
        )
    )


class StoreAccuracy:
    """Accuracy tracker of one store.

    The caller needs a ticket for each fetch of a plan. While the store is excluded,
    a fetch that gets a ticket serves as the probe.

    >>> accuracy = StoreAccuracy(AccuracySettings())
    >>> for _ in range(2):
    ...     ticket = accuracy.begin(now_s=0.0)
    ...     accuracy.finish(ticket, 0.1, 0.5, now_s=0.5, random=Random(1))
    >>> accuracy.is_usable(now_s=0.6)
    False
    """

    def __init__(self, settings: AccuracySettings):
        self.settings = settings
        self._factor = 1.0
        self._learned_at_s = 0.0
        self._breaker = Breaker(settings.breaker)

    def get_time_factor(self, now_s: float) -> float:
        """Return actual / modelled fetch time, for ``Store.time_factor``.

        The modelled time is based on the declared rate and latency of the link.
        """
        age_s = max(0.0, now_s - self._learned_at_s)
        kept_share = 0.5 ** (age_s / self.settings.factor_half_life_s)
        return 1.0 + (self._factor - 1.0) * kept_share

    def is_usable(self, now_s: float) -> bool:
        """Return whether plans may use the store; also true if a probe is due."""
        return self._breaker.allows(now_s)

    def begin(self, now_s: float) -> Ticket | None:
        """Return a ticket for one fetch, or ``None`` while the store is excluded."""
        return self._breaker.begin(now_s)

    def abandon(self, ticket: Ticket) -> None:
        """Release the ticket of a cancelled fetch."""
        self._breaker.abandon(ticket)

    def finish(
        self,
        ticket: Ticket,
        estimated_s: float,
        actual_s: float,
        now_s: float,
        random: Random,
        failed: bool = False,
    ) -> None:
        """Record the result of a fetch.

        :param ticket: the ticket that :meth:`begin` returned for the fetch.
        :param estimated_s: the plan's ``estimated_fetch_s``.
        :param actual_s: time until the fetch succeeded or failed.
        :param now_s: the current time.
        :param random: source of the jitter.
        :param failed: whether the fetch failed or timed out. An import times out
            after twice the estimate, so a larger factor is never observed; therefore
            a failure counts as an inaccurate estimate.
        """
        settings = self.settings
        factor = (
            settings.probe_error_factor_max
            if ticket.is_probe
            else settings.error_factor_max
        )
        is_accurate = actual_s <= max(
            factor * estimated_s, estimated_s + settings.ignored_error_s
        )
        # A fetch that failed before its estimated time tells nothing about the rate.
        if not failed or actual_s > estimated_s:
            self._update_factor(estimated_s, actual_s, now_s)
        self._breaker.finish(ticket, is_accurate and not failed, now_s, random)

    def _update_factor(self, estimated_s: float, actual_s: float, now_s: float) -> None:
        settings = self.settings
        factor = self.get_time_factor(now_s)
        # The estimate already contains the current factor.
        target = factor * actual_s / max(estimated_s, 1e-6)
        target = max(
            1 / settings.error_factor_max, min(settings.error_factor_max, target)
        )
        self._factor = factor + settings.learning_rate * (target - factor)
        self._learned_at_s = now_s
