"""Stand-in for the users' store: rows, transactions and a feed of changes.

Run as ``python -m standins.rowstore``. ``POST /_fault`` selects a fault to simulate,
takes a copy (``{"copy": true}``) or goes back to it (``{"restore": true}``),
``POST /_put`` writes a row as the operator, a server or another program would, and
``GET /_calls`` returns the number of calls by path.
"""

import base64
import json
import time
from dataclasses import dataclass, field, replace

import anyio
from apricotlift.core import logs

from standins.http import Reply, Request, bind, build_app, build_json_reply, serve

_READ_ONLY_TABLES = ("op", "servers")
_POLL_INTERVAL_S = 0.01
_FIRST_ERA = 1


@dataclass(frozen=True)
class RowStoreCopy:
    """The rows and the history of a store at one moment."""

    rows: dict[tuple[str, str, str], tuple[bytes, int]]
    history: tuple[tuple[int, tuple[str, str, str], bytes | None], ...]
    version: int
    kept_from: int


@dataclass
class RowStoreState:
    """All rows by (table, part, key), and the history of changes.

    :param rows: value and version of each row.
    :param history: version, row key and new value of each change; ``None`` if deleted.
    :param version: version of the last change.
    :param kept_from: first version whose history is kept; older ones give status 410.
    :param mode: simulated fault: ``none``; ``refuse`` answers 503 to every call;
        ``silent`` doesn't answer; ``lose`` applies transactions without answering;
        ``lost`` never answers the calls that wait or arrive while it lasts.
    :param n_lost: number of times that calls were lost.
    :param n_calls: calls by path, without those that control the stand-in.
    :param era: number of the store's state; it rises when a copy is restored.
    :param copy: the copy that :meth:`restore` goes back to.
    :param odd_fields: fields that replace those of a row in each response.
    """

    rows: dict[tuple[str, str, str], tuple[bytes, int]] = field(default_factory=dict)
    history: list[tuple[int, tuple[str, str, str], bytes | None]] = field(
        default_factory=list
    )
    version: int = 0
    kept_from: int = 0
    mode: str = "none"
    n_calls: dict[str, int] = field(default_factory=dict)
    era: int = _FIRST_ERA
    copy: RowStoreCopy | None = None
    odd_fields: dict[tuple[str, str, str], dict] = field(default_factory=dict)
    n_lost: int = 0

    def save_copy(self) -> None:
        """Keep a copy of the current state."""
        self.copy = RowStoreCopy(
            dict(self.rows), tuple(self.history), self.version, self.kept_from
        )

    def restore(self) -> None:
        """Go back to the state of the last copy, as a new era."""
        self.rows = dict(self.copy.rows)
        self.history = list(self.copy.history)
        self.version = self.copy.version
        self.kept_from = self.copy.kept_from
        self.era += 1

    def write(self, new_values: dict, removed_keys: list) -> None:
        """Apply a transaction as one new version."""
        self.version += 1
        for key, value in new_values.items():
            self.rows[key] = (value, self.version)
            self.history.append((self.version, key, value))
        for key in removed_keys:
            self.rows.pop(key, None)
            self.history.append((self.version, key, None))

    def render(self, key: tuple[str, str, str]) -> dict:
        """Return a row in its wire format."""
        value, version = self.rows[key]
        return {
            **dict(zip(("table", "part", "key"), key, strict=True)),
            "value": base64.b64encode(value).decode(),
            "recordVersion": version,
            **self.odd_fields.get(key, {}),
        }


