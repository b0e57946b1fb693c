"""Which headers of a routed call are passed on, in both directions."""

from collections.abc import Mapping

INTERNAL_PREFIX = "x-apricotlift-"

#: RFC 9110 section 7.6.1, and the older names that proxies also drop.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

#: The caller's key is for this system alone. Host, length and deadline are set
#: anew for the upstream.
_REPLACED_IN_REQUESTS = frozenset(
    {"authorization", "host", "content-length", "expect", "x-deadline-ms"}
)
_REPLACED_IN_ANSWERS = frozenset({"content-length"})


def strip_request(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of a call that its upstream receives.

    :param headers: by lower-case name.

    >>> strip_request({"accept": "*/*", "connection": "x-hop", "x-hop": "1"})
    {'accept': '*/*'}
    """
    return _strip(headers, _REPLACED_IN_REQUESTS)


def strip_answer(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of an upstream's answer that the caller receives."""
    return _strip(headers, _REPLACED_IN_ANSWERS)


def _strip(headers: Mapping[str, str], replaced: frozenset[str]) -> dict[str, str]:
    named = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    dropped = _HOP_BY_HOP | replaced | named
    return {
        name: value
        for name, value in headers.items()
        if name not in dropped and not name.startswith(INTERNAL_PREFIX)
    }
