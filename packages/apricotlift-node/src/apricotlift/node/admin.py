"""The admin listener: health, metrics, status, routing decisions and drain.

All paths except ``/health`` require an operator's key.
"""

from urllib.parse import unquote

from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.node.drain import request_drain, withdraw_drain
from apricotlift.node.httpmessages import Send, send_error, send_json, send_start
from apricotlift.node.identity import read_bearer
from apricotlift.node.runtime import Node


def build_admin_app(node: Node):
    """Return the ASGI app of the admin listener."""

    async def app(scope, receive, send) -> None:
        if scope["type"] != "http":
            return
        try:
            await _route(node, scope, send)
        except ApricotliftError as error:
            node.metrics.count("admin_refusals_total", code=error.code)
            await send_error(send, error)

    return app


async def _route(node: Node, scope: dict, send: Send) -> None:
    segments = [unquote(part) for part in scope["path"].strip("/").split("/")]
    endpoint = (scope["method"], *segments)
    if endpoint == ("GET", "health"):
        await send_json(send, 200, {"state": _get_state(node)})
        return
    _check_operator(node, scope)
    match endpoint:
        case ("GET", "metrics"):
            await _send_metrics(node, send)
        case ("GET", "status"):
            await send_json(send, 200, build_status(node))
        case ("GET", "explain", request_id):
            await send_json(send, 200, build_explanation(node, request_id))
        case ("POST", "drain"):
            await request_drain(node)
            await send_json(send, 200, {"state": _get_state(node)})
        case ("POST", "undrain"):
            await withdraw_drain(node)
            await send_json(send, 200, {"state": _get_state(node)})
        case _:
            raise ApricotliftError(Code.NOT_FOUND, f"unknown path {scope['path']!r}")


def build_status(node: Node) -> dict:
    """Return the state of this node and its view of the fleet."""
    cluster = node.cluster
    view = cluster.membership.view
    declarations = node.get_declarations()
    return {
        "node": cluster.node_id,
        "state": _get_state(node),
        "uptime_s": round(clocks.monotonic() - node.started_at, 1),
        "configuration": {
            "version": cluster.follower.version,
            "age_ms": cluster.membership.freshness.get_age_ms(),
        },
        "requests": {
            "open": node.n_open_requests,
            "running_prompts": node.streams.n_running,
        },
        "instances": [
            {
                "name": name,
                "address": member.summary.caller_address,
                "failure_domain": member.summary.failure_domain,
                "state": member.summary.state,
                "suspected": view.is_suspected(name),
            }
            for name, member in sorted(view.members.items())
        ],
        "upstreams": [
            _describe_upstream(node, upstream)
            for upstream in (declarations.upstreams.values() if declarations else ())
        ],
        "suspects_run_on": sorted(cluster.suspects.list_occupied_upstreams()),
        "known_prefixes": cluster.prefixes.n_shards,
    }


def build_explanation(node: Node, request_id: str) -> dict:
    """Return the routing decisions that this node made for a request.

    :raises ApricotliftError: ``not_found`` if this node has no decision for the
        request; another node may have one.
    """
    decisions = node.decisions.get(request_id)
    if decisions is None:
        message = f"this node has no decision for request {request_id!r}"
        raise ApricotliftError(Code.NOT_FOUND, message)
    return {
        "request_id": request_id,
        "decisions": [
            {
                "attempt_id": decision.attempt_id,
                "account": decision.account,
                "configuration_version": decision.version,
                **decision.record.build_map(),
            }
            for decision in decisions
        ],
    }


def _describe_upstream(node: Node, upstream) -> dict:
    state = node.probes.get_state(upstream.name)
    return {
        "name": upstream.name,
        "kind": upstream.kind,
        "failure_domain": upstream.failure_domain,
        "leaving": node.probes.is_upstream_draining(upstream),
        "reachable": state.is_reachable,
        "boot_id": state.boot_id,
        "slots": sorted(state.health.slots) if state.health else [],
        "waiting_prompt_tokens": (
            state.load.waiting_prompt_tokens if state.load else None
        ),
        "in_flight": node.in_flight.get(upstream.name, 0),
        "breaker": state.breaker.state,
    }


async def _send_metrics(node: Node, send: Send) -> None:
    body = node.metrics.render().encode()
    headers = {
        "content-type": "text/plain; version=0.0.4",
        "content-length": str(len(body)),
    }
    await send_start(send, 200, headers)
    await send({"type": "http.response.body", "body": body})


def _check_operator(node: Node, scope: dict) -> None:
    headers = dict(scope["headers"])
    authorization = headers.get(b"authorization", b"").decode("latin-1")
    node.get_snapshot().find_operator(read_bearer(authorization))


def _get_state(node: Node) -> str:
    return "draining" if node.is_draining else "serving"
