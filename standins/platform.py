"""Stand-in for the platform: table service, object store and list of live instances.

One process serves the table service at ``/``, the object store below ``/objects/``
and the live list at ``/livelist/instances``. ``POST /faults`` takes a JSON object that
maps a part (``table``, ``objects``, ``livelist``) to the fields of a
:class:`standins.faults.FaultPlan`; a part that isn't named keeps its faults.
``POST /livelist/control`` replaces the live list. ``GET /truth`` returns all rows,
the sizes of the objects and the counts of operations; ``?rows=no`` leaves out the
rows. Run as
``python -m standins.platform --name platform``.
"""

import hashlib
import json
import time
from dataclasses import asdict, dataclass, field

import anyio
import defopt
from apricotlift.core import logs

from standins.faults import FaultPlan, Faults, RequestOutcome
from standins.http import (
    Reply,
    Request,
    StreamingReply,
    bind,
    build_app,
    build_json_reply,
)
from standins.http import serve as serve_http
from standins.tablestore import TableError, TableStore

PARTS = ("table", "objects", "livelist")
_TARGET = "DynamoDB_20120810."
_CLOSE_CONNECTION = Reply(cut=True)


@dataclass
class Platform:
    """The state of the platform process.

    :param live_lists: each live list with the time at which it becomes visible.
    """

    store: TableStore = field(default_factory=TableStore)
    objects: dict[str, bytes] = field(default_factory=dict)
    n_object_reads: int = 0
    n_object_writes: int = 0
    n_throttled: int = 0
    live_lists: list[tuple[float, dict]] = field(default_factory=list)
    faults: dict[str, Faults] = field(
        default_factory=lambda: {part: Faults() for part in PARTS}
    )


async def handle(platform: Platform, request: Request, out: StreamingReply) -> Reply:
    """Answer one request."""
    path = request.path
    if path == "/faults":
        return _handle_faults(platform, request.read_json())
    if path == "/truth":
        with_rows = request.query.get("rows") != "no"
        return build_json_reply(_build_truth(platform, with_rows))
    if path == "/livelist/control":
        return _set_live_list(platform, request.read_json())
    if path == "/livelist/instances":
        return await _serve_live_list(platform)
    if path.startswith("/objects/"):
        return await _serve_object(platform, request)
    if path == "/" and request.method == "POST":
        return await _serve_table(platform, request)
    return build_json_reply({"message": f"no route {path!r}"}, 404)


async def _serve_table(platform: Platform, request: Request) -> Reply:
    operation = request.headers.get("x-amz-target", "").removeprefix(_TARGET)
    operations = {
        "GetItem": platform.store.get,
        "Query": platform.store.query,
        "TransactWriteItems": platform.store.transact,
    }
    if operation not in operations:
        error = TableError("UnknownOperationException", f"no operation {operation!r}")
        return _build_table_reply(error.build_body(), 400)
    data = request.read_json()
    is_write = operation == "TransactWriteItems"
    faults = platform.faults["table"]
    outcome = faults.choose_outcome(is_write, len(data.get("TransactItems", "1")))
    if outcome is RequestOutcome.CLOSE:
        return _CLOSE_CONNECTION
    if outcome is RequestOutcome.THROTTLE:
        platform.n_throttled += 1
        message = "The level of configured provisioned throughput was exceeded"
        error = TableError("ProvisionedThroughputExceededException", message)
        return _build_table_reply(error.build_body(), 400)
    failure = TableError("InternalServerError", "internal error").build_body()
    await faults.delay(is_write)
    if outcome is RequestOutcome.ERROR_BEFORE:
        return _build_table_reply(failure, 500)
    try:
        reply = _build_table_reply(operations[operation](data), 200)
    except TableError as error:
        reply = _build_table_reply(error.build_body(), 400)
    except (KeyError, TypeError, ValueError) as error:
        body = TableError("ValidationException", repr(error)).build_body()
        reply = _build_table_reply(body, 400)
    if outcome is RequestOutcome.ERROR_AFTER:
        return _build_table_reply(failure, 500)
    return _CLOSE_CONNECTION if outcome is RequestOutcome.DROP_AFTER else reply


def _build_table_reply(data: dict, status: int) -> Reply:
    headers = {"content-type": "application/x-amz-json-1.0"}
    return Reply(status, json.dumps(data, separators=(",", ":")).encode(), headers)


