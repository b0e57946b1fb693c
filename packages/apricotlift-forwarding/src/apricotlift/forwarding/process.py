"""Runs a forwarding node as a process: start, reload of settings, stop."""

from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

import anyio
from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.asgiapps import (
    build_client_app,
    build_directory_app,
    build_metrics_app,
    build_readiness_app,
)
from apricotlift.forwarding.budgets import RetryBudgets
from apricotlift.forwarding.cacheindex import (
    POLLS_PER_PROCESSOR_S,
    CacheIndex,
    Holder,
)
from apricotlift.forwarding.clientconnections import (
    ConnectionGuard,
    ConnectionLimits,
)
from apricotlift.forwarding.clusterrows import TABLE as CLUSTER_ROWS_TABLE
from apricotlift.forwarding.clusterrows import ClusterRows
from apricotlift.forwarding.clustersecret import SecretKeeper
from apricotlift.forwarding.dialect import Dialect
from apricotlift.forwarding.engineloads import EngineLoads
from apricotlift.forwarding.entities import ClientLimits, Server, Service
from apricotlift.forwarding.listeners import (
    HttpServer,
    bind_listener,
    build_http_server,
)
from apricotlift.forwarding.loadpeers import SUPPORT_TABLE, answer_support
from apricotlift.forwarding.loadwiring import build_load_exchange
from apricotlift.forwarding.peernotes import PeerNotes
from apricotlift.forwarding.refusals import Refusals
from apricotlift.forwarding.relays import EraSource, Peers, Relay
from apricotlift.forwarding.routingstate import RoutingState
from apricotlift.forwarding.runtime import Runtime
from apricotlift.forwarding.servers import ServerHandles
from apricotlift.forwarding.settings import (
    ForwardingSettings,
    NodeModel,
    SettingsFile,
    load_settings,
    read_settings_file,
    watch_settings,
)
from apricotlift.forwarding.shutdown import shut_down
from apricotlift.forwarding.storecleaner import StoreCleaner
from apricotlift.forwarding.suspects import Suspects
from apricotlift.forwarding.warmup import Members, WarmupLimits
from apricotlift.forwarding.weightrecords import WeightRecords
from apricotlift.forwarding.weightrollout import WeightRollout
from apricotlift.process import CapturedSignals
from apricotlift.process.lifecycle import Lifecycle
from apricotlift.state.membership import Membership
from apricotlift.state.view import MemberState
from apricotlift.upstreams.readbudget import ReadBudget, build_budget
from apricotlift.wire.connections import PeerPool, PeerServer
from apricotlift.wire.handshake import Identity
from apricotlift.wire.messages import (
    MemberSummary,
    Notes,
    OrderNote,
    RowsReply,
    RowsRequest,
)

_MAINTENANCE_INTERVAL_S = 1.0


async def run_node(
    settings_path: str,
    dialect: Dialect,
    build_store: Callable[[ForwardingSettings, Metrics, ReadBudget], "StorePort"],
    signals: CapturedSignals,
) -> None:
    """Run a node until it is stopped by a signal.

    :param settings_path: settings file, watched for changes.
    :param dialect: adapter for the platform's documents and header names.
    :param build_store: returns the client of the platform's store.
    :param signals: the signals of this process.
    :raises ApricotliftError: ``bad_settings`` for settings that can't be loaded.
    """
    settings_file = await read_settings_file(settings_path)
    logs.log(logs.INFO, "starting", settings=settings_path)
    metrics = Metrics()
    lifecycle = Lifecycle(metrics)
    async with anyio.create_task_group() as signal_tasks:
        signal_tasks.start_soon(lifecycle.follow_signals, signals)
        with lifecycle.start_scope:
            await _start_and_serve(
                settings_file, dialect, build_store, metrics, lifecycle
            )
        signal_tasks.cancel_scope.cancel()
    logs.log(logs.INFO, "stopped")


