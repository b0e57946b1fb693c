"""Chooses the engine for a prompt and imports cache blocks into it.

The routing decision is made in :mod:`apricotlift.policy`. This module collects the
inputs of the decision and executes the block transfers that the plan asks for.
"""

from dataclasses import dataclass, field
from random import Random

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.node.cluster import Cluster
from apricotlift.node.probes import Probes
from apricotlift.node.storelinks import StoreLinks
from apricotlift.policy.estimates import (
    Candidate,
    RoutingRequest,
    RoutingSettings,
    Store,
)
from apricotlift.policy.routing import Plan, choose_upstream
from apricotlift.policy.transfers import TransferPriority
from apricotlift.state.declarations import Declarations, Fleet, Upstream
from apricotlift.state.declarations import Store as DeclaredStore
from apricotlift.upstreams.engine import EngineClient, Usage
from apricotlift.upstreams.kvstore import StoreClient
from apricotlift.upstreams.kvtransfer import StoredBlock, import_blocks
from apricotlift.upstreams.pool import Pool
from apricotlift.wire.messages import Locate, LocateReply, PrefixRun

#: If no owner replies within this time, the whole prompt may be recomputed, which
#: takes about a second for 9,000 tokens. With a limit of 20 ms, half of the replies
#: came too late on a busy machine.
LOCATE_TIMEOUT_S = 0.1
BYTES_PER_TOKEN = 4
MAX_CONCURRENT_HEAD_REQUESTS = 8
MAX_IMPORT_TIMEOUT_FACTOR = 5.0
_MIN_IMPORT_TIMEOUT_S = 0.25


@dataclass(frozen=True)
class PromptPrefix:
    """The cache blocks of one prompt.

    :param shard_key: digest of the first block, or the fingerprint of a prompt that
        has no full block.
    :param chain: digests of the full blocks, in prompt order.
    """

    shard_key: bytes
    chain: tuple[bytes, ...]
    fingerprint: bytes
    n_prompt_tokens: int

    @property
    def block_names(self) -> tuple[str, ...]:
        """The digests in hexadecimal, as engines and stores name blocks."""
        return tuple(block.hex() for block in self.chain)


@dataclass
class PrefixLocations:
    """Where a prompt's prefix is cached, according to the shard owners.

    :param engines: cached run by engine name.
    :param stores: cached run by store name.
    :param n_crashes: engine crashes that the owners attribute to the prompt.
    """

    engines: dict[str, PrefixRun] = field(default_factory=dict)
    stores: dict[str, PrefixRun] = field(default_factory=dict)
    n_crashes: int = 0


