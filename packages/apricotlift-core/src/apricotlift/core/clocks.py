"""Clocks for ages and timestamps.

On Linux, ``time.monotonic`` doesn't advance while a machine is suspended. Leases and
claims must count as expired after a suspension, so ages are measured with
``CLOCK_BOOTTIME`` where the system has it.
"""

import time

_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic() -> float:
    """Return seconds of a clock that never goes back and includes suspended time."""
    return time.clock_gettime(_CLOCK_ID)


def wall_ms() -> int:
    """Return milliseconds since the epoch, for records that other machines read."""
    return time.time_ns() // 1_000_000
