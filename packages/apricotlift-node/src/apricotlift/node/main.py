"""The node binary ``apricotlift-node``."""

import signal
import sys
from contextlib import AsyncExitStack

import anyio
import defopt
from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.node.attempts import watch_attempts
from apricotlift.node.runtime import Node
from apricotlift.node.server import (
    Server,
    bind,
    build_admin_app,
    build_callers_app,
    build_server,
    get_bound_address,
)
from apricotlift.node.settings import (
    NodeSettings,
    build_client_context,
    build_server_context,
    load_settings,
)
from apricotlift.node.snapshot import build_snapshot
from apricotlift.node.streams import StreamRegistry
from apricotlift.state.declarations import load_declarations
from apricotlift.upstreams.pool import Pool

EXIT_FINDINGS = 5
STOP_POLL_S = 0.05


def serve(*, settings: str) -> None:
    """Run a node until it is stopped.

    SIGTERM starts a graceful stop: the node takes no new place in the list of
    instances, serves what still arrives, and ends with its last request. A second
    signal ends it at once.

    Example: apricotlift-node serve --settings node.ini

    :param settings: path of the INI file
    """
    checked = load_settings(settings)
    logs.configure(checked.node.name, checked.node.log_level)
    anyio.run(run_node, checked)


def check(*, settings: str) -> None:
    """Check a settings file without starting anything.

    Example: apricotlift-node check --settings node.ini

    :param settings: path of the INI file
    """
    load_settings(settings)
    print(f"{settings}: no findings")


def main() -> None:
    """Run the command line."""
    try:
        defopt.run([serve, check])
    except ApricotliftError as error:
        for line in error.details.get("findings", [str(error)]):
            print(line, file=sys.stderr)
        sys.exit(EXIT_FINDINGS)


async def run_node(settings: NodeSettings) -> None:
    """Run a node; returns when it has stopped."""
    async with AsyncExitStack() as stack:
        upstream_context = build_client_context(settings.tls.upstream_ca)
        pool = await stack.enter_async_context(Pool(upstream_context))
        tasks = await stack.enter_async_context(anyio.create_task_group())
        streams = StreamRegistry(settings.streams.retention_s)
        node = Node(settings, Metrics(), pool, tasks, streams)
        declarations = load_declarations([settings.configuration.declarations])
        node.snapshot = build_snapshot(0, declarations)
        tasks.start_soon(watch_attempts, node)
        servers = [
            _start_server(node, "callers", build_callers_app(node)),
            _start_server(node, "admin", build_admin_app(node)),
        ]
        await wait_for_stop(node)
        await _stop_servers(node, servers)
        tasks.cancel_scope.cancel()


def _start_server(node: Node, name: str, app) -> Server:
    listener = bind(getattr(node.settings.listen, name))
    address = get_bound_address(listener)
    node.addresses[name] = address
    context = build_server_context(node.settings.tls)
    server = build_server(app, context, node.settings.border.max_header_bytes)
    node.tasks.start_soon(_run_server, server, listener)
    logs.log(logs.INFO, "listening", listener=name, address=address)
    return server


async def _run_server(server: Server, listener) -> None:
    await server.serve(sockets=[listener])


async def wait_for_stop(node: Node) -> None:
    """Wait for a stop signal and for the graceful stop that follows."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            logs.log(logs.INFO, "stopping", signal=signal.Signals(number).name)
            break
        node.is_draining = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_signal, signals, tasks.cancel_scope)
            with anyio.move_on_after(_get_deadline_s(node)):
                await anyio.sleep(node.settings.stop.linger_s)
                while node.n_open_requests or node.streams.n_running:
                    await anyio.sleep(STOP_POLL_S)
            tasks.cancel_scope.cancel()
    if node.n_open_requests or node.streams.n_running:
        running = [
            stream.request_id
            for stream in node.streams.streams.values()
            if not stream.is_finished
        ]
        logs.log(
            logs.WARNING,
            "stop_cuts_requests",
            n_open_requests=node.n_open_requests,
            request_ids=running,
        )


async def _cancel_on_signal(signals, scope: anyio.CancelScope) -> None:
    async for number in signals:
        logs.log(logs.WARNING, "second_signal", signal=signal.Signals(number).name)
        scope.cancel()
        return


def _get_deadline_s(node: Node) -> float:
    return node.settings.stop.deadline_s or float("inf")


async def _stop_servers(node: Node, servers: list[Server]) -> None:
    for server in servers:
        server.should_exit = True
        server.force_exit = bool(node.n_open_requests)
    await anyio.sleep(2 * STOP_POLL_S)


if __name__ == "__main__":
    main()
