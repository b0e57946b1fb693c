"""What the steps share: names in a text, and waiting for a state."""

import time
from collections.abc import Callable


def split_names(text: str) -> list[str]:
    """Return the names of a comma-separated list."""
    return [part.strip() for part in text.split(",")]


def wait_until(check: Callable[[], object], timeout_s: float = 30.0) -> None:
    """Wait until a check returns something true."""
    deadline = time.monotonic() + timeout_s
    while not check():
        assert time.monotonic() < deadline, "the awaited state did not come"
        time.sleep(0.02)
