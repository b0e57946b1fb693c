"""Measures the cost and the delays of gossip by number of members.

The nodes of a simulated cluster share one process and a simulated clock. Messages
are encoded and decoded as frames, but not sent over sockets. Byte rates are per node,
for both directions together and with WebSocket headers; the second byte column adds
60 bytes per frame for TCP and IP headers, with an acknowledgement for every second
segment. CPU is the process time per node, without the cost of sockets.

``--sockets`` instead measures the CPU time of one exchange over loopback.
"""

import argparse
import contextlib
import heapq
import resource
import socket
import sys
import time
from dataclasses import replace
from random import Random

import anyio
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.state.freshness import Freshness
from apricotlift.state.gossip import HEARTBEAT_INTERVAL_S, N_GOSSIP_TASKS, Gossip
from apricotlift.state.view import (
    MAJORITY_WINDOW_S,
    SUSPICION_TIMEOUT_S,
    MembershipView,
    MemberState,
    build_incarnation,
)
from apricotlift.wire.connections import PeerPool, PeerServer
from apricotlift.wire.frames import decode_frame, encode_frame
from apricotlift.wire.handshake import Identity
from apricotlift.wire.links import get_header_size
from apricotlift.wire.messages import Heartbeat, HeartbeatReply, MemberSummary

SIZES = (8, 45, 90, 180, 360)
N_DOMAINS = 8
WARM_UP_S = 10
PACKET_BYTES = 60
REQUEST_NUMBER = 12345
SEED = 5


class SimulatedCluster:
    """Nodes with a shared simulated clock and a transport that counts bytes."""

    def __init__(self, n_members: int):
        self.now = 1000.0
        self.random = Random(SEED)
        self.n_bytes = 0
        self.n_frames = 0
        self.is_down: set[str] = set()
        self.groups: dict[str, int] = {}
        self.nodes: dict[str, Gossip] = {}
        self.views: dict[str, MembershipView] = {}
        self.freshness: dict[str, Freshness] = {}
        self.events: list[tuple[float, int, str]] = []
        self.n_events = 0
        summaries = [self.build_summary(number) for number in range(n_members)]
        for summary in summaries:
            self.add_node(summary, summaries)

    def build_summary(self, number: int) -> MemberSummary:
        """Return the summary of a node."""
        return MemberSummary(
            node_id=f"node-{number:04d}",
            incarnation=build_incarnation(1_700_000_000_000, self.random),
            peer_address=f"10.0.{number // 250}.{number % 250}:7400",
            caller_address=f"10.0.{number // 250}.{number % 250}:8080",
            failure_domain=f"domain-{number % N_DOMAINS}",
            state=str(MemberState.SERVING),
        )

    def add_node(self, own: MemberSummary, known: list[MemberSummary]) -> None:
        """Add a node that has read the given members from the table."""
        metrics = Metrics()
        view = MembershipView(own, metrics, self.get_time)
        view.apply_table([summary for summary in known if summary != own])
        freshness = Freshness(metrics, self.get_time)
        freshness.observe_read(700, self.now)
        freshness.put_in_force(700)
        random = Random(self.random.random())
        request = self.build_request(own.peer_address)
        gossip = Gossip(view, freshness, request, metrics, random, self.get_time)
        self.nodes[own.peer_address] = gossip
        self.views[own.peer_address] = view
        self.freshness[own.peer_address] = freshness
        for _ in range(N_GOSSIP_TASKS):
            self.schedule(self.now + self.random.random() * HEARTBEAT_INTERVAL_S, own)

    def schedule(self, at: float, own: MemberSummary) -> None:
        """Schedule the time at which a node starts an exchange."""
        self.n_events += 1
        heapq.heappush(self.events, (at, self.n_events, own.peer_address))

    def get_time(self) -> float:
        """Return the simulated time."""
        return self.now

    def build_request(self, source: str):
        """Return a function that delivers requests of a node to other nodes."""

        async def request(address, message, timeout_s):
            data = encode_frame(message, REQUEST_NUMBER)
            self.count(data, True)
            if address in self.is_down or self.is_cut(source, address):
                raise ApricotliftError(Code.PEER_UNREACHABLE, "no connection")
            reply = self.nodes[address].answer(decode_frame(data).message)
            data = encode_frame(reply, REQUEST_NUMBER)
            self.count(data, False)
            return decode_frame(data).message

        return request

    def is_cut(self, source: str, address: str) -> bool:
        """Return whether a partition separates two nodes."""
        return self.groups.get(source) != self.groups.get(address)

    def count(self, data: bytes, is_masked: bool) -> None:
        """Count the bytes of one frame."""
        self.n_frames += 1
        self.n_bytes += len(data) + get_header_size(len(data), is_masked)

    def run(self, seconds: float) -> None:
        """Run all exchanges that start within the given simulated time."""
        end = self.now + seconds
        while self.events[0][0] < end:
            at, _, address = heapq.heappop(self.events)
            if address in self.is_down:
                continue
            self.now = at
            exchange = self.nodes[address].exchange()
            # The transport never suspends, so one step completes the exchange.
            with contextlib.suppress(StopIteration):
                exchange.send(None)
            delay_s = HEARTBEAT_INTERVAL_S * self.random.uniform(0.8, 1.2)
            self.schedule(at + delay_s, self.views[address].own)
        self.now = end

    def run_until(self, holds, limit_s: float = 60) -> float:
        """Run until a condition holds or ``limit_s`` is over.

        :returns: the elapsed simulated time in seconds.
        """
        started_at = self.now
        while not holds() and self.now - started_at < limit_s:
            self.run(0.25)
        return self.now - started_at

    def get_live_views(self) -> list[MembershipView]:
        """Return the views of running nodes."""
        return [
            view for address, view in self.views.items() if address not in self.is_down
        ]


