"""Replays seeded traces of both deployments against real nodes and stand-ins.

Every policy gets the same trace, on processes of its own, one policy after the
other. Run as ``python -m bench.replay``. Load 1 is the rate at which recomputing
every prompt token would take the whole prefill capacity. Service and link times are
multiplied by ``--scale``; periods of the nodes themselves (probes each second) are
not, so reports are staler than in production by the inverse of the scale.
"""

import argparse
import json
import os
import time
from pathlib import Path
from random import Random

import anyio
import httpcore
from apricotlift.policy.routing import POLICIES

from bench.replaycheck import (
    Reading,
    check_answers,
    read_whole_text,
    select_counters,
    summarise,
    take_quantile,
)
from bench.replayfleet import BYTE_SCALE, FAULTS, ReplayFleet, start_fleet
from bench.traces import (
    DEPLOYMENTS,
    Deployment,
    Turn,
    build_prompt,
    compute_block_bound,
    compute_recomputed_bound,
    compute_request_rate,
    compute_ttft_bounds,
    make_trace,
)
from standins.processes import Processes

WARM_UP_SHARE = 0.3
#: The fault comes after this share of the trace.
FAULT_SHARE = 0.4
N_OUTPUT_TOKENS = 4
N_NAMED_INSTANCES = 3
MAX_TRIES = 4
_RETRY_S = 0.05
_TIMEOUT_S = 60.0
_MAX_CONNECTIONS = 500


class Callers:
    """Sends the turns of a trace to the nodes that an account is told."""

    def __init__(self, running: ReplayFleet, prompts: dict[int, str], seed: int):
        self.running = running
        self.prompts = prompts
        self.readings: list[Reading] = []
        self.random = Random(seed)
        self.client = httpcore.AsyncConnectionPool(max_connections=_MAX_CONNECTIONS)
        self.addresses: dict[int, list[str]] = {}
        self.warm_up_bytes = 0

    async def run(self, turns: list[Turn], rate: float, fault: str) -> int:
        """Send all turns at their times; return the link bytes of the warm-up."""
        first_counted = int(len(turns) * WARM_UP_SHARE)
        first_faulty = int(len(turns) * FAULT_SHARE)
        async with self.client, anyio.create_task_group() as tasks:
            started = time.monotonic()
            for turn in turns:
                due = started + turn.at / rate
                await anyio.sleep(max(0.0, due - time.monotonic()))
                if turn.number == first_counted:
                    # A task of its own: a busy store must not hold up the trace.
                    tasks.start_soon(self._read_warm_up)
                if turn.number == first_faulty and fault != "none":
                    tasks.start_soon(
                        anyio.to_thread.run_sync, self.running.inject, fault
                    )
                reading = Reading(turn, lateness_s=time.monotonic() - due)
                self.readings.append(reading)
                tasks.start_soon(self._send, reading, due)
        return self.warm_up_bytes

    async def _read_warm_up(self) -> None:
        self.warm_up_bytes = await anyio.to_thread.run_sync(
            self.running.read_link_bytes
        )

    async def _send(self, reading: Reading, started: float) -> None:
        """Send one turn; its time counts from when it was due."""
        addresses = await self._get_addresses(reading.turn.account)
        order = self.random.sample(addresses, len(addresses))
        for number in range(MAX_TRIES):
            reading.node = order[number % len(order)]
            try:
                with anyio.fail_after(_TIMEOUT_S):
                    if await self._try(reading, started):
                        return
            except (httpcore.NetworkError, httpcore.ProtocolError) as error:
                reading.refusals.append(type(error).__name__)
            except (httpcore.TimeoutException, TimeoutError):
                reading.refusals.append("caller_timeout")
            await anyio.sleep(_RETRY_S)

    async def _get_addresses(self, account: int) -> list[str]:
        """Return the addresses that the account was told, asked for once."""
        if account not in self.addresses:
            nodes = sorted(self.running.get_node_addresses().values())
            headers = self._build_headers(account)
            url = f"http://{nodes[account % len(nodes)]}/v1/instances"
            answer = await self.client.request("GET", url, headers=headers)
            found = json.loads(answer.content)["instances"]
            named = [item["address"] for item in found][:N_NAMED_INSTANCES]
            self.addresses[account] = named or nodes
        return self.addresses[account]

    def _build_headers(self, account: int) -> dict[str, str]:
        key = self.running.fleet.keys[f"a{account}"]
        return {"authorization": f"Bearer {key}", "content-type": "application/json"}

    async def _try(self, reading: Reading, started: float) -> bool:
        body = {
            "model": "wax",
            "prompt": self.prompts[reading.turn.number],
            "max_tokens": N_OUTPUT_TOKENS,
            "stream": True,
        }
        timeouts = {"connect": 1.0, "read": _TIMEOUT_S, "write": 10.0}
        async with self.client.stream(
            "POST",
            f"http://{reading.node}/v1/completions",
            headers=self._build_headers(reading.turn.account),
            content=json.dumps(body).encode(),
            extensions={"timeout": timeouts},
        ) as response:
            headers = {key.decode().lower(): value for key, value in response.headers}
            if response.status != 200:
                error = json.loads(await response.aread()).get("error", {})
                reading.refusals.append(str(error.get("code", response.status)))
                return False
            attempt = headers["x-attempt-id"].decode().partition(".")[0]
            reading.attempt_ids.append(attempt)
            content = b""
            async for chunk in response.aiter_stream():
                if reading.ttft_s is None:
                    reading.ttft_s = time.monotonic() - started
                content += chunk
        reading.text, reading.is_whole = read_whole_text(content)
        if not reading.is_whole:
            reading.refusals.append("broken_stream")
        return reading.is_whole


