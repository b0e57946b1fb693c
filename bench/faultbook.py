"""What callers and operators of a randomised run were told."""

from collections import Counter
from dataclasses import dataclass, field

BROKEN = "broken"


@dataclass(frozen=True)
class Told:
    """One outcome that a caller saw.

    :param code: ``ok``, the code of a refusal, or :data:`BROKEN` for a connection
        that ended without an answer.
    :param ran: ``no``, ``yes`` or ``maybe``.
    """

    code: str
    ran: str
    status: int = 0
    body: bytes = b""


@dataclass
class PromptRecord:
    """One request id of a prompt.

    :param text: the answer where it was whole.
    """

    account: str
    request_id: str
    prompt: str
    n_tokens: int
    told: list[Told] = field(default_factory=list)
    text: str | None = None


@dataclass
class CallRecord:
    """One idempotency key at a plain service."""

    account: str
    key: str
    repeat: str
    told: list[Told] = field(default_factory=list)


@dataclass(frozen=True)
class ChangeRecord:
    """One run of the operators' command line.

    :param exit_code: of :class:`apricotlift.control.exits.Exit`.
    """

    author: str
    message: str
    base: int
    exit_code: int


@dataclass
class Book:
    """Everything that the checker compares with the stand-ins' ground truth.

    :param removed_keys: time of acceptance of each key's removal.
    :param violations: what was seen to be wrong while the run went on.
    """

    prompts: list[PromptRecord] = field(default_factory=list)
    calls: list[CallRecord] = field(default_factory=list)
    changes: list[ChangeRecord] = field(default_factory=list)
    removed_keys: dict[str, float] = field(default_factory=dict)
    faults: Counter = field(default_factory=Counter)
    outcomes: Counter = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def note(self, kind: str, told: Told) -> Told:
        """Count an outcome."""
        self.outcomes[f"{kind} {told.code} ran={told.ran}"] += 1
        return told

    def violate(self, rule: str, text: str) -> None:
        """Note a violation."""
        self.violations.append(f"{rule}: {text}")
