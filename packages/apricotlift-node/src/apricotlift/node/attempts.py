"""Runs a prompt on engines until its answer is complete.

An interrupted attempt is resumed by offset on the same engine. If that engine no
longer holds the stream, the next attempt continues on another engine from the text
received so far. It uses the same slot, so an answer never mixes weight versions.
"""

import random
from dataclasses import dataclass, field, replace

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.core.hashing import digest
from apricotlift.node.enginestreams import RESUMABLE_CODES, read_engine_stream
from apricotlift.node.identity import CallerIdentity
from apricotlift.node.placement import PrefixLocations, PromptPrefix
from apricotlift.node.runtime import Decision, Node
from apricotlift.node.streams import StreamState
from apricotlift.policy.admission import AdmissionRequest, RequestClass
from apricotlift.policy.retries import FailedAttempt, RetrySettings, decide_retry
from apricotlift.policy.routing import Plan
from apricotlift.state.declarations import Declarations, Upstream
from apricotlift.state.suspects import QuarantinedRun
from apricotlift.upstreams.engine import GenerateCall
from apricotlift.upstreams.pool import Timeouts
from apricotlift.wire.messages import (
    ClearSuspect,
    PrefixRun,
    RecordAttempt,
    RecordRuns,
    ReportCrash,
)

MAX_RESUMES = 3
MAX_HEALTH_CHECKS = 3
CRASH_REPORT_TIMEOUT_S = 0.5
_HEALTH_CHECK_INTERVAL_S = 0.05

#: Failures after which an attempt on another engine may succeed.
_RETRYABLE_CODES = (
    *RESUMABLE_CODES,
    Code.STREAM_LOST,
    Code.UPSTREAM_CONNECT,
    Code.UPSTREAM_CRASHED,
    Code.UPSTREAM_FULL,
    Code.UPSTREAM_DRAINING,
    Code.SLOT_NOT_LOADED,
    Code.WEIGHT_VERSION_MISMATCH,
)
#: Failures that don't indicate an unhealthy engine.
_HEALTHY_CODES = (Code.UPSTREAM_FULL, Code.UPSTREAM_DRAINING, Code.SLOT_NOT_LOADED)
_RETRY_SETTINGS = RetrySettings()


@dataclass(frozen=True)
class PromptCall:
    """An admitted prompt, pinned to one slot.

    :param prompt: empty if the caller resumes without sending the prompt again.
    :param deadline: time in seconds on the clock of :mod:`apricotlift.core.clocks`.
    """

    identity: CallerIdentity
    request_id: str
    request_key: str
    body_digest: str
    model: str
    slot: str
    prompt: str
    max_tokens: int
    cache_salt: str
    deadline: float
    prefix: PromptPrefix
    priority: int = 0
    seed: int = 0
    temperature: float | None = None
    stop: tuple[str, ...] = ()


@dataclass(frozen=True)
class RetainedAttempt:
    """An attempt of another node whose stream an engine still holds."""

    upstream: Upstream
    attempt_id: str
    attempt_number: int


@dataclass
class _PromptRun:
    """State shared by all attempts of one prompt.

    :param locations: where the prefix is cached.
    :param tried: names of the engines that were tried.
    :param may_have_run: whether an attempt reached an engine. The refusal of a later
        attempt then doesn't mean that the prompt did not run.
    """

    call: PromptCall
    stream: StreamState
    locations: PrefixLocations = field(default_factory=PrefixLocations)
    tried: set[str] = field(default_factory=set)
    n_attempts: int = 0
    may_have_run: bool = False


def build_request_key(account: str, request_id: str) -> str:
    """Return the key of a request, which no other account can produce."""
    return digest("request", account, request_id).hex()[:24]


def build_cache_salt(secret: str, account: str, slot: str) -> str:
    """Return the salt that separates accounts in an engine's prefix cache."""
    return digest("salt", secret, account, slot).hex()


