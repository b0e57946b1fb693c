"""Error codes and the exception that carries them.

Every refusal and every failure that a caller, an operator or a peer can see has
one member of :class:`Code`. The same codes are the ``reason`` labels of the
counters, so metrics and error bodies use the same terms.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any


class Ran(StrEnum):
    """Whether the work of a refused or failed request ran at an upstream."""

    NO = "no"
    YES = "yes"
    MAYBE = "maybe"


class Scope(StrEnum):
    """What a refusal applies to."""

    REQUEST = "request"
    CONSUMER = "consumer"
    ACCOUNT = "account"
    UPSTREAM = "upstream"
    NODE = "node"
    FLEET = "fleet"


class Code(StrEnum):
    """Reasons for refusals, failures and retries."""

    # Client interface
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    SLOW_READER = "slow_reader"
    SLOW_SENDER = "slow_sender"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    IDEMPOTENCY_KEY_MISSING = "idempotency_key_missing"
    # Limits and overload
    RATE_LIMITED = "rate_limited"
    CONCURRENCY_LIMITED = "concurrency_limited"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ROUTE_TIMEOUT = "route_timeout"
    RETRY_BUDGET_EXHAUSTED = "retry_budget_exhausted"
    CONFIG_UNCERTAIN = "config_uncertain"
    NO_CONFIG = "no_config"
    STOPPING = "stopping"
    # Requests and answers
    REQUEST_ID_REUSED = "request_id_reused"
    REQUEST_CRASHES_UPSTREAM = "request_crashes_upstream"
    STREAM_BROKEN = "stream_broken"
    STREAM_LOST = "stream_lost"
    STREAM_GAP = "stream_gap"
    FOREIGN_ATTEMPT = "foreign_attempt"
    WEIGHT_VERSION_MISMATCH = "weight_version_mismatch"
    WEIGHTS_REPLACED = "weights_replaced"
    CANCELLED = "cancelled"
    # Non-repeatable calls
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    IN_PROGRESS = "in_progress"
    MAY_HAVE_RUN = "may_have_run"
    CLAIM_EXPIRED = "claim_expired"
    CLAIM_STORE_UNAVAILABLE = "claim_store_unavailable"
    # Upstreams
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_CONNECT = "upstream_connect"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    UPSTREAM_CRASHED = "upstream_crashed"
    UPSTREAM_FULL = "upstream_full"
    UPSTREAM_DRAINING = "upstream_draining"
    UPSTREAM_PAUSED = "upstream_paused"
    UPSTREAM_EVACUATED = "upstream_evacuated"
    UPSTREAM_COLD = "upstream_cold"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_SILENT = "upstream_silent"
    WRONG_SERVER = "wrong_server"
    UPSTREAM_PROTOCOL = "upstream_protocol"
    SLOT_NOT_LOADED = "slot_not_loaded"
    BREAKER_OPEN = "breaker_open"
    STALE_FENCE = "stale_fence"
    # KV stores
    STORE_FULL = "store_full"
    STORE_UNAVAILABLE = "store_unavailable"
    BLOCK_MISSING = "block_missing"
    BLOCK_CORRUPT = "block_corrupt"
    # Platform
    TABLE_UNAVAILABLE = "table_unavailable"
    TABLE_UNCLEAR = "table_unclear"
    CONDITION_FAILED = "condition_failed"
    HISTORY_LOST = "history_lost"
    OBJECTS_UNAVAILABLE = "objects_unavailable"
    OBJECT_MISSING = "object_missing"
    OBJECT_CORRUPT = "object_corrupt"
    # Peers
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_UNAUTHENTICATED = "peer_unauthenticated"
    PEER_PROTOCOL = "peer_protocol"
    PEER_VERSION = "peer_version"
    FRAME_TOO_LARGE = "frame_too_large"
    # Operators
    BAD_SETTINGS = "bad_settings"
    BAD_DECLARATIONS = "bad_declarations"
    CONFLICT = "conflict"
    NOT_ACCEPTED = "not_accepted"
    INTERNAL = "internal"


@dataclass
class ApricotliftError(Exception):
    """A refusal or failure with its code.

    :param code: the reason.
    :param message: one sentence that names the offending value.
    :param ran: whether the work ran. ``Ran.NO`` is used only if it certainly did not.
    :param scope: what the refusal applies to.
    :param retry_after_s: seconds after which a retry is reasonable, if known.
    :param details: further fields for the error body.

    >>> error = ApricotliftError(Code.UNKNOWN_MODEL, "no model named 'wax-9'")
    >>> str(error)
    "unknown_model: no model named 'wax-9'"
    >>> error.ran.value
    'no'
    """

    code: Code
    message: str
    ran: Ran = Ran.NO
    scope: Scope = Scope.REQUEST
    retry_after_s: float | None = None
    details: dict[str, Any] = field(default_factory=dict)

    def __post_init__(self):
        super().__init__(self.message)

    # Dataclass equality would make raised exceptions unhashable, which breaks
    # traceback handling and exception groups.
    __hash__ = Exception.__hash__

    def __str__(self) -> str:
        return f"{self.code}: {self.message}"

    def build_body(self, request_id: str | None = None) -> dict[str, Any]:
        """Return the JSON-ready error body that callers receive.

        :param request_id: the request that the error belongs to.
        """
        error: dict[str, Any] = {
            "code": str(self.code),
            "message": self.message,
            "ran": str(self.ran),
            "scope": str(self.scope),
        }
        if self.retry_after_s is not None:
            error["retry_after_s"] = round(self.retry_after_s, 3)
        if request_id is not None:
            error["request_id"] = request_id
        if self.details:
            error["details"] = self.details
        return {"error": error}
