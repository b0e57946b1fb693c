"""Tracks an attempt at its server, and updates the server's health at its end."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.forwarding.availability import NOT_SENT_CODES
from apricotlift.forwarding.crashchecks import BrokenRequest
from apricotlift.forwarding.crashreports import list_part_keys
from apricotlift.forwarding.engineloads import EngineLoads
from apricotlift.forwarding.enginepools import EnginePools
from apricotlift.forwarding.entities import Prompt
from apricotlift.forwarding.placement import Placement
from apricotlift.forwarding.requeststate import RequestState
from apricotlift.forwarding.runtime import Runtime
from apricotlift.forwarding.servers import WEIGHT_LOAD_BACKOFF_S, ServerHandle
from apricotlift.forwarding.suspects import Suspects
from apricotlift.upstreams.bodies import is_connection_refused
from apricotlift.wire.messages import PlacementNote

_REFUSAL_BACKOFF_S = 0.25

#: Time for which an unreachable server, or one whose address another server has, is
#: avoided.
_UNREACHABLE_BACKOFF_S = 1.0

#: An engine that crashes on a prompt does so as it begins the answer. An answer that
#: has been under way for longer shows that its prompt isn't the cause.
_ANSWERING_AFTER_S = 0.5
#: Pause between two notes that the answer to a prompt is under way.
_ANSWER_NOTE_INTERVAL_S = 0.2


@dataclass
class AttemptTracker:
    """The load of one attempt on its server, from its start to its end.

    :param placement: set for prompts that run at an engine.
    :param started_at: time on the clock of :mod:`apricotlift.core.clocks`.
    :param note: the message that counts the attempt at an engine for all nodes,
        ``None`` for other servers.
    :param first_event_at: when the first event arrived.
    :param is_abandoned: whether the attempt was ended because it wasn't needed.
    """

    handle: ServerHandle
    loads: EngineLoads
    pools: EnginePools
    suspects: Suspects
    placement: Placement | None
    prompt: Prompt | None
    started_at: float
    note: PlacementNote | None = None
    first_event_at: float | None = None
    is_abandoned: bool = False
    _last_event_at: float = 0.0
    _answer_noted_at: float = float("-inf")

    @property
    def has_first_event(self) -> bool:
        """Whether the first event has arrived."""
        return self.first_event_at is not None

    @property
    def is_answering(self) -> bool:
        """Whether an engine has been writing the answer to a prompt for a while."""
        return (
            self.placement is not None
            and self.first_event_at is not None
            and self._last_event_at - self.first_event_at > _ANSWERING_AFTER_S
        )

    def begin(self) -> None:
        """Count the attempt at its server."""
        self.handle.n_in_flight += 1
        if self.placement is not None:
            self.note = self.loads.begin(
                self.handle.server,
                self.placement.salt,
                self.prompt.shared_parts,
                self.placement.n_read,
                self.prompt.n_own,
            )

    def note_event(self) -> None:
        """Record the latency of the first event, and that the answer is under way."""
        now = clocks.monotonic()
        self._last_event_at = now
        if self.first_event_at is None:
            self.first_event_at = now
            self.handle.note_latency(now - self.started_at)
            if self.note is not None:
                self.loads.note_prefilled(self.note)
                self.pools.add_first_token(
                    self.handle.server.service,
                    self.placement.n_read,
                    now - self.started_at,
                )
        is_note_due = now >= self._answer_noted_at + _ANSWER_NOTE_INTERVAL_S
        if is_note_due and self.is_answering:
            self._answer_noted_at = now
            self.suspects.note_answer(self.prompt)

    def note_complete(self, is_stream: bool) -> None:
        """Record a complete response; a stream without any event is no answer."""
        if is_stream and not self.has_first_event:
            return
        if self.placement is not None:
            self.suspects.note_answer(self.prompt)

    def abandon(self) -> None:
        """Let the attempt count neither as a success nor as a failure of its server."""
        self.is_abandoned = True

    def end(self) -> None:
        """Stop counting the attempt."""
        self.handle.n_in_flight -= 1
        if self.note is not None:
            self.loads.end(self.note)


@asynccontextmanager
async def track_attempt(
    node: Runtime,
    request_state: RequestState,
    handle: ServerHandle,
    placement: Placement | None,
) -> AsyncIterator[AttemptTracker]:
    """Count an attempt at its server while it runs, and record its result.

    An error other than :exc:`ApricotliftError` doesn't count for or against the server.
    """
    now = clocks.monotonic()
    tracker = AttemptTracker(
        handle,
        node.engine_loads,
        node.engine_pools,
        node.suspects,
        placement,
        request_state.request.prompt,
        now,
    )
    ticket = handle.breaker.begin(now)
    tracker.begin()
    is_success: bool | None = None
    try:
        yield tracker
        if not tracker.is_abandoned:
            is_success = request_state.fallback_response is None
            if not tracker.has_first_event:
                handle.note_latency(clocks.monotonic() - now)
    except ApricotliftError as error:
        is_success = _classify_error(node, request_state, tracker, error)
        raise
    finally:
        tracker.end()
        finished_at = clocks.monotonic()
        if is_success is not None:
            handle.note_result(is_success, finished_at)
            node.metrics.observe("attempt_seconds", finished_at - now)
        if ticket is not None and is_success is not None:
            handle.breaker.finish(ticket, is_success, finished_at, node.random)
        elif ticket is not None:
            handle.breaker.abandon(ticket)


def _classify_error(
    node: Runtime,
    request_state: RequestState,
    tracker: AttemptTracker,
    error: ApricotliftError,
) -> bool | None:
    """Back off from the server after an error, as far as the error calls for it.

    :returns: ``False`` where the error counts as the server's failure, ``None`` where
        it counts neither as failure nor as success.
    """
    now = clocks.monotonic()
    handle = tracker.handle
    placement = tracker.placement
    if error.code is Code.WEIGHTS_REPLACED:
        return None
    if error.code is Code.STREAM_BROKEN:
        parts = list_part_keys(tracker.prompt) if placement is not None else ()
        broken = BrokenRequest(
            request_state.fingerprint, tuple(parts), tracker.is_answering
        )
        check = node.suspects.begin_check(handle.server, broken, node.tasks.start_soon)
        if placement is not None and not tracker.is_answering:
            request_state.crash_checks.append(check)
    if error.code in NOT_SENT_CODES:
        return None
    if error.code is Code.UPSTREAM_CONNECT:
        handle.avoided_until = now + _UNREACHABLE_BACKOFF_S
        if is_connection_refused(error):
            node.warmup.note_refused_connection(handle.server)
    elif error.ran is Ran.NO:
        handle.avoided_until = now + _REFUSAL_BACKOFF_S
        if error.code is Code.WRONG_SERVER:
            handle.avoided_until = now + _UNREACHABLE_BACKOFF_S
        if placement is not None and request_state.request.prompt is not None:
            _note_weight_change(
                node, handle, request_state.request.prompt.model, error, now
            )
        return None
    return False


def _note_weight_change(
    node: Runtime, handle: ServerHandle, model: str, error: ApricotliftError, now: float
) -> None:
    """Infer from a refusal that an engine is loading or has loaded other weights."""
    server = handle.server
    target = node.routing_state.weight_targets.get_newest(model)
    known = node.get_known_weight_version(server, model)
    if target is None or known is None:
        return
    if error.code is Code.WRONG_SERVER:
        if not error.details.get("is_same_server"):
            return
        if known < target.version:
            node.record_weight_version(server, model, target.version)
        else:
            node.discard_weight_version(server, model)
        handle.avoided_until = 0.0
        error.details["try_again"] = True
    elif known < target.version:
        handle.avoided_until = now + WEIGHT_LOAD_BACKOFF_S
