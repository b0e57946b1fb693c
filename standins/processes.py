"""Starts and stops the processes of a test, and reads their log lines."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
_POLL_S = 0.01


@dataclass
class Process:
    """A started process and its log file."""

    name: str
    popen: subprocess.Popen
    log_file: Path

    def read_log(self) -> list[dict]:
        """Return the JSON log lines written so far."""
        lines = []
        for line in self.log_file.read_text(errors="replace").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                continue
        return lines

    def wait_for_event(self, event: str, timeout_s: float = 30.0, **wanted) -> dict:
        """Wait for a log line with an event and these fields, and return it.

        :raises AssertionError: if the process ends or the time runs out before.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            for line in self.read_log():
                if line.get("event") == event and wanted.items() <= line.items():
                    return line
            exited = self.popen.poll() is not None
            if exited or time.monotonic() > deadline:
                tail = self.log_file.read_text(errors="replace")[-3000:]
                state = f"exited {self.popen.returncode}" if exited else "timed out"
                raise AssertionError(
                    f"{self.name}: no log event {event} ({state}); end of log: {tail}"
                )
            time.sleep(_POLL_S)

    def get_address(self, listener: str = "") -> str:
        """Return the address of a listener from its ``listening`` line."""
        wanted = {"listener": listener} if listener else {}
        return self.wait_for_event("listening", START_TIMEOUT_S, **wanted)["address"]

    def send_signal(self, number: int) -> None:
        """Send a signal."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL and wait for the end of the process."""
        self.popen.kill()
        self.popen.wait()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end of the process and return its exit code."""
        return self.popen.wait(timeout_s)


@dataclass
class Processes:
    """The processes of one test; leaving the context ends them."""

    directory: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix="apricotlift-"))
    )
    running: dict[str, Process] = field(default_factory=dict)

    def __enter__(self) -> "Processes":
        return self

    def __exit__(self, *details) -> None:
        self.stop_all()

    def start_module(self, name: str, module: str, *arguments: str) -> Process:
        """Start ``python -m module`` under a name."""
        return self._start(name, ["-m", module, *arguments], {})

    def start_script(
        self, name: str, script: str, variables: dict[str, str]
    ) -> Process:
        """Start a script of the repository with additional environment variables."""
        return self._start(name, [script], variables)

    def _start(
        self, name: str, arguments: list[str], variables: dict[str, str]
    ) -> Process:
        environment = {**os.environ, **variables}
        sources = [str(path) for path in sorted(ROOT.glob("packages/*/src"))]
        environment["PYTHONPATH"] = os.pathsep.join([*sources, str(ROOT)])
        log_file = self.directory / f"{name}.{len(self.running)}.log"
        with log_file.open("wb") as output:
            popen = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        process = Process(name, popen, log_file)
        key = name if name not in self.running else f"{name}.{len(self.running)}"
        self.running[key] = process
        return process

    def write_file(self, name: str, text: str) -> Path:
        """Write a file into the folder of the test and return its path."""
        path = self.directory / name
        path.write_text(text)
        return path

    def stop_all(self) -> None:
        """End all processes, with SIGKILL those that run on for 2 s after SIGTERM.

        Each is sent SIGCONT first, as a suspended process doesn't handle SIGTERM.
        """
        for process in self.running.values():
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.terminate()
        deadline = time.monotonic() + 2.0
        for process in self.running.values():
            try:
                process.popen.wait(max(0.05, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
