"""A node that shuts down gets SIGHUP: it ends, and cuts the orders in progress."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

_N_ORDERS = 4
#: The largest work time of an order on the sheet.
_WORK_S = 0.45
#: The order is sent so long after SIGTERM; the node takes requests for 3 s.
_SENT_AFTER_S = 1.0


async def play(record: harness.Record, temporary: Path, has_trouble: bool) -> bool:
    """Send orders to a node that got SIGTERM, and SIGHUP while a server runs them.

    :returns: whether an order that a server ran got no answer.
    """
    store = harness.Store()
    store_address, _ = await harness.listen(store.handle)
    n_run = 0

    async def run_order(request, writer) -> None:
        nonlocal n_run
        n_run += 1
        request_id = request.headers["x-request-id"]
        record.note(f"server i-1 runs order {request_id}")
        await asyncio.sleep(_WORK_S)
        headers = {"X-Request-Id": request_id, "X-Server-Stamp": f"i-1.{request_id}"}
        writer.write(harness.build_response(200, headers, b"x" * 800))

    server_address, _ = await harness.listen(run_order)
    store.put("op", "config", harness.build_desk_configuration())
    store.put("servers", "i-1", harness.build_entry("desk", server_address))
    node = harness.Node("front-1", store_address, temporary, record)
    try:
        await node.start()
        await node.wait_until_ready()
        node.send_signal(signal.SIGTERM)
        await asyncio.sleep(_SENT_AFTER_S)
        orders = [
            asyncio.create_task(
                harness.send_request(
                    node, record, "POST", "/order/a", f"order-{number}"
                )
            )
            for number in range(_N_ORDERS)
        ]
        await asyncio.sleep(_WORK_S / 2)
        if n_run != _N_ORDERS:
            raise RuntimeError(f"{n_run} of {_N_ORDERS} orders reached the server")
        if has_trouble:
            node.send_signal(signal.SIGHUP)
        answers = await asyncio.gather(*orders)
    finally:
        await node.kill()
    n_lost = sum(not answer.is_complete for answer in answers)
    record.note(f"{n_lost} of {n_run} orders that ran got no complete answer")
    return n_lost > 0


sys.exit(harness.run_case(FOLDER, play))
