"""ASGI apps of a node's listeners: client requests, readiness, directory, metrics."""

import json
import random
from dataclasses import dataclass
from urllib.parse import parse_qsl

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.forwarding.asgiresponses import AsgiResponse
from apricotlift.forwarding.entities import Account, ClientRequest, Configuration, Route
from apricotlift.forwarding.requests import serve_request
from apricotlift.forwarding.requeststate import Headers
from apricotlift.forwarding.runtime import Runtime
from apricotlift.upstreams.service import HOP_BY_HOP_HEADERS

#: How long clients may cache a directory response.
DIRECTORY_TTL_S = 2.0
#: Maximum number of addresses in one directory response.
MAX_DIRECTORY_ADDRESSES = 64

_RETRY_AFTER_S = 0.4

_STATUS_BY_CODE = {
    Code.BAD_REQUEST: 400,
    Code.UNAUTHENTICATED: 401,
    Code.NOT_FOUND: 404,
    Code.BODY_TOO_LARGE: 413,
    Code.HEADERS_TOO_LARGE: 431,
}
_STATUS_UNAVAILABLE = 503
_STATUS_BAD_GATEWAY = 502
_STATUS_GATEWAY_TIMEOUT = 504
_TIMEOUT_CODES = (Code.DEADLINE_EXCEEDED, Code.ROUTE_TIMEOUT, Code.UPSTREAM_SILENT)


class ClientDisconnected(Exception):
    """The client closed its connection before the response was complete."""


def build_client_app(node: Runtime):
    """Return the ASGI app that accepts client requests."""

    async def app(scope, receive, send) -> None:
        if scope["type"] != "http":
            return
        node.n_open_requests += 1
        try:
            await _serve_and_log(node, scope, receive, AsgiResponse(send, node))
        finally:
            node.n_open_requests -= 1

    return app


async def _serve_and_log(
    node: Runtime, scope: dict, receive, response: AsgiResponse
) -> None:
    received_at = clocks.monotonic()
    names = node.dialect.headers
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in scope["headers"]
    ]
    request_id = dict(headers).get(names.request_id, "")
    code = ""
    outcome = ""
    has_disconnected = False
    request = None
    try:
        request = await _read_request(node, scope, receive, headers, received_at)
        outcome = await _serve_while_connected(node, request, receive, response)
    except ClientDisconnected:
        has_disconnected = True
        outcome = "client_gone"
        node.metrics.count("clients_gone_total")
    except ApricotliftError as error:
        code = error.code
        outcome = await _send_error_response(node, response, error)
    except Exception:
        logs.log_exception("request_failed", request_id=request_id)
        code = Code.INTERNAL
        error = ApricotliftError(Code.INTERNAL, "internal error", Ran.MAYBE)
        outcome = await _send_error_response(node, response, error)
    seconds = clocks.monotonic() - received_at
    node.metrics.count("requests_total", status=response.status, code=code or "ok")
    node.metrics.observe("request_seconds", seconds, status=response.status)
    logs.log(
        logs.INFO,
        "request_ended",
        request_id=request_id,
        route=request.route.name if request else None,
        account=request.account.name if request and request.account else None,
        status=response.status,
        code=code or None,
        outcome=outcome,
        is_complete=response.is_complete,
        is_client_gone=has_disconnected or None,
        seconds=round(seconds, 4),
    )


async def _serve_while_connected(
    node: Runtime, request: ClientRequest, receive, response: AsgiResponse
) -> str:
    """Serve a request, and cancel it as soon as its client disconnects.

    :raises ApricotliftError: as :func:`serve_request`, or ``stopping`` if this process
        ends first.
    :raises ClientDisconnected: if the client left before the response was complete.
    """
    outcome = ""
    has_disconnected = False
    failure: ApricotliftError | None = None
    async with anyio.create_task_group() as tasks:

        async def cancel_on_disconnect() -> None:
            nonlocal has_disconnected
            while (await receive())["type"] != "http.disconnect":
                pass
            has_disconnected = not response.is_complete
            tasks.cancel_scope.cancel()

        tasks.start_soon(cancel_on_disconnect)
        node.open_scopes.add(tasks.cancel_scope)
        try:
            outcome = await serve_request(node, request, response)
        except ApricotliftError as error:
            # Raised below, because the task group would wrap it in an exception group.
            failure = error
        finally:
            node.open_scopes.discard(tasks.cancel_scope)
        tasks.cancel_scope.cancel()
    if has_disconnected:
        raise ClientDisconnected
    if failure is None and not response.is_complete and node.is_cutting:
        message = "this node ended before the request was complete"
        failure = ApricotliftError(Code.STOPPING, message, Ran.MAYBE)
    if failure is not None:
        raise failure
    return outcome


