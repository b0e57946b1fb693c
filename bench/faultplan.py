"""Fault injection of a randomised run.

Faults are drawn from the seed of the run and injected two at a time until it ends.
"""

import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from apricotlift.core import clocks

from bench.faultbook import Observations
from bench.faulttraffic import Traffic
from bench.faultworld import (
    CRASH_MARKER,
    ENGINES,
    SERVICES,
    STORES,
    TRANSPORT_ERRORS,
    NodeRun,
    Testbed,
)

N_CONCURRENT_FAULTS = 2
#: A graceful stop waits for running requests, so the time-out of their callers
#: limits how long it takes.
STOP_TIMEOUT_S = 60.0
#: Ranges for the length of a freeze: one is longer than the 5 s after which a claim
#: isn't dispatched any more, the other is also longer than a lease.
_FREEZE_RANGES_S = ((5.5, 6.5), (10.5, 11.5))
_N_CRASH_PROMPT_SENDS = 4
_N_CRASH_PROMPT_TOKENS = 20
_CRASH_PROMPT_TIMEOUT_S = 4.0


@dataclass
class FaultInjector:
    """Draws faults at random and injects them.

    :param remaining_kinds: kinds of fault still to be injected in the current round.
    """

    testbed: Testbed
    observations: Observations
    traffic: Traffic
    rng: random.Random
    remaining_kinds: list[str] = field(default_factory=list)
    n_crash_prompts: int = 0
    is_stopping: bool = False

    async def run(self) -> None:
        """Inject faults until ``is_stopping`` is set, then wait for the last to end."""
        async with anyio.create_task_group() as tasks:
            for _ in range(N_CONCURRENT_FAULTS):
                tasks.start_soon(self._inject_in_turn)

    async def _inject_in_turn(self) -> None:
        while not self.is_stopping:
            if not self.remaining_kinds:
                # Each kind is injected once per round.
                self.remaining_kinds = sorted(FAULTS)
                self.rng.shuffle(self.remaining_kinds)
            kind = self.remaining_kinds.pop()
            if await FAULTS[kind](self):
                self.observations.faults[kind] += 1
            else:
                # All its targets were reserved, so it is retried later in this round.
                self.remaining_kinds.insert(0, kind)
            await anyio.sleep(self.rng.uniform(0.05, 0.2))

    def reserve_target(self, *names: str) -> str | None:
        """Reserve and return a target without a fault, or ``None`` if there is none."""
        free = [name for name in names if name not in self.testbed.reserved]
        if not free:
            return None
        name = self.rng.choice(free)
        self.testbed.reserved.add(name)
        return name

    def reserve_node(self) -> NodeRun | None:
        """Reserve a node, unless half of the nodes are already reserved."""
        held = self.testbed.reserved.intersection(self.testbed.node_names)
        if len(held) >= self.testbed.n_nodes // 2:
            return None
        name = self.reserve_target(*self.testbed.node_names)
        return self.testbed.nodes[name] if name else None

    async def sleep_random(self, low_s: float, high_s: float) -> None:
        """Sleep for a random time, which sets the duration of a fault."""
        await anyio.sleep(self.rng.uniform(low_s, high_s))


async def _kill_node(injector: FaultInjector) -> bool:
    run = injector.reserve_node()
    if run is None:
        return False
    run.is_disturbed = True
    await injector.testbed.read_metrics(run)
    run.process.kill()
    run.is_ended = True
    await injector.sleep_random(0.5, 3.0)
    await injector.testbed.start_node(run.name)
    injector.testbed.reserved.discard(run.name)
    return True


async def _freeze_node(injector: FaultInjector) -> bool:
    run = injector.reserve_node()
    if run is None:
        return False
    low_s, high_s = injector.rng.choice(_FREEZE_RANGES_S)
    injector.testbed.signal(run, signal.SIGSTOP)
    await injector.sleep_random(low_s, high_s)
    injector.testbed.signal(run, signal.SIGCONT)
    injector.testbed.reserved.discard(run.name)
    return True


