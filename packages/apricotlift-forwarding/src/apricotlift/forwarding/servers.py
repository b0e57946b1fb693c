"""Load, latency and failures of each server as seen by this node, and server selection.

Only results of client requests count. The failure share decays with a half-life, so
that a server that failed is tried again after a while.
"""

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from apricotlift.core import clocks, logs
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.availability import Availability
from apricotlift.forwarding.entities import Server
from apricotlift.policy.breaker import Breaker, BreakerSettings
from apricotlift.upstreams.persistentconnections import PersistentConnections
from apricotlift.upstreams.readbudget import ReadBudget

BREAKER_SETTINGS = BreakerSettings(
    n_consecutive_failures=3,
    n_window_min=8,
    n_probes_to_close=1,
    open_min_s=0.5,
    open_max_s=4.0,
    probe_timeout_s=5.0,
)

#: Time for which an engine that loads weights is avoided, unless its entry shows the
#: new version sooner.
WEIGHT_LOAD_BACKOFF_S = 1.5

#: Smoothing factors (weight of the newest value) of the moving averages.
_LATENCY_SMOOTHING = 0.2
_INITIAL_LATENCY_S = 0.03
_FAILURE_SMOOTHING = 0.15
_FAILURE_HALF_LIFE_S = 4.0

#: A failed request costs the client about this much time.
_FAILURE_COST_S = 1.0
_CROSS_DOMAIN_COST_S = 0.003
#: A new connection takes a round trip, and work of the server.
_NEW_CONNECTION_COST_S = 0.01

#: Statements of so many servers without a handle are kept, the newest ones, because the
#: entry of the same incarnation may come back.
N_KEPT_STATEMENTS = 4096


@dataclass
class ServerHandle:
    """Connections, health and load of one incarnation of a server.

    :param n_in_flight: requests of this node that the server is handling.
    :param latency_s: moving average of the time to the first event or the response.
    :param avoided_until: time until which the server is avoided because it refused
        work, was unreachable, or loads weights.
    :param availability: what the server has stated about taking requests.
    """

    server: Server
    connections: PersistentConnections
    breaker: Breaker
    n_in_flight: int = 0
    latency_s: float = _INITIAL_LATENCY_S
    avoided_until: float = 0.0
    availability: Availability = field(default_factory=Availability)
    _failure_share: float = 0.0
    _failure_at: float = 0.0

    def get_failure_share(self, now: float) -> float:
        """Return the moving average of the share of failures, decayed with time."""
        age_s = max(0.0, now - self._failure_at)
        return self._failure_share * 0.5 ** (age_s / _FAILURE_HALF_LIFE_S)

    def note_result(self, is_success: bool, now: float) -> None:
        """Update the failure share with the result of one request."""
        share = self.get_failure_share(now)
        self._failure_share = share + _FAILURE_SMOOTHING * ((not is_success) - share)
        self._failure_at = now

    def note_latency(self, seconds: float) -> None:
        """Update the moving average of the latency with that of one request."""
        self.latency_s += _LATENCY_SMOOTHING * (seconds - self.latency_s)

    def estimate_cost_s(self, own_domain: str, now: float) -> float:
        """Return the expected cost of one more request, in seconds.

        :param own_domain: failure domain of this node.
        """
        queue = 1 + self.n_in_flight / max(1, self.server.n_slots) * 2
        cost_s = self.latency_s * queue
        cost_s += self.get_failure_share(now) * _FAILURE_COST_S
        if self.server.failure_domain != own_domain:
            cost_s += _CROSS_DOMAIN_COST_S
        if not self.connections.has_idle:
            cost_s += _NEW_CONNECTION_COST_S
        return cost_s


