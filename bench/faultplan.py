"""Faults of a randomised run, drawn from its seed, two at a time and repeated."""

import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from apricotlift.core import clocks

from bench.faultbook import Book
from bench.faulttraffic import Traffic
from bench.faultworld import (
    CRASH_MARKER,
    ENGINES,
    SERVICES,
    STORES,
    TRANSPORT_ERRORS,
    NodeRun,
    World,
)

N_AT_ONCE = 2
#: A graceful stop waits for requests, whose patience bounds it.
STOP_TIMEOUT_S = 60.0
#: Longer than the 5 s after which a claim isn't dispatched, and than a lease.
_FREEZES_S = ((5.5, 6.5), (10.5, 11.5))
_N_CRASH_SENDS = 4
_CRASH_TOKENS = 20
_CRASH_PATIENCE_S = 4.0


@dataclass
class Plan:
    """Draws faults and injects them."""

    world: World
    book: Book
    traffic: Traffic
    source: random.Random
    bag: list[str] = field(default_factory=list)
    n_crash_prompts: int = 0
    stopping: bool = False

    async def run(self) -> None:
        """Inject faults until told to stop; the last ones are healed."""
        async with anyio.create_task_group() as tasks:
            for _ in range(N_AT_ONCE):
                tasks.start_soon(self._inject_in_turn)

    async def _inject_in_turn(self) -> None:
        while not self.stopping:
            if not self.bag:
                # Each kind comes once before any comes again.
                self.bag = sorted(FAULTS)
                self.source.shuffle(self.bag)
            kind = self.bag.pop()
            if await FAULTS[kind](self):
                self.book.faults[kind] += 1
            else:
                # Its targets were held; it comes again in this round.
                self.bag.insert(0, kind)
            await anyio.sleep(self.source.uniform(0.05, 0.2))

    def take(self, *names: str) -> str | None:
        """Return a target that no fault holds, and hold it."""
        free = [name for name in names if name not in self.world.busy]
        if not free:
            return None
        name = self.source.choice(free)
        self.world.busy.add(name)
        return name

    def take_node(self) -> NodeRun | None:
        """Hold a node that runs, not more than half of them at once."""
        held = self.world.busy.intersection(self.world.node_names)
        if len(held) >= self.world.n_nodes // 2:
            return None
        name = self.take(*self.world.node_names)
        return self.world.nodes[name] if name else None

    async def wait(self, low_s: float, high_s: float) -> None:
        """Let a fault last for a drawn time."""
        await anyio.sleep(self.source.uniform(low_s, high_s))


async def _kill_node(plan: Plan) -> bool:
    run = plan.take_node()
    if run is None:
        return False
    run.disturbed = True
    await plan.world.read_metrics(run)
    run.process.kill()
    run.ended = True
    await plan.wait(0.5, 3.0)
    await plan.world.start_node(run.name)
    plan.world.busy.discard(run.name)
    return True


async def _freeze_node(plan: Plan) -> bool:
    run = plan.take_node()
    if run is None:
        return False
    low_s, high_s = plan.source.choice(_FREEZES_S)
    plan.world.signal(run, signal.SIGSTOP)
    await plan.wait(low_s, high_s)
    plan.world.signal(run, signal.SIGCONT)
    plan.world.busy.discard(run.name)
    return True


async def _stop_node(plan: Plan) -> bool:
    run = plan.take_node()
    if run is None:
        return False
    await plan.world.read_metrics(run)
    plan.world.signal(run, signal.SIGTERM)
    process = run.process.popen
    deadline = clocks.monotonic() + STOP_TIMEOUT_S
    while process.poll() is None and clocks.monotonic() < deadline:
        await anyio.sleep(0.05)
    if process.poll() is None:
        plan.book.violate("graceful stops", f"{run.name} did not end")
        run.process.kill()
    elif process.returncode != 0:
        text = f"{run.name} ended with {process.returncode}"
        plan.book.violate("graceful stops", text)
    run.ended = True
    await plan.world.start_node(run.name)
    plan.world.busy.discard(run.name)
    return True


async def _kill_engine(plan: Plan) -> bool:
    name = plan.take(*ENGINES)
    if name is None:
        return False
    # The watch over engines starts it again.
    plan.world.running[name].kill()
    await plan.wait(1.0, 2.0)
    plan.world.busy.discard(name)
    return True


async def _freeze_engine(plan: Plan) -> bool:
    name = plan.take(*ENGINES)
    if name is None:
        return False
    process = plan.world.running[name]
    process.send_signal(signal.SIGSTOP)
    await plan.wait(1.0, 4.0)
    if process.popen.poll() is None:
        process.send_signal(signal.SIGCONT)
    plan.world.busy.discard(name)
    return True


def _switch(names: tuple[str, ...], low_s: float, high_s: float, **faults: object):
    """Return a fault that a stand-in of some group has for a while."""

    async def inject(plan: Plan) -> bool:
        name = plan.take(*names)
        if name is None:
            return False
        try:
            await plan.world.set_faults(name, **faults)
            await plan.wait(low_s, high_s)
            await plan.world.set_faults(name)
        except TRANSPORT_ERRORS:
            # A crashing prompt ended the process, and with it the fault.
            return False
        finally:
            plan.world.busy.discard(name)
        return True

    return inject


