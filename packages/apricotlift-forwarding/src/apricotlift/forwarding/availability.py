"""What servers state about taking requests: that they leave, pause or are cold.

The statements bind this node only and hold for one incarnation of the server. Any
response may say that the server leaves or is cold; one with status 503 may ask for a
pause.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.dialect import HeaderNames
from apricotlift.upstreams.persistentconnections import StreamedResponse

#: Longest pause that a server can ask for, so that a wrong number doesn't take the
#: server out of service for good.
PAUSE_MAX_S = 3600.0

#: Longest time for which a server can say that it is cold, for the same reason.
COLD_MAX_S = 3600.0

#: Longest time to come back that a client is told. A server may be added meanwhile.
RETRY_AFTER_MAX_S = 30.0

#: A leaving server gets its last requests this long before the drain time is over.
DRAIN_MARGIN_S = 0.1

#: Requests that are under way when a server asks for a pause are refused as well, which
#: moves the end of the pause by up to this time. Only later ends count as a change.
_PAUSE_CHANGE_S = 0.5

#: Errors of the last check before a request is sent: the server didn't get it.
NOT_SENT_CODES = (
    Code.UPSTREAM_DRAINING,
    Code.UPSTREAM_PAUSED,
    Code.UPSTREAM_EVACUATED,
    Code.UPSTREAM_COLD,
)

_STATUS_UNAVAILABLE = 503
_RETRY_AFTER_HEADER = "retry-after"

# The header may also hold a date. Servers of the platform state seconds; a date would
# only be right if the clocks of both machines agreed.
_NUMBER_PATTERN = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


@dataclass
class Availability:
    """What one incarnation of a server has stated about taking requests.

    All times are on the clock of :mod:`apricotlift.core.clocks`.

    :param leaving_since: time of the first response that said that the server leaves,
        ``None`` if there was none.
    :param paused_until: time until which it wants no request.
    :param cold_until: time until which it is cold by its own statement.
    :param ignored_retry_after: last retry time that couldn't be used, which is logged
        once.
    """

    leaving_since: float | None = None
    paused_until: float = 0.0
    cold_until: float = 0.0
    ignored_retry_after: str | None = None

    @property
    def is_leaving(self) -> bool:
        """Whether the server has said that it leaves."""
        return self.leaving_since is not None

    def has_left(self, now: float, drain_s: float) -> bool:
        """Return whether the drain time of a leaving server is over."""
        if self.leaving_since is None:
            return False
        return now >= self.leaving_since + max(0.0, drain_s - DRAIN_MARGIN_S)

    def is_paused(self, now: float) -> bool:
        """Return whether the server wants no request at present."""
        return now < self.paused_until

    def is_stated(self, now: float) -> bool:
        """Return whether any statement of the server is in force."""
        return self.is_leaving or self.is_paused(now) or now < self.cold_until


def parse_retry_after_s(value: str) -> float | None:
    """Return the seconds that a ``Retry-After`` header states.

    :returns: ``None`` where the value is no number of seconds.

    >>> parse_retry_after_s("1.5")
    1.5
    >>> parse_retry_after_s("-1"), parse_retry_after_s("nan")
    (None, None)
    """
    text = value.strip()
    if not _NUMBER_PATTERN.fullmatch(text):
        return None
    return min(float(text), PAUSE_MAX_S)


def note_response(
    availability: Availability,
    server_id: str,
    names: HeaderNames,
    response: StreamedResponse,
    now: float,
    metrics: Metrics,
) -> None:
    """Record what a server states in the head of a response that is its own."""
    if response.get_header(names.leaving) == "1" and not availability.is_leaving:
        availability.leaving_since = now
        metrics.count("servers_leaving_total")
        logs.log(logs.INFO, "server_leaving", server=server_id)
    cold_ms = response.get_header(names.cold_ms)
    if cold_ms is not None:
        _note_cold(availability, server_id, cold_ms, now, metrics)
    retry_after = response.get_header(_RETRY_AFTER_HEADER)
    if response.status == _STATUS_UNAVAILABLE and retry_after is not None:
        _note_pause(availability, server_id, retry_after, now, metrics)


def _note_cold(
    availability: Availability,
    server_id: str,
    cold_ms: str,
    now: float,
    metrics: Metrics,
) -> None:
    text = cold_ms.strip()
    if not _NUMBER_PATTERN.fullmatch(text):
        return
    cold_left_s = min(float(text) / 1000, COLD_MAX_S)
    if cold_left_s > 0 and now >= availability.cold_until:
        metrics.count("servers_cold_total", source="response")
        logs.log(
            logs.INFO,
            "server_cold",
            server=server_id,
            seconds=cold_left_s,
            source="response",
        )
    availability.cold_until = max(availability.cold_until, now + cold_left_s)


def _note_pause(
    availability: Availability,
    server_id: str,
    retry_after: str,
    now: float,
    metrics: Metrics,
) -> None:
    pause_s = parse_retry_after_s(retry_after)
    if pause_s is None:
        if retry_after != availability.ignored_retry_after:
            availability.ignored_retry_after = retry_after
            logs.log(
                logs.WARNING,
                "retry_after_ignored",
                server=server_id,
                reason=f"{retry_after[:64]!r} is no number of seconds",
            )
        return
    known_end = max(now, availability.paused_until)
    if now + pause_s <= known_end:
        return
    is_change = not availability.is_paused(now)
    is_change |= now + pause_s > known_end + _PAUSE_CHANGE_S
    availability.paused_until = now + pause_s
    if is_change:
        metrics.count("server_pauses_total")
        logs.log(logs.INFO, "server_paused", server=server_id, seconds=pause_s)


def check_availability(
    availability: Availability, server_id: str, now: float, drain_s: float
) -> None:
    """Check whether a request may still be sent to a server.

    :raises ApricotliftError: ``upstream_draining`` or ``upstream_paused``.
    """
    # The server isn't marked as tried: the request didn't reach it.
    details = {"try_again": True}
    if availability.has_left(now, drain_s):
        message = f"{server_id} leaves, and its drain time of {drain_s:g} s is over"
        raise ApricotliftError(
            Code.UPSTREAM_DRAINING, message, Ran.NO, Scope.UPSTREAM, details=details
        )
    if availability.is_paused(now):
        time_left_s = availability.paused_until - now
        message = f"{server_id} wants no request for {time_left_s:.3f} s"
        raise ApricotliftError(
            Code.UPSTREAM_PAUSED, message, Ran.NO, Scope.UPSTREAM, details=details
        )


def get_pause_left_s(
    availabilities: Iterable[Availability], now: float, drain_s: float
) -> float | None:
    """Return the seconds until the first of several paused servers takes requests.

    Servers that have left don't count.

    :returns: ``None`` where one of them takes requests now, or all have left.
    """
    ends = [
        availability.paused_until
        for availability in availabilities
        if not availability.has_left(now, drain_s)
    ]
    if not ends or min(ends) <= now:
        return None
    return min(ends) - now
