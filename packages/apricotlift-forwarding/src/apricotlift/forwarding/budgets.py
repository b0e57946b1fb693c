"""Retry budgets, divided between the nodes without communication.

The operator limits the retries that a service receives to a share of its requests plus
a fixed allowance in a time window. Each node uses an equal part of the allowance, and
the share of the requests that it forwards itself. Both are reduced by a safety factor,
because a node that restarts begins with its full part of the allowance again.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from apricotlift.policy.retries import RetryBudget, RetrySettings

#: Safety factors for the share of the requests and for the allowance.
_SHARE_FACTOR = 0.7
_ALLOWANCE_FACTOR = 0.45


@dataclass
class RetryBudgets:
    """The retry budgets of this node, by service.

    :param share: retries that each request adds to the budget.
    :param n_allowed: further retries of all nodes in a time window.
    :param count_nodes: returns the number of nodes that share the budget.
    """

    share: float
    n_allowed: float
    count_nodes: Callable[[], int]
    _budgets: dict[str, RetryBudget] = field(default_factory=dict)

    def get(self, service: str) -> RetryBudget:
        """Return the budget of a service, adjusted to the present number of nodes."""
        n_available = max(
            1.0, _ALLOWANCE_FACTOR * self.n_allowed / max(1, self.count_nodes())
        )
        budget = self._budgets.get(service)
        if budget is None:
            settings = RetrySettings(
                budget_share=self.share * _SHARE_FACTOR,
                n_initial=n_available,
                n_available_max=n_available,
            )
            budget = self._budgets[service] = RetryBudget(settings)
        elif budget.settings.n_available_max != n_available:
            budget.settings = replace(budget.settings, n_available_max=n_available)
            budget.n_available = min(budget.n_available, n_available)
        return budget
