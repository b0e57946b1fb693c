"""Health, load, recent placements and circuit breakers of the upstreams.

A node probes only a subset of the upstreams, chosen by rendezvous hashing with its own
id, so that the cost of probing doesn't grow with the fleet. Upstreams outside the
subset are used if they are reported to hold the prompt's prefix, or if all upstreams
in the subset were tried.
"""

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.hashing import rank_nodes
from apricotlift.core.metrics import Metrics
from apricotlift.policy.accuracy import AccuracySettings, StoreAccuracy
from apricotlift.policy.breaker import Breaker, BreakerSettings
from apricotlift.policy.estimates import Placement
from apricotlift.policy.retries import RetryBudget, RetrySettings
from apricotlift.state.declarations import Declarations, Upstream
from apricotlift.upstreams.engine import EngineClient, EngineHealth, EngineLoad
from apricotlift.upstreams.pool import Pool, Timeouts

HEALTH_INTERVAL_S = 2.0
LOAD_INTERVAL_S = 1.0
#: Limit of probed upstreams per model or service. Probing takes most of an idle node's
#: processor time, and choosing among six upstreams is nearly as good as among all.
MAX_PROBED = 6
#: The load of an engine is only polled for this time after this node placed a prompt
#: on it.
ACTIVE_WINDOW_S = 10.0
_SERVICE_TIMEOUTS = Timeouts(1.0, 2.0, 2.0)
_JITTER_FRACTION = 0.2
#: Every load report that is recent enough to be used includes the placements that are
#: older than this, so they are no longer tracked.
_PLACEMENT_RETENTION_S = 30.0
_SMOOTHING_FACTOR = 0.1


@dataclass
class StartedRequest:
    """A request that this node started at an engine."""

    started_at: float
    n_tokens: float


@dataclass
class UpstreamState:
    """State of one upstream, as far as this node knows it.

    :param is_upstream_draining: whether the upstream reports, in a probe or a response
        header, that it is draining.
    :param is_listed_draining: whether the platform's live list has it as draining.
    :param last_placement_at: when this node last started a request on it.
    :param load_received_at: when the current load report was first received.
    :param started_requests: requests that this node recently started on it.
    :param p_cached: learned share of the tokens reported as cached that it really had
        cached; ``None`` before the first observation.
    :param uncached_share: learned share of prompt tokens that it has to compute.
    """

    name: str
    boot_id: str = ""
    is_upstream_draining: bool = False
    is_listed_draining: bool = False
    is_reachable: bool = True
    last_placement_at: float = float("-inf")
    health: EngineHealth | None = None
    load: EngineLoad | None = None
    load_received_at: float = 0.0
    started_requests: deque[StartedRequest] = field(default_factory=deque)
    p_cached: float | None = None
    uncached_share: float = 1.0
    breaker: Breaker = field(default_factory=lambda: Breaker(BreakerSettings()))

    def add_placement(self, now: float, n_tokens: float) -> None:
        """Record a request that starts now."""
        self.last_placement_at = now
        self.started_requests.append(StartedRequest(now, n_tokens))
        while (
            self.started_requests
            and now - self.started_requests[0].started_at > _PLACEMENT_RETENTION_S
        ):
            self.started_requests.popleft()

    def build_placements(self, now: float) -> tuple[Placement, ...]:
        """Return the placements since the current load report was received."""
        return tuple(
            Placement(now - item.started_at, item.n_tokens)
            for item in self.started_requests
            if item.started_at > self.load_received_at
        )

    def update_cache_hit_share(self, n_expected: int, n_found: int) -> None:
        """Update the share of expected cached tokens that the engine really had."""
        if n_expected <= 0:
            return
        share = min(1.0, n_found / n_expected)
        known = 1.0 if self.p_cached is None else self.p_cached
        self.p_cached = known + _SMOOTHING_FACTOR * (share - known)

    def update_uncached_share(self, n_prompt_tokens: int, n_cached: int) -> None:
        """Update the share of prompt tokens that the engine had to compute."""
        if n_prompt_tokens <= 0:
            return
        share = 1.0 - min(1.0, n_cached / n_prompt_tokens)
        self.uncached_share += _SMOOTHING_FACTOR * (share - self.uncached_share)

    def update_boot_id(self, boot_id: str) -> bool:
        """Record a boot id; return whether it shows a restart.

        The first boot id of an upstream doesn't count as a restart.
        """
        if not boot_id or boot_id == self.boot_id:
            return False
        was_known = bool(self.boot_id)
        self.boot_id = boot_id
        self.load = None
        self.started_requests.clear()
        if was_known:
            # The draining state and the breaker belonged to the old process.
            self.is_upstream_draining = False
            self.is_listed_draining = False
            self.breaker = Breaker(BreakerSettings())
        return was_known


