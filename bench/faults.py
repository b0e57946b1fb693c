"""Randomised run of a fleet under faults, with a checker over the ground truth.

Nodes, stand-ins, a proxy, rival callers and operators run as real processes or
tasks; faults are drawn from the seed. The last line is ``violations: N``. Run as
``tools/bench faults --seed 1 --seconds 60``; ``--without NAME`` switches one
mechanism of the nodes off, to show that the checker finds it missing.
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

from bench.faultbook import Book
from bench.faultchecks import Truth, check_all
from bench.faultnode import REMOVALS
from bench.faultoperators import Operators, run_operators
from bench.faultplan import FAULTS, OPERATOR_FAULTS, Plan
from bench.faulttraffic import Traffic
from bench.faultworld import SERVICES, World
from standins.processes import Processes

#: Below this, not every kind of fault comes in time.
FULL_RUN_S = 60.0
_SETTLE_S = 90.0
_REPORTED = ("retries", "refus", "dropped", "crash", "claim", "import", "regress")


@dataclass
class Run:
    """The parts of one run."""

    world: World
    book: Book
    traffic: Traffic
    operators: Operators
    plan: Plan

    @classmethod
    def build(cls, processes: Processes, seed: int, n_nodes: int, without: str):
        """Return the parts, each with its own random source of the seed."""
        source = random.Random(seed)
        sources = [random.Random(source.random()) for _ in range(3)]
        book = Book()
        world = World(processes, n_nodes, without)
        traffic = Traffic(world, book, sources[0])
        operators = Operators(world, book, traffic, sources[1])
        return cls(
            world, book, traffic, operators, Plan(world, book, traffic, sources[2])
        )

    async def start(self) -> None:
        """Start the fleet with a first version of the declarations."""
        first = self.world.configuration
        async with anyio.create_task_group() as tasks:
            # The command line waits for acceptance, so the nodes start meanwhile.
            tasks.start_soon(self.operators.apply, first, "ana", 0)
            for name in self.world.node_names:
                tasks.start_soon(self.world.start_node, name)

    async def drive(self, seconds: float) -> None:
        """Run callers, operators and faults, then let the callers finish."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.world.watch_engines)
            tasks.start_soon(self.operators.probe_removed_keys)
            async with anyio.create_task_group() as work:
                work.start_soon(self.traffic.run)
                async with anyio.create_task_group() as faults:
                    faults.start_soon(self.plan.run)
                    faults.start_soon(self._operate, seconds)
                    await anyio.sleep(seconds)
                    self.plan.stopping = True
                self.traffic.stopping = True
            tasks.cancel_scope.cancel()

    async def _operate(self, seconds: float) -> None:
        with anyio.move_on_after(seconds):
            await run_operators(self.operators)

    async def finish(self) -> None:
        """Read the ground truth and check it."""
        for run in self.world.nodes.values():
            await self.world.read_metrics(run)
        runs = Counter()
        for name in SERVICES:
            runs.update((await self.world.read_truth(name))["runs"])
        history = await self.operators.read_history()
        truth = Truth(self.world.read_journals(), runs, history)
        check_all(self.book, truth, self.world.all_nodes)


def report(run: Run, seconds: float) -> dict:
    """Return what a run counted."""
    totals: Counter = Counter()
    for values in run.world.metrics.values():
        for name, value in values.items():
            if any(part in name for part in _REPORTED) and not name.endswith("_bucket"):
                totals[name.removeprefix("apricotlift_")] += value
    book = run.book
    return {
        "seconds": seconds,
        "without": run.world.without,
        "requests": run.traffic.n_requests,
        "prompts": len(book.prompts),
        "whole_answers": sum(record.text is not None for record in book.prompts),
        "calls": len(book.calls),
        "changes": len(book.changes),
        "removed_key_probes": run.operators.n_probes,
        "faults": dict(sorted(book.faults.items())),
        "outcomes": dict(sorted(book.outcomes.items())),
        "metrics": {name: value for name, value in sorted(totals.items()) if value},
        "violations": book.violations,
    }


def find_missing_faults(data: dict) -> list[str]:
    """Return the kinds of fault that a run did not inject."""
    return sorted({*FAULTS, *OPERATOR_FAULTS} - set(data["faults"]))


def print_report(data: dict) -> None:
    """Print counts, then each violation."""
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
    """Run a fleet under faults and check it.

    :param seed: of faults, traffic and changes
    :param seconds: how long faults are injected
    :param without: mechanism that the nodes go without
    :param nodes: number of nodes, over two failure domains
    :param json: file for the counts and violations
    :param keep: print the folder of the logs
    :returns: 1 with a violation, 2 where a full run left out a kind of fault
    """
    if without and without not in REMOVALS:
        raise SystemExit(f"without: expected one of {', '.join(REMOVALS)}")
    logs.configure("faults", "error")

    async def drive() -> dict:
        run = Run.build(processes, seed, nodes, without)
        await anyio.to_thread.run_sync(run.world.start)
        started = clocks.monotonic()
        with anyio.move_on_after(seconds + _SETTLE_S) as scope:
            await run.start()
            await run.drive(seconds)
        if scope.cancelled_caught:
            run.book.violate("bench", "the run did not settle in time")
        await run.finish()
        return report(run, round(clocks.monotonic() - started, 1))

    with Processes() as processes:
        if keep:
            print(f"logs: {processes.directory}")
        data = anyio.run(drive)
    print(f"seed: {seed}")
    print_report(data)
    if json:
        Path(json).write_text(json_module.dumps({"seed": seed, **data}, indent=1))
    missing = find_missing_faults(data) if seconds >= FULL_RUN_S else []
    if missing:
        print(f"not injected: {', '.join(missing)}")
    print(f"violations: {len(data['violations'])}")
    if data["violations"]:
        return 1
    return 2 if missing else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
