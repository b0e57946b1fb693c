"""Clocks.

``time.monotonic`` stops while a machine is suspended on Linux. Leases and claims
must be seen as lapsed after a suspension, so ages are taken from
``CLOCK_BOOTTIME`` where the system has it.
"""

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic() -> float:
    """Return seconds of a clock that never goes back and counts suspended time."""
    return time.clock_gettime(_CLOCK)


def wall_ms() -> int:
    """Return milliseconds since the epoch, for records that other machines read."""
    return time.time_ns() // 1_000_000
