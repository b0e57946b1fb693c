"""Serves one client request: attempts at servers until there is a final answer."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Protocol

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.forwarding.attempts import Dispatch, open_attempt
from apricotlift.forwarding.events import EventSplitter
from apricotlift.forwarding.facts import ClientRequest, Prompt, Server, Service
from apricotlift.forwarding.peerloads import PeerLoads
from apricotlift.forwarding.placement import (
    EngineChoice,
    Placement,
    choose_saves,
    format_addresses,
    note_placed,
    place,
)
from apricotlift.forwarding.runtime import Runtime
from apricotlift.forwarding.servers import (
    LOAD_REFUSAL_S,
    ServerHandle,
    choose_server,
)
from apricotlift.forwarding.suspects import build_fingerprint
from apricotlift.policy.retries import (
    FailedAttempt,
    RetryBudget,
    RetrySettings,
    decide_retry,
)
from apricotlift.upstreams.kept import Exchange
from apricotlift.upstreams.service import HOP_HEADERS
from apricotlift.wire.messages import PlacementNote

MAX_ANSWER_BYTES = 33_554_432

#: Arrivals that servers refused, after which a request is refused too.
_N_REFUSALS_MAX = 4
_BACKOFF_S = 0.005

#: While another attempt is possible, one attempt gets this share of the time left.
_ATTEMPT_SHARE = 0.45

#: A stream that can go on elsewhere is taken to be stuck after this time without a
#: first event, as a multiple of the latency target, or without a next one.
_FIRST_EVENT_FACTOR = 3.0
_GAP_FACTOR = 4.0
_GAP_MIN_S = 1.0

_RETRY_AFTER_S = 0.3
_REFUSAL_S = 0.25
#: An unreachable server, or one whose address another one has, is left out so long.
_UNREACHABLE_S = 1.0

#: Engines that lack the named weights are left out this long before the bound.
_WEIGHTS_MARGIN_S = 1.0
#: From this time on, engines with the named weights are preferred.
_WEIGHTS_GRACE_S = 0.3

_SEVERE_STATUS = 500

Headers = list[tuple[str, str]]


class Reply(Protocol):
    """The answer to the client."""

    is_started: bool

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""

    async def begin(self, status: int, headers: Headers) -> None:
        """Begin an answer of unknown length."""

    async def send_piece(self, data: bytes) -> None:
        """Send a piece of it."""

    async def end(self) -> None:
        """Complete it."""


@dataclass(frozen=True)
class _Answer:
    status: int
    headers: Headers
    body: bytes


@dataclass
class _Run:
    """What one request's attempts share.

    :param n_ran: attempts that may have run.
    :param n_refused: attempts that servers refused.
    :param kept: a server's failure that is sent if no other attempt does better.
    """

    request: ClientRequest
    service: Service
    fingerprint: str
    budget: RetryBudget
    n_ran: int = 0
    n_refused: int = 0
    n_attempts: int = 0
    tried: set[str] = field(default_factory=set)
    kept: _Answer | None = None
    last_event_id: str | None = None
    outcome: str = ""
    server_id: str = ""

    @property
    def is_repeatable(self) -> bool:
        """Whether another attempt may follow one that may have run."""
        return self.request.route.is_repeatable

    @property
    def may_try_another(self) -> bool:
        """Whether another server may run it after the present attempt."""
        return self.is_repeatable and self.n_ran + 1 < self.request.route.n_servers_max

    @property
    def time_left_s(self) -> float:
        """Seconds until the request ends."""
        return self.request.deadline_at - clocks.monotonic()


async def serve_request(node: Runtime, request: ClientRequest, reply: Reply) -> str:
    """Serve a request to its end and return the outcome for the log.

    :raises ApricotliftError: for a refusal or a failure; where the reply has begun,
        its connection has to be closed.
    """
    fingerprint = build_fingerprint(request)
    node.suspects.check(fingerprint)
    service = _choose_service(node, request)
    run = _Run(request, service, fingerprint, node.budgets.get(service.name))
    run.last_event_id = request.last_event_id
    run.budget.add_first_attempt()
    with anyio.move_on_after(max(0.0, run.time_left_s)) as scope:
        await _try_servers(node, run, reply)
    if scope.cancelled_caught:
        is_client = request.deadline_at >= request.client_deadline_at
        code = Code.DEADLINE_EXCEEDED if is_client else Code.ROUTE_TIMEOUT
        raise ApricotliftError(code, "the time for the request is over", Ran.MAYBE)
    return run.outcome


def _choose_service(node: Runtime, request: ClientRequest) -> Service:
    shares = request.route.shares
    services = node.knowledge.configuration.services
    names = [name for name, _ in shares if name in services]
    if not names:
        message = f"route {request.route.name} names no known service"
        raise ApricotliftError(Code.NO_UPSTREAM, message, retry_after_s=_RETRY_AFTER_S)
    weights = [max(0.0, weight) for name, weight in shares if name in services]
    if not any(weights):
        weights = [1.0] * len(names)
    return services[node.random.choices(names, weights)[0]]


async def _try_servers(node: Runtime, run: _Run, reply: Reply) -> None:
    while True:
        try:
            placement, dispatch = _choose(node, run)
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


def _choose(node: Runtime, run: _Run) -> tuple[Placement | None, Dispatch]:
    request = run.request
    now = clocks.monotonic()
    listed = node.knowledge.list_servers(run.service.name)
    servers = [server for server in listed if server.server_id not in run.tried]
    if not servers:
        message = f"no server of {run.service.name}: {len(listed)} listed"
        raise ApricotliftError(
            Code.NO_UPSTREAM, message, Ran.NO, Scope.UPSTREAM, _RETRY_AFTER_S
        )
    if run.service.engine is not None and request.prompt is not None:
        return _choose_engine(node, run, servers, now)
    handles = [node.handles.get(server) for server in servers]
    handle = choose_server(handles, node.failure_domain, now, node.random)
    return None, Dispatch(handle, last_event_id=run.last_event_id)


def _choose_engine(
    node: Runtime, run: _Run, servers: list[Server], now: float
) -> tuple[Placement, Dispatch]:
    request = run.request
    prompt = request.prompt
    choices = _list_choices(node, prompt.model, servers, now)
    placement = place(
        prompt,
        request.account,
        run.service.engine,
        choices,
        node.index,
        now,
        node.random,
    )
    if placement is None:
        message = f"no engine of {run.service.name} has the weights of {prompt.model}"
        raise ApricotliftError(
            Code.SLOT_NOT_LOADED, message, Ran.NO, Scope.UPSTREAM, _RETRY_AFTER_S
        )
    saves = choose_saves(placement, prompt, node.index, now)
    note_placed(placement, prompt, node.index)
    names = node.dialect.headers
    headers = [(names.cache_salt, placement.salt)]
    account = request.account
    priority = request.route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    headers.append((names.priority, str(max(0, min(9, priority)))))
    if placement.weights is not None:
        headers.append((names.expected_weights, str(placement.weights)))
    is_apart = run.service.engine.takes_parts_apart
    if fetch := format_addresses(placement.fetch, is_apart):
        headers.append((names.kv_fetch, fetch))
    if save := format_addresses(saves, is_apart):
        headers.append((names.kv_save, save))
    dispatch = Dispatch(placement.handle, tuple(headers), run.last_event_id)
    return placement, dispatch


def _list_choices(
    node: Runtime, model: str, servers: list[Server], now: float
) -> list[EngineChoice]:
    """Return the engines that may run the model, with the version each one has."""
    target = node.knowledge.targets.get(model)
    next_ones = node.list_next_ordered(model)
    choices = []
    for server in servers:
        if server.weights and model not in server.weights:
            continue
        weights = node.get_weights(server, model)
        is_replaced = target is not None and (weights or 0) < target.version
        is_outdated = False
        replaced_at = None
        if is_replaced:
            replaced_at = target.noticed_at
            age_s = now - target.noticed_at
            if age_s > node.weights_limit_s - _WEIGHTS_MARGIN_S:
                continue
            # An engine that is ordered next should have few runs left by then.
            is_outdated = age_s > _WEIGHTS_GRACE_S or server.server_id in next_ones
        handle = node.handles.get(server)
        is_doubtful = handle.refuses_until > now or not handle.breaker.allows(now)
        n_ahead = node.peer_loads.get_tokens(server.server_id)
        choices.append(
            EngineChoice(
                handle,
                weights,
                peer_tokens=n_ahead,
                replaced_at=replaced_at,
                is_doubtful=is_doubtful,
                is_outdated=is_outdated,
            )
        )
    return choices


def _decide(
    node: Runtime,
    run: _Run,
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
    run: _Run,
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
        _hold(node, run, handle, placement) as held,
        open_attempt(
            node.dialect.headers, request, dispatch, _get_first_timeout_s(run)
        ) as answer,
    ):
        is_stream = request.route.is_stream and _is_event_stream(answer)
        if is_stream and answer.status < 300:
            await _forward_events(run, answer, reply, held)
        else:
            await _forward_whole(run, answer, reply)
    run.outcome = run.outcome or str(answer.status)


def _get_first_timeout_s(run: _Run) -> float:
    route = run.request.route
    left_s = max(0.01, run.time_left_s)
    if not run.may_try_another:
        return left_s
    if route.is_stream:
        limit_s = _FIRST_EVENT_FACTOR * route.target_latency_s
        return min(left_s, max(limit_s, _ATTEMPT_SHARE * left_s * 0.5))
    return _ATTEMPT_SHARE * left_s


def _is_event_stream(answer: Exchange) -> bool:
    kind = answer.get_header("content-type") or ""
    return kind.startswith("text/event-stream")


def _select_headers(answer: Exchange) -> Headers:
    named = (answer.get_header("connection") or "").lower().split(",")
    dropped = HOP_HEADERS.union(item.strip() for item in named)
    return [item for item in answer.headers if item[0] not in dropped]


async def _forward_whole(run: _Run, answer: Exchange, reply: Reply) -> None:
    body = await answer.read(MAX_ANSWER_BYTES)
    whole = _Answer(answer.status, _select_headers(answer), body)
    if answer.status >= _SEVERE_STATUS and (run.may_try_another or reply.is_started):
        if not reply.is_started:
            run.kept = whole
        message = f"{run.server_id} failed with status {answer.status}"
        raise ApricotliftError(Code.UPSTREAM_FAILED, message, Ran.MAYBE, Scope.UPSTREAM)
    if reply.is_started:
        message = f"{run.server_id} answered a resumed stream with {answer.status}"
        raise ApricotliftError(Code.STREAM_BROKEN, message, Ran.MAYBE, Scope.UPSTREAM)
    await reply.send_whole(whole.status, whole.headers, whole.body)


async def _forward_events(
    run: _Run, answer: Exchange, reply: Reply, held: "_HeldPlace"
) -> None:
    splitter = EventSplitter()
    pieces = answer.iterate().__aiter__()
    while True:
        piece = await _read_piece(run, pieces, held.has_first)
        if piece is None:
            break
        events = splitter.feed(piece)
        data = b"".join(event.data for event in events if _is_next(run, event.event_id))
        if not data:
            continue
        held.note_first()
        if not reply.is_started:
            await reply.begin(answer.status, _select_headers(answer))
        await reply.send_piece(data)
    if splitter.rest.strip():
        message = f"{run.server_id} ended its stream inside an event"
        raise ApricotliftError(Code.STREAM_BROKEN, message, Ran.MAYBE, Scope.UPSTREAM)
    if not reply.is_started:
        await reply.begin(answer.status, _select_headers(answer))
    await reply.end()


async def _read_piece(
    run: _Run, pieces: AsyncIterator[bytes], has_first: bool
) -> bytes | None:
    """Return the next piece, ``None`` at the end.

    A silent server is given up only where another one can go on.
    """
    if not run.may_try_another:
        return await anext(pieces, None)
    route = run.request.route
    timeout_s = max(_GAP_MIN_S, _GAP_FACTOR * route.target_gap_s)
    if not has_first:
        timeout_s = max(timeout_s, _FIRST_EVENT_FACTOR * route.target_latency_s)
    with anyio.move_on_after(timeout_s) as scope:
        return await anext(pieces, None)
    if scope.cancelled_caught:
        message = f"{run.server_id} sent nothing for {timeout_s:.2f} s"
        raise ApricotliftError(Code.UPSTREAM_SILENT, message, Ran.MAYBE, Scope.UPSTREAM)
    return None


def _is_next(run: _Run, event_id: str | None) -> bool:
    """Note an event's id; false for one that the client has."""
    if event_id is None:
        return True
    last = run.last_event_id
    is_numbered = last is not None and last.isdigit() and event_id.isdigit()
    if is_numbered and int(event_id) <= int(last):
        return False
    run.last_event_id = event_id
    return True


