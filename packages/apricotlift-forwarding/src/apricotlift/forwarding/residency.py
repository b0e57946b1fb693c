"""Regions in which a request may run, by its route and its client account."""

from collections.abc import Callable
from dataclasses import dataclass

from apricotlift.forwarding.entities import ClientRequest
from apricotlift.forwarding.settings import RegionsModel


@dataclass(frozen=True)
class Residency:
    """Where a request may run.

    :param regions: allowed regions; ``None`` for any region, and empty where route and
        account have none in common.
    :param get_region: returns the region of a failure domain, ``None`` where it isn't
        known.
    """

    regions: frozenset[str] | None
    get_region: Callable[[str], str | None]

    def allows(self, failure_domain: str) -> bool:
        """Return whether the request may reach servers of a failure domain.

        A restricted request may not reach those whose region isn't known.
        """
        return self.regions is None or self.get_region(failure_domain) in self.regions


def combine_regions(*restrictions: frozenset[str]) -> frozenset[str] | None:
    """Return the regions that all restrictions allow; an empty one allows any.

    >>> combine_regions(frozenset(), frozenset()) is None
    True
    >>> combine_regions(frozenset({"north", "south"}), frozenset({"south"}))
    frozenset({'south'})
    >>> combine_regions(frozenset({"north"}), frozenset({"south"}))
    frozenset()
    """
    named = [regions for regions in restrictions if regions]
    return frozenset.intersection(*named) if named else None


def build_residency(request: ClientRequest, regions: RegionsModel) -> Residency:
    """Return where a request may run.

    :param regions: the region of each failure domain.
    """
    account = request.account
    account_regions = account.allowed_regions if account is not None else frozenset()
    allowed = combine_regions(request.route.allowed_regions, account_regions)
    return Residency(allowed, regions.get_region)
