"""Graceful stop: the node is no longer named to callers, and serves to the end.

Callers keep an answer of ``GET /v1/instances`` for its ``max_age_s``. A node that
drains therefore goes on serving until every answer that named it has run out.
"""

import signal

import anyio
from apricotlift.core import logs
from apricotlift.node.directory import compute_linger_s
from apricotlift.node.runtime import Node

POLL_S = 0.05
FLUSH_LIMIT_S = 10.0


async def request_drain(node: Node) -> None:
    """Publish that this node takes no new place in callers' lists."""
    if not node.is_draining:
        node.is_draining = True
        logs.log(logs.INFO, "drain_begins")
        await node.cluster.membership.publish_draining()


async def withdraw_drain(node: Node) -> None:
    """Publish that this node serves again."""
    if node.is_draining:
        node.is_draining = False
        logs.log(logs.INFO, "drain_withdrawn")
        await node.cluster.publish_serving()


async def wait_for_stop(node: Node) -> None:
    """Wait for a stop signal and for the graceful stop that follows."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            logs.log(logs.INFO, "stopping", signal=signal.Signals(number).name)
            break
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_signal, signals, tasks.cancel_scope)
            tasks.start_soon(request_drain, node)
            with anyio.move_on_after(_get_deadline_s(node)):
                await anyio.sleep(_get_linger_s(node))
                while is_busy(node):
                    await anyio.sleep(POLL_S)
                await _flush_claims(node)
            tasks.cancel_scope.cancel()
    if is_busy(node):
        log_cut_requests(node)


async def _flush_claims(node: Node) -> None:
    """Wait a limited time for records and releases that are still to be written.

    What isn't written then answers ``may_have_run`` at other nodes, which is true; a
    table that is out for an hour must not keep a node from ending.
    """
    with anyio.move_on_after(FLUSH_LIMIT_S) as scope:
        await node.cluster.claims.wait_flushed()
    if scope.cancelled_caught:
        node.metrics.count("unflushed_stops_total")
        logs.log(logs.WARNING, "stop_leaves_claims_unwritten")


def is_busy(node: Node) -> bool:
    """Return whether a request is open or an answer in progress."""
    return bool(node.n_open_requests or node.streams.n_running)


def log_cut_requests(node: Node) -> None:
    """Log what a stop that is not graceful cuts off."""
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


def _get_linger_s(node: Node) -> float:
    configured_s = node.settings.stop.linger_s
    declarations = node.get_declarations()
    if configured_s >= 0 or declarations is None:
        return max(0.0, configured_s)
    return compute_linger_s(declarations.fleet)


def _get_deadline_s(node: Node) -> float:
    return node.settings.stop.deadline_s or float("inf")
