"""Declarations: what operators keep in version control.

Declarations are INI files. ``[fleet]`` holds the defaults of the whole fleet; every
deviation is an ``[exception NAME]`` with a written reason. The files are checked
together and become one :class:`Declarations` object, whose canonical JSON is the
document that nodes load.
"""

import json
import re
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field, fields
from datetime import date
from pathlib import Path

from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.findings import Findings
from apricotlift.core.hashing import digest
from apricotlift.core.inifile import IniSection, build_section, parse_ini, read_ini
from apricotlift.state.sections import MODELS, check_address

MIN_REASON_CHARACTERS = 10


@dataclass(frozen=True)
class Fleet:
    """Defaults of the whole fleet.

    The three ``w_`` weights are the cost of a second of TTFT, of a recomputed token
    and of a byte on a store's link; only their ratios matter.
    """

    w_ttft: float = 1.0
    w_recompute: float = 0.0002
    w_link: float = 1e-10
    piece_bytes: int = 4000
    kv_bytes_per_token: int = 131072
    max_in_flight: int = 64
    rate_per_s: float = 50.0
    burst: int = 100
    consumer_max_in_flight: int = 64
    consumer_rate_per_s: float = 50.0
    consumer_burst: int = 100
    n_named_instances: int = 3
    address_max_age_s: float = 30.0
    default_deadline_ms: int = 600_000
    max_retained_kv_copies: int = 2
    max_weight_loads: int = 2


@dataclass(frozen=True)
class Account:
    """A client account and the models that it may use."""

    name: str
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()


@dataclass(frozen=True)
class Key:
    """A caller's key, kept as the SHA-256 of its text."""

    name: str
    sha256: str
    account: str
    consumer: str = "default"
    not_after: str = ""


@dataclass(frozen=True)
class Operator:
    """An operator's key for the admin listener."""

    name: str
    sha256: str
    not_after: str = ""


@dataclass(frozen=True)
class Model:
    """A model, its weight version in force and the one before."""

    name: str
    weight_version: str
    previous_version: str = ""
    adapter: str = ""


@dataclass(frozen=True)
class Upstream:
    """A model engine or a plain service."""

    name: str
    kind: str
    address: str
    failure_domain: str
    models: tuple[str, ...] = ()
    service: str = ""
    role: str = "mixed"
    fencing: str = "ignored"
    drain: bool = False
    max_in_flight: int = 64
    prefill_tokens_per_s: float = 8000.0
    tls: bool = False


@dataclass(frozen=True)
class Store:
    """A KV store instance and the rate of its link."""

    name: str
    address: str
    failure_domain: str
    link_bytes_per_s: float = 1.25e9
    link_latency_s: float = 0.002
    tls: bool = False


@dataclass(frozen=True)
class Rule:
    """Whether calls of a plain service may be repeated."""

    name: str
    service: str
    method: str
    path: str
    repeat: str


@dataclass(frozen=True)
class FleetException:
    """A deviation from a fleet default, with its reason."""

    name: str
    applies_to: str
    setting: str
    value: str
    reason: str
    author: str
    review_on: str


