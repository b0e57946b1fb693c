"""The commands of the node binary ``apricotlift-node``.

:mod:`apricotlift.nodeprogram` starts them.
"""

import sys
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import fields
from functools import partial

import anyio
import defopt
from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.clientconnections import (
    ConnectionGuard,
    ConnectionLimits,
)
from apricotlift.forwarding.listeners import (
    HttpServer,
    bind_listener,
    build_http_server,
    get_bound_address,
)
from apricotlift.node.admin import build_admin_app
from apricotlift.node.cacheevents import follow_engines
from apricotlift.node.cluster import Cluster
from apricotlift.node.drain import is_busy, wait_for_stop
from apricotlift.node.enginereconciliation import (
    PreviousDeclarations,
    build_engine_reconciler,
    run_engine_reconciler,
)
from apricotlift.node.enginestreams import cancel_stalled_attempts
from apricotlift.node.exports import Exporter
from apricotlift.node.placement import Placer
from apricotlift.node.probes import Probes
from apricotlift.node.runtime import Node
from apricotlift.node.server import build_callers_app
from apricotlift.node.services import build_call_context
from apricotlift.node.settings import (
    NodeSettings,
    build_client_context,
    build_server_context,
    load_settings,
)
from apricotlift.node.storelinks import StoreLinks
from apricotlift.node.streams import StreamRegistry
from apricotlift.policy.routing import POLICIES
from apricotlift.process import CapturedSignals
from apricotlift.process.lifecycle import Lifecycle
from apricotlift.upstreams.pool import Pool
from apricotlift.upstreams.readbudget import ReadBudget, build_budget

EXIT_INVALID_SETTINGS = 5
#: Time for the HTTP servers to react to the stop request.
_SERVER_STOP_DELAY_S = 0.1


def build_serve(signals: CapturedSignals) -> Callable:
    """Return the command that runs a node.

    :param signals: the signals of this process.
    """

    def serve(*, settings: str) -> None:
        """Run a node until it is stopped.

        SIGTERM or SIGINT starts a graceful stop: the node is removed from the instance
        list that callers receive, still serves requests that arrive, and exits after
        the last one. A SIGINT after that stops it at once. SIGHUP checks the settings
        file and logs which sections would change at a restart.

        Example: apricotlift-node serve --settings node.ini

        :param settings: path of the INI file
        """
        node_settings = load_settings(settings)
        logs.configure(node_settings.node.name, node_settings.node.log_level)
        check_file = partial(check_changed_file, settings, node_settings)
        anyio.run(run_node, node_settings, signals, check_file)

    return serve


def check_changed_file(path: str, settings: NodeSettings) -> None:
    """Check a settings file again, and log the sections that need a restart.

    :param settings: the settings in use.
    """
    try:
        changed = load_settings(path)
    except ApricotliftError as error:
        logs.log(logs.ERROR, "settings_refused", reason=error.message)
        return
    sections = [
        item.name
        for item in fields(settings)
        if getattr(changed, item.name) != getattr(settings, item.name)
    ]
    logs.log(logs.WARNING, "settings_checked", sections_that_need_restart=sections)


def check(*, settings: str) -> None:
    """Check a settings file without starting a node.

    Example: apricotlift-node check --settings node.ini

    :param settings: path of the INI file
    """
    load_settings(settings)
    print(f"{settings}: no findings")


def main(signals: CapturedSignals) -> None:
    """Run the command line.

    :param signals: the signals of this process.
    """
    try:
        defopt.run([build_serve(signals), check])
    except ApricotliftError as error:
        for line in error.details.get("findings", [str(error)]):
            print(line, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)


async def run_node(
    settings: NodeSettings, signals: CapturedSignals, check_file: Callable[[], None]
) -> None:
    """Run a node until it has stopped.

    :param signals: the signals of this process.
    :param check_file: checks the settings file again, after ``SIGHUP``.
    """
    metrics = Metrics()
    lifecycle = Lifecycle(metrics)
    async with anyio.create_task_group() as signal_tasks:
        signal_tasks.start_soon(lifecycle.follow_signals, signals)
        with lifecycle.start_scope:
            await _start_and_serve(settings, metrics, lifecycle, check_file)
        signal_tasks.cancel_scope.cancel()
    logs.log(logs.INFO, "stopped")