def replay(deployment: Deployment, policy: str, options) -> dict:
    """Replay one trace with one policy and return its figures."""
    turns = make_trace(deployment, options.requests, options.seed)
    prompts = {
        turn.number: build_prompt(deployment, options.seed, turn) for turn in turns
    }
    rate = compute_request_rate(deployment, turns, options.load) / options.scale
    with Processes() as processes:
        running = start_fleet(processes, deployment, policy, options.scale)
        callers = Callers(running, prompts, options.seed)
        started = time.monotonic()
        warm_up_bytes = anyio.run(callers.run, turns, rate, options.fault)
        seconds = time.monotonic() - started
        running.heal(options.fault)
        link_bytes = running.read_link_bytes() - warm_up_bytes
        ran = running.read_ran()
        counters = select_counters(running.read_counters())
    counted = callers.readings[int(len(turns) * WARM_UP_SHARE) :]
    figures = summarise(counted, ran, link_bytes, BYTE_SCALE, options.scale)
    violations = check_answers(callers.readings, prompts, N_OUTPUT_TOKENS, ran)
    return {
        "deployment": deployment.name,
        "policy": policy,
        "seed": options.seed,
        "load": options.load,
        "fault": options.fault,
        "scale": options.scale,
        "requests": options.requests,
        "seconds": seconds,
        "machine_load": os.getloadavg()[0],
        **figures,
        "violations": violations,
        "counters": counters,
    }


def compute_bounds(deployment: Deployment, options) -> dict:
    """Return the two bounds for the counted part of a trace."""
    turns = make_trace(deployment, options.requests, options.seed)
    counted = turns[int(len(turns) * WARM_UP_SHARE) :]
    ttfts = compute_ttft_bounds(deployment, counted)
    return {
        "deployment": deployment.name,
        "policy": "bounds",
        "seed": options.seed,
        "load": options.load,
        "recomputed_share": compute_recomputed_bound(counted),
        "recomputed_share_blocks": compute_block_bound(counted),
        **{
            f"ttft_p{percent}_s": take_quantile(ttfts, percent / 100)
            for percent in (50, 95, 99)
        },
    }


def print_bounds(bounds: dict, options) -> None:
    """Print the head of a deployment's table."""
    print(
        f"\n{bounds['deployment']}: load {options.load:g}, fault {options.fault}, "
        f"seed {options.seed}, {options.requests} requests, time scale "
        f"{options.scale:g}"
    )
    print(
        f"  {'policy':17}{'TTFT p50/p95/p99 s':>21}{'raw p50/p95/p99 s':>21}"
        f"{'recomputed':>11}{'link B/token':>13}{'accounts':>9}{'servers':>8}"
        "  refusals seen by callers"
    )
    times = "/".join(f"{bounds[f'ttft_p{p}_s']:.2f}" for p in (50, 95, 99))
    share = bounds["recomputed_share"]
    print(
        f"  {'bounds':17}{times:>21}{'':21}{share:11.3f}  "
        f"(in full blocks {bounds['recomputed_share_blocks']:.3f})",
        flush=True,
    )


def print_row(row: dict) -> None:
    """Print one policy's figures."""
    times = "/".join(f"{row[f'ttft_p{p}_s']:.2f}" for p in (50, 95, 99))
    raw = "/".join(f"{row[f'raw_ttft_p{p}_s']:.2f}" for p in (50, 95, 99))
    refusals = " ".join(f"{k}={v}" for k, v in sorted(row["refusals"].items()))
    print(
        f"  {row['policy']:17}{times:>21}{raw:>21}{row['recomputed_share']:11.3f}"
        f"{row['link_bytes_per_token']:13.0f}{row['account_spread']:9.2f}"
        f"{row['server_spread']:8.2f}  {refusals or 'none'}",
        flush=True,
    )
    retries = {
        name: value
        for name, value in row["counters"].items()
        if name.startswith(("retries", "refusals", "fetches_failed", "exports_failed"))
    }
    if retries:
        print("    " + ", ".join(f"{k} {v:g}" for k, v in retries.items()), flush=True)
    for violation in row["violations"][:5]:
        print(f"    violation: {violation}", flush=True)


def read_options():
    """Return the command line's options."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = [*DEPLOYMENTS, "both"]
    parser.add_argument("--deployment", choices=names, default="both")
    parser.add_argument("--load", type=float, default=0.8)
    parser.add_argument("--fault", choices=FAULTS, default="none")
    parser.add_argument("--seed", type=int, default=201)
    parser.add_argument("--requests", type=int, default=300)
    parser.add_argument("--scale", type=float, default=0.25)
    parser.add_argument("--policies", nargs="+", default=list(POLICIES))
    parser.add_argument("--counters", action="store_true")
    parser.add_argument("--json", type=Path)
    return parser.parse_args()


def main() -> None:
    """Print a table per deployment and write the rows as JSON if asked to."""
    options = read_options()
    rows = []
    for name, deployment in DEPLOYMENTS.items():
        if options.deployment not in (name, "both"):
            continue
        rows.append(compute_bounds(deployment, options))
        print_bounds(rows[-1], options)
        for policy in options.policies:
            rows.append(replay(deployment, policy, options))
            print_row(rows[-1])
            if options.counters:
                for key, value in rows[-1]["counters"].items():
                    print(f"      {key} {value:g}")
            if options.json:
                options.json.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
