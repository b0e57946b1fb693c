"""Operators of a randomised run: concurrent changes through the command line."""

import random
import signal
from dataclasses import dataclass, replace

import anyio
from apricotlift.control.exits import Exit
from apricotlift.core import clocks

from bench.faultbook import ChangeRecord, Observations
from bench.faulttraffic import Traffic
from bench.faultworld import Configuration, NodeRun, Testbed

ACCEPTANCE_TIMEOUT_S = 35
#: Documented limit: an accepted change is in force at all nodes after this time.
MAX_IN_FORCE_DELAY_S = 4.0
_CLI_TIMEOUT_S = 60.0
_PROBE_READ_TIMEOUT_S = 30.0
_COMMITTED = (Exit.DONE, Exit.NOT_ACCEPTED)


@dataclass
class Operators:
    """Two operators, and probes that send prompts with keys that they removed."""

    testbed: Testbed
    observations: Observations
    traffic: Traffic
    rng: random.Random
    n_changes: int = 0
    n_races: int = 0
    n_probes: int = 0
    n_keys: int = 0

    async def apply(
        self, configuration: Configuration, author: str, base: int
    ) -> ChangeRecord:
        """Run ``apricotlift apply`` and record its exit code."""
        self.n_changes += 1
        name = f"{author}-{self.n_changes}"
        text = self.testbed.build_declarations(configuration)
        processes = self.testbed.processes
        path = processes.write_file(f"{name}.declarations.ini", text)
        settings = str(processes.directory / "control.ini")
        arguments = ["apply", str(path), "--settings", settings, "--base", str(base)]
        arguments += [
            "--author",
            author,
            "--message",
            name,
            "--wait-s",
            str(ACCEPTANCE_TIMEOUT_S),
        ]
        process = processes.start_module(name, "apricotlift.control.main", *arguments)
        code = await anyio.to_thread.run_sync(process.wait, _CLI_TIMEOUT_S)
        if code in (Exit.OTHER, Exit.USAGE, Exit.FINDINGS):
            text = process.log_file.read_text()[-500:]
            self.observations.add_violation(
                "operators", f"{name} ended with exit code {code}: {text}"
            )
        record = ChangeRecord(author, name, base, code)
        self.observations.changes.append(record)
        self.observations.outcome_counts[f"apply ended with {Exit(code).name}"] += 1
        return record

    async def change(self, configuration: Configuration, author: str) -> bool:
        """Apply a change to the newest version and return whether it was accepted."""
        base = await self.read_version()
        record = await self.apply(configuration, author, base)
        await self._update_configuration(base, {record.message: configuration})
        return record.exit_code == Exit.DONE

    async def race(self) -> None:
        """Let two operators change the same version concurrently."""
        self.n_races += 1
        base = await self.read_version()
        current = self.testbed.configuration
        limit = self.rng.randint(40, 80)
        keys = (*current.extra_keys, self._build_key_name())
        proposals = {
            "ana": replace(current, max_in_flight=limit),
            "tom": replace(current, extra_keys=keys),
        }
        found: list[ChangeRecord] = []

        async def apply(author: str) -> None:
            found.append(await self.apply(proposals[author], author, base))

        async with anyio.create_task_group() as tasks:
            for author in proposals:
                tasks.start_soon(apply, author)
        by_message = {record.message: proposals[record.author] for record in found}
        await self._update_configuration(base, by_message)

    async def remove_key_from_frozen_node(self) -> None:
        """Add a key, freeze a node, remove the key, and resume the node.

        The resumed node handles requests that arrived during the freeze before it
        learns of the removal, and must not serve them.
        """
        key = self._build_key_name()
        current = self.testbed.configuration
        added = replace(current, extra_keys=(*current.extra_keys, key))
        if not await self.change(added, "ana"):
            return
        free = sorted(set(self.testbed.nodes) - self.testbed.reserved)
        if not free:
            return
        # Another fault on this node could resume or end it too early.
        run = self.testbed.nodes[self.rng.choice(free)]
        self.testbed.reserved.add(run.name)
        try:
            await self._remove_key(run, key, added)
        finally:
            self.testbed.reserved.discard(run.name)

    async def _remove_key(self, run: NodeRun, key: str, added: Configuration) -> None:
        code = await self._send_probe(run, key)
        self.observations.outcome_counts[f"added key was told {code}"] += 1
        self.testbed.signal(run, signal.SIGSTOP)
        try:
            rest = tuple(item for item in added.extra_keys if item != key)
            if await self.change(replace(added, extra_keys=rest), "tom"):
                self.observations.removed_keys[key] = clocks.monotonic()
                # A probe with the removed key has to reach the node while it is frozen.
                await anyio.sleep(MAX_IN_FORCE_DELAY_S + 2.0)
                self.observations.faults["key_removed_from_frozen_node"] += 1
        finally:
            if run.process.popen.poll() is None:
                run.process.send_signal(signal.SIGCONT)

    async def swap_weights(self) -> None:
        """Declare the next weight version.

        The previous version remains declared for requests that run on it.
        """
        swapped = replace(self.testbed.configuration, weight_version="v2")
        await self.change(swapped, "ana")
        # A swap that is committed but not yet accepted counts as well.
        if self.testbed.configuration.weight_version == "v2":
            self.observations.faults["weight_swap"] += 1

    async def probe_removed_keys(self) -> None:
        """Send prompts with removed keys to every node until cancelled."""
        waiting: set[int] = set()

        async def probe(run: NodeRun, key: str) -> None:
            waiting.add(run.number)
            try:
                code = await self._send_probe(run, key)
            finally:
                waiting.discard(run.number)
            self.n_probes += 1
            self.observations.outcome_counts[f"removed key was told {code}"] += 1
            if code == "ok":
                text = f"{run.name}.{run.number} served the removed key {key}"
                self.observations.add_violation("removed keys", text)

        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(0.3)
                now = clocks.monotonic()
                removed = [
                    key
                    for key, accepted_at in self.observations.removed_keys.items()
                    if now > accepted_at + MAX_IN_FORCE_DELAY_S
                ]
                if not removed:
                    continue
                # The newest removal is the one that a node may not know of yet.
                for run in list(self.testbed.nodes.values()):
                    if run.number not in waiting:
                        tasks.start_soon(probe, run, removed[-1])

    async def read_version(self) -> int:
        """Return the newest committed version, or 0, from the ground truth."""
        return max((row["version"] for row in await self.read_history()), default=0)

    async def read_history(self) -> list[dict]:
        """Return the rows of the configuration history from the ground truth."""
        truth = await self.testbed.read_truth("platform")
        rows = [row["values"] for row in truth["rows"]]
        return [
            {**row, "version": int(row["sk"])}
            for row in rows
            if row["pk"] == "config-history"
        ]

    async def _update_configuration(
        self, base: int, by_message: dict[str, Configuration]
    ) -> None:
        for row in await self.read_history():
            if row["version"] == base + 1 and row["message"] in by_message:
                self.testbed.configuration = by_message[row["message"]]

    async def _send_probe(self, run: NodeRun, key: str) -> str:
        body = {"model": "wax", "prompt": f"probe with {key}", "max_tokens": 1}
        outcome = await self.traffic.send_request(
            run, "fes", "POST", "/v1/completions", body, {}, _PROBE_READ_TIMEOUT_S, key
        )
        return outcome.code

    def _build_key_name(self) -> str:
        self.n_keys += 1
        return f"extra-{self.n_keys}"


async def run_operators(operators: Operators) -> None:
    """Run changes of all kinds in turn until cancelled."""
    await anyio.sleep(operators.rng.uniform(0.5, 2.0))
    await operators.race()
    while True:
        if operators.testbed.configuration.weight_version == "v1":
            await operators.swap_weights()
        await operators.remove_key_from_frozen_node()
        await operators.race()
        await anyio.sleep(operators.rng.uniform(0.5, 3.0))
