"""Reads INI files and validates their sections.

:mod:`configparser` doesn't report line numbers of keys, so the text is scanned a
second time for the line numbers that findings show.
"""

import configparser
import difflib
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

from apricotlift.core.findings import Findings, Place
from pydantic import BaseModel, ValidationError

_SECTION_LINE = re.compile(r"^\[(?P<name>[^\]]+)\]")
_KEY_LINE = re.compile(r"^(?P<key>[^\s#;=:\[][^=:]*?)\s*[=:]")

ModelT = TypeVar("ModelT", bound=BaseModel)


@dataclass(frozen=True)
class IniSection:
    """One section of an INI file.

    :param name: the text in brackets, for example ``account atlas``.
    :param values: raw text by key.
    :param lines: line number by key; the empty key stands for the section's heading.
    """

    file: str
    name: str
    values: dict[str, str]
    lines: dict[str, int] = field(default_factory=dict)

    @property
    def kind(self) -> str:
        """The first word of the section name."""
        return (self.name.split(None, 1) or [""])[0]

    @property
    def title(self) -> str:
        """The section name without its first word."""
        return " ".join(self.name.split()[1:])

    def get_place(self, key: str = "") -> Place:
        """Return the place of a key, or of the section."""
        line = self.lines.get(key, self.lines.get("", 0))
        return Place(self.file, line, self.name, key)


def read_ini(path: str | Path, findings: Findings) -> list[IniSection]:
    """Read the sections of an INI file in the order of the file.

    :param path: path of the file.
    :param findings: receives faults of the file, such as invalid syntax.
    :returns: the sections; empty when the file can't be read at all.
    """
    file = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        findings.add(Place(file), "unreadable", f"can't be read: {error.strerror}")
        return []
    except UnicodeDecodeError as error:
        findings.add(Place(file), "not_utf8", f"invalid UTF-8 at byte {error.start}")
        return []
    return parse_ini(text, file, findings)


def parse_ini(text: str, file: str, findings: Findings) -> list[IniSection]:
    """Parse the text of an INI file.

    :param file: the file name that findings show.

    >>> section, = parse_ini("[node]\\nname = a\\n", "node.ini", Findings())
    >>> section.values, section.get_place("name").line
    ({'name': 'a'}, 2)
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    parser.optionxform = str
    try:
        parser.read_string(text, source=file)
    except configparser.Error as error:
        line = getattr(error, "lineno", None) or 0
        if not line and getattr(error, "errors", None):
            line = error.errors[0][0]
        message = error.message.replace("\n", " ")
        findings.add(Place(file, line), "bad_syntax", message)
        return []
    lines = _find_lines(text)
    return [
        IniSection(file, name, dict(parser[name]), lines.get(name, {}))
        for name in parser.sections()
    ]


def build_section(
    model: type[ModelT],
    section: IniSection,
    findings: Findings,
    extra: dict[str, str] | None = None,
) -> ModelT | None:
    """Validate a section with a pydantic model.

    :param model: the model; every field is a known key, and any key is one where the
        model allows extra values.
    :param section: the section.
    :param findings: receives unknown keys, with the most similar known key, and
        values that the model rejects.
    :param extra: values from outside the section's keys, such as its title.
    :returns: the model, or ``None`` when there was a finding.
    """
    accepts_any = model.model_config.get("extra") == "allow"
    known = list(section.values) if accepts_any else list(model.model_fields)
    n_before = len(findings.items)
    for key in section.values:
        if key not in known:
            nearest = difflib.get_close_matches(key, known, n=1)
            hint = f"; did you mean {nearest[0]!r}?" if nearest else ""
            message = f"unknown key {key!r}{hint}"
            findings.add(section.get_place(key), "unknown_key", message)
    values = {key: text for key, text in section.values.items() if key in known}
    values.update(extra or {})
    try:
        built = model.model_validate(values)
    except ValidationError as error:
        for item in error.errors():
            key = str(item["loc"][0]) if item["loc"] else ""
            given = "" if item["type"] == "missing" else f", got {item['input']!r}"
            message = f"{item['msg']}{given}"
            findings.add(section.get_place(key), item["type"], message)
        return None
    return built if len(findings.items) == n_before else None


def build_sections(
    sections: Iterable[IniSection],
    models: Mapping[str, type[BaseModel]],
    findings: Findings,
) -> dict[str, BaseModel]:
    """Validate the sections of a settings file, each with the model of its name.

    :param models: model by section name.
    :param findings: receives unknown sections, unknown keys and rejected values.
    :returns: the models of the sections without a finding, by name.
    """
    built: dict[str, BaseModel] = {}
    for section in sections:
        model = models.get(section.name)
        if model is None:
            message = f"unknown section; expected one of {', '.join(models)}"
            findings.add(section.get_place(), "unknown_section", message)
            continue
        checked = build_section(model, section, findings)
        if checked is not None:
            built[section.name] = checked
    return built


def require_sections(
    built: Mapping[str, BaseModel],
    required: Iterable[str],
    path: str | Path,
    findings: Findings,
) -> None:
    """Add a finding for each missing section, unless there are findings already."""
    if findings:
        return
    for name in required:
        if name not in built:
            findings.add(
                Place(str(path)), "missing", f"required section [{name}] is missing"
            )


def split_list(value: object) -> object:
    """Split comma-separated text, as a function for pydantic's ``BeforeValidator``.

    Values of other types are returned unchanged.

    >>> split_list("a, b,")
    ['a', 'b']
    """
    if not isinstance(value, str):
        return value
    return [part.strip() for part in value.split(",") if part.strip()]


def _find_lines(text: str) -> dict[str, dict[str, int]]:
    lines: dict[str, dict[str, int]] = {}
    current: dict[str, int] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if match := _SECTION_LINE.match(line):
            current = lines.setdefault(match["name"], {"": number})
        elif match := _KEY_LINE.match(line):
            current.setdefault(match["key"], number)
    return lines
