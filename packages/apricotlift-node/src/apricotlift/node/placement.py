"""Where a prompt runs: gathers what is known, decides, and moves cache blocks.

The decisions themselves are in :mod:`apricotlift.policy`; this module brings their
inputs together and carries out the plan's transfers.
"""

from dataclasses import dataclass, field
from random import Random

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.node.cluster import Cluster
from apricotlift.node.links import Links
from apricotlift.node.probes import Probes
from apricotlift.policy.estimates import (
    Candidate,
    RoutingRequest,
    RoutingSettings,
    Store,
)
from apricotlift.policy.routing import Plan, choose_upstream
from apricotlift.policy.transfers import Priority
from apricotlift.state.declarations import Declarations, Fleet, Upstream
from apricotlift.state.declarations import Store as DeclaredStore
from apricotlift.upstreams.engine import EngineClient, Usage
from apricotlift.upstreams.kvstore import StoreClient
from apricotlift.upstreams.kvtransfer import StoredBlock, import_blocks
from apricotlift.upstreams.pool import Pool
from apricotlift.wire.messages import Locate, LocateReply, PrefixRun

#: Without an answer in time the whole prompt may be recomputed, which takes about a
#: second for 9,000 tokens. With 20 ms, half of the answers came too late on a busy
#: machine.
LOCATE_TIMEOUT_S = 0.1
BYTES_PER_TOKEN = 4
MAX_CONCURRENT_HEADS = 8
MAX_IMPORT_FACTOR = 5.0
_MIN_IMPORT_TIMEOUT_S = 0.25


