"""Serves one client request: attempts at servers until there is a final response."""

from contextlib import AbstractContextManager, nullcontext

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.forwarding.attempts import Dispatch, open_attempt
from apricotlift.forwarding.attempttracking import track_attempt
from apricotlift.forwarding.availability import NOT_SENT_CODES
from apricotlift.forwarding.entities import ClientRequest
from apricotlift.forwarding.pendingprompts import PendingPrompt
from apricotlift.forwarding.placement import Placement
from apricotlift.forwarding.requeststate import ClientResponse, RequestState
from apricotlift.forwarding.responses import (
    forward_buffered_response,
    forward_event_stream,
    get_response_timeout_s,
    is_event_stream,
)
from apricotlift.forwarding.runtime import Runtime
from apricotlift.forwarding.servers import ServerHandle
from apricotlift.forwarding.serverselection import choose_service, choose_target
from apricotlift.forwarding.suspects import build_fingerprint
from apricotlift.policy.retries import FailedAttempt, RetrySettings, decide_retry

#: Number of attempts that servers may reject without running the request, or that fail
#: to connect, before the request is refused to the client.
_MAX_REFUSED_ATTEMPTS = 4

_RETRY_BACKOFF_S = 0.005

#: After these errors the request has reached no server.
_UNCHARGED_CODES = (Code.UPSTREAM_CONNECT, *NOT_SENT_CODES)

#: Number of engines that a prompt may be sent to if one of them has crashed before its
#: answer was under way.
_MAX_ENGINES_CRASHED = 2


async def serve_request(
    node: Runtime, request: ClientRequest, response: ClientResponse
) -> str:
    """Serve a request until its response is complete.

    :returns: the outcome for the log.
    :raises ApricotliftError: if the request is refused or fails. If the response has
        been started, the caller has to close the client connection.
    """
    fingerprint = build_fingerprint(request)
    node.suspects.check(fingerprint, request.prompt)
    service = choose_service(node, request)
    request_state = RequestState(
        request, service, fingerprint, node.budgets.get(service.name)
    )
    request_state.last_event_id = request.last_event_id
    request_state.retry_budget.add_first_attempt()
    with anyio.move_on_after(max(0.0, request_state.time_left_s)) as scope:
        await _attempt_until_final(node, request_state, response)
    if scope.cancelled_caught:
        is_client_limit = request.deadline_at >= request.client_deadline_at
        code = Code.DEADLINE_EXCEEDED if is_client_limit else Code.ROUTE_TIMEOUT
        raise ApricotliftError(
            code, "the request was not completed before its deadline", Ran.MAYBE
        )
    return request_state.outcome


async def _attempt_until_final(
    node: Runtime, request_state: RequestState, response: ClientResponse
) -> None:
    while True:
        try:
            placement, dispatch = choose_target(node, request_state)
        except ApricotliftError as error:
            if request_state.n_possibly_run:
                raise _mark_as_possibly_run(error) from error
            raise
        try:
            await _run_attempt(node, request_state, dispatch, placement, response)
            return
        except ApricotliftError as error:
            await _wait_for_crash_check(request_state)
            delay_s = _decide_retry_delay(
                node, request_state, dispatch.handle, error, response
            )
            if delay_s is None:
                if (
                    request_state.fallback_response is not None
                    and not response.is_started
                ):
                    fallback = request_state.fallback_response
                    await response.send_complete(
                        fallback.status, fallback.headers, fallback.body
                    )
                    request_state.outcome = f"kept_{fallback.status}"
                    return
                if request_state.n_possibly_run and error.ran is Ran.NO:
                    raise _mark_as_possibly_run(error) from error
                raise
            await anyio.sleep(delay_s)


async def _wait_for_crash_check(request_state: RequestState) -> None:
    """Wait until it is known whether the last attempt's engine has crashed."""
    check, request_state.crash_check = request_state.crash_check, None
    if check is not None:
        await check.done.wait()
        request_state.n_crashes += check.is_crash


def _may_crash_another(node: Runtime, request_state: RequestState) -> bool:
    """Return whether crashes forbid to send a request to another server."""
    if request_state.n_crashes and request_state.n_possibly_run >= _MAX_ENGINES_CRASHED:
        return True
    prompt = request_state.request.prompt
    return node.suspects.is_refused(request_state.fingerprint, prompt)


