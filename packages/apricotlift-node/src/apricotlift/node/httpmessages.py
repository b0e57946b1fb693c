"""Reading and validation of callers' HTTP requests, and sending of responses.

Other modules rely on the size limits and the types that are checked here.
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

#: Prefix of headers that are only used inside the system; they are dropped from
#: callers' requests.
INTERNAL_HEADER_PREFIX = "x-apricotlift-"

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
_DEFAULT_STATUS = 503


@dataclass(frozen=True)
class HttpRequest:
    """A request whose headers are within the limits and without internal ones."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    receive: Receive


class Message(BaseModel):
    """One message of a chat conversation."""

    role: Literal["system", "user", "assistant", "tool"]
    content: str


class _Body(BaseModel):
    # OpenAI clients send fields that engines don't need; unknown fields are ignored.
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
        """Return the messages as one text; earlier turns are a prefix of later ones."""
        return "".join(
            f"<|{message.role}|>\n{message.content}\n" for message in self.messages
        )


PromptBody = CompletionBody | ChatBody


def read_headers(scope: dict, limits: BorderModel) -> dict[str, str]:
    """Return the headers by lower-case name, without the internal ones.

    :raises ApricotliftError: ``headers_too_large``.
    """
    raw_headers = scope["headers"]
    n_bytes = sum(len(name) + len(value) for name, value in raw_headers)
    if len(raw_headers) > limits.max_headers or n_bytes > limits.max_header_bytes:
        message = (
            f"request has {len(raw_headers)} headers of {n_bytes} bytes in total, "
            f"allowed are {limits.max_headers} of {limits.max_header_bytes} bytes"
        )
        raise ApricotliftError(Code.HEADERS_TOO_LARGE, message)
    headers = {}
    for name, value in raw_headers:
        lower_name = name.decode("latin-1").lower()
        if not lower_name.startswith(INTERNAL_HEADER_PREFIX):
            headers[lower_name] = value.decode("latin-1")
    return headers


async def read_body(request: HttpRequest, limits: BorderModel) -> bytes:
    """Read the body, limited in size and in time.

    :raises ApricotliftError: ``body_too_large`` or ``slow_sender``.
    """
    max_bytes = limits.max_body_bytes
    declared = request.headers.get("content-length", "")
    if declared.isdigit() and int(declared) > max_bytes:
        raise _build_size_error(int(declared), max_bytes)
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
                if n_bytes > max_bytes:
                    raise _build_size_error(n_bytes, max_bytes)
                chunks.append(chunk)
                if not message.get("more_body", False):
                    return b"".join(chunks)
    except TimeoutError as error:
        text = f"request body was not complete after {limits.body_timeout_s:g} s"
        raise ApricotliftError(Code.SLOW_SENDER, text) from error


def parse_prompt_body(body: bytes, is_chat: bool) -> PromptBody:
    """Return the validated body of a prompt request.

    :raises ApricotliftError: ``bad_request`` with all findings and their places.
    """
    body_type = ChatBody if is_chat else CompletionBody
    try:
        data = json.loads(body)
    except UnicodeDecodeError as error:
        message = f"request body has invalid UTF-8 at byte {error.start}"
        raise ApricotliftError(Code.BAD_REQUEST, message) from error
    except (ValueError, RecursionError) as error:
        message = f"request body is not valid JSON: {error}"
        raise ApricotliftError(Code.BAD_REQUEST, message) from error
    try:
        return body_type.model_validate(data)
    except ValidationError as error:
        findings = [
            {"place": ".".join(map(str, item["loc"])), "message": item["msg"]}
            for item in error.errors(include_url=False, include_input=False)
        ]
        places = ", ".join(item["place"] or "body" for item in findings)
        raise ApricotliftError(
            Code.BAD_REQUEST,
            f"request body has invalid values at {places}",
            details={"findings": findings},
        ) from error


async def send_json(
    send: Send, status: int, data: object, headers: dict[str, str] | None = None
) -> None:
    """Send a complete JSON response."""
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
    """Send an error response, with rate-limit headers if the error has them."""
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
    status = STATUS_BY_CODE.get(error.code, _DEFAULT_STATUS)
    await send_json(send, status, error.build_body(request_id), headers)


async def send_start(send: Send, status: int, headers: dict[str, str]) -> None:
    """Send the response's status and headers."""
    raw_headers = [
        (key.encode("latin-1"), value.encode("latin-1"))
        for key, value in headers.items()
    ]
    await send(
        {"type": "http.response.start", "status": status, "headers": raw_headers}
    )


def _build_size_error(n_bytes: int, max_bytes: int) -> ApricotliftError:
    message = f"request body has at least {n_bytes} bytes, allowed are {max_bytes}"
    return ApricotliftError(Code.BODY_TOO_LARGE, message)
