"""Chooses the service of a request and the server or engine of each attempt."""

from collections.abc import Iterable
from dataclasses import replace

from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.forwarding.admission import check_engine_memory, choose_engine_priority
from apricotlift.forwarding.attempts import Dispatch
from apricotlift.forwarding.availability import RETRY_AFTER_MAX_S, get_pause_left_s
from apricotlift.forwarding.entities import (
    ClientRequest,
    Prompt,
    Server,
    Service,
)
from apricotlift.forwarding.placement import (
    EngineChoice,
    Placement,
    choose_placement,
    choose_save_stores,
    format_addresses,
    mark_expected_parts,
)
from apricotlift.forwarding.requeststate import RequestState
from apricotlift.forwarding.residency import build_residency
from apricotlift.forwarding.runtime import Runtime
from apricotlift.forwarding.servers import (
    ServerHandle,
    choose_server,
    group_usable_handles,
    is_avoided,
)
from apricotlift.forwarding.warmup import Candidates

_RETRY_AFTER_S = 0.3

#: Only the operator can end an evacuation or allow further regions, and when can't be
#: known. A change of the operator's rows takes about this long to reach all nodes.
_EXCLUDED_RETRY_AFTER_S = 1.0
#: Failure domains or regions that an error message names at most.
_N_NAMED = 8

#: This long after newer weights are named, engines that have them are preferred.
_WEIGHT_PREFERENCE_DELAY_S = 0.3


def choose_service(node: Runtime, request: ClientRequest) -> Service:
    """Choose one of the route's services at random, in proportion to their weights.

    A service is left out if the request may reach none of its servers, because of
    evacuations or allowed regions, while there is another one.

    :raises ApricotliftError: ``no_upstream`` if none of them is configured.
    """
    shares = request.route.shares
    services = node.routing_state.configuration.services
    names = [name for name, _ in shares if name in services]
    if not names:
        message = f"none of the services of route {request.route.name} is configured"
        raise ApricotliftError(Code.NO_UPSTREAM, message, retry_after_s=_RETRY_AFTER_S)
    weights = [max(0.0, weight) for name, weight in shares if name in services]
    if not any(weights):
        weights = [1.0] * len(names)
    left = [
        weight if _has_servers_left(node, request, name) else 0.0
        for name, weight in zip(names, weights, strict=True)
    ]
    # Without any service left, the refusal of the chosen one states the reason.
    weights = left if any(left) else weights
    return services[node.random.choices(names, weights)[0]]


def choose_target(
    node: Runtime, request_state: RequestState
) -> tuple[Placement | None, Dispatch]:
    """Choose the server of the next attempt, and for a prompt its placement.

    :returns: the placement of a prompt, which names the cached parts to fetch, or
        ``None`` for other requests; and where to send the attempt.
    :raises ApricotliftError: ``no_upstream`` if no server is left to try,
        ``upstream_paused`` if all servers of the service want no request for a while,
        ``upstream_cold`` if those that could take it are cold and this node may not
        send to them now, ``slot_not_loaded`` if no engine has the model's weights, or
        ``overloaded``.
    """
    request = request_state.request
    now = clocks.monotonic()
    listed = [
        node.handles.get(server)
        for server in _list_allowed_servers(node, request, request_state.service.name)
    ]
    untried = [
        handle
        for handle in listed
        if handle.server.server_id not in request_state.tried_server_ids
        and not handle.availability.has_left(now, node.drain_time_s)
    ]
    groups = group_usable_handles(untried, now, node.drain_time_s)
    if not groups:
        raise _build_no_server_error(node, request_state, listed, now)
    service = request_state.service
    candidates = node.warmup.select_candidates(service, groups, now)
    if service.engine is not None and request.prompt is not None:
        return _choose_engine(node, request_state, candidates, untried, now)
    usable = candidates.groups[0] if candidates.groups else []
    if candidates.cold and all(is_avoided(handle, now) for handle in usable):
        usable = candidates.cold
    if not usable:
        raise node.warmup.build_refusal(service.name, untried, now)
    handle = choose_server(usable, node.failure_domain, now, node.random)
    permit = node.warmup.reserve(handle)
    return None, Dispatch(
        handle, last_event_id=request_state.last_event_id, permit=permit
    )


def _list_allowed_servers(
    node: Runtime, request: ClientRequest, service: str
) -> list[Server]:
    """Return the servers of a service that a request may reach."""
    servers = node.routing_state.list_request_servers(service)
    residency = build_residency(request, node.settings.regions)
    if residency.regions is None:
        return servers
    return [server for server in servers if residency.allows(server.failure_domain)]