async def _serve_object(platform: Platform, request: Request) -> Reply:
    key = request.path.removeprefix("/objects/")
    if request.method not in ("GET", "PUT"):
        return _build_object_error(405, "MethodNotAllowed")
    is_write = request.method == "PUT"
    faults = platform.faults["objects"]
    outcome = faults.choose_outcome(is_write, 1)
    if outcome is RequestOutcome.CLOSE:
        return _CLOSE_CONNECTION
    if outcome is RequestOutcome.THROTTLE:
        platform.n_throttled += 1
        return _build_object_error(503, "SlowDown")
    await faults.delay(is_write)
    if outcome is RequestOutcome.ERROR_BEFORE:
        return _build_object_error(500, "InternalError")
    reply = _execute_object_request(platform, key, request)
    if outcome is RequestOutcome.ERROR_AFTER:
        return _build_object_error(500, "InternalError")
    return _CLOSE_CONNECTION if outcome is RequestOutcome.DROP_AFTER else reply


def _execute_object_request(platform: Platform, key: str, request: Request) -> Reply:
    if request.method == "PUT":
        exists = key in platform.objects
        if exists and request.headers.get("if-none-match") == "*":
            return _build_object_error(412, "PreconditionFailed")
        platform.objects[key] = request.body
        platform.n_object_writes += 1
        return Reply(200, b"", {"etag": _build_etag(request.body)})
    platform.n_object_reads += 1
    if key not in platform.objects:
        return _build_object_error(404, "NoSuchKey")
    body = platform.objects[key]
    headers = {"etag": _build_etag(body), "content-type": "application/octet-stream"}
    return Reply(200, body, headers)


def _build_etag(body: bytes) -> str:
    return f'"{hashlib.md5(body, usedforsecurity=False).hexdigest()}"'


def _build_object_error(status: int, code: str) -> Reply:
    text = f"<Error><Code>{code}</Code><Message>{code}</Message></Error>"
    return Reply(status, text.encode(), {"content-type": "application/xml"})


async def _serve_live_list(platform: Platform) -> Reply:
    faults = platform.faults["livelist"]
    outcome = faults.choose_outcome(False, 1)
    if outcome is RequestOutcome.CLOSE:
        return _CLOSE_CONNECTION
    if outcome is RequestOutcome.THROTTLE:
        return build_json_reply({"message": "slow down"}, 429)
    await faults.delay(False)
    if outcome is RequestOutcome.ERROR_BEFORE:
        return build_json_reply({"message": "internal error"}, 500)
    now = time.monotonic()
    visible_lists = [
        data for visible_at, data in platform.live_lists if visible_at <= now
    ]
    created_at_ms = time.time_ns() // 1_000_000
    return build_json_reply(
        visible_lists[-1] if visible_lists else _build_live_list([], created_at_ms)
    )


def _set_live_list(platform: Platform, data: dict) -> Reply:
    """Add a live list that becomes visible after ``lag_s`` seconds."""
    visible_at = time.monotonic() + data.get("lag_s", 0.0)
    live_list = _build_live_list(data["instances"], time.time_ns() // 1_000_000)
    platform.live_lists.append((visible_at, live_list))
    return build_json_reply({})


def _build_live_list(instances: list[dict], as_of_ms: int) -> dict:
    return {"as_of_ms": as_of_ms, "instances": instances}


def _handle_faults(platform: Platform, data: dict) -> Reply:
    try:
        plans = {part: FaultPlan(**fields) for part, fields in data.items()}
    except TypeError as error:
        return build_json_reply({"message": str(error)}, 400)
    if unknown := set(plans) - set(PARTS):
        return build_json_reply(
            {"message": f"no parts {sorted(unknown)}, expected {PARTS}"}, 400
        )
    platform.faults.update({part: Faults(plan) for part, plan in plans.items()})
    return build_json_reply({})


def _build_truth(platform: Platform, with_rows: bool) -> dict:
    store = platform.store
    return {
        "rows": store.list_rows() if with_rows else [],
        "n_reads": store.n_reads,
        "n_rows_read": store.n_rows_read,
        "n_writes": store.n_writes,
        "n_transactions": store.n_transactions,
        "n_cancelled": store.n_cancelled,
        "n_throttled": platform.n_throttled,
        "objects": {key: len(body) for key, body in platform.objects.items()},
        "n_object_reads": platform.n_object_reads,
        "n_object_writes": platform.n_object_writes,
        "faults": {part: asdict(item.plan) for part, item in platform.faults.items()},
    }


def main(*, name: str = "platform", address: str = "127.0.0.1:0") -> None:
    """Run the stand-in of the platform.

    :param name: name of the component in the logs
    :param address: HOST:PORT to listen on; port 0 lets the system choose
    """
    logs.configure(name)
    platform = Platform()

    async def answer(request: Request, out: StreamingReply) -> Reply:
        return await handle(platform, request, out)

    async def run() -> None:
        await serve_http(build_app(answer), bind(address), name)

    anyio.run(run)


if __name__ == "__main__":
    defopt.run(main)