async def _start_and_serve(
    settings_file: SettingsFile,
    dialect: Dialect,
    build_store: Callable[[ForwardingSettings, Metrics, ReadBudget], "StorePort"],
    metrics: Metrics,
    lifecycle: Lifecycle,
) -> None:
    """Start all parts of the node, serve until a stop signal, and shut down."""
    settings = settings_file.settings
    sockets = _bind_listeners(settings)
    async with AsyncExitStack() as stack:
        memory_bytes = int(settings.limits.memory_mb * 1_000_000)
        budget = build_budget(memory_bytes, settings.limits.descriptors)
        store = build_store(settings, metrics, budget)
        stack.push_async_callback(store.close)
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        bounds = settings.bounds
        # Evacuations arrive with the configuration, in the operator's table.
        apply_limit_ms = min(bounds.configuration_ms, bounds.evacuate_ms)
        relay = Relay(store, apply_limit_ms / 1000, metrics)
        store.watch_era(relay.note_era)
        routing_state = RoutingState(dialect, relay, metrics)
        warmup = _build_warmup(settings, routing_state, metrics)
        cluster_rows = ClusterRows(relay, metrics)
        cluster_table = store.open_table(CLUSTER_ROWS_TABLE)
        relay.register(routing_state.operator_feed)
        relay.register(routing_state.servers_feed)
        tasks.start_soon(routing_state.operator_feed.run)
        tasks.start_soon(routing_state.servers_feed.run)
        table = store.open_table("apricotlift")
        secret_keeper = SecretKeeper(table)
        store.watch_era(lambda _: secret_keeper.handle_restore())
        secret = await secret_keeper.load()
        peer_network = await _join_cluster(
            stack, settings, table, secret, metrics, sockets
        )
        membership = peer_network.membership
        store.watch_era(lambda _: membership.handle_restore())
        tasks.start_soon(secret_keeper.run, peer_network.replace_secret)
        node = _build_runtime(
            settings,
            dialect,
            metrics,
            tasks,
            routing_state,
            Suspects(
                cluster_table,
                cluster_rows,
                metrics,
                count_nodes=lambda: len(membership.view.get_eligible()),
            ),
            peer_network,
            budget,
            warmup,
        )
        weight_records = WeightRecords(
            settings.node.name,
            cluster_table,
            cluster_rows,
            routing_state,
            lambda: list(membership.view.get_eligible()),
            metrics,
            # A relay passes on the newest row only, the store each change.
            lambda after, era: store.wait_for_changes(
                routing_state.operator_feed.table, after, 0.0, era
            ),
        )
        relay.register(cluster_rows.feed)
        _connect_relay(relay, settings.node, peer_network)
        stack.push_async_callback(node.handles.close)
        weight_rollout = WeightRollout(
            settings.node.name,
            dialect,
            routing_state,
            node.handles,
            table,
            lambda: list(membership.view.get_eligible()),
            lambda server: _announce_weight_load(node, server),
            settings.bounds.order_lease_ms / 1000,
            metrics,
            get_era=lambda: store.era,
        )
        store_cleaner = StoreCleaner(
            settings.node.name,
            dialect,
            routing_state,
            node.cache_index,
            lambda: list(membership.view.get_eligible()),
            metrics,
            budget=budget,
        )
        for run_task in (
            store_cleaner.run,
            cluster_rows.feed.run,
            weight_records.run,
            node.suspects.run_maintenance,
            node.cache_index.run,
            weight_rollout.run,
            node.pending_prompts.run,
        ):
            tasks.start_soon(run_task)
        tasks.start_soon(_run_maintenance, node)
        tasks.start_soon(
            watch_settings,
            settings_file,
            lambda: _reload_settings(node, settings_file.path, "file_changed"),
        )
        http_servers = _start_listeners(node, sockets)
        lifecycle.begin_service(
            lambda: _reload_settings(node, settings_file.path, "signal")
        )
        await lifecycle.wait_for_stop()
        await shut_down(node, http_servers, weight_rollout)


def _bind_listeners(settings: ForwardingSettings) -> dict:
    listen = settings.listen
    addresses = {
        "callers": listen.callers,
        "readiness": listen.readiness,
        "directory": listen.directory,
        "peers": listen.peers,
    }
    if listen.metrics:
        addresses["metrics"] = listen.metrics
    return {name: bind_listener(address) for name, address in addresses.items()}


@dataclass(frozen=True)
class _PeerNetwork:
    """Membership and connections that link this node to the other nodes."""

    membership: Membership
    pool: PeerPool
    server: PeerServer

    def replace_secret(self, secret: bytes) -> None:
        """Use another secret for new connections."""
        self.pool.secret = secret
        self.server.replace_secret(secret)


