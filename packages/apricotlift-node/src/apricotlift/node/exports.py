"""Exports cache blocks to stores in the background, and frees space in full stores.

A node exports the blocks of prompts that it has served itself, since it knows their
conversation, account and engine. If a store is full, the node deletes blocks that it
exported earlier, and shares the deletions fairly between accounts.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.node.cluster import Cluster
from apricotlift.node.placement import (
    PrefixLocations,
    PromptPrefix,
    build_routing_settings,
)
from apricotlift.node.probes import Probes
from apricotlift.node.storelinks import StoreLinks
from apricotlift.policy.retention import (
    Block,
    Export,
    RetentionSettings,
    ReturnEstimator,
    StoreSpace,
    choose_drops,
    choose_exports,
)
from apricotlift.policy.transfers import TransferPriority
from apricotlift.state.declarations import Declarations, Store, Upstream
from apricotlift.upstreams.engine import EngineClient
from apricotlift.upstreams.kvstore import StoreClient
from apricotlift.upstreams.kvtransfer import export_blocks
from apricotlift.upstreams.pool import Pool
from apricotlift.wire.messages import PrefixRun, RecordRuns

MAX_QUEUED_JOBS = 1_000
MAX_TRACKED_CONVERSATIONS = 20_000
MAX_TRACKED_BLOCKS_PER_STORE = 50_000
EXPORT_TIMEOUT_S = 30.0
#: Limit of blocks in one export call. A transfer that has started on a link delays the
#: fetches of callers behind it, and every node may have one export on the link at once.
MAX_BLOCKS_PER_EXPORT = 2
#: Exports wait while an engine's queue is longer than this, so that they don't take
#: time from prompts.
BUSY_QUEUE_THRESHOLD_S = 0.5
#: Limit of the wait for a busy engine. After a longer wait, the engine would already
#: have evicted the blocks.
MAX_BUSY_WAIT_S = 0.2
_BUSY_POLL_INTERVAL_S = 0.1
#: Limit of conversations exported at the same time. The links limit the bytes in
#: transfer.
MAX_CONCURRENT_EXPORTS = 4


@dataclass(frozen=True)
class ExportJob:
    """A conversation whose blocks may be worth exporting.

    :param salt: salt of the engine's prefix cache.
    :param stores: number of leading blocks that each store holds, by store name.
    """

    account: str
    salt: str
    upstream: Upstream
    prefix: PromptPrefix
    stores: dict[str, int]


@dataclass
class Exporter:
    """Exports the cache blocks of one node's conversations to stores."""

    cluster: Cluster
    probes: Probes
    links: StoreLinks
    pool: Pool
    metrics: Metrics
    settings: RetentionSettings = field(default_factory=RetentionSettings)
    _queue: OrderedDict[bytes, ExportJob] = field(default_factory=OrderedDict)
    _queue_changed: anyio.Event = field(default_factory=anyio.Event)
    _last_used: OrderedDict[bytes, tuple[str, float]] = field(
        default_factory=OrderedDict
    )
    _exported_blocks: dict[str, OrderedDict[str, tuple[Block, float]]] = field(
        default_factory=dict
    )

    def __post_init__(self):
        self.return_estimator = ReturnEstimator(self.settings)

    def submit(
        self,
        account: str,
        salt: str,
        upstream: Upstream,
        prefix: PromptPrefix,
        locations: PrefixLocations,
    ) -> None:
        """Queue a conversation for export after one of its requests has ended.

        If the conversation is already queued, the new job replaces the queued one.
        """
        if not prefix.chain:
            return
        self._record_use(account, prefix.shard_key)
        stores = {name: len(run.blocks) for name, run in locations.stores.items()}
        job = ExportJob(account, salt, upstream, prefix, stores)
        self._queue.pop(prefix.shard_key, None)
        self._queue[prefix.shard_key] = job
        while len(self._queue) > MAX_QUEUED_JOBS:
            self._queue.popitem(last=False)
            self.metrics.count("exports_skipped_total", reason="queue_full")
        self._queue_changed.set()

    async def run(self, get_declarations, get_engine) -> None:
        """Export queued conversations until cancelled, several at a time.

        A conversation that waits for its engine or link thus doesn't block the others.
        """
        limiter = anyio.Semaphore(MAX_CONCURRENT_EXPORTS)
        async with anyio.create_task_group() as tasks:
            while True:
                await limiter.acquire()
                while not self._queue:
                    await self._queue_changed.wait()
                    self._queue_changed = anyio.Event()
                _, job = self._queue.popitem(last=False)
                tasks.start_soon(
                    self._run_job, job, limiter, get_declarations, get_engine
                )

    async def _run_job(
        self, job: ExportJob, limiter: anyio.Semaphore, get_declarations, get_engine
    ) -> None:
        declarations = get_declarations()
        try:
            if declarations is not None and declarations.stores:
                await self._export(job, declarations, get_engine(job.upstream))
        except ApricotliftError as error:
            self.metrics.count("exports_failed_total", reason=error.code)
            logs.log(
                logs.WARNING,
                "export_failed",
                upstream=job.upstream.name,
                code=error.code,
                message=error.message,
            )
        finally:
            limiter.release()

    async def _export(
        self, job: ExportJob, declarations: Declarations, engine: EngineClient
    ) -> None:
        await self._wait_until_idle(job.upstream)
        exports = choose_exports(
            self._build_blocks(job, declarations),
            self._build_store_spaces(declarations),
            self.return_estimator,
            self._build_settings(job.upstream, declarations),
        )
        by_store: dict[str, list[Export]] = {}
        for export in exports:
            by_store.setdefault(export.store, []).append(export)
        for name, chosen in by_store.items():
            store = declarations.stores[name]
            chosen.sort(key=lambda export: export.block.position)
            for start in range(0, len(chosen), MAX_BLOCKS_PER_EXPORT):
                batch = chosen[start : start + MAX_BLOCKS_PER_EXPORT]
                if not await self._export_batch(job, store, engine, batch):
                    break

    async def _export_batch(
        self,
        job: ExportJob,
        store: Store,
        engine: EngineClient,
        exports: Sequence[Export],
    ) -> bool:
        """Export a batch of blocks; return whether to continue with this store."""
        blocks = [export.block for export in exports]
        names = [block.block_id for block in blocks]
        size_bytes = sum(block.size_bytes for block in blocks)
        client = StoreClient(
            store.name, store.address, self.pool, self.metrics, store.tls
        )
        async with self.links.transfer(
            store, job.account, TransferPriority.BACKGROUND, size_bytes
        ):
            result = await export_blocks(
                engine, names, client.url, job.salt, EXPORT_TIMEOUT_S
            )
        for stored in result.stored.values():
            self.metrics.count("link_bytes_total", stored.length, kind="export")
        for reason in result.failed.values():
            self.metrics.count("export_blocks_failed_total", reason=reason)
        exported = self._exported_blocks.setdefault(store.name, OrderedDict())
        now = clocks.monotonic()
        for block in blocks:
            if block.block_id in result.stored:
                exported[block.block_id] = (block, now)
        while len(exported) > MAX_TRACKED_BLOCKS_PER_STORE:
            exported.popitem(last=False)
        await self._record_stored_run(job, store, names, result.stored)
        if any("full" in reason for reason in result.failed.values()):
            await self._free_space(store, client, size_bytes)
            return False
        return not result.failed

    async def _record_stored_run(
        self, job: ExportJob, store: Store, names, stored
    ) -> None:
        """Tell the owners how many leading blocks of the chain the store holds."""
        chain = job.prefix.chain
        position = {block.hex(): number for number, block in enumerate(chain)}
        n_held = job.stores.get(store.name, 0)
        for name in names:
            if name not in stored or position[name] > n_held:
                break
            n_held = max(n_held, position[name] + 1)
        if n_held <= job.stores.get(store.name, 0):
            return
        job.stores[store.name] = n_held
        run = PrefixRun(store.name, True, "", list(chain[:n_held]), 0, 0)
        message = RecordRuns(job.prefix.shard_key, [run])
        await self.cluster.send_to_owners(job.prefix.shard_key, message)

    async def _free_space(
        self, store: Store, client: StoreClient, needed_bytes: int
    ) -> None:
        """Delete blocks that this node exported from a full store."""
        exported = self._exported_blocks.get(store.name, OrderedDict())
        now = clocks.monotonic()
        blocks = [
            replace(block, ages_s=(now - exported_at,))
            for block, exported_at in exported.values()
        ]
        used_bytes = sum(block.size_bytes for block in blocks)
        drops = choose_drops(
            blocks, store.name, used_bytes, needed_bytes, self.return_estimator
        )
        for block in drops:
            try:
                await client.delete(block.block_id)
            except ApricotliftError as error:
                self.metrics.count("store_drops_failed_total", reason=error.code)
                return
            del exported[block.block_id]
            self.metrics.count("store_drops_total")

    async def _wait_until_idle(self, upstream: Upstream) -> None:
        deadline = clocks.monotonic() + MAX_BUSY_WAIT_S
        while clocks.monotonic() < deadline:
            load = self.probes.get_state(upstream.name).load
            queue_s = 0.0
            if load is not None:
                queue_s = load.waiting_prompt_tokens / upstream.prefill_tokens_per_s
            if queue_s <= BUSY_QUEUE_THRESHOLD_S:
                return
            self.metrics.count("exports_delayed_total", reason="engine_busy")
            await anyio.sleep(_BUSY_POLL_INTERVAL_S)

    def _build_settings(
        self, upstream: Upstream, declarations: Declarations
    ) -> RetentionSettings:
        """Return the retention settings with the limits of the deployment.

        The minimum time that a copy has to save for each byte follows from the cost
        weights of the deployment, so that exports and fetches use the same costs.
        """
        fleet = declarations.fleet
        cost_per_s = fleet.w_ttft + fleet.w_recompute * upstream.prefill_tokens_per_s
        min_saved = fleet.w_link / cost_per_s if cost_per_s > 0 else float("inf")
        return replace(
            self.settings,
            n_copies_max=fleet.max_retained_kv_copies,
            min_saved_s_per_byte=min_saved,
        )

    def _build_blocks(self, job: ExportJob, declarations: Declarations) -> list[Block]:
        settings = build_routing_settings(declarations.fleet)
        rebuild_s = settings.chunk_tokens / job.upstream.prefill_tokens_per_s
        return [
            Block(
                name,
                job.account,
                position,
                settings.chunk_bytes,
                rebuild_s,
                (0.0,),
                frozenset(
                    store for store, n_held in job.stores.items() if position < n_held
                ),
            )
            for position, name in enumerate(job.prefix.block_names)
        ]

    def _build_store_spaces(self, declarations: Declarations) -> list[StoreSpace]:
        # The free space is given as infinite and not queried, because a full store
        # refuses the export.
        now = clocks.monotonic()
        return [
            StoreSpace(
                store.name,
                store.failure_domain,
                float("inf"),
                self.probes.get_store_accuracy(store.name).is_usable(now),
            )
            for store in declarations.stores.values()
        ]

    def _record_use(self, account: str, shard_key: bytes) -> None:
        now = clocks.monotonic()
        known = self._last_used.pop(shard_key, None)
        if known is not None:
            self.return_estimator.add_return(account, now - known[1])
        self._last_used[shard_key] = (account, now)
        while len(self._last_used) > MAX_TRACKED_CONVERSATIONS:
            _, (other, used_at) = self._last_used.popitem(last=False)
            self.return_estimator.add_no_return(other, now - used_at)
