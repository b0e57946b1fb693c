"""Admission control: refuses prompts while no engine has memory for them.

An engine whose memory is full queues prompts, and each one that waits past its latency
target delays the next. An immediate refusal with a retry time lets the admitted prompts
meet their targets. The most urgent routes of a service are refused at a higher memory
use than the others. Prompts that are submitted again after a refusal are already late:
they are admitted only while some memory is free, and run at the lowest priority, behind
prompts that can still meet their target.
"""

from collections.abc import Sequence

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.forwarding.entities import ClientRequest, Configuration, Engine
from apricotlift.forwarding.placement import (
    EngineChoice,
)

#: Used share of the least loaded engine's memory above which a prompt is refused: for
#: most routes, for the most urgent ones, and for prompts that were refused before.
_MEMORY_SHARE_MAX = 1.0
_URGENT_MEMORY_SHARE_MAX = 1.2
_RESUBMITTED_MEMORY_SHARE_MAX = 0.85

#: Largest share of an engine's memory that a prompt counts for in this check, so that
#: large prompts are refused no more often than others.
_PROMPT_SHARE_MAX = 0.1

#: Used share of an engine's memory up to which a prompt doesn't have to wait.
_BUSY_MEMORY_SHARE = 0.5

_RETRY_AFTER_S = 1.0

#: The least urgent priority that engines accept.
_LOWEST_PRIORITY = 9


def check_engine_memory(
    request: ClientRequest,
    service: str,
    engine: Engine,
    configuration: Configuration,
    choices: Sequence[EngineChoice],
    is_resubmission: bool,
) -> None:
    """Refuse a prompt while running requests fill the memory of every engine.

    Everything is admitted where the memory size of the engines isn't known.

    :param is_resubmission: whether the request was refused before.
    :raises ApricotliftError: ``overloaded``; the request did not run.
    """
    prompt = request.prompt
    usable = [c for c in choices if not (c.is_avoided or c.is_outdated)]
    n_busy_tokens = _BUSY_MEMORY_SHARE * engine.kv_capacity_tokens
    if not usable or not engine.kv_capacity_tokens:
        return
    if any(choice.load.n_used_tokens <= n_busy_tokens for choice in usable):
        # Even a prompt that would fill the engine can start here at once.
        return
    n_added = min(prompt.n_own, _PROMPT_SHARE_MAX * engine.kv_capacity_tokens)
    n_used_min = min(choice.load.n_used_tokens for choice in usable)
    memory_share = (n_used_min + n_added) / engine.kv_capacity_tokens
    memory_share_max = _RESUBMITTED_MEMORY_SHARE_MAX
    if not is_resubmission:
        memory_share_max = _choose_memory_share_max(request, service, configuration)
    if memory_share > memory_share_max:
        message = (
            f"admitting {prompt.n_tokens + prompt.n_output_tokens} more tokens would "
            f"use {memory_share:.2f} of the memory of the least loaded of "
            f"{len(usable)} engines of {service}; the limit is {memory_share_max}"
        )
        raise ApricotliftError(
            Code.OVERLOADED, message, Ran.NO, Scope.FLEET, _RETRY_AFTER_S
        )


def choose_engine_priority(request: ClientRequest, is_resubmission: bool) -> int:
    """Return the priority at the engine, from 0 (most urgent) to 9 (least urgent).

    :param is_resubmission: whether the request was refused before.
    """
    if is_resubmission:
        return _LOWEST_PRIORITY
    return max(0, min(_LOWEST_PRIORITY, _get_priority(request)))


def _choose_memory_share_max(
    request: ClientRequest, service: str, configuration: Configuration
) -> float:
    priorities = [
        route.priority
        for route in configuration.routes
        if any(name == service for name, _ in route.shares)
    ]
    is_most_urgent = _get_priority(request) <= min(priorities, default=0)
    return _URGENT_MEMORY_SHARE_MAX if is_most_urgent else _MEMORY_SHARE_MAX


def _get_priority(request: ClientRequest) -> int:
    account = request.account
    if account is not None and account.priority is not None:
        return account.priority
    return request.route.priority