async def run_prompt(
    node: Node,
    call: PromptCall,
    stream: StreamState,
    retained: RetainedAttempt | None = None,
) -> None:
    """Run a prompt and write its answer to the stream; never raises.

    At the end the request is released with ``node.release_request``. With ``retained``
    it isn't, because such a request was never counted by ``node.admit_request``.

    :param retained: an attempt of another node to read to its end before a new
        attempt is started.
    """
    started = clocks.monotonic()
    try:
        timeout_s = max(0.0, call.deadline - clocks.monotonic())
        with stream.scope, anyio.move_on_after(timeout_s) as deadline_scope:
            await _run_attempts(node, _PromptRun(call, stream), retained)
        if stream.scope.cancelled_caught:
            raise ApricotliftError(
                Code.CANCELLED, "the caller cancelled the request", Ran.YES
            )
        if deadline_scope.cancelled_caught:
            raise ApricotliftError(
                Code.DEADLINE_EXCEEDED,
                "the request's deadline passed before the answer was complete",
                Ran.MAYBE,
            )
    except ApricotliftError as error:
        node.metrics.count("failed_answers_total", code=error.code)
        stream.fail(error)
    except Exception:
        logs.log_exception("prompt_failed", request_id=call.request_id)
        node.metrics.count("failed_answers_total", code=Code.INTERNAL)
        stream.fail(ApricotliftError(Code.INTERNAL, "internal error", Ran.MAYBE))
    finally:
        if not stream.is_finished:
            error = ApricotliftError(
                Code.STOPPING, "the node is shutting down", Ran.MAYBE
            )
            stream.fail(error)
        if retained is None:
            node.release_request(call.identity)
        logs.log(
            logs.INFO,
            "prompt_ended",
            request_id=call.request_id,
            account=call.identity.account,
            attempt=stream.attempt_id,
            upstream=stream.upstream,
            code=stream.error.code if stream.error else "ok",
            n_characters=stream.n_characters,
            seconds=round(clocks.monotonic() - started, 4),
        )


async def _run_attempts(
    node: Node, run: _PromptRun, retained: RetainedAttempt | None
) -> None:
    try:
        await _run_until_complete(node, run, retained)
    except ApricotliftError as error:
        if error.ran is Ran.NO and run.may_have_run:
            raise replace(error, ran=Ran.MAYBE) from error
        raise


async def _run_until_complete(
    node: Node, run: _PromptRun, retained: RetainedAttempt | None
) -> None:
    attempt_number = 0
    if retained is not None:
        run.may_have_run = True
        attempt_number = retained.attempt_number
        run.tried.add(retained.upstream.name)
        if await _read_retained_attempt(node, run, retained):
            return
    declarations = node.get_snapshot().declarations
    request = AdmissionRequest(
        f"{run.call.request_key}.{run.call.body_digest}",
        run.call.identity.account,
        RequestClass(run.call.priority),
        max(0.0, run.call.deadline - clocks.monotonic()),
        account_limit=int(
            declarations.get_setting(run.call.identity.account, "max_in_flight")
        ),
    )
    async with node.admission_queue.enter(request):
        await _try_engines(node, run, attempt_number)


async def _try_engines(node: Node, run: _PromptRun, attempt_number: int) -> None:
    """Start attempts until one completes or no retry is allowed.

    :param attempt_number: number of the previous attempt, 0 if there was none.
    """
    call = run.call
    budget = node.probes.get_retry_budget(call.model)
    budget.add_first_attempt()
    run.locations = await node.placer.locate(call.prefix)
    while True:
        attempt_number += 1
        run.n_attempts += 1
        attempt_id = f"{call.request_key}.{call.body_digest}.{attempt_number}"
        try:
            await _run_attempt(node, run, attempt_id)
            return
        except ApricotliftError as error:
            run.may_have_run |= error.ran is not Ran.NO
            if error.code not in _RETRYABLE_CODES:
                raise
            _log_failure(call, attempt_id, run.stream.upstream, error)
            failed = FailedAttempt(
                run.n_attempts,
                error.ran,
                time_left_s=call.deadline - clocks.monotonic(),
            )
            decision = decide_retry(failed, budget, _RETRY_SETTINGS, _RETRY_RANDOM)
            if not decision.retry:
                if decision.code is not None:
                    node.metrics.count("retries_refused_total", reason=decision.code)
                raise
            node.metrics.count("retries_total", reason=error.code, kind="attempt")
            await anyio.sleep(decision.delay_s)


_RETRY_RANDOM = random.Random()


async def _run_attempt(node: Node, run: _PromptRun, attempt_id: str) -> None:
    """Choose an engine and run one attempt on it."""
    call = run.call
    suspects = node.cluster.suspects
    fingerprint = call.prefix.fingerprint.hex()
    is_suspect = suspects.check(fingerprint, run.locations.n_crashes)
    declarations = node.get_snapshot().declarations
    plan = _choose_plan(node, run, declarations, is_suspect)
    upstream = declarations.upstreams[plan.upstream]
    run.tried.add(upstream.name)
    _store_decision(node, call, attempt_id, plan)
    quarantined: QuarantinedRun | None = None
    if is_suspect:
        quarantined = await suspects.begin_run(fingerprint, upstream.name)
        if quarantined is None:
            message = f"{upstream.name} already runs another suspect request"
            raise ApricotliftError(Code.UPSTREAM_FULL, message, retry_after_s=1.0)
    completed = False
    try:
        await _run_on_engine(node, run, plan, upstream, attempt_id)
        completed = True
    except ApricotliftError as error:
        await _report_if_crashed(node, run, upstream, error)
        raise
    finally:
        if quarantined is not None:
            suspects.end_run(quarantined, completed)
    if completed and suspects.count_crashes(fingerprint):
        # The request completed, so it did not cause the crash: it only ran at the same
        # time as the request that did.
        suspects.clear(fingerprint)
        message = ClearSuspect(call.prefix.shard_key, call.prefix.fingerprint)
        await node.cluster.send_to_owners(call.prefix.shard_key, message)


