"""The listeners: clients' requests, readiness, directory and metrics."""

import json
import random
from dataclasses import dataclass
from urllib.parse import parse_qsl

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.forwarding.facts import Account, ClientRequest, Configuration, Route
from apricotlift.forwarding.requests import serve_request
from apricotlift.forwarding.runs import Headers
from apricotlift.forwarding.runtime import Runtime
from apricotlift.upstreams.service import HOP_HEADERS

#: How long clients keep an answer of the directory.
DIRECTORY_TTL_S = 2.0
#: Addresses that one answer of the directory holds at most.
MAX_ADDRESSES = 64

#: Beyond this age of the configuration, an unknown key or path may be a new one.
_CONFIGURATION_AGE_S = 2.5

_RETRY_AFTER_S = 0.4

_STATUS_BY_CODE = {
    Code.BAD_REQUEST: 400,
    Code.UNAUTHENTICATED: 401,
    Code.NOT_FOUND: 404,
    Code.BODY_TOO_LARGE: 413,
    Code.HEADERS_TOO_LARGE: 431,
}
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504
_TIMED_OUT = (Code.DEADLINE_EXCEEDED, Code.ROUTE_TIMEOUT, Code.UPSTREAM_SILENT)


class ClientGone(Exception):
    """The client has closed its connection."""


