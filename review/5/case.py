"""Nodes that wait for the store as they start are ended by a change of settings."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

_N_NODES = 2
_N_CHANGES = 3
#: The rule counts processes that end by themselves so often on two machines.
_N_ENDS_MAX = 3
_INTERVAL_S = 2.4
#: The platform starts a process that has ended after a short delay.
_RESTART_DELAY_S = 0.2
#: Within this time a process that was signalled has ended, if it does.
_SETTLE_S = 0.5


async def play(record: harness.Record, temporary: Path, has_trouble: bool) -> bool:
    """Add machines, and change their settings three times.

    With trouble, the store is silent for 8 s from the moment at which they are added.

    :returns: whether processes ended by themselves three times on two machines.
    """
    store = harness.Store()
    store_address, _ = await harness.listen(store.handle)
    store.put("op", "config", harness.build_desk_configuration())
    if has_trouble:
        store.mode = "silent"
        record.note("the store is silent")
    nodes = [
        harness.Node(f"front-{number + 1}", store_address, temporary, record)
        for number in range(_N_NODES)
    ]
    n_ends = dict.fromkeys((node.name for node in nodes), 0)
    try:
        for node in nodes:
            await node.start()
        for _ in range(_N_CHANGES):
            await asyncio.sleep(_INTERVAL_S - _SETTLE_S - _RESTART_DELAY_S)
            for node in nodes:
                if not node.is_running:
                    raise RuntimeError(f"{node.name} ended before it was signalled")
                node.send_signal(signal.SIGHUP)
            await asyncio.sleep(_SETTLE_S)
            for node in nodes:
                if not node.is_running:
                    n_ends[node.name] += 1
                    record.note(f"{node.name} has ended with {node.process.returncode}")
            await asyncio.sleep(_RESTART_DELAY_S)
            for node in nodes:
                if not node.is_running:
                    await node.start()
        await asyncio.sleep(8.0 - _N_CHANGES * _INTERVAL_S)
        store.mode = "serving"
        record.note("the store answers")
        for node in nodes:
            await node.wait_until_ready()
        record.note("all nodes are ready")
    finally:
        for node in nodes:
            await node.kill()
    record.note(f"ends by themselves: {n_ends}")
    return sum(n >= _N_ENDS_MAX for n in n_ends.values()) >= _N_NODES


sys.exit(harness.run_case(FOLDER, play))
