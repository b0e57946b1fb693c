"""The border towards callers: reading, checking and refusing HTTP requests.

Everything past this module may trust sizes, types and the verified identity.
"""

import json
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Annotated, Literal

import anyio
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.node.settings import BorderModel
from pydantic import BaseModel, ConfigDict, Field, ValidationError

Send = Callable[[dict], Awaitable[None]]
Receive = Callable[[], Awaitable[dict]]

#: Headers with this prefix are the system's own and are dropped when a caller
#: sends them.
INTERNAL_PREFIX = "x-apricotlift-"

STATUS_BY_CODE = {
    Code.BAD_REQUEST: 400,
    Code.IDEMPOTENCY_KEY_MISSING: 400,
    Code.UNAUTHENTICATED: 401,
    Code.FORBIDDEN: 403,
    Code.NOT_FOUND: 404,
    Code.UNKNOWN_MODEL: 404,
    Code.UNKNOWN_SERVICE: 404,
    Code.METHOD_NOT_ALLOWED: 405,
    Code.SLOW_SENDER: 408,
    Code.REQUEST_ID_REUSED: 409,
    Code.IDEMPOTENCY_KEY_REUSED: 409,
    Code.IN_PROGRESS: 409,
    Code.MAY_HAVE_RUN: 409,
    Code.CANCELLED: 409,
    Code.STREAM_LOST: 410,
    Code.BODY_TOO_LARGE: 413,
    Code.REQUEST_CRASHES_UPSTREAM: 422,
    Code.RATE_LIMITED: 429,
    Code.CONCURRENCY_LIMITED: 429,
    Code.HEADERS_TOO_LARGE: 431,
    Code.UPSTREAM_TIMEOUT: 504,
    Code.DEADLINE_EXCEEDED: 504,
    Code.STREAM_BROKEN: 502,
    Code.UPSTREAM_PROTOCOL: 502,
    Code.UPSTREAM_CRASHED: 502,
    Code.UPSTREAM_REFUSED: 502,
    Code.FOREIGN_ATTEMPT: 502,
    Code.WEIGHT_VERSION_MISMATCH: 502,
    Code.INTERNAL: 500,
}
_UNAVAILABLE = 503


