"""A plain service for tests, which lists the calls that it ran at ``/truth``.

``/faults`` sets the mode for the calls after it: ``answer`` answers at once, ``slow``
after 1 s, ``hold`` never, ``cut`` closes the connection without an answer, and
``unavailable`` answers with status 503.
"""

import anyio
import defopt
from apricotlift.core import logs

from standins.http import (
    Reply,
    Request,
    StreamingReply,
    bind,
    build_app,
    build_json_reply,
)
from standins.http import serve as serve_http

MODES = ("answer", "hold", "cut", "slow", "unavailable")


def main(*, name: str) -> None:
    """Run the service."""
    logs.configure(name)
    ran: list[dict] = []
    faults = {"mode": "answer"}

    async def handle_call(request: Request, out: StreamingReply) -> Reply:
        if request.path == "/faults":
            faults.update(request.read_json())
            return build_json_reply({})
        if request.path == "/truth":
            return build_json_reply(ran)
        body = request.body.decode()
        ran.append({"path": request.path, "body": body, "headers": request.headers})
        logs.log(logs.INFO, "ran", path=request.path)
        mode = faults["mode"]
        if mode == "hold":
            await anyio.sleep_forever()
        if mode == "slow":
            await anyio.sleep(1.0)
        if mode == "cut":
            return Reply(cut=True)
        headers = {
            "x-served-by": name,
            "x-apricotlift-secret": "internal",
            "connection": "x-hop",
            "x-hop": "1",
        }
        status = 503 if mode == "unavailable" else 200
        return Reply(status, f"{name}: {body}".encode(), headers)

    async def run() -> None:
        await serve_http(build_app(handle_call), bind(), name)

    anyio.run(run)


if __name__ == "__main__":
    defopt.run(main)