async def _join_cluster(
    stack: AsyncExitStack, settings, table, secret: bytes, metrics: Metrics, sockets
) -> "_PeerNetwork":
    """Start the membership protocol, the client pool and the listener for peers."""
    memberships: list[Membership] = []

    def get_identity():
        return memberships[0].get_identity()

    own_summary = MemberSummary(
        settings.node.name,
        "",
        settings.listen.peers,
        settings.listen.callers,
        settings.node.failure_domain,
        MemberState.SERVING,
    )
    pool = PeerPool(get_identity, secret, metrics)
    server = PeerServer(sockets["peers"], get_identity, secret, metrics)
    membership = Membership(own_summary, table, pool, metrics, is_lease_needed=False)
    memberships.append(membership)
    membership.register(server)
    await stack.enter_async_context(pool)
    await stack.enter_async_context(server)
    await stack.enter_async_context(membership)
    return _PeerNetwork(membership, pool, server)


def _connect_relay(relay: Relay, node: NodeModel, peer_network: _PeerNetwork) -> None:
    view = peer_network.membership.view
    relay.peers = Peers(
        node.name, view.get_eligible, view.get_address, peer_network.pool.request
    )

    async def handle_rows(message: RowsRequest, peer: Identity) -> RowsReply:
        if message.table == SUPPORT_TABLE and node.load_sums:
            return await answer_support(message)
        return await relay.handle_rows(message, peer)

    peer_network.server.register(RowsRequest, handle_rows)


def _build_warmup(
    settings: ForwardingSettings, routing_state: RoutingState, metrics: Metrics
) -> WarmupLimits:
    """Build the limits before the entries are read, of which they need each one."""

    def find_service(name: str) -> Service | None:
        configuration = routing_state.configuration
        return configuration.services.get(name) if configuration else None

    warmup = WarmupLimits(
        settings.node.name,
        find_service,
        metrics,
        settings.bounds.cold_overage,
        settings.bounds.cold_tolerance,
        get_entries_age_s=lambda: routing_state.servers_feed.age_s,
    )
    routing_state.watch_entry = warmup.note_entry
    routing_state.note_cold = warmup.note_cold
    return warmup


def _observe_members(membership: Membership) -> Members:
    view = membership.view
    return Members(
        view.get_eligible(), view.check_majority().is_majority, membership.queried_at
    )


def _build_runtime(
    settings,
    dialect,
    metrics,
    tasks,
    routing_state,
    suspects,
    peer_network,
    budget,
    warmup,
) -> Runtime:
    membership = peer_network.membership
    warmup.observe_members = lambda: _observe_members(membership)

    def count_nodes() -> int:
        return len(membership.view.get_eligible())

    def get_n_connections(service: str) -> int:
        configuration = routing_state.configuration
        service_facts = configuration.services.get(service) if configuration else None
        n_total = service_facts.max_connections if service_facts else 100
        return max(4, int(n_total * 0.8 / max(1, count_nodes())))

    def list_holders() -> list[Holder]:
        return _list_cache_holders(routing_state)

    cache_index = CacheIndex(
        settings.node.name,
        dialect,
        list_holders,
        lambda: list(membership.view.get_eligible()),
        metrics,
        budget=budget,
        n_polls_per_s=POLLS_PER_PROCESSOR_S * settings.limits.n_processors,
    )
    handles = ServerHandles(metrics, get_n_connections, budget=budget)

    def note_loading(server_id: str) -> None:
        server = routing_state.servers.get(server_id)
        if server is not None:
            handles.note_loading(server)

    peer_notes = PeerNotes(
        membership.view, peer_network.pool, settings.limits.n_processors
    )
    tasks.start_soon(peer_notes.run)
    engine_loads = EngineLoads(
        membership.view, cache_index.mark_expected, note_loading, peer_notes.add
    )
    refusals = Refusals(peer_notes.add)

    async def handle_notes(notes: Notes, peer: Identity) -> None:
        await engine_loads.handle_notes(notes, peer)
        for refusal in notes.refusals:
            refusals.handle_refusal(refusal)

    peer_network.server.register(Notes, handle_notes)
    if settings.node.load_sums:
        load_exchange = build_load_exchange(
            membership.view,
            peer_network.pool,
            peer_network.server,
            routing_state,
            engine_loads,
            refusals,
            metrics,
        )
        peer_notes.pass_on = load_exchange.add_notices
        tasks.start_soon(load_exchange.run)
    bounds = settings.bounds
    return Runtime(
        settings,
        dialect,
        metrics,
        tasks,
        routing_state,
        handles,
        RetryBudgets(bounds.retry_share, bounds.n_retries, count_nodes),
        suspects,
        cache_index,
        membership,
        engine_loads,
        refusals,
        warmup,
    )


