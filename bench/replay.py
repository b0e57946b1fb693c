"""Replays seeded traces of both deployments against real nodes and stand-ins.

The policies run one after the other, each with the same trace and with new processes.
Run as ``python -m bench.replay``. Load 1 is the rate at which recomputing
every prompt token would take the whole prefill capacity. Service and link times are
multiplied by ``--scale``. Intervals of the nodes themselves (such as probes each
second) are not, so relative to the other times, reports are older than in production
by the inverse of the scale.
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
    TurnResult,
    check_answers,
    compute_quantile,
    read_whole_text,
    select_counters,
    summarise,
)
from bench.replayfleet import BYTE_SCALE, FAULTS, ReplayFleet, start_fleet
from bench.traces import (
    DEPLOYMENTS,
    Deployment,
    Turn,
    build_prompt,
    compute_recomputed_block_bound,
    compute_recomputed_bound,
    compute_request_rate,
    compute_ttft_bounds,
    make_trace,
)
from standins.processes import Processes

WARM_UP_SHARE = 0.3
#: The fault is injected after this share of the trace.
FAULT_SHARE = 0.4
N_OUTPUT_TOKENS = 4
N_NAMED_INSTANCES = 3
MAX_ATTEMPTS = 4
_RETRY_DELAY_S = 0.05
_ATTEMPT_TIMEOUT_S = 60.0
_MAX_CONNECTIONS = 500


class TraceClient:
    """Sends the turns of a trace to the nodes that are named to their accounts."""

    def __init__(self, replay_fleet: ReplayFleet, prompts: dict[int, str], seed: int):
        self.replay_fleet = replay_fleet
        self.prompts = prompts
        self.turn_results: list[TurnResult] = []
        self.random = Random(seed)
        self.client = httpcore.AsyncConnectionPool(max_connections=_MAX_CONNECTIONS)
        self.addresses: dict[int, list[str]] = {}
        self.warm_up_bytes = 0

    async def run(self, turns: list[Turn], rate: float, fault: str) -> int:
        """Send all turns when they are due.

        :param rate: requests per second of the replay.
        :returns: bytes over all store links during the warm-up.
        """
        first_counted = int(len(turns) * WARM_UP_SHARE)
        first_faulty = int(len(turns) * FAULT_SHARE)
        async with self.client, anyio.create_task_group() as tasks:
            started = time.monotonic()
            for turn in turns:
                due = started + turn.at / rate
                await anyio.sleep(max(0.0, due - time.monotonic()))
                if turn.number == first_counted:
                    # A separate task, so that a busy store doesn't delay the trace.
                    tasks.start_soon(self._read_warm_up_bytes)
                if turn.number == first_faulty and fault != "none":
                    tasks.start_soon(
                        anyio.to_thread.run_sync, self.replay_fleet.inject_fault, fault
                    )
                turn_result = TurnResult(turn, lateness_s=time.monotonic() - due)
                self.turn_results.append(turn_result)
                tasks.start_soon(self._send, turn_result, due)
        return self.warm_up_bytes

    async def _read_warm_up_bytes(self) -> None:
        self.warm_up_bytes = await anyio.to_thread.run_sync(
            self.replay_fleet.read_link_bytes
        )

    async def _send(self, turn_result: TurnResult, started: float) -> None:
        """Send one turn, with retries.

        :param started: time at which the turn was due, from which TTFT is measured.
        """
        addresses = await self._get_addresses(turn_result.turn.account)
        order = self.random.sample(addresses, len(addresses))
        for number in range(MAX_ATTEMPTS):
            turn_result.node = order[number % len(order)]
            try:
                with anyio.fail_after(_ATTEMPT_TIMEOUT_S):
                    if await self._send_attempt(turn_result, started):
                        return
            except (httpcore.NetworkError, httpcore.ProtocolError) as error:
                turn_result.refusals.append(type(error).__name__)
            except (httpcore.TimeoutException, TimeoutError):
                turn_result.refusals.append("caller_timeout")
            await anyio.sleep(_RETRY_DELAY_S)

    async def _get_addresses(self, account: int) -> list[str]:
        """Return the addresses named to an account, which are requested only once."""
        if account not in self.addresses:
            nodes = sorted(self.replay_fleet.get_node_addresses().values())
            headers = self._build_headers(account)
            url = f"http://{nodes[account % len(nodes)]}/v1/instances"
            answer = await self.client.request("GET", url, headers=headers)
            found = json.loads(answer.content)["instances"]
            named = [item["address"] for item in found][:N_NAMED_INSTANCES]
            self.addresses[account] = named or nodes
        return self.addresses[account]

    def _build_headers(self, account: int) -> dict[str, str]:
        key = self.replay_fleet.fleet.keys[f"a{account}"]
        return {"authorization": f"Bearer {key}", "content-type": "application/json"}

    async def _send_attempt(self, turn_result: TurnResult, started: float) -> bool:
        body = {
            "model": "wax",
            "prompt": self.prompts[turn_result.turn.number],
            "max_tokens": N_OUTPUT_TOKENS,
            "stream": True,
        }
        timeouts = {"connect": 1.0, "read": _ATTEMPT_TIMEOUT_S, "write": 10.0}
        async with self.client.stream(
            "POST",
            f"http://{turn_result.node}/v1/completions",
            headers=self._build_headers(turn_result.turn.account),
            content=json.dumps(body).encode(),
            extensions={"timeout": timeouts},
        ) as response:
            headers = {key.decode().lower(): value for key, value in response.headers}
            if response.status != 200:
                error = json.loads(await response.aread()).get("error", {})
                turn_result.refusals.append(str(error.get("code", response.status)))
                return False
            attempt = headers["x-attempt-id"].decode().partition(".")[0]
            turn_result.attempt_ids.append(attempt)
            content = b""
            async for chunk in response.aiter_stream():
                if turn_result.ttft_s is None:
                    turn_result.ttft_s = time.monotonic() - started
                content += chunk
        turn_result.text, turn_result.is_whole = read_whole_text(content)
        if not turn_result.is_whole:
            turn_result.refusals.append("broken_stream")
        return turn_result.is_whole


def replay(deployment: Deployment, policy: str, options) -> dict:
    """Replay one trace with one policy and return the measured figures."""
    turns = make_trace(deployment, options.requests, options.seed)
    prompts = {
        turn.number: build_prompt(deployment, options.seed, turn) for turn in turns
    }
    rate = compute_request_rate(deployment, turns, options.load) / options.scale
    with Processes() as processes:
        replay_fleet = start_fleet(processes, deployment, policy, options.scale)
        trace_client = TraceClient(replay_fleet, prompts, options.seed)
        started = time.monotonic()
        warm_up_bytes = anyio.run(trace_client.run, turns, rate, options.fault)
        seconds = time.monotonic() - started
        replay_fleet.resume_processes(options.fault)
        link_bytes = replay_fleet.read_link_bytes() - warm_up_bytes
        attempts_by_engine = replay_fleet.read_attempts()
        counters = select_counters(replay_fleet.read_counters())
    counted = trace_client.turn_results[int(len(turns) * WARM_UP_SHARE) :]
    figures = summarise(
        counted, attempts_by_engine, link_bytes, BYTE_SCALE, options.scale
    )
    violations = check_answers(
        trace_client.turn_results, prompts, N_OUTPUT_TOKENS, attempts_by_engine
    )
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
    """Return lower bounds of recomputed share and TTFT after the warm-up."""
    turns = make_trace(deployment, options.requests, options.seed)
    counted = turns[int(len(turns) * WARM_UP_SHARE) :]
    ttfts = compute_ttft_bounds(deployment, counted)
    return {
        "deployment": deployment.name,
        "policy": "bounds",
        "seed": options.seed,
        "load": options.load,
        "recomputed_share": compute_recomputed_bound(counted),
        "recomputed_share_blocks": compute_recomputed_block_bound(counted),
        **{
            f"ttft_p{percent}_s": compute_quantile(ttfts, percent / 100)
            for percent in (50, 95, 99)
        },
    }


def print_bounds(bounds: dict, options) -> None:
    """Print the header and the bounds of a deployment's table."""
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
    """Return the options of the command line."""
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
    """Print a table for each deployment and write the rows as JSON if requested."""
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
