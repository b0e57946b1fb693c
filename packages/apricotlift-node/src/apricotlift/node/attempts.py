"""Runs a prompt on engines until its answer is whole.

An attempt that breaks off is resumed at the same engine by offset. When the engine
has lost it, the next attempt continues on another engine from the text that is
already there, on the same slot, so one answer never mixes weight versions.
"""

import random
from dataclasses import dataclass, field, replace

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.core.hashing import digest
from apricotlift.node.identity import Identity
from apricotlift.node.placement import Located, Prefix
from apricotlift.node.reading import RESUMABLE, follow
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
N_HEALTH_CHECKS = 3
_HEALTH_PAUSE_S = 0.05

#: Failures after which another engine may do better.
_RETRYABLE = (
    *RESUMABLE,
    Code.STREAM_LOST,
    Code.UPSTREAM_CONNECT,
    Code.UPSTREAM_CRASHED,
    Code.UPSTREAM_FULL,
    Code.UPSTREAM_DRAINING,
    Code.SLOT_NOT_LOADED,
    Code.WEIGHT_VERSION_MISMATCH,
)
#: Failures that say nothing about the health of the engine.
_HEALTHY = (Code.UPSTREAM_FULL, Code.UPSTREAM_DRAINING, Code.SLOT_NOT_LOADED)
_RETRY_SETTINGS = RetrySettings()


@dataclass(frozen=True)
class PromptCall:
    """An admitted prompt, pinned to one slot.

    :param prompt: empty where a caller resumes without sending the prompt again.
    :param deadline: on the clock of :mod:`apricotlift.core.clocks`.
    """

    identity: Identity
    request_id: str
    request_key: str
    body_digest: str
    model: str
    slot: str
    prompt: str
    max_tokens: int
    cache_salt: str
    deadline: float
    prefix: Prefix
    priority: int = 0
    seed: int = 0
    temperature: float | None = None
    stop: tuple[str, ...] = ()


@dataclass(frozen=True)
class KeptAttempt:
    """An attempt that another node has started and an engine still holds."""

    upstream: Upstream
    attempt_id: str
    number: int


@dataclass
class _Run:
    """What one prompt's attempts share.

    :param may_have_run: an attempt reached an engine, so a refusal of a later one
        doesn't mean that the prompt did not run.
    """

    call: PromptCall
    stream: StreamState
    located: Located = field(default_factory=Located)
    tried: set[str] = field(default_factory=set)
    n_attempts: int = 0
    may_have_run: bool = False


def build_request_key(account: str, request_id: str) -> str:
    """Return the name of a request that no other account can produce."""
    return digest("request", account, request_id).hex()[:24]


def build_cache_salt(secret: str, account: str, slot: str) -> str:
    """Return the salt that keeps an engine's prefix cache apart by account."""
    return digest("salt", secret, account, slot).hex()


