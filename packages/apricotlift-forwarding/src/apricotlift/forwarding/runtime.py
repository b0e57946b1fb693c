"""The parts of a running node, handed whole to the modules that serve requests."""

from dataclasses import dataclass, field
from random import Random

from anyio.abc import TaskGroup
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.budgets import RetryBudgets
from apricotlift.forwarding.cacheindex import CacheIndex
from apricotlift.forwarding.dialect import Dialect
from apricotlift.forwarding.engineloads import EngineLoads
from apricotlift.forwarding.facts import Server
from apricotlift.forwarding.knowledge import Knowledge
from apricotlift.forwarding.refusals import Refusals
from apricotlift.forwarding.servers import ServerHandles
from apricotlift.forwarding.settings import ForwardingSettings
from apricotlift.forwarding.suspects import Suspects
from apricotlift.state.membership import Membership

#: Engines from which new work is kept as soon as newer weights are named.
N_FIRST_ORDERED = 2


@dataclass
class Runtime:
    """One node.

    :param is_draining: no longer ready, and named to nobody.
    :param is_stopping: new requests are refused.
    """

    settings: ForwardingSettings
    dialect: Dialect
    metrics: Metrics
    tasks: TaskGroup
    knowledge: Knowledge
    handles: ServerHandles
    budgets: RetryBudgets
    suspects: Suspects
    index: CacheIndex
    membership: Membership
    engine_loads: EngineLoads
    refusals: Refusals
    random: Random = field(default_factory=Random)
    is_draining: bool = False
    is_stopping: bool = False
    n_open_requests: int = 0
    _weights: dict[tuple, int] = field(default_factory=dict)

    @property
    def failure_domain(self) -> str:
        """Where this node runs."""
        return self.settings.node.failure_domain

    @property
    def weights_limit_s(self) -> float:
        """Time after which a named weight version has to be used."""
        return self.settings.bounds.weights_ms / 1000

    @property
    def is_ready(self) -> bool:
        """Whether clients should come here."""
        return self.knowledge.is_ready and not self.is_draining

    def get_weights(self, server: Server, model: str) -> int | None:
        """Return the version that a server has, as last seen or listed."""
        listed = server.weights.get(model)
        seen = self._weights.get((*server.incarnation, model))
        if seen is None or (listed is not None and listed >= seen):
            return listed
        return seen

    def note_weights(self, server: Server, model: str, version: int) -> None:
        """Note a version that a server was seen to have before its entry says so."""
        self._weights[(*server.incarnation, model)] = version

    def list_next_ordered(self, model: str) -> list[str]:
        """Return the engines that are ordered first to load newly named weights."""
        outdated = self.knowledge.list_outdated()
        return [server.server_id for server, name, _ in outdated if name == model][
            :N_FIRST_ORDERED
        ]

    def forget_weights(self, server: Server, model: str) -> None:
        """Go back to what a server's entry says."""
        self._weights.pop((*server.incarnation, model), None)
