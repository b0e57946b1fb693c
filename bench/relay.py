"""A minimal relay: uvicorn with h11 as server, httpcore as client.

It writes each received chunk at once. ``bench/overhead.py`` uses it as the lower bound
that a node is compared with.
"""

import anyio
import defopt
import httpcore
from apricotlift.core import logs

from standins.http import bind, serve


def build_relay(pool: httpcore.AsyncConnectionPool, target: str):
    """Return an ASGI app that relays each request to the target address."""

    async def app(scope, receive, send) -> None:
        if scope["type"] != "http":
            return
        body = b""
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        url = f"http://{target}{scope['path']}"
        headers = [(b"host", target.encode()), (b"content-type", b"application/json")]
        async with pool.stream(
            scope["method"], url, headers=headers, content=body
        ) as response:
            start = {
                "type": "http.response.start",
                "status": response.status,
                "headers": [(b"content-type", b"text/event-stream")],
            }
            await send(start)
            async for chunk in response.aiter_stream():
                part = {"type": "http.response.body", "body": chunk, "more_body": True}
                await send(part)
        await send({"type": "http.response.body", "body": b""})

    return app


def main(*, target: str) -> None:
    """Run the relay.

    :param target: IP:PORT of the engine
    """
    logs.configure("relay")

    async def run() -> None:
        async with httpcore.AsyncConnectionPool(
            max_connections=2000, network_backend=httpcore.AnyIOBackend()
        ) as pool:
            await serve(build_relay(pool, target), bind(), "relay")

    anyio.run(run)


if __name__ == "__main__":
    defopt.run(main)