def _switch_table(low_s: float, high_s: float, **faults: object):
    """Return a fault that the platform's table has for a while."""

    async def inject(plan: Plan) -> bool:
        if plan.take("platform") is None:
            return False
        await plan.world.set_faults("platform", table=faults)
        await plan.wait(low_s, high_s)
        await plan.world.set_faults("platform", table={})
        plan.world.busy.discard("platform")
        return True

    return inject


async def _take_platform_down(plan: Plan) -> bool:
    if plan.take("platform") is None:
        return False
    down = {"down": True}
    await plan.world.set_faults("platform", table=down, objects=down)
    await plan.wait(2.0, 5.0)
    await plan.world.set_faults("platform", table={}, objects={})
    plan.world.busy.discard("platform")
    return True


async def _cut_connections(plan: Plan) -> bool:
    name = plan.source.choice((*ENGINES, *SERVICES, *STORES))
    await plan.world.set_proxy(name, cut=True)
    return True


async def _half_close(plan: Plan) -> bool:
    name = plan.source.choice((*ENGINES, *SERVICES))
    direction = plan.source.choice(("up", "down"))
    await plan.world.set_proxy(name, half_close=direction)
    return True


async def _drop_answers(plan: Plan) -> bool:
    name = plan.source.choice(SERVICES)
    await plan.world.set_proxy(name, n_dropped_answers=plan.source.randint(1, 3))
    await plan.wait(1.0, 2.0)
    await plan.world.set_proxy(name)
    return True


async def _cut_node_from_platform(plan: Plan) -> bool:
    run = plan.take_node()
    if run is None:
        return False
    name = f"platform-{run.name}"
    if plan.source.random() < 0.5:
        await plan.world.set_proxy(name, refuse=True, cut=True)
    else:
        await plan.world.set_proxy(name, hold_up=True)
    await plan.wait(3.0, 8.0)
    await plan.world.set_proxy(name)
    plan.world.busy.discard(run.name)
    return True


async def _restart_store(plan: Plan) -> bool:
    name = plan.take(*STORES)
    if name is None:
        return False
    plan.world.running[name].kill()
    await plan.wait(0.5, 3.0)
    await plan.world.restart_standin(name)
    plan.world.busy.discard(name)
    return True


async def _send_crashing_prompt(plan: Plan) -> bool:
    plan.n_crash_prompts += 1
    number = plan.n_crash_prompts
    account = plan.source.choice(("fes", "agadir"))
    prompt = f"{CRASH_MARKER} {number} of {account}"
    for turn in range(_N_CRASH_SENDS):
        # Another length would make it another request.
        await plan.traffic.ask(
            account,
            f"crash.{number}.{turn}",
            prompt,
            plan.source,
            _CRASH_TOKENS,
            _CRASH_PATIENCE_S,
        )
        await plan.wait(0.1, 0.5)
    return True


FAULTS: dict[str, Callable[[Plan], Awaitable[bool]]] = {
    "node_killed": _kill_node,
    "node_frozen": _freeze_node,
    "node_stopped": _stop_node,
    "node_cut_from_platform": _cut_node_from_platform,
    "engine_killed": _kill_engine,
    "engine_frozen": _freeze_engine,
    "engine_breaks_streams": _switch(ENGINES, 0.5, 1.2, break_after=3),
    "engine_loses_headers": _switch(ENGINES, 0.5, 1.5, break_before_headers=True),
    "engine_skips_events": _switch(ENGINES, 0.5, 1.2, skip_every=4),
    "engine_repeats_events": _switch(ENGINES, 0.5, 1.2, duplicate_every=2),
    "engine_crosses_events": _switch(ENGINES, 0.5, 1.2, foreign_events=True),
    "engine_crosses_headers": _switch(ENGINES, 0.5, 1.5, foreign_headers=True),
    "engine_other_weights": _switch(ENGINES, 0.5, 1.5, wrong_version=True),
    "engine_is_full": _switch(ENGINES, 0.5, 2.0, state="full"),
    "engine_is_leaving": _switch(ENGINES, 0.5, 1.2, state="draining"),
    "service_drops_answers": _switch(SERVICES, 0.5, 1.2, n_dropped_answers=3),
    "service_drops_calls": _switch(SERVICES, 0.5, 1.2, n_dropped_calls=3),
    "service_is_slow": _switch(SERVICES, 0.5, 1.2, delay_s=1.0, answer_delay_s=1.0),
    "store_is_full": _switch(STORES, 0.5, 1.2, full=True),
    "store_corrupts": _switch(STORES, 0.5, 1.2, corrupt_every=2),
    "store_truncates": _switch(STORES, 0.5, 1.2, truncate_every=2),
    "store_lost": _restart_store,
    "platform_down": _take_platform_down,
    "platform_slow": _switch_table(2.0, 4.0, delay_s=0.4, delay_kind="exponential"),
    "platform_loses_answers": _switch_table(1.5, 3.0, drop_after=0.4),
    "platform_fails": _switch_table(1.5, 3.0, error_before=0.3, error_after=0.2),
    "connections_cut": _cut_connections,
    "connections_half_closed": _half_close,
    "proxy_drops_answers": _drop_answers,
    "crashing_prompt": _send_crashing_prompt,
}

#: Faults that the operators inject rather than the plan.
OPERATOR_FAULTS = ("key_removed_from_frozen_node", "weight_swap")
