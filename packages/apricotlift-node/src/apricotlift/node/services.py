"""HTTP handler of calls that are routed to services other than engines."""

from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.node.calls import CallContext, RoutedCall, run_call
from apricotlift.node.httpmessages import HttpRequest, Send, read_body, send_start
from apricotlift.node.identity import CallerIdentity
from apricotlift.node.runtime import Node


def build_call_context(node: Node) -> CallContext:
    """Return the context that all routed calls of this node share."""

    def is_upstream_draining(name: str) -> bool:
        upstream = node.get_snapshot().declarations.upstreams.get(name)
        return upstream is None or node.probes.is_upstream_draining(upstream)

    def take_retry(service: str) -> bool:
        return node.probes.get_retry_budget(service).take()

    return CallContext(
        node.pool, node.cluster.claims, node.metrics, take_retry, is_upstream_draining
    )


async def handle_call(
    node: Node,
    identity: CallerIdentity,
    request: HttpRequest,
    send: Send,
    service: str,
    path: str,
) -> None:
    """Serve ``ANY /v1/services/{service}/{path}``.

    :param path: path on the service as the caller sent it, with a leading slash.
    """
    body = await read_body(request, node.settings.border)
    call = RoutedCall(
        identity.account,
        service,
        request.method,
        path,
        request.query,
        request.headers,
        body,
        request.headers.get("idempotency-key", ""),
        _parse_deadline_at(request),
    )
    node.probes.get_retry_budget(service).add_first_attempt()
    with node.hold_admission(identity):
        answer = await run_call(call, node.get_snapshot(), node.calls)
    headers = dict(answer.headers)
    headers["content-length"] = str(len(answer.body))
    headers["x-replayed"] = "yes" if answer.is_replay else "no"
    if answer.key_expires_at_ms:
        headers["x-idempotency-key-expires-at-ms"] = str(answer.key_expires_at_ms)
    await send_start(send, answer.status, headers)
    await send({"type": "http.response.body", "body": answer.body})


def _parse_deadline_at(request: HttpRequest) -> float | None:
    value = request.headers.get("x-deadline-ms")
    if value is None:
        return None
    if not value.isdigit() or not 0 < int(value) <= 86_400_000:
        message = f"x-deadline-ms must be an integer from 1 to 86400000, got {value!r}"
        raise ApricotliftError(Code.BAD_REQUEST, message)
    return clocks.monotonic() + int(value) / 1000
