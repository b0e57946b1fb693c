"""Runs formatter, linter, doctests and scenarios, and prints one summary.

Each package's ``tests`` folder and each file of the root ``features`` folder is run by
behave in a process of its own, because behave keeps one registry of steps per process
and a run that hangs then loses the results of one file only. Failures of scenarios that
``KNOWN-RED.txt`` names are printed, but don't affect the exit code.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# CI ends the whole script after this time.
CI_TIME_S = 5400
# One run that hangs leaves most of the time to the others.
RUN_TIMEOUT_S = CI_TIME_S / 3
# Kept for the report, so that it is printed before CI ends the script.
REPORT_TIME_S = 120
N_PARALLEL_RUNS = 4


@dataclass
class Outcome:
    """Result of one run."""

    name: str
    n_passed: int = 0
    failures: list[str] = field(default_factory=list)
    output: str = ""


def main() -> int:
    """Run the folders or files that the arguments name; run all checks by default."""
    deadline = time.monotonic() + CI_TIME_S - REPORT_TIME_S
    wanted = sys.argv[1:]
    environment = build_environment()
    outcomes = []
    if not wanted:
        outcomes.append(run_command("format", ["ruff", "format", "--check", "."]))
        outcomes.append(run_command("lint", ["ruff", "check", "."]))
        outcomes.append(run_doctests(environment))
    paths = [Path(name) for name in wanted] or find_feature_folders()
    # The root scenarios start many processes, so they run after the packages' tests.
    package_paths = [path for path in paths if "packages" in path.parts]
    with ThreadPoolExecutor(N_PARALLEL_RUNS) as pool:
        outcomes += pool.map(
            lambda path: run_behave(path, environment, deadline), package_paths
        )
    for path in paths:
        if path not in package_paths:
            for part in split_root_features(path):
                outcomes.append(run_behave(part, environment, deadline))
    return report(outcomes, read_known_red())


def build_environment() -> dict[str, str]:
    """Return an environment that prefers this checkout's packages to installed ones."""
    sources = [str(path) for path in sorted(ROOT.glob("packages/*/src"))]
    environment = dict(os.environ)
    sources.append(str(ROOT / "platform"))
    environment["PYTHONPATH"] = os.pathsep.join([*sources, str(ROOT)])
    environment["PYTHONDONTWRITEBYTECODE"] = "1"
    return environment


def find_feature_folders() -> list[Path]:
    """Return each test folder that contains feature files."""
    folders = sorted(ROOT.glob("packages/*/src/apricotlift/*/tests"))
    folders += [ROOT / "platform" / "tests", ROOT / "features"]
    return [folder for folder in folders if any(folder.rglob("*.feature"))]


def split_root_features(path: Path) -> list[Path]:
    """Return the feature files of the root folder; any other path stays as it is."""
    if path.resolve() != ROOT / "features":
        return [path]
    return sorted(path.rglob("*.feature"))


def run_command(name: str, command: list[str]) -> Outcome:
    """Run a tool of the environment; a non-zero exit code is a failure."""
    executable = str(Path(sys.executable).parent / command[0])
    process = subprocess.run(
        [executable, *command[1:]], cwd=ROOT, capture_output=True, text=True
    )
    outcome = Outcome(name, output=process.stdout + process.stderr)
    if process.returncode:
        outcome.failures.append(name)
    else:
        outcome.n_passed = 1
    return outcome


def run_doctests(environment: dict[str, str]) -> Outcome:
    """Run the docstring examples of each module of the packages."""
    outcome = Outcome("doctests")
    for path in sorted(ROOT.glob("packages/*/src/apricotlift/**/*.py")):
        if "tests" in path.parts or ">>> " not in path.read_text():
            continue
        process = subprocess.run(
            [sys.executable, "-m", "doctest", str(path)],
            cwd=tempfile.gettempdir(),
            env=environment,
            capture_output=True,
            text=True,
        )
        if process.returncode:
            outcome.failures.append(f"doctest {path.relative_to(ROOT)}")
            outcome.output += process.stdout + process.stderr
        else:
            outcome.n_passed += 1
    return outcome


def run_behave(path: Path, environment: dict[str, str], deadline: float) -> Outcome:
    """Run behave on a folder or file and read its JSON report.

    ``deadline`` is the ``time.monotonic()`` at which all runs have to have ended, in
    seconds.
    """
    path = path.resolve()
    outcome = Outcome(str(path.relative_to(ROOT)))
    timeout_s = min(RUN_TIMEOUT_S, max(0.0, deadline - time.monotonic()))
    with tempfile.TemporaryDirectory() as directory:
        report_file = Path(directory) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", str(path)]
        command += ["-f", "json", "-o", str(report_file), "-f", "progress"]
        try:
            process = subprocess.run(
                command,
                cwd=ROOT,
                env=environment,
                capture_output=True,
                text=True,
                timeout=timeout_s,
            )
        except subprocess.TimeoutExpired as error:
            outcome.failures.append(f"{outcome.name}: timed out")
            outcome.output = str(error)
            return outcome
        outcome.output = process.stdout + process.stderr
        try:
            features = json.loads(report_file.read_text())
        except (OSError, ValueError):
            outcome.failures.append(f"{outcome.name}: no report")
            return outcome
    for feature in features:
        read_feature(feature, outcome)
    if process.returncode and not outcome.failures:
        outcome.failures.append(f"{outcome.name}: exit code {process.returncode}")
    return outcome


def read_feature(feature: dict, outcome: Outcome) -> None:
    """Add a feature's scenarios to the outcome; only ``passed`` counts as a pass."""
    for element in feature.get("elements", []):
        if element["type"] == "background":
            continue
        if element.get("status") == "passed":
            outcome.n_passed += 1
        else:
            name = f"{element['location']} {element['name']}"
            outcome.failures.append(name)


def read_known_red() -> list[str]:
    """Return the scenario names that ``KNOWN-RED.txt`` lists as ``test: NAME``."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return []
    lines = path.read_text().splitlines()
    return [line[len("test:") :].strip() for line in lines if line.startswith("test:")]


def report(outcomes: list[Outcome], known_red: list[str]) -> int:
    """Print the results and return the exit code: 1 on a failure or without a pass."""
    n_passed = 0
    failures: list[str] = []
    for outcome in outcomes:
        print(
            f"{outcome.name}: {outcome.n_passed} passed, {len(outcome.failures)} failed"
        )
        n_passed += outcome.n_passed
        if outcome.failures:
            print(outcome.output)
        for failure in outcome.failures:
            if any(name and failure.endswith(name) for name in known_red):
                print(f"KNOWN RED: {failure}")
            else:
                failures.append(failure)
    for failure in failures:
        print(f"FAILED: {failure}")
    print(f"{n_passed} passed, {len(failures)} failed")
    return 1 if failures or not n_passed else 0


if __name__ == "__main__":
    sys.exit(main())
