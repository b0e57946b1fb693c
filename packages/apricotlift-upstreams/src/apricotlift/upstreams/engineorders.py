"""Orders to an engine: load weights, unload weights, change the role."""

import json
from dataclasses import asdict, dataclass

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.upstreams.engine import (
    CONTROL_TIMEOUTS,
    EngineClient,
    build_body_error,
    decode_json_object,
)

#: Longest time in seconds between the start of a call and the last byte of its request.
#: An order is sent only if its lease is valid for longer than this.
MAX_ORDER_SEND_S = CONTROL_TIMEOUTS.connect_s + CONTROL_TIMEOUTS.write_s


@dataclass(frozen=True)
class EngineOrder:
    """An order to an engine.

    :param fence: fencing token of the lease under which the order is sent.
    :param action: ``load``, ``unload`` or ``role``.
    """

    order_id: str
    fence: int
    action: str
    slot: str = ""
    model: str = ""
    weight_version: str = ""
    adapter: str = ""
    role: str = ""


async def send_order(engine: EngineClient, order: EngineOrder) -> None:
    """Send an order and return once the engine has accepted it.

    A load continues in the engine after this.

    :raises ApricotliftError: ``stale_fence`` with ``details["highest"]`` when the
        engine has seen a higher fencing token, ``upstream_refused``, or a transport
        failure, after which the order may have taken effect.
    """
    response = await engine.call("POST", "/orders", asdict(order))
    if response.status == 409:
        raise _decode_conflict(engine, response.body)
    if response.status >= 500:
        message = (
            f"engine {engine.name} answered an order with status {response.status}"
        )
        raise ApricotliftError(
            Code.UPSTREAM_REFUSED, message, Ran.MAYBE, Scope.UPSTREAM
        )
    answer = decode_json_object(response)
    if answer.get("order_id", order.order_id) != order.order_id:
        message = f"engine {engine.name} sent the response to another order"
        raise ApricotliftError(Code.FOREIGN_ATTEMPT, message, Ran.MAYBE, Scope.UPSTREAM)


def _decode_conflict(engine: EngineClient, body: bytes) -> ApricotliftError:
    try:
        error = json.loads(body)["error"]
        code = str(error["code"])
        highest = int(error.get("highest", 0))
    except (ValueError, KeyError, TypeError):
        return build_body_error("/orders")
    message = f"engine {engine.name} refused an order with code {code}"
    if code == "stale_fence":
        return ApricotliftError(
            Code.STALE_FENCE,
            message,
            Ran.NO,
            Scope.UPSTREAM,
            details={"highest": highest},
        )
    return ApricotliftError(Code.UPSTREAM_REFUSED, message, Ran.NO, Scope.UPSTREAM)