class Probes:
    """The states of all upstreams, and the tasks that probe a subset of them."""

    def __init__(self, node_id: str, pool: Pool, metrics: Metrics):
        self.states: dict[str, UpstreamState] = {}
        self.accuracy: dict[str, StoreAccuracy] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self._node_id = node_id
        self._pool = pool
        self._metrics = metrics
        self._random = random.Random()

    def get_state(self, name: str) -> UpstreamState:
        """Return the state of an upstream; it is created if it doesn't exist yet."""
        state = self.states.get(name)
        if state is None:
            state = self.states[name] = UpstreamState(name)
        return state

    def get_store_accuracy(self, store: str) -> StoreAccuracy:
        """Return the accuracy tracker of a store."""
        if store not in self.accuracy:
            self.accuracy[store] = StoreAccuracy(AccuracySettings())
        return self.accuracy[store]

    def get_retry_budget(self, group: str) -> RetryBudget:
        """Return the retry budget of a model or service."""
        if group not in self.budgets:
            self.budgets[group] = RetryBudget(RetrySettings())
        return self.budgets[group]

    def is_upstream_draining(self, upstream: Upstream) -> bool:
        """Return whether an upstream accepts no new requests.

        This is so if its declaration, the upstream itself or the live list says that it
        is draining.
        """
        state = self.get_state(upstream.name)
        return upstream.drain or state.is_upstream_draining or state.is_listed_draining

    def choose_probed(self, upstreams: Iterable[Upstream]) -> list[Upstream]:
        """Return the upstreams of one model or service that this node probes.

        They are ranked by a hash of node and upstream, so that different nodes choose
        different upstreams.
        """
        by_name = {upstream.name: upstream for upstream in upstreams}
        if len(by_name) <= MAX_PROBED:
            return list(by_name.values())
        ranked = rank_nodes(f"probe/{self._node_id}", by_name)
        return [by_name[name] for name in ranked[:MAX_PROBED]]

    def list_probed(self, declarations: Declarations) -> dict[str, Upstream]:
        """Return all upstreams that this node probes, by name."""
        groups: dict[tuple[str, str], list[Upstream]] = {}
        for upstream in declarations.upstreams.values():
            for group in upstream.models or (upstream.service,):
                groups.setdefault((upstream.kind, group), []).append(upstream)
        return {
            upstream.name: upstream
            for group in groups.values()
            for upstream in self.choose_probed(group)
        }

    async def probe_all(self, get_declarations, get_engine) -> None:
        """Probe this node's subset of upstreams until cancelled, one task for each."""
        running: dict[str, anyio.CancelScope] = {}
        async with anyio.create_task_group() as tasks:
            while True:
                declarations: Declarations | None = get_declarations()
                wanted = {}
                if declarations is not None:
                    wanted = self.list_probed(declarations)
                for name in list(running):
                    if name not in wanted:
                        running.pop(name).cancel()
                for name in wanted:
                    if name not in running:
                        scope = running[name] = anyio.CancelScope()
                        tasks.start_soon(
                            self._probe_periodically,
                            name,
                            scope,
                            get_declarations,
                            get_engine,
                        )
                await anyio.sleep(HEALTH_INTERVAL_S)

    async def _probe_periodically(self, name: str, scope, get_declarations, get_engine):
        health_at = float("-inf")
        with scope:
            while True:
                upstream = get_declarations().upstreams.get(name)
                if upstream is None:
                    return
                now = clocks.monotonic()
                is_health_due = now - health_at >= HEALTH_INTERVAL_S * (
                    1 - _JITTER_FRACTION
                )
                if is_health_due:
                    health_at = now
                if upstream.kind == "engine":
                    engine = get_engine(upstream)
                    await self._probe_engine(upstream, engine, is_health_due)
                elif is_health_due:
                    await self._probe_service(upstream)
                is_active = (
                    now - self.get_state(name).last_placement_at < ACTIVE_WINDOW_S
                )
                interval_s = LOAD_INTERVAL_S if is_active else HEALTH_INTERVAL_S
                spread = self._random.uniform(
                    1 - _JITTER_FRACTION, 1 + _JITTER_FRACTION
                )
                await anyio.sleep(interval_s * spread)

    async def _probe_engine(
        self, upstream: Upstream, engine: EngineClient, is_health_due: bool
    ) -> None:
        state = self.get_state(upstream.name)
        now = clocks.monotonic()
        try:
            if is_health_due:
                health = await engine.get_health()
                state.is_reachable = True
                if state.update_boot_id(health.boot_id):
                    logs.log(logs.INFO, "upstream_restarted", upstream=upstream.name)
                state.health = health
                self.update_reported_state(upstream.name, health.state)
            if now - state.last_placement_at < ACTIVE_WINDOW_S:
                load = await engine.get_load()
                if state.load is None or load.as_of_ms != state.load.as_of_ms:
                    state.load = load
                    state.load_received_at = clocks.monotonic()
        except ApricotliftError as error:
            self._handle_probe_failure(state, error)

    async def _probe_service(self, upstream: Upstream) -> None:
        state = self.get_state(upstream.name)
        scheme = "https" if upstream.tls else "http"
        url = f"{scheme}://{upstream.address}/health"
        try:
            response = await self._pool.request(
                "GET", url, timeouts=_SERVICE_TIMEOUTS, max_bytes=65_536
            )
        except ApricotliftError as error:
            self._handle_probe_failure(state, error)
            return
        state.is_reachable = True
        is_upstream_draining = response.status == 503 and b"draining" in response.body
        self.update_reported_state(
            upstream.name, "draining" if is_upstream_draining else "serving"
        )

    def update_reported_state(self, name: str, reported_state: str) -> None:
        """Record the state that an upstream reports, such as ``draining``."""
        state = self.get_state(name)
        is_upstream_draining = reported_state == "draining"
        if is_upstream_draining != state.is_upstream_draining:
            state.is_upstream_draining = is_upstream_draining
            self._metrics.count("upstream_state_changes_total", state=reported_state)
            logs.log(logs.INFO, "upstream_state", upstream=name, state=reported_state)

    def _handle_probe_failure(
        self, state: UpstreamState, error: ApricotliftError
    ) -> None:
        if state.is_reachable:
            logs.log(
                logs.WARNING,
                "upstream_unreachable",
                upstream=state.name,
                code=error.code,
                message=error.message,
            )
        state.is_reachable = error.code is not Code.UPSTREAM_CONNECT
        self._metrics.count("probe_failures_total", code=error.code)
