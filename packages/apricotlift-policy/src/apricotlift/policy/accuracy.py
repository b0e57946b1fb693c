"""Accuracy of the fetch estimates per store.

A store whose estimates are wrong by more than a factor of three is excluded until
probes show that they hold again, so that a slow link or store makes no request
slower than recomputation would. Smaller errors are learned as a factor.
"""

from dataclasses import dataclass, field
from random import Random

from apricotlift.policy.breaker import Breaker, BreakerSettings, Ticket


@dataclass(frozen=True)
class AccuracySettings:
    """When an estimate counts as wrong.

    :param wrong_factor: actual / estimated time above which it is wrong.
    :param good_factor: factor that a probe must keep within; lower than
        ``wrong_factor``, so that a link at the edge doesn't alternate.
    :param ignored_s: differences below this are never wrong; they are within the
        noise of scheduling on a busy node.
    :param learning_rate: weight of a new fetch in the learned factor.
    :param forget_half_life_s: time in which half of a learned factor is forgotten.
        A store that looks slow isn't fetched from, so without this a factor learned
        in a bad minute would never be corrected.
    :param breaker: how many wrong estimates exclude a store, and for how long.
    """

    wrong_factor: float = 3.0
    good_factor: float = 2.0
    ignored_s: float = 0.02
    learning_rate: float = 0.2
    forget_half_life_s: float = 60.0
    breaker: BreakerSettings = field(
        default_factory=lambda: BreakerSettings(
            n_consecutive_failures=2, n_probes_to_close=2
        )
    )


class StoreAccuracy:
    """Tracker of one store.

    A caller takes a ticket for each fetch that a plan asks for, and while the store
    is excluded the fetch that gets a ticket is the probe.

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
        """Return actual / declared fetch time, for ``Store.time_factor``."""
        age_s = max(0.0, now_s - self._learned_at_s)
        kept_share = 0.5 ** (age_s / self.settings.forget_half_life_s)
        return 1.0 + (self._factor - 1.0) * kept_share

    def is_usable(self, now_s: float) -> bool:
        """Return whether plans may use the store; true also when a probe is due."""
        return self._breaker.allows(now_s)

    def begin(self, now_s: float) -> Ticket | None:
        """Return a ticket for one fetch, or nothing while the store is excluded."""
        return self._breaker.begin(now_s)

    def abandon(self, ticket: Ticket) -> None:
        """Give a ticket back for a fetch that was cancelled."""
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
        """Record a fetch.

        :param ticket: what :meth:`begin` returned.
        :param estimated_s: the plan's ``estimated_fetch_s``.
        :param actual_s: how long it took, or ran until it failed.
        :param now_s: the present time.
        :param random: source of the jitter.
        :param failed: whether the fetch failed or timed out. An import times out at
            twice the estimate, so a larger factor is never seen: a failure counts
            as wrong.
        """
        settings = self.settings
        factor = settings.good_factor if ticket.is_probe else settings.wrong_factor
        held = actual_s <= max(factor * estimated_s, estimated_s + settings.ignored_s)
        # A fetch that failed early says nothing about the rate.
        if not failed or actual_s > estimated_s:
            self._learn(estimated_s, actual_s, now_s)
        self._breaker.finish(ticket, held and not failed, now_s, random)

    def _learn(self, estimated_s: float, actual_s: float, now_s: float) -> None:
        settings = self.settings
        factor = self.get_time_factor(now_s)
        # The estimate already contains the present factor.
        target = factor * actual_s / max(estimated_s, 1e-6)
        target = max(1 / settings.wrong_factor, min(settings.wrong_factor, target))
        self._factor = factor + settings.learning_rate * (target - factor)
        self._learned_at_s = now_s
