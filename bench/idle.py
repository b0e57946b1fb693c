"""Measures the resource use of an idle node, which has only control traffic.

Starts real processes and prints, for one node, processor time as a share of a core,
resident memory, bytes per second to and from peers, and table reads and writes per
second, by number of nodes and of engines.
"""

import json
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import defopt

from bench.overhead import read_cpu_s, read_rss_mb
from standins.fleet import Fleet
from standins.processes import Processes

WARM_UP_S = 6.0
SIZES = ((2, 2), (2, 6), (8, 2), (8, 6))


@dataclass(frozen=True)
class IdleUsage:
    """Resource use of one idle node."""

    n_nodes: int
    n_engines: int
    cpu_percent: float
    rss_mb: float
    peer_bytes_per_s: float
    table_reads_per_s: float
    table_writes_per_s: float


def measure(n_nodes: int, n_engines: int, seconds: float) -> IdleUsage:
    """Start a fleet and measure its first node."""
    with Processes() as processes:
        fleet = Fleet(processes)
        fleet.add_model()
        fleet.add_account("fes")
        for number in range(n_engines):
            fleet.start_engine(f"e{number}")
        fleet.start_platform()
        fleet.add_operator()
        fleet.apply_declarations()
        fleet.start_nodes([f"n{number}" for number in range(n_nodes)])
        time.sleep(WARM_UP_S)
        node = fleet.nodes["n0"]
        first = fleet.read_metrics("n0")
        started_s = time.monotonic()
        before_s = read_cpu_s(node)
        time.sleep(seconds)
        cpu_s = read_cpu_s(node) - before_s
        elapsed_s = time.monotonic() - started_s
        last = fleet.read_metrics("n0")

        def get_rate(name: str) -> float:
            total = sum(value for key, value in last.items() if name in key)
            start = sum(value for key, value in first.items() if name in key)
            return (total - start) / elapsed_s

        return IdleUsage(
            n_nodes,
            n_engines,
            cpu_s / elapsed_s * 100,
            read_rss_mb(node),
            get_rate("peer_bytes_total"),
            get_rate("table_reads_total"),
            get_rate("table_writes_total"),
        )


def main(*, seconds: float = 15.0, json_file: str = "") -> None:
    """Measure idle nodes.

    :param seconds: length of each measurement in seconds
    :param json_file: file to write the figures to; empty for none
    """
    usages = [measure(n, e, seconds) for n, e in SIZES]
    print("nodes engines  cpu %  rss MB  peer B/s  table reads/s  writes/s")
    for item in usages:
        print(
            f"{item.n_nodes:5} {item.n_engines:7} {item.cpu_percent:6.2f} "
            f"{item.rss_mb:7.1f} {item.peer_bytes_per_s:9.0f} "
            f"{item.table_reads_per_s:14.2f} {item.table_writes_per_s:9.2f}"
        )
    if json_file:
        Path(json_file).write_text(json.dumps([asdict(item) for item in usages]))


if __name__ == "__main__":
    defopt.run(main)
