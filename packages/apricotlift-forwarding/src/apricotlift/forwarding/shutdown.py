"""The graceful shutdown of a forwarding node.

The node is no longer named to clients, but accepts requests for some seconds more. It
then refuses them, completes those that are open, and waits until clients have taken the
responses. What is open at the end of the grace period gets an error.
"""

import anyio
from apricotlift.core import logs
from apricotlift.forwarding.listeners import HttpServer, wait_until_sent
from apricotlift.forwarding.runtime import Runtime
from apricotlift.forwarding.weightrollout import WeightRollout

#: A node that shuts down accepts new requests for this long, because clients cache its
#: address.
_DRAIN_PERIOD_S = 3.0
#: With a short grace period, new requests are accepted for at most this share of it, so
#: that the last ones can be completed.
_MAX_DRAIN_SHARE = 0.5
#: Part of the grace period that is reserved for the exit of the process itself.
_SHUTDOWN_MARGIN_S = 0.8
#: Time for the error responses of requests that are cut off.
_CUT_PERIOD_S = 0.2
_STOP_POLL_INTERVAL_S = 0.05


async def shut_down(
    node: Runtime, http_servers: list[HttpServer], weight_rollout: WeightRollout
) -> None:
    """Complete the open requests within the grace period, then leave the cluster.

    The node is removed from the directory and reports that it isn't ready first, so
    that clients switch to other addresses while it still accepts requests.
    """
    node.is_draining = True
    limit_s = max(0.0, node.settings.bounds.grace_s - _SHUTDOWN_MARGIN_S)
    with anyio.move_on_after(limit_s):
        async with anyio.create_task_group() as tasks:
            # Calls of a store that is silent must not delay what follows.
            tasks.start_soon(_announce_drain, node, weight_rollout)
            await anyio.sleep(min(_DRAIN_PERIOD_S, limit_s * _MAX_DRAIN_SHARE))
            node.is_stopping = True
            for server in http_servers:
                server.should_exit = True
            while node.n_open_requests:
                await anyio.sleep(_STOP_POLL_INTERVAL_S)
            await wait_until_sent(http_servers)
            tasks.cancel_scope.cancel()
    if node.n_open_requests:
        logs.log(logs.WARNING, "stop_cuts_requests", n_requests=node.n_open_requests)
        node.cut_requests()
        with anyio.move_on_after(_CUT_PERIOD_S):
            while node.n_open_requests:
                await anyio.sleep(_STOP_POLL_INTERVAL_S)
            await wait_until_sent(http_servers)
    n_unsent_bytes = sum(server.n_unsent_bytes for server in http_servers)
    if n_unsent_bytes:
        logs.log(logs.WARNING, "stop_cuts_responses", n_unsent_bytes=n_unsent_bytes)
    with anyio.move_on_after(0.3):
        await node.membership.leave()


async def _announce_drain(node: Runtime, weight_rollout: WeightRollout) -> None:
    await node.membership.publish_draining()
    await weight_rollout.release()
