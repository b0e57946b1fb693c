"""Refusals of prompts while no engine has memory for them.

An engine whose memory is full keeps prompts waiting, and each one that waits past its
latency target delays the next. A refusal at once, with a time to come back, leaves the
others on time. The most urgent routes of a service are refused later than the rest.
Prompts that come back after a refusal are late already: they are admitted while some
room is left, and wait behind those that can still be on time.
"""

from collections.abc import Sequence

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.forwarding.facts import ClientRequest, Configuration, Engine
from apricotlift.forwarding.placement import (
    EngineChoice,
)

#: Shares of the least crowded engine's memory above which a prompt is refused.
_SHARE_MAX = 1.0
_URGENT_SHARE_MAX = 1.2
_RETURNED_SHARE_MAX = 0.85

#: Larger prompts count as this share of an engine's memory, so that they are refused
#: no more often than others.
_OWN_SHARE_MAX = 0.1

#: Share of its memory that runs take at an engine where prompts may have to wait.
_BUSY_SHARE = 0.5

_RETRY_AFTER_S = 1.0

#: The least urgent priority that engines know.
_LAST_PRIORITY = 9


def check_room(
    request: ClientRequest,
    service: str,
    engine: Engine,
    configuration: Configuration,
    choices: Sequence[EngineChoice],
    has_returned: bool,
) -> None:
    """Refuse a prompt while runs take the memory of every engine.

    :param has_returned: whether the request was refused before.
    :raises ApricotliftError: ``overloaded``; nothing ran.
    """
    prompt = request.prompt
    usable = [c for c in choices if not (c.is_doubtful or c.is_outdated)]
    n_busy = _BUSY_SHARE * engine.kv_capacity_tokens
    if not usable or not engine.kv_capacity_tokens:
        return
    if any(choice.load.n_running <= n_busy for choice in usable):
        # A large prompt alone fills an engine, and yet it can begin at once.
        return
    n_more = min(prompt.n_own, _OWN_SHARE_MAX * engine.kv_capacity_tokens)
    n_least = min(choice.load.n_running for choice in usable)
    share = (n_least + n_more) / engine.kv_capacity_tokens
    limit = _RETURNED_SHARE_MAX
    if not has_returned:
        limit = _choose_limit(request, service, configuration)
    if share > limit:
        message = (
            f"with {prompt.n_tokens + prompt.n_output_tokens} tokens more, runs take "
            f"{share:.2f} of the memory of the least crowded of {len(usable)} "
            f"engines of {service}; the limit is {limit}"
        )
        raise ApricotliftError(
            Code.OVERLOADED, message, Ran.NO, Scope.FLEET, _RETRY_AFTER_S
        )


def choose_priority(request: ClientRequest, has_returned: bool) -> int:
    """Return the priority at the engine, 0 the most urgent, 9 the least."""
    if has_returned:
        return _LAST_PRIORITY
    return max(0, min(_LAST_PRIORITY, _get_rank(request)))


def _choose_limit(
    request: ClientRequest, service: str, configuration: Configuration
) -> float:
    ranks = [
        route.priority
        for route in configuration.routes
        if any(name == service for name, _ in route.shares)
    ]
    is_most_urgent = _get_rank(request) <= min(ranks, default=0)
    return _URGENT_SHARE_MAX if is_most_urgent else _SHARE_MAX


def _get_rank(request: ClientRequest) -> int:
    account = request.account
    if account is not None and account.priority is not None:
        return account.priority
    return request.route.priority
