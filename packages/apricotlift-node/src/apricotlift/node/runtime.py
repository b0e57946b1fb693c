"""The state of a running node, shared by the modules that serve requests."""

from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup
from apricotlift.core import clocks
from apricotlift.core.metrics import Metrics
from apricotlift.node.admissionqueue import AdmissionQueue
from apricotlift.node.calls import CallContext
from apricotlift.node.cluster import Cluster
from apricotlift.node.exports import Exporter
from apricotlift.node.identity import CallerIdentity
from apricotlift.node.placement import Placer
from apricotlift.node.probes import Probes
from apricotlift.node.settings import NodeSettings
from apricotlift.node.streams import StreamRegistry
from apricotlift.policy.limits import LimitState, Quota, RequestLimiter
from apricotlift.policy.routing import DecisionRecord
from apricotlift.state.declarations import Declarations, Upstream, build_slot
from apricotlift.state.snapshots import Snapshot
from apricotlift.upstreams.engine import EngineClient
from apricotlift.upstreams.pool import Pool

#: Number of recent requests whose decisions are kept for ``explain``.
MAX_EXPLAINED_REQUESTS = 2_000


@dataclass
class Attempt:
    """An attempt in flight at an engine.

    :param last_progress_at: monotonic time in s at which the engine last sent data.
    :param has_text: whether the engine has sent any part of its answer.
    :param is_stalled: whether the attempt was ended because the engine sent nothing
        within the time limit.
    """

    attempt_id: str
    upstream: str
    scope: anyio.CancelScope
    last_progress_at: float
    has_text: bool = False
    is_stalled: bool = False


@dataclass(frozen=True)
class Decision:
    """A routing decision for one attempt of a request, kept for ``explain``."""

    request_id: str
    attempt_id: str
    account: str
    version: int
    record: DecisionRecord


@dataclass
class Node:
    """The components and the mutable state of one node process."""

    settings: NodeSettings
    metrics: Metrics
    pool: Pool
    tasks: TaskGroup
    streams: StreamRegistry
    cluster: Cluster
    probes: Probes
    placer: Placer
    exporter: Exporter
    calls: CallContext | None = None
    admission_queue: AdmissionQueue = field(init=False)
    limits: RequestLimiter = field(default_factory=RequestLimiter)
    is_draining: bool = False
    is_stopping: bool = False
    drain_changed: anyio.Event = field(default_factory=anyio.Event)
    started_at: float = field(default_factory=clocks.monotonic)
    attempts: dict[str, Attempt] = field(default_factory=dict)
    in_flight: dict[str, int] = field(default_factory=dict)
    n_open_requests: int = 0
    decisions: OrderedDict[str, list[Decision]] = field(default_factory=OrderedDict)
    _engines: dict[str, EngineClient] = field(default_factory=dict)

    def __post_init__(self):
        self.admission_queue = AdmissionQueue(self.compute_capacity, self.metrics)

    def compute_capacity(self) -> float:
        """Return this node's share of the engines' declared in-flight limits."""
        declarations = self.get_declarations()
        if declarations is None:
            return 1.0
        total = sum(
            upstream.max_in_flight
            for upstream in declarations.upstreams.values()
            if upstream.kind == "engine"
            and not self.probes.is_upstream_draining(upstream)
        )
        n_serving = len(self.cluster.membership.view.get_eligible())
        return total / max(1, n_serving)

    def get_snapshot(self) -> Snapshot:
        """Return the configuration in force.

        :raises ApricotliftError: ``no_config`` before the first has been applied.
        """
        return self.cluster.follower.get_snapshot()

    def get_declarations(self) -> Declarations | None:
        """Return the declarations in force, or ``None`` before the first ones."""
        snapshot = self.cluster.follower.snapshot
        return snapshot.declarations if snapshot else None

    def resolve_slot(self, account: str, model_name: str) -> str:
        """Return the slot on which a new request runs.

        If the model declares ``previous_version``, requests run on that version as
        long as some known engine has it loaded and none has loaded the current one.

        :raises ApricotliftError: ``unknown_model``.
        """
        declarations = self.get_snapshot().declarations
        slot = declarations.resolve_slot(account, model_name)
        model = declarations.models[model_name]
        if not model.previous_version or slot != build_slot(
            model, model.weight_version
        ):
            return slot
        loaded: set[str] = set()
        for upstream in declarations.upstreams.values():
            health = self.probes.get_state(upstream.name).health
            if model_name in upstream.models and health is not None:
                loaded.update(health.slots)
        previous = build_slot(model, model.previous_version)
        if slot not in loaded and previous in loaded:
            self.metrics.count("previous_versions_used_total")
            return previous
        return slot

    def get_engine(self, upstream: Upstream) -> EngineClient:
        """Return the client of an engine; a changed address gives a new client."""
        client = self._engines.get(upstream.name)
        if client is None or client.address != upstream.address:
            client = EngineClient(
                upstream.name,
                upstream.address,
                self.pool,
                self.metrics,
                upstream.tls,
            )
            self._engines[upstream.name] = client
        return client

    def admit_request(self, identity: CallerIdentity) -> LimitState:
        """Admit one request, or refuse it.

        For every admitted request, :meth:`release_request` must be called once.

        :raises ApricotliftError: ``config_uncertain``, or the code of the limit that
            was exceeded; the request did not run.
        """
        self.cluster.membership.check_admission()
        declarations = self.get_snapshot().declarations
        n_named_instances = declarations.fleet.n_named_instances
        n_serving = len(self.cluster.membership.view.get_eligible())
        n_sharing_instances = max(1, min(n_named_instances, n_serving))

        def build_quota(prefix: str) -> Quota:
            def get_limit(name: str) -> float:
                return declarations.get_setting(identity.account, prefix + name)

            fleet_quota = Quota(
                get_limit("rate_per_s"),
                get_limit("burst"),
                int(get_limit("max_in_flight")),
            )
            return fleet_quota.divide(n_sharing_instances)

        return self.limits.begin(
            identity.account,
            identity.consumer,
            build_quota(""),
            build_quota("consumer_"),
            clocks.monotonic(),
        )

    def release_request(self, identity: CallerIdentity) -> None:
        """Release the admission of a request that :meth:`admit_request` admitted."""
        self.limits.end(identity.account, identity.consumer)

    @contextmanager
    def hold_admission(self, identity: CallerIdentity) -> Iterator[LimitState]:
        """Admit one request and release its admission when the block ends."""
        state = self.admit_request(identity)
        try:
            yield state
        finally:
            self.release_request(identity)

    def record_decision(self, decision: Decision) -> None:
        """Keep a decision for ``explain``; drops those of the oldest requests."""
        self.decisions.setdefault(decision.request_id, []).append(decision)
        while len(self.decisions) > MAX_EXPLAINED_REQUESTS:
            self.decisions.popitem(last=False)