def _announce_weight_load(node: Runtime, server: Server) -> None:
    node.handles.note_loading(server)
    node.engine_loads.notify(OrderNote(server.server_id))


def _list_cache_holders(routing_state: RoutingState) -> list[Holder]:
    configuration = routing_state.configuration
    if configuration is None:
        return []
    holders = []
    for service in configuration.services.values():
        if service.store is not None:
            store = service.store
            holders.append(
                Holder(
                    store.address,
                    store.failure_domain,
                    store.capacity_tokens,
                    store.n_event_readers,
                    is_store=True,
                    is_managed=store.is_managed,
                )
            )
        elif service.engine is not None:
            engine = service.engine
            holders += [
                Holder(
                    server.address,
                    server.failure_domain,
                    engine.kv_capacity_tokens,
                    engine.n_event_readers,
                    is_store=False,
                )
                for server in routing_state.list_servers(service.name)
            ]
    return holders


def _start_listeners(node: Runtime, sockets: dict) -> list[HttpServer]:
    apps = {
        "callers": build_client_app(node),
        "readiness": build_readiness_app(node),
        "directory": build_directory_app(node),
        "metrics": build_metrics_app(node),
    }
    servers = []
    for name, app in apps.items():
        if name not in sockets:
            continue
        guard = ConnectionGuard(
            name,
            node.handles.budget,
            node.metrics,
            lambda: _get_connection_limits(node),
        )
        server = build_http_server(app, None, guard)
        node.tasks.start_soon(_run_server, server, sockets[name])
        logs.log(logs.INFO, "listening", listener=name)
        servers.append(server)
    return servers


def _get_connection_limits(node: Runtime) -> ConnectionLimits:
    configuration = node.routing_state.configuration
    limits = configuration.limits if configuration else ClientLimits()
    settings = node.settings.limits
    return ConnectionLimits(
        limits.max_header_bytes,
        limits.header_timeout_s,
        settings.body_timeout_s or limits.idle_timeout_s,
        settings.response_timeout_s or limits.idle_timeout_s,
        limits.idle_timeout_s,
    )


async def _run_server(server: HttpServer, listener) -> None:
    await server.serve(sockets=[listener])


async def _run_maintenance(node: Runtime) -> None:
    while True:
        await anyio.sleep(_MAINTENANCE_INTERVAL_S)
        node.warmup.refresh()
        await node.handles.sweep(node.routing_state.is_serving)
        node.metrics.gauge("open_requests", node.n_open_requests)
        node.metrics.gauge(
            "configuration_age_s", node.routing_state.operator_feed.age_s
        )


def _reload_settings(node: Runtime, path: str, cause: str) -> None:
    try:
        settings = load_settings(path)
    except ApricotliftError as error:
        logs.log(logs.ERROR, "settings_refused", cause=cause, reason=error.message)
        return
    if settings.listen != node.settings.listen:
        logs.log(logs.WARNING, "listen_addresses_need_restart", cause=cause)
    node.settings = settings
    node.budgets.share = settings.bounds.retry_share
    node.budgets.n_allowed = settings.bounds.n_retries
    node.warmup.overage = settings.bounds.cold_overage
    node.warmup.tolerance = settings.bounds.cold_tolerance
    logs.log(logs.INFO, "settings_reloaded", cause=cause)


class StorePort(EraSource):
    """The client of the platform's store.

    :ivar era: newest known era of the store; 0 until one is known.
    """

    era: int

    def watch_era(self, callback: Callable[[int], None]) -> None:
        """Have the callback called with each new era of the store."""

    def open_table(self, name: str):
        """Return a table with the interface of ``platform.table.Table``."""

    async def close(self) -> None:
        """Close all connections to the store."""