@dataclass(frozen=True)
class HttpRequest:
    """A request whose headers have been checked."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    receive: Receive


class Message(BaseModel):
    """One message of a chat."""

    role: Literal["system", "user", "assistant", "tool"]
    content: str


class _Body(BaseModel):
    # OpenAI clients send more fields than an engine needs; those are ignored.
    model_config = ConfigDict(strict=True, extra="ignore")

    model: Annotated[str, Field(min_length=1, max_length=128)]
    stream: bool = False
    max_tokens: Annotated[int, Field(ge=1, le=65_536)] = 256
    max_completion_tokens: Annotated[int, Field(ge=1, le=65_536)] | None = None
    temperature: Annotated[float, Field(ge=0, le=2)] | None = None
    seed: Annotated[int, Field(ge=0, lt=2**63)] = 0
    stop: str | list[str] | None = None
    n: Literal[1] = 1


class CompletionBody(_Body):
    """Body of ``POST /v1/completions``."""

    prompt: Annotated[str, Field(min_length=1)]

    def build_prompt(self) -> str:
        """Return the prompt text."""
        return self.prompt


class ChatBody(_Body):
    """Body of ``POST /v1/chat/completions``."""

    messages: Annotated[list[Message], Field(min_length=1)]

    def build_prompt(self) -> str:
        """Return the messages as one text that earlier turns are a prefix of."""
        return "".join(
            f"<|{message.role}|>\n{message.content}\n" for message in self.messages
        )


PromptBody = CompletionBody | ChatBody


def read_headers(scope: dict, limits: BorderModel) -> dict[str, str]:
    """Return the headers by lower-case name, the system's own left out.

    :raises ApricotliftError: ``headers_too_large``.
    """
    raw = scope["headers"]
    size = sum(len(name) + len(value) for name, value in raw)
    if len(raw) > limits.max_headers or size > limits.max_header_bytes:
        message = (
            f"{len(raw)} headers of {size} bytes, at most {limits.max_headers} "
            f"of {limits.max_header_bytes} bytes"
        )
        raise ApricotliftError(Code.HEADERS_TOO_LARGE, message)
    headers = {}
    for name, value in raw:
        key = name.decode("latin-1").lower()
        if not key.startswith(INTERNAL_PREFIX):
            headers[key] = value.decode("latin-1")
    return headers


async def read_body(request: HttpRequest, limits: BorderModel) -> bytes:
    """Read the body within the limits of size and time.

    :raises ApricotliftError: ``body_too_large`` or ``slow_sender``.
    """
    limit = limits.max_body_bytes
    declared = request.headers.get("content-length", "")
    if declared.isdigit() and int(declared) > limit:
        raise _refuse_size(int(declared), limit)
    chunks: list[bytes] = []
    n_bytes = 0
    try:
        with anyio.fail_after(limits.body_timeout_s):
            while True:
                message = await request.receive()
                if message["type"] == "http.disconnect":
                    text = "the connection closed before the body was complete"
                    raise ApricotliftError(Code.BAD_REQUEST, text)
                chunk = message.get("body", b"")
                n_bytes += len(chunk)
                if n_bytes > limit:
                    raise _refuse_size(n_bytes, limit)
                chunks.append(chunk)
                if not message.get("more_body", False):
                    return b"".join(chunks)
    except TimeoutError as error:
        text = f"body not complete after {limits.body_timeout_s:g} s"
        raise ApricotliftError(Code.SLOW_SENDER, text) from error


def parse_prompt_body(body: bytes, is_chat: bool) -> PromptBody:
    """Return the checked body of a prompt.

    :raises ApricotliftError: ``bad_request`` with all findings and their places.
    """
    model = ChatBody if is_chat else CompletionBody
    try:
        data = json.loads(body)
    except UnicodeDecodeError as error:
        message = f"invalid UTF-8 at byte {error.start}"
        raise ApricotliftError(Code.BAD_REQUEST, message) from error
    except (ValueError, RecursionError) as error:
        message = f"invalid JSON: {error}"
        raise ApricotliftError(Code.BAD_REQUEST, message) from error
    try:
        return model.model_validate(data)
    except ValidationError as error:
        findings = [
            {"place": ".".join(map(str, item["loc"])), "message": item["msg"]}
            for item in error.errors(include_url=False, include_input=False)
        ]
        places = ", ".join(item["place"] or "body" for item in findings)
        raise ApricotliftError(
            Code.BAD_REQUEST,
            f"invalid values at {places}",
            details={"findings": findings},
        ) from error


async def send_json(
    send: Send, status: int, data: object, headers: dict[str, str] | None = None
) -> None:
    """Send a whole JSON response."""
    body = json.dumps(data).encode()
    all_headers = {
        "content-type": "application/json",
        "content-length": str(len(body)),
        **(headers or {}),
    }
    await send_start(send, status, all_headers)
    await send({"type": "http.response.body", "body": body})


async def send_error(
    send: Send, error: ApricotliftError, request_id: str | None = None
) -> None:
    """Send a refusal."""
    headers = {}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(error.retry_after_s)))
    if "limit" in error.details:
        headers["x-ratelimit-limit"] = str(error.details["limit"])
        headers["x-ratelimit-remaining"] = str(error.details.get("remaining", 0))
        headers["x-ratelimit-scope"] = str(error.scope)
    if "reset_s" in error.details:
        headers["x-ratelimit-reset"] = str(math.ceil(error.details["reset_s"]))
    if request_id is not None:
        headers["x-request-id"] = request_id
    status = STATUS_BY_CODE.get(error.code, _UNAVAILABLE)
    await send_json(send, status, error.build_body(request_id), headers)


async def send_start(send: Send, status: int, headers: dict[str, str]) -> None:
    """Send status and headers."""
    raw = [
        (key.encode("latin-1"), value.encode("latin-1"))
        for key, value in headers.items()
    ]
    await send({"type": "http.response.start", "status": status, "headers": raw})


def _refuse_size(n_bytes: int, limit: int) -> ApricotliftError:
    message = f"body of {n_bytes} bytes or more, at most {limit} bytes"
    return ApricotliftError(Code.BODY_TOO_LARGE, message)
