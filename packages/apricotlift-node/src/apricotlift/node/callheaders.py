"""Which headers of a routed call are passed on, in both directions."""

from collections.abc import Mapping

from apricotlift.upstreams.service import HOP_HEADERS

INTERNAL_PREFIX = "x-apricotlift-"

#: The caller's key is for this system alone. Deadline and idempotency key are set
#: anew, and must not be dropped again because a caller's connection header names them.
_REPLACED_IN_REQUESTS = frozenset(
    {"authorization", "expect", "idempotency-key", "x-deadline-ms"}
)


def strip_request(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of a call that its upstream receives.

    :param headers: by lower-case name.

    >>> strip_request({"accept": "*/*", "connection": "x-hop", "x-hop": "1"})
    {'accept': '*/*'}
    """
    return _strip(headers, _REPLACED_IN_REQUESTS)


def strip_answer(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of an upstream's answer that the caller receives."""
    return _strip(headers, frozenset())


def _strip(headers: Mapping[str, str], replaced: frozenset[str]) -> dict[str, str]:
    named = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    dropped = HOP_HEADERS | replaced | named
    return {
        name: value
        for name, value in headers.items()
        if name not in dropped and not name.startswith(INTERNAL_PREFIX)
    }
