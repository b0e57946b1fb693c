"""Filtering of the headers that routed calls pass on, in both directions."""

from collections.abc import Mapping

from apricotlift.upstreams.service import HOP_BY_HOP_HEADERS

INTERNAL_HEADER_PREFIX = "x-apricotlift-"

#: Request headers that are not passed on. The caller's key is meant for this system
#: only. Deadline and idempotency key are set again after the filtering, so that a
#: caller's connection header that names them can't remove them.
_EXCLUDED_REQUEST_HEADERS = frozenset(
    {"authorization", "expect", "idempotency-key", "x-deadline-ms"}
)


def filter_request_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of a call that are sent to its upstream.

    :param headers: header values by lower-case name.

    >>> filter_request_headers({"accept": "*/*", "connection": "x-hop", "x-hop": "1"})
    {'accept': '*/*'}
    """
    return _filter_headers(headers, _EXCLUDED_REQUEST_HEADERS)


def filter_response_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of an upstream's response that are sent to the caller."""
    return _filter_headers(headers, frozenset())


def _filter_headers(
    headers: Mapping[str, str], excluded: frozenset[str]
) -> dict[str, str]:
    connection_options = {
        name.strip().lower() for name in headers.get("connection", "").split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | excluded | connection_options
    return {
        name: value
        for name, value in headers.items()
        if name not in dropped and not name.startswith(INTERNAL_HEADER_PREFIX)
    }