def _choose_plan(
    node: Node, run: _PromptRun, declarations: Declarations, is_suspect: bool
) -> Plan:
    call = run.call
    engines = [
        upstream
        for upstream in declarations.upstreams.values()
        if upstream.kind == "engine" and call.model in upstream.models
    ]
    if not engines:
        message = f"no engine is declared for model {call.model!r}"
        raise ApricotliftError(Code.NO_UPSTREAM, message)
    # This node doesn't know the load of engines that it doesn't probe, so they would
    # seem idle. They are candidates only if they hold the prefix, or if all probed
    # engines were tried.
    probed_names = {item.name for item in node.probes.choose_probed(engines)}
    known = probed_names | set(run.locations.engines)
    preferred = [item for item in engines if item.name in known - run.tried]
    return node.placer.choose_plan(
        call.prefix,
        run.locations,
        declarations,
        call.slot,
        preferred or engines,
        node.in_flight,
        run.tried,
        is_suspect,
        node.cluster.suspects.list_occupied_upstreams(),
    )


async def _run_on_engine(
    node: Node, run: _PromptRun, plan: Plan, upstream: Upstream, attempt_id: str
) -> None:
    call, stream = run.call, run.stream
    engine = node.get_engine(upstream)
    stream.attempt_id = attempt_id
    stream.upstream = upstream.name
    state = node.probes.get_state(upstream.name)
    # If the engine crashes before it sends headers, this attempt learns no boot id from
    # it, so the attempt starts with the last one known.
    stream.boot_id = state.boot_id
    ticket = state.breaker.begin(clocks.monotonic())
    if ticket is None:
        message = f"the circuit breaker of {upstream.name} is open"
        raise ApricotliftError(Code.UPSTREAM_CONNECT, message, Ran.NO)
    node.in_flight[upstream.name] = node.in_flight.get(upstream.name, 0) + 1
    succeeded = False
    try:
        if plan.n_fetched_blocks:
            declarations = node.get_snapshot().declarations
            await node.placer.fetch_blocks(
                plan,
                call.prefix,
                engine,
                declarations,
                call.identity.account,
                call.cache_salt,
            )
        await _record_attempt(node, call, attempt_id, upstream)
        await _generate(node, run, upstream, attempt_id)
        succeeded = True
    except ApricotliftError as error:
        succeeded = error.code in _HEALTHY_CODES or error.code is Code.CANCELLED
        raise
    except anyio.get_cancelled_exc_class():
        succeeded = True
        raise
    finally:
        node.in_flight[upstream.name] -= 1
        state.breaker.finish(ticket, succeeded, clocks.monotonic(), _RETRY_RANDOM)
    node.placer.update_estimates(plan, stream.usage, call.prefix.n_prompt_tokens)
    await _record_runs(node, call, upstream)
    node.exporter.submit(
        call.identity.account, call.cache_salt, upstream, call.prefix, run.locations
    )


async def _generate(
    node: Node, run: _PromptRun, upstream: Upstream, attempt_id: str
) -> None:
    """Start an attempt, and resume it by offset while the engine holds its stream."""
    call, stream = run.call, run.stream
    engine = node.get_engine(upstream)
    timeouts = Timeouts(read_s=node.settings.streams.first_token_timeout_s)
    generate_call = GenerateCall(
        attempt_id,
        call.slot,
        call.prompt,
        call.max_tokens,
        call.cache_salt,
        call.priority,
        call.seed,
        call.prefix.block_names,
        stream.text,
        call.temperature,
        call.stop,
    )
    n_resumes = 0
    while True:
        if n_resumes == 0:
            stream_context = engine.generate(generate_call, timeouts)
        else:
            stream_context = engine.resume(attempt_id, stream.n_characters, timeouts)
        try:
            await read_engine_stream(node, stream, upstream, attempt_id, stream_context)
            return
        except ApricotliftError as error:
            if error.code not in RESUMABLE_CODES or n_resumes >= MAX_RESUMES:
                if n_resumes and error.ran is Ran.NO:
                    # Only the resume was refused; the attempt itself had started.
                    raise replace(error, ran=Ran.MAYBE) from error
                raise
            n_resumes += 1
            node.metrics.count("retries_total", reason=error.code, kind="resume")