def build_store_app(state: RowStoreState):
    """Return the ASGI app of the stand-in."""

    def build_versioned_reply(data: dict, status: int = 200) -> Reply:
        now_ms = int(time.monotonic() * 1000)
        return build_json_reply(
            {**data, "recordVersion": state.version, "nowMs": now_ms}, status
        )

    def parse_key(item: dict) -> tuple[str, str, str]:
        return (item["table"], item.get("part", ""), item["key"])

    async def transact(request: Request) -> Reply:
        data = request.read_json()
        keys = [parse_key(item) for item in data["put"] + data["remove"]]
        if any(key[0] in _READ_ONLY_TABLES for key in keys):
            return build_versioned_reply({}, 403)
        expected = {
            parse_key(item): item["recordVersion"] for item in data["expectedRevision"]
        }
        for key, version in expected.items():
            if state.rows.get(key, (b"", 0))[1] != version:
                current_rows = [
                    state.render(item) for item in expected if item in state.rows
                ]
                return build_versioned_reply({"rows": current_rows}, 412)
        new_values = {
            parse_key(item): base64.b64decode(item["value"]) for item in data["put"]
        }
        state.write(new_values, [parse_key(item) for item in data["remove"]])
        if state.mode == "lose":
            return Reply(cut=True)
        return build_versioned_reply({})

    async def read(request: Request) -> Reply:
        query = request.query
        start, end = query.get("startKey", ""), query.get("to", "")
        limit = int(query.get("limit", "500"))
        matching_keys = sorted(
            key
            for key in state.rows
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= start
            and (not end or key[2] < end)
        )
        rows = [state.render(key) for key in matching_keys[:limit]]
        return build_versioned_reply(
            {"rows": rows, "truncated": len(matching_keys) > limit}
        )

    async def feed(request: Request) -> Reply:
        after = int(request.query["after"])
        era = state.era
        deadline_at = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
        while True:
            if state.era != era:
                return Reply(cut=True)
            if after < state.kept_from or after > state.version:
                return build_versioned_reply({}, 410)
            changes = [
                (version, key, value)
                for version, key, value in state.history
                if version > after and key[0] == request.query["table"]
            ]
            if changes or time.monotonic() > deadline_at:
                break
            await anyio.sleep(_POLL_INTERVAL_S)
        rows = [
            {
                **dict(zip(("table", "part", "key"), key, strict=True)),
                "value": base64.b64encode(value or b"").decode(),
                "recordVersion": version,
                **({"deleted": True} if value is None else {}),
                **state.odd_fields.get(key, {}),
            }
            for version, key, value in changes
        ]
        return build_versioned_reply({"rows": rows})

    async def handle_control(request: Request) -> Reply:
        data = request.read_json()
        if request.path == "/_fault":
            state.mode = data.get("mode", state.mode)
            state.n_lost += state.mode == "lost"
            if data.get("forget"):
                state.history.clear()
                state.kept_from = state.version + 1
                state.version += 1
            if data.get("copy"):
                state.save_copy()
            if data.get("restore"):
                state.restore()
            return build_json_reply({})
        if request.path == "/_calls":
            return build_json_reply(state.n_calls)
        key = parse_key(data)
        state.odd_fields[key] = data.get("odd_fields", {})
        value = data.get("value")
        if "raw" in data:
            state.write({key: base64.b64decode(data["raw"])}, [])
        elif value is None:
            state.write({}, [key])
        else:
            state.write({key: json.dumps(value).encode()}, [])
        return build_json_reply({"version": state.version})

    async def handle(request: Request, streaming) -> Reply | None:
        if request.path.startswith("/_"):
            return await handle_control(request)
        n_lost = state.n_lost
        reply = await handle_call(request)
        if state.mode == "lost" or state.n_lost != n_lost:
            await anyio.sleep_forever()
        return replace(reply, headers={**reply.headers, "Store-Era": str(state.era)})

    async def handle_call(request: Request) -> Reply:
        state.n_calls[request.path] = state.n_calls.get(request.path, 0) + 1
        if state.mode == "refuse":
            return Reply(503)
        while state.mode == "silent":
            await anyio.sleep(_POLL_INTERVAL_S)
        handlers = {"/rows-tx": transact, "/rows-get": read, "/rows-feed": feed}
        return await handlers[request.path](request)

    return build_app(handle)


def main() -> None:
    """Run the stand-in until it is stopped."""
    logs.configure("rowstore")
    anyio.run(serve, build_store_app(RowStoreState()), bind(), "rowstore")


if __name__ == "__main__":
    main()
