"""TCP proxy that disturbs connections, switched through a control port.

Run as ``python -m standins.proxy --listeners e1=127.0.0.1:9000,e2=127.0.0.1:9001``.
Each listener logs a ``listening`` line under its own name, the control port under
``control``. ``POST /faults {"listener": "e1", "delay_s": 0.1}`` replaces the faults
of one listener, of all where none is named.
"""

import socket
import struct
from contextlib import suppress
from dataclasses import asdict, dataclass, field

import anyio
import anyio.abc
import defopt
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from apricotlift.core import clocks, logs

from standins.http import Reply, Request, bind, build_app, build_json_reply
from standins.http import serve as serve_http

_PIECE_BYTES = 65_536
_QUEUE_PIECES = 64
_CLOSE_POLL_S = 0.002
_BROKEN = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)

#: Directions: from the client to the target and back.
UP = "up"
DOWN = "down"


@dataclass
class Faults:
    """Faults of one listener; a field that isn't given is off.

    :param delay_s: one-way delay in both directions.
    :param delay_up_s: further delay towards the target.
    :param delay_down_s: further delay towards the client.
    :param bytes_per_s: rate that all connections share in each direction; 0 is
        unlimited.
    :param hold_up: stop forwarding to the target without closing.
    :param hold_down: stop forwarding to the client without closing.
    :param refuse: refuse new connections as a closed port does.
    :param n_dropped_answers: for so many answers, cut the connection when the
        target has answered, so that the effect took place.
    """

    delay_s: float = 0.0
    delay_up_s: float = 0.0
    delay_down_s: float = 0.0
    bytes_per_s: float = 0.0
    hold_up: bool = False
    hold_down: bool = False
    refuse: bool = False
    n_dropped_answers: int = 0

    def get_delay_s(self, direction: str) -> float:
        """Return the delay of a direction."""
        return self.delay_s + getattr(self, f"delay_{direction}_s")


@dataclass(eq=False)
class Connection:
    """A client's connection and the one to the target."""

    client: anyio.abc.SocketStream
    target: anyio.abc.SocketStream
    scope: anyio.CancelScope
    half_closed: set[str] = field(default_factory=set)

    def cut(self) -> None:
        """Reset both sides."""
        for stream in (self.client, self.target):
            _reset(stream)
        self.scope.cancel()

    async def half_close(self, direction: str) -> None:
        """End one direction and leave the other open."""
        stream = self.target if direction == UP else self.client
        self.half_closed.add(direction)
        with suppress(*_BROKEN):
            await stream.send_eof()


