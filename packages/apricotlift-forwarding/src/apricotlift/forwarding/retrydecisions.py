"""Decides whether a request may be sent to another server; records failed attempts."""

from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.forwarding.availability import NOT_SENT_CODES
from apricotlift.forwarding.requeststate import RequestState
from apricotlift.forwarding.runtime import Runtime
from apricotlift.forwarding.servers import ServerHandle
from apricotlift.policy.retries import FailedAttempt, RetrySettings, decide_retry

#: Number of attempts that servers may reject without running the request, or that fail
#: to connect, before the request is refused to the client.
MAX_REFUSED_ATTEMPTS = 4

_RETRY_BACKOFF_S = 0.005

#: After these errors the request has reached no server.
_UNCHARGED_CODES = (Code.UPSTREAM_CONNECT, *NOT_SENT_CODES)

#: Number of engines that a prompt may be sent to if one of them has crashed before its
#: answer was under way.
_MAX_ENGINES_CRASHED = 2


async def wait_for_crash_check(request_state: RequestState) -> None:
    """Wait until it is known whether the engines of failed attempts have crashed."""
    while request_state.crash_checks:
        check = request_state.crash_checks.pop()
        await check.done.wait()
        request_state.n_crashes += check.is_crash


def decide_retry_delay(
    node: Runtime,
    request_state: RequestState,
    handle: ServerHandle,
    error: ApricotliftError,
    is_response_started: bool,
) -> float | None:
    """Decide whether to retry after a failed attempt, and record the failure.

    :returns: seconds to wait before the next attempt, or ``None`` to stop retrying.
    """
    route = request_state.request.route
    n_attempts, n_max = _count_failure(request_state, handle, error)
    if is_response_started and not route.is_resumable:
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
    _log_failure(request_state, handle, error, is_retried, decision_code)
    return delay_s if is_retried else None


def record_replaced_attempt(
    request_state: RequestState, handle: ServerHandle, error: ApricotliftError
) -> None:
    """Record a failed attempt that another one has already replaced."""
    _count_failure(request_state, handle, error)
    _log_failure(request_state, handle, error, True, None)


def record_failed_hedge(
    node: Runtime,
    request_state: RequestState,
    handle: ServerHandle,
    error: ApricotliftError,
) -> None:
    """Record a second attempt that failed while the first one goes on."""
    _count_failure(request_state, handle, error)
    node.metrics.count("hedges_failed_total", reason=error.code)
    _log_failure(request_state, handle, error, False, None)


def take_hedge(node: Runtime, request_state: RequestState) -> Code | None:
    """Take a second attempt from the retry budget while the first one is silent.

    :returns: why there must not be one, ``None`` if it may be started.
    """
    if request_state.n_refused >= MAX_REFUSED_ATTEMPTS:
        return Code.UPSTREAM_FULL
    if not request_state.may_try_another:
        return Code.MAY_HAVE_RUN
    if _may_crash_another(node, request_state):
        return Code.REQUEST_CRASHES_UPSTREAM
    if not request_state.retry_budget.take():
        return Code.RETRY_BUDGET_EXHAUSTED
    node.metrics.count("retries_total", reason=Code.UPSTREAM_SILENT)
    return None


def _count_failure(
    request_state: RequestState, handle: ServerHandle, error: ApricotliftError
) -> tuple[int, int]:
    """Count a failed attempt.

    :returns: the number of attempts that count like this one, and their limit.
    """
    if not error.details.get("try_again"):
        request_state.tried_server_ids.add(handle.server.server_id)
    if error.ran is Ran.NO:
        request_state.n_refused += 1
        return request_state.n_refused, MAX_REFUSED_ATTEMPTS
    request_state.n_possibly_run += 1
    return request_state.n_possibly_run, request_state.request.route.n_servers_max


def _may_crash_another(node: Runtime, request_state: RequestState) -> bool:
    """Return whether crashes forbid to send a request to another server."""
    if request_state.n_crashes and request_state.n_possibly_run >= _MAX_ENGINES_CRASHED:
        return True
    prompt = request_state.request.prompt
    return node.suspects.is_refused(request_state.fingerprint, prompt)


def _log_failure(
    request_state: RequestState,
    handle: ServerHandle,
    error: ApricotliftError,
    is_retried: bool,
    refused_by: Code | None,
) -> None:
    logs.log(
        logs.INFO,
        "attempt_failed",
        request_id=request_state.request.request_id,
        server=handle.server.server_id,
        code=error.code,
        ran=error.ran,
        reason=error.message,
        retry=is_retried,
        refused_by=refused_by,
        budget=round(request_state.retry_budget.n_available, 1),
        last_event=request_state.last_event_id,
        time_left_s=round(request_state.time_left_s, 3),
    )