@dataclass(frozen=True)
class Prefix:
    """The block identity of one prompt.

    :param shard_key: the root's digest, or the fingerprint of a prompt without one.
    :param chain: digests of its full blocks.
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
class Located:
    """What the owners answered.

    :param engines: run by engine name.
    :param stores: run by store name.
    """

    engines: dict[str, PrefixRun] = field(default_factory=dict)
    stores: dict[str, PrefixRun] = field(default_factory=dict)
    n_crashes: int = 0


@dataclass
class Placer:
    """Decides and carries out placements for one node."""

    cluster: Cluster
    probes: Probes
    pool: Pool
    metrics: Metrics
    links: Links
    policy: object = choose_upstream
    random: Random = field(default_factory=Random)

    async def locate(self, prefix: Prefix) -> Located:
        """Ask the owners of a prompt's shard where it is cached."""
        message = Locate(prefix.shard_key, list(prefix.chain), prefix.fingerprint)
        replies = await self.cluster.ask_owners(
            prefix.shard_key, message, LOCATE_TIMEOUT_S
        )
        located = Located()
        for reply in replies:
            if isinstance(reply, LocateReply):
                self._add_reply(located, reply)
        return located

    def _add_reply(self, located: Located, reply: LocateReply) -> None:
        """Add an owner's hints; of two runs of one holder the younger counts."""
        located.n_crashes = max(located.n_crashes, reply.crash_count)
        for run in reply.runs:
            boot_id = self.probes.get_state(run.holder).boot_id
            if not run.is_store and boot_id and run.boot_id not in ("", boot_id):
                self.metrics.count("prefix_runs_ignored_total", reason="other_boot")
                continue
            runs = located.stores if run.is_store else located.engines
            known = runs.get(run.holder)
            if known is None or run.age_ms < known.age_ms:
                runs[run.holder] = run

    def choose(
        self,
        prefix: Prefix,
        located: Located,
        declarations: Declarations,
        slot: str,
        engines: list[Upstream],
        in_flight: dict[str, int],
        tried: set[str],
        is_suspect: bool,
        occupied: set[str],
    ) -> Plan:
        """Return the plan for one attempt.

        :raises ApricotliftError: when no engine may take it; nothing ran.
        """
        now = clocks.monotonic()
        settings = build_routing_settings(declarations.fleet)
        candidates = [
            self._build_candidate(
                upstream, slot, located, in_flight, upstream.name in occupied, now
            )
            for upstream in engines
        ]
        stores = [
            self._build_store(declarations.stores[name], len(run.blocks), now)
            for name, run in located.stores.items()
            if name in declarations.stores
        ]
        request = RoutingRequest(
            prefix.n_prompt_tokens,
            len(prefix.chain),
            prefix.shard_key.hex(),
            frozenset(tried),
            is_suspect,
            self._estimate_unseen(engines, now),
        )
        plan = self.policy(request, candidates, stores, settings, self.random)
        self.metrics.count("placements_total", upstream=plan.upstream)
        state = self.probes.get_state(plan.upstream)
        state.add_placement(now, plan.n_recomputed_tokens)
        return plan

    async def fetch(
        self,
        plan: Plan,
        prefix: Prefix,
        engine: EngineClient,
        declarations: Declarations,
        account: str,
        salt: str,
    ) -> int:
        """Import the blocks that the plan wants; return how many are there.

        A failure only costs recomputation, so it is counted and not raised.
        """
        store = declarations.stores.get(plan.store or "")
        if store is None or not plan.n_fetched_blocks:
            return 0
        accuracy = self.probes.get_accuracy(store.name)
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
                    store, account, Priority.WAITING, n_bytes
                ):
                    n_imported = await self._import(
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

    def learn(self, plan: Plan, usage: Usage | None, n_prompt_tokens: int) -> None:
        """Compare a plan with what the engine reports at the end."""
        if usage is None:
            return
        n_cached = usage.cached_tokens
        self.metrics.count("prompt_tokens_total", usage.prompt_tokens)
        self.metrics.count("cached_tokens_total", n_cached)
        state = self.probes.get_state(plan.upstream)
        state.learn_uncached(usage.prompt_tokens, n_cached)
        if not plan.n_fetched_blocks and plan.n_reused_blocks:
            share = plan.n_reused_blocks * usage.prompt_tokens
            n_blocks = max(1, plan.record.n_blocks)
            state.learn_reuse(share // n_blocks, n_cached)

    async def _import(
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
        """Return the leading blocks that the store really holds."""
        client = self._build_store_client(store)
        found: dict[str, StoredBlock | None] = {}
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_HEADS)

        errors: list[ApricotliftError] = []

        async def look(name: str) -> None:
            async with limiter:
                try:
                    found[name] = await client.head(name)
                except ApricotliftError as error:
                    # Raised below, because a task group would wrap it in a group.
                    errors.append(error)
                    tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(look, name)
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
        located: Located,
        in_flight: dict[str, int],
        has_suspect: bool,
        now: float,
    ) -> Candidate:
        state = self.probes.get_state(upstream.name)
        run = located.engines.get(upstream.name)
        health = state.health
        lacks_slot = health is not None and slot not in health.slots
        load = state.load
        return Candidate(
            upstream.name,
            upstream.prefill_tokens_per_s,
            reported_tokens=load.waiting_prompt_tokens if load else 0.0,
            uncached_share=state.uncached_share,
            report_age_s=now - state.load_at if load else 0.0,
            placements=state.build_placements(now),
            n_cached_blocks=len(run.blocks) if run else 0,
            hint_age_s=run.age_ms / 1000 if run else 0.0,
            p_cached=state.p_cached,
            n_in_flight=in_flight.get(upstream.name, 0),
            max_in_flight=upstream.max_in_flight,
            n_suspects=int(has_suspect),
            draining=self.probes.is_leaving(upstream),
            lacks_slot=lacks_slot,
            # An engine that refuses connections is no better than one whose breaker
            # is open.
            breaker_open=not state.is_reachable or not state.breaker.allows(now),
        )

    def _build_store(self, store: DeclaredStore, n_blocks: int, now: float) -> Store:
        accuracy = self.probes.get_accuracy(store.name)
        return Store(
            store.name,
            n_blocks,
            store.link_bytes_per_s,
            store.link_latency_s,
            self.links.count_bytes_ahead(store, Priority.WAITING),
            accuracy.get_time_factor(now),
            usable=accuracy.is_usable(now),
        )

    def _estimate_unseen(self, engines: list[Upstream], now: float) -> float:
        """Return the tokens that other nodes are expected to have placed unseen.

        All nodes serve like shares of the callers, so each of the others has placed
        about as much since the last reports as this one.
        """
        n_others = len(self.cluster.membership.view.get_eligible()) - 1
        own = sum(
            placement.n_tokens
            for upstream in engines
            for placement in self.probes.get_state(upstream.name).build_placements(now)
        )
        return max(0, n_others) * own


def _compute_import_timeout_s(plan: Plan, declarations: Declarations) -> float:
    """Return how long a fetch may take.

    At least twice the estimate, and up to :data:`MAX_IMPORT_FACTOR` times as long
    while the weights still prefer the wait to computing the blocks: a fetch that is
    given up has cost its link bytes and its time, and the blocks are computed too.
    """
    settings = build_routing_settings(declarations.fleet)
    rate = declarations.upstreams[plan.upstream].prefill_tokens_per_s
    n_tokens = plan.n_fetched_blocks * settings.chunk_tokens
    worth_s = n_tokens / rate
    if settings.w_ttft > 0:
        worth_s += n_tokens * settings.w_recompute / settings.w_ttft
    longest_s = min(worth_s, MAX_IMPORT_FACTOR * plan.estimated_fetch_s)
    return max(_MIN_IMPORT_TIMEOUT_S, 2 * plan.estimated_fetch_s, longest_s)


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
