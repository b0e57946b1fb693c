"""Checks of declarations across sections, for example of references."""

from datetime import date

from apricotlift.core.findings import Findings
from apricotlift.core.inifile import IniSection
from apricotlift.state.sections import FleetModel, check_address, is_valid_name
from apricotlift.state.sectiontypes import Declarations, Fleet, FleetException
from pydantic import ValidationError

MIN_REASON_CHARACTERS = 10

#: Prefix of an exception's setting that pins an account to a weight version.
WEIGHT_VERSION_PREFIX = "weight_version."

#: Sections by kind and title.
SectionIndex = dict[tuple[str, str], IniSection]


def check_between_sections(
    declarations: Declarations, section_index: SectionIndex, findings: Findings
) -> None:
    """Add a finding for each fault that the model of a section alone doesn't detect.

    These are references to undeclared sections, duplicate keys and exceptions, and
    invalid addresses, dates and exceptions.

    :param declarations: the sections that are valid by themselves.
    :param section_index: all sections, invalid ones included, so that a reference to an
        invalid section doesn't count as another fault.
    :param findings: receives the faults.
    """
    _check_keys_and_accounts(declarations, section_index, findings)
    _check_upstreams_and_stores(declarations, section_index, findings)
    services = _list_services(section_index)
    for rule in declarations.rules.values():
        if rule.service not in services:
            place = section_index["rule", rule.name].get_place("service")
            findings.add(
                place,
                "bad_reference",
                f"no upstream with service {rule.service!r} is declared",
            )
    first_by_setting: dict[tuple[str, str], str] = {}
    for item in declarations.exceptions.values():
        section = section_index["exception", item.name]
        _check_exception(item, section_index, findings)
        first = first_by_setting.setdefault((item.applies_to, item.setting), item.name)
        if first != item.name:
            message = f"exception {first!r} already sets {item.setting!r}"
            findings.add(section.get_place("setting"), "bad_exception", message)


def _list_services(section_index: SectionIndex) -> set[str]:
    names = set()
    for (kind, _), section in section_index.items():
        if kind == "upstream" and section.values.get("service"):
            names.add(section.values["service"])
    return names


def _check_keys_and_accounts(
    declarations: Declarations, section_index: SectionIndex, findings: Findings
) -> None:
    services = _list_services(section_index)
    hashes: dict[str, str] = {}
    for kind, items in (
        ("key", declarations.keys),
        ("operator", declarations.operators),
    ):
        for item in items.values():
            section = section_index[kind, item.name]
            _check_date(item.not_after, "not_after", section, findings)
            first = hashes.setdefault(item.sha256, f"{kind} {item.name}")
            if first != f"{kind} {item.name}":
                message = f"[{first}] has the same SHA-256"
                findings.add(section.get_place("sha256"), "duplicate", message)
    for key in declarations.keys.values():
        if ("account", key.account) not in section_index:
            place = section_index["key", key.name].get_place("account")
            findings.add(
                place, "bad_reference", f"no account {key.account!r} is declared"
            )
    for account in declarations.accounts.values():
        section = section_index["account", account.name]
        for name in account.models:
            if ("model", name) not in section_index:
                message = f"no model {name!r} is declared"
                findings.add(section.get_place("models"), "bad_reference", message)
        for name in account.services:
            if name not in services:
                message = f"no upstream with service {name!r} is declared"
                findings.add(section.get_place("services"), "bad_reference", message)


def _check_upstreams_and_stores(
    declarations: Declarations, section_index: SectionIndex, findings: Findings
) -> None:
    for upstream in declarations.upstreams.values():
        section = section_index["upstream", upstream.name]
        check_address(upstream.address, section, findings)
        for name in upstream.models:
            if ("model", name) not in section_index:
                message = f"no model {name!r} is declared"
                findings.add(section.get_place("models"), "bad_reference", message)
        if upstream.kind == "service" and not upstream.service:
            message = "empty; expected a service name for kind 'service'"
            findings.add(section.get_place("service"), "bad_reference", message)
        unused = "models" if upstream.kind == "service" else "service"
        if getattr(upstream, unused):
            message = f"{unused!r} must be empty for kind {upstream.kind!r}"
            findings.add(section.get_place(unused), "bad_reference", message)
    for store in declarations.stores.values():
        check_address(store.address, section_index["store", store.name], findings)


def _check_exception(
    item: FleetException, section_index: SectionIndex, findings: Findings
) -> None:
    section = section_index["exception", item.name]

    def add_finding(key: str, message: str) -> None:
        findings.add(section.get_place(key), "bad_exception", message)

    kind, _, title = item.applies_to.partition(" ")
    if kind != "account" or ("account", title) not in section_index:
        message = (
            f"expected 'account NAME' of a declared account, got {item.applies_to!r}"
        )
        add_finding("applies_to", message)
    if item.setting.startswith(WEIGHT_VERSION_PREFIX):
        model = item.setting.removeprefix(WEIGHT_VERSION_PREFIX)
        if ("model", model) not in section_index:
            add_finding("setting", f"no model {model!r} is declared")
        if not is_valid_name(item.value):
            add_finding("value", f"expected a weight version, got {item.value!r}")
    elif item.setting not in Fleet.__dataclass_fields__:
        add_finding("setting", f"expected a fleet setting, got {item.setting!r}")
    else:
        try:
            # Requests convert the value with the plain type, which accepts fewer forms
            # than the pydantic model.
            type(getattr(Fleet(), item.setting))(item.value)
            FleetModel.model_validate({item.setting: item.value})
        except ValidationError as error:
            add_finding("value", f"{error.errors()[0]['msg']}, got {item.value!r}")
        except ValueError:
            add_finding("value", f"expected a number, got {item.value!r}")
    if len(item.reason.strip()) < MIN_REASON_CHARACTERS:
        add_finding(
            "reason",
            f"expected at least {MIN_REASON_CHARACTERS} characters, "
            f"got {len(item.reason.strip())}",
        )
    if not item.author.strip():
        add_finding("author", "empty; expected the person responsible for it")
    if not item.review_on:
        add_finding("review_on", "empty; expected YYYY-MM-DD")
    _check_date(item.review_on, "review_on", section, findings)


def _check_date(text: str, key: str, section: IniSection, findings: Findings) -> None:
    if not text:
        return
    try:
        # fromisoformat also accepts forms such as 2026-W01-1.
        is_valid = date.fromisoformat(text).isoformat() == text
    except ValueError:
        is_valid = False
    if not is_valid:
        message = f"expected YYYY-MM-DD, got {text!r}"
        findings.add(section.get_place(key), "bad_date", message)
