"""Stand-in for a KV store with a memory tier, a disk tier and one network link.

Both tiers are kept in memory; their sizes, the delay of the disk tier and the rate of
the link are simulated. Run as
``python -m standins.kvstore --name s1 --memory-bytes 1000000``.
"""

import base64
import hashlib
import itertools
import uuid
from collections import OrderedDict
from dataclasses import dataclass, field

import anyio
import defopt
from apricotlift.core import clocks, logs

from standins.http import (
    Reply,
    Request,
    StreamingReply,
    bind,
    build_app,
    build_json_reply,
)
from standins.http import serve as serve_http

_CHUNK_BYTES = 65_536
#: XORed with one byte of a block to corrupt it.
_CORRUPTION_MASK = 0x55


@dataclass
class Faults:
    """Faults that ``POST /faults`` sets; a field that isn't given is off.

    :param full: refuse all writes of blocks with 507.
    :param unavailable: answer 503 to all requests to ``/blocks`` and
        ``/usage``.
    :param delay_s: seconds to wait before each answer.
    :param link_bytes_per_s: rate of the link, in place of the option's.
    :param corrupt_every: corrupt one byte of the answer to every n-th read.
    :param truncate_every: cut the answer to every n-th read in half.
    :param ignore_match: serve a block although ``If-Match`` names another
        generation.
    """

    full: bool = False
    unavailable: bool = False
    delay_s: float = 0.0
    link_bytes_per_s: float | None = None
    corrupt_every: int = 0
    truncate_every: int = 0
    ignore_match: bool = False


@dataclass
class Block:
    """A stored block.

    :param digest: SHA-256 of the written body, which the store reports.
    :param generation: identifies this write of the block, among all boots.
    """

    body: bytes
    digest: bytes
    generation: str
    on_disk: bool = False


class Link:
    """Simulates a link whose rate is shared by concurrent transfers."""

    def __init__(self, bytes_per_s: float):
        self.bytes_per_s = bytes_per_s
        self.n_bytes = 0
        self._idle_at = 0.0

    async def transmit(self, n_bytes: int) -> None:
        """Wait until the link has transmitted a number of bytes."""
        self.n_bytes += n_bytes
        now = clocks.monotonic()
        self._idle_at = max(now, self._idle_at) + n_bytes / self.bytes_per_s
        await anyio.sleep(self._idle_at - now)


@dataclass
class Store:
    """The state of one store process."""

    memory_bytes: int
    disk_bytes: int
    disk_delay_s: float
    link: Link
    link_bytes_per_s: float
    boot_id: str = field(default_factory=lambda: uuid.uuid4().hex)
    blocks: OrderedDict[str, Block] = field(default_factory=OrderedDict)
    faults: Faults = field(default_factory=Faults)
    generations: itertools.count = field(default_factory=itertools.count)
    n_reads: int = 0
    truth: list[dict] = field(default_factory=list)

    def build_generation(self) -> str:
        """Return a generation that no block of any boot has had."""
        return f"{self.boot_id[:12]}-{next(self.generations)}"

    def count_bytes(self, on_disk: bool) -> int:
        """Return the number of bytes in use on a tier."""
        return sum(
            len(block.body)
            for block in self.blocks.values()
            if block.on_disk is on_disk
        )

    def has_room(self, size: int) -> bool:
        """Return whether a block of this size in bytes fits."""
        used = self.count_bytes(False) + self.count_bytes(True)
        return not self.faults.full and used + size <= self.capacity_bytes

    @property
    def capacity_bytes(self) -> int:
        """Capacity of both tiers together."""
        return self.memory_bytes + self.disk_bytes

    def store_block(self, block_id: str, body: bytes) -> Block:
        """Store a block, and move least recently used blocks to disk as needed."""
        digest = hashlib.sha256(body).digest()
        block = Block(body, digest, self.build_generation())
        self.blocks.pop(block_id, None)
        self.blocks[block_id] = block
        in_memory = self.count_bytes(False)
        for item in self.blocks.values():
            if in_memory <= self.memory_bytes:
                break
            if not item.on_disk:
                item.on_disk = True
                in_memory -= len(item.body)
        return block

    def restart_empty(self) -> None:
        """Simulate a restart without any blocks."""
        self.blocks.clear()
        self.boot_id = uuid.uuid4().hex


async def handle(store: Store, request: Request, out: StreamingReply):
    """Answer one request."""
    reply = await _dispatch(store, request, out)
    call_id = request.headers.get("x-call-id")
    if reply is not None and call_id:
        reply.headers["x-call-id"] = call_id
    return reply


async def _dispatch(store: Store, request: Request, out: StreamingReply):
    if request.path == "/faults":
        return _handle_faults(store, request)
    if request.path == "/truth":
        return build_json_reply(
            {"operations": store.truth, "link_bytes": store.link.n_bytes}
        )
    await anyio.sleep(store.faults.delay_s)
    if store.faults.unavailable:
        return build_json_reply({"error": {"code": "unavailable"}}, 503)
    if request.path == "/usage":
        return build_json_reply(
            {
                "boot_id": store.boot_id,
                "memory_bytes": store.count_bytes(False),
                "disk_bytes": store.count_bytes(True),
                "capacity_bytes": store.capacity_bytes,
            }
        )
    _, _, block_id = request.path.partition("/blocks/")
    if not block_id:
        return Reply(404)
    if request.method == "PUT":
        return await _put(store, block_id, request)
    block = store.blocks.get(block_id)
    if block is None:
        return Reply(404)
    expected_generation = request.headers.get("if-match", "").strip('"')
    if (
        expected_generation
        and expected_generation != block.generation
        and not store.faults.ignore_match
    ):
        return Reply(412)
    if request.method == "DELETE":
        del store.blocks[block_id]
        store.truth.append({"operation": "delete", "block": block_id})
        return Reply(204)
    if request.method == "HEAD":
        await _send_head(block, request, out)
        return None
    return await _get(store, block_id, block, request, out)


