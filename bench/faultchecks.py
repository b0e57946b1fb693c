"""Compares what callers observed with the stand-ins' ground truth."""

import json
from collections import Counter, defaultdict
from dataclasses import dataclass

from apricotlift.control.exits import Exit
from apricotlift.node.attempts import build_request_key

from bench.faultbook import Observations
from bench.faultworld import ACCOUNTS, NodeRun
from standins.engine import build_answer
from standins.enginebatch import hash_prompt

MAX_ENGINE_CRASHES = 2


@dataclass(frozen=True)
class GroundTruth:
    """The ground truth of a run.

    :param journal: journal entries of all engines.
    :param runs: number of executions of each idempotency key at the plain services.
    :param history: rows of the committed configuration versions.
    """

    journal: list[dict]
    runs: Counter
    history: list[dict]

    def list_runs(self) -> list[dict]:
        """Return the journal entries of attempts that engines started."""
        return [line for line in self.journal if line["kind"] == "ran"]


def check_all(
    observations: Observations, truth: GroundTruth, nodes: list[NodeRun]
) -> None:
    """Run all checks and record each violation in the observations."""
    check_prompts(observations, truth)
    check_calls(observations, truth)
    check_caches(observations, truth)
    check_versions(observations, truth)
    check_crashes(observations, truth)
    check_changes(observations, truth)
    check_logs(observations, nodes)


def check_prompts(observations: Observations, truth: GroundTruth) -> None:
    """Check that complete answers are correct and that "not run" is reported truly."""
    ran = {line["attempt_id"].split(".")[0] for line in truth.list_runs()}
    for record in observations.prompts:
        if record.text is not None:
            expected = "".join(build_answer(record.prompt, 0, record.n_tokens))
            if record.text != expected:
                text = f"{record.request_id}: {record.text!r}, expected {expected!r}"
                observations.add_violation("whole answers", text)
        key = build_request_key(record.account, record.request_id)
        if (
            record.outcomes
            and all(outcome.ran == "no" for outcome in record.outcomes)
            and key in ran
        ):
            codes = [outcome.code for outcome in record.outcomes]
            observations.add_violation(
                "not run",
                f"prompt {record.request_id} ran, but its callers saw {codes}",
            )


def check_calls(observations: Observations, truth: GroundTruth) -> None:
    """Check routed calls.

    A call with repeat "never" runs at most once and each of its replayed answers is
    the same; a call that was only refused as not run did not run; each answer
    belongs to its call.
    """
    for record in observations.calls:
        n_runs = truth.runs[record.key]
        codes = [outcome.code for outcome in record.outcomes]
        if record.repeat == "never" and n_runs > 1:
            observations.add_violation(
                "at most once", f"{record.key} ran {n_runs} times: {codes}"
            )
        if (
            record.outcomes
            and all(outcome.ran == "no" for outcome in record.outcomes)
            and n_runs
        ):
            observations.add_violation(
                "not run", f"call {record.key} ran, but its callers saw {codes}"
            )
        answers = [outcome.body for outcome in record.outcomes if outcome.code == "ok"]
        if answers and not n_runs:
            observations.add_violation(
                "own answers", f"{record.key} was answered and never ran"
            )
        if record.repeat == "never" and len(set(answers)) > 1:
            observations.add_violation(
                "replays", f"{record.key} had different answers {set(answers)}"
            )
        for body in answers:
            if json.loads(body)["key"] != record.key:
                observations.add_violation(
                    "own answers", f"{record.key} was answered {body!r}"
                )


def check_caches(observations: Observations, truth: GroundTruth) -> None:
    """Check that no attempt uses cached blocks of another account or model slot.

    A cache salt belongs to one account, and an attempt uses only blocks that were
    stored with its own salt and slot.
    """
    account_by_key = {
        build_request_key(record.account, record.request_id): record.account
        for record in observations.prompts
    }
    accounts = defaultdict(set)
    runs = {}
    for line in truth.list_runs():
        runs[line["attempt_id"]] = line
        account = account_by_key.get(line["attempt_id"].split(".")[0])
        if account is not None:
            accounts[line["salt"]].add(account)
    for salt, found in accounts.items():
        if len(found) > 1:
            text = f"salt {salt[:8]} was used by {sorted(found)} of {len(ACCOUNTS)}"
            observations.add_violation("cache isolation", text)
    for line in truth.journal:
        if line["kind"] != "cached":
            continue
        run = runs[line["attempt_id"]]
        for block in line["cached"]:
            wanted = (run["salt"], run["slot"], block["block"])
            stored = tuple(
                block[f"stored_{name}"] for name in ("salt", "slot", "block")
            )
            if stored != wanted:
                text = f"{line['attempt_id']} used {stored}, expected {wanted}"
                observations.add_violation("cache isolation", text)


def check_versions(observations: Observations, truth: GroundTruth) -> None:
    """Check that all attempts of a request run on the same model slot."""
    slots = defaultdict(set)
    for line in truth.list_runs():
        slots[line["attempt_id"].split(".")[0]].add(line["slot"])
    for key, found in slots.items():
        if len(found) > 1:
            observations.add_violation(
                "weight versions", f"request {key} ran on {sorted(found)}"
            )


def check_crashes(observations: Observations, truth: GroundTruth) -> None:
    """Check that a crashing prompt crashes at most two engines."""
    crashes = Counter(
        line["prompt"] for line in truth.journal if line["kind"] == "crashed"
    )
    names = {
        hash_prompt(record.prompt): record.prompt for record in observations.prompts
    }
    for prompt, n_crashes in crashes.items():
        observations.outcome_counts[f"prompts that crashed {n_crashes} engines"] += 1
        if n_crashes > MAX_ENGINE_CRASHES:
            name = names.get(prompt, prompt)
            observations.add_violation(
                "crashes", f"{name!r} crashed {n_crashes} engines"
            )


def check_changes(observations: Observations, truth: GroundTruth) -> None:
    """Check that versions have no gaps and exit codes match the committed history."""
    versions = sorted(row["version"] for row in truth.history)
    if versions != list(range(1, len(versions) + 1)):
        observations.add_violation(
            "changes", f"history has versions {versions}, expected no gaps"
        )
    by_message = {row["message"]: row for row in truth.history}
    for change in observations.changes:
        committed = change.message in by_message
        is_reported_committed = change.exit_code in (Exit.DONE, Exit.NOT_ACCEPTED)
        is_reported_conflict = change.exit_code == Exit.CONFLICT
        if (
            is_reported_committed
            and not committed
            or is_reported_conflict
            and committed
        ):
            text = f"{change.message} ended with {change.exit_code}: {committed=}"
            observations.add_violation("changes", text)


def check_logs(observations: Observations, nodes: list[NodeRun]) -> None:
    """Check that versions never decrease at a node and no node has internal errors."""
    for run in nodes:
        version = 0
        for line in run.process.read_log():
            name = f"{run.name}.{run.number}"
            if line.get("event") == "configuration_in_force":
                if line["version"] < version:
                    text = f"{name}: {line['version']} after {version}"
                    observations.add_violation("versions", text)
                version = line["version"]
            if line.get("event") in ("prompt_failed", "request_failed"):
                observations.add_violation(
                    "internal errors",
                    f"{name}: {str(line)[:200]} ... {str(line)[-400:]}",
                )