@dataclass
class Listener:
    """One proxied address."""

    name: str
    target: str
    faults: Faults = field(default_factory=Faults)
    connections: set[Connection] = field(default_factory=set)
    n_connections: int = 0
    n_bytes: dict[str, int] = field(default_factory=lambda: {UP: 0, DOWN: 0})
    free_at: dict[str, float] = field(default_factory=lambda: {UP: 0.0, DOWN: 0.0})
    changed: anyio.Event = field(default_factory=anyio.Event)
    scope: anyio.CancelScope | None = None

    def __post_init__(self):
        # A bound socket that doesn't listen reserves the port and refuses
        # connections while the real listener is closed.
        self._placeholder = socket.socket()
        self._placeholder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._placeholder.bind(("127.0.0.1", 0))
        self.port = self._placeholder.getsockname()[1]

    async def switch(self, data: dict) -> None:
        """Replace the faults; returns when the port is closed if it is to be."""
        self.faults = Faults(**data)
        if self.faults.refuse and self.scope is not None:
            self.scope.cancel()
        self.changed.set()
        self.changed = anyio.Event()
        # A connection that comes before the port is closed would be accepted and
        # then reset, which isn't a refusal.
        while self.faults.refuse and self.scope is not None:
            await anyio.sleep(_CLOSE_POLL_S)

    async def run(self) -> None:
        """Accept connections for ever, except while they are to be refused."""
        announced = False
        async with anyio.create_task_group() as tasks:
            while True:
                if self.faults.refuse:
                    await self.changed.wait()
                    continue
                listener = await anyio.create_tcp_listener(
                    local_host="127.0.0.1", local_port=self.port
                )
                if not announced:
                    announced = True
                    where = f"127.0.0.1:{self.port}"
                    logs.log(logs.INFO, "listening", listener=self.name, address=where)
                with anyio.CancelScope() as self.scope:
                    async with listener:
                        await listener.serve(self._handle, tasks)
                self.scope = None

    async def _handle(self, client: anyio.abc.SocketStream) -> None:
        self.n_connections += 1
        host, _, port = self.target.rpartition(":")
        async with client:
            try:
                target = await anyio.connect_tcp(host, int(port))
            except OSError:
                # The nearest to a refusal that an accepted connection allows.
                _reset(client)
                return
            async with target:
                async with anyio.create_task_group() as tasks:
                    connection = Connection(client, target, tasks.cancel_scope)
                    self.connections.add(connection)
                    tasks.start_soon(self._forward, connection, UP)
                    tasks.start_soon(self._forward, connection, DOWN)
                self.connections.discard(connection)

    async def _forward(self, connection: Connection, direction: str) -> None:
        source, sink = connection.client, connection.target
        if direction == DOWN:
            source, sink = sink, source
        send, receive = anyio.create_memory_object_stream(_QUEUE_PIECES)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read, connection, source, direction, send)
            try:
                await self._write(connection, sink, direction, receive)
            except _BROKEN:
                # One side is gone, so the other learns of it at once.
                connection.cut()

    async def _read(
        self,
        connection: Connection,
        source: anyio.abc.SocketStream,
        direction: str,
        send: MemoryObjectSendStream,
    ) -> None:
        async with send:
            while True:
                try:
                    data = await source.receive(_PIECE_BYTES)
                except anyio.EndOfStream:
                    return
                except _BROKEN:
                    connection.cut()
                    return
                if direction == DOWN and self.faults.n_dropped_answers:
                    self.faults.n_dropped_answers -= 1
                    connection.cut()
                    return
                due = clocks.monotonic() + self.faults.get_delay_s(direction)
                await send.send((due, data))

    async def _write(
        self,
        connection: Connection,
        sink: anyio.abc.SocketStream,
        direction: str,
        receive: MemoryObjectReceiveStream,
    ) -> None:
        async for due, data in receive:
            await anyio.sleep(max(0.0, due - clocks.monotonic()))
            while getattr(self.faults, f"hold_{direction}"):
                await self.changed.wait()
            await self._throttle(direction, len(data))
            self.n_bytes[direction] += len(data)
            if direction not in connection.half_closed:
                await sink.send(data)
        with suppress(*_BROKEN):
            await sink.send_eof()

    async def _throttle(self, direction: str, n_bytes: int) -> None:
        rate = self.faults.bytes_per_s
        if not rate:
            return
        now = clocks.monotonic()
        self.free_at[direction] = max(now, self.free_at[direction]) + n_bytes / rate
        await anyio.sleep(self.free_at[direction] - now)


def _reset(stream: anyio.abc.SocketStream) -> None:
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    with suppress(OSError):
        # Lingering for zero seconds makes close send RST.
        option = struct.pack("ii", 1, 0)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    # The stream's own close sends FIN first, which looks like a clean end.
    stream._transport.abort()


async def control(listeners: dict[str, Listener], request: Request) -> Reply:
    """Answer a request on the control port."""
    if request.path == "/listeners":
        return build_json_reply(
            {
                item.name: {
                    "address": f"127.0.0.1:{item.port}",
                    "target": item.target,
                    "faults": asdict(item.faults),
                    "open": len(item.connections),
                    "connections": item.n_connections,
                    "bytes": item.n_bytes,
                }
                for item in listeners.values()
            }
        )
    data = request.read_json()
    name = data.pop("listener", "")
    if name and name not in listeners:
        return build_json_reply({"error": f"no listener {name!r}"}, 404)
    chosen = [listeners[name]] if name else list(listeners.values())
    if request.path == "/target":
        for item in chosen:
            item.target = data["target"]
        return build_json_reply({})
    if request.path != "/faults":
        return Reply(404)
    # Two faults are single events on the open connections rather than states.
    cut = data.pop("cut", False)
    half_close = data.pop("half_close", "")
    try:
        for item in chosen:
            await item.switch(data)
    except TypeError as error:
        return build_json_reply({"error": str(error)}, 400)
    for item in chosen:
        for connection in list(item.connections):
            if half_close:
                await connection.half_close(half_close)
            if cut:
                connection.cut()
    return build_json_reply({})


def main(
    *, name: str = "proxy", address: str = "127.0.0.1:0", listeners: str = ""
) -> None:
    """Run a proxy.

    :param name: name in its logs
    :param address: where its control port listens
    :param listeners: comma-separated NAME=HOST:PORT of the targets
    """
    logs.configure(name)
    pairs = [item.partition("=") for item in listeners.split(",") if item]

    async def run() -> None:
        by_name = {key: Listener(key, target) for key, _, target in pairs}

        async def answer(request: Request, _):
            return await control(by_name, request)

        async with anyio.create_task_group() as tasks:
            for item in by_name.values():
                tasks.start_soon(item.run)
            await serve_http(build_app(answer), bind(address), "control")
            tasks.cancel_scope.cancel()

    anyio.run(run)


if __name__ == "__main__":
    defopt.run(main)
