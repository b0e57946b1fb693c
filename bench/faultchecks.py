"""Compares what callers were told with the stand-ins' ground truth."""

import json
from collections import Counter, defaultdict
from dataclasses import dataclass

from apricotlift.control.exits import Exit
from apricotlift.node.attempts import build_request_key

from bench.faultbook import Book
from bench.faultworld import ACCOUNTS, NodeRun
from standins.engine import build_answer
from standins.enginebatch import hash_prompt

MAX_CRASHES = 2


@dataclass(frozen=True)
class Truth:
    """The ground truth of a run.

    :param journal: lines of all engines.
    :param runs: how often each key ran at the plain services.
    :param history: the committed versions.
    """

    journal: list[dict]
    runs: Counter
    history: list[dict]

    def list_runs(self) -> list[dict]:
        """Return the attempts that engines began."""
        return [line for line in self.journal if line["kind"] == "ran"]


def check_all(book: Book, truth: Truth, nodes: list[NodeRun]) -> None:
    """Add a violation to the book for everything that is wrong."""
    check_prompts(book, truth)
    check_calls(book, truth)
    check_caches(book, truth)
    check_versions(book, truth)
    check_crashes(book, truth)
    check_changes(book, truth)
    check_logs(book, nodes)


def check_prompts(book: Book, truth: Truth) -> None:
    """Whole answers are the expected text, and what did not run did not run."""
    ran = {line["attempt_id"].split(".")[0] for line in truth.list_runs()}
    for record in book.prompts:
        if record.text is not None:
            expected = "".join(build_answer(record.prompt, 0, record.n_tokens))
            if record.text != expected:
                text = f"{record.request_id}: {record.text!r}, expected {expected!r}"
                book.violate("whole answers", text)
        key = build_request_key(record.account, record.request_id)
        if record.told and all(told.ran == "no" for told in record.told) and key in ran:
            codes = [told.code for told in record.told]
            book.violate("not run", f"prompt {record.request_id} ran, was told {codes}")


def check_calls(book: Book, truth: Truth) -> None:
    """No never-call runs twice, refusals are true and replays are the same."""
    for record in book.calls:
        n_runs = truth.runs[record.key]
        codes = [told.code for told in record.told]
        if record.repeat == "never" and n_runs > 1:
            book.violate("at most once", f"{record.key} ran {n_runs} times: {codes}")
        if record.told and all(told.ran == "no" for told in record.told) and n_runs:
            book.violate("not run", f"call {record.key} ran, was told {codes}")
        answers = [told.body for told in record.told if told.code == "ok"]
        if answers and not n_runs:
            book.violate("own answers", f"{record.key} was answered and never ran")
        if record.repeat == "never" and len(set(answers)) > 1:
            book.violate("replays", f"{record.key} had answers {set(answers)}")
        for body in answers:
            if json.loads(body)["key"] != record.key:
                book.violate("own answers", f"{record.key} was answered {body!r}")


def check_caches(book: Book, truth: Truth) -> None:
    """A salt belongs to one account, and a run uses blocks of its own salt and slot."""
    account_by_key = {
        build_request_key(record.account, record.request_id): record.account
        for record in book.prompts
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
            book.violate("cache isolation", text)
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
                book.violate("cache isolation", text)


def check_versions(book: Book, truth: Truth) -> None:
    """All attempts of a request run on the slot that it was admitted to."""
    slots = defaultdict(set)
    for line in truth.list_runs():
        slots[line["attempt_id"].split(".")[0]].add(line["slot"])
    for key, found in slots.items():
        if len(found) > 1:
            book.violate("weight versions", f"request {key} ran on {sorted(found)}")


def check_crashes(book: Book, truth: Truth) -> None:
    """A crashing prompt ends at most two engines."""
    crashes = Counter(
        line["prompt"] for line in truth.journal if line["kind"] == "crashed"
    )
    names = {hash_prompt(record.prompt): record.prompt for record in book.prompts}
    for prompt, n_crashes in crashes.items():
        book.outcomes[f"prompts that crashed {n_crashes} engines"] += 1
        if n_crashes > MAX_CRASHES:
            name = names.get(prompt, prompt)
            book.violate("crashes", f"{name!r} ended {n_crashes} engines")


def check_changes(book: Book, truth: Truth) -> None:
    """Versions have no gaps, and each change was told what became of it."""
    versions = sorted(row["version"] for row in truth.history)
    if versions != list(range(1, len(versions) + 1)):
        book.violate("changes", f"history has versions {versions}")
    by_message = {row["message"]: row for row in truth.history}
    for change in book.changes:
        committed = change.message in by_message
        told = change.exit_code in (Exit.DONE, Exit.NOT_ACCEPTED)
        refused = change.exit_code == Exit.CONFLICT
        if told and not committed or refused and committed:
            text = f"{change.message} was told {change.exit_code}: {committed=}"
            book.violate("changes", text)


def check_logs(book: Book, nodes: list[NodeRun]) -> None:
    """Versions never decrease at a node, and no node fails inside."""
    for run in nodes:
        version = 0
        for line in run.process.read_log():
            name = f"{run.name}.{run.number}"
            if line.get("event") == "configuration_in_force":
                if line["version"] < version:
                    text = f"{name}: {line['version']} after {version}"
                    book.violate("versions", text)
                version = line["version"]
            if line.get("event") in ("prompt_failed", "request_failed"):
                book.violate(
                    "internal errors",
                    f"{name}: {str(line)[:200]} ... {str(line)[-400:]}",
                )
