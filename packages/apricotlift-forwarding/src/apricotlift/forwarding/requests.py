"""Serves one client request: attempts at servers until there is a final response."""

import anyio
from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.forwarding.attempts import Dispatch
from apricotlift.forwarding.entities import ClientRequest
from apricotlift.forwarding.hedging import HedgedAttempts
from apricotlift.forwarding.placement import Placement
from apricotlift.forwarding.requeststate import ClientResponse, RequestState
from apricotlift.forwarding.retrydecisions import (
    decide_retry_delay,
    record_replaced_attempt,
    wait_for_crash_check,
)
from apricotlift.forwarding.runtime import Runtime
from apricotlift.forwarding.serverselection import choose_service, choose_target
from apricotlift.forwarding.suspects import build_fingerprint


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
    attempts = HedgedAttempts(node, request_state, response)
    try:
        while not await _run_next_attempt(node, attempts):
            pass
    finally:
        await attempts.discard_successor()


async def _run_next_attempt(node: Runtime, attempts: HedgedAttempts) -> bool:
    """Run an attempt, or go on with one that has replaced the last one.

    :returns: whether the response is final; ``False`` to run another attempt.
    :raises ApricotliftError: if there must not be another attempt.
    """
    request_state = attempts.request_state
    running = attempts.take_successor()
    if running is None:
        placement, dispatch = _choose_next_target(node, request_state)
    else:
        dispatch = running.dispatch
    try:
        if running is None:
            await attempts.start(placement, dispatch)
        else:
            await attempts.resume(running)
    except ApricotliftError as error:
        await wait_for_crash_check(request_state)
        if attempts.successor is not None:
            record_replaced_attempt(request_state, dispatch.handle, error)
            return False
        return await _retry_or_end(node, attempts, dispatch, error)
    request_state.outcome = request_state.outcome or str(attempts.response.status)
    return True


def _choose_next_target(
    node: Runtime, request_state: RequestState
) -> tuple[Placement | None, Dispatch]:
    try:
        return choose_target(node, request_state)
    except ApricotliftError as error:
        if request_state.n_possibly_run:
            raise _mark_as_possibly_run(error) from error
        raise


async def _retry_or_end(
    node: Runtime,
    attempts: HedgedAttempts,
    dispatch: Dispatch,
    error: ApricotliftError,
) -> bool:
    """Wait for the next attempt after a failed one, or send a server's own failure.

    :returns: whether the response is final.
    :raises ApricotliftError: if there must not be another attempt.
    """
    request_state, response = attempts.request_state, attempts.response
    delay_s = decide_retry_delay(
        node, request_state, dispatch.handle, error, response.is_started
    )
    if delay_s is not None:
        await anyio.sleep(delay_s)
        return False
    fallback = request_state.fallback_response
    if fallback is not None and not response.is_started:
        await response.send_complete(fallback.status, fallback.headers, fallback.body)
        request_state.outcome = f"kept_{fallback.status}"
        return True
    if request_state.n_possibly_run and error.ran is Ran.NO:
        raise _mark_as_possibly_run(error) from error
    raise error


def _mark_as_possibly_run(error: ApricotliftError) -> ApricotliftError:
    return ApricotliftError(error.code, error.message, Ran.MAYBE, error.scope)
