"""Asks a second server while the first one is silent, and goes on with either.

A sound server may send nothing for a second and then go on. The attempt at a silent
server is therefore kept until another server has begun to answer. Where no other one is
left, may be asked or answers, the request waits for the first one until its own limit.
"""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import anyio
from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.forwarding.attempts import Dispatch
from apricotlift.forwarding.events import EventSplitter, ServerSentEvent
from apricotlift.forwarding.placement import Placement
from apricotlift.forwarding.requeststate import ClientResponse, RequestState
from apricotlift.forwarding.responses import (
    MAX_RESPONSE_BYTES,
    check_event,
    compute_response_due_at,
    forward_response,
    is_forwarded_as_stream,
    is_new_event,
)
from apricotlift.forwarding.retrydecisions import (
    record_failed_hedge,
    take_hedge,
    wait_for_crash_check,
)
from apricotlift.forwarding.runningattempts import RunningAttempt, start_attempt
from apricotlift.forwarding.runtime import Runtime
from apricotlift.forwarding.serverselection import choose_target

#: Pause after a second attempt failed or wasn't allowed.
_RECHECK_INTERVAL_S = 0.25
#: Interval at which an attempt is looked at while it waits for the client.
_CLIENT_WAIT_INTERVAL_S = 0.1

_MIN_REDIRECT_STATUS = 300