@dataclass
class _HeldPlace:
    """What an attempt takes of its server, until its first event and its end."""

    handle: ServerHandle
    peer_loads: PeerLoads
    placement: Placement | None
    prompt: Prompt | None
    started_at: float
    has_first: bool = False
    is_reading: bool = False

    def begin_reading(self) -> None:
        """Note that the prompt is being read."""
        if self.placement is not None:
            self.is_reading = True
            self.handle.prefill_tokens += self.placement.n_read
            self._tell(is_read=False)

    def note_first(self) -> None:
        """Note the first event."""
        if not self.has_first:
            self.has_first = True
            self.handle.note_latency(clocks.monotonic() - self.started_at)
            self.end_reading()

    def end_reading(self) -> None:
        """Note that the prompt has been read, or was given up."""
        if self.is_reading:
            self.is_reading = False
            self.handle.prefill_tokens -= self.placement.n_read
            self._tell(is_read=True)

    def _tell(self, is_read: bool) -> None:
        server = self.handle.server
        parts = [part.part_id for part in self.prompt.parts[:-1]]
        self.peer_loads.tell(
            PlacementNote(
                server.server_id,
                server.address,
                self.placement.n_read,
                is_read,
                self.placement.salt,
                [] if is_read else parts,
            )
        )


@asynccontextmanager
async def _hold(
    node: Runtime, run: _Run, handle: ServerHandle, placement: Placement | None
) -> AsyncIterator[_HeldPlace]:
    """Count an attempt at its server and note how it ends."""
    now = clocks.monotonic()
    prompt = run.request.prompt
    n_running = prompt.n_prompt_tokens + prompt.n_output_tokens if prompt else 0
    held = _HeldPlace(handle, node.peer_loads, placement, prompt, now)
    ticket = handle.breaker.begin(now)
    handle.n_in_flight += 1
    held.begin_reading()
    handle.running_tokens += n_running
    verdict: bool | None = None
    try:
        yield held
        verdict = run.kept is None
        if not held.has_first:
            handle.note_latency(clocks.monotonic() - now)
    except ApricotliftError as error:
        verdict = _judge(node, run, handle, placement, error)
        raise
    finally:
        handle.n_in_flight -= 1
        handle.running_tokens -= n_running
        held.end_reading()
        finished_at = clocks.monotonic()
        if verdict is not None:
            handle.note_result(verdict, finished_at)
            node.metrics.observe("attempt_seconds", finished_at - now)
        if ticket is not None and verdict is not None:
            handle.breaker.finish(ticket, verdict, finished_at, node.random)
        elif ticket is not None:
            handle.breaker.abandon(ticket)


