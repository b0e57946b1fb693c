"""Measures the cost of claims: table writes, transactions and latency per call.

Calls arrive at random at a given mean rate. Each claims a new key, is dispatched at
once and records a small result. Added latency is the time that claiming and recording
add to a call. The table is the platform stand-in in a separate process; its delay
models the response time of the table service. Run from the root with the packages on
``PYTHONPATH``: ``python -m bench.claims --rates 20 100 400``.
"""

import json
import random
import time
from dataclasses import dataclass, field

import anyio
import defopt
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.platform import ObjectStore, Table
from apricotlift.state.claimbatch import WriteBatcher, build_direct_write
from apricotlift.state.claimrows import CallResult
from apricotlift.state.claims import ClaimManager
from apricotlift.upstreams.pool import Pool

from standins.processes import Processes

MAX_CALLS = 20_000
MAX_IN_FLIGHT = 500
_ACCOUNT = "bench"


@dataclass
class Sample:
    """Measurements of one run.

    :param claim_s: time that each call took to claim its key, in seconds.
    :param added_s: time that each call took to claim and to record, in seconds.
    """

    claim_s: list[float] = field(default_factory=list)
    added_s: list[float] = field(default_factory=list)
    n_refused: int = 0
    seconds: float = 0.0


async def measure(
    address: str, pool: Pool, is_batched: bool, rate_per_s: float, seconds: float
) -> Sample:
    """Run calls at a mean rate and return the measurements."""
    metrics = Metrics()
    table = Table(f"http://{address}", "t", pool, metrics)
    objects = ObjectStore(f"http://{address}/objects", pool)
    batcher = WriteBatcher(table, metrics)
    write = batcher.write if is_batched else build_direct_write(table)
    claims = ClaimManager(
        table, objects, write, metrics, "bench", lambda: "1", lambda node, _: True
    )
    sample = Sample()
    limiter = anyio.CapacityLimiter(MAX_IN_FLIGHT)
    result = CallResult(200, {"content-type": "application/json"}, b"x" * 200)

    async def call(key: str) -> None:
        async with limiter:
            started_at = time.perf_counter()
            try:
                claim = await claims.claim(_ACCOUNT, key, "digest")
                claimed_at = time.perf_counter()
                claims.begin_dispatch(claim)
            except ApricotliftError:
                sample.n_refused += 1
                return
            await claims.record(claim, result)
            sample.claim_s.append(claimed_at - started_at)
            sample.added_s.append(time.perf_counter() - started_at)

    rng = random.Random(7)
    started_at = time.perf_counter()
    async with anyio.create_task_group() as background:
        await background.start(claims.run)
        await background.start(batcher.run)
        async with anyio.create_task_group() as calls:
            due_at = started_at
            for index in range(min(MAX_CALLS, int(rate_per_s * seconds))):
                due_at += rng.expovariate(rate_per_s)
                await anyio.sleep(max(0.0, due_at - time.perf_counter()))
                calls.start_soon(call, f"{is_batched}.{rate_per_s}.{index}")
        await claims.wait_flushed()
        sample.seconds = time.perf_counter() - started_at
        background.cancel_scope.cancel()
    return sample


async def run(address: str, rates: list[float], seconds: float, delay_s: float):
    """Measure and print each rate, with direct and with batched writes."""
    async with Pool() as pool:
        faults = {"table": {"delay_s": delay_s}}
        url = f"http://{address}"
        await pool.request("POST", f"{url}/faults", body=json.dumps(faults).encode())
        print(
            "rate/s  writes   calls refused  done/s  rows/call  trans/call  "
            "claim p50 ms  added p50 ms  added p99 ms"
        )
        for rate_per_s in rates:
            for is_batched in (False, True):
                before = await _read_truth(pool, url)
                sample = await measure(address, pool, is_batched, rate_per_s, seconds)
                after = await _read_truth(pool, url)
                _print(rate_per_s, is_batched, sample, before, after)


async def _read_truth(pool: Pool, url: str) -> dict:
    response = await pool.request("GET", f"{url}/truth?rows=no")
    return json.loads(response.body)


def _print(rate_per_s, is_batched, sample: Sample, before: dict, after: dict) -> None:
    n_calls = len(sample.added_s)
    if not n_calls:
        print(f"{rate_per_s:6g}  no call was claimed, {sample.n_refused} refused")
        return
    n_rows = after["n_writes"] - before["n_writes"]
    n_transactions = after["n_transactions"] - before["n_transactions"]
    print(
        f"{rate_per_s:6g}  {'batched' if is_batched else 'direct ':8}"
        f"{n_calls:6d} {sample.n_refused:7d}  {n_calls / sample.seconds:6.0f}  "
        f"{n_rows / n_calls:9.2f}  {n_transactions / n_calls:10.2f}  "
        f"{_compute_quantile_ms(sample.claim_s, 0.5):12.1f}  "
        f"{_compute_quantile_ms(sample.added_s, 0.5):12.1f}  "
        f"{_compute_quantile_ms(sample.added_s, 0.99):12.1f}"
    )


def _compute_quantile_ms(values_s: list[float], share: float) -> float:
    ordered = sorted(values_s)
    return 1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def main(
    *,
    rates: list[float] = (10, 50, 200, 400),
    seconds: float = 10.0,
    delay_s: float = 0.005,
) -> None:
    """Measure claims at several rates and print a table.

    :param rates: calls per second at one node
    :param seconds: length of each run in seconds
    :param delay_s: response time of the table in seconds
    """
    with Processes() as processes:
        platform = processes.start_module("platform", "standins.platform")
        anyio.run(run, platform.get_address(), list(rates), seconds, delay_s)


if __name__ == "__main__":
    defopt.run(main)
