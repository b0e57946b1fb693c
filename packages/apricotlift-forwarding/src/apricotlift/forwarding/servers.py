"""What this node has seen of each server, and the choice among equals.

Only outcomes of real requests count. They are kept with a half-life, so that a server
that failed is tried again after a while.
"""

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from apricotlift.core import clocks, logs
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.facts import Server
from apricotlift.policy.breaker import Breaker, BreakerSettings
from apricotlift.upstreams.kept import KeptConnections

BREAKER_SETTINGS = BreakerSettings(
    n_consecutive_failures=3,
    n_window_min=8,
    n_probes_to_close=1,
    open_min_s=0.5,
    open_max_s=4.0,
    probe_timeout_s=5.0,
)

#: An engine that loads weights is left out for this time, unless its entry shows the
#: new ones sooner.
LOAD_REFUSAL_S = 1.5

_LATENCY_WEIGHT = 0.2
_FIRST_LATENCY_S = 0.03
_FAILURE_WEIGHT = 0.15
_FAILURE_HALF_LIFE_S = 4.0

#: A failed request costs its client about this much time.
_FAILURE_COST_S = 1.0
_OTHER_DOMAIN_COST_S = 0.003


@dataclass
class ServerHandle:
    """One incarnation of a server as this node uses it.

    :param n_in_flight: this node's requests there.
    :param refuses_until: the server has refused work until about then.
    """

    server: Server
    connections: KeptConnections
    breaker: Breaker
    n_in_flight: int = 0
    latency_s: float = _FIRST_LATENCY_S
    refuses_until: float = 0.0
    _failure_share: float = 0.0
    _failure_at: float = 0.0

    def get_failure_share(self, now: float) -> float:
        """Return the recent share of failures, falling with time."""
        age_s = max(0.0, now - self._failure_at)
        return self._failure_share * 0.5 ** (age_s / _FAILURE_HALF_LIFE_S)

    def note_result(self, is_good: bool, now: float) -> None:
        """Count one request's outcome."""
        share = self.get_failure_share(now)
        self._failure_share = share + _FAILURE_WEIGHT * ((not is_good) - share)
        self._failure_at = now

    def note_latency(self, seconds: float) -> None:
        """Count the time in which one request was answered."""
        self.latency_s += _LATENCY_WEIGHT * (seconds - self.latency_s)

    def estimate_cost_s(self, own_domain: str, now: float) -> float:
        """Return the expected cost of one more request, in seconds."""
        queue = 1 + self.n_in_flight / max(1, self.server.n_slots) * 2
        cost_s = self.latency_s * queue
        cost_s += self.get_failure_share(now) * _FAILURE_COST_S
        if self.server.failure_domain != own_domain:
            cost_s += _OTHER_DOMAIN_COST_S
        return cost_s


@dataclass
class ServerHandles:
    """The handles of all servers in use.

    :param get_part: returns the part of a server's connection limit that one node may
        take, from the service's name.
    """

    metrics: Metrics
    get_n_connections: Callable[[str], int]
    clock: Callable[[], float] = clocks.monotonic
    _handles: dict[tuple, ServerHandle] = field(default_factory=dict)

    def get(self, server: Server) -> ServerHandle:
        """Return the handle of a server's incarnation."""
        handle = self._handles.get(server.incarnation)
        if handle is None:
            connections = KeptConnections(
                server.address, self.get_n_connections(server.service), self.metrics
            )
            handle = ServerHandle(server, connections, Breaker(BREAKER_SETTINGS))
            self._handles[server.incarnation] = handle
        if server.weights != handle.server.weights:
            # It has loaded what it refused work for.
            handle.refuses_until = 0.0
        handle.server = server
        return handle

    def note_loading(self, server: Server) -> None:
        """Leave an engine out while it loads weights."""
        self.get(server).refuses_until = self.clock() + LOAD_REFUSAL_S

    async def sweep(self, keep: Callable[[Server], bool]) -> None:
        """Forget servers that are gone and close connections that are stale."""
        for key, handle in list(self._handles.items()):
            handle.connections.n_max = self.get_n_connections(handle.server.service)
            await handle.connections.close_stale()
            if handle.n_in_flight == 0 and not keep(handle.server):
                del self._handles[key]
                await handle.connections.close()
                logs.log(logs.INFO, "server_forgotten", server=handle.server.server_id)

    async def close(self) -> None:
        """Close all idle connections."""
        for handle in self._handles.values():
            await handle.connections.close()


def choose_server(
    handles: Iterable[ServerHandle],
    own_domain: str,
    now: float,
    source: random.Random,
) -> ServerHandle | None:
    """Return the server of the least expected cost.

    Servers whose breaker is open, or that refuse work, come only where there is no
    other. The draw keeps nodes that know the same from all taking the same server.
    """
    best = None
    best_rank = (math.inf, math.inf)
    for handle in handles:
        is_doubtful = not handle.breaker.allows(now) or handle.refuses_until > now
        cost_s = handle.estimate_cost_s(own_domain, now) * source.uniform(0.8, 1.2)
        rank = (float(is_doubtful), cost_s)
        if rank < best_rank:
            best, best_rank = handle, rank
    return best