def _has_servers_left(node: Runtime, request: ClientRequest, service: str) -> bool:
    """Return whether a request may reach a service, as far as its servers are known."""
    if _list_allowed_servers(node, request, service):
        return True
    return not node.routing_state.list_servers(service)


def _build_no_server_error(
    node: Runtime,
    request_state: RequestState,
    listed: list[ServerHandle],
    now: float,
) -> ApricotliftError:
    """Return the error for a request that no server of its service may get.

    Where all servers want a pause, it says when the first one takes requests again.
    """
    service = request_state.service.name
    serving = node.routing_state.list_servers(service)
    n_excluded = len(serving) - len(listed)
    if n_excluded and not listed:
        return _build_exclusion_error(node, request_state, serving)
    pause_left_s = get_pause_left_s(
        (handle.availability for handle in listed), now, node.drain_time_s
    )
    if pause_left_s is not None:
        # A paused server may be cold as well.
        pausing = [
            handle
            for handle in listed
            if not handle.availability.has_left(now, node.drain_time_s)
        ]
        pause_left_s = node.warmup.find_shortest_wait(pausing, now).seconds
        message = (
            f"all {len(pausing)} available servers of service {service} are paused, "
            f"the first one for {pause_left_s:.3f} s; {n_excluded} others are excluded "
            "by evacuation or region"
        )
        retry_after_s = min(pause_left_s, RETRY_AFTER_MAX_S)
        return ApricotliftError(
            Code.UPSTREAM_PAUSED, message, Ran.NO, Scope.UPSTREAM, retry_after_s
        )
    n_left = sum(
        handle.availability.has_left(now, node.drain_time_s) for handle in listed
    )
    message = (
        f"no server of service {service} is left to try, out of {len(listed)} that are "
        f"listed, {n_left} of which leave; {n_excluded} others are excluded by "
        "evacuation or region"
    )
    return ApricotliftError(
        Code.NO_UPSTREAM, message, Ran.NO, Scope.UPSTREAM, _RETRY_AFTER_S
    )


def _build_exclusion_error(
    node: Runtime, request_state: RequestState, serving: list[Server]
) -> ApricotliftError:
    """Return the error for a request that may reach none of the serving servers."""
    evacuated = node.routing_state.evacuations.list_domains()
    residency = build_residency(request_state.request, node.settings.regions)
    domains = [server.failure_domain for server in serving]
    outside = [name for name in domains if not residency.allows(name)]
    left = [name for name in domains if name in evacuated and name not in outside]
    reasons = []
    if left:
        node.metrics.count("requests_excluded_total", reason="evacuation")
        reasons.append(f"{len(left)} are evacuated, in {_join_names(set(left))}")
    if outside:
        node.metrics.count("requests_excluded_total", reason="region")
        allowed = _join_names(residency.regions) or "none in common"
        reasons.append(f"{len(outside)} are outside the allowed regions, {allowed}")
    message = (
        f"no server of service {request_state.service.name} may get the request: "
        f"{'; '.join(reasons)}"
    )
    return ApricotliftError(
        Code.NO_UPSTREAM, message, Ran.NO, Scope.UPSTREAM, _EXCLUDED_RETRY_AFTER_S
    )


def _join_names(names: Iterable[str]) -> str:
    return ", ".join(sorted(names)[:_N_NAMED])


def _choose_engine(
    node: Runtime,
    request_state: RequestState,
    candidates: Candidates,
    untried: list[ServerHandle],
    now: float,
) -> tuple[Placement, Dispatch]:
    request = request_state.request
    prompt = request.prompt
    service = request_state.service.name
    residency = build_residency(request, node.settings.regions)
    is_resubmission = node.refusals.is_resubmission(request)
    choices = _select_engine_choices(
        node, request_state, candidates, untried, is_resubmission, now
    )
    choices = _add_pool_penalties(node, service, prompt, choices)
    placement = choose_placement(
        prompt,
        request.account,
        request_state.service.engine,
        choices,
        node.cache_index,
        now,
        node.random,
        residency.regions,
    )
    if placement is None:
        message = (
            f"no available engine of service {service} has the "
            f"weights of model {prompt.model}"
        )
        raise ApricotliftError(
            Code.SLOT_NOT_LOADED, message, Ran.NO, Scope.UPSTREAM, _RETRY_AFTER_S
        )
    if request_state.n_attempts == 0:
        node.engine_pools.add_prompt(
            request_state.service, request.route, prompt, placement.n_read
        )
    evacuated = node.routing_state.evacuations.list_domains()

    def may_save_in(failure_domain: str) -> bool:
        return failure_domain not in evacuated and residency.allows(failure_domain)

    saves = choose_save_stores(placement, prompt, node.cache_index, now, may_save_in)
    mark_expected_parts(placement, prompt, node.cache_index)
    names = node.dialect.headers
    headers = [(names.cache_salt, placement.salt)]
    headers.append(
        (names.priority, str(choose_engine_priority(request, is_resubmission)))
    )
    if placement.weight_version is not None:
        headers.append((names.expected_weights, str(placement.weight_version)))
    has_separate_parts = request_state.service.engine.has_per_part_addresses
    if fetch_addresses := format_addresses(placement.fetch, has_separate_parts):
        headers.append((names.kv_fetch, fetch_addresses))
    if save_addresses := format_addresses(saves, has_separate_parts):
        headers.append((names.kv_save, save_addresses))
    dispatch = Dispatch(
        placement.handle,
        tuple(headers),
        request_state.last_event_id,
        node.warmup.reserve(placement.handle),
    )
    return placement, dispatch


