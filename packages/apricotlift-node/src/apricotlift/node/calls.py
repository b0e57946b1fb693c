"""Routing of calls to plain services.

A call whose rule says ``repeat = never`` is sent under a claim, so that it runs at
most once however often its caller repeats it. Other calls may be retried on another
upstream, within the retry budget.
"""

import re
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from random import Random
from urllib.parse import unquote

import anyio
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.hashing import digest
from apricotlift.core.metrics import Metrics
from apricotlift.node.callheaders import filter_request_headers, filter_response_headers
from apricotlift.state.claimrows import UNCLEAR_RESULT, CallResult
from apricotlift.state.claims import Claim, ClaimManager, ClaimState, RecordedResult
from apricotlift.state.declarations import Declarations, Upstream
from apricotlift.state.snapshots import Snapshot
from apricotlift.upstreams.pool import Pool, Response, Timeouts
from apricotlift.upstreams.service import ServiceCall as UpstreamCall
from apricotlift.upstreams.service import ServiceClient

MAX_KEY_CHARACTERS = 255
_RETRIED_STATUSES = (502, 503, 504)
_METHOD_PATTERN = re.compile(r"[A-Z]{1,16}")
_KEY_PATTERN = re.compile(r"[\x21-\x7e]+")
#: The timeouts of a call expire in a fixed order. The connect timeout is first: if no
#: connection was opened, the call is known not to have run. The cancel scope of the
#: deadline follows, and the pool's other timeouts are last.
_DEADLINE_SLACK_S = 0.1
_TIMEOUT_SLACK_S = 1.0


@dataclass(frozen=True)
class RoutedCall:
    """A call whose caller has been authenticated.

    :param path: the path at the service, with a leading slash.
    :param query: the raw query without the question mark.
    :param headers: values by lower-case name.
    :param deadline_at: time in seconds on the boot-time clock, ``None`` for the default
        of the fleet.
    """

    account: str
    service: str
    method: str
    path: str
    query: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    idempotency_key: str = ""
    deadline_at: float | None = None


