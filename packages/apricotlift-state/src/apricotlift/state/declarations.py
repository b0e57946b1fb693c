"""Reading, checking and encoding of the declarations that operators write.

Declarations are INI files, kept in version control. ``[fleet]`` holds the defaults of
the whole fleet; every deviation is an ``[exception NAME]`` with a written reason. The
files are checked together and combined into one :class:`Declarations` object, whose
canonical JSON is the document that nodes load.
"""

import json
from collections.abc import Iterable
from dataclasses import asdict, fields
from pathlib import Path

from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.findings import Findings, Place
from apricotlift.core.hashing import digest
from apricotlift.core.inifile import IniSection, build_section, parse_ini, read_ini
from apricotlift.state.checks import SectionIndex, check_between_sections
from apricotlift.state.sections import MODELS
from apricotlift.state.sectiontypes import (
    Account,
    Declarations,
    Fleet,
    FleetException,
    Key,
    Model,
    Operator,
    Rule,
    Store,
    Upstream,
    build_slot,
)

__all__ = [
    "SECTION_KINDS",
    "Account",
    "Declarations",
    "Fleet",
    "FleetException",
    "Key",
    "Model",
    "Operator",
    "Rule",
    "Store",
    "Upstream",
    "build_slot",
    "decode_document",
    "digest_document",
    "encode_document",
    "load_declarations",
    "parse_declarations",
]

#: Data class and section kind (the word in the section header) by field of
#: :class:`Declarations`.
SECTION_KINDS: dict[str, tuple[type, str]] = {
    "accounts": (Account, "account"),
    "keys": (Key, "key"),
    "operators": (Operator, "operator"),
    "models": (Model, "model"),
    "upstreams": (Upstream, "upstream"),
    "stores": (Store, "store"),
    "rules": (Rule, "rule"),
    "exceptions": (FleetException, "exception"),
}


def load_declarations(paths: Iterable[str | Path]) -> Declarations:
    """Read and check declaration files.

    :param paths: files, or folders of which all ``*.ini`` files are read.
    :raises ApricotliftError: ``bad_declarations`` with all findings.
    """
    findings = Findings()
    sections: list[IniSection] = []
    for path in paths:
        path = Path(path)
        files = sorted(path.glob("*.ini")) if path.is_dir() else [path]
        if not files:
            # Without this finding, applying an empty folder would remove everything.
            findings.add(Place(str(path)), "no_files", "the folder has no .ini files")
        for file in files:
            sections += read_ini(file, findings)
    return _build_declarations(sections, findings)


def parse_declarations(text: str, file: str = "declarations.ini") -> Declarations:
    """Check declarations given as one text.

    :param text: the content of a declaration file.
    :param file: the file name to show in findings.
    :raises ApricotliftError: ``bad_declarations`` with all findings.
    """
    findings = Findings()
    return _build_declarations(parse_ini(text, file, findings), findings)


def encode_document(declarations: Declarations) -> bytes:
    """Return the canonical JSON of declarations: sorted keys, no spaces, UTF-8."""
    data = asdict(declarations)
    return json.dumps(data, sort_keys=True, separators=(",", ":")).encode()


def decode_document(body: bytes) -> Declarations:
    """Return the declarations of a document.

    Unknown fields are ignored, so that a node of an older release can read the
    document of a newer one.

    :raises ApricotliftError: ``object_corrupt`` when the body isn't a valid document.
    """
    try:
        data = json.loads(body)
        values: dict = {"fleet": _build_from_known_fields(Fleet, data["fleet"])}
        for name, (kind, _) in SECTION_KINDS.items():
            values[name] = {
                title: _build_from_known_fields(kind, item)
                for title, item in data[name].items()
            }
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        message = f"the body isn't a valid configuration document: {error!r}"
        raise ApricotliftError(Code.OBJECT_CORRUPT, message) from error
    return Declarations(**values)


def digest_document(body: bytes) -> str:
    """Return the digest of a document, which is its name in the object store."""
    return digest("declarations", body).hex()


def _build_from_known_fields(kind: type, data: dict):
    names = {item.name for item in fields(kind)}
    values = {
        key: tuple(value) if isinstance(value, list) else value
        for key, value in data.items()
        if key in names
    }
    return kind(**values)


def _build_declarations(sections: list[IniSection], findings: Findings) -> Declarations:
    built: dict[str, dict] = {name: {} for name in SECTION_KINDS}
    kinds_by_word = {word: (name, kind) for name, (kind, word) in SECTION_KINDS.items()}
    section_index: SectionIndex = {}
    fleet = Fleet()
    for section in sections:
        place = (section.kind, section.title)
        if section.kind not in ("fleet", *kinds_by_word) or (
            bool(section.title) == (section.kind == "fleet")
        ):
            known = ", ".join(["fleet", *(f"{word} NAME" for word in kinds_by_word)])
            message = f"unknown section [{section.name}]; expected one of {known}"
            findings.add(section.get_place(), "unknown_section", message)
            continue
        if place in section_index:
            first = section_index[place].get_place()
            message = (
                f"[{section.name}] is declared twice, first at "
                f"{first.file}:{first.line}"
            )
            findings.add(section.get_place(), "duplicate", message)
            continue
        section_index[place] = section
        extra = {"name": section.title} if section.title else None
        checked = build_section(MODELS[section.kind], section, findings, extra)
        if checked is None:
            continue
        if section.kind == "fleet":
            fleet = Fleet(**checked.model_dump())
            continue
        name, kind = kinds_by_word[section.kind]
        built[name][section.title] = kind(**checked.model_dump())
    declarations = Declarations(fleet=fleet, **built)
    check_between_sections(declarations, section_index, findings)
    findings.raise_if_any(Code.BAD_DECLARATIONS)
    return declarations
