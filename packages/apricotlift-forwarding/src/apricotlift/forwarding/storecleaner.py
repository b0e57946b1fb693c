"""Frees the parts in KV stores that no request can use any more.

A managed store evicts nothing on its own, so parts of replaced weight versions would
fill it up. One node is responsible for each store. It frees a part only when the part's
salt has belonged to no weights in use for longer than any fetch that is still in
progress can take.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.hashing import rank_nodes
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.cacheindex import CacheIndex, HeldParts
from apricotlift.forwarding.dialect import Dialect
from apricotlift.forwarding.entities import Account, Configuration
from apricotlift.forwarding.placement import compute_cache_salt
from apricotlift.forwarding.residency import combine_regions
from apricotlift.forwarding.routingstate import RoutingState
from apricotlift.upstreams.persistentconnections import HttpCall, PersistentConnections
from apricotlift.upstreams.readbudget import ReadBudget

#: After this time out of use, no request still fetches parts of a salt: a fetch that
#: would wait over two seconds isn't started, and no prompt begins on replaced weights
#: after the limit for their use.
UNUSED_GRACE_S = 8.0

_INTERVAL_S = 1.0
_STATE_AGE_MAX_S = 3.0
_MAX_PARTS_PER_CALL = 100
_CALL_TIMEOUT_S = 1.0


@dataclass
class StoreCleaner:
    """Frees unused parts in the stores that this node is responsible for.

    :param own_name: name of this node.
    :param list_live_nodes: returns the names of the live nodes, this one included.
    :param budget: memory that all responses being read share.
    """

    own_name: str
    dialect: Dialect
    routing_state: RoutingState
    index: CacheIndex
    list_live_nodes: Callable[[], list[str]]
    metrics: Metrics
    clock: Callable[[], float] = clocks.monotonic
    budget: ReadBudget = field(default_factory=ReadBudget)
    _scopes: list[tuple[Account | None, frozenset[str] | None]] = field(
        default_factory=list
    )
    _scopes_of: Configuration | None = None
    _unused_since: dict[tuple[str, int, str], float] = field(default_factory=dict)

    async def run(self) -> None:
        """Free unused parts until cancelled."""
        while True:
            await anyio.sleep(_INTERVAL_S)
            if not self._is_state_current():
                self._unused_since.clear()
                continue
            nodes = self.list_live_nodes()
            for held in self.index.list_stores():
                if not held.holder.is_managed:
                    continue
                if rank_nodes(held.holder.address, nodes)[:1] == [self.own_name]:
                    parts = self.list_unused_parts(held)
                    if parts:
                        await self._free_parts(held, parts)

    def list_unused_parts(self, held: HeldParts) -> list[tuple[str, str]]:
        """Return parts of a store whose salt has been unused long enough to free them.

        A salt counts as unused from the first call that finds it so.
        """
        used = self._list_used_salts()
        now = self.clock()
        address = held.holder.address
        salts = {salt for salt, _ in held.parts}
        for key in list(self._unused_since):
            if key[0] == address and (key[1] != held.boot or key[2] in used):
                del self._unused_since[key]
        due = set()
        for salt in salts - used:
            since = self._unused_since.setdefault((address, held.boot, salt), now)
            if now - since >= UNUSED_GRACE_S:
                due.add(salt)
        return [part for part in held.parts if part[0] in due][:_MAX_PARTS_PER_CALL]

    def _is_state_current(self) -> bool:
        feeds = (self.routing_state.operator_feed, self.routing_state.servers_feed)
        return self.routing_state.is_ready and all(
            not feed.is_failing and feed.age_s < _STATE_AGE_MAX_S for feed in feeds
        )

    def _list_used_salts(self) -> set[str]:
        versions = {
            (model, version)
            for server in self.routing_state.servers.values()
            for model, version in server.weights.items()
        }
        versions.update(self.routing_state.weight_targets.list_newest())
        configuration = self.routing_state.configuration
        if configuration is not self._scopes_of:
            self._scopes = _list_scopes(configuration)
            self._scopes_of = configuration
        return {
            compute_cache_salt(model, version, account, regions)
            for model, version in versions
            for account, regions in self._scopes
        }

    async def _free_parts(self, held: HeldParts, parts: list[tuple[str, str]]) -> None:
        call = self.dialect.build_free_call(held.boot, parts)
        connections = PersistentConnections(
            held.holder.address, 1, self.metrics, self.budget
        )
        try:
            response = await connections.request(
                HttpCall(call.method, call.target, call.headers, call.body),
                _CALL_TIMEOUT_S,
            )
            outcome = str(response.status)
        except ApricotliftError as error:
            outcome = str(error.code)
        finally:
            await connections.close()
        self.metrics.count("stored_parts_freed_total", len(parts))
        logs.log(
            logs.INFO,
            "stored_parts_freed",
            holder=held.holder.address,
            n_parts=len(parts),
            salts=sorted({salt for salt, _ in parts}),
            outcome=outcome,
        )


def _list_scopes(
    configuration: Configuration,
) -> list[tuple[Account | None, frozenset[str] | None]]:
    """Return accounts and allowed regions, one pair for each group of salts."""
    # Requests of a public route have no account.
    accounts = [None, *(configuration.accounts or {}).values()]
    route_regions = {route.allowed_regions for route in configuration.routes}
    scopes = {}
    for account in accounts:
        isolated = account.name if account and account.is_isolated else ""
        own_regions = account.allowed_regions if account else frozenset()
        for allowed in {frozenset(), *route_regions}:
            regions = combine_regions(allowed, own_regions)
            scopes[(isolated, regions)] = (account, regions)
    return list(scopes.values())
