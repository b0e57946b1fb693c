"""Connections of clients to the HTTP listeners, with limits on what they hold.

A connection holds an unfinished head, a body or a response that its client doesn't
take. Its bytes count towards the budget of the process, and the time for each of them
is limited. Closing a connection guarantees nothing to its client; a status that
guarantees that a request has not run is sent only before its body is complete.
"""

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import h11
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.upstreams.readbudget import ReadBudget
from uvicorn.protocols.http.h11_impl import STATUS_PHRASES, H11Protocol

#: Empty lines that are skipped before a request. RFC 9112 asks for at least one.
MAX_EMPTY_LINES = 8
#: First bytes of a connection that don't count towards the budget: ordinary heads must
#: be accepted also while servers hold all of it.
FREE_BYTES = 4_096

#: A connection that is closed after a refusal still reads for this time. Closing it at
#: once would reset it, and the client could lose the response.
_LINGER_S = 1.0
_LOG_INTERVAL_S = 1.0
#: A connection with this many bytes of further requests may be closed although a
#: request is running.
_PIPELINED_BYTES = 65_536
_RETRY_AFTER_S = 1.0


class Held(StrEnum):
    """What a client makes a node hold."""

    HEAD = "head"
    BODY = "body"
    RESPONSE = "response"
    CONNECTION = "connection"
    RUNNING = "running"


@dataclass(frozen=True)
class ConnectionLimits:
    """Limits on a connection.

    :param header_timeout_s: time for the head, from its first byte on.
    :param body_timeout_s: time in which at least one byte of the body must arrive.
    :param response_timeout_s: time in which the client must take a part of what is
        ready for it.
    :param max_header_bytes: limit that the app applies to the headers; a head of twice
        this size is accepted.
    :param idle_timeout_s: time for which a connection may be open without a request.
    """

    max_header_bytes: int = 16_384
    header_timeout_s: float = 10.0
    body_timeout_s: float = 15.0
    response_timeout_s: float = 15.0
    idle_timeout_s: float = 15.0


@dataclass
class ConnectionGuard:
    """The limits of one listener's connections, and what was done to enforce them.

    :param get_limits: returns the limits in force.
    """

    listener: str
    budget: ReadBudget
    metrics: Metrics
    get_limits: Callable[[], ConnectionLimits] = ConnectionLimits
    clock: Callable[[], float] = clocks.monotonic
    _n_unlogged: Counter = field(default_factory=Counter)
    _logged_at: float = float("-inf")

    def count(self, held: Held, reason: str) -> None:
        """Count a refused or closed connection."""
        self.metrics.count(
            "client_limits_total", listener=self.listener, held=held, reason=reason
        )
        self._n_unlogged[f"{held}_{reason}"] += 1

    def report(self) -> None:
        """Update the gauges, and write at most one log line in a while."""
        budget = self.budget
        self.metrics.gauge("held_bytes", budget.n_reserved)
        self.metrics.gauge("client_connections", len(budget.holders))
        now = self.clock()
        if not self._n_unlogged or now < self._logged_at + _LOG_INTERVAL_S:
            return
        self._logged_at = now
        logs.log(
            logs.WARNING,
            "clients_exceed_limits",
            listener=self.listener,
            n_held_bytes=budget.n_reserved,
            n_bytes_max=budget.n_bytes_max,
            n_connections=len(budget.holders),
            n_connections_max=budget.n_connections_max,
            **self._n_unlogged,
        )
        self._n_unlogged.clear()


