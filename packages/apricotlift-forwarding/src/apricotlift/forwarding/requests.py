"""Serves one client request: attempts at servers until there is a final answer."""

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.forwarding.answers import (
    forward_events,
    forward_whole,
    get_first_timeout_s,
    is_event_stream,
)
from apricotlift.forwarding.attempts import Dispatch, open_attempt
from apricotlift.forwarding.facts import ClientRequest
from apricotlift.forwarding.occupancy import occupy
from apricotlift.forwarding.placement import Placement
from apricotlift.forwarding.runs import Reply, Run
from apricotlift.forwarding.runtime import Runtime
from apricotlift.forwarding.servers import ServerHandle
from apricotlift.forwarding.suspects import build_fingerprint
from apricotlift.forwarding.targets import choose_service, choose_target
from apricotlift.policy.retries import FailedAttempt, RetrySettings, decide_retry

#: Arrivals that servers refused, after which a request is refused too.
_N_REFUSALS_MAX = 4

_BACKOFF_S = 0.005


async def serve_request(node: Runtime, request: ClientRequest, reply: Reply) -> str:
    """Serve a request to its end and return the outcome for the log.

    :raises ApricotliftError: for a refusal or a failure; where the reply has begun,
        its connection has to be closed.
    """
    fingerprint = build_fingerprint(request)
    node.suspects.check(fingerprint)
    service = choose_service(node, request)
    run = Run(request, service, fingerprint, node.budgets.get(service.name))
    run.last_event_id = request.last_event_id
    run.budget.add_first_attempt()
    with anyio.move_on_after(max(0.0, run.time_left_s)) as scope:
        await _try_servers(node, run, reply)
    if scope.cancelled_caught:
        is_client = request.deadline_at >= request.client_deadline_at
        code = Code.DEADLINE_EXCEEDED if is_client else Code.ROUTE_TIMEOUT
        raise ApricotliftError(code, "the time for the request is over", Ran.MAYBE)
    return run.outcome


async def _try_servers(node: Runtime, run: Run, reply: Reply) -> None:
    while True:
        try:
            placement, dispatch = choose_target(node, run)
        except ApricotliftError as error:
            if run.n_ran:
                raise _mark_maybe(error) from error
            raise
        try:
            await _run_attempt(node, run, dispatch, placement, reply)
            return
        except ApricotliftError as error:
            delay_s = _decide(node, run, dispatch.handle, error, reply)
            if delay_s is None:
                if run.kept is not None and not reply.is_started:
                    answer = run.kept
                    await reply.send_whole(answer.status, answer.headers, answer.body)
                    run.outcome = f"kept_{answer.status}"
                    return
                if run.n_ran and error.ran is Ran.NO:
                    raise _mark_maybe(error) from error
                raise
            await anyio.sleep(delay_s)


def _mark_maybe(error: ApricotliftError) -> ApricotliftError:
    return ApricotliftError(error.code, error.message, Ran.MAYBE, error.scope)


def _decide(
    node: Runtime,
    run: Run,
    handle: ServerHandle,
    error: ApricotliftError,
    reply: Reply,
) -> float | None:
    """Return the wait before the next attempt, ``None`` for none."""
    route = run.request.route
    if error.ran is Ran.NO:
        run.n_refused += 1
        n_attempts, n_max = run.n_refused, _N_REFUSALS_MAX
    else:
        run.n_ran += 1
        n_attempts, n_max = run.n_ran, route.n_servers_max
    if not error.details.get("try_again"):
        run.tried.add(handle.server.server_id)
    if reply.is_started and not route.is_resumable:
        decision_code, is_retried, delay_s = Code.MAY_HAVE_RUN, False, 0.0
    elif error.code is Code.UPSTREAM_CONNECT and run.n_refused < n_max:
        # Nothing arrived at a server, so the shared budget isn't touched.
        decision_code, is_retried, delay_s = None, True, 0.0
    else:
        failed = FailedAttempt(
            n_attempts, error.ran, run.is_repeatable, run.time_left_s
        )
        settings = RetrySettings(n_attempts_max=n_max, backoff_s=_BACKOFF_S)
        decision = decide_retry(failed, run.budget, settings, node.random)
        decision_code, is_retried = decision.code, decision.retry
        delay_s = decision.delay_s
    if is_retried:
        node.metrics.count("retries_total", reason=error.code)
    elif decision_code is not None:
        node.metrics.count("retries_refused_total", reason=decision_code)
    logs.log(
        logs.INFO,
        "attempt_failed",
        request_id=run.request.request_id,
        server=handle.server.server_id,
        code=error.code,
        ran=error.ran,
        reason=error.message,
        retry=is_retried,
        refused_by=decision_code,
        budget=round(run.budget.n_saved, 1),
        last_event=run.last_event_id,
        time_left_s=round(run.time_left_s, 3),
    )
    return delay_s if is_retried else None


async def _run_attempt(
    node: Runtime,
    run: Run,
    dispatch: Dispatch,
    placement: Placement | None,
    reply: Reply,
) -> None:
    request = run.request
    handle = dispatch.handle
    run.n_attempts += 1
    run.server_id = handle.server.server_id
    _log_attempt(node, run, handle, placement)
    async with (
        occupy(node, run, handle, placement) as held,
        open_attempt(
            node.dialect.headers, request, dispatch, get_first_timeout_s(run)
        ) as answer,
    ):
        is_stream = request.route.is_stream and is_event_stream(answer)
        if is_stream and answer.status < 300:
            await forward_events(run, answer, reply, held)
        else:
            await forward_whole(run, answer, reply)
    run.outcome = run.outcome or str(answer.status)


def _log_attempt(
    node: Runtime, run: Run, handle: ServerHandle, placement: Placement | None
) -> None:
    knowledge = node.knowledge
    now = clocks.monotonic()
    fields = {}
    if placement is not None:
        fields = {
            "weights": placement.weights,
            "n_reused": placement.n_reused,
            "n_fetched": placement.n_fetched,
            "n_read": placement.n_read,
            "cost_s": round(placement.cost_s, 4),
        }
    logs.log(
        logs.INFO,
        "attempt",
        request_id=run.request.request_id,
        number=run.n_attempts,
        route=run.request.route.name,
        service=run.service.name,
        server=handle.server.server_id,
        n_in_flight=handle.n_in_flight,
        failure_share=round(handle.get_failure_share(now), 3),
        breaker=handle.breaker.state,
        config_version=knowledge.configuration.version,
        config_age_s=round(knowledge.operator_feed.age_s, 2),
        servers_age_s=round(knowledge.servers_feed.age_s, 2),
        **fields,
    )
