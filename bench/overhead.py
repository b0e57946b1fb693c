"""Compares a node with a direct connection and with a minimal relay, in one run.

Prints the added time to first token, processor time per token and its ratio to the
relay's, bytes per token, and memory when idle and with open streams. Run as
``python -m bench.overhead``; ``tools/bench overhead`` sets the path.
"""

import json
import os
import statistics
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import anyio
import defopt

from standins.fleet import Fleet
from standins.processes import Process, Processes

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
N_TTFT_REQUESTS = 200
OPEN_STREAM_TOKEN_S = 0.1


@dataclass
class Result:
    """Measurements of one path with one number of open streams."""

    path: str
    n_streams: int
    ttft_p50_ms: float
    ttft_p99_ms: float
    cpu_us_per_token: float
    bytes_per_token: float
    rss_idle_mb: float
    rss_mb: float
    n_tokens: int


@dataclass
class StreamStats:
    """What one client connection received.

    :param first_s: time to the first token in seconds.
    """

    first_s: float = 0.0
    n_tokens: int = 0
    n_bytes: int = 0


async def read_answer(address: str, request: bytes, stats: StreamStats) -> None:
    """Send a request on a new connection and read the stream up to ``[DONE]``."""
    host, _, port = address.rpartition(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        started = time.perf_counter()
        await stream.send(request)
        tail = b""
        while b"data: [DONE]" not in tail:
            chunk = await stream.receive()
            stats.n_bytes += len(chunk)
            n_found = (tail[-6:] + chunk).count(b"data: ")
            if n_found and not stats.first_s:
                stats.first_s = time.perf_counter() - started
            stats.n_tokens += chunk.count(b'"finish_reason": null')
            stats.n_tokens += chunk.count(b'"finish_reason":null')
            tail = (tail + chunk)[-64:]


def build_request(fleet: Fleet, path: str, n_tokens: int, number: int) -> bytes:
    """Return the bytes of one completion request."""
    body = {
        "model": "wax" if path == "node" else "wax@v1",
        "prompt": f"prompt {number}",
        "max_tokens": n_tokens,
        "stream": True,
    }
    if path != "node":
        body.update(request_id=f"{path}-{number}-{time.time_ns()}", cache_salt="s")
    content = json.dumps(body).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
        "content-type: application/json\r\n"
        f"authorization: Bearer {fleet.keys['fes']}\r\n"
        f"content-length: {len(content)}\r\nconnection: close\r\n\r\n"
    )
    return head.encode() + content


async def read_streams(
    fleet: Fleet, path: str, address: str, n_streams: int, n_tokens: int
) -> list[StreamStats]:
    """Read several streamed answers concurrently."""
    stream_stats = [StreamStats() for _ in range(n_streams)]
    async with anyio.create_task_group() as tasks:
        for number, stats in enumerate(stream_stats):
            request = build_request(fleet, path, n_tokens, number)
            tasks.start_soon(read_answer, address, request, stats)
            await anyio.sleep(0.002)
    return stream_stats


async def measure_first_tokens(fleet: Fleet, path: str, address: str) -> list[float]:
    """Return the times to first token of sequential requests in milliseconds."""
    times = []
    for number in range(N_TTFT_REQUESTS):
        stats = StreamStats()
        request = build_request(fleet, path, 2, number)
        await read_answer(address, request, stats)
        times.append(stats.first_s * 1000)
    return times


def read_cpu_s(process: Process) -> float:
    """Return the processor time of all threads of a process.

    This is the scheduler's count in nanoseconds. The count in clock ticks is wrong for
    processes that wake up often and run for a short time.
    """
    folder = Path(f"/proc/{process.popen.pid}/task")
    fields = [path.read_text().split()[0] for path in folder.glob("*/schedstat")]
    return sum(int(field) for field in fields) / 1e9


