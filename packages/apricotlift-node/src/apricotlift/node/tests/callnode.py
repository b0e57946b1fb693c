"""A process that routes calls like a node and that a test can stop at a named point.

``--point claimed`` stops it between claim and dispatch, ``--point answered`` between
the upstream's answer and the record. With ``--stop hang`` the call waits there until the
process is killed; with ``--stop pause`` the whole process is stopped until a SIGCONT.
"""

import os
import signal

import anyio
import defopt
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.node.calls import CallContext, RoutedCall, run_call
from apricotlift.platform import ObjectStore, Table
from apricotlift.state.claimbatch import WriteBatcher
from apricotlift.state.claims import ClaimManager
from apricotlift.state.declarations import encode_document, load_declarations
from apricotlift.state.snapshots import Snapshot
from apricotlift.upstreams.pool import Pool

from standins.http import (
    Reply,
    Request,
    StreamingReply,
    bind,
    build_app,
    build_json_reply,
)
from standins.http import serve as serve_http


class StoppingClaims(ClaimManager):
    """Claims that stop the process at a named point."""

    point = ""
    stop = ""

    async def claim(self, account, key, body_digest):
        claim = await super().claim(account, key, body_digest)
        await self._stop_at("claimed")
        return claim

    async def record(self, claim, result):
        await self._stop_at("answered")
        await super().record(claim, result)

    async def _stop_at(self, point: str) -> None:
        if self.point != point:
            return
        self.point = ""
        logs.log(logs.INFO, "stopped", point=point)
        if self.stop == "pause":
            os.kill(os.getpid(), signal.SIGSTOP)
        else:
            await anyio.sleep_forever()


async def handle_request(
    context: CallContext, state: dict, snapshot, request: Request
) -> Reply:
    data = request.read_json()
    if request.path == "/control":
        state.update(data)
        return build_json_reply({})
    if request.path == "/metrics":
        return Reply(200, context.metrics.render().encode())
    deadline_s = data.pop("deadline_s", 30.0)
    cancel_s = data.pop("cancel_s", 60.0)
    data["body"] = data["body"].encode()
    call = RoutedCall("north", deadline_at=clocks.monotonic() + deadline_s, **data)
    try:
        with anyio.move_on_after(cancel_s):
            call_answer = await run_call(call, snapshot, context)
            return build_json_reply(
                {
                    "status": call_answer.status,
                    "headers": call_answer.headers,
                    "body": call_answer.body.decode(),
                    "outcome": "replay"
                    if call_answer.is_replay
                    else str(call_answer.status),
                }
            )
        return build_json_reply({"outcome": "cancelled"})
    except ApricotliftError as error:
        return build_json_reply({"outcome": f"{error.code} ran {error.ran}"})


def main(
    *, name: str, platform: str, declarations: str, point: str = "", stop: str = "hang"
) -> None:
    """Run a node that routes each call sent to ``POST /call``."""
    logs.configure(name)
    snapshot = Snapshot(1, "", encode_document(load_declarations([declarations])))
    state = {"lost": [], "leaving": [], "n_retries": 10}

    def take_retry(service: str) -> bool:
        state["n_retries"] -= 1
        return state["n_retries"] >= 0

    async def run() -> None:
        metrics = Metrics()
        async with Pool() as pool, anyio.create_task_group() as tasks:
            table = Table(f"http://{platform}", "t", pool, metrics, 1.0)
            batcher = WriteBatcher(table, metrics)
            claims = StoppingClaims(
                table,
                ObjectStore(f"http://{platform}/objects", pool),
                batcher.write,
                metrics,
                name,
                lambda: "1",
                lambda node, _: node not in state["lost"],
            )
            claims.point, claims.stop = point, stop
            await tasks.start(batcher.run)
            await tasks.start(claims.run)
            context = CallContext(
                pool, claims, metrics, take_retry, lambda up: up in state["leaving"]
            )

            async def handle(request: Request, out: StreamingReply) -> Reply:
                return await handle_request(context, state, snapshot, request)

            await serve_http(build_app(handle), bind(), name)
            tasks.cancel_scope.cancel()

    anyio.run(run)


if __name__ == "__main__":
    defopt.run(main)
