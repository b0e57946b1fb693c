"""A forwarding node as a process: start, reload, graceful stop."""

import signal
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.budgets import RetryBudgets
from apricotlift.forwarding.cacheindex import CacheIndex, Holder
from apricotlift.forwarding.clustersecret import read_cluster_secret
from apricotlift.forwarding.dialect import Dialect
from apricotlift.forwarding.engineloads import EngineLoads
from apricotlift.forwarding.facts import Server
from apricotlift.forwarding.feeds import RowSource
from apricotlift.forwarding.front import (
    build_directory_app,
    build_front_app,
    build_metrics_app,
    build_readiness_app,
)
from apricotlift.forwarding.knowledge import Knowledge
from apricotlift.forwarding.listeners import HttpServer, bind, build_server
from apricotlift.forwarding.refusals import Refusals
from apricotlift.forwarding.runtime import Runtime
from apricotlift.forwarding.servers import ServerHandles
from apricotlift.forwarding.settings import (
    ForwardingSettings,
    load_settings,
    watch_settings,
)
from apricotlift.forwarding.storecare import StoreCare
from apricotlift.forwarding.suspects import Suspects
from apricotlift.forwarding.weights import WeightOrders
from apricotlift.state.membership import Membership
from apricotlift.state.view import MemberState
from apricotlift.wire.connections import PeerPool, PeerServer
from apricotlift.wire.messages import (
    MemberSummary,
    OrderNote,
    PlacementNote,
    ProgressNote,
    RefusalNote,
)

#: A stopping node still takes requests this long, because clients keep its address.
LINGER_S = 3.0
#: Left of the grace period for the end of the process itself.
_GRACE_MARGIN_S = 0.8
_POLL_S = 0.05
_SWEEP_S = 1.0


async def run_node(
    settings_path: str,
    dialect: Dialect,
    build_store: Callable[[ForwardingSettings, Metrics], "StorePort"],
) -> None:
    """Run a node until it is stopped.

    :param build_store: builds the client of the platform's store.
    """
    # Read before the settings are, so that no change between the two is missed.
    content = await anyio.Path(settings_path).read_bytes()
    settings = load_settings(settings_path)
    logs.log(logs.INFO, "starting", settings=settings_path)
    metrics = Metrics()
    sockets = _bind_all(settings)
    async with AsyncExitStack() as stack:
        store = build_store(settings, metrics)
        stack.push_async_callback(store.close)
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        knowledge = Knowledge(dialect, store, metrics)
        tasks.start_soon(knowledge.operator_feed.run)
        tasks.start_soon(knowledge.servers_feed.run)
        table = store.open_table("apricotlift")
        secret = await read_cluster_secret(table)
        peers = await _join(stack, settings, table, secret, metrics, sockets)
        membership = peers.membership
        node = _build_runtime(
            settings, dialect, metrics, tasks, knowledge, store, peers
        )
        stack.push_async_callback(node.handles.close)
        orders = WeightOrders(
            settings.node.name,
            dialect,
            knowledge,
            node.handles,
            table,
            lambda: list(membership.view.get_eligible()),
            lambda server: _announce_load(node, server),
            settings.bounds.order_lease_ms / 1000,
            metrics,
        )
        care = StoreCare(
            settings.node.name,
            dialect,
            knowledge,
            node.index,
            lambda: list(membership.view.get_eligible()),
            metrics,
        )
        for job in (
            care.run,
            node.suspects.feed.run,
            node.index.run,
            orders.run,
        ):
            tasks.start_soon(job)
        tasks.start_soon(_sweep, node)
        tasks.start_soon(
            watch_settings,
            settings_path,
            content,
            lambda: _reload(node, settings_path, "file_changed"),
        )
        fronts = _start_listeners(node, sockets)
        await _wait_for_stop(node, settings_path)
        await _stop(node, fronts, orders)
    logs.log(logs.INFO, "stopped")


def _bind_all(settings: ForwardingSettings) -> dict:
    listen = settings.listen
    addresses = {
        "callers": listen.callers,
        "readiness": listen.readiness,
        "directory": listen.directory,
        "peers": listen.peers,
    }
    if listen.metrics:
        addresses["metrics"] = listen.metrics
    return {name: bind(address) for name, address in addresses.items()}


@dataclass(frozen=True)
class _Peers:
    """What connects this node to the others."""

    membership: Membership
    pool: PeerPool
    server: PeerServer


async def _join(
    stack: AsyncExitStack, settings, table, secret: bytes, metrics: Metrics, sockets
) -> "_Peers":
    """Start membership and the listener for other nodes."""
    holder: list[Membership] = []

    def get_identity():
        return holder[0].get_identity()

    own = MemberSummary(
        settings.node.name,
        "",
        settings.listen.peers,
        settings.listen.callers,
        settings.node.failure_domain,
        MemberState.SERVING,
    )
    pool = PeerPool(get_identity, secret, metrics)
    server = PeerServer(sockets["peers"], get_identity, secret, metrics)
    membership = Membership(own, table, pool, metrics)
    holder.append(membership)
    membership.register(server)
    await stack.enter_async_context(pool)
    await stack.enter_async_context(server)
    await stack.enter_async_context(membership)
    return _Peers(membership, pool, server)