def read_rss_mb(process: Process) -> float:
    """Return the resident memory of a process in megabytes."""
    text = Path(f"/proc/{process.popen.pid}/statm").read_text()
    return int(text.split()[1]) * _PAGE_BYTES / 1e6


def measure_path(
    fleet: Fleet, path: str, process: Process, n_streams: int, n_tokens: int
) -> Result:
    """Measure one path from client to engine."""
    address = fleet.addresses[path]
    rss_idle_mb = read_rss_mb(process)
    times = anyio.run(measure_first_tokens, fleet, path, address)
    fleet.set_faults("e1", token_s=OPEN_STREAM_TOKEN_S)
    before_s = read_cpu_s(process)
    stream_stats = anyio.run(read_streams, fleet, path, address, n_streams, n_tokens)
    cpu_s = read_cpu_s(process) - before_s
    fleet.set_faults("e1")
    n_read = sum(stats.n_tokens for stats in stream_stats)
    n_bytes = sum(stats.n_bytes for stats in stream_stats)
    return Result(
        path,
        n_streams,
        statistics.median(times),
        statistics.quantiles(times, n=100)[98],
        cpu_s / n_read * 1e6,
        n_bytes / n_read,
        rss_idle_mb,
        read_rss_mb(process),
        n_read,
    )


def print_results(results: list[Result]) -> None:
    """Print the table, and compare the node with relay and direct connection."""
    print(
        "path    streams  ttft p50/p99 ms   cpu us/token  bytes/token  rss idle/now MB"
    )
    for item in results:
        print(
            f"{item.path:7} {item.n_streams:7} {item.ttft_p50_ms:8.2f}/"
            f"{item.ttft_p99_ms:<8.2f} {item.cpu_us_per_token:10.1f} "
            f"{item.bytes_per_token:12.0f} {item.rss_idle_mb:9.1f}/{item.rss_mb:.1f}"
        )
    for n_streams in sorted({item.n_streams for item in results}):
        by_path = {item.path: item for item in results if item.n_streams == n_streams}
        node, relay, direct = by_path["node"], by_path["relay"], by_path["direct"]
        print(
            f"{n_streams} streams: node/relay cpu a token "
            f"{node.cpu_us_per_token / relay.cpu_us_per_token:.2f} (aim 3), "
            f"node adds {node.ttft_p50_ms - direct.ttft_p50_ms:.2f} ms at the median "
            f"(aim 3) and {node.ttft_p99_ms - direct.ttft_p99_ms:.2f} ms at p99 "
            "(aim 10)"
        )


def main(
    *, streams: list[int] = (50, 500), tokens: int = 100, json_file: str = ""
) -> None:
    """Measure a direct connection, the relay and a node in one run.

    :param streams: numbers of open streams
    :param tokens: number of tokens of each answer
    :param json_file: file to write the figures to; empty for none
    """
    with Processes() as processes:
        fleet = Fleet(processes)
        fleet.add_model()
        fleet.add_account("fes")
        fleet.sections.append(
            "[fleet]\nmax_in_flight = 10000\nrate_per_s = 100000\nburst = 100000\n"
            "consumer_max_in_flight = 10000\nconsumer_rate_per_s = 100000\n"
            "consumer_burst = 100000\n"
        )
        engine = fleet.start_engine("e1", "--token-s", "0.01")
        fleet.addresses["direct"] = fleet.addresses["e1"]
        relay = processes.start_module(
            "relay", "bench.relay", "--target", fleet.addresses["e1"]
        )
        fleet.addresses["relay"] = relay.get_address()
        node = fleet.start_node("node")
        paths = {"direct": engine, "relay": relay, "node": node}
        results = [
            measure_path(fleet, path, process, n_streams, tokens)
            for n_streams in streams
            for path, process in paths.items()
        ]
    print_results(results)
    if json_file:
        Path(json_file).write_text(json.dumps([asdict(item) for item in results]))


if __name__ == "__main__":
    defopt.run(main)