def _mark_as_possibly_run(error: ApricotliftError) -> ApricotliftError:
    return ApricotliftError(error.code, error.message, Ran.MAYBE, error.scope)


def _decide_retry_delay(
    node: Runtime,
    request_state: RequestState,
    handle: ServerHandle,
    error: ApricotliftError,
    response: ClientResponse,
) -> float | None:
    """Decide whether to retry after a failed attempt, and record the failure.

    :returns: seconds to wait before the next attempt, or ``None`` to stop retrying.
    """
    route = request_state.request.route
    if error.ran is Ran.NO:
        request_state.n_refused += 1
        n_attempts, n_max = request_state.n_refused, _MAX_REFUSED_ATTEMPTS
    else:
        request_state.n_possibly_run += 1
        n_attempts, n_max = request_state.n_possibly_run, route.n_servers_max
    if not error.details.get("try_again"):
        request_state.tried_server_ids.add(handle.server.server_id)
    if response.is_started and not route.is_resumable:
        decision_code, is_retried, delay_s = Code.MAY_HAVE_RUN, False, 0.0
    elif _may_crash_another(node, request_state):
        decision_code = Code.REQUEST_CRASHES_UPSTREAM
        is_retried, delay_s = False, 0.0
    elif error.code in _UNCHARGED_CODES and request_state.n_refused < n_max:
        # The request reached no server, so the retry isn't charged to the budget that
        # all nodes share.
        decision_code, is_retried, delay_s = None, True, 0.0
    else:
        failed = FailedAttempt(
            n_attempts,
            error.ran,
            request_state.is_repeatable,
            request_state.time_left_s,
        )
        settings = RetrySettings(n_attempts_max=n_max, backoff_s=_RETRY_BACKOFF_S)
        decision = decide_retry(
            failed, request_state.retry_budget, settings, node.random
        )
        decision_code, is_retried = decision.code, decision.retry
        delay_s = decision.delay_s
    if is_retried:
        node.metrics.count("retries_total", reason=error.code)
    elif decision_code is not None:
        node.metrics.count("retries_refused_total", reason=decision_code)
    logs.log(
        logs.INFO,
        "attempt_failed",
        request_id=request_state.request.request_id,
        server=handle.server.server_id,
        code=error.code,
        ran=error.ran,
        reason=error.message,
        retry=is_retried,
        refused_by=decision_code,
        budget=round(request_state.retry_budget.n_available, 1),
        last_event=request_state.last_event_id,
        time_left_s=round(request_state.time_left_s, 3),
    )
    return delay_s if is_retried else None


async def _run_attempt(
    node: Runtime,
    request_state: RequestState,
    dispatch: Dispatch,
    placement: Placement | None,
    response: ClientResponse,
) -> None:
    request = request_state.request
    handle = dispatch.handle
    request_state.n_attempts += 1
    request_state.server_id = handle.server.server_id
    _log_attempt(node, request_state, handle, placement)
    timeout_s = get_response_timeout_s(request_state)
    due_at = clocks.monotonic() + timeout_s
    with _watch_prompt(node, request, placement) as pending:
        async with (
            track_attempt(node, request_state, handle, placement) as tracker,
            open_attempt(
                node, request, dispatch, timeout_s, pending
            ) as upstream_response,
        ):
            is_stream = request.route.is_stream and is_event_stream(upstream_response)
            if is_stream and upstream_response.status < 300:
                await forward_event_stream(
                    request_state, upstream_response, response, tracker
                )
            else:
                await forward_buffered_response(
                    request_state, upstream_response, response, due_at
                )
            if upstream_response.status < 300:
                tracker.note_complete(is_stream)
    request_state.outcome = request_state.outcome or str(upstream_response.status)


def _watch_prompt(
    node: Runtime, request: ClientRequest, placement: Placement | None
) -> AbstractContextManager[PendingPrompt | None]:
    if placement is None:
        return nullcontext()
    return node.pending_prompts.watch(request.prompt.model, placement.weight_version)


def _log_attempt(
    node: Runtime,
    request_state: RequestState,
    handle: ServerHandle,
    placement: Placement | None,
) -> None:
    routing_state = node.routing_state
    now = clocks.monotonic()
    fields = {}
    if placement is not None:
        fields = {
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
