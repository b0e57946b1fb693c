"""A store that may lose the answer to a write of the operator and do the write late.

The operator's call ``/_put`` may carry ``late_s``. The call then gets no answer, and
the write is done that many seconds later; it has no condition.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "fleet2"))

import standins2

_SILENCE_S = 3600


class LateStore(standins2.Store):
    """Rows, some of whose writes are done late."""

    async def handle(self, method, target, body):
        """Return the response to one call, or none for a long time."""
        if target == "/_put":
            item = json.loads(body)
            late_s = item.pop("late_s", None)
            if late_s is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(late_s, self._write_late, item)
                await asyncio.sleep(_SILENCE_S)
        return await super().handle(method, target, body)

    def _write_late(self, item):
        key = (item["table"], "", item["key"])
        self.write({key: json.dumps(item["value"]).encode()}, [])
        print(f"late write of {item['value']} at {time.time():.3f}", flush=True)


standins2.Store = LateStore

if __name__ == "__main__":
    standins2.main()