def _judge(
    node: Runtime,
    run: _Run,
    handle: ServerHandle,
    placement: Placement | None,
    error: ApricotliftError,
) -> bool | None:
    """Return whether an error speaks against the server, ``None`` where neither."""
    now = clocks.monotonic()
    if error.code is Code.STREAM_BROKEN:
        node.tasks.start_soon(node.suspects.examine, run.fingerprint, handle.server)
    if error.code is Code.UPSTREAM_CONNECT:
        handle.refuses_until = now + _UNREACHABLE_S
    elif error.ran is Ran.NO:
        handle.refuses_until = now + _REFUSAL_S
        if error.code is Code.WRONG_SERVER:
            handle.refuses_until = now + _UNREACHABLE_S
        if placement is not None and run.request.prompt is not None:
            _note_swap(node, handle, run.request.prompt.model, error, now)
        return None
    return False


def _note_swap(
    node: Runtime, handle: ServerHandle, model: str, error: ApricotliftError, now: float
) -> None:
    """Learn from a refusal that an engine changes its weights, or has changed them."""
    server = handle.server
    target = node.knowledge.targets.get(model)
    known = node.get_weights(server, model)
    if target is None or known is None:
        return
    if error.code is Code.WRONG_SERVER:
        if not error.details.get("is_same_server"):
            return
        if known < target.version:
            node.note_weights(server, model, target.version)
        else:
            node.forget_weights(server, model)
        handle.refuses_until = 0.0
        error.details["try_again"] = True
    elif known < target.version:
        handle.refuses_until = now + LOAD_REFUSAL_S


def _log_attempt(
    node: Runtime, run: _Run, handle: ServerHandle, placement: Placement | None
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
