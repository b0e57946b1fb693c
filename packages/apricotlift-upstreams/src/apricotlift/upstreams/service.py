"""Client of plain services.

A non-repeatable call uses a new connection, so that its outcome is known as exactly as
possible: if the connection can't be opened, the call did not run; once the request may
have been sent, only a response shows that it ran, and a failure is reported as
``maybe``.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.upstreams.pool import Pool, Response, Timeouts

_HEALTH_TIMEOUTS = Timeouts(connect_s=1.0, read_s=2.0, write_s=2.0)
_MAX_BODY_BYTES = 16_777_216

#: Headers that apply to a single connection and aren't forwarded (RFC 9110, section
#: 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(frozen=True)
class ServiceCall:
    """One attempt of a call.

    :param path: path and query, beginning with a slash.
    :param repeatable: whether the operator has declared the call ``safe`` to repeat.
    """

    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    repeatable: bool = False


class ServiceClient:
    """Client of one server of a plain service.

    :param address: ``IP:PORT``.
    """

    def __init__(
        self, name: str, address: str, pool: Pool, metrics: Metrics, tls: bool = False
    ):
        self.name = name
        self.address = address
        self._base = f"{'https' if tls else 'http'}://{address}"
        self._pool = pool
        self._metrics = metrics

    async def call(
        self,
        call: ServiceCall,
        timeouts: Timeouts,
        max_bytes: int = _MAX_BODY_BYTES,
    ) -> Response:
        """Send a call once and return the service's response, whatever its status.

        :raises ApricotliftError: ``upstream_connect`` when the call did not run;
            when it may have run, ``upstream_timeout``, ``stream_broken``,
            ``foreign_attempt`` or, for a body longer than ``max_bytes``,
            ``upstream_protocol``.
        """
        headers = _remove_hop_headers(call.headers)
        response = await self._pool.request(
            call.method,
            self._base + call.path,
            headers,
            call.body,
            timeouts,
            max_bytes,
            use_new_connection=not call.repeatable,
        )
        self._check_request_id(headers, response)
        return Response(
            response.status, _remove_hop_headers(response.headers), response.body
        )

    async def get_state(self) -> str:
        """Return the service's state, ``serving`` or ``draining``.

        :raises ApricotliftError: when the service doesn't respond or responds with
            neither of these states.
        """
        url = f"{self._base}/health"
        response = await self._pool.request("GET", url, timeouts=_HEALTH_TIMEOUTS)
        if response.status == 200:
            return "serving"
        if response.status == 503 and b"draining" in response.body:
            return "draining"
        message = f"service {self.name} answered a probe with status {response.status}"
        raise ApricotliftError(Code.UPSTREAM_REFUSED, message, Ran.NO, Scope.UPSTREAM)

    def _check_request_id(self, sent: dict[str, str], response: Response) -> None:
        # Services needn't echo the request id. A different id means that the response
        # belongs to another call.
        request_id = sent.get("x-request-id")
        if request_id is None:
            return
        if response.headers.get("x-request-id", request_id) != request_id:
            self._metrics.count("dropped_answers_total", reason=Code.FOREIGN_ATTEMPT)
            message = f"service {self.name} sent the response to another request"
            raise ApricotliftError(
                Code.FOREIGN_ATTEMPT, message, Ran.MAYBE, Scope.UPSTREAM
            )


def _remove_hop_headers(headers: Mapping[str, str]) -> dict[str, str]:
    lowered = {key.lower(): value for key, value in headers.items()}
    # A Connection header lists further headers that apply to this connection only.
    named = {item.strip().lower() for item in lowered.get("connection", "").split(",")}
    return {
        key: value
        for key, value in lowered.items()
        if key not in HOP_BY_HOP_HEADERS and key not in named
    }