async def _read_request(
    node: Runtime, scope: dict, receive, headers: Headers, received_at: float
) -> ClientRequest:
    if node.is_stopping:
        message = "this node is shutting down; use another address"
        raise ApricotliftError(Code.STOPPING, message, retry_after_s=_RETRY_AFTER_S)
    configuration = node.routing_state.configuration
    if configuration is None or not node.routing_state.is_ready:
        message = "this node has not loaded a configuration yet"
        raise ApricotliftError(Code.NO_CONFIG, message, retry_after_s=_RETRY_AFTER_S)
    limits = configuration.limits
    if (
        sum(len(name) + len(value) + 4 for name, value in headers)
        > limits.max_header_bytes
    ):
        message = f"request headers exceed the limit of {limits.max_header_bytes} bytes"
        raise ApricotliftError(Code.HEADERS_TOO_LARGE, message)
    body = await _read_body(receive, limits.max_body_bytes)
    names = node.dialect.headers
    header_values = dict(headers)
    if not header_values.get(names.request_id):
        raise ApricotliftError(
            Code.BAD_REQUEST, f"header {names.request_id} is missing or empty"
        )
    # The configuration may have been replaced while the body was being read.
    configuration = node.routing_state.configuration
    path = scope["raw_path"].decode("latin-1")
    route = _find_route(node, header_values.get("host", ""), path)
    account = _authenticate(
        node, configuration, route, header_values.get(names.api_key)
    )
    client_timeout_s = _parse_client_timeout_s(header_values.get(names.deadline_ms))
    query = scope["query_string"].decode("latin-1")
    client_deadline_at = received_at + client_timeout_s
    return ClientRequest(
        request_id=header_values[names.request_id],
        method=scope["method"],
        target=f"{path}?{query}" if query else path,
        headers=_select_headers(node, headers),
        body=body,
        route=route,
        account=account,
        received_at=received_at,
        deadline_at=min(client_deadline_at, received_at + route.timeout_s),
        client_deadline_at=client_deadline_at,
        prompt=node.dialect.decode_prompt(header_values) if route.has_prompt else None,
        last_event_id=header_values.get(names.last_event_id),
    )


async def _read_body(receive, max_bytes: int) -> bytes:
    chunks = []
    n_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnected
        chunk = message.get("body", b"")
        n_bytes += len(chunk)
        if n_bytes > max_bytes:
            text = f"the request body exceeds the limit of {max_bytes} bytes"
            raise ApricotliftError(Code.BODY_TOO_LARGE, text)
        chunks.append(chunk)
        if not message.get("more_body", False):
            return b"".join(chunks)


def _select_headers(node: Runtime, headers: Headers) -> tuple[tuple[str, str], ...]:
    names = node.dialect.headers
    hop_by_hop = dict(headers).get("connection", "").lower().split(",")
    dropped = {
        *HOP_BY_HOP_HEADERS,
        *names.dropped,
        *(item.strip() for item in hop_by_hop),
        "expect",
        names.api_key,
        names.deadline_ms,
        names.account,
    }
    dropped.discard("host")
    return tuple(item for item in headers if item[0] not in dropped)


def _find_route(node: Runtime, host: str, path: str) -> Route:
    hostname = host.rpartition(":")[0] if host.rpartition(":")[2].isdigit() else host
    route = node.routing_state.find_route(hostname.lower(), path)
    if route is None:
        _check_configuration_age(node, "route")
        raise ApricotliftError(Code.NOT_FOUND, f"no route matches {host}{path}")
    return route


def _authenticate(
    node: Runtime, configuration: Configuration, route: Route, key: str | None
) -> Account | None:
    if configuration.accounts is None or route.is_public:
        return None
    account = configuration.accounts.get(key) if key else None
    if account is None:
        _check_configuration_age(node, "key")
        raise ApricotliftError(
            Code.UNAUTHENTICATED, "the API key is missing or unknown"
        )
    return account


def _check_configuration_age(node: Runtime, what: str) -> None:
    """Raise a temporary error if the configuration may be out of date.

    A newer configuration may contain the route or key that wasn't found, so neither
    ``not_found`` nor ``unauthenticated`` would be certain.

    :param what: what wasn't found, for the message.
    :raises ApricotliftError: ``config_uncertain``.
    """
    age_s = node.routing_state.operator_feed.age_s
    if (
        node.routing_state.operator_feed.is_failing
        or age_s > node.configuration_age_max_s
    ):
        message = (
            f"unknown {what}, but the configuration may be out of date: "
            f"it was last confirmed {age_s:.1f} s ago"
        )
        raise ApricotliftError(
            Code.CONFIG_UNCERTAIN, message, retry_after_s=_RETRY_AFTER_S
        )