def _build_runtime(
    settings, dialect, metrics, tasks, knowledge, store, peers
) -> Runtime:
    membership = peers.membership

    def count_nodes() -> int:
        return len(membership.view.get_eligible())

    def get_n_connections(service: str) -> int:
        configuration = knowledge.configuration
        known = configuration.services.get(service) if configuration else None
        n_all = known.max_connections if known else 100
        return max(4, int(n_all * 0.8 / max(1, count_nodes())))

    def list_holders() -> list[Holder]:
        return _list_holders(knowledge)

    index = CacheIndex(
        settings.node.name,
        dialect,
        list_holders,
        lambda: list(membership.view.get_eligible()),
        metrics,
    )
    handles = ServerHandles(metrics, get_n_connections)

    def note_loading(server_id: str) -> None:
        server = knowledge.servers.get(server_id)
        if server is not None:
            handles.note_loading(server)

    engine_loads = EngineLoads(membership.view, index.expect, note_loading, peers.pool)
    peers.server.register(PlacementNote, engine_loads.handle_placement)
    peers.server.register(ProgressNote, engine_loads.handle_progress)
    peers.server.register(OrderNote, engine_loads.handle_order)
    refusals = Refusals(engine_loads.tell)
    peers.server.register(RefusalNote, refusals.handle_note)
    bounds = settings.bounds
    return Runtime(
        settings,
        dialect,
        metrics,
        tasks,
        knowledge,
        handles,
        RetryBudgets(bounds.retry_share, bounds.n_retries, count_nodes),
        Suspects(store.open_table("apricotlift-suspects"), store, metrics),
        index,
        membership,
        engine_loads,
        refusals,
    )


def _announce_load(node: Runtime, server: Server) -> None:
    node.handles.note_loading(server)
    node.engine_loads.tell(OrderNote(server.server_id))


def _list_holders(knowledge: Knowledge) -> list[Holder]:
    configuration = knowledge.configuration
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
                for server in knowledge.list_servers(service.name)
            ]
    return holders


def _start_listeners(node: Runtime, sockets: dict) -> list[HttpServer]:
    apps = {
        "callers": build_front_app(node),
        "readiness": build_readiness_app(node),
        "directory": build_directory_app(node),
        "metrics": build_metrics_app(node),
    }
    servers = []
    limits = (
        node.knowledge.configuration.limits if node.knowledge.configuration else None
    )
    for name, app in apps.items():
        if name not in sockets:
            continue
        idle_s = limits.idle_timeout_s if limits and name == "callers" else 15.0
        server = build_server(app, None, 65_536, idle_s)
        node.tasks.start_soon(_run_server, server, sockets[name])
        logs.log(logs.INFO, "listening", listener=name)
        servers.append(server)
    return servers


async def _run_server(server: HttpServer, listener) -> None:
    await server.serve(sockets=[listener])


async def _sweep(node: Runtime) -> None:
    while True:
        await anyio.sleep(_SWEEP_S)
        await node.handles.sweep(node.knowledge.is_serving)
        node.metrics.gauge("open_requests", node.n_open_requests)
        node.metrics.gauge("configuration_age_s", node.knowledge.operator_feed.age_s)


def _reload(node: Runtime, path: str, cause: str) -> None:
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
    logs.log(logs.INFO, "settings_reloaded", cause=cause)


async def _wait_for_stop(node: Runtime, settings_path: str) -> None:
    watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*watched) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                _reload(node, settings_path, "signal")
                continue
            logs.log(logs.INFO, "stopping", signal=signal.Signals(number).name)
            return


async def _stop(node: Runtime, fronts: list[HttpServer], orders: WeightOrders) -> None:
    """Serve to the end what was begun; clients are told of other addresses."""
    started_at = clocks.monotonic()
    node.is_draining = True
    until = started_at + node.settings.bounds.grace_s - _GRACE_MARGIN_S
    with anyio.move_on_after(until - clocks.monotonic()):
        await node.membership.publish_draining()
        await orders.release()
        await anyio.sleep(max(0.0, started_at + LINGER_S - clocks.monotonic()))
        node.is_stopping = True
        for server in fronts:
            server.should_exit = True
        while node.n_open_requests:
            await anyio.sleep(_POLL_S)
    if node.n_open_requests:
        logs.log(logs.WARNING, "stop_cuts_requests", n_requests=node.n_open_requests)
    with anyio.move_on_after(0.3):
        await node.membership.leave()


class StorePort(RowSource):
    """The client of the platform's store."""

    def open_table(self, name: str):
        """Return a table with the interface of ``platform.table.Table``."""

    async def close(self) -> None:
        """Close the connections."""