async def run_prompt(
    node: Node,
    call: PromptCall,
    stream: StreamState,
    kept: KeptAttempt | None = None,
) -> None:
    """Run a prompt and fill its stream; never raises.

    The admission that the caller took is given back at the end.

    :param kept: an attempt to follow first, before any new one is made.
    """
    started = clocks.monotonic()
    try:
        timeout_s = max(0.0, call.deadline - clocks.monotonic())
        with stream.scope, anyio.move_on_after(timeout_s) as deadline_scope:
            await _run_attempts(node, _Run(call, stream), kept)
        if stream.scope.cancelled_caught:
            raise ApricotliftError(Code.CANCELLED, "cancelled by its caller", Ran.YES)
        if deadline_scope.cancelled_caught:
            raise ApricotliftError(
                Code.DEADLINE_EXCEEDED, "the deadline has passed", Ran.MAYBE
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
            error = ApricotliftError(Code.STOPPING, "the node stops", Ran.MAYBE)
            stream.fail(error)
        if kept is None:
            node.end(call.identity)
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


async def _run_attempts(node: Node, run: _Run, kept: KeptAttempt | None) -> None:
    try:
        await _run_until_whole(node, run, kept)
    except ApricotliftError as error:
        if error.ran is Ran.NO and run.may_have_run:
            raise replace(error, ran=Ran.MAYBE) from error
        raise


async def _run_until_whole(node: Node, run: _Run, kept: KeptAttempt | None) -> None:
    number = 0
    if kept is not None:
        run.may_have_run = True
        number = kept.number
        run.tried.add(kept.upstream.name)
        if await _follow_kept(node, run, kept):
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
    async with node.gate.enter(request):
        await _try_engines(node, run, number)


async def _try_engines(node: Node, run: _Run, number: int) -> None:
    """Make attempts until one is whole or no retry is left.

    :param number: number of the last attempt that was made before.
    """
    call = run.call
    budget = node.probes.get_budget(call.model)
    budget.add_first_attempt()
    run.located = await node.placer.locate(call.prefix)
    while True:
        number += 1
        run.n_attempts += 1
        attempt_id = f"{call.request_key}.{call.body_digest}.{number}"
        try:
            await _run_attempt(node, run, attempt_id)
            return
        except ApricotliftError as error:
            run.may_have_run |= error.ran is not Ran.NO
            if error.code not in _RETRYABLE:
                raise
            _log_failure(call, attempt_id, run.stream.upstream, error)
            failed = FailedAttempt(
                run.n_attempts,
                error.ran,
                time_left_s=call.deadline - clocks.monotonic(),
            )
            decision = decide_retry(failed, budget, _RETRY_SETTINGS, _RANDOM)
            if not decision.retry:
                if decision.code is not None:
                    node.metrics.count("retries_refused_total", reason=decision.code)
                raise
            node.metrics.count("retries_total", reason=error.code, kind="attempt")
            await anyio.sleep(decision.delay_s)


_RANDOM = random.Random()


async def _run_attempt(node: Node, run: _Run, attempt_id: str) -> None:
    """Choose an engine and run one attempt on it."""
    call = run.call
    suspects = node.cluster.suspects
    fingerprint = call.prefix.fingerprint.hex()
    is_suspect = suspects.check(fingerprint, run.located.n_crashes)
    declarations = node.get_snapshot().declarations
    plan = _choose(node, run, declarations, is_suspect)
    upstream = declarations.upstreams[plan.upstream]
    run.tried.add(upstream.name)
    _keep_decision(node, call, attempt_id, plan)
    quarantined: QuarantinedRun | None = None
    if is_suspect:
        quarantined = await suspects.begin_run(fingerprint, upstream.name)
        if quarantined is None:
            message = f"another suspect runs on {upstream.name}"
            raise ApricotliftError(Code.UPSTREAM_FULL, message, retry_after_s=1.0)
    completed = False
    try:
        await _run_on_engine(node, run, plan, upstream, attempt_id)
        completed = True
    except ApricotliftError as error:
        await _note_failure(node, run, upstream, error)
        raise
    finally:
        if quarantined is not None:
            suspects.end_run(quarantined, completed)
    if completed and suspects.count_crashes(fingerprint):
        # It ran beside a request that crashed the engine, and is not the cause.
        suspects.clear(fingerprint)
        message = ClearSuspect(call.prefix.shard_key, call.prefix.fingerprint)
        await node.cluster.tell_owners(call.prefix.shard_key, message)


def _choose(
    node: Node, run: _Run, declarations: Declarations, is_suspect: bool
) -> Plan:
    call = run.call
    engines = [
        upstream
        for upstream in declarations.upstreams.values()
        if upstream.kind == "engine" and call.model in upstream.models
    ]
    if not engines:
        message = f"no engine is declared for {call.model!r}"
        raise ApricotliftError(Code.NO_UPSTREAM, message)
    # The load of other engines isn't known here, so they would look idle. They
    # take part where they hold the prefix, and when all probed ones were tried.
    probed = {item.name for item in node.probes.choose_probed(engines)}
    known = probed | set(run.located.engines)
    narrowed = [item for item in engines if item.name in known - run.tried]
    return node.placer.choose(
        call.prefix,
        run.located,
        declarations,
        call.slot,
        narrowed or engines,
        node.in_flight,
        run.tried,
        is_suspect,
        node.cluster.suspects.list_occupied(),
    )


async def _run_on_engine(
    node: Node, run: _Run, plan: Plan, upstream: Upstream, attempt_id: str
) -> None:
    call, stream = run.call, run.stream
    engine = node.get_engine(upstream)
    stream.attempt_id = attempt_id
    stream.upstream = upstream.name
    state = node.probes.get_state(upstream.name)
    # An engine that crashes before its headers has told no boot id in this attempt.
    stream.boot_id = state.boot_id
    ticket = state.breaker.begin(clocks.monotonic())
    if ticket is None:
        message = f"the breaker of {upstream.name} is open"
        raise ApricotliftError(Code.UPSTREAM_CONNECT, message, Ran.NO)
    node.in_flight[upstream.name] = node.in_flight.get(upstream.name, 0) + 1
    succeeded = False
    try:
        if plan.n_fetched_blocks:
            declarations = node.get_snapshot().declarations
            await node.placer.fetch(
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
        succeeded = error.code in _HEALTHY or error.code is Code.CANCELLED
        raise
    except anyio.get_cancelled_exc_class():
        succeeded = True
        raise
    finally:
        node.in_flight[upstream.name] -= 1
        state.breaker.finish(ticket, succeeded, clocks.monotonic(), _RANDOM)
    node.placer.learn(plan, stream.usage, call.prefix.n_prompt_tokens)
    await _record_runs(node, call, upstream)
    node.exporter.submit(
        call.identity.account, call.cache_salt, upstream, call.prefix, run.located
    )


async def _generate(node: Node, run: _Run, upstream: Upstream, attempt_id: str) -> None:
    """Start the attempt; resume it by offset while the engine still holds it."""
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
            opened = engine.generate(generate_call, timeouts)
        else:
            opened = engine.resume(attempt_id, stream.n_characters, timeouts)
        try:
            await follow(node, stream, upstream, attempt_id, opened)
            return
        except ApricotliftError as error:
            if error.code not in RESUMABLE or n_resumes >= MAX_RESUMES:
                if n_resumes and error.ran is Ran.NO:
                    # Only the resume was refused; the attempt itself had begun.
                    raise replace(error, ran=Ran.MAYBE) from error
                raise
            n_resumes += 1
            node.metrics.count("retries_total", reason=error.code, kind="resume")


async def _follow_kept(node: Node, run: _Run, kept: KeptAttempt) -> bool:
    """Follow another node's attempt; return whether the answer is whole.

    :raises ApricotliftError: when it breaks off and there is no prompt to go on with.
    """
    call, stream = run.call, run.stream
    stream.attempt_id = kept.attempt_id
    stream.upstream = kept.upstream.name
    engine = node.get_engine(kept.upstream)
    timeouts = Timeouts(read_s=node.settings.streams.first_token_timeout_s)
    for _ in range(MAX_RESUMES):
        opened = engine.resume(kept.attempt_id, stream.n_characters, timeouts)
        try:
            await follow(node, stream, kept.upstream, kept.attempt_id, opened)
            return True
        except ApricotliftError as error:
            if error.code is Code.CANCELLED:
                raise
            node.metrics.count("retries_total", reason=error.code, kind="resume")
            if error.code not in RESUMABLE:
                if not call.prompt:
                    raise
                return False
    if not call.prompt:
        message = "the stream broke off and its prompt is not known here"
        raise ApricotliftError(Code.STREAM_LOST, message, Ran.MAYBE)
    return False


async def _note_failure(
    node: Node, run: _Run, upstream: Upstream, error: ApricotliftError
) -> None:
    """Find out whether the engine crashed, and report the request if it did."""
    boot_id = run.stream.boot_id
    if error.code in _HEALTHY or error.ran is Ran.NO or not boot_id:
        return
    if not await _has_crashed(node, upstream, boot_id):
        return
    prefix = run.call.prefix
    node.metrics.count("upstream_crashes_total", upstream=upstream.name)
    suspects = node.cluster.suspects
    suspects.report_crash(prefix.fingerprint.hex(), upstream.name, boot_id)
    message = ReportCrash(prefix.shard_key, prefix.fingerprint, upstream.name, boot_id)
    await node.cluster.tell_owners(prefix.shard_key, message)


async def _has_crashed(node: Node, upstream: Upstream, boot_id: str) -> bool:
    """Return whether the engine process of a boot id is gone."""
    engine = node.get_engine(upstream)
    for _ in range(N_HEALTH_CHECKS):
        try:
            health = await engine.get_health()
        except ApricotliftError as failure:
            if failure.code is Code.STREAM_BROKEN:
                # A kept connection may have been lost with the stream's; only a new
                # one that breaks too shows that nobody answers.
                await anyio.sleep(_HEALTH_PAUSE_S)
                continue
            # A silent engine may be paused; a refused connection shows a crash.
            is_refused = failure.code is Code.UPSTREAM_CONNECT
            node.probes.get_state(upstream.name).is_reachable = not is_refused
            return is_refused
        return health.boot_id != boot_id
    return True


async def _record_attempt(
    node: Node, call: PromptCall, attempt_id: str, upstream: Upstream
) -> None:
    message = RecordAttempt(call.request_key, attempt_id, upstream.name, call.slot)
    await node.cluster.tell_owners(call.request_key, message)


async def _record_runs(node: Node, call: PromptCall, upstream: Upstream) -> None:
    if not call.prefix.chain:
        return
    boot_id = node.probes.get_state(upstream.name).boot_id
    run = PrefixRun(upstream.name, False, boot_id, list(call.prefix.chain), 0, 0)
    message = RecordRuns(call.prefix.shard_key, [run])
    await node.cluster.tell_owners(call.prefix.shard_key, message)


def _keep_decision(node: Node, call: PromptCall, attempt_id: str, plan: Plan) -> None:
    version = node.get_snapshot().version
    node.keep_decision(
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
