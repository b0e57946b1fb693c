"""The retry budget that all nodes share, split without calls between them.

The operator bounds what a service gets beyond the first arrival of each request: a
share of its requests and a fixed allowance in a window. Each node takes its part of
the allowance and the share of what it forwards itself, and leaves a margin for nodes
that restart with a full part.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from apricotlift.policy.retries import RetryBudget, RetrySettings

_SHARE_USED = 0.7
_ALLOWANCE_USED = 0.45


@dataclass
class RetryBudgets:
    """One budget for each service.

    :param share: retries that one request earns.
    :param n_allowed: retries in a window besides.
    :param count_nodes: returns how many nodes share the budget.
    """

    share: float
    n_allowed: float
    count_nodes: Callable[[], int]
    _budgets: dict[str, RetryBudget] = field(default_factory=dict)

    def get(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        n_saved = max(
            1.0, _ALLOWANCE_USED * self.n_allowed / max(1, self.count_nodes())
        )
        budget = self._budgets.get(service)
        if budget is None:
            settings = RetrySettings(
                budget_share=self.share * _SHARE_USED,
                n_free=n_saved,
                n_saved_max=n_saved,
            )
            budget = self._budgets[service] = RetryBudget(settings)
        elif budget.settings.n_saved_max != n_saved:
            budget.settings = replace(budget.settings, n_saved_max=n_saved)
            budget.n_saved = min(budget.n_saved, n_saved)
        return budget
