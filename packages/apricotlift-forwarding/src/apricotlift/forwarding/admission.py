"""Refusals of prompts while no engine has memory for them.

An engine whose memory is full keeps prompts waiting, and each one that waits past its
latency target delays the next. A refusal at once, with a time to come back, leaves the
others on time. The most urgent routes of a service are refused later than the rest, and
clients that have come back latest of all; their prompts wait behind those that can
still be on time.
"""

from collections.abc import Sequence

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.forwarding.facts import ClientRequest, Configuration, Engine
from apricotlift.forwarding.placement import (
    EngineChoice,
    build_salt,
    compute_crowding,
)

#: Shares of the least crowded engine's memory above which a prompt is refused.
_SHARE_MAX = 0.85
_URGENT_SHARE_MAX = 1.0
_RETURNED_SHARE_MAX = 1.25

#: Share of its memory that runs take at an engine where prompts may have to wait.
_BUSY_SHARE = 0.5

#: A client whose time is shorter than the route's timeout by more has come back.
_RETURNED_S = 0.4

_RETRY_AFTER_S = 1.0

#: The least urgent priority that engines know.
_LAST_PRIORITY = 9


def check_room(
    request: ClientRequest,
    service: str,
    engine: Engine,
    configuration: Configuration,
    choices: Sequence[EngineChoice],
) -> float:
    """Return how crowded the least crowded engine is with the request.

    :raises ApricotliftError: ``overloaded``; nothing ran.
    """
    prompt = request.prompt
    usable = [c for c in choices if not (c.is_doubtful or c.is_outdated)]
    n_busy = _BUSY_SHARE * engine.kv_capacity_tokens
    if not usable or not engine.kv_capacity_tokens:
        return 0.0
    if any(choice.load.n_running <= n_busy for choice in usable):
        # A large prompt alone fills an engine, and yet it can begin at once.
        return 0.0
    crowding = min(
        compute_crowding(
            engine,
            choice,
            prompt,
            build_salt(prompt.model, choice.weights, request.account),
        )
        for choice in usable
    )
    limit = _choose_limit(request, service, configuration)
    if crowding > limit:
        message = (
            f"with {prompt.n_tokens + prompt.n_output_tokens} tokens more, runs take "
            f"{crowding:.2f} of the memory of the least crowded of {len(usable)} "
            f"engines of {service}; the limit is {limit}"
        )
        raise ApricotliftError(
            Code.OVERLOADED, message, Ran.NO, Scope.FLEET, _RETRY_AFTER_S
        )
    return crowding


def choose_priority(request: ClientRequest) -> int:
    """Return the priority at the engine, 0 the most urgent, 9 the least."""
    if _has_returned(request):
        return _LAST_PRIORITY
    return max(0, min(_LAST_PRIORITY, _get_rank(request)))


def _choose_limit(
    request: ClientRequest, service: str, configuration: Configuration
) -> float:
    if _has_returned(request):
        return _RETURNED_SHARE_MAX
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


def _has_returned(request: ClientRequest) -> bool:
    """Tell whether the client was refused before, from the time that it still has."""
    left_s = request.client_deadline_at - request.received_at
    return left_s < request.route.timeout_s - _RETURNED_S
