"""Memory and connections that others make a process hold.

Whole bodies and unfinished events of servers are held in memory, and so are unfinished
heads, bodies and untaken responses of clients. All of them share one budget, so that
servers that send without end and clients that exceed their limits can't exhaust the
memory together. Small responses need no share of it and are never refused because of
others. Where the budget is used up, the clients that hold most for longest are closed.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Protocol

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope

#: Size of the budget where no memory limit is set.
DEFAULT_BUDGET_BYTES = 67_108_864
#: Bytes of each response that don't count towards the budget.
FREE_BYTES = 65_536

#: Descriptors of a process that are reserved for files.
RESERVED_DESCRIPTORS = 200
#: Memory of a connection without the bytes that the budget counts. 600 idle connections
#: took some 6 MB; the rest is for the first bytes of a head, which aren't counted.
CONNECTION_BYTES = 16_384

#: Share of the memory limit that the budget takes. Connections take as much again.
_MEMORY_SHARE = 1 / 8
#: Share of the other descriptors that clients may hold: each request may need another
#: one for the connection to its server.
_CLIENT_DESCRIPTOR_SHARE = 1 / 2
_MIN_CONNECTIONS = 16
#: More room is made than is needed, so that ranking all holders is rarely necessary.
_FREED_SHARE = 1 / 32
#: Share of the budget that one response may take.
_RESPONSE_SHARE = 0.5


class Holder(Protocol):
    """A client connection that holds a part of the budget.

    :ivar n_charged: bytes of the budget that it holds.
    """

    n_charged: int

    def compute_rank(self) -> tuple[int, float] | None:
        """Return the rank among the holders, of which the highest is ended first.

        :returns: ``None`` if it must not be ended.
        """

    def end(self) -> None:
        """Close the connection and return its part of the budget at once."""


@dataclass
class ReadBudget:
    """The memory and the connections that servers and clients make a process hold.

    :param n_bytes_max: size of the budget.
    :param n_connections_max: largest number of connections of clients.
    :param holders: the connections of clients.
    """

    n_bytes_max: int = DEFAULT_BUDGET_BYTES
    n_reserved: int = 0
    n_connections_max: int = 2048
    holders: set[Holder] = field(default_factory=set)

    @property
    def n_response_bytes_max(self) -> int:
        """Largest number of bytes that one response may hold."""
        return max(FREE_BYTES, int(self.n_bytes_max * _RESPONSE_SHARE))

    def add_holder(self, holder: Holder) -> bool:
        """Add a client connection; others are closed if there are too many.

        :returns: whether it may stay.
        """
        if len(self.holders) >= self.n_connections_max:
            n_ended = max(1, int(self.n_connections_max * _FREED_SHARE))
            for other in self._rank_holders()[:n_ended]:
                other.end()
                self.holders.discard(other)
        if len(self.holders) >= self.n_connections_max:
            return False
        self.holders.add(holder)
        return True

    def charge(self, holder: Holder, n_bytes: int) -> bool:
        """Set what a client connection holds, and make room for it.

        :returns: whether there was room; ``False`` also if the connection was ended.
        """
        n_added = n_bytes - holder.n_charged
        if n_added > 0 and not self.make_room(n_added):
            return False
        if holder not in self.holders:
            return False
        self.n_reserved += n_added
        holder.n_charged = n_bytes
        return True

    def release(self, holder: Holder) -> None:
        """Return what a client connection holds."""
        self.n_reserved -= holder.n_charged
        holder.n_charged = 0

    def make_room(self, n_bytes: int) -> bool:
        """End the connections that hold most for longest until bytes are free.

        No connection is ended if that gives too little room.
        """
        n_missing = self.n_reserved + n_bytes - self.n_bytes_max
        if n_missing <= 0:
            return True
        ranked = [holder for holder in self._rank_holders() if holder.n_charged]
        if sum(holder.n_charged for holder in ranked) < n_missing:
            return False
        n_wanted = max(n_missing, int(self.n_bytes_max * _FREED_SHARE))
        n_reserved_max = self.n_reserved - n_wanted
        for holder in ranked:
            if self.n_reserved <= n_reserved_max:
                break
            holder.end()
            self.holders.discard(holder)
        return self.n_reserved + n_bytes <= self.n_bytes_max

    def _rank_holders(self) -> list[Holder]:
        """Return the holders that may be ended, the one to be ended first in front."""
        ranked = []
        for holder in self.holders:
            rank = holder.compute_rank()
            if rank is not None:
                ranked.append((rank, id(holder), holder))
        ranked.sort(reverse=True)
        return [holder for _, _, holder in ranked]

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
        if n_added > 0 and not budget.make_room(n_added):
            message = (
                f"responses and clients hold {budget.n_reserved} of "
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


def compute_connections_max(memory_bytes: int, n_descriptors: int) -> int:
    """Return how many connections clients may have to a process.

    >>> compute_connections_max(150_000_000, 4096)
    1144
    >>> compute_connections_max(150_000_000, 320)
    60
    """
    n_usable = max(0, n_descriptors - RESERVED_DESCRIPTORS)
    by_descriptors = int(n_usable * _CLIENT_DESCRIPTOR_SHARE)
    by_memory = compute_budget_bytes(memory_bytes) // CONNECTION_BYTES
    return max(_MIN_CONNECTIONS, min(by_descriptors, by_memory))


def build_budget(memory_bytes: int, n_descriptors: int) -> ReadBudget:
    """Return the budget of a process with these limits on memory and descriptors."""
    return ReadBudget(
        compute_budget_bytes(memory_bytes),
        n_connections_max=compute_connections_max(memory_bytes, n_descriptors),
    )
