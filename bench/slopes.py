"""Measures how a node's memory and processor time grow, for docs/CAPACITY.md.

Each cost is measured at several sizes, fitted by least squares as
``cost = fixed + slope * size``, and printed with its points. Memory is measured by
``tracemalloc``, time is processor time of the process. All measurements run in one
process without sockets; ``bench.overhead`` and ``bench.gossip`` measure the cost of
sockets.
"""

import gc
import hashlib
import json
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass
from functools import partial
from pathlib import Path

import anyio
import defopt
from apricotlift.core import hashing
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.node.streams import StreamState
from apricotlift.policy.estimates import Candidate, RoutingRequest, RoutingSettings
from apricotlift.policy.limits import Quota, RequestLimiter
from apricotlift.policy.routing import choose_upstream
from apricotlift.state.changes import compare_declarations
from apricotlift.state.declarations import (
    Account,
    Declarations,
    Key,
    Model,
    Upstream,
    decode_document,
    encode_document,
)
from apricotlift.state.prefixes import PrefixIndex
from apricotlift.state.snapshots import Snapshot
from apricotlift.wire.messages import PrefixRun

N_REPEATS = 3
BLOCKS_PER_PROMPT = 8
TOKENS_PER_ANSWER = 475


@dataclass(frozen=True)
class Slope:
    """A cost as a linear function of a size.

    :param unit: unit of the cost.
    :param per: what the size counts.
    :param points: measured sizes and costs.
    """

    name: str
    unit: str
    per: str
    points: list[tuple[int, float]]
    fixed: float
    slope: float
    r_squared: float


def fit(name: str, unit: str, per: str, points: list[tuple[int, float]]) -> Slope:
    """Fit a line through the points by least squares."""
    sizes = [size for size, _ in points]
    costs = [cost for _, cost in points]
    line = statistics.linear_regression(sizes, costs)
    correlation = 1.0
    if len(set(costs)) > 1:
        correlation = statistics.correlation(sizes, costs)
    return Slope(name, unit, per, points, line.intercept, line.slope, correlation**2)


def measure_memory(build: Callable[[], object]) -> float:
    """Return the bytes that remain allocated after an object is built."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(after - before)


def measure_us(run: Callable[[], object], n_calls: int) -> float:
    """Return the lowest mean processor time of a call in microseconds."""
    times = []
    for _ in range(N_REPEATS):
        started = time.process_time()
        for _ in range(n_calls):
            run()
        times.append((time.process_time() - started) / n_calls * 1e6)
    return min(times)


def build_declarations(n_accounts: int, n_upstreams: int) -> Declarations:
    """Return declarations of the planned shape, with two keys per account."""
    models = {f"m{n}": Model(f"m{n}", "v1") for n in range(10)}
    accounts = {
        f"account-{n}": Account(f"account-{n}", tuple(models)[:4])
        for n in range(n_accounts)
    }
    keys = {}
    for name in accounts:
        for number in range(2):
            title = f"{name}-{number}"
            sha256 = hashlib.sha256(title.encode()).hexdigest()
            keys[title] = Key(title, sha256, name)
    upstreams = {
        f"e{n}": Upstream(
            f"e{n}", "engine", f"10.0.0.1:{1000 + n}", f"z{n % 8}", (f"m{n % 10}",)
        )
        for n in range(n_upstreams)
    }
    return Declarations(
        accounts=accounts, keys=keys, models=models, upstreams=upstreams
    )


def measure_configuration() -> list[Slope]:
    """Measure document size, memory and time of a change by accounts and upstreams."""
    size_points, memory_points, load_points, compare_points = [], [], [], []
    for n_accounts in (10, 650, 1300, 2600):
        declarations = build_declarations(n_accounts, 600)
        body = encode_document(declarations)
        size_points.append((n_accounts, float(len(body))))

        def build(body: bytes = body) -> Snapshot:
            return Snapshot(1, "", bytes(bytearray(body)))

        memory_points.append((n_accounts, measure_memory(build)))
        load_points.append((n_accounts, measure_us(build, 3)))
        other = decode_document(body)
        compare = partial(compare_declarations, declarations, other)
        compare_points.append((n_accounts, measure_us(compare, 3)))
    upstream_points = []
    for n_upstreams in (0, 200, 400, 600):
        body = encode_document(build_declarations(100, n_upstreams))
        upstream_points.append((n_upstreams, float(len(body))))
    return [
        fit("configuration document", "B", "account", size_points),
        fit("configuration document", "B", "upstream", upstream_points),
        fit("configuration in memory", "B", "account", memory_points),
        fit("putting a version in force", "us", "account", load_points),
        fit("comparing two versions", "us", "account", compare_points),
    ]


def build_runs(number: int) -> tuple[bytes, list[PrefixRun]]:
    """Return the shard key and the runs of one conversation."""
    blocks = [hashing.digest(number, n) for n in range(BLOCKS_PER_PROMPT)]
    runs = [
        PrefixRun(f"e{number % 600}", False, "b" * 32, list(blocks), 0, 0),
        PrefixRun(f"s{number % 8}", True, "", list(blocks), 0, 0),
    ]
    return blocks[0], runs


def measure_prefixes() -> list[Slope]:
    """Measure memory and time of the prefix index by conversations."""
    memory_points, locate_points, record_points = [], [], []
    for n_shards in (1000, 2000, 4000, 8000):
        index = PrefixIndex(Metrics())

        def build(n_shards: int = n_shards) -> PrefixIndex:
            built = PrefixIndex(Metrics())
            for number in range(n_shards):
                built.record(*build_runs(number))
            return built

        memory_points.append((n_shards, measure_memory(build)))
        index = build()
        key, runs = build_runs(n_shards // 2)
        chain = runs[0].blocks
        locate_points.append(
            (n_shards, measure_us(partial(index.locate, key, chain), 2000))
        )
        record_points.append(
            (n_shards, measure_us(partial(index.record, key, runs), 2000))
        )
    return [
        fit("prefix index", "B", "conversation", memory_points),
        fit("locating a prefix", "us", "conversation", locate_points),
        fit("recording a prefix", "us", "conversation", record_points),
    ]


def measure_routing() -> list[Slope]:
    """Measure the time of one routing decision by candidates."""
    points = []
    rng = random.Random(1)
    request = RoutingRequest(8000, BLOCKS_PER_PROMPT)
    for n_candidates in (3, 6, 12, 24, 60):
        candidates = [
            Candidate(f"e{n}", 8000.0, rng.uniform(0, 20000), report_age_s=0.5)
            for n in range(n_candidates)
        ]
        candidates[0] = Candidate("e0", 8000.0, n_cached_blocks=BLOCKS_PER_PROMPT)
        settings = RoutingSettings()
        choose = partial(choose_upstream, request, candidates, [], settings, rng)
        points.append((n_candidates, measure_us(choose, 300)))
    return [fit("choosing an upstream", "us", "candidate", points)]


def measure_requests() -> list[Slope]:
    """Measure the memory of buffered answers and of request limits."""
    stream_points, limit_points = [], []
    for n_streams in (50, 100, 200, 400):

        def build_streams(n_streams: int = n_streams) -> list[StreamState]:
            streams = []
            for number in range(n_streams):
                stream = StreamState(
                    f"r{number}", f"{number:024x}", "b", "a", "m", "m@v1"
                )
                for token in range(TOKENS_PER_ANSWER):
                    stream.append(f" tok{token % 97}")
                streams.append(stream)
            return streams

        stream_points.append((n_streams, measure_memory(build_streams)))
    quota = Quota(50.0, 100.0, 64)
    for n_accounts in (10, 650, 1300, 2600):

        def build_limits(n_accounts: int = n_accounts) -> RequestLimiter:
            limits = RequestLimiter()
            for number in range(n_accounts):
                limits.begin(f"account-{number}", "app", quota, quota, 1.0)
            return limits

        limit_points.append((n_accounts, measure_memory(build_limits)))
    return [
        fit(f"answer of {TOKENS_PER_ANSWER} tokens held", "B", "answer", stream_points),
        fit("limits", "B", "account", limit_points),
    ]


def measure_placement_of_shards() -> list[Slope]:
    """Measure the time to choose a shard's owners by members."""
    points = []
    for n_members in (8, 45, 90, 180, 360):
        members = {f"node-{n}": f"z{n % 8}" for n in range(n_members)}
        choose = partial(hashing.choose_owners, "k", members)
        points.append((n_members, measure_us(choose, 50)))
    return [fit("choosing a shard's owners", "us", "member", points)]