async def _stop_node(injector: FaultInjector) -> bool:
    run = injector.reserve_node()
    if run is None:
        return False
    await injector.testbed.read_metrics(run)
    injector.testbed.signal(run, signal.SIGTERM)
    process = run.process.popen
    deadline = clocks.monotonic() + STOP_TIMEOUT_S
    while process.poll() is None and clocks.monotonic() < deadline:
        await anyio.sleep(0.05)
    if process.poll() is None:
        injector.observations.add_violation(
            "graceful stops", f"{run.name} did not end within {STOP_TIMEOUT_S:g} s"
        )
        run.process.kill()
    elif process.returncode != 0:
        text = f"{run.name} ended with exit code {process.returncode}, expected 0"
        injector.observations.add_violation("graceful stops", text)
    run.is_ended = True
    await injector.testbed.start_node(run.name)
    injector.testbed.reserved.discard(run.name)
    return True


async def _kill_engine(injector: FaultInjector) -> bool:
    name = injector.reserve_target(*ENGINES)
    if name is None:
        return False
    # `Testbed.watch_engines` restarts it.
    injector.testbed.standin_processes[name].kill()
    await injector.sleep_random(1.0, 2.0)
    injector.testbed.reserved.discard(name)
    return True


async def _freeze_engine(injector: FaultInjector) -> bool:
    name = injector.reserve_target(*ENGINES)
    if name is None:
        return False
    process = injector.testbed.standin_processes[name]
    process.send_signal(signal.SIGSTOP)
    await injector.sleep_random(1.0, 4.0)
    if process.popen.poll() is None:
        process.send_signal(signal.SIGCONT)
    injector.testbed.reserved.discard(name)
    return True


def _build_standin_fault(
    names: tuple[str, ...], low_s: float, high_s: float, **faults: object
):
    """Return a function that sets faults on one of the stand-ins for a random time."""

    async def inject(injector: FaultInjector) -> bool:
        name = injector.reserve_target(*names)
        if name is None:
            return False
        try:
            await injector.testbed.set_faults(name, **faults)
            await injector.sleep_random(low_s, high_s)
            await injector.testbed.set_faults(name)
        except TRANSPORT_ERRORS:
            # A crashing prompt ended the process, which also ended the fault.
            return False
        finally:
            injector.testbed.reserved.discard(name)
        return True

    return inject


def _build_table_fault(low_s: float, high_s: float, **faults: object):
    """Return a function that sets faults on the platform's table for a random time."""

    async def inject(injector: FaultInjector) -> bool:
        if injector.reserve_target("platform") is None:
            return False
        await injector.testbed.set_faults("platform", table=faults)
        await injector.sleep_random(low_s, high_s)
        await injector.testbed.set_faults("platform", table={})
        injector.testbed.reserved.discard("platform")
        return True

    return inject


async def _take_platform_down(injector: FaultInjector) -> bool:
    if injector.reserve_target("platform") is None:
        return False
    down = {"down": True}
    await injector.testbed.set_faults("platform", table=down, objects=down)
    await injector.sleep_random(2.0, 5.0)
    await injector.testbed.set_faults("platform", table={}, objects={})
    injector.testbed.reserved.discard("platform")
    return True


async def _cut_connections(injector: FaultInjector) -> bool:
    name = injector.rng.choice((*ENGINES, *SERVICES, *STORES))
    await injector.testbed.set_proxy(name, cut=True)
    return True


async def _half_close(injector: FaultInjector) -> bool:
    name = injector.rng.choice((*ENGINES, *SERVICES))
    direction = injector.rng.choice(("up", "down"))
    await injector.testbed.set_proxy(name, half_close=direction)
    return True


async def _drop_answers(injector: FaultInjector) -> bool:
    name = injector.rng.choice(SERVICES)
    await injector.testbed.set_proxy(name, n_dropped_answers=injector.rng.randint(1, 3))
    await injector.sleep_random(1.0, 2.0)
    await injector.testbed.set_proxy(name)
    return True


async def _cut_node_from_platform(injector: FaultInjector) -> bool:
    run = injector.reserve_node()
    if run is None:
        return False
    name = f"platform-{run.name}"
    if injector.rng.random() < 0.5:
        await injector.testbed.set_proxy(name, refuse=True, cut=True)
    else:
        await injector.testbed.set_proxy(name, hold_up=True)
    await injector.sleep_random(3.0, 8.0)
    await injector.testbed.set_proxy(name)
    injector.testbed.reserved.discard(run.name)
    return True