def _add_pool_penalties(
    node: Runtime, service: str, prompt: Prompt, choices: list[EngineChoice]
) -> list[EngineChoice]:
    server_ids = [choice.handle.server.server_id for choice in choices]
    n_nodes = len(node.membership.view.get_eligible())
    penalties = node.engine_pools.compute_penalties(
        service, server_ids, prompt, n_nodes
    )
    if not penalties:
        return choices
    share = node.engine_pools.get_decode_share(service)
    node.metrics.gauge("engine_decode_share", round(share, 3), service=service)
    return [
        replace(choice, pool_penalty=penalties[choice.handle.server.server_id])
        for choice in choices
    ]


def _select_engine_choices(
    node: Runtime,
    request_state: RequestState,
    candidates: Candidates,
    untried: list[ServerHandle],
    is_resubmission: bool,
    now: float,
) -> list[EngineChoice]:
    """Return the engines that a prompt may be placed at.

    Cold engines are used where no other one that has the weights can take it.

    :raises ApricotliftError: ``upstream_cold``, or ``overloaded`` for a first attempt.
    """

    def list_choices(handles: list[ServerHandle]) -> list[EngineChoice]:
        servers = [handle.server for handle in handles]
        model = request_state.request.prompt.model
        return _list_engine_choices(node, model, servers, now)

    choices = []
    for group in candidates.groups:
        # A leaving engine is used where none of the others has the weights.
        choices = choices or list_choices(group)
    cold = list_choices(candidates.cold)
    if cold and all(choice.is_avoided for choice in choices):
        choices, cold = cold, []
    if not choices and list_choices(candidates.held):
        handles = [choice.handle for choice in list_choices(untried)]
        raise node.warmup.build_refusal(request_state.service.name, handles, now)
    if request_state.n_attempts == 0:
        try:
            _check_engine_capacity(node, request_state, choices, is_resubmission)
        except ApricotliftError:
            if not cold:
                node.refusals.add(request_state.request)
                raise
            choices = cold
    return choices


def _check_engine_capacity(
    node: Runtime,
    request_state: RequestState,
    choices: list[EngineChoice],
    is_resubmission: bool,
) -> None:
    check_engine_memory(
        request_state.request,
        request_state.service.name,
        request_state.service.engine,
        node.routing_state.configuration,
        choices,
        is_resubmission,
    )


def _list_engine_choices(
    node: Runtime, model: str, servers: list[Server], now: float
) -> list[EngineChoice]:
    """Return the engines that may run the model, with the version that each one has.

    Engines that lack newly named weights are excluded shortly before the time limit
    for their use is reached.
    """
    targets = node.routing_state.weight_targets
    next_to_reload = node.list_next_to_reload(model)
    choices = []
    for server in servers:
        if server.weights and model not in server.weights:
            continue
        weight_version = node.get_known_weight_version(server, model)
        successor = targets.find_successor(model, weight_version)
        is_outdated = False
        newer_target_at = None
        if successor is not None:
            newer_target_at = successor.named_after
            if not node.may_begin(model, weight_version):
                continue
            age_s = now - successor.noticed_at
            # The engines that are ordered to load next get no new prompts where others
            # can run them, so that few are still running when the order arrives.
            is_outdated = (
                age_s > _WEIGHT_PREFERENCE_DELAY_S or server.server_id in next_to_reload
            )
        handle = node.handles.get(server)
        choices.append(
            EngineChoice(
                handle,
                weight_version,
                node.engine_loads.get_load(server.server_id),
                newer_target_at=newer_target_at,
                is_avoided=is_avoided(handle, now),
                is_outdated=is_outdated,
            )
        )
    return choices
