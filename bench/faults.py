"""Randomised run of a fleet under faults, checked against the ground truth.

Nodes, stand-ins and a proxy run as real processes, concurrent callers and operators
as tasks; faults are drawn from the seed. The last line is ``violations: N``. Run as
``tools/bench faults --seed 1 --seconds 60``; ``--without NAME`` disables one
mechanism of the nodes, to show that the checker detects its absence.
"""

import json as json_module
import random
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import anyio
import defopt
from apricotlift.core import clocks, logs

from bench.faultbook import Observations
from bench.faultchecks import GroundTruth, check_all
from bench.faultnode import MECHANISM_REMOVERS
from bench.faultoperators import Operators, run_operators
from bench.faultplan import FAULTS, OPERATOR_FAULTS, FaultInjector
from bench.faulttraffic import Traffic
from bench.faultworld import SERVICES, Testbed
from standins.processes import Processes

#: A shorter run has no time to inject every kind of fault.
MIN_FULL_RUN_S = 60.0
_SETTLE_TIMEOUT_S = 90.0
_REPORTED_METRIC_PARTS = (
    "retries",
    "refus",
    "dropped",
    "crash",
    "claim",
    "import",
    "regress",
)


@dataclass
class FaultRun:
    """The components of one run."""

    testbed: Testbed
    observations: Observations
    traffic: Traffic
    operators: Operators
    injector: FaultInjector

    @classmethod
    def build(cls, processes: Processes, seed: int, n_nodes: int, without: str):
        """Return a run whose components have their own random generators.

        All generators are derived from the seed.
        """
        rng = random.Random(seed)
        rngs = [random.Random(rng.random()) for _ in range(3)]
        observations = Observations()
        testbed = Testbed(processes, n_nodes, without)
        traffic = Traffic(testbed, observations, rngs[0])
        operators = Operators(testbed, observations, traffic, rngs[1])
        return cls(
            testbed,
            observations,
            traffic,
            operators,
            FaultInjector(testbed, observations, traffic, rngs[2]),
        )

    async def start(self) -> None:
        """Start the nodes and apply the first version of the declarations."""
        first = self.testbed.configuration
        async with anyio.create_task_group() as tasks:
            # The command line waits until nodes have accepted the declarations, so the
            # nodes have to start at the same time.
            tasks.start_soon(self.operators.apply, first, "ana", 0)
            for name in self.testbed.node_names:
                tasks.start_soon(self.testbed.start_node, name)

    async def run_workload(self, seconds: float) -> None:
        """Run callers, operators and faults, then let the callers finish."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.testbed.watch_engines)
            tasks.start_soon(self.operators.probe_removed_keys)
            async with anyio.create_task_group() as work:
                work.start_soon(self.traffic.run)
                async with anyio.create_task_group() as faults:
                    faults.start_soon(self.injector.run)
                    faults.start_soon(self._run_operators, seconds)
                    await anyio.sleep(seconds)
                    self.injector.is_stopping = True
                self.traffic.is_stopping = True
            tasks.cancel_scope.cancel()

    async def _run_operators(self, seconds: float) -> None:
        with anyio.move_on_after(seconds):
            await run_operators(self.operators)

    async def finish(self) -> None:
        """Read the ground truth and check it."""
        for run in self.testbed.nodes.values():
            await self.testbed.read_metrics(run)
        runs = Counter()
        for name in SERVICES:
            runs.update((await self.testbed.read_truth(name))["runs"])
        history = await self.operators.read_history()
        truth = GroundTruth(self.testbed.read_journals(), runs, history)
        check_all(self.observations, truth, self.testbed.all_nodes)


def report(run: FaultRun, seconds: float) -> dict:
    """Return the counts and the violations of a run."""
    totals: Counter = Counter()
    for values in run.testbed.metrics.values():
        for name, value in values.items():
            if any(
                part in name for part in _REPORTED_METRIC_PARTS
            ) and not name.endswith("_bucket"):
                totals[name.removeprefix("apricotlift_")] += value
    observations = run.observations
    return {
        "seconds": seconds,
        "without": run.testbed.without,
        "requests": run.traffic.n_requests,
        "prompts": len(observations.prompts),
        "whole_answers": sum(
            record.text is not None for record in observations.prompts
        ),
        "calls": len(observations.calls),
        "changes": len(observations.changes),
        "removed_key_probes": run.operators.n_probes,
        "faults": dict(sorted(observations.faults.items())),
        "outcomes": dict(sorted(observations.outcome_counts.items())),
        "metrics": {name: value for name, value in sorted(totals.items()) if value},
        "violations": observations.violations,
    }


def find_missing_faults(data: dict) -> list[str]:
    """Return the kinds of fault that a run did not inject."""
    return sorted({*FAULTS, *OPERATOR_FAULTS} - set(data["faults"]))


def print_report(data: dict) -> None:
    """Print the counts, then one line for each violation."""
    for name, value in data.items():
        if isinstance(value, dict):
            print(f"{name}:")
            for key, count in value.items():
                print(f"  {key}: {count:g}")
        elif name != "violations":
            print(f"{name}: {value}")
    for text in data["violations"]:
        print(f"VIOLATION {text}")


def main(
    *,
    seed: int = 1,
    seconds: float = 60.0,
    without: str = "",
    nodes: int = 4,
    json: str = "",
    keep: bool = False,
) -> int:
    """Run a fleet under faults and check its guarantees.

    :param seed: seed of faults, traffic and changes
    :param seconds: how long faults are injected, in seconds
    :param without: mechanism to disable in the nodes; empty for none
    :param nodes: number of nodes, spread over two failure domains
    :param json: file to write the counts and violations to; empty for none
    :param keep: print the directory of the logs
    :returns: exit code: 1 for a violation, 2 if a full run didn't inject some kind of
        fault, otherwise 0
    """
    if without and without not in MECHANISM_REMOVERS:
        raise SystemExit(
            f"without is {without!r}, expected one of {', '.join(MECHANISM_REMOVERS)}"
        )
    logs.configure("faults", "error")

    async def run_and_check() -> dict:
        run = FaultRun.build(processes, seed, nodes, without)
        await anyio.to_thread.run_sync(run.testbed.start)
        started = clocks.monotonic()
        with anyio.move_on_after(seconds + _SETTLE_TIMEOUT_S) as scope:
            await run.start()
            await run.run_workload(seconds)
        if scope.cancelled_caught:
            run.observations.add_violation(
                "bench", f"the run did not end within {seconds + _SETTLE_TIMEOUT_S:g} s"
            )
        await run.finish()
        return report(run, round(clocks.monotonic() - started, 1))

    with Processes() as processes:
        if keep:
            print(f"logs: {processes.directory}")
        data = anyio.run(run_and_check)
    print(f"seed: {seed}")
    print_report(data)
    if json:
        Path(json).write_text(json_module.dumps({"seed": seed, **data}, indent=1))
    missing = find_missing_faults(data) if seconds >= MIN_FULL_RUN_S else []
    if missing:
        print(f"not injected: {', '.join(missing)}")
    print(f"violations: {len(data['violations'])}")
    if data["violations"]:
        return 1
    return 2 if missing else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