async def _start_and_serve(
    settings: NodeSettings,
    metrics: Metrics,
    lifecycle: Lifecycle,
    check_file: Callable[[], None],
) -> None:
    callers_socket = bind_listener(settings.listen.callers)
    peers_socket = bind_listener(settings.listen.peers)
    server_tls = build_server_context(settings.tls)
    async with AsyncExitStack() as stack:
        upstream_tls = build_client_context(settings.tls.upstream_ca)
        memory_bytes = int(settings.limits.memory_mb * 1_000_000)
        budget = build_budget(memory_bytes, settings.limits.descriptors)
        pool = await stack.enter_async_context(Pool(upstream_tls, budget=budget))
        cluster = Cluster(
            settings,
            metrics,
            pool,
            peers_socket,
            settings.advertise.peers or get_bound_address(peers_socket),
            settings.advertise.callers or get_bound_address(callers_socket),
            server_tls,
            build_client_context(settings.tls.peer_ca),
        )
        await stack.enter_async_context(cluster)
        tasks = await stack.enter_async_context(anyio.create_task_group())
        probes = Probes(settings.node.name, pool, metrics)
        links = StoreLinks(metrics)
        policy = POLICIES[settings.routing.policy]()
        placer = Placer(cluster, probes, pool, metrics, links, policy)
        exporter = Exporter(cluster, probes, links, pool, metrics)
        streams = StreamRegistry(settings.streams.retention_s)
        node = Node(
            settings,
            metrics,
            pool,
            tasks,
            streams,
            cluster,
            probes,
            placer,
            exporter,
        )
        node.calls = build_call_context(node)
        tasks.start_soon(cancel_stalled_attempts, node)
        tasks.start_soon(probes.probe_all, node.get_declarations, node.get_engine)
        tasks.start_soon(exporter.run, node.get_declarations, node.get_engine)
        tasks.start_soon(
            follow_engines, cluster, metrics, node.get_declarations, node.get_engine
        )
        previous = PreviousDeclarations()
        reconciler = build_engine_reconciler(node, previous)
        tasks.start_soon(run_engine_reconciler, node, reconciler, previous)
        servers = [
            _start_server(
                node, "callers", build_callers_app(node), callers_socket, budget
            ),
            _start_server(
                node,
                "admin",
                build_admin_app(node),
                bind_listener(settings.listen.admin),
                budget,
            ),
        ]
        _log_listening("peers", peers_socket)
        lifecycle.begin_service(check_file)
        await wait_for_stop(node, lifecycle)
        node.is_stopping = True
        for server in servers:
            server.should_exit = True
            server.force_exit = is_busy(node)
        await anyio.sleep(_SERVER_STOP_DELAY_S)
        await reconciler.release_leases()
        await cluster.membership.leave()
        tasks.cancel_scope.cancel()


def _start_server(
    node: Node, name: str, app, bound_socket, budget: ReadBudget
) -> HttpServer:
    context = build_server_context(node.settings.tls)
    border = node.settings.border
    limits = ConnectionLimits(
        border.max_header_bytes,
        border.header_timeout_s,
        border.body_timeout_s,
        border.response_timeout_s,
        border.idle_timeout_s,
    )
    guard = ConnectionGuard(name, budget, node.metrics, lambda: limits)
    server = build_http_server(app, context, guard)
    node.tasks.start_soon(_run_server, server, bound_socket)
    _log_listening(name, bound_socket)
    return server


def _log_listening(name: str, bound_socket) -> None:
    address = get_bound_address(bound_socket)
    logs.log(logs.INFO, "listening", listener=name, address=address)


async def _run_server(server: HttpServer, bound_socket) -> None:
    await server.serve(sockets=[bound_socket])