def _handle_faults(store: Store, request: Request) -> Reply:
    data = request.read_json()
    # Three faults take effect once, instead of staying on.
    should_restart_empty = data.pop("lose_everything", False)
    replaced_ids = data.pop("reuse", [])
    corrupted_ids = data.pop("corrupt", [])
    try:
        store.faults = Faults(**data)
    except TypeError as error:
        return build_json_reply({"error": str(error)}, 400)
    rate = store.faults.link_bytes_per_s
    store.link.bytes_per_s = store.link_bytes_per_s if rate is None else rate
    if should_restart_empty:
        store.restart_empty()
    for block_id in replaced_ids:
        if block_id in store.blocks:
            store.store_block(block_id, store.blocks[block_id].body[::-1])
    for block_id in corrupted_ids:
        if block_id in store.blocks:
            block = store.blocks[block_id]
            block.body = _corrupt(block.body)
    return build_json_reply({})


async def _put(store: Store, block_id: str, request: Request) -> Reply:
    body = request.body
    await store.link.transmit(len(body))
    given_digest = request.headers.get("content-digest", "")
    value = base64.b64encode(hashlib.sha256(body).digest()).decode()
    if given_digest != f"sha-256=:{value}:":
        return build_json_reply({"error": {"code": "digest_mismatch"}}, 400)
    replaced = store.blocks.get(block_id)
    if not store.has_room(len(body) - (len(replaced.body) if replaced else 0)):
        return build_json_reply({"error": {"code": "full"}}, 507)
    block = store.store_block(block_id, body)
    store.truth.append(
        {"operation": "put", "block": block_id, "generation": block.generation}
    )
    return Reply(201, headers={"etag": f'"{block.generation}"'})


def _build_headers(block: Block, request: Request) -> dict[str, str]:
    value = base64.b64encode(block.digest).decode()
    headers = {
        "etag": f'"{block.generation}"',
        "content-digest": f"sha-256=:{value}:",
        "content-length": str(len(block.body)),
    }
    if "x-call-id" in request.headers:
        headers["x-call-id"] = request.headers["x-call-id"]
    return headers


async def _send_head(block: Block, request: Request, out: StreamingReply) -> None:
    await out.start(200, _build_headers(block, request))
    await out.finish()


async def _get(
    store: Store, block_id: str, block: Block, request: Request, out: StreamingReply
) -> None:
    store.n_reads += 1
    faults = store.faults
    body = block.body
    if faults.corrupt_every and store.n_reads % faults.corrupt_every == 0:
        body = _corrupt(body)
    length = len(body)
    if faults.truncate_every and store.n_reads % faults.truncate_every == 0:
        length //= 2
    if block.on_disk:
        await anyio.sleep(store.disk_delay_s)
    if block_id in store.blocks:
        store.blocks.move_to_end(block_id)
    store.truth.append(
        {"operation": "get", "block": block_id, "generation": block.generation}
    )
    await out.start(200, _build_headers(block, request))
    for start in range(0, length, _CHUNK_BYTES):
        chunk = body[start : min(start + _CHUNK_BYTES, length)]
        await store.link.transmit(len(chunk))
        await out.write(chunk)
    if length < len(body):
        raise ConnectionResetError(
            f"fault truncate_every: {length} of {len(body)} bytes sent"
        )
    await out.finish()


def _corrupt(body: bytes) -> bytes:
    middle = len(body) // 2
    return body[:middle] + bytes([body[middle] ^ _CORRUPTION_MASK]) + body[middle + 1 :]


def main(
    *,
    name: str = "store",
    address: str = "127.0.0.1:0",
    memory_bytes: int = 16_777_216,
    disk_bytes: int = 67_108_864,
    disk_delay_s: float = 0.005,
    link_bytes_per_s: float = 1.25e9,
) -> None:
    """Run a stand-in KV store.

    :param name: name of the component in the logs
    :param address: HOST:PORT to listen on; port 0 lets the system choose
    :param memory_bytes: capacity of the memory tier in bytes
    :param disk_bytes: capacity of the disk tier in bytes
    :param disk_delay_s: additional delay of a read from the disk tier in seconds
    :param link_bytes_per_s: rate in bytes per second that all transfers share
    """
    logs.configure(name)
    link = Link(link_bytes_per_s)
    store = Store(memory_bytes, disk_bytes, disk_delay_s, link, link_bytes_per_s)

    async def answer(request: Request, out: StreamingReply):
        return await handle(store, request, out)

    anyio.run(serve_http, build_app(answer), bind(address), name)


if __name__ == "__main__":
    defopt.run(main)