def measure(n_members: int, seconds: int) -> str:
    """Measure one cluster size and return its line of the table."""
    cluster = SimulatedCluster(n_members)
    cluster.run(WARM_UP_S)
    cluster.n_bytes = cluster.n_frames = 0
    cpu_s = 0.0
    ages: list[float] = []
    for _ in range(seconds):
        started_s = time.process_time()
        cluster.run(1)
        cpu_s += time.process_time() - started_s
        ages += collect_ages(cluster)
    # Each frame counts both at its sender and at its receiver.
    rate = 2 * cluster.n_bytes / n_members / seconds
    rate_on_wire = rate + 2 * cluster.n_frames * PACKET_BYTES / n_members / seconds
    ages.sort()
    n_suspected = sum(age > SUSPICION_TIMEOUT_S for age in ages)
    n_unproven = sum(age > MAJORITY_WINDOW_S for age in ages)
    cpu_ms = cpu_s * 1000 / n_members / seconds
    line = (
        f"{n_members:7d} {rate / 1000:8.2f} {rate_on_wire / 1000:12.2f} {cpu_ms:9.2f}"
        f" {ages[len(ages) // 2]:7.2f} {ages[int(len(ages) * 0.999)]:7.2f}"
        f" {ages[-1]:7.2f} {n_suspected:9d} {n_unproven:8d} {len(ages):9d}"
    )
    return line + measure_changes(cluster)


def collect_ages(cluster: SimulatedCluster) -> list[float]:
    """Return the age in seconds of each member's latest proof of life at each node."""
    return [
        cluster.now - member.proven_at
        for view in cluster.get_live_views()
        for node_id, member in view.members.items()
        if node_id != view.own.node_id
    ]


def measure_changes(cluster: SimulatedCluster) -> str:
    """Return the seconds until all nodes know a new version, a drain and a failure."""
    address = next(iter(cluster.nodes))
    own = cluster.views[address].own
    cluster.freshness[address].observe_read(701, cluster.now)
    cluster.freshness[address].put_in_force(701)
    views = cluster.get_live_views()
    version_s = cluster.run_until(
        lambda: all(view.newest_version == 701 for view in views)
    )
    for freshness in cluster.freshness.values():
        freshness.observe_read(701, cluster.now)
        freshness.put_in_force(701)
    cluster.run(4)
    draining = replace(own, state=str(MemberState.DRAINING))
    cluster.views[address].set_own(draining)
    n_bytes = cluster.n_bytes
    started_at = cluster.now
    drain_s = cluster.run_until(
        lambda: all(view.members[own.node_id].summary == draining for view in views)
    )
    elapsed_s = max(cluster.now - started_at, 0.25)
    rate = 2 * (cluster.n_bytes - n_bytes) / len(cluster.nodes) / elapsed_s
    cluster.is_down.add(address)
    views = cluster.get_live_views()
    failure_s = cluster.run_until(
        lambda: all(view.is_suspected(own.node_id) for view in views)
    )
    return f" {version_s:9.2f} {drain_s:7.2f} {rate / 1000:11.2f} {failure_s:9.2f}"


async def measure_sockets(n_exchanges: int) -> None:
    """Print the CPU time of an exchange over loopback with 360 members, both sides."""
    identity = Identity("node-0001", "1", "domain-1")
    secret = b"a secret for the measurement"
    listening = socket.socket()
    listening.bind(("127.0.0.1", 0))
    stamp = bytes(12)
    fields = (
        b"12345678",
        bytes(360),
        b"",
        700,
        b"",
        [],
        [],
        stamp,
        stamp,
        900,
        700,
        500,
    )
    server = PeerServer(listening, lambda: identity, secret, Metrics())

    async def answer(message, peer):
        return HeartbeatReply(*fields)

    server.register(Heartbeat, answer)
    address = f"127.0.0.1:{listening.getsockname()[1]}"
    async with server, PeerPool(lambda: identity, secret, Metrics()) as pool:
        await pool.request(address, Heartbeat(*fields), 5)
        started_s = time.process_time()
        for _ in range(n_exchanges):
            await pool.request(address, Heartbeat(*fields), 5)
        cpu_s = time.process_time() - started_s
    print(f"exchange over loopback, both sides: {cpu_s / n_exchanges * 1e6:.0f} us CPU")


def main() -> None:
    """Print one line for each number of members."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--sizes", type=int, nargs="*", default=SIZES)
    parser.add_argument("--sockets", action="store_true")
    arguments = parser.parse_args()
    if arguments.sockets:
        anyio.run(measure_sockets, 3000)
        return
    print("members  KB/s  KB/s+headers  CPU ms/s | proven age median p99.9 max s |")
    print("pairs over 5 s, over 8 s, of | seconds until all know version, drain")
    print("(KB/s meanwhile), failure")
    for n_members in arguments.sizes:
        print(measure(n_members, arguments.seconds), flush=True)
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"peak memory of the whole simulation: {peak_mb:.0f} MB", file=sys.stderr)


if __name__ == "__main__":
    main()
