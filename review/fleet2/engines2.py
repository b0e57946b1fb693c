"""Engines that take orders and keep prompt parts, with the standard library only.

``python3 engines2.py RECORD N STORE_PORT`` serves N engines of the service ``llm``,
each with the model ``m0``. They write their entries to the store by themselves. What
they receive and run goes to the file RECORD, one JSON object a line.

As PROTOCOL.md says, an engine answers 421 to a request for another server or another
version. It reads the parts of a prompt that it doesn't hold under the request's salt,
keeps them under that salt and reports them by ``/kv-events``. An order takes
:data:`LOAD_S`; meanwhile prompts that arrive get 503 with ``X-Not-Executed``. New
weights discard what is kept.
"""

import asyncio
import json
import sys
import time

import standins2

#: SYSTEM.md, kvmfs-fold: "new weights take a server 0.4 s", "38.1 prompt tokens are
#: read in a ms".
LOAD_S = 0.4
TOKENS_PER_S = 38_100
MODEL = "m0"
_N_EVENTS = 3
_EVENT_INTERVAL_S = 0.02
_HEARTBEAT_S = 1.2
_POLL_STEP_S = 0.02


class Engine:
    """The weights and the kept parts of one engine."""

    def __init__(self, name):
        self.name = name
        self.port = 0
        self.born = int(time.time() * 1000)
        self.version = 1
        self.n_orders = 0
        self.n_writes = 0
        self.is_loading = False
        #: The tenant whose request made each part, by salt and id.
        self.parts = {}
        self.events = []

    def keep(self, salt, part, n_tokens, tenant):
        """Keep a part, and report it."""
        self.parts[salt, part] = tenant
        number = len(self.events) + 1
        self.events.append([number, "+", salt, part, n_tokens, MODEL])

    def discard_parts(self):
        """Discard all parts, and report it."""
        for salt, part in self.parts:
            number = len(self.events) + 1
            self.events.append([number, "-", salt, part, 0, MODEL])
        self.parts.clear()

    def build_entry(self):
        """Return the engine's entry in the store."""
        self.n_writes += 1
        return {
            "service": "llm",
            "address": f"127.0.0.1:{self.port}",
            "zone": "z1",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldRemainingMs": 0,
            "stage": "unified",
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "seq": self.n_writes,
            "born": self.born,
        }


