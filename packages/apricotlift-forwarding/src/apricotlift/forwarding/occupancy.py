"""What an attempt takes of its server, and what its end says of the server."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.forwarding.engineloads import EngineLoads
from apricotlift.forwarding.facts import Prompt
from apricotlift.forwarding.placement import Placement
from apricotlift.forwarding.runs import Run
from apricotlift.forwarding.runtime import Runtime
from apricotlift.forwarding.servers import LOAD_REFUSAL_S, ServerHandle
from apricotlift.wire.messages import PlacementNote

_REFUSAL_S = 0.25

#: An unreachable server, or one whose address another one has, is left out so long.
_UNREACHABLE_S = 1.0


@dataclass
class Occupancy:
    """What an attempt takes of its server, until its first event and its end.

    :param note: what nodes count for it at an engine, ``None`` elsewhere.
    """

    handle: ServerHandle
    loads: EngineLoads
    placement: Placement | None
    prompt: Prompt | None
    started_at: float
    note: PlacementNote | None = None
    has_first: bool = False

    def begin(self) -> None:
        """Note that the attempt begins."""
        self.handle.n_in_flight += 1
        if self.placement is not None:
            self.note = self.loads.begin(
                self.handle.server,
                self.placement.salt,
                self.prompt.shared_parts,
                self.placement.n_read,
                self.prompt.n_own,
            )

    def note_first(self) -> None:
        """Note the first event."""
        if not self.has_first:
            self.has_first = True
            self.handle.note_latency(clocks.monotonic() - self.started_at)
            if self.note is not None:
                self.loads.note_read(self.note)

    def end(self) -> None:
        """Note that the attempt has ended."""
        self.handle.n_in_flight -= 1
        if self.note is not None:
            self.loads.end(self.note)


@asynccontextmanager
async def occupy(
    node: Runtime, run: Run, handle: ServerHandle, placement: Placement | None
) -> AsyncIterator[Occupancy]:
    """Count an attempt at its server and note how it ends."""
    now = clocks.monotonic()
    held = Occupancy(handle, node.engine_loads, placement, run.request.prompt, now)
    ticket = handle.breaker.begin(now)
    held.begin()
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
        held.end()
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
    run: Run,
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
