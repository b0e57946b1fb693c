"""The components of a running node, which the modules that serve requests share."""

from dataclasses import dataclass, field
from random import Random

from anyio import CancelScope
from anyio.abc import TaskGroup
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.budgets import RetryBudgets
from apricotlift.forwarding.cacheindex import CacheIndex
from apricotlift.forwarding.dialect import Dialect
from apricotlift.forwarding.engineloads import EngineLoads
from apricotlift.forwarding.enginepools import EnginePools
from apricotlift.forwarding.entities import Server
from apricotlift.forwarding.pendingprompts import PendingPrompts
from apricotlift.forwarding.refusals import Refusals
from apricotlift.forwarding.routingstate import RoutingState
from apricotlift.forwarding.servers import ServerHandles
from apricotlift.forwarding.settings import ForwardingSettings
from apricotlift.forwarding.suspects import Suspects
from apricotlift.forwarding.warmup import WarmupLimits
from apricotlift.state.membership import Membership

#: Number of engines per model that get no new prompts as soon as newer weights are
#: named, because they are ordered to load them first.
N_NEXT_TO_RELOAD = 2

#: If the configuration is older than a share of the time limit for applying one, an API
#: key or path that it doesn't contain may have been added since. A poll of the store
#: takes up to the minimum.
_CONFIGURATION_AGE_SHARE = 0.75
_CONFIGURATION_AGE_MIN_S = 2.5

#: Old weights are not used any more this long before the configured limit, which a
#: request takes to begin at an engine that isn't busy.
_WEIGHT_LIMIT_MARGIN_S = 1.0


@dataclass
class Runtime:
    """The components and state of one node.

    :param tasks: task group of the node's background tasks.
    :param random: source of jitter and random choices.
    :param is_draining: whether the node is shutting down, and so is reported as not
        ready and left out of the directory.
    :param is_stopping: whether new requests are refused.
    :param n_open_requests: client requests that are being served.
    :param open_scopes: the scopes of the requests that servers are asked for.
    :param is_cutting: whether the open requests are ended because the process ends.
    """

    settings: ForwardingSettings
    dialect: Dialect
    metrics: Metrics
    tasks: TaskGroup
    routing_state: RoutingState
    handles: ServerHandles
    budgets: RetryBudgets
    suspects: Suspects
    cache_index: CacheIndex
    membership: Membership
    engine_loads: EngineLoads
    refusals: Refusals
    warmup: WarmupLimits
    engine_pools: EnginePools = field(default_factory=EnginePools)
    random: Random = field(default_factory=Random)
    is_draining: bool = False
    is_stopping: bool = False
    n_open_requests: int = 0
    open_scopes: set[CancelScope] = field(default_factory=set)
    is_cutting: bool = False
    pending_prompts: PendingPrompts = field(init=False)
    _learned_versions: dict[tuple, int] = field(default_factory=dict)

    def __post_init__(self):
        self.pending_prompts = PendingPrompts(self.may_begin)

    @property
    def failure_domain(self) -> str:
        """Failure domain that this node runs in."""
        return self.settings.node.failure_domain

    def may_begin(self, model: str, weight_version: int | None) -> bool:
        """Return whether prompts for a model may begin on a weight version.

        They may for a limited time after the next version was named.
        """
        targets = self.routing_state.weight_targets
        successor = targets.find_successor(model, weight_version)
        if successor is None:
            return True
        limit_s = self.settings.bounds.weights_ms / 1000 - _WEIGHT_LIMIT_MARGIN_S
        return self.routing_state.clock() - successor.named_after <= limit_s

    @property
    def drain_time_s(self) -> float:
        """Time after which a leaving server gets no request, in seconds."""
        return self.settings.bounds.drain_ms / 1000

    @property
    def configuration_age_max_s(self) -> float:
        """Age of the configuration up to which what it lacks counts as unknown."""
        limit_s = self.settings.bounds.configuration_ms / 1000
        return max(_CONFIGURATION_AGE_MIN_S, _CONFIGURATION_AGE_SHARE * limit_s)

    @property
    def is_ready(self) -> bool:
        """Whether clients should send requests to this node."""
        return self.routing_state.is_ready and not self.is_draining

    def cut_requests(self) -> None:
        """End the open requests, each with an error response if none has begun."""
        self.is_cutting = True
        for scope in self.open_scopes:
            scope.cancel()

    def get_known_weight_version(self, server: Server, model: str) -> int | None:
        """Return the server's weight version of a model.

        That is the version in the server's entry, or one learned from its responses
        if that is newer. ``None`` if neither is known.
        """
        listed_version = server.weights.get(model)
        learned_version = self._learned_versions.get((*server.incarnation, model))
        if learned_version is None or (
            listed_version is not None and listed_version >= learned_version
        ):
            return listed_version
        return learned_version

    def record_weight_version(self, server: Server, model: str, version: int) -> None:
        """Record a version that a response revealed before the server's entry did."""
        self._learned_versions[(*server.incarnation, model)] = version

    def list_next_to_reload(self, model: str) -> list[str]:
        """Return the ids of the engines that are next to load newly named weights."""
        outdated = self.routing_state.list_outdated_engines()
        return [server.server_id for server, name, _ in outdated if name == model][
            :N_NEXT_TO_RELOAD
        ]

    def discard_weight_version(self, server: Server, model: str) -> None:
        """Discard a learned version, so that the server's entry applies again."""
        self._learned_versions.pop((*server.incarnation, model), None)
