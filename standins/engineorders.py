"""Orders to the stand-in engine: weight loads, unloads and role changes.

A load takes a nominal time while at most two loads run on the weight store, and
longer while more do. Engines that name the same folder with ``--weight-store`` share
this limit: each load in progress is one file in it.
"""

import os
from dataclasses import dataclass, field
from pathlib import Path

import anyio
from apricotlift.core import clocks

#: Number of concurrent loads that the weight store serves at full speed.
MAX_FULL_SPEED_LOADS = 2
_LOAD_STEP_S = 0.02
ROLES = ("mixed", "prefill", "decode")


class WeightStore:
    """Counts the loads in progress of this engine, or of all that share a folder."""

    def __init__(self, folder: str):
        self._folder = Path(folder) if folder else None
        self._n_local = 0
        self._n_started = 0

    def start(self) -> Path | None:
        """Register a load and return its marker file, if a folder is shared."""
        self._n_local += 1
        if self._folder is None:
            return None
        self._folder.mkdir(parents=True, exist_ok=True)
        self._n_started += 1
        marker = self._folder / f"{os.getpid()}.{self._n_started}"
        marker.touch()
        return marker

    def end(self, marker: Path | None) -> None:
        """Deregister a load."""
        self._n_local -= 1
        if marker is not None:
            marker.unlink(missing_ok=True)

    def count(self) -> int:
        """Return the number of loads in progress."""
        if self._folder is None:
            return self._n_local
        return sum(_is_running(marker) for marker in self._folder.iterdir())


def _is_running(marker: Path) -> bool:
    # A killed engine leaves its marker files behind, so a marker counts only while
    # its process exists.
    try:
        os.kill(int(marker.name.partition(".")[0]), 0)
    except ProcessLookupError:
        return False
    return True


@dataclass
class Weights:
    """Loaded slots, loads in progress and the received orders.

    :param slots: weight version by slot.
    :param loading: weight version by slot that is being loaded.
    :param loads: each load with its begin, its end and the maximum number of
        concurrent loads during it, itself included.
    """

    slots: dict[str, str]
    role: str
    fencing_checked: bool
    load_s: float
    store: WeightStore
    loading: dict[str, str] = field(default_factory=dict)
    highest_fence: int = 0
    orders: list[dict] = field(default_factory=list)
    loads: list[dict] = field(default_factory=list)

    def receive(self, data: dict, tasks) -> tuple[int, dict]:
        """Execute an order and return the HTTP status and body of the answer."""
        status, body = self._execute(data, tasks)
        names = ("order_id", "fence", "action", "slot", "role")
        record = {name: data.get(name) for name in names}
        self.orders.append({**record, "status": status, "at_s": clocks.monotonic()})
        return status, {"order_id": data.get("order_id"), **body}

    def _execute(self, data: dict, tasks) -> tuple[int, dict]:
        fence = int(data["fence"])
        if self.fencing_checked and fence < self.highest_fence:
            error = {"code": "stale_fence", "highest": self.highest_fence}
            return 409, {"error": error}
        self.highest_fence = max(self.highest_fence, fence)
        action = data["action"]
        if action == "load":
            return self._start_load(data["slot"], data["weight_version"], tasks)
        if action == "unload":
            self.slots.pop(data["slot"], None)
            self.loading.pop(data["slot"], None)
            return 200, {"state": "unloaded"}
        if action == "role" and data["role"] in ROLES:
            self.role = data["role"]
            return 200, {"state": "done"}
        return 400, {"error": {"code": "bad_order"}}

    def _start_load(self, slot: str, version: str, tasks) -> tuple[int, dict]:
        current_version = self.slots.get(slot, self.loading.get(slot))
        if current_version is None:
            self.loading[slot] = version
            tasks.start_soon(self._run_load, slot, version)
            return 200, {"state": "loading"}
        if current_version != version:
            return 409, {"error": {"code": "slot_exists"}}
        return 200, {"state": "loaded" if slot in self.slots else "loading"}

    async def _run_load(self, slot: str, version: str) -> None:
        marker = self.store.start()
        record = {"slot": slot, "begin_s": clocks.monotonic(), "n_at_once": 0}
        self.loads.append(record)
        try:
            remaining_s = self.load_s
            while remaining_s > 0 and slot in self.loading:
                await anyio.sleep(min(_LOAD_STEP_S, remaining_s))
                n_loads = self.store.count()
                record["n_at_once"] = max(record["n_at_once"], n_loads)
                remaining_s -= _LOAD_STEP_S * min(
                    1.0, MAX_FULL_SPEED_LOADS / max(1, n_loads)
                )
        finally:
            record["end_s"] = clocks.monotonic()
            self.store.end(marker)
        if self.loading.pop(slot, None) is not None:
            self.slots[slot] = version
