"""Stand-in for the users' store: rows, transactions, and the feed of changes.

Run as ``python -m standins.rowstore``. ``POST /_fault`` sets how it misbehaves and
``POST /_put`` writes a row as the operator or a server would.
"""

import base64
import json
import time
from dataclasses import dataclass, field

import anyio
from apricotlift.core import logs

from standins.http import Reply, Request, bind, build_app, build_json_reply, serve

_GUARDED_TABLES = ("op", "servers")
_POLL_S = 0.01


@dataclass
class RowStoreState:
    """All rows by (table, part, key), and the history of changes.

    :param mode: ``none``; ``refuse``: 503 to everything; ``silent``: no answers;
        ``lose``: transactions are applied and their answers lost.
    """

    rows: dict[tuple[str, str, str], tuple[bytes, int]] = field(default_factory=dict)
    history: list[tuple[int, tuple[str, str, str], bytes | None]] = field(
        default_factory=list
    )
    version: int = 0
    kept_from: int = 0
    mode: str = "none"
    n_calls: dict[str, int] = field(default_factory=dict)

    def write(self, puts: dict, removes: list) -> None:
        """Apply a transaction."""
        self.version += 1
        for key, value in puts.items():
            self.rows[key] = (value, self.version)
            self.history.append((self.version, key, value))
        for key in removes:
            self.rows.pop(key, None)
            self.history.append((self.version, key, None))

    def render(self, key: tuple[str, str, str]) -> dict:
        """Return a row as it goes over the wire."""
        value, version = self.rows[key]
        return {
            **dict(zip(("table", "part", "key"), key, strict=True)),
            "value": base64.b64encode(value).decode(),
            "recordVersion": version,
        }


def build_store_app(state: RowStoreState):
    """Return the ASGI app of the stand-in."""

    def finish(data: dict, status: int = 200) -> Reply:
        now_ms = int(time.monotonic() * 1000)
        return build_json_reply(
            {**data, "recordVersion": state.version, "nowMs": now_ms}, status
        )

    def read_key(item: dict) -> tuple[str, str, str]:
        return (item["table"], item.get("part", ""), item["key"])

    async def transact(request: Request) -> Reply:
        data = request.read_json()
        keys = [read_key(item) for item in data["put"] + data["remove"]]
        if any(key[0] in _GUARDED_TABLES for key in keys):
            return finish({}, 403)
        expected = {
            read_key(item): item["recordVersion"] for item in data["expectedRevision"]
        }
        for key, version in expected.items():
            if state.rows.get(key, (b"", 0))[1] != version:
                present = [
                    state.render(item) for item in expected if item in state.rows
                ]
                return finish({"rows": present}, 412)
        puts = {read_key(item): base64.b64decode(item["value"]) for item in data["put"]}
        state.write(puts, [read_key(item) for item in data["remove"]])
        if state.mode == "lose":
            return Reply(cut=True)
        return finish({})

    async def read(request: Request) -> Reply:
        query = request.query
        start, end = query.get("startKey", ""), query.get("to", "")
        limit = int(query.get("limit", "500"))
        found = sorted(
            key
            for key in state.rows
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= start
            and (not end or key[2] < end)
        )
        rows = [state.render(key) for key in found[:limit]]
        return finish({"rows": rows, "truncated": len(found) > limit})

    async def feed(request: Request) -> Reply:
        after = int(request.query["after"])
        until = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
        while True:
            if after < state.kept_from:
                return finish({}, 410)
            changed = [
                (version, key, value)
                for version, key, value in state.history
                if version > after and key[0] == request.query["table"]
            ]
            if changed or time.monotonic() > until:
                break
            await anyio.sleep(_POLL_S)
        rows = [
            {
                **dict(zip(("table", "part", "key"), key, strict=True)),
                "value": base64.b64encode(value or b"").decode(),
                "recordVersion": version,
                **({"deleted": True} if value is None else {}),
            }
            for version, key, value in changed
        ]
        return finish({"rows": rows})

    async def control(request: Request) -> Reply:
        data = request.read_json()
        if request.path == "/_fault":
            state.mode = data["mode"]
            if data.get("forget"):
                state.history.clear()
                state.kept_from = state.version + 1
                state.version += 1
            return build_json_reply({})
        if request.path == "/_calls":
            return build_json_reply(state.n_calls)
        key = read_key(data)
        value = data.get("value")
        if value is None:
            state.write({}, [key])
        else:
            state.write({key: json.dumps(value).encode()}, [])
        return build_json_reply({"version": state.version})

    async def handle(request: Request, streaming) -> Reply | None:
        if request.path.startswith("/_"):
            return await control(request)
        state.n_calls[request.path] = state.n_calls.get(request.path, 0) + 1
        if state.mode == "refuse":
            return Reply(503)
        while state.mode == "silent":
            await anyio.sleep(_POLL_S)
        calls = {"/rows-tx": transact, "/rows-get": read, "/rows-feed": feed}
        return await calls[request.path](request)

    return build_app(handle)


def main() -> None:
    """Run the stand-in until it is stopped."""
    logs.configure("rowstore")
    anyio.run(serve, build_store_app(RowStoreState()), bind(), "rowstore")


if __name__ == "__main__":
    main()
