"""Helpers of the steps: lists of names, and waiting for a condition."""

import time
from collections.abc import Callable


def split_names(text: str) -> list[str]:
    """Return the names of a comma-separated list."""
    return [part.strip() for part in text.split(",")]


def wait_until(check: Callable[[], object], timeout_s: float = 30.0) -> None:
    """Wait until a check returns a true value.

    :raises AssertionError: if it doesn't within the time-out.
    """
    deadline = time.monotonic() + timeout_s
    while not check():
        assert time.monotonic() < deadline, (
            f"the condition was not met within {timeout_s} s"
        )
        time.sleep(0.02)
