"""Frees the parts in KV stores that no request can use any more.

A store drops nothing on its own, so the parts of replaced weights would fill it. One
node cares for each store. It frees a part only after its salt has belonged to no
weights in use for a while, longer than any fetch that began before can take.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.hashing import rank_nodes
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.cacheindex import CacheIndex, HeldParts
from apricotlift.forwarding.dialect import Dialect
from apricotlift.forwarding.knowledge import Knowledge
from apricotlift.forwarding.placement import build_salt
from apricotlift.upstreams.kept import Call, KeptConnections

#: A salt out of use for this time has no request under way: a fetch that would wait
#: over two seconds isn't started, and requests on replaced weights fetch nothing.
UNUSED_S = 8.0

_STEP_S = 1.0
_KNOWLEDGE_AGE_S = 3.0
_MAX_PARTS = 100
_TIMEOUT_S = 1.0


@dataclass
class StoreCare:
    """What this node frees.

    :param list_nodes: returns the names of the live nodes, this one included.
    """

    own_name: str
    dialect: Dialect
    knowledge: Knowledge
    index: CacheIndex
    list_nodes: Callable[[], list[str]]
    metrics: Metrics
    clock: Callable[[], float] = clocks.monotonic
    _unused_since: dict[tuple[str, int, str], float] = field(default_factory=dict)

    async def run(self) -> None:
        """Free what is out of use, for ever."""
        while True:
            await anyio.sleep(_STEP_S)
            if not self._is_knowledge_current():
                self._unused_since.clear()
                continue
            nodes = self.list_nodes()
            for held in self.index.list_stores():
                if not held.holder.is_managed:
                    continue
                if rank_nodes(held.holder.address, nodes)[:1] == [self.own_name]:
                    parts = self.list_unused(held)
                    if parts:
                        await self._free(held, parts)

    def list_unused(self, held: HeldParts) -> list[tuple[str, str]]:
        """Return the parts of a store whose salt has been out of use long enough."""
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
            if now - since >= UNUSED_S:
                due.add(salt)
        return [part for part in held.parts if part[0] in due][:_MAX_PARTS]

    def _is_knowledge_current(self) -> bool:
        feeds = (self.knowledge.operator_feed, self.knowledge.servers_feed)
        return self.knowledge.is_ready and all(
            not feed.is_lost and feed.age_s < _KNOWLEDGE_AGE_S for feed in feeds
        )

    def _list_used_salts(self) -> set[str]:
        versions = {
            (model, version)
            for server in self.knowledge.servers.values()
            for model, version in server.weights.items()
        }
        versions.update(
            (model, target.version) for model, target in self.knowledge.targets.items()
        )
        accounts = list(self._list_accounts())
        return {
            build_salt(model, version, account)
            for model, version in versions
            for account in accounts
        }

    def _list_accounts(self) -> Iterable:
        yield None
        yield from (self.knowledge.configuration.accounts or {}).values()

    async def _free(self, held: HeldParts, parts: list[tuple[str, str]]) -> None:
        call = self.dialect.build_free_call(held.boot, parts)
        connections = KeptConnections(held.holder.address, 1, self.metrics)
        try:
            answer = await connections.request(
                Call(call.method, call.target, call.headers, call.body), _TIMEOUT_S
            )
            outcome = str(answer.status)
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
