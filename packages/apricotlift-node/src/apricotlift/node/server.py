"""The HTTP application of the callers' listener: routing and error responses."""

from urllib.parse import unquote

from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.node import prompts
from apricotlift.node.httpmessages import (
    HttpRequest,
    Send,
    read_headers,
    send_error,
    send_json,
)
from apricotlift.node.identity import CallerIdentity, authenticate
from apricotlift.node.instancelist import build_instances_body, list_instances
from apricotlift.node.runtime import Node
from apricotlift.node.services import handle_call


def build_callers_app(node: Node):
    """Return the ASGI app of the callers' listener."""

    async def app(scope, receive, send) -> None:
        if scope["type"] != "http":
            return
        is_response_started = False

        async def send_tracked(message: dict) -> None:
            nonlocal is_response_started
            is_response_started = True
            await send(message)

        node.n_open_requests += 1
        request_id = None
        try:
            headers = read_headers(scope, node.settings.border)
            request_id = headers.get("x-request-id")
            request = HttpRequest(
                scope["method"],
                scope["raw_path"].decode("latin-1"),
                scope["query_string"].decode("latin-1"),
                headers,
                receive,
            )
            await _route(node, request, send_tracked)
        except ApricotliftError as error:
            _count_refusal(node, error, request_id)
            if not is_response_started:
                await send_error(send, error, request_id)
        except Exception:
            logs.log_exception("request_failed", request_id=request_id)
            node.metrics.count("refusals_total", code=Code.INTERNAL)
            if not is_response_started:
                error = ApricotliftError(Code.INTERNAL, "internal error", Ran.MAYBE)
                await send_error(send, error, request_id)
        finally:
            node.n_open_requests -= 1

    return app


async def _route(node: Node, request: HttpRequest, send: Send) -> None:
    if node.is_stopping:
        message = "this node is shutting down; use another instance"
        raise ApricotliftError(Code.STOPPING, message, scope=Scope.NODE)
    snapshot = node.get_snapshot()
    identity = authenticate(snapshot, request.headers.get("authorization", ""))
    segments = [unquote(part) for part in request.path.strip("/").split("/")]
    match segments:
        case ["v1", "completions"]:
            _require_method(request, "POST")
            await prompts.handle_prompt(node, identity, request, send, False)
        case ["v1", "chat", "completions"]:
            _require_method(request, "POST")
            await prompts.handle_prompt(node, identity, request, send, True)
        case ["v1", "requests", request_id, "stream"]:
            _require_method(request, "GET")
            await prompts.handle_resume(node, identity, request, send, request_id)
        case ["v1", "requests", request_id]:
            _require_method(request, "GET", "DELETE")
            if request.method == "DELETE":
                await prompts.handle_cancel(node, identity, send, request_id)
            else:
                await prompts.handle_request_state(node, identity, send, request_id)
        case ["v1", "services", service, _, *_]:
            path = "/" + request.path.split("/", 4)[4]
            await handle_call(node, identity, request, send, service, path)
        case ["v1", "instances"]:
            _require_method(request, "GET")
            fleet = snapshot.declarations.fleet
            members = list_instances(node.cluster, identity.account, fleet)
            await send_json(send, 200, build_instances_body(members, fleet))
        case ["v1", "models"]:
            _require_method(request, "GET")
            await _send_models(node, identity, send)
        case _:
            raise ApricotliftError(Code.NOT_FOUND, f"unknown path {request.path!r}")


async def _send_models(node: Node, identity: CallerIdentity, send: Send) -> None:
    declarations = node.get_snapshot().declarations
    names = declarations.accounts[identity.account].models
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "apricotlift"}
        for name in names
    ]
    await send_json(send, 200, {"object": "list", "data": data})


def _require_method(request: HttpRequest, *methods: str) -> None:
    if request.method not in methods:
        message = f"expected method {' or '.join(methods)}, got {request.method}"
        raise ApricotliftError(Code.METHOD_NOT_ALLOWED, message)


def _count_refusal(node: Node, error: ApricotliftError, request_id: str | None) -> None:
    node.metrics.count("refusals_total", code=error.code)
    logs.log(
        logs.INFO,
        "refused",
        request_id=request_id,
        code=error.code,
        ran=error.ran,
        scope=error.scope,
        message=error.message,
    )