async def _read_retained_attempt(
    node: Node, run: _PromptRun, retained: RetainedAttempt
) -> bool:
    """Read the stream of another node's attempt.

    :returns: whether the answer is complete.
    :raises ApricotliftError: if the stream is interrupted and the prompt, which a new
        attempt would need, isn't known.
    """
    call, stream = run.call, run.stream
    stream.attempt_id = retained.attempt_id
    stream.upstream = retained.upstream.name
    engine = node.get_engine(retained.upstream)
    timeouts = Timeouts(read_s=node.settings.streams.first_token_timeout_s)
    for _ in range(MAX_RESUMES):
        stream_context = engine.resume(
            retained.attempt_id, stream.n_characters, timeouts
        )
        try:
            await read_engine_stream(
                node, stream, retained.upstream, retained.attempt_id, stream_context
            )
            return True
        except ApricotliftError as error:
            if error.code is Code.CANCELLED:
                raise
            node.metrics.count("retries_total", reason=error.code, kind="resume")
            if error.code not in RESUMABLE_CODES:
                if not call.prompt:
                    raise
                return False
    if not call.prompt:
        message = "the stream was interrupted and this node does not have its prompt"
        raise ApricotliftError(Code.STREAM_LOST, message, Ran.MAYBE)
    return False


async def _report_if_crashed(
    node: Node, run: _PromptRun, upstream: Upstream, error: ApricotliftError
) -> None:
    """Report the request as a crash suspect if the engine has crashed."""
    boot_id = run.stream.boot_id
    if error.code in _HEALTHY_CODES or error.ran is Ran.NO:
        return
    if not await _has_crashed(node, upstream, boot_id):
        return
    # The boot id of an engine that no probe has reached yet is unknown. The attempt id
    # then identifies the crash, so that it is still counted once.
    boot_id = boot_id or run.stream.attempt_id
    prefix = run.call.prefix
    node.metrics.count("upstream_crashes_total", upstream=upstream.name)
    suspects = node.cluster.suspects
    suspects.report_crash(prefix.fingerprint.hex(), upstream.name, boot_id)
    message = ReportCrash(prefix.shard_key, prefix.fingerprint, upstream.name, boot_id)
    # Wait until the owners have the report before the caller sees the failure.
    # Otherwise a caller that resends the prompt through another node could overtake
    # the report.
    await node.cluster.send_to_owners_and_wait(
        prefix.shard_key, message, CRASH_REPORT_TIMEOUT_S
    )


async def _has_crashed(node: Node, upstream: Upstream, boot_id: str) -> bool:
    """Return whether the engine process with the given boot id has ended."""
    engine = node.get_engine(upstream)
    for _ in range(MAX_HEALTH_CHECKS):
        try:
            health = await engine.get_health()
        except ApricotliftError as failure:
            if failure.code is Code.STREAM_BROKEN:
                # A pooled connection may have been lost together with the stream's
                # connection. Only if new connections break as well is the engine gone.
                await anyio.sleep(_HEALTH_CHECK_INTERVAL_S)
                continue
            # An engine that doesn't respond may be paused; a refused connection means
            # that it has crashed.
            is_refused = failure.code is Code.UPSTREAM_CONNECT
            node.probes.get_state(upstream.name).is_reachable = not is_refused
            return is_refused
        return bool(boot_id) and health.boot_id != boot_id
    return True


async def _record_attempt(
    node: Node, call: PromptCall, attempt_id: str, upstream: Upstream
) -> None:
    message = RecordAttempt(call.request_key, attempt_id, upstream.name, call.slot)
    await node.cluster.send_to_owners(call.request_key, message)


async def _record_runs(node: Node, call: PromptCall, upstream: Upstream) -> None:
    if not call.prefix.chain:
        return
    boot_id = node.probes.get_state(upstream.name).boot_id
    run = PrefixRun(upstream.name, False, boot_id, list(call.prefix.chain), 0, 0)
    message = RecordRuns(call.prefix.shard_key, [run])
    await node.cluster.send_to_owners(call.prefix.shard_key, message)


def _store_decision(node: Node, call: PromptCall, attempt_id: str, plan: Plan) -> None:
    version = node.get_snapshot().version
    node.record_decision(
        Decision(
            call.request_id, attempt_id, call.identity.account, version, plan.record
        )
    )


def _log_failure(
    call: PromptCall, attempt_id: str, upstream: str, error: ApricotliftError
) -> None:
    logs.log(
        logs.WARNING,
        "attempt_failed",
        request_id=call.request_id,
        account=call.identity.account,
        attempt=attempt_id,
        upstream=upstream,
        code=error.code,
        message=error.message,
    )