@dataclass(frozen=True)
class Declarations:
    """All declarations, by kind and name."""

    fleet: Fleet = field(default_factory=Fleet)
    accounts: dict[str, Account] = field(default_factory=dict)
    keys: dict[str, Key] = field(default_factory=dict)
    operators: dict[str, Operator] = field(default_factory=dict)
    models: dict[str, Model] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    stores: dict[str, Store] = field(default_factory=dict)
    rules: dict[str, Rule] = field(default_factory=dict)
    exceptions: dict[str, FleetException] = field(default_factory=dict)

    def get_setting(self, account: str, setting: str) -> float:
        """Return a fleet setting as it applies to one client account."""
        for item in self.exceptions.values():
            if item.applies_to == f"account {account}" and item.setting == setting:
                return type(getattr(self.fleet, setting))(item.value)
        return getattr(self.fleet, setting)

    def resolve_slot(self, account: str, model_name: str) -> str:
        """Return the slot that a new request of an account runs on.

        :raises ApricotliftError: ``unknown_model``, also where the account may not
            use the model, so that model names of other accounts aren't revealed.
        """
        granted = self.accounts[account].models
        model = self.models.get(model_name)
        if model is None or model_name not in granted:
            message = f"no model named {model_name!r} for this account"
            raise ApricotliftError(Code.UNKNOWN_MODEL, message)
        version = model.weight_version
        wanted = f"weight_version.{model_name}"
        for item in self.exceptions.values():
            if item.applies_to == f"account {account}" and item.setting == wanted:
                version = item.value
        return build_slot(model, version)

    def list_slots(self, upstream: Upstream) -> list[str]:
        """Return the slots that an engine should have loaded."""
        slots = []
        for name in upstream.models:
            model = self.models[name]
            versions = {model.weight_version, model.previous_version} - {""}
            for item in self.exceptions.values():
                if item.setting == f"weight_version.{name}":
                    versions.add(item.value)
            slots += [build_slot(model, version) for version in sorted(versions)]
        return slots

    def find_rule(self, service: str, method: str, path: str) -> str:
        """Return ``never`` or ``safe``; a call that no rule names is ``never``.

        The most specific (longest) matching path decides; between equals,
        ``never`` wins.
        """
        matches = [
            rule
            for rule in self.rules.values()
            if rule.service == service
            and rule.method in ("*", method)
            and _match_path(rule.path, path)
        ]
        if not matches:
            return "never"
        longest = max(len(rule.path) for rule in matches)
        values = {rule.repeat for rule in matches if len(rule.path) == longest}
        return "never" if "never" in values else "safe"


def build_slot(model: Model, version: str) -> str:
    """Return the immutable name under which an engine loads a weight version.

    >>> build_slot(Model("wax", "v2"), "v2")
    'wax@v2'
    """
    slot = f"{model.name}@{version}"
    return f"{slot}+{model.adapter}" if model.adapter else slot


def load_declarations(paths: Iterable[str | Path]) -> Declarations:
    """Read and check declaration files; a folder stands for its ``*.ini`` files.

    :raises ApricotliftError: ``bad_declarations`` with all findings.
    """
    findings = Findings()
    sections: list[IniSection] = []
    for path in paths:
        path = Path(path)
        files = sorted(path.glob("*.ini")) if path.is_dir() else [path]
        for file in files:
            sections += read_ini(file, findings)
    return _finish(sections, findings)


def parse_declarations(text: str, file: str = "declarations.ini") -> Declarations:
    """Check declarations given as one text.

    :raises ApricotliftError: ``bad_declarations`` with all findings.
    """
    findings = Findings()
    return _finish(parse_ini(text, file, findings), findings)


def encode_document(declarations: Declarations) -> bytes:
    """Return the canonical JSON: sorted keys, no spaces, UTF-8."""
    data = asdict(declarations)
    return json.dumps(data, sort_keys=True, separators=(",", ":")).encode()


def decode_document(body: bytes) -> Declarations:
    """Return the declarations of a document.

    Unknown fields are ignored, so that a node of an older release can read the
    document of a newer one.
    """
    data = json.loads(body)
    kinds = {name: item[0] for name, item in _KINDS.items()}
    values: dict = {"fleet": _build_known(Fleet, data["fleet"])}
    for name, kind in kinds.items():
        values[name] = {
            title: _build_known(kind, item) for title, item in data[name].items()
        }
    return Declarations(**values)


def digest_document(body: bytes) -> str:
    """Return the name of a document in the object store."""
    return digest("declarations", body).hex()


_KINDS: dict[str, tuple[type, str]] = {
    "accounts": (Account, "account"),
    "keys": (Key, "key"),
    "operators": (Operator, "operator"),
    "models": (Model, "model"),
    "upstreams": (Upstream, "upstream"),
    "stores": (Store, "store"),
    "rules": (Rule, "rule"),
    "exceptions": (FleetException, "exception"),
}


def _build_known(kind: type, data: dict):
    names = {item.name for item in fields(kind)}
    values = {
        key: tuple(value) if isinstance(value, list) else value
        for key, value in data.items()
        if key in names
    }
    return kind(**values)


def _match_path(pattern: str, path: str) -> bool:
    # "*" matches within one path segment and "**" across segments.
    parts = re.split(r"(\*\*|\*)", pattern)
    translated = {"**": ".*", "*": "[^/]*"}
    regex = "".join(translated.get(part, re.escape(part)) for part in parts)
    return re.fullmatch(regex, path) is not None


