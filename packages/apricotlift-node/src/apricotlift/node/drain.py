"""Graceful stop: removal from the instance list, then service until idle.

Callers use a response to ``GET /v1/instances`` for its ``max_age_s``. A draining node
therefore continues to serve until every response that lists it has expired.
"""

import anyio
from apricotlift.core import logs
from apricotlift.node.instancelist import compute_linger_s
from apricotlift.node.runtime import Node
from apricotlift.process.lifecycle import Lifecycle

POLL_INTERVAL_S = 0.05
CLAIM_FLUSH_TIMEOUT_S = 10.0


async def request_drain(node: Node) -> None:
    """Publish the state ``draining``, so that callers' lists no longer include it."""
    if not node.is_draining:
        node.is_draining = True
        logs.log(logs.INFO, "drain_begins")
        await node.cluster.membership.publish_draining()


async def withdraw_drain(node: Node) -> None:
    """Cancel a drain and publish that this node serves again."""
    if node.is_draining:
        node.is_draining = False
        logs.log(logs.INFO, "drain_withdrawn")
        await node.cluster.publish_serving()


async def wait_for_stop(node: Node, lifecycle: Lifecycle) -> None:
    """Wait for a stop signal, then until the graceful stop has ended.

    A ``SIGINT`` that follows the stop signal ends the graceful stop at once.
    """
    await lifecycle.wait_for_stop()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on_interrupt, lifecycle, tasks.cancel_scope)
        tasks.start_soon(request_drain, node)
        with anyio.move_on_after(_get_deadline_s(node)):
            await anyio.sleep(_get_linger_s(node))
            while is_busy(node):
                await anyio.sleep(POLL_INTERVAL_S)
            await _flush_claims(node)
        tasks.cancel_scope.cancel()
    if is_busy(node):
        log_interrupted_requests(node)


async def _flush_claims(node: Node) -> None:
    """Wait up to ``CLAIM_FLUSH_TIMEOUT_S`` for pending claim writes and releases.

    Other nodes answer ``may_have_run`` for claims that were not written, which is
    correct. The wait is limited because a table outage of an hour must not keep a node
    from stopping.
    """
    with anyio.move_on_after(CLAIM_FLUSH_TIMEOUT_S) as scope:
        await node.cluster.claims.wait_flushed()
    if scope.cancelled_caught:
        node.metrics.count("unflushed_stops_total")
        logs.log(logs.WARNING, "stop_leaves_claims_unwritten")


def is_busy(node: Node) -> bool:
    """Return whether a request is open or a stream is running."""
    return bool(node.n_open_requests or node.streams.n_running)


def log_interrupted_requests(node: Node) -> None:
    """Log the requests that a stop interrupts before they are finished."""
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


async def _cancel_on_interrupt(lifecycle: Lifecycle, scope: anyio.CancelScope) -> None:
    await lifecycle.wait_for_interrupt()
    logs.log(logs.WARNING, "stop_interrupted")
    scope.cancel()


def _get_linger_s(node: Node) -> float:
    configured_s = node.settings.stop.linger_s
    declarations = node.get_declarations()
    if configured_s >= 0 or declarations is None:
        return max(0.0, configured_s)
    return compute_linger_s(declarations.fleet)


def _get_deadline_s(node: Node) -> float:
    return node.settings.stop.deadline_s or float("inf")
