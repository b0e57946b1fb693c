"""The service, server and engine that one attempt of a request goes to."""

from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.forwarding.admission import check_room, choose_priority
from apricotlift.forwarding.attempts import Dispatch
from apricotlift.forwarding.facts import ClientRequest, Server, Service
from apricotlift.forwarding.placement import (
    EngineChoice,
    Placement,
    choose_saves,
    format_addresses,
    note_placed,
    place,
)
from apricotlift.forwarding.runs import Run
from apricotlift.forwarding.runtime import Runtime
from apricotlift.forwarding.servers import choose_server

_RETRY_AFTER_S = 0.3

#: Engines that lack the named weights are left out this long before the bound.
_WEIGHTS_MARGIN_S = 1.0

#: From this time on, engines with the named weights are preferred.
_WEIGHTS_GRACE_S = 0.3


def choose_service(node: Runtime, request: ClientRequest) -> Service:
    """Draw one of the route's services by their weights.

    :raises ApricotliftError: ``no_upstream``; nothing ran.
    """
    shares = request.route.shares
    services = node.knowledge.configuration.services
    names = [name for name, _ in shares if name in services]
    if not names:
        message = f"route {request.route.name} names no known service"
        raise ApricotliftError(Code.NO_UPSTREAM, message, retry_after_s=_RETRY_AFTER_S)
    weights = [max(0.0, weight) for name, weight in shares if name in services]
    if not any(weights):
        weights = [1.0] * len(names)
    return services[node.random.choices(names, weights)[0]]


def choose_target(node: Runtime, run: Run) -> tuple[Placement | None, Dispatch]:
    """Choose the server of the next attempt, and for a prompt what moves.

    :raises ApricotliftError: ``no_upstream`` or ``slot_not_loaded``.
    """
    request = run.request
    now = clocks.monotonic()
    listed = node.knowledge.list_servers(run.service.name)
    servers = [server for server in listed if server.server_id not in run.tried]
    if not servers:
        message = f"no server of {run.service.name}: {len(listed)} listed"
        raise ApricotliftError(
            Code.NO_UPSTREAM, message, Ran.NO, Scope.UPSTREAM, _RETRY_AFTER_S
        )
    if run.service.engine is not None and request.prompt is not None:
        return _choose_engine(node, run, servers, now)
    handles = [node.handles.get(server) for server in servers]
    handle = choose_server(handles, node.failure_domain, now, node.random)
    return None, Dispatch(handle, last_event_id=run.last_event_id)


def _choose_engine(
    node: Runtime, run: Run, servers: list[Server], now: float
) -> tuple[Placement, Dispatch]:
    request = run.request
    prompt = request.prompt
    choices = _list_choices(node, prompt.model, servers, now)
    has_returned = node.refusals.has_returned(request)
    if run.n_attempts == 0:
        _check_room(node, run, choices, has_returned)
    placement = place(
        prompt,
        request.account,
        run.service.engine,
        choices,
        node.index,
        now,
        node.random,
    )
    if placement is None:
        message = f"no engine of {run.service.name} has the weights of {prompt.model}"
        raise ApricotliftError(
            Code.SLOT_NOT_LOADED, message, Ran.NO, Scope.UPSTREAM, _RETRY_AFTER_S
        )
    saves = choose_saves(placement, prompt, node.index, now)
    note_placed(placement, prompt, node.index)
    names = node.dialect.headers
    headers = [(names.cache_salt, placement.salt)]
    headers.append((names.priority, str(choose_priority(request, has_returned))))
    if placement.weights is not None:
        headers.append((names.expected_weights, str(placement.weights)))
    is_apart = run.service.engine.takes_parts_apart
    if fetch := format_addresses(placement.fetch, is_apart):
        headers.append((names.kv_fetch, fetch))
    if save := format_addresses(saves, is_apart):
        headers.append((names.kv_save, save))
    dispatch = Dispatch(placement.handle, tuple(headers), run.last_event_id)
    return placement, dispatch


def _check_room(
    node: Runtime, run: Run, choices: list[EngineChoice], has_returned: bool
) -> None:
    try:
        check_room(
            run.request,
            run.service.name,
            run.service.engine,
            node.knowledge.configuration,
            choices,
            has_returned,
        )
    except ApricotliftError:
        node.refusals.add(run.request)
        raise


def _list_choices(
    node: Runtime, model: str, servers: list[Server], now: float
) -> list[EngineChoice]:
    """Return the engines that may run the model, with the version each one has."""
    target = node.knowledge.targets.get(model)
    next_ones = node.list_next_ordered(model)
    choices = []
    for server in servers:
        if server.weights and model not in server.weights:
            continue
        weights = node.get_weights(server, model)
        is_replaced = target is not None and (weights or 0) < target.version
        is_outdated = False
        replaced_at = None
        if is_replaced:
            replaced_at = target.noticed_at
            age_s = now - target.noticed_at
            if age_s > node.weights_limit_s - _WEIGHTS_MARGIN_S:
                continue
            # An engine that is ordered next should have few runs left by then.
            is_outdated = age_s > _WEIGHTS_GRACE_S or server.server_id in next_ones
        handle = node.handles.get(server)
        is_doubtful = handle.refuses_until > now or not handle.breaker.allows(now)
        choices.append(
            EngineChoice(
                handle,
                weights,
                node.engine_loads.get_load(server.server_id),
                replaced_at=replaced_at,
                is_doubtful=is_doubtful,
                is_outdated=is_outdated,
            )
        )
    return choices