def _finish(sections: list[IniSection], findings: Findings) -> Declarations:
    built: dict[str, dict] = {name: {} for name in _KINDS}
    by_word = {word: (name, kind) for name, (kind, word) in _KINDS.items()}
    fleet = Fleet()
    for section in sections:
        if section.name == "fleet":
            checked = build_section(MODELS["fleet"], section, findings)
            if checked is not None:
                fleet = Fleet(**checked.model_dump())
            continue
        if section.kind not in by_word or not section.title:
            known = ", ".join(["fleet", *(f"{word} NAME" for word in by_word)])
            message = f"unknown section [{section.name}]; known are {known}"
            findings.add(section.get_place(), "unknown_section", message)
            continue
        name, kind = by_word[section.kind]
        if section.title in built[name]:
            findings.add(section.get_place(), "duplicate", "declared twice")
            continue
        extra = {"name": section.title}
        checked = build_section(MODELS[section.kind], section, findings, extra)
        if checked is not None:
            built[name][section.title] = kind(**checked.model_dump())
    declarations = Declarations(fleet=fleet, **built)
    places = {section.name: section for section in sections}
    _check_references(declarations, places, findings)
    findings.raise_if_any(Code.BAD_DECLARATIONS)
    return declarations


def _check_references(
    declarations: Declarations, places: dict[str, IniSection], findings: Findings
) -> None:
    def refuse(section: str, key: str, message: str) -> None:
        findings.add(places[section].get_place(key), "bad_reference", message)

    services = {item.service for item in declarations.upstreams.values()}
    for key in declarations.keys.values():
        if key.account not in declarations.accounts:
            refuse(f"key {key.name}", "account", f"no account {key.account!r}")
    for account in declarations.accounts.values():
        for name in account.models:
            if name not in declarations.models:
                refuse(f"account {account.name}", "models", f"no model {name!r}")
        for name in account.services:
            if name not in services:
                refuse(f"account {account.name}", "services", f"no service {name!r}")
    for upstream in declarations.upstreams.values():
        section = f"upstream {upstream.name}"
        check_address(upstream.address, places[section], findings)
        for name in upstream.models:
            if name not in declarations.models:
                refuse(section, "models", f"no model {name!r}")
        if upstream.kind == "service" and not upstream.service:
            refuse(section, "service", "a service upstream needs a service name")
    for store in declarations.stores.values():
        check_address(store.address, places[f"store {store.name}"], findings)
    for rule in declarations.rules.values():
        if rule.service not in services:
            refuse(f"rule {rule.name}", "service", f"no service {rule.service!r}")
    _check_exceptions(declarations, places, findings)


def _check_exceptions(
    declarations: Declarations, places: dict[str, IniSection], findings: Findings
) -> None:
    allowed = {item.name for item in fields(Fleet)}
    seen: set[tuple[str, str]] = set()
    for item in declarations.exceptions.values():
        section = places[f"exception {item.name}"]

        def refuse(key: str, message: str, section: IniSection = section) -> None:
            findings.add(section.get_place(key), "bad_exception", message)

        kind, _, title = item.applies_to.partition(" ")
        if kind != "account" or title not in declarations.accounts:
            refuse("applies_to", f"expected 'account NAME', got {item.applies_to!r}")
        if item.setting.startswith("weight_version."):
            model = item.setting.partition(".")[2]
            if model not in declarations.models:
                refuse("setting", f"no model {model!r}")
        elif item.setting not in allowed:
            refuse("setting", f"no fleet setting {item.setting!r}")
        else:
            kind_of_value = type(getattr(declarations.fleet, item.setting))
            try:
                kind_of_value(item.value)
            except ValueError:
                refuse("value", f"{item.value!r} isn't a {kind_of_value.__name__}")
        if len(item.reason.strip()) < MIN_REASON_CHARACTERS:
            message = (
                f"a reason of {MIN_REASON_CHARACTERS} characters or more is needed"
            )
            refuse("reason", message)
        try:
            date.fromisoformat(item.review_on)
        except ValueError:
            refuse("review_on", f"expected YYYY-MM-DD, got {item.review_on!r}")
        if (item.applies_to, item.setting) in seen:
            refuse("setting", "a second exception for the same setting")
        seen.add((item.applies_to, item.setting))
