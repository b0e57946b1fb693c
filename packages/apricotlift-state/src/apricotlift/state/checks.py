"""Checks between the sections of the declarations."""

from datetime import date

from apricotlift.core.findings import Findings
from apricotlift.core.inifile import IniSection
from apricotlift.state.kinds import Declarations, Fleet, FleetException
from apricotlift.state.sections import FleetModel, check_address, check_name
from pydantic import ValidationError

MIN_REASON_CHARACTERS = 10

#: Prefix of an exception's setting that pins an account to a weight version.
WEIGHT_VERSION_PREFIX = "weight_version."

#: Sections by their kind and title.
Places = dict[tuple[str, str], IniSection]


def check_between_sections(
    declarations: Declarations, places: Places, findings: Findings
) -> None:
    """Add a finding for each reference to something that isn't declared.

    :param declarations: the sections that are valid by themselves.
    :param places: where each section stands, invalid ones included: a reference to
        an invalid section is no second fault.
    :param findings: receives the faults.
    """
    _check_accounts(declarations, places, findings)
    _check_upstreams(declarations, places, findings)
    services = _list_services(places)
    for rule in declarations.rules.values():
        if rule.service not in services:
            place = places["rule", rule.name].get_place("service")
            findings.add(place, "bad_reference", f"no service {rule.service!r}")
    seen: dict[tuple[str, str], str] = {}
    for item in declarations.exceptions.values():
        section = places["exception", item.name]
        _check_exception(item, places, findings)
        first = seen.setdefault((item.applies_to, item.setting), item.name)
        if first != item.name:
            message = f"exception {first!r} sets the same setting"
            findings.add(section.get_place("setting"), "bad_exception", message)


def _list_services(places: Places) -> set[str]:
    names = set()
    for (kind, _), section in places.items():
        if kind == "upstream" and section.values.get("service"):
            names.add(section.values["service"])
    return names


def _check_accounts(
    declarations: Declarations, places: Places, findings: Findings
) -> None:
    services = _list_services(places)
    hashes: dict[str, str] = {}
    for kind, items in (
        ("key", declarations.keys),
        ("operator", declarations.operators),
    ):
        for item in items.values():
            section = places[kind, item.name]
            _check_day(item.not_after, "not_after", section, findings)
            first = hashes.setdefault(item.sha256, f"{kind} {item.name}")
            if first != f"{kind} {item.name}":
                message = f"[{first}] has the same SHA-256"
                findings.add(section.get_place("sha256"), "duplicate", message)
    for key in declarations.keys.values():
        if ("account", key.account) not in places:
            place = places["key", key.name].get_place("account")
            findings.add(place, "bad_reference", f"no account {key.account!r}")
    for account in declarations.accounts.values():
        section = places["account", account.name]
        for name in account.models:
            if ("model", name) not in places:
                message = f"no model {name!r}"
                findings.add(section.get_place("models"), "bad_reference", message)
        for name in account.services:
            if name not in services:
                message = f"no service {name!r}"
                findings.add(section.get_place("services"), "bad_reference", message)


def _check_upstreams(
    declarations: Declarations, places: Places, findings: Findings
) -> None:
    for upstream in declarations.upstreams.values():
        section = places["upstream", upstream.name]
        check_address(upstream.address, section, findings)
        for name in upstream.models:
            if ("model", name) not in places:
                message = f"no model {name!r}"
                findings.add(section.get_place("models"), "bad_reference", message)
        if upstream.kind == "service" and not upstream.service:
            message = "a service upstream needs a service name"
            findings.add(section.get_place("service"), "bad_reference", message)
        unused = "models" if upstream.kind == "service" else "service"
        if getattr(upstream, unused):
            message = f"{unused!r} has no meaning for kind {upstream.kind!r}"
            findings.add(section.get_place(unused), "bad_reference", message)
    for store in declarations.stores.values():
        check_address(store.address, places["store", store.name], findings)


def _check_exception(item: FleetException, places: Places, findings: Findings) -> None:
    section = places["exception", item.name]

    def refuse(key: str, message: str) -> None:
        findings.add(section.get_place(key), "bad_exception", message)

    kind, _, title = item.applies_to.partition(" ")
    if kind != "account" or ("account", title) not in places:
        message = (
            f"expected 'account NAME' of a declared account, got {item.applies_to!r}"
        )
        refuse("applies_to", message)
    if item.setting.startswith(WEIGHT_VERSION_PREFIX):
        model = item.setting.removeprefix(WEIGHT_VERSION_PREFIX)
        if ("model", model) not in places:
            refuse("setting", f"no model {model!r}")
        if not check_name(item.value):
            refuse("value", f"expected a weight version, got {item.value!r}")
    elif item.setting not in Fleet.__dataclass_fields__:
        refuse("setting", f"no fleet setting {item.setting!r}")
    else:
        try:
            # Requests convert the value with the plain type, which takes fewer forms
            # than the model does.
            type(getattr(Fleet(), item.setting))(item.value)
            FleetModel.model_validate({item.setting: item.value})
        except ValidationError as error:
            refuse("value", f"{error.errors()[0]['msg']}, got {item.value!r}")
        except ValueError:
            refuse("value", f"expected a number, got {item.value!r}")
    if len(item.reason.strip()) < MIN_REASON_CHARACTERS:
        refuse("reason", f"fewer than {MIN_REASON_CHARACTERS} characters")
    if not item.author.strip():
        refuse("author", "empty; the person who answers for the exception")
    if not item.review_on:
        refuse("review_on", "empty; expected YYYY-MM-DD")
    _check_day(item.review_on, "review_on", section, findings)


def _check_day(text: str, key: str, section: IniSection, findings: Findings) -> None:
    if not text:
        return
    try:
        # fromisoformat also reads forms such as 2026-W01-1.
        valid = date.fromisoformat(text).isoformat() == text
    except ValueError:
        valid = False
    if not valid:
        message = f"expected YYYY-MM-DD, got {text!r}"
        findings.add(section.get_place(key), "bad_date", message)
