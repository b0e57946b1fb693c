"""Orders to an engine: weight loads, unloads and roles."""

import json
from dataclasses import asdict, dataclass

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.upstreams.engine import (
    CONTROL_TIMEOUTS,
    EngineClient,
    read_json,
    refuse_body,
)

#: Longest time between the start of a call and the last byte of its request. An
#: order is sent only when its lease outlasts this.
SEND_S = CONTROL_TIMEOUTS.connect_s + CONTROL_TIMEOUTS.write_s


@dataclass(frozen=True)
class EngineOrder:
    """One order.

    :param fence: fencing number of the lease under which it is sent.
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
    """Send an order; a load continues after the engine has accepted it.

    :raises ApricotliftError: ``stale_fence`` with ``details["highest"]`` when the
        engine has seen a newer fencing number, ``upstream_refused``, or a failure of
        the transport, after which the order may have taken effect.
    """
    response = await engine.call("POST", "/orders", asdict(order))
    if response.status == 409:
        raise _read_conflict(engine, response.body)
    if response.status >= 500:
        message = f"engine {engine.name} answered {response.status} to an order"
        raise ApricotliftError(
            Code.UPSTREAM_REFUSED, message, Ran.MAYBE, Scope.UPSTREAM
        )
    answer = read_json(response)
    if answer.get("order_id", order.order_id) != order.order_id:
        message = f"engine {engine.name} answered for another order"
        raise ApricotliftError(Code.FOREIGN_ATTEMPT, message, Ran.MAYBE, Scope.UPSTREAM)


def _read_conflict(engine: EngineClient, body: bytes) -> ApricotliftError:
    try:
        error = json.loads(body)["error"]
        code = str(error["code"])
        highest = int(error.get("highest", 0))
    except (ValueError, KeyError, TypeError):
        return refuse_body("/orders")
    message = f"engine {engine.name} refused an order: {code}"
    if code == "stale_fence":
        return ApricotliftError(
            Code.STALE_FENCE,
            message,
            Ran.NO,
            Scope.UPSTREAM,
            details={"highest": highest},
        )
    return ApricotliftError(Code.UPSTREAM_REFUSED, message, Ran.NO, Scope.UPSTREAM)
