"""Servers that take 90 ms for an order. Run as :mod:`standins2`."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "fleet2"))

import standins2

#: SYSTEM.md, kvmfs-fold: the work of a `fold-order`.
WORK_S = 0.09


async def run_order(servers, name, writer, headers, own):
    """Work on an order, then answer it."""
    servers.note(server=name, runs=headers.get("x-request-id", ""))
    await asyncio.sleep(WORK_S)
    return await standins2.answer_plainly(servers, name, writer, headers, own)


standins2.BEHAVIOURS["order"] = run_order

if __name__ == "__main__":
    standins2.main()
