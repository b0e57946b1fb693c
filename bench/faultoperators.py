"""Operators of a randomised run: racing changes through the real command line."""

import random
import signal
from dataclasses import dataclass, replace

import anyio
from apricotlift.control.exits import Exit
from apricotlift.core import clocks

from bench.faultbook import Book, ChangeRecord
from bench.faulttraffic import Traffic
from bench.faultworld import Configuration, NodeRun, World

WAIT_S = 35
#: Stated target: in force everywhere so long after acceptance.
IN_FORCE_S = 4.0
_CLI_TIMEOUT_S = 60.0
_PROBE_READ_S = 30.0
_COMMITTED = (Exit.DONE, Exit.NOT_ACCEPTED)


@dataclass
class Operators:
    """Two operators, and the probes that use keys which they have removed."""

    world: World
    book: Book
    traffic: Traffic
    source: random.Random
    n_changes: int = 0
    n_races: int = 0
    n_probes: int = 0
    n_keys: int = 0

    async def apply(
        self, configuration: Configuration, author: str, base: int
    ) -> ChangeRecord:
        """Run ``apricotlift apply`` and note what it told."""
        self.n_changes += 1
        name = f"{author}-{self.n_changes}"
        text = self.world.build_declarations(configuration)
        processes = self.world.processes
        path = processes.write_file(f"{name}.declarations.ini", text)
        settings = str(processes.directory / "control.ini")
        arguments = ["apply", str(path), "--settings", settings, "--base", str(base)]
        arguments += ["--author", author, "--message", name, "--wait-s", str(WAIT_S)]
        process = processes.start_module(name, "apricotlift.control.main", *arguments)
        code = await anyio.to_thread.run_sync(process.wait, _CLI_TIMEOUT_S)
        if code in (Exit.OTHER, Exit.USAGE, Exit.FINDINGS):
            text = process.log_file.read_text()[-500:]
            self.book.violate("operators", f"{name} ended with {code}: {text}")
        record = ChangeRecord(author, name, base, code)
        self.book.changes.append(record)
        self.book.outcomes[f"apply ended with {Exit(code).name}"] += 1
        return record

    async def change(self, configuration: Configuration, author: str) -> bool:
        """Apply a change on the newest version; return whether it was accepted."""
        base = await self.read_version()
        record = await self.apply(configuration, author, base)
        await self._adopt(base, {record.message: configuration})
        return record.exit_code == Exit.DONE

    async def race(self) -> None:
        """Let two operators change the same version at once."""
        self.n_races += 1
        base = await self.read_version()
        known = self.world.configuration
        limit = self.source.randint(40, 80)
        keys = (*known.extra_keys, self._name_key())
        proposals = {
            "ana": replace(known, max_in_flight=limit),
            "tom": replace(known, extra_keys=keys),
        }
        found: list[ChangeRecord] = []

        async def apply(author: str) -> None:
            found.append(await self.apply(proposals[author], author, base))

        async with anyio.create_task_group() as tasks:
            for author in proposals:
                tasks.start_soon(apply, author)
        by_message = {record.message: proposals[record.author] for record in found}
        await self._adopt(base, by_message)

    async def remove_key_from_frozen_node(self) -> None:
        """Add a key, freeze a node, remove the key, and let the node go on.

        The node answers what has arrived meanwhile before it hears of the change.
        """
        key = self._name_key()
        known = self.world.configuration
        added = replace(known, extra_keys=(*known.extra_keys, key))
        if not await self.change(added, "ana"):
            return
        free = sorted(set(self.world.nodes) - self.world.busy)
        if not free:
            return
        # Another fault there would let the node go on, or end it, too early.
        run = self.world.nodes[self.source.choice(free)]
        self.world.busy.add(run.name)
        try:
            await self._remove_key(run, key, added)
        finally:
            self.world.busy.discard(run.name)

    async def _remove_key(self, run: NodeRun, key: str, added: Configuration) -> None:
        told = await self._probe(run, key)
        self.book.outcomes[f"added key was told {told}"] += 1
        self.world.signal(run, signal.SIGSTOP)
        try:
            rest = tuple(item for item in added.extra_keys if item != key)
            if await self.change(replace(added, extra_keys=rest), "tom"):
                self.book.removed_keys[key] = clocks.monotonic()
                # A probe must reach the frozen node before it goes on.
                await anyio.sleep(IN_FORCE_S + 2.0)
                self.book.faults["key_removed_from_frozen_node"] += 1
        finally:
            if run.process.popen.poll() is None:
                run.process.send_signal(signal.SIGCONT)

    async def swap_weights(self) -> None:
        """Declare the next weight version; the one before stays for runs on it."""
        swapped = replace(self.world.configuration, weight_version="v2")
        await self.change(swapped, "ana")
        # A swap that is committed and not yet accepted is a swap, too.
        if self.world.configuration.weight_version == "v2":
            self.book.faults["weight_swap"] += 1

    async def probe_removed_keys(self) -> None:
        """Send prompts with removed keys to every node, for ever."""
        waiting: set[int] = set()

        async def probe(run: NodeRun, key: str) -> None:
            waiting.add(run.number)
            try:
                told = await self._probe(run, key)
            finally:
                waiting.discard(run.number)
            self.n_probes += 1
            self.book.outcomes[f"removed key was told {told}"] += 1
            if told == "ok":
                text = f"{run.name}.{run.number} served the removed key {key}"
                self.book.violate("removed keys", text)

        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(0.3)
                now = clocks.monotonic()
                removed = [
                    key
                    for key, accepted_at in self.book.removed_keys.items()
                    if now > accepted_at + IN_FORCE_S
                ]
                if not removed:
                    continue
                # The newest removal is the one that a node may not know yet.
                for run in list(self.world.nodes.values()):
                    if run.number not in waiting:
                        tasks.start_soon(probe, run, removed[-1])

    async def read_version(self) -> int:
        """Return the newest version from the ground truth."""
        return max((row["version"] for row in await self.read_history()), default=0)

    async def read_history(self) -> list[dict]:
        """Return the history rows from the ground truth."""
        truth = await self.world.read_truth("platform")
        rows = [row["values"] for row in truth["rows"]]
        return [
            {**row, "version": int(row["sk"])}
            for row in rows
            if row["pk"] == "config-history"
        ]

    async def _adopt(self, base: int, by_message: dict[str, Configuration]) -> None:
        for row in await self.read_history():
            if row["version"] == base + 1 and row["message"] in by_message:
                self.world.configuration = by_message[row["message"]]

    async def _probe(self, run: NodeRun, key: str) -> str:
        body = {"model": "wax", "prompt": f"probe with {key}", "max_tokens": 1}
        told = await self.traffic.exchange(
            run, "fes", "POST", "/v1/completions", body, {}, _PROBE_READ_S, key
        )
        return told.code

    def _name_key(self) -> str:
        self.n_keys += 1
        return f"extra-{self.n_keys}"


async def run_operators(operators: Operators) -> None:
    """Run changes of all kinds in turn, for ever."""
    await anyio.sleep(operators.source.uniform(0.5, 2.0))
    await operators.race()
    while True:
        if operators.world.configuration.weight_version == "v1":
            await operators.swap_weights()
        await operators.remove_key_from_frozen_node()
        await operators.race()
        await anyio.sleep(operators.source.uniform(0.5, 3.0))
