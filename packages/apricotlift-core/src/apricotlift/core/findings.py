"""Findings: faults in settings and declarations.

A check continues after the first fault, so that an operator sees all faults with
their places in one run.
"""

from dataclasses import dataclass, field

from apricotlift.core.errors import ApricotliftError, Code


@dataclass(frozen=True, order=True)
class Place:
    """The position in a file that a finding refers to."""

    file: str
    line: int = 0
    section: str = ""
    key: str = ""

    def __str__(self) -> str:
        text = self.file
        if self.line:
            text += f":{self.line}"
        if self.section:
            text += f": [{self.section}]"
        if self.key:
            text += f" {self.key}"
        return text


@dataclass(frozen=True, order=True)
class Finding:
    """One fault with its place."""

    place: Place
    code: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message} ({self.code})"


@dataclass
class Findings:
    """A list of findings that can be raised as one error.

    >>> findings = Findings()
    >>> findings.add(Place("node.ini", 3, "node", "port"), "bad_value", "got 'x'")
    >>> print(findings)
    node.ini:3: [node] port: got 'x' (bad_value)
    """

    items: list[Finding] = field(default_factory=list)

    def add(self, place: Place, code: str, message: str) -> None:
        """Add one finding."""
        self.items.append(Finding(place, code, message))

    def __bool__(self) -> bool:
        return bool(self.items)

    def __str__(self) -> str:
        return "\n".join(str(item) for item in sorted(self.items))

    def raise_if_any(self, code: Code = Code.BAD_SETTINGS) -> None:
        """Raise one error that lists all findings.

        :raises ApricotliftError: with ``code`` when there is a finding.
        """
        if not self.items:
            return
        details = {"findings": [str(item) for item in sorted(self.items)]}
        raise ApricotliftError(code, str(self), details=details)