@dataclass
class ServerHandles:
    """The handles of all servers in use.

    :param get_n_connections: returns how many connections this node may open to each
        server of a service, by the service's name.
    :param budget: memory that all responses being read share.
    """

    metrics: Metrics
    get_n_connections: Callable[[str], int]
    clock: Callable[[], float] = clocks.monotonic
    budget: ReadBudget = field(default_factory=ReadBudget)
    _handles: dict[tuple, ServerHandle] = field(default_factory=dict)
    _kept_statements: dict[tuple, Availability] = field(default_factory=dict)

    def get(self, server: Server) -> ServerHandle:
        """Return the handle of a server's incarnation, creating it where needed."""
        handle = self._handles.get(server.incarnation)
        if handle is None:
            connections = PersistentConnections(
                server.address,
                self.get_n_connections(server.service),
                self.metrics,
                self.budget,
            )
            handle = ServerHandle(server, connections, Breaker(BREAKER_SETTINGS))
            kept = self._kept_statements.pop(server.incarnation, None)
            handle.availability = kept or handle.availability
            self._handles[server.incarnation] = handle
        if server.weights != handle.server.weights:
            # The engine refused work while it loaded these weights.
            handle.avoided_until = 0.0
        handle.server = server
        return handle

    def note_loading(self, server: Server) -> None:
        """Avoid an engine while it loads weights."""
        self.get(server).avoided_until = self.clock() + WEIGHT_LOAD_BACKOFF_S

    async def sweep(self, is_in_use: Callable[[Server], bool]) -> None:
        """Close stale connections, and remove handles of servers that are gone.

        :param is_in_use: returns whether a server is still listed.
        """
        for key, handle in list(self._handles.items()):
            handle.connections.n_connections_max = self.get_n_connections(
                handle.server.service
            )
            await handle.connections.close_stale()
            if handle.n_in_flight == 0 and not is_in_use(handle.server):
                del self._handles[key]
                self._keep_statement(key, handle.availability)
                await handle.connections.close()
                logs.log(logs.INFO, "server_forgotten", server=handle.server.server_id)

    def _keep_statement(self, key: tuple, availability: Availability) -> None:
        if not availability.is_stated(self.clock()):
            return
        self._kept_statements[key] = availability
        if len(self._kept_statements) > N_KEPT_STATEMENTS:
            del self._kept_statements[next(iter(self._kept_statements))]

    async def close(self) -> None:
        """Close all idle connections."""
        for handle in self._handles.values():
            await handle.connections.close()


def group_usable_handles(
    handles: Iterable[ServerHandle], now: float, drain_s: float
) -> list[list[ServerHandle]]:
    """Return the servers that may get a request, by what they have stated.

    Paused servers and those whose drain time is over are left out.

    :param drain_s: time after which a leaving server gets no request.
    :returns: up to two groups, neither of them empty: servers that stay, and leaving
        ones, which may be used only where none of the first group can be.
    """
    usable = [
        handle
        for handle in handles
        if not handle.availability.is_paused(now)
        and not handle.availability.has_left(now, drain_s)
    ]
    staying = [handle for handle in usable if not handle.availability.is_leaving]
    leaving = [handle for handle in usable if handle.availability.is_leaving]
    return [group for group in (staying, leaving) if group]


def is_avoided(handle: ServerHandle, now: float) -> bool:
    """Return whether a server refuses work at present or its breaker is open."""
    return handle.avoided_until > now or not handle.breaker.allows(now)


def choose_server(
    handles: Iterable[ServerHandle],
    own_domain: str,
    now: float,
    rng: random.Random,
) -> ServerHandle | None:
    """Return the server with the lowest expected cost.

    Servers that refuse work or whose breaker is open are chosen only where there is no
    other. The cost is varied at random, so that nodes with the same information don't
    all choose the same server.

    :param own_domain: failure domain of this node.
    :returns: ``None`` where there is no server.
    """
    best = None
    best_rank = (math.inf, math.inf)
    for handle in handles:
        cost_s = handle.estimate_cost_s(own_domain, now) * rng.uniform(0.8, 1.2)
        rank = (float(is_avoided(handle, now)), cost_s)
        if rank < best_rank:
            best, best_rank = handle, rank
    return best
