"""TCP proxy that injects network faults, set through a control port.

Run as ``python -m standins.proxy --listeners e1=127.0.0.1:9000,e2=127.0.0.1:9001``.
Each listener logs a ``listening`` event under its own name, the control port under
``control``. ``POST /faults {"listener": "e1", "delay_s": 0.1}`` replaces the faults
of one listener, or of all listeners if none is named.
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

_READ_SIZE_BYTES = 65_536
_MAX_QUEUED_READS = 64
_CLOSE_POLL_INTERVAL_S = 0.002
_CONNECTION_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)

#: Directions: from the client to the target, and from the target to the client.
UP = "up"
DOWN = "down"


@dataclass
class Faults:
    """Faults of one listener; a field that isn't given is off.

    :param delay_s: delay in seconds in each direction.
    :param delay_up_s: additional delay towards the target.
    :param delay_down_s: additional delay towards the client.
    :param bytes_per_s: maximum rate in each direction, shared by all connections; 0
        is unlimited.
    :param hold_up: stop forwarding to the target, and keep connections open.
    :param hold_down: stop forwarding to the client, and keep connections open.
    :param refuse: refuse new connections, as a closed port does.
    :param n_dropped_answers: number of answers to drop: the connection is reset
        when the target has answered, so the request has had its effect.
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
        """Return the total delay in a direction."""
        return self.delay_s + getattr(self, f"delay_{direction}_s")


@dataclass(eq=False)
class Connection:
    """A connection from a client and the connection to the target for it."""

    client: anyio.abc.SocketStream
    target: anyio.abc.SocketStream
    scope: anyio.CancelScope
    half_closed: set[str] = field(default_factory=set)

    def cut(self) -> None:
        """Reset the connections to the client and to the target."""
        for stream in (self.client, self.target):
            _reset(stream)
        self.scope.cancel()

    async def half_close(self, direction: str) -> None:
        """Close one direction and keep the other open."""
        stream = self.target if direction == UP else self.client
        self.half_closed.add(direction)
        with suppress(*_CONNECTION_ERRORS):
            await stream.send_eof()


@dataclass
class Listener:
    """A proxied address with its faults and connections.

    :param free_at: time by direction at which the limited rate allows more bytes.
    """

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
        # A bound socket that doesn't listen reserves the port. Connections to it are
        # refused while the real listener is closed.
        self._placeholder = socket.socket()
        self._placeholder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._placeholder.bind(("127.0.0.1", 0))
        self.port = self._placeholder.getsockname()[1]

    async def replace_faults(self, data: dict) -> None:
        """Replace the faults.

        With the fault ``refuse`` it returns after the port has been closed.
        """
        self.faults = Faults(**data)
        if self.faults.refuse and self.scope is not None:
            self.scope.cancel()
        self.changed.set()
        self.changed = anyio.Event()
        # A connection that arrives before the port is closed would be accepted and
        # then reset, instead of being refused.
        while self.faults.refuse and self.scope is not None:
            await anyio.sleep(_CLOSE_POLL_INTERVAL_S)

    async def run(self) -> None:
        """Accept connections until cancelled, except while they are to be refused."""
        is_announced = False
        async with anyio.create_task_group() as tasks:
            while True:
                if self.faults.refuse:
                    await self.changed.wait()
                    continue
                listener = await anyio.create_tcp_listener(
                    local_host="127.0.0.1", local_port=self.port
                )
                if not is_announced:
                    is_announced = True
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
                # The connection is accepted already, so it is reset instead of refused.
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
        send, receive = anyio.create_memory_object_stream(_MAX_QUEUED_READS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read, connection, source, direction, send)
            try:
                await self._write(connection, sink, direction, receive)
            except _CONNECTION_ERRORS:
                # One side is closed, so the other is reset without delay.
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
                    data = await source.receive(_READ_SIZE_BYTES)
                except anyio.EndOfStream:
                    return
                except _CONNECTION_ERRORS:
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
        with suppress(*_CONNECTION_ERRORS):
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
        # SO_LINGER with zero seconds makes close send RST.
        option = struct.pack("ii", 1, 0)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    # Closing the stream would send FIN first, which looks like a regular end.
    stream._transport.abort()


async def handle_control(listeners: dict[str, Listener], request: Request) -> Reply:
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
    selected = [listeners[name]] if name else list(listeners.values())
    if request.path == "/target":
        for item in selected:
            item.target = data["target"]
        return build_json_reply({})
    if request.path != "/faults":
        return Reply(404)
    # Two faults take effect once, on the open connections, instead of staying on.
    cut = data.pop("cut", False)
    half_close = data.pop("half_close", "")
    try:
        for item in selected:
            await item.replace_faults(data)
    except TypeError as error:
        return build_json_reply({"error": str(error)}, 400)
    for item in selected:
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

    :param name: name of the component in the logs
    :param address: HOST:PORT of the control port; port 0 lets the system choose
    :param listeners: comma-separated NAME=HOST:PORT of the targets
    """
    logs.configure(name)
    pairs = [item.partition("=") for item in listeners.split(",") if item]

    async def run() -> None:
        by_name = {key: Listener(key, target) for key, _, target in pairs}

        async def answer(request: Request, _):
            return await handle_control(by_name, request)

        async with anyio.create_task_group() as tasks:
            for item in by_name.values():
                tasks.start_soon(item.run)
            await serve_http(build_app(answer), bind(address), "control")
            tasks.cancel_scope.cancel()

    anyio.run(run)


if __name__ == "__main__":
    defopt.run(main)