class LimitedProtocol(H11Protocol):
    """An HTTP connection whose unfinished parts are limited in size and time."""

    def __init__(self, guard: ConnectionGuard, **arguments):
        super().__init__(**arguments)
        self.n_charged = 0
        self._guard = guard
        self._has_ended = False
        self._n_empty_lines = 0
        self._n_request_bytes = 0
        self._n_unsent = 0
        # When the present part began, or last made progress.
        self._held = Held.CONNECTION
        self._since = guard.clock()
        self._is_used = False
        self._is_write_paused = False

    def connection_made(self, transport) -> None:
        """Start a connection, or refuse it if there are too many."""
        super().connection_made(transport)
        if not self._guard.budget.add_holder(self):
            self._guard.count(Held.CONNECTION, "budget")
            self._abort()

    def connection_lost(self, exc) -> None:
        """Return what the connection held."""
        self._guard.budget.release(self)
        self._guard.budget.holders.discard(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse data, and refuse what exceeds a limit."""
        if self._has_ended:
            return
        self._n_request_bytes += len(data)
        super().data_received(data)
        if self._has_ended:
            return
        held = self._find_held()
        if held is not self._held or held is Held.BODY:
            self._set_held(held)
        limits = self._guard.get_limits()
        n_head = len(self.conn._receive_buffer)
        if held is Held.HEAD and n_head > 2 * limits.max_header_bytes:
            self._refuse_head()
            return
        self._charge()

    def handle_events(self) -> None:
        """Skip empty lines before a request, and parse what follows."""
        if self._has_ended:
            return
        if self.conn.their_state is h11.IDLE and not self._skip_empty_lines():
            return
        super().handle_events()
        if self.conn.their_state is not h11.IDLE:
            self._n_empty_lines = 0

    def _skip_empty_lines(self) -> bool:
        """Skip empty lines, and return whether to parse what follows."""
        # h11 refuses empty lines, and its public interface shows the unparsed data only
        # as a copy.
        buffer = self.conn._receive_buffer
        while buffer._data[:2] == b"\r\n" or buffer._data[:1] == b"\n":
            buffer.maybe_extract_at_most(1 if buffer._data[:1] == b"\n" else 2)
            self._n_empty_lines += 1
            if self._n_empty_lines > MAX_EMPTY_LINES:
                message = f"more than {MAX_EMPTY_LINES} empty lines before a request"
                self._refuse(400, Code.BAD_REQUEST, message, "empty_lines")
                return False
        return buffer._data != b"\r"

    def send_400_response(self, msg: str) -> None:
        """Refuse a request that can't be parsed."""
        if len(self.conn._receive_buffer) > self.config.h11_max_incomplete_event_size:
            self._refuse_head()
            return
        self._refuse(400, Code.BAD_REQUEST, msg, "malformed")

    def _refuse_head(self) -> None:
        n_bytes = 2 * self._guard.get_limits().max_header_bytes
        message = f"the request's head has more than {n_bytes} bytes; it has not run"
        self._refuse(431, Code.HEADERS_TOO_LARGE, message, "size")

    def on_response_complete(self) -> None:
        """Note the end of a request, and continue with the next one."""
        self._n_request_bytes = 0
        self._is_used = True
        super().on_response_complete()
        if not self._has_ended:
            self._set_held(self._find_held())
            self._charge()

    def pause_writing(self) -> None:
        """Count the response that the client doesn't take as fast as it is sent."""
        super().pause_writing()
        self._is_write_paused = True
        self._charge()

    def resume_writing(self) -> None:
        """Note that the client takes its response."""
        super().resume_writing()
        self._is_write_paused = False
        self._since = self._guard.clock()

    def shutdown(self) -> None:
        """Close the connection at its next idle moment."""
        if self._has_ended:
            self.transport.abort()
        else:
            super().shutdown()

    def check_times(self, limits: ConnectionLimits) -> None:
        """Refuse or close the connection if its present part has taken too long."""
        if self._has_ended:
            return
        held = self._find_held()
        n_unsent = self.transport.get_write_buffer_size()
        # A client can't send while this process doesn't read. One that takes a stream
        # a little more slowly than it is sent makes progress as well.
        has_to_wait = held is Held.BODY and self.flow.read_paused
        has_to_wait |= held is Held.RESPONSE and self._is_streaming()
        if held is not self._held or n_unsent < self._n_unsent or has_to_wait:
            self._set_held(held)
        self._n_unsent = n_unsent
        self._charge()
        limit_s = _get_time_limit_s(limits, held)
        if self._has_ended or self._guard.clock() - self._since <= limit_s:
            return
        if held is Held.HEAD:
            message = f"the request's head took over {limit_s:g} s; it has not run"
            self._refuse(408, Code.SLOW_SENDER, message, "time")
        elif held is Held.BODY:
            message = f"no byte of the body came for {limit_s:g} s; it has not run"
            self._refuse(408, Code.SLOW_SENDER, message, "time")
        else:
            self._close("time")

    def _is_streaming(self) -> bool:
        """Return whether a response is being sent without waiting for the client."""
        is_complete = self.cycle is None or self.cycle.response_complete
        return not is_complete and not self._is_write_paused

    def compute_rank(self) -> tuple[int, float] | None:
        """Return the rank among connections to be ended: most bytes for longest.

        Idle connections come after those that hold something, and those that were
        never used before those that clients reuse.
        """
        if self._has_ended:
            return (3, 0.0)
        age_s = self._guard.clock() - self._since
        match self._find_held():
            case Held.RUNNING:
                if len(self.conn._receive_buffer) > _PIPELINED_BYTES:
                    return (2, self._count_held() * age_s)
                return None
            case Held.CONNECTION:
                return (0 if self._is_used else 1, age_s)
        return (2, self._count_held() * age_s)

    def end(self) -> None:
        """Close the connection, as the budget is used up."""
        if self._has_ended:
            self._abort()
        elif self._find_held() in (Held.HEAD, Held.BODY):
            message = "this node has no room for the request; it has not run"
            self._refuse(503, Code.OVERLOADED, message, "budget", is_urgent=True)
        else:
            self._close("budget")

    def _find_held(self) -> Held:
        if self.transport.get_write_buffer_size():
            return Held.RESPONSE
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            return Held.BODY if cycle.more_body else Held.RUNNING
        if self.conn.their_state is h11.SEND_BODY:
            return Held.BODY
        if len(self.conn._receive_buffer):
            return Held.HEAD
        return Held.CONNECTION

    def _set_held(self, held: Held) -> None:
        # The rest of a body that nobody needs has one time limit in all.
        is_rest = self._held is held is Held.BODY and self.cycle.response_complete
        if not is_rest:
            self._since = self._guard.clock()
        self._held = held

    def _count_held(self) -> int:
        cycle = self.cycle
        n_bytes = len(self.conn._receive_buffer)
        if cycle is not None and not cycle.response_complete:
            n_bytes = max(n_bytes, self._n_request_bytes)
        return n_bytes + self.transport.get_write_buffer_size()

    def _charge(self) -> None:
        """Update the connection's part of the budget, or end it without room for it."""
        if self._has_ended:
            return
        n_bytes = max(0, self._count_held() - FREE_BYTES)
        if not self._guard.budget.charge(self, n_bytes) and not self._has_ended:
            self.end()

    def _refuse(
        self, status: int, code: Code, message: str, reason: str, is_urgent=False
    ) -> None:
        """Send an error response if the request's response isn't started, and close.

        :param is_urgent: whether the connection is closed without waiting until the
            client has read the response.
        """
        held = self._find_held()
        if held not in (Held.HEAD, Held.BODY):
            held = Held.CONNECTION
        self._guard.count(held, reason)
        cycle = self.cycle
        is_open = cycle is not None and not cycle.response_complete
        # A request whose body is complete may have run.
        can_answer = not is_open or (
            cycle.more_body and not cycle.response_started and not cycle.disconnected
        )
        self._leave_request()
        try:
            if not can_answer:
                raise h11.LocalProtocolError("the response has been started")
            self._send_error(status, code, message)
        except h11.LocalProtocolError:
            self.transport.abort()
            return
        self._drop_held_data()
        if is_urgent or not self.transport.can_write_eof():
            self.transport.close()
        else:
            self.transport.write_eof()
        self.loop.call_later(_LINGER_S, self.transport.abort)

    def _send_error(self, status: int, code: Code, message: str) -> None:
        """Send an error response; its request has not run.

        :raises h11.LocalProtocolError: if no response can be sent any more.
        """
        body = json.dumps(ApricotliftError(code, message).build_body()).encode()
        headers = [
            ("content-type", "application/json"),
            ("content-length", str(len(body))),
            ("connection", "close"),
        ]
        if status == 503:
            headers.append(("retry-after", f"{_RETRY_AFTER_S:g}"))
        response = h11.Response(
            status_code=status, headers=headers, reason=STATUS_PHRASES[status]
        )
        for event in (response, h11.Data(data=body), h11.EndOfMessage()):
            self.transport.write(self.conn.send(event))

    def _close(self, reason: str) -> None:
        self._guard.count(self._held, reason)
        self._abort()

    def _abort(self) -> None:
        self._leave_request()
        self._drop_held_data()
        self.transport.abort()

    def _leave_request(self) -> None:
        """Have the app take the client for gone, and ignore what it still sends."""
        self._has_ended = True
        self._guard.budget.release(self)
        self._unset_keepalive_if_required()
        if self.cycle is not None and not self.cycle.response_complete:
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        if self.flow is not None:
            self.flow.resume_writing()
            self.flow.resume_reading()

    def _drop_held_data(self) -> None:
        self.conn._receive_buffer.maybe_extract_at_most(len(self.conn._receive_buffer))
        if self.cycle is not None:
            self.cycle.body.clear()


def _get_time_limit_s(limits: ConnectionLimits, held: Held) -> float:
    return {
        Held.HEAD: limits.header_timeout_s,
        Held.BODY: limits.body_timeout_s,
        Held.RESPONSE: limits.response_timeout_s,
        Held.CONNECTION: limits.idle_timeout_s,
    }.get(held, float("inf"))
