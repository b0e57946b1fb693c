"""Stand-ins and helpers of the review's scripts; only the standard library is used.

The platform's store, the servers and the clients run in the script's own process. The
nodes are separate processes, started with the commands of ``deploy/system.toml`` and
settings rendered from its template, as on the platform.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
KEY = "key-of-ward-1"
MODEL = "folds"
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
_PLACEHOLDER = re.compile(r"\{\{([A-Za-z0-9_.]+)\}\}")
#: Figures of the site kvmfs-fold, as the platform fills them in.
_FIELDS = {
    "zone": "zone-1",
    "bounds.graceS": "8",
    "bounds.leaseMs": "3000",
    "bounds.versionMs": "8000",
    "bounds.configApplyMs": "2000",
    "bounds.drainMs": "2000",
    "bounds.retryBudgetRatio": "0.2",
    "bounds.budgetSlack": "56",
    "bounds.ttl_max_s": "5",
    "limits.memoryMb": "150",
    "limits.cpuShare": "0.537",
    "limits.cores": "2",
}


class Record:
    """Writes ``record.txt``: what was sent, answered and run, with times."""

    def __init__(self, path: Path):
        self._started_at = time.monotonic()
        self._file = path.open("w")

    def note(self, text: str) -> None:
        """Write one line."""
        line = f"{time.monotonic() - self._started_at:8.3f} s  {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


@dataclass
class Request:
    """A request that a stand-in has read."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The query's fields."""
        text = self.target.partition("?")[2]
        return dict(item.partition("=")[::2] for item in text.split("&") if item)


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request with a length or without a body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def build_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


async def listen(
    handle: Handler, host: str = "127.0.0.1"
) -> tuple[str, asyncio.Server]:
    """Serve requests on a free port.

    :returns: the address and the server.
    """

    async def serve(reader, writer) -> None:
        try:
            while True:
                await handle(await read_request(reader), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, host, 0)
    return f"{host}:{server.sockets[0].getsockname()[1]}", server


@dataclass
class Store:
    """The platform's store: rows, transactions and the feed of changes.

    :param mode: ``serving``; ``silent`` answers nothing.
    :param on_call: is called with each call of a node before it is answered.
    """

    mode: str = "serving"
    rows: dict[tuple[str, str, str], tuple[bytes, int]] = field(default_factory=dict)
    version: int = 1
    kept_from: int = 0
    history: list[tuple[int, tuple[str, str, str], bytes | None]] = field(
        default_factory=list
    )
    on_call: Callable[[Request], None] = lambda request: None
    era: int = 1

    def copy_rows(self) -> tuple[dict, int]:
        """Return a copy of the rows, and the version that it belongs to."""
        return dict(self.rows), self.version

    def restore(self, copy: tuple[dict, int]) -> None:
        """Go back to a copy, as a new era without the history of the earlier one."""
        self.rows, self.version = dict(copy[0]), copy[1]
        self.history.clear()
        self.kept_from = self.version
        self.era += 1

    def put(self, table: str, key: str, value: dict) -> None:
        """Write a row as the operator or a server would."""
        self._write({(table, "", key): json.dumps(value).encode()}, [])

    def _write(self, puts: dict, removes: list) -> None:
        self.version += 1
        for key, value in puts.items():
            self.rows[key] = (value, self.version)
            self.history.append((self.version, key, value))
        for key in removes:
            self.rows.pop(key, None)
            self.history.append((self.version, key, None))

    def _render(self, key, value: bytes | None, version: int) -> dict:
        row = dict(zip(("table", "part", "key"), key, strict=True))
        row["recordVersion"] = version
        if value is None:
            return {**row, "deleted": True}
        return {**row, "value": base64.b64encode(value).decode()}

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        self.on_call(request)
        await self._wait_until_serving()
        status, data = 200, {}
        if request.path == "/rows-get":
            data = self._get(request.query)
        elif request.path == "/rows-feed":
            status, data = await self._feed(request.query)
        elif request.path == "/rows-tx":
            status, data = self._transact(json.loads(request.body))
        else:
            status = 404
        data["recordVersion"] = self.version
        data["nowMs"] = int(time.monotonic() * 1000)
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        writer.write(build_response(status, headers, json.dumps(data).encode()))

    async def _wait_until_serving(self) -> None:
        while self.mode != "serving":
            await asyncio.sleep(0.01)

    def _get(self, query: dict[str, str]) -> dict:
        start, end = query.get("startKey", ""), query.get("to", "")
        rows = [
            self._render(key, *self.rows[key])
            for key in sorted(self.rows)
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= start.replace("%00", "\0")
            and (not end or key[2] < end.replace("%00", "\0"))
        ]
        return {"rows": rows, "truncated": False}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        after = int(query["after"])
        if not self.kept_from <= after <= self.version:
            return 410, {}
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changes = [
                self._render(key, value, version)
                for version, key, value in self.history
                if version > after and key[0] == query["table"]
            ]
            if changes or time.monotonic() > until:
                await self._wait_until_serving()
                return 200, {"rows": changes}
            await asyncio.sleep(0.01)

    def _transact(self, data: dict) -> tuple[int, dict]:
        def parse_key(item: dict) -> tuple[str, str, str]:
            return item["table"], item.get("part", ""), item["key"]

        for item in data.get("expectedRevision", []):
            key = parse_key(item)
            if self.rows.get(key, (b"", 0))[1] != item["recordVersion"]:
                found = [
                    self._render(other, *self.rows[other])
                    for other in map(parse_key, data["expectedRevision"])
                    if other in self.rows
                ]
                return 412, {"rows": found}
        puts = {
            parse_key(item): base64.b64decode(item["value"])
            for item in data.get("put", [])
        }
        self._write(puts, [parse_key(item) for item in data.get("remove", [])])
        return 200, {}