@dataclass
class Placer:
    """Chooses engines for the prompts of one node and fetches their cache blocks."""

    cluster: Cluster
    probes: Probes
    pool: Pool
    metrics: Metrics
    links: StoreLinks
    policy: object = choose_upstream
    random: Random = field(default_factory=Random)

    async def locate(self, prefix: PromptPrefix) -> PrefixLocations:
        """Ask the owners of a prompt's shard where its prefix is cached."""
        message = Locate(prefix.shard_key, list(prefix.chain), prefix.fingerprint)
        replies = await self.cluster.query_owners(
            prefix.shard_key, message, LOCATE_TIMEOUT_S
        )
        locations = PrefixLocations()
        for reply in replies:
            if isinstance(reply, LocateReply):
                self._add_reply(locations, reply)
        return locations

    def _add_reply(self, locations: PrefixLocations, reply: LocateReply) -> None:
        """Add the runs of an owner's reply; the newest run of each holder wins."""
        locations.n_crashes = max(locations.n_crashes, reply.crash_count)
        for run in reply.runs:
            boot_id = self.probes.get_state(run.holder).boot_id
            if not run.is_store and boot_id and run.boot_id not in ("", boot_id):
                self.metrics.count("prefix_runs_ignored_total", reason="other_boot")
                continue
            runs = locations.stores if run.is_store else locations.engines
            known = runs.get(run.holder)
            if known is None or run.age_ms < known.age_ms:
                runs[run.holder] = run

    def choose_plan(
        self,
        prefix: PromptPrefix,
        locations: PrefixLocations,
        declarations: Declarations,
        slot: str,
        engines: list[Upstream],
        in_flight: dict[str, int],
        tried: set[str],
        is_suspect: bool,
        occupied_upstreams: set[str],
    ) -> Plan:
        """Return the plan for one attempt.

        :param occupied_upstreams: engines that currently run a suspect request.
        :raises ApricotliftError: if no engine can accept the prompt; nothing ran.
        """
        now = clocks.monotonic()
        settings = build_routing_settings(declarations.fleet)
        candidates = [
            self._build_candidate(
                upstream,
                slot,
                locations,
                in_flight,
                upstream.name in occupied_upstreams,
                now,
            )
            for upstream in engines
        ]
        stores = [
            self._build_store(declarations.stores[name], len(run.blocks), now)
            for name, run in locations.stores.items()
            if name in declarations.stores
        ]
        request = RoutingRequest(
            prefix.n_prompt_tokens,
            len(prefix.chain),
            prefix.shard_key.hex(),
            frozenset(tried),
            is_suspect,
            self._estimate_unreported_tokens(engines, now),
        )
        plan = self.policy(request, candidates, stores, settings, self.random)
        self.metrics.count("placements_total", upstream=plan.upstream)
        state = self.probes.get_state(plan.upstream)
        state.add_placement(now, plan.n_recomputed_tokens)
        return plan

    async def fetch_blocks(
        self,
        plan: Plan,
        prefix: PromptPrefix,
        engine: EngineClient,
        declarations: Declarations,
        account: str,
        salt: str,
    ) -> int:
        """Import the blocks that the plan asks for; return the number imported.

        A failure only means that the engine recomputes the blocks, so it is counted
        and not raised.
        """
        store = declarations.stores.get(plan.store or "")
        if store is None or not plan.n_fetched_blocks:
            return 0
        accuracy = self.probes.get_store_accuracy(store.name)
        ticket = accuracy.begin(clocks.monotonic())
        if ticket is None:
            self.metrics.count("fetches_skipped_total", reason="store_excluded")
            return 0
        first = plan.n_reused_blocks
        names = prefix.block_names[first : first + plan.n_fetched_blocks]
        n_bytes = len(names) * build_routing_settings(declarations.fleet).chunk_bytes
        timeout_s = _compute_import_timeout_s(plan, declarations)
        started = clocks.monotonic()
        n_imported = 0
        try:
            with anyio.fail_after(timeout_s):
                async with self.links.transfer(
                    store, account, TransferPriority.WAITING, n_bytes
                ):
                    n_imported = await self._import_blocks(
                        engine, store, names, salt, timeout_s
                    )
        except anyio.get_cancelled_exc_class():
            accuracy.abandon(ticket)
            raise
        except (ApricotliftError, TimeoutError) as error:
            code = getattr(error, "code", Code.UPSTREAM_TIMEOUT)
            self.metrics.count("fetches_failed_total", reason=code)
            logs.log(logs.WARNING, "fetch_failed", store=store.name, code=code)
        now = clocks.monotonic()
        accuracy.finish(
            ticket,
            plan.estimated_fetch_s,
            now - started,
            now,
            self.random,
            failed=n_imported < len(names),
        )
        self.metrics.count("fetched_blocks_total", n_imported)
        return n_imported

    def update_estimates(
        self, plan: Plan, usage: Usage | None, n_prompt_tokens: int
    ) -> None:
        """Update an engine's learned estimates from the usage that it reported."""
        if usage is None:
            return
        n_cached = usage.cached_tokens
        self.metrics.count("prompt_tokens_total", usage.prompt_tokens)
        self.metrics.count("cached_tokens_total", n_cached)
        state = self.probes.get_state(plan.upstream)
        state.update_uncached_share(usage.prompt_tokens, n_cached)
        if not plan.n_fetched_blocks and plan.n_reused_blocks:
            share = plan.n_reused_blocks * usage.prompt_tokens
            n_blocks = max(1, plan.record.n_blocks)
            state.update_cache_hit_share(share // n_blocks, n_cached)

    async def _import_blocks(
        self,
        engine: EngineClient,
        store: DeclaredStore,
        names: tuple[str, ...],
        salt: str,
        timeout_s: float,
    ) -> int:
        blocks = await self._find_blocks(store, names)
        if len(blocks) < len(names):
            self.metrics.count("fetch_blocks_failed_total", reason="missing")
        if not blocks:
            return 0
        url = self._build_store_client(store).url
        result = await import_blocks(engine, blocks, url, salt, timeout_s)
        self.metrics.count("link_bytes_total", result.n_bytes, kind="fetch")
        for reason in result.failed.values():
            self.metrics.count("fetch_blocks_failed_total", reason=reason)
        return len(result.imported)

    async def _find_blocks(
        self, store: DeclaredStore, names: tuple[str, ...]
    ) -> list[StoredBlock]:
        """Return the blocks before the first one that the store doesn't hold."""
        client = self._build_store_client(store)
        found: dict[str, StoredBlock | None] = {}
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_HEAD_REQUESTS)

        errors: list[ApricotliftError] = []

        async def find_block(name: str) -> None:
            async with limiter:
                try:
                    found[name] = await client.head(name)
                except ApricotliftError as error:
                    # Raised below, because the task group would wrap the error in an
                    # exception group.
                    errors.append(error)
                    tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(find_block, name)
        if errors:
            raise errors[0]
        blocks = []
        for name in names:
            block = found.get(name)
            if block is None:
                break
            blocks.append(block)
        return blocks

    def _build_store_client(self, store: DeclaredStore) -> StoreClient:
        return StoreClient(
            store.name, store.address, self.pool, self.metrics, store.tls
        )

    def _build_candidate(
        self,
        upstream: Upstream,
        slot: str,
        locations: PrefixLocations,
        in_flight: dict[str, int],
        runs_suspect: bool,
        now: float,
    ) -> Candidate:
        state = self.probes.get_state(upstream.name)
        run = locations.engines.get(upstream.name)
        health = state.health
        lacks_slot = health is not None and slot not in health.slots
        load = state.load
        return Candidate(
            upstream.name,
            upstream.prefill_tokens_per_s,
            reported_tokens=load.waiting_prompt_tokens if load else 0.0,
            uncached_share=state.uncached_share,
            report_age_s=now - state.load_received_at if load else 0.0,
            placements=state.build_placements(now),
            n_cached_blocks=len(run.blocks) if run else 0,
            hint_age_s=run.age_ms / 1000 if run else 0.0,
            p_cached=state.p_cached,
            n_in_flight=in_flight.get(upstream.name, 0),
            max_in_flight=upstream.max_in_flight,
            n_suspects=int(runs_suspect),
            draining=self.probes.is_upstream_draining(upstream),
            lacks_slot=lacks_slot,
            # An engine that refuses connections is treated like one whose circuit
            # breaker is open.
            breaker_open=not state.is_reachable or not state.breaker.allows(now),
        )

    def _build_store(self, store: DeclaredStore, n_blocks: int, now: float) -> Store:
        accuracy = self.probes.get_store_accuracy(store.name)
        return Store(
            store.name,
            n_blocks,
            store.link_bytes_per_s,
            store.link_latency_s,
            self.links.count_bytes_ahead(store, TransferPriority.WAITING),
            accuracy.get_time_factor(now),
            usable=accuracy.is_usable(now),
        )

    def _estimate_unreported_tokens(self, engines: list[Upstream], now: float) -> float:
        """Estimate the tokens that other nodes placed since the last load reports.

        Callers are spread evenly over the nodes, so each other node is assumed to have
        placed as many tokens since the last reports as this one.
        """
        n_others = len(self.cluster.membership.view.get_eligible()) - 1
        own_tokens = sum(
            placement.n_tokens
            for upstream in engines
            for placement in self.probes.get_state(upstream.name).build_placements(now)
        )
        return max(0, n_others) * own_tokens