def _parse_client_timeout_s(value: str | None) -> float:
    if value is None:
        return float("inf")
    try:
        return max(0.0, float(value) / 1000)
    except ValueError as error:
        message = f"the deadline must be a number of milliseconds, not {value!r}"
        raise ApricotliftError(Code.BAD_REQUEST, message) from error


async def _send_error_response(
    node: Runtime, response: AsgiResponse, error: ApricotliftError
) -> str:
    """Send an error response, or leave a response that has been started incomplete.

    :returns: the outcome for the log.
    """
    node.metrics.count("refusals_total", code=error.code, ran=error.ran)
    if response.is_started:
        node.metrics.count("responses_broken_off_total", code=error.code)
        return f"broken_off: {error.message}"
    status = _STATUS_BY_CODE.get(error.code, _STATUS_UNAVAILABLE)
    if error.ran is not Ran.NO:
        status = (
            _STATUS_GATEWAY_TIMEOUT
            if error.code in _TIMEOUT_CODES
            else _STATUS_BAD_GATEWAY
        )
    headers = [("content-type", "application/json")]
    if (
        status == _STATUS_UNAVAILABLE
        and error.code is not Code.REQUEST_CRASHES_UPSTREAM
    ):
        delay_s = error.retry_after_s or _RETRY_AFTER_S
        # Before the end of a pause or a warm-up, servers would get no request.
        is_end_known = error.code in (Code.UPSTREAM_PAUSED, Code.UPSTREAM_COLD)
        least_factor = 1.0 if is_end_known else 0.8
        delay_s *= random.uniform(least_factor, 1.2)
        headers.append(("retry-after", f"{delay_s:.2f}"))
    await response.send_complete(
        status, headers, json.dumps(error.build_body()).encode()
    )
    return error.message


@dataclass(frozen=True)
class _PlainResponse:
    status: int
    body: bytes = b""
    content_type: str = "application/json"


def build_readiness_app(node: Runtime):
    """Return the ASGI app that reports whether this node accepts client requests."""

    async def app(scope, receive, send) -> None:
        if scope["type"] == "http":
            await _send_plain_response(
                send, _PlainResponse(200 if node.is_ready else 503)
            )

    return app


def build_directory_app(node: Runtime):
    """Return the ASGI app that lists the addresses of nodes for clients."""

    async def app(scope, receive, send) -> None:
        if scope["type"] != "http":
            return
        query = dict(parse_qsl(scope["query_string"].decode("latin-1")))
        failure_domain = node.dialect.read_directory_query(query)
        region = node.dialect.read_directory_region(query)
        addresses = list_serving_addresses(node, region)
        if not addresses:
            await _send_plain_response(send, _PlainResponse(503))
            return
        ttl_s = min(DIRECTORY_TTL_S, node.settings.bounds.directory_ttl_max_s)
        node.metrics.count("directory_answers_total", domain=failure_domain)
        body = node.dialect.build_directory_body(addresses, ttl_s)
        await _send_plain_response(send, _PlainResponse(200, body))

    return app


def list_serving_addresses(node: Runtime, region: str = "") -> list[str]:
    """Return client addresses of the serving nodes.

    Those in the client's region come before the others. Within each group, this node
    comes first if it is ready; the others follow in random order.

    :param region: region of the client; empty where it isn't known.
    """
    own_id = node.settings.node.name
    serving = [
        (member.caller_address, member.failure_domain)
        for member in node.membership.view.get_serving()
        if member.node_id != own_id
    ]
    node.random.shuffle(serving)
    if node.is_ready:
        serving.insert(0, (node.settings.listen.callers, node.failure_domain))
    get_region = node.settings.regions.get_region
    if region:
        serving.sort(key=lambda item: get_region(item[1]) != region)
    return [address for address, _ in serving[:MAX_DIRECTORY_ADDRESSES]]


def build_metrics_app(node: Runtime):
    """Return the ASGI app that renders this node's metrics."""

    async def app(scope, receive, send) -> None:
        if scope["type"] == "http":
            text = node.metrics.render().encode()
            await _send_plain_response(send, _PlainResponse(200, text, "text/plain"))

    return app


async def _send_plain_response(send, response: _PlainResponse) -> None:
    headers = [
        (b"content-type", response.content_type.encode()),
        (b"content-length", str(len(response.body)).encode()),
    ]
    await send(
        {"type": "http.response.start", "status": response.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": response.body})
