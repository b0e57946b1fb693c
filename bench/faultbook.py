"""Records of what callers and operators observed during a randomised fault run."""

from collections import Counter
from dataclasses import dataclass, field

BROKEN = "broken"


@dataclass(frozen=True)
class Outcome:
    """One outcome of a request, as its caller saw it.

    :param code: ``ok``, the code of a refusal, or :data:`BROKEN` for a connection
        that ended without an answer.
    :param ran: whether the request ran: ``no``, ``yes`` or ``maybe``.
    """

    code: str
    ran: str
    status: int = 0
    body: bytes = b""


@dataclass
class PromptRecord:
    """One request id under which a prompt was sent.

    :param text: the answer, if it arrived completely.
    """

    account: str
    request_id: str
    prompt: str
    n_tokens: int
    outcomes: list[Outcome] = field(default_factory=list)
    text: str | None = None


@dataclass
class CallRecord:
    """One idempotency key that was sent to a plain service."""

    account: str
    key: str
    repeat: str
    outcomes: list[Outcome] = field(default_factory=list)


@dataclass(frozen=True)
class ChangeRecord:
    """One invocation of the operators' command line.

    :param exit_code: a value of :class:`apricotlift.control.exits.Exit`.
    """

    author: str
    message: str
    base: int
    exit_code: int


@dataclass
class Observations:
    """Everything that the checker compares with the stand-ins' ground truth.

    :param removed_keys: for each removed key, the monotonic time in seconds at
        which its removal was accepted.
    :param violations: violated guarantees, found during the run or by the checker.
    """

    prompts: list[PromptRecord] = field(default_factory=list)
    calls: list[CallRecord] = field(default_factory=list)
    changes: list[ChangeRecord] = field(default_factory=list)
    removed_keys: dict[str, float] = field(default_factory=dict)
    faults: Counter = field(default_factory=Counter)
    outcome_counts: Counter = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def count_outcome(self, kind: str, outcome: Outcome) -> Outcome:
        """Count an outcome and return it."""
        self.outcome_counts[f"{kind} {outcome.code} ran={outcome.ran}"] += 1
        return outcome

    def add_violation(self, rule: str, text: str) -> None:
        """Record a violation of a rule."""
        self.violations.append(f"{rule}: {text}")