def build_configuration(routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration document with one client account."""
    return {
        "version": 1,
        "routes": [{"hostname": HOST, **route} for route in routes],
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "ward-1", "apiKeys": [KEY]}],
    }


def build_desk_configuration() -> dict:
    """Return a configuration with two services; ``order`` leads to ``desk``."""

    def build_route(name: str, service: str, kind: str, timeout_ms: int) -> dict:
        return {
            "name": name,
            "prefix": f"/{name}/",
            "routeType": kind,
            "service": service,
            "timeoutMs": timeout_ms,
            "targetLatencyMs": 300,
            "maxAttempts": 1,
            "priority": 2,
        }

    routes = [
        build_route("order", "desk", "non_idempotent", 800),
        build_route("print", "floor", "non_idempotent", 800),
        build_route("report", "desk", "idempotent", 15_000),
    ]
    services = [{"name": name, "maxConnections": 110} for name in ("desk", "floor")]
    return build_configuration(routes, services)


def build_engine_entry(address: str, version: int) -> dict:
    """Return the entry of a model server with a version of the model's weights."""
    entry = build_entry("llm", address, slots=64)
    return {
        **entry,
        "stage": "unified",
        "models": [{"name": MODEL, "version": version}],
    }


def build_entry(service: str, address: str, slots: int = 6) -> dict:
    """Return the entry of a server that is ready."""
    return {
        "service": service,
        "address": address,
        "zone": "zone-1",
        "version": 1,
        "slots": slots,
        "state": "ready",
        "coldRemainingMs": 0,
        "seq": 1,
        "born": int(time.time() * 1000),
    }


_PORTS = random.SystemRandom()


def find_free_port(host: str) -> int:
    """Return a port below the range that the system gives to connections."""
    while True:
        port = _PORTS.randint(10_000, 32_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return port


class Node:
    """One node process, started as the deploy file says."""

    def __init__(self, name: str, store_address: str, folder: Path, record: Record):
        self.name = name
        self.exits: list[int] = []
        self._folder = folder
        self._record = record
        host = "127.0.0.1"
        self.ports = {
            listener: find_free_port(host)
            for listener in ("front", "readyAddr", "directory", "peers", "metrics")
        }
        fields = {
            **_FIELDS,
            "nodeName": name,
            "ip": host,
            "platform.address": store_address,
            "portRange.0": str(self.ports["peers"]),
            "portRange.1": str(self.ports["metrics"]),
        }
        for listener in ("front", "readyAddr", "directory"):
            fields[f"listen.{listener}"] = f"{host}:{self.ports[listener]}"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["node"]
        template = (ROOT / role["template"]).read_text()
        text = _PLACEHOLDER.sub(lambda match: fields.get(match[1], ""), template)
        self._settings = folder / f"{name}.conf"
        self._settings.write_text(text)
        self._command = role["run"].split()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["PYTHONPATH"] = str(ROOT / "target/deps")
        variables["APRICOTLIFT_BOOT"] = str(self._settings)
        with (self._folder / f"{self.name}.log").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=variables, stdout=output, stderr=output
            )
        self._record.note(f"{self.name} starts")

    @property
    def is_running(self) -> bool:
        """Whether the process hasn't ended."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._record.note(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process if it runs."""
        if self.is_running:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.ports["readyAddr"]
                )
                writer.write(b"GET /ready HTTP/1.1\r\nHost: node\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_until_ready(self, limit_s: float = 30.0) -> None:
        """Wait until the node is ready.

        :raises TimeoutError: if it isn't within the limit.
        """
        async with asyncio.timeout(limit_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)


@dataclass(frozen=True)
class Answer:
    """What a client got for a request; status 0 means that there was no answer."""

    status: int
    n_body: int
    is_complete: bool


def build_request(
    method: str,
    target: str,
    request_id: str,
    deadline_ms: int,
    body: bytes = b"",
    more_headers: dict[str, str] | None = None,
) -> bytes:
    """Return the bytes of a client's request, which closes its connection."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Key: {KEY}",
        f"X-Deadline-Ms: {deadline_ms}",
        "Connection: close",
    ]
    lines += [f"{name}: {value}" for name, value in (more_headers or {}).items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def parse_answer(received: bytes) -> Answer:
    """Return the answer in all bytes that came on a connection until its end."""
    head, separator, body = received.partition(b"\r\n\r\n")
    if not separator:
        return Answer(0, 0, is_complete=False)
    first, *lines = head.decode("latin-1").lower().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines)
    n_stated = int(headers.get("content-length", "-1"))
    return Answer(int(first.split(" ")[1]), len(body), len(body) == n_stated)


async def send_request(
    node: Node,
    record: Record,
    method: str,
    target: str,
    request_id: str,
    deadline_ms: int = 1500,
    more_headers: dict[str, str] | None = None,
) -> Answer:
    """Send a request on a new connection and read until the connection ends."""
    record.note(f"client sends {request_id} {method} {target} to {node.name}")
    received = b""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.ports["front"])
        body = b"order" if method == "POST" else b""
        request = build_request(
            method, target, request_id, deadline_ms, body, more_headers
        )
        writer.write(request)
        received = await reader.read()
        writer.close()
    except OSError as error:
        record.note(f"client's connection for {request_id}: {error!r}")
    answer = parse_answer(received)
    record.note(f"client gets for {request_id}: {answer}")
    return answer


def run_case(
    folder: Path, play: Callable[[Record, Path, bool], Awaitable[bool]]
) -> int:
    """Play a case in a temporary folder and return the exit status of its script.

    :param play: is called with the record, the temporary folder and whether to cause
        the disruption; returns whether the rule was broken.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory() as temporary:
            is_broken = asyncio.run(play(record, Path(temporary), has_trouble))
    except Exception as error:
        record.note(f"the case couldn't run: {error!r}")
        return EXIT_NOT_RUN
    record.note("the rule was broken" if is_broken else "the rule held")
    return EXIT_BROKEN if is_broken else EXIT_HELD
