"""Memory for response data that a process holds until it is complete.

Whole bodies and unfinished events are held in memory. All responses of a process share
one budget, so that several servers that send without end can't exhaust its memory
together. Small responses need no share of it and are never refused because of others.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope

#: Size of the budget where no memory limit is set.
DEFAULT_BUDGET_BYTES = 67_108_864
#: Bytes of each response that don't count towards the budget.
FREE_BYTES = 65_536

#: Share of the memory limit that the budget takes.
_MEMORY_SHARE = 1 / 8
#: Share of the budget that one response may take.
_RESPONSE_SHARE = 0.5


@dataclass
class ReadBudget:
    """The memory that is reserved for responses being read.

    :param n_bytes_max: size of the budget.
    """

    n_bytes_max: int = DEFAULT_BUDGET_BYTES
    n_reserved: int = 0

    @property
    def n_response_bytes_max(self) -> int:
        """Largest number of bytes that one response may hold."""
        return max(FREE_BYTES, int(self.n_bytes_max * _RESPONSE_SHARE))

    @contextmanager
    def open_reservation(self) -> Iterator["Reservation"]:
        """Yield the reservation of one response, and return its bytes at the end."""
        reservation = Reservation(self)
        try:
            yield reservation
        finally:
            reservation.resize(0)


@dataclass
class Reservation:
    """The part of the budget that one response holds."""

    budget: ReadBudget
    n_reserved: int = 0

    def resize(self, n_bytes: int) -> None:
        """Reserve memory for all bytes that the response holds now.

        :raises ApricotliftError: ``upstream_protocol`` if the response is larger than
            allowed, ``overloaded`` if other responses hold the rest of the budget.
        """
        budget = self.budget
        if n_bytes > budget.n_response_bytes_max:
            message = f"response exceeds {budget.n_response_bytes_max} bytes"
            raise ApricotliftError(
                Code.UPSTREAM_PROTOCOL, message, Ran.MAYBE, Scope.UPSTREAM
            )
        n_added = max(0, n_bytes - FREE_BYTES) - self.n_reserved
        if n_added > 0 and budget.n_reserved + n_added > budget.n_bytes_max:
            message = (
                f"responses being read hold {budget.n_reserved} of "
                f"{budget.n_bytes_max} bytes; no room for {n_bytes} more"
            )
            raise ApricotliftError(Code.OVERLOADED, message, Ran.MAYBE, Scope.NODE)
        budget.n_reserved += n_added
        self.n_reserved += n_added


def compute_budget_bytes(memory_bytes: int) -> int:
    """Return the size of the budget of a process with a memory limit.

    >>> compute_budget_bytes(150_000_000)
    18750000
    """
    return int(memory_bytes * _MEMORY_SHARE)