@dataclass(frozen=True)
class ServiceAnswer:
    """The answer that the caller receives.

    :param upstream: name of the upstream that answered; empty for a recorded answer.
    :param is_replay: whether this is the recorded answer of an earlier call.
    :param key_expires_at_ms: time from which a call with the same key counts as a new
        call; 0 if the call has no key or its record is not yet written.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    upstream: str = ""
    n_attempts: int = 0
    is_replay: bool = False
    key_expires_at_ms: int = 0


@dataclass(frozen=True)
class CallSettings:
    """Limits of a routed call."""

    max_attempts: int = 3
    connect_timeout_s: float = 1.0
    max_answer_bytes: int = 16_777_216


@dataclass
class CallContext:
    """State and dependencies shared by all routed calls of a node.

    :param take_retry: takes one retry from a service's budget; returns false if none is
        left.
    :param is_upstream_draining: returns whether the named upstream accepts no new
        calls.
    :param n_in_flight: number of this node's running calls by upstream name.
    """

    pool: Pool
    claims: ClaimManager
    metrics: Metrics
    take_retry: Callable[[str], bool]
    is_upstream_draining: Callable[[str], bool]
    settings: CallSettings = field(default_factory=CallSettings)
    clock: Callable[[], float] = clocks.monotonic
    random: Random = field(default_factory=Random)
    n_in_flight: dict[str, int] = field(default_factory=dict)


async def run_call(
    call: RoutedCall, snapshot: Snapshot, context: CallContext
) -> ServiceAnswer:
    """Run a call and return its answer.

    :raises ApricotliftError: if the call is refused or fails; ``ran`` tells whether it
        ran at an upstream.
    """
    try:
        answer = await _run(call, snapshot.declarations, context)
    except ApricotliftError as error:
        context.metrics.count(
            "service_refusals_total", code=error.code, ran=str(error.ran)
        )
        raise
    kind = "replay" if answer.is_replay else f"{answer.status // 100}xx"
    context.metrics.count("service_answers_total", kind=kind)
    return answer


async def _run(
    call: RoutedCall, declarations: Declarations, context: CallContext
) -> ServiceAnswer:
    _check_call(call)
    account = declarations.accounts.get(call.account)
    if account is None or call.service not in account.services:
        # The message is the same for services of other accounts and for services that
        # don't exist, so that it doesn't reveal which services exist.
        message = f"no service named {call.service!r} for this account"
        raise ApricotliftError(Code.UNKNOWN_SERVICE, message)
    if call.deadline_at is None:
        default_ms = declarations.get_setting(call.account, "default_deadline_ms")
        call = replace(call, deadline_at=context.clock() + default_ms / 1000)
    if find_repeat_rule(call, declarations) == "safe":
        return await _run_safe_call(call, declarations, context)
    _check_key(call.idempotency_key)
    claim = await context.claims.claim(
        call.account, call.idempotency_key, _digest_call(call)
    )
    if isinstance(claim, RecordedResult):
        result = claim.result
        return ServiceAnswer(
            result.status,
            result.headers,
            result.body,
            is_replay=True,
            key_expires_at_ms=claim.expires_at_ms,
        )
    try:
        return await _run_claimed_call(call, claim, declarations, context)
    finally:
        if claim.state is ClaimState.CONFIRMED:
            with anyio.CancelScope(shield=True):
                await context.claims.release(claim)


def find_repeat_rule(call: RoutedCall, declarations: Declarations) -> str:
    """Return whether a call may be repeated: ``safe`` or ``never``.

    A service may percent-decode the path before it interprets it, so a call is safe
    only if both the raw and the decoded path are safe.
    """
    paths = {call.path, unquote(call.path)}
    found = {declarations.find_rule(call.service, call.method, path) for path in paths}
    return "safe" if found == {"safe"} else "never"


async def _run_safe_call(
    call: RoutedCall, declarations: Declarations, context: CallContext
) -> ServiceAnswer:
    tried: list[str] = []
    ran = Ran.NO
    while True:
        upstream = _choose_upstream(call, declarations, context, tried)
        tried.append(upstream.name)
        is_last = len(tried) >= context.settings.max_attempts
        try:
            response = await _send(call, upstream, context, repeatable=True)
        except ApricotliftError as error:
            ran = Ran.NO if ran is error.ran is Ran.NO else Ran.MAYBE
            is_final = error.code in (Code.BAD_REQUEST, Code.DEADLINE_EXCEEDED)
            if (
                is_final
                or is_last
                or not _has_other_candidate(call, declarations, context, tried)
            ):
                raise replace(error, ran=ran) from error
            if not _take_retry(call, context, error.code):
                raise _build_budget_error(call, error, ran) from error
            continue
        can_retry = response.status in _RETRIED_STATUSES and not is_last
        if can_retry and _has_other_candidate(call, declarations, context, tried):
            ran = Ran.MAYBE
            if _take_retry(call, context, f"status_{response.status}"):
                continue
        return _build_answer(response, upstream, len(tried))


async def _run_claimed_call(
    call: RoutedCall, claim: Claim, declarations: Declarations, context: CallContext
) -> ServiceAnswer:
    tried: list[str] = []
    while True:
        upstream = _choose_upstream(call, declarations, context, tried)
        tried.append(upstream.name)
        _get_remaining_s(call, context)
        context.claims.begin_dispatch(claim)
        # A call that was sent must be recorded even if its caller disconnects.
        with anyio.CancelScope(shield=True):
            try:
                response = await _send(call, upstream, context, repeatable=False)
            except ApricotliftError as error:
                if error.ran is not Ran.NO:
                    await context.claims.record(claim, UNCLEAR_RESULT)
                    raise _build_unclear_error(error) from error
                context.claims.retract_dispatch(claim)
                error_before_run = error
            except BaseException:
                await context.claims.record(claim, UNCLEAR_RESULT)
                raise
            else:
                answer = _build_answer(response, upstream, len(tried))
                result = CallResult(answer.status, answer.headers, answer.body)
                await context.claims.record(claim, result)
                return replace(answer, key_expires_at_ms=claim.row.expires_at_ms)
        is_final = error_before_run.code is Code.BAD_REQUEST
        is_last = len(tried) >= context.settings.max_attempts
        if (
            is_final
            or is_last
            or not _has_other_candidate(call, declarations, context, tried)
        ):
            raise error_before_run
        if not _take_retry(call, context, error_before_run.code):
            raise _build_budget_error(
                call, error_before_run, Ran.NO
            ) from error_before_run


async def _send(
    call: RoutedCall, upstream: Upstream, context: CallContext, repeatable: bool
) -> Response:
    remaining_s = _get_remaining_s(call, context)
    headers = filter_request_headers(call.headers)
    headers["x-deadline-ms"] = str(max(1, int(remaining_s * 1000)))
    if call.idempotency_key:
        headers["idempotency-key"] = call.idempotency_key
    target = f"{call.path}?{call.query}" if call.query else call.path
    upstream_call = UpstreamCall(call.method, target, headers, call.body, repeatable)
    client = ServiceClient(
        upstream.name, upstream.address, context.pool, context.metrics, upstream.tls
    )
    io_timeout_s = remaining_s + _TIMEOUT_SLACK_S
    connect_s = min(context.settings.connect_timeout_s, remaining_s)
    timeouts = Timeouts(connect_s, io_timeout_s, io_timeout_s)
    with _count_in_flight(upstream.name, context):
        with anyio.move_on_after(remaining_s + _DEADLINE_SLACK_S):
            return await client.call(
                upstream_call, timeouts, context.settings.max_answer_bytes
            )
        message = f"{upstream.name} did not answer within {remaining_s:.3f} s"
        raise ApricotliftError(Code.DEADLINE_EXCEEDED, message, Ran.MAYBE)


@contextmanager
def _count_in_flight(upstream: str, context: CallContext) -> Iterator[None]:
    context.n_in_flight[upstream] = context.n_in_flight.get(upstream, 0) + 1
    try:
        yield
    finally:
        context.n_in_flight[upstream] -= 1


def _choose_upstream(
    call: RoutedCall,
    declarations: Declarations,
    context: CallContext,
    tried: list[str],
) -> Upstream:
    """Return the upstream with the fewest running calls from this node."""
    candidates = _list_candidates(call, declarations, context, tried)
    if not candidates:
        message = f"no upstream of service {call.service!r} accepts new calls"
        raise ApricotliftError(
            Code.NO_UPSTREAM, message, Ran.NO, Scope.UPSTREAM, retry_after_s=1.0
        )
    candidates_with_room = [
        upstream
        for upstream in candidates
        if context.n_in_flight.get(upstream.name, 0) < upstream.max_in_flight
    ]
    if not candidates_with_room:
        message = (
            f"all upstreams of service {call.service!r} are at their limit of calls "
            "in flight"
        )
        raise ApricotliftError(
            Code.UPSTREAM_FULL, message, Ran.NO, Scope.UPSTREAM, retry_after_s=1.0
        )
    # Ties are broken at random, so that idle nodes don't all choose the same upstream.
    return min(
        candidates_with_room,
        key=lambda item: (
            context.n_in_flight.get(item.name, 0),
            context.random.random(),
        ),
    )


def _list_candidates(
    call: RoutedCall,
    declarations: Declarations,
    context: CallContext,
    tried: list[str],
) -> list[Upstream]:
    return [
        upstream
        for upstream in declarations.upstreams.values()
        if upstream.kind == "service"
        and upstream.service == call.service
        and upstream.name not in tried
        and not upstream.drain
        and not context.is_upstream_draining(upstream.name)
    ]


def _has_other_candidate(
    call: RoutedCall,
    declarations: Declarations,
    context: CallContext,
    tried: list[str],
) -> bool:
    return any(
        context.n_in_flight.get(upstream.name, 0) < upstream.max_in_flight
        for upstream in _list_candidates(call, declarations, context, tried)
    )


def _take_retry(call: RoutedCall, context: CallContext, reason: str) -> bool:
    if not context.take_retry(call.service):
        context.metrics.count("service_retries_refused_total", reason=reason)
        return False
    context.metrics.count("service_retries_total", reason=reason)
    return True


def _build_budget_error(
    call: RoutedCall, error: ApricotliftError, ran: Ran
) -> ApricotliftError:
    message = f"retry budget of service {call.service!r} exhausted after {error}"
    return ApricotliftError(
        Code.RETRY_BUDGET_EXHAUSTED, message, ran, Scope.UPSTREAM, retry_after_s=1.0
    )


def _build_unclear_error(error: ApricotliftError) -> ApricotliftError:
    code = error.code if error.code is Code.DEADLINE_EXCEEDED else Code.MAY_HAVE_RUN
    details = {"reason": str(error.code)}
    return ApricotliftError(code, error.message, Ran.MAYBE, details=details)


def _build_answer(
    response: Response, upstream: Upstream, n_attempts: int
) -> ServiceAnswer:
    headers = filter_response_headers(response.headers)
    return ServiceAnswer(
        response.status, headers, response.body, upstream.name, n_attempts
    )


def _digest_call(call: RoutedCall) -> str:
    return digest(
        "call",
        call.service,
        call.method,
        call.path,
        call.query,
        call.headers.get("content-type", ""),
        call.body,
    ).hex()


def _get_remaining_s(call: RoutedCall, context: CallContext) -> float:
    remaining_s = call.deadline_at - context.clock()
    if remaining_s <= 0:
        message = "the deadline passed before the call was sent"
        raise ApricotliftError(Code.DEADLINE_EXCEEDED, message)
    return remaining_s


def _check_call(call: RoutedCall) -> None:
    if not _METHOD_PATTERN.fullmatch(call.method):
        message = f"method {call.method!r}, expected 1 to 16 capital letters"
        raise ApricotliftError(Code.BAD_REQUEST, message)
    decoded = unquote(call.path)
    is_plain = decoded.isprintable() and not set(decoded) & set("\\?#")
    # The service would resolve dot segments to another path than the one that was
    # matched against the rules.
    has_dots = any(part in (".", "..") for part in decoded.split("/"))
    if not call.path.startswith("/") or not is_plain or has_dots:
        message = (
            f"path {call.path!r}, expected a leading '/', printable characters other "
            "than '\\', '?' and '#', and no dot segments"
        )
        raise ApricotliftError(Code.BAD_REQUEST, message)
    if not (call.path + call.query).isascii():
        raise ApricotliftError(
            Code.BAD_REQUEST, "path and query must be percent-encoded ASCII"
        )


def _check_key(key: str) -> None:
    if not key:
        message = "a call that must not be repeated needs an idempotency-key header"
        raise ApricotliftError(Code.IDEMPOTENCY_KEY_MISSING, message)
    if len(key) > MAX_KEY_CHARACTERS or not _KEY_PATTERN.fullmatch(key):
        message = (
            f"idempotency-key of {len(key)} characters, expected 1 to "
            f"{MAX_KEY_CHARACTERS} visible ASCII characters"
        )
        raise ApricotliftError(Code.BAD_REQUEST, message)