@dataclass
class HedgedAttempts:
    """The attempt of a request that is forwarded, and one that may replace it.

    :param successor: an attempt that has begun to answer and isn't forwarded yet.
    """

    node: Runtime
    request_state: RequestState
    response: ClientResponse
    successor: RunningAttempt | None = None
    _current: RunningAttempt | None = None
    _current_scope: anyio.CancelScope | None = None
    _opening_scope: anyio.CancelScope | None = None
    _has_opened: anyio.Event = field(default_factory=anyio.Event)

    def take_successor(self) -> RunningAttempt | None:
        """Return the attempt that replaces the current one, if there is one."""
        successor, self.successor = self.successor, None
        return successor

    async def discard_successor(self) -> None:
        """End an attempt that is no longer needed."""
        successor = self.take_successor()
        if successor is None:
            return
        successor.tracker.abandon()
        with anyio.CancelScope(shield=True):
            await successor.stack.aclose()

    async def start(self, placement: Placement | None, dispatch: Dispatch) -> None:
        """Send the request to a server and forward the response to its end.

        :raises ApricotliftError: if the attempt fails, or if it was silent and
            ``successor`` has replaced it.
        """
        async with AsyncExitStack() as stack:
            attempt = await start_attempt(
                stack, self.node, self.request_state, placement, dispatch
            )
            await self._run(attempt)

    async def resume(self, attempt: RunningAttempt) -> None:
        """Forward an attempt that has begun to answer.

        :raises ApricotliftError: as :meth:`start`.
        """
        async with attempt.stack:
            await self._run(attempt)

    async def _run(self, attempt: RunningAttempt) -> None:
        self.request_state.server_id = attempt.server_id
        self._current = attempt
        self._has_opened = anyio.Event()
        failure = None
        async with anyio.create_task_group() as tasks:
            if self.request_state.may_try_another:
                tasks.start_soon(self._ask_others_while_silent)
            try:
                await self._forward(attempt)
            except ApricotliftError as error:
                # Raised below, because the task group would wrap it.
                failure = error
                self._current = None
                await self._wait_for_opening()
            self._current = None
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _forward(self, attempt: RunningAttempt) -> None:
        with anyio.CancelScope() as scope:
            self._current_scope = scope
            attempt.due_at = compute_response_due_at(self.request_state)
            if attempt.upstream_response is None:
                await attempt.open(self.node, self.request_state)
            await forward_response(self.request_state, attempt, self.response)
        if scope.cancelled_caught:
            message = f"{attempt.server_id} was silent until another server answered"
            raise ApricotliftError(
                Code.UPSTREAM_SILENT, message, Ran.MAYBE, Scope.UPSTREAM
            )

    async def _ask_others_while_silent(self) -> None:
        """Open a second attempt whenever the current one is silent."""
        last_reason = None
        while self.request_state.may_try_another:
            await self._wait_until_silent()
            if self._current is None:
                # The attempt has ended in the moment in which the wait did.
                return
            reason = await self._ask_another()
            if self.successor is not None:
                return
            if reason != last_reason:
                self._log_wait(reason)
                last_reason = reason
            await anyio.sleep(_RECHECK_INTERVAL_S)

    async def _wait_until_silent(self) -> None:
        """Wait until the current attempt is silent or has ended."""
        while self._current is not None and not self._is_silent():
            left_s = self._current.silent_in_s
            await anyio.sleep(max(_CLIENT_WAIT_INTERVAL_S, left_s))

    def _is_silent(self) -> bool:
        current = self._current
        return current.is_reading and current.silent_in_s <= 0

    async def _ask_another(self) -> Code | None:
        """Open an attempt at another server, which replaces the current one.

        :returns: why none was started, ``None`` where one was.
        """
        request_state = self.request_state
        request_state.tried_server_ids.add(self._current.server_id)
        if not request_state.retry_budget.has_retry:
            return Code.RETRY_BUDGET_EXHAUSTED
        try:
            placement, dispatch = choose_target(self.node, request_state)
        except ApricotliftError as error:
            return error.code
        reason = take_hedge(self.node, request_state)
        if reason is not None:
            dispatch.release()
            return reason
        try:
            await self._open_successor(placement, dispatch)
        except ApricotliftError as error:
            await wait_for_crash_check(request_state)
            record_failed_hedge(self.node, request_state, dispatch.handle, error)
        finally:
            self._opening_scope = None
            self._has_opened.set()
            self._has_opened = anyio.Event()
        return None

    async def _open_successor(
        self, placement: Placement | None, dispatch: Dispatch
    ) -> None:
        async with AsyncExitStack() as stack:
            with anyio.CancelScope() as self._opening_scope:
                attempt = await start_attempt(
                    stack, self.node, self.request_state, placement, dispatch
                )
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._cancel_opening_on_progress)
                    failure = await self._wait_for_answer(attempt)
                    tasks.cancel_scope.cancel()
                if failure is not None:
                    raise failure
                self._replace_current(attempt, stack)
                return
            self._abandon(attempt)

    async def _wait_for_answer(
        self, attempt: RunningAttempt
    ) -> ApricotliftError | None:
        """Wait until an attempt has begun to answer.

        :returns: the failure, because a task group would wrap a raised one.
        """
        try:
            await attempt.open(self.node, self.request_state)
            self._check_successor(attempt)
            if self.request_state.request.route.is_stream:
                await self._read_first_event(attempt)
            else:
                attempt.body = await attempt.upstream_response.read(MAX_RESPONSE_BYTES)
        except ApricotliftError as error:
            return error
        return None

    async def _read_first_event(self, attempt: RunningAttempt) -> None:
        """Read a stream up to an event that the client doesn't have.

        :raises ApricotliftError: if there is none, or an invalid one.
        """
        upstream_response = attempt.upstream_response
        chunks = upstream_response.iterate().__aiter__()
        received = []
        with upstream_response.budget.open_reservation() as reservation:
            splitter = EventSplitter(reservation)
            async for chunk in chunks:
                received.append(chunk)
                if self._has_new_event(splitter.feed(chunk), attempt.server_id):
                    attempt.chunks = _chain(received, chunks)
                    return
        message = f"{attempt.server_id} ended its stream without a further event"
        raise ApricotliftError(Code.STREAM_BROKEN, message, Ran.MAYBE, Scope.UPSTREAM)

    def _has_new_event(self, events: list[ServerSentEvent], server_id: str) -> bool:
        for event in events:
            check_event(self.request_state, event, server_id)
            if is_new_event(self.request_state, event):
                return True
        return False

    async def _cancel_opening_on_progress(self) -> None:
        while self._current is None or self._is_silent():
            await anyio.sleep(_CLIENT_WAIT_INTERVAL_S)
        self._opening_scope.cancel()

    def _check_successor(self, attempt: RunningAttempt) -> None:
        """Raise an error unless an attempt may replace one that goes on.

        A failure, also one of the request, is no reason to give up the first attempt.
        """
        upstream_response = attempt.upstream_response
        is_stream = is_forwarded_as_stream(self.request_state, upstream_response)
        is_wanted = is_stream == self.request_state.request.route.is_stream
        if upstream_response.status >= _MIN_REDIRECT_STATUS or not is_wanted:
            message = (
                f"{attempt.server_id} sent status {upstream_response.status}, or "
                "another kind of response than the route's"
            )
            raise ApricotliftError(
                Code.UPSTREAM_FAILED, message, Ran.MAYBE, Scope.UPSTREAM
            )

    def _abandon(self, attempt: RunningAttempt) -> None:
        """Count a second attempt that isn't needed, because the first one went on."""
        attempt.tracker.abandon()
        self.request_state.n_possibly_run += 1
        self.request_state.tried_server_ids.add(attempt.server_id)

    def _replace_current(self, attempt: RunningAttempt, stack: AsyncExitStack) -> None:
        if self._current is not None and not self._is_silent():
            self._abandon(attempt)
            return
        attempt.stack = stack.pop_all()
        self.successor = attempt
        self.node.metrics.count("hedges_won_total")
        if self._current is not None:
            self._current_scope.cancel()

    async def _wait_for_opening(self) -> None:
        """Wait for an attempt that is being opened, after the current one failed."""
        if self._opening_scope is not None:
            await self._has_opened.wait()

    def _log_wait(self, reason: Code | None) -> None:
        logs.log(
            logs.INFO,
            "silent_server_kept",
            request_id=self.request_state.request.request_id,
            server=self.request_state.server_id,
            reason=reason or "second_attempt_failed",
            budget=round(self.request_state.retry_budget.n_available, 1),
            time_left_s=round(self.request_state.time_left_s, 3),
        )


async def _chain(
    received: list[bytes], chunks: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    for chunk in received:
        yield chunk
    async for chunk in chunks:
        yield chunk
