"""An attempt of a request from its start at a server to its last byte."""

import math
from collections.abc import AsyncIterator
from contextlib import AbstractContextManager, AsyncExitStack, nullcontext
from dataclasses import dataclass, field

from apricotlift.core import clocks, logs
from apricotlift.forwarding.attempts import Dispatch, open_attempt
from apricotlift.forwarding.attempttracking import AttemptTracker, track_attempt
from apricotlift.forwarding.entities import ClientRequest
from apricotlift.forwarding.pendingprompts import PendingPrompt
from apricotlift.forwarding.placement import Placement
from apricotlift.forwarding.requeststate import RequestState
from apricotlift.forwarding.residency import build_residency
from apricotlift.forwarding.runtime import Runtime
from apricotlift.upstreams.persistentconnections import StreamedResponse


@dataclass
class RunningAttempt:
    """One attempt that is under way.

    :param stack: closes the connection and stops counting the attempt.
    :param due_at: time from which the server counts as silent.
    :param is_reading: whether the node waits for the server, not for the client.
    :param upstream_response: set once the response's headers have been received.
    :param chunks: the body of a stream, where reading it has begun.
    :param body: the body of another response, where it has been read.
    """

    dispatch: Dispatch
    placement: Placement | None
    tracker: AttemptTracker
    stack: AsyncExitStack
    due_at: float = math.inf
    is_reading: bool = True
    upstream_response: StreamedResponse | None = None
    chunks: AsyncIterator[bytes] | None = field(default=None, repr=False)
    body: bytes | None = field(default=None, repr=False)

    @property
    def server_id(self) -> str:
        """The server that the attempt runs at."""
        return self.dispatch.handle.server.server_id

    @property
    def silent_in_s(self) -> float:
        """Seconds until the server counts as silent; not above 0 if it does now."""
        return self.due_at - clocks.monotonic()

    async def open(self, node: Runtime, request_state: RequestState) -> None:
        """Send the request and wait for the headers of the response.

        :raises ApricotliftError: as :func:`~.attempts.open_attempt`.
        """
        request = request_state.request
        pending = self.stack.enter_context(_watch_prompt(node, request, self.placement))
        self.upstream_response = await self.stack.enter_async_context(
            open_attempt(
                node,
                request,
                self.dispatch,
                max(0.01, request_state.time_left_s),
                pending,
            )
        )


async def start_attempt(
    stack: AsyncExitStack,
    node: Runtime,
    request_state: RequestState,
    placement: Placement | None,
    dispatch: Dispatch,
) -> RunningAttempt:
    """Count an attempt at its server; the stack ends it."""
    request_state.n_attempts += 1
    handle = dispatch.handle
    _log_attempt(node, request_state, dispatch, placement)
    tracker = await stack.enter_async_context(
        track_attempt(node, request_state, handle, placement)
    )
    return RunningAttempt(dispatch, placement, tracker, stack)


def _watch_prompt(
    node: Runtime, request: ClientRequest, placement: Placement | None
) -> AbstractContextManager[PendingPrompt | None]:
    if placement is None:
        return nullcontext()
    return node.pending_prompts.watch(request.prompt.model, placement.weight_version)


def _log_attempt(
    node: Runtime,
    request_state: RequestState,
    dispatch: Dispatch,
    placement: Placement | None,
) -> None:
    routing_state = node.routing_state
    handle = dispatch.handle
    now = clocks.monotonic()
    fields = {}
    residency = build_residency(request_state.request, node.settings.regions)
    if residency.regions is not None:
        fields["allowed_regions"] = sorted(residency.regions)
        fields["region"] = residency.get_region(handle.server.failure_domain)
    if placement is not None:
        fields |= {
            "weights": placement.weight_version,
            "n_reused": placement.n_reused,
            "n_fetched": placement.n_fetched,
            "n_read": placement.n_read,
            "cost_s": round(placement.cost_s, 4),
        }
        successor = routing_state.weight_targets.find_successor(
            request_state.request.prompt.model, placement.weight_version
        )
        if successor is not None:
            node.metrics.count("attempts_on_old_weights_total")
            fields["named_weights"] = successor.version
            fields["named_weights_age_s"] = round(now - successor.named_after, 3)
    logs.log(
        logs.INFO,
        "attempt",
        request_id=request_state.request.request_id,
        number=request_state.n_attempts,
        route=request_state.request.route.name,
        service=request_state.service.name,
        server=handle.server.server_id,
        n_in_flight=handle.n_in_flight,
        failure_share=round(handle.get_failure_share(now), 3),
        breaker=handle.breaker.state,
        config_version=routing_state.configuration.version,
        config_age_s=round(routing_state.operator_feed.age_s, 2),
        servers_age_s=round(routing_state.servers_feed.age_s, 2),
        **fields,
    )