async def _restart_store(injector: FaultInjector) -> bool:
    name = injector.reserve_target(*STORES)
    if name is None:
        return False
    injector.testbed.standin_processes[name].kill()
    await injector.sleep_random(0.5, 3.0)
    await injector.testbed.restart_standin(name)
    injector.testbed.reserved.discard(name)
    return True


async def _send_crashing_prompt(injector: FaultInjector) -> bool:
    injector.n_crash_prompts += 1
    number = injector.n_crash_prompts
    account = injector.rng.choice(("fes", "agadir"))
    prompt = f"{CRASH_MARKER} {number} of {account}"
    for turn in range(_N_CRASH_PROMPT_SENDS):
        # All sends use the same answer length: another one would make it another
        # request.
        await injector.traffic.send_until_answered(
            account,
            f"crash.{number}.{turn}",
            prompt,
            injector.rng,
            _N_CRASH_PROMPT_TOKENS,
            _CRASH_PROMPT_TIMEOUT_S,
        )
        await injector.sleep_random(0.1, 0.5)
    return True


FAULTS: dict[str, Callable[[FaultInjector], Awaitable[bool]]] = {
    "node_killed": _kill_node,
    "node_frozen": _freeze_node,
    "node_stopped": _stop_node,
    "node_cut_from_platform": _cut_node_from_platform,
    "engine_killed": _kill_engine,
    "engine_frozen": _freeze_engine,
    "engine_breaks_streams": _build_standin_fault(ENGINES, 0.5, 1.2, break_after=3),
    "engine_loses_headers": _build_standin_fault(
        ENGINES, 0.5, 1.5, break_before_headers=True
    ),
    "engine_skips_events": _build_standin_fault(ENGINES, 0.5, 1.2, skip_every=4),
    "engine_repeats_events": _build_standin_fault(ENGINES, 0.5, 1.2, duplicate_every=2),
    "engine_crosses_events": _build_standin_fault(
        ENGINES, 0.5, 1.2, foreign_events=True
    ),
    "engine_crosses_headers": _build_standin_fault(
        ENGINES, 0.5, 1.5, foreign_headers=True
    ),
    "engine_other_weights": _build_standin_fault(ENGINES, 0.5, 1.5, wrong_version=True),
    "engine_is_full": _build_standin_fault(ENGINES, 0.5, 2.0, state="full"),
    "engine_is_leaving": _build_standin_fault(ENGINES, 0.5, 1.2, state="draining"),
    "service_drops_answers": _build_standin_fault(
        SERVICES, 0.5, 1.2, n_dropped_answers=3
    ),
    "service_drops_calls": _build_standin_fault(SERVICES, 0.5, 1.2, n_dropped_calls=3),
    "service_is_slow": _build_standin_fault(
        SERVICES, 0.5, 1.2, delay_s=1.0, answer_delay_s=1.0
    ),
    "store_is_full": _build_standin_fault(STORES, 0.5, 1.2, full=True),
    "store_corrupts": _build_standin_fault(STORES, 0.5, 1.2, corrupt_every=2),
    "store_truncates": _build_standin_fault(STORES, 0.5, 1.2, truncate_every=2),
    "store_lost": _restart_store,
    "platform_down": _take_platform_down,
    "platform_slow": _build_table_fault(
        2.0, 4.0, delay_s=0.4, delay_kind="exponential"
    ),
    "platform_loses_answers": _build_table_fault(1.5, 3.0, drop_after=0.4),
    "platform_fails": _build_table_fault(1.5, 3.0, error_before=0.3, error_after=0.2),
    "connections_cut": _cut_connections,
    "connections_half_closed": _half_close,
    "proxy_drops_answers": _drop_answers,
    "crashing_prompt": _send_crashing_prompt,
}

#: Faults that the operators inject rather than the fault injector.
OPERATOR_FAULTS = ("key_removed_from_frozen_node", "weight_swap")