def measure_metrics() -> list[Slope]:
    """Measure the memory of the metrics by series."""
    points = []
    for n_series in (50, 100, 200):

        def build(n_series: int = n_series) -> Metrics:
            metrics = Metrics()
            for number in range(n_series):
                metrics.count("requests_total", upstream=f"e{number}")
            return metrics

        points.append((n_series, measure_memory(build)))
    histogram = measure_memory(_build_histogram)
    return [
        fit("counters", "B", "series", points),
        fit("histograms", "B", "series", [(0, 0.0), (1, histogram)]),
    ]


def _build_histogram() -> Metrics:
    metrics = Metrics()
    metrics.observe("first_token_seconds", 0.1)
    return metrics


def measure_errors() -> list[Slope]:
    """Measure the time to build a refusal's body, which is a fixed cost."""
    error = ApricotliftError(Code.RATE_LIMITED, "too many", retry_after_s=1.0)
    cost = measure_us(lambda: json.dumps(error.build_body("r")), 2000)
    return [fit("a refusal's body", "us", "refusal", [(0, 0.0), (1, cost)])]


def main(*, json_file: str = "") -> None:
    """Measure and print all slopes.

    :param json_file: file to write the figures to; empty for none
    """
    # Answers hold cancel scopes, which need a running event loop.
    slopes = anyio.run(measure_all)
    print_slopes(slopes)
    if json_file:
        data = [asdict(slope) for slope in slopes]
        Path(json_file).write_text(json.dumps(data, indent=1))


async def measure_all() -> list[Slope]:
    """Run all measurements and return their slopes."""
    slopes: list[Slope] = []
    for measure in (
        measure_configuration,
        measure_prefixes,
        measure_routing,
        measure_requests,
        measure_placement_of_shards,
        measure_metrics,
        measure_errors,
    ):
        slopes += measure()
    return slopes


def print_slopes(slopes: list[Slope]) -> None:
    """Print each slope with its measured points."""
    for slope in slopes:
        points = ", ".join(f"{size}: {cost:.0f}" for size, cost in slope.points)
        print(
            f"{slope.name}: {slope.fixed:.0f} + {slope.slope:.4g} {slope.unit} per "
            f"{slope.per} (r2 {slope.r_squared:.3f}; {points})"
        )


if __name__ == "__main__":
    defopt.run(main)
