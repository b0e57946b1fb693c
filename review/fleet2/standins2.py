"""Stand-ins of the platform's store and of its servers, with the standard library only.

``python3 standins2.py store RECORD`` serves the row calls of PROTOCOL.md. ``python3
standins2.py servers RECORD N`` serves N servers. The system chooses the ports, which go
to the file RECORD together with what the servers receive and answer, one JSON object a
line. A route's first path element names the behaviour of the server, see
:data:`BEHAVIOURS`.
"""

import asyncio
import base64
import json
import sys
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

_FEED_STEP_S = 0.01


async def read_request(reader):
    """Return method, target, headers and body of a request, ``None`` at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = b""
    if n_body := int(headers.get("content-length", "0")):
        body = await reader.readexactly(n_body)
    return method, target, headers, body


def build_response(status, headers=None, body=b""):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """Rows of the platform's store, and the history of their changes."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0

    def write(self, puts, removes):
        """Apply one transaction."""
        self.version += 1
        for key, value in puts.items():
            self.rows[key] = (value, self.version)
            self.history.append((self.version, key, value))
        for key in removes:
            self.rows.pop(key, None)
            self.history.append((self.version, key, None))

    def render(self, key):
        """Return a row as the store's responses show it."""
        value, version = self.rows[key]
        return self.render_change(version, key, value)

    @staticmethod
    def render_change(version, key, value):
        """Return a change as the feed shows it."""
        row = dict(zip(("table", "part", "key"), key, strict=True))
        row["value"] = (value or b"").hex() and base64.b64encode(value).decode()
        row["recordVersion"] = version
        if value is None:
            row["deleted"] = True
        return row

    def answer(self, data, status=200):
        """Return a response with the newest version and the clock."""
        now_ms = int(time.monotonic() * 1000)
        body = {**data, "recordVersion": self.version, "nowMs": now_ms}
        headers = {"Content-Type": "application/json", "Store-Era": "1"}
        return build_response(status, headers, json.dumps(body).encode())

    async def handle(self, method, target, body):
        """Return the response to one call."""
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/_put":
            # The operator and the servers write through this call.
            item = json.loads(body)
            key = (item["table"], "", item["key"])
            if item.get("value") is None:
                self.write({}, [key])
            else:
                self.write({key: json.dumps(item["value"]).encode()}, [])
            return self.answer({})
        if url.path == "/rows-get":
            first, end = query.get("startKey", ""), query.get("to", "")
            place = (query["table"], query.get("part", ""))
            keys = sorted(
                key
                for key in self.rows
                if key[:2] == place and key[2] >= first and (not end or key[2] < end)
            )
            limit = int(query.get("limit", "500"))
            rows = [self.render(key) for key in keys[:limit]]
            return self.answer({"rows": rows, "truncated": len(keys) > limit})
        if url.path == "/rows-feed":
            return await self.wait_for_changes(query)
        if url.path == "/rows-tx":
            return self.transact(json.loads(body))
        return self.answer({}, 404)

    async def wait_for_changes(self, query):
        """Answer a call for changes as soon as there is one."""
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        after = int(query["after"])
        while True:
            changes = [
                change
                for change in self.history
                if change[0] > after and change[1][0] == query["table"]
            ]
            if changes or time.monotonic() > until:
                break
            await asyncio.sleep(_FEED_STEP_S)
        return self.answer({"rows": [self.render_change(*item) for item in changes]})

    def transact(self, data):
        """Apply all entries of a transaction or none."""

        def parse(item):
            return (item["table"], item.get("part", ""), item["key"])

        expected = {
            parse(item): item["recordVersion"]
            for item in data.get("expectedRevision", ())
        }
        for key, version in expected.items():
            if self.rows.get(key, (b"", 0))[1] != version:
                rows = [self.render(item) for item in expected if item in self.rows]
                return self.answer({"rows": rows}, 412)
        puts = {
            parse(item): base64.b64decode(item["value"]) for item in data.get("put", ())
        }
        self.write(puts, [parse(item) for item in data.get("remove", ())])
        return self.answer({})

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while request := await read_request(reader):
                method, target, _, body = request
                writer.write(await self.handle(method, target, body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Servers:
    """Servers that behave as the first element of a path says."""

    def __init__(self, record):
        self.record = Path(record)

    def note(self, **fields):
        """Write one line of the record."""
        line = json.dumps({"at": round(time.time(), 3), **fields})
        with self.record.open("a") as record:
            record.write(line + "\n")

    async def serve(self, name, reader, writer):
        """Serve one connection of a server."""
        try:
            while request := await read_request(reader):
                if not await self.handle(name, writer, request):
                    break
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def handle(self, name, writer, request):
        """Answer one request, and return whether the connection goes on."""
        method, target, headers, body = request
        path = target.partition("?")[0]
        if path == "/kv-events":
            await asyncio.sleep(int(headers.get("wait-ms", "0")) / 1000)
            events = {"bootEpoch": 1, "next": 1, "lost": False, "events": []}
            writer.write(build_response(200, {}, json.dumps(events).encode()))
            await writer.drain()
            return True
        request_id = headers.get("x-request-id", "")
        behave = BEHAVIOURS.get(path.split("/")[1], answer_plainly)
        self.note(server=name, got=method, path=path, id=request_id, body=len(body))
        own = {"X-Request-Id": request_id, "X-Server-Stamp": f"stamp.{name}"}
        goes_on = await behave(self, name, writer, headers, own)
        self.note(server=name, answered=request_id, goes_on=goes_on)
        return goes_on


async def answer_plainly(servers, name, writer, headers, own):
    """Answer at once with a short body."""
    writer.write(build_response(200, own, f"{name} ran it".encode()))
    await writer.drain()
    return True


BEHAVIOURS = {}


async def run_store(record):
    """Serve the store until the process is stopped."""
    server = await asyncio.start_server(Store().serve, "127.0.0.1", 0, limit=1 << 24)
    Servers(record).note(listening="store", port=_get_port(server))
    await server.serve_forever()


async def run_servers(record, n_servers):
    """Serve the servers until the process is stopped."""
    servers = Servers(record)
    started = []
    for number in range(n_servers):
        name = f"i-{number + 1}"

        async def serve(reader, writer, name=name):
            await servers.serve(name, reader, writer)

        server = await asyncio.start_server(
            serve, "127.0.0.1", 0, limit=1 << 20, backlog=2048
        )
        servers.note(listening=name, port=_get_port(server))
        started.append(server)
    await asyncio.gather(*(server.serve_forever() for server in started))


def _get_port(server):
    return server.sockets[0].getsockname()[1]


def main():
    """Run the stand-in that the arguments name."""
    kind, record, *rest = sys.argv[1:]
    if kind == "store":
        asyncio.run(run_store(record))
    else:
        asyncio.run(run_servers(record, int(rest[0])))


if __name__ == "__main__":
    main()