class Engines(standins2.Servers):
    """All engines of the service."""

    def __init__(self, record, names, store_port):
        super().__init__(record)
        self.engines = {name: Engine(name) for name in names}
        self._store_port = store_port

    async def write_entry(self, engine):
        """Write an engine's entry to the store."""
        row = {"table": "servers", "key": engine.name, "value": engine.build_entry()}
        body = json.dumps(row).encode()
        head = f"POST /_put HTTP/1.1\r\nHost: s\r\nContent-Length: {len(body)}\r\n\r\n"
        reader, writer = await asyncio.open_connection("127.0.0.1", self._store_port)
        writer.write(head.encode() + body)
        await reader.readuntil(b"\r\n\r\n")
        writer.close()

    async def send_heartbeats(self, engine):
        """Write the entry again and again."""
        while True:
            await self.write_entry(engine)
            await asyncio.sleep(_HEARTBEAT_S)

    async def handle(self, name, writer, request):
        """Answer one request."""
        method, target, headers, body = request
        engine = self.engines[name]
        path, _, query = target.partition("?")
        if path == "/kv-events":
            answer = await self._poll_events(engine, query, headers)
        elif path == "/report":
            answer = self._report(engine)
        elif path == "/order":
            answer = self._take_order(engine, json.loads(body))
        else:
            return await self._run(engine, writer, headers)
        status, data = answer
        writer.write(standins2.build_response(status, {}, json.dumps(data).encode()))
        await writer.drain()
        return True

    async def _poll_events(self, engine, query, headers):
        since = int(query.removeprefix("since="))
        until = time.monotonic() + int(headers.get("wait-ms", "0")) / 1000
        while len(engine.events) <= since and time.monotonic() < until:
            await asyncio.sleep(_POLL_STEP_S)
        events = engine.events[since:]
        return 200, {
            "bootEpoch": 1,
            "next": since + len(events),
            "lost": False,
            "events": events,
        }

    def _report(self, engine):
        models = [{"name": MODEL, "version": engine.version, "adapters": []}]
        return 200, {
            "stage": "unified",
            "models": models,
            "busy": engine.is_loading,
            "seq": engine.n_orders,
            "queued": 0,
            "active": 0,
            "kvUsed": 0,
            "kvTotal": 45_089,
            "handles": 0,
            "born": engine.born,
        }

    def _take_order(self, engine, order):
        expected = order.get("expectedRevision", engine.n_orders)
        if engine.is_loading or expected != engine.n_orders:
            status = 409
        elif order["version"] == engine.version:
            status = 200
        else:
            status = 202
            engine.n_orders += 1
            engine.is_loading = True
            asyncio.get_running_loop().create_task(self._load(engine, order["version"]))
        self.note(
            server=engine.name,
            has=engine.version,
            order=order["version"],
            holder=order["holder"],
            answered=status,
        )
        return status, {}

    async def _load(self, engine, version):
        await asyncio.sleep(LOAD_S)
        engine.version = version
        engine.is_loading = False
        engine.discard_parts()
        await self.write_entry(engine)

    async def _run(self, engine, writer, headers):
        request_id = headers.get("x-request-id", "")
        own = {"X-Request-Id": request_id, "X-Server-Stamp": f"stamp.{engine.name}"}
        is_own = headers.get("x-target-instance", engine.name) == engine.name
        is_expected = headers.get("x-expect-version", str(engine.version)) == str(
            engine.version
        )
        refused = 0
        if not (is_own and is_expected):
            refused = 421
        elif engine.is_loading:
            refused = 503
        if refused:
            own |= {"X-Not-Executed": "1", "X-Instance-Id": engine.name}
            writer.write(standins2.build_response(refused, own))
            await writer.drain()
            return True
        version = engine.version
        used = await self._read_prompt(engine, headers)
        self.note(
            server=engine.name,
            ran=request_id,
            version=version,
            tenant=headers.get("x-tenant"),
            salt=headers.get("x-cache-salt"),
            used=used,
        )
        fields = {
            **own,
            "X-Weight-Versions": str(version),
            "Content-Type": "text/event-stream",
            "Connection": "close",
        }
        lines = [f"{key}: {value}" for key, value in fields.items()]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
        for number in range(1, _N_EVENTS + 1):
            writer.write(b"id: %d\ndata: piece %d\n\n" % (number, number))
            await writer.drain()
            await asyncio.sleep(_EVENT_INTERVAL_S)
        return False

    async def _read_prompt(self, engine, headers):
        """Return the parts that were found or fetched, each with the tenant it is of.

        A part can be used only with all parts before it.
        """
        salt = headers.get("x-cache-salt", "")
        tenant = headers.get("x-tenant")
        items = [
            item.partition(":")[::2]
            for item in headers.get("x-prompt-prefix", "").split(",")
            if item
        ]
        sources = headers.get("x-kv-fetch", "").split(",")
        by_address = {f"127.0.0.1:{item.port}": item for item in self.engines.values()}
        used = []
        is_prefix_kept = True
        for place, (part, n_tokens) in enumerate(items):
            address = sources[place].partition("/")[0] if place < len(sources) else ""
            source = by_address.get(address)
            maker = engine.parts.get((salt, part))
            if maker is None and source is not None:
                maker = source.parts.get((salt, part))
            if is_prefix_kept and maker is not None:
                used.append([part, maker])
                if (salt, part) not in engine.parts:
                    engine.keep(salt, part, int(n_tokens), maker)
                continue
            is_prefix_kept = False
            await asyncio.sleep(int(n_tokens) / TOKENS_PER_S)
            engine.keep(salt, part, int(n_tokens), tenant)
        return used


async def run_engines(record, n_engines, store_port):
    """Serve the engines until the process is stopped."""
    names = [f"e-{number + 1}" for number in range(n_engines)]
    engines = Engines(record, names, store_port)
    started = []
    for name in names:

        async def serve(reader, writer, name=name):
            await engines.serve(name, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1 << 20)
        engines.engines[name].port = server.sockets[0].getsockname()[1]
        started.append(server)
    beats = [engines.send_heartbeats(item) for item in engines.engines.values()]
    for item in engines.engines.values():
        engines.note(listening=item.name, port=item.port)
    await asyncio.gather(*beats, *(server.serve_forever() for server in started))


if __name__ == "__main__":
    asyncio.run(run_engines(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