class AsgiReply:
    """An answer over ASGI."""

    def __init__(self, send, node: Runtime):
        self._send = send
        self._node = node
        self.is_started = False
        self.is_complete = False
        self.status = 0

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        whole = [*headers, ("content-length", str(len(body)))]
        await self.begin(status, whole)
        await self._send({"type": "http.response.body", "body": body})
        self.is_complete = True

    async def begin(self, status: int, headers: Headers) -> None:
        """Begin an answer; without a length it is sent in chunks."""
        self.is_started = True
        self.status = status
        raw = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]
        if self._node.is_draining:
            raw.append((b"connection", b"close"))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": raw}
        )

    async def send_piece(self, data: bytes) -> None:
        """Send a piece of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self) -> None:
        """Complete the body."""
        await self._send({"type": "http.response.body", "body": b""})
        self.is_complete = True


def build_front_app(node: Runtime):
    """Return the ASGI app that serves clients."""

    async def app(scope, receive, send) -> None:
        if scope["type"] != "http":
            return
        node.n_open_requests += 1
        try:
            await _serve(node, scope, receive, AsgiReply(send, node))
        finally:
            node.n_open_requests -= 1

    return app


async def _serve(node: Runtime, scope: dict, receive, reply: AsgiReply) -> None:
    received_at = clocks.monotonic()
    names = node.dialect.headers
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in scope["headers"]
    ]
    request_id = dict(headers).get(names.request_id, "")
    code = ""
    outcome = ""
    is_gone = False
    request = None
    try:
        request = await _read_request(node, scope, receive, headers, received_at)
        outcome = await _serve_while_connected(node, request, receive, reply)
    except ClientGone:
        is_gone = True
        outcome = "client_gone"
        node.metrics.count("clients_gone_total")
    except ApricotliftError as error:
        code = error.code
        outcome = await _send_failure(node, reply, error)
    except Exception:
        logs.log_exception("request_failed", request_id=request_id)
        code = Code.INTERNAL
        error = ApricotliftError(Code.INTERNAL, "internal error", Ran.MAYBE)
        outcome = await _send_failure(node, reply, error)
    seconds = clocks.monotonic() - received_at
    node.metrics.count("requests_total", status=reply.status, code=code or "ok")
    node.metrics.observe("request_seconds", seconds, status=reply.status)
    logs.log(
        logs.INFO,
        "request_ended",
        request_id=request_id,
        route=request.route.name if request else None,
        account=request.account.name if request and request.account else None,
        status=reply.status,
        code=code or None,
        outcome=outcome,
        is_complete=reply.is_complete,
        is_client_gone=is_gone or None,
        seconds=round(seconds, 4),
    )


async def _serve_while_connected(
    node: Runtime, request: ClientRequest, receive, reply: AsgiReply
) -> str:
    """Serve a request, and stop its work as soon as its client is gone."""
    outcome = ""
    is_gone = False
    failure: ApricotliftError | None = None
    async with anyio.create_task_group() as tasks:

        async def watch() -> None:
            nonlocal is_gone
            while (await receive())["type"] != "http.disconnect":
                pass
            is_gone = not reply.is_complete
            tasks.cancel_scope.cancel()

        tasks.start_soon(watch)
        try:
            outcome = await serve_request(node, request, reply)
        except ApricotliftError as error:
            # Raised below, because a task group would wrap it in a group.
            failure = error
        tasks.cancel_scope.cancel()
    if is_gone:
        raise ClientGone
    if failure is not None:
        raise failure
    return outcome


async def _read_request(
    node: Runtime, scope: dict, receive, headers: Headers, received_at: float
) -> ClientRequest:
    if node.is_stopping:
        message = "this node stops; take another address"
        raise ApricotliftError(Code.STOPPING, message, retry_after_s=_RETRY_AFTER_S)
    configuration = node.knowledge.configuration
    if configuration is None or not node.knowledge.is_ready:
        message = "no configuration has been read yet"
        raise ApricotliftError(Code.NO_CONFIG, message, retry_after_s=_RETRY_AFTER_S)
    limits = configuration.limits
    if (
        sum(len(name) + len(value) + 4 for name, value in headers)
        > limits.max_header_bytes
    ):
        message = f"headers exceed {limits.max_header_bytes} bytes"
        raise ApricotliftError(Code.HEADERS_TOO_LARGE, message)
    body = await _read_body(receive, limits.max_body_bytes)
    names = node.dialect.headers
    plain = dict(headers)
    if not plain.get(names.request_id):
        raise ApricotliftError(Code.BAD_REQUEST, f"{names.request_id} is missing")
    # A new configuration may have come while the body did.
    configuration = node.knowledge.configuration
    path = scope["raw_path"].decode("latin-1")
    route = _find_route(node, plain.get("host", ""), path)
    account = _authenticate(node, configuration, route, plain.get(names.api_key))
    client_s = _read_deadline_s(plain.get(names.deadline_ms))
    query = scope["query_string"].decode("latin-1")
    client_deadline_at = received_at + client_s
    return ClientRequest(
        request_id=plain[names.request_id],
        method=scope["method"],
        target=f"{path}?{query}" if query else path,
        headers=_select_headers(node, headers),
        body=body,
        route=route,
        account=account,
        received_at=received_at,
        deadline_at=min(client_deadline_at, received_at + route.timeout_s),
        client_deadline_at=client_deadline_at,
        prompt=node.dialect.decode_prompt(plain) if route.has_prompt else None,
        last_event_id=plain.get(names.last_event_id),
    )


async def _read_body(receive, max_bytes: int) -> bytes:
    pieces = []
    n_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientGone
        piece = message.get("body", b"")
        n_bytes += len(piece)
        if n_bytes > max_bytes:
            text = f"the body exceeds {max_bytes} bytes"
            raise ApricotliftError(Code.BODY_TOO_LARGE, text)
        pieces.append(piece)
        if not message.get("more_body", False):
            return b"".join(pieces)


def _select_headers(node: Runtime, headers: Headers) -> tuple[tuple[str, str], ...]:
    names = node.dialect.headers
    named = dict(headers).get("connection", "").lower().split(",")
    dropped = {
        *HOP_HEADERS,
        *names.dropped,
        *(item.strip() for item in named),
        "expect",
        names.api_key,
        names.deadline_ms,
        names.account,
    }
    dropped.discard("host")
    return tuple(item for item in headers if item[0] not in dropped)


def _find_route(node: Runtime, host: str, path: str) -> Route:
    name = host.rpartition(":")[0] if host.rpartition(":")[2].isdigit() else host
    route = node.knowledge.find_route(name.lower(), path)
    if route is None:
        _check_age(node, "route")
        raise ApricotliftError(Code.NOT_FOUND, f"no route for {host}{path}")
    return route


def _authenticate(
    node: Runtime, configuration: Configuration, route: Route, key: str | None
) -> Account | None:
    if configuration.accounts is None or route.is_public:
        return None
    account = configuration.accounts.get(key) if key else None
    if account is None:
        _check_age(node, "key")
        raise ApricotliftError(Code.UNAUTHENTICATED, "the API key is not known")
    return account


def _check_age(node: Runtime, what: str) -> None:
    """Refuse without a verdict while the configuration may be out of date."""
    age_s = node.knowledge.operator_feed.age_s
    if node.knowledge.operator_feed.is_lost or age_s > _CONFIGURATION_AGE_S:
        message = f"unknown {what}, and the configuration is {age_s:.1f} s old"
        raise ApricotliftError(
            Code.CONFIG_UNCERTAIN, message, retry_after_s=_RETRY_AFTER_S
        )


def _read_deadline_s(value: str | None) -> float:
    if value is None:
        return float("inf")
    try:
        return max(0.0, float(value) / 1000)
    except ValueError as error:
        message = f"the deadline {value!r} isn't a number of milliseconds"
        raise ApricotliftError(Code.BAD_REQUEST, message) from error


async def _send_failure(
    node: Runtime, reply: AsgiReply, error: ApricotliftError
) -> str:
    """Answer with a failure; a reply that has begun is left incomplete."""
    node.metrics.count("refusals_total", code=error.code, ran=error.ran)
    if reply.is_started:
        return f"broken_off: {error.message}"
    status = _STATUS_BY_CODE.get(error.code, _UNAVAILABLE)
    if error.ran is not Ran.NO:
        status = _GATEWAY_TIMEOUT if error.code in _TIMED_OUT else _BAD_GATEWAY
    headers = [("content-type", "application/json")]
    if status == _UNAVAILABLE and error.code is not Code.REQUEST_CRASHES_UPSTREAM:
        after_s = error.retry_after_s or _RETRY_AFTER_S
        headers.append(("retry-after", f"{after_s * random.uniform(0.8, 1.2):.2f}"))
    await reply.send_whole(status, headers, json.dumps(error.build_body()).encode())
    return error.message


@dataclass(frozen=True)
class _PlainAnswer:
    status: int
    body: bytes = b""
    kind: str = "application/json"


def build_readiness_app(node: Runtime):
    """Return the ASGI app that tells whether clients should come here."""

    async def app(scope, receive, send) -> None:
        if scope["type"] == "http":
            await _send_plain(send, _PlainAnswer(200 if node.is_ready else 503))

    return app


def build_directory_app(node: Runtime):
    """Return the ASGI app that tells clients which addresses to use."""

    async def app(scope, receive, send) -> None:
        if scope["type"] != "http":
            return
        query = dict(parse_qsl(scope["query_string"].decode("latin-1")))
        failure_domain = node.dialect.read_directory_query(query)
        addresses = list_addresses(node)
        if not addresses:
            await _send_plain(send, _PlainAnswer(503))
            return
        ttl_s = min(DIRECTORY_TTL_S, node.settings.bounds.directory_ttl_max_s)
        node.metrics.count("directory_answers_total", domain=failure_domain)
        body = node.dialect.build_directory_body(addresses, ttl_s)
        await _send_plain(send, _PlainAnswer(200, body))

    return app


def list_addresses(node: Runtime) -> list[str]:
    """Return the addresses of the nodes that serve, in random order."""
    own = node.settings.node.name
    serving = [
        member.caller_address
        for member in node.membership.view.get_serving()
        if member.node_id != own
    ]
    node.random.shuffle(serving)
    if node.is_ready:
        serving.insert(0, node.settings.listen.callers)
    return serving[:MAX_ADDRESSES]


def build_metrics_app(node: Runtime):
    """Return the ASGI app of the metrics address."""

    async def app(scope, receive, send) -> None:
        if scope["type"] == "http":
            text = node.metrics.render().encode()
            await _send_plain(send, _PlainAnswer(200, text, "text/plain"))

    return app


async def _send_plain(send, answer: _PlainAnswer) -> None:
    headers = [
        (b"content-type", answer.kind.encode()),
        (b"content-length", str(len(answer.body)).encode()),
    ]
    await send(
        {"type": "http.response.start", "status": answer.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": answer.body})