def _compute_import_timeout_s(plan: Plan, declarations: Declarations) -> float:
    """Return the timeout of a fetch in seconds.

    The timeout is at least twice the estimated time. It is extended, up to
    :data:`MAX_IMPORT_TIMEOUT_FACTOR` times the estimate, as long as waiting costs less
    than computing the blocks by the weights of the deployment. An abandoned fetch has
    already cost its time and link bytes, and the blocks have to be computed as well.
    """
    settings = build_routing_settings(declarations.fleet)
    rate = declarations.upstreams[plan.upstream].prefill_tokens_per_s
    n_tokens = plan.n_fetched_blocks * settings.chunk_tokens
    worthwhile_s = n_tokens / rate
    if settings.w_ttft > 0:
        worthwhile_s += n_tokens * settings.w_recompute / settings.w_ttft
    max_worthwhile_s = min(
        worthwhile_s, MAX_IMPORT_TIMEOUT_FACTOR * plan.estimated_fetch_s
    )
    return max(_MIN_IMPORT_TIMEOUT_S, 2 * plan.estimated_fetch_s, max_worthwhile_s)


def build_routing_settings(fleet: Fleet) -> RoutingSettings:
    """Return the routing settings of a deployment."""
    chunk_tokens = fleet.piece_bytes // BYTES_PER_TOKEN
    return RoutingSettings(
        w_ttft=fleet.w_ttft,
        w_recompute=fleet.w_recompute,
        w_link=fleet.w_link,
        chunk_tokens=chunk_tokens,
        chunk_bytes=chunk_tokens * fleet.kv_bytes_per_token,
    )
