"""Changes between versions of the declarations, and the rules that they must follow."""

from dataclasses import asdict, dataclass, fields

from apricotlift.core.errors import Code
from apricotlift.core.findings import Findings, Place
from apricotlift.state.checks import WEIGHT_VERSION_PREFIX
from apricotlift.state.declarations import SECTION_KINDS, Declarations, build_slot

Scalar = str | int | float | bool | tuple[str, ...]


@dataclass(frozen=True)
class Change:
    """One changed field, or one section that was added or removed.

    :param kind: the kind of the section, for example ``account``.
    :param name: the section's name, empty for ``fleet``.
    :param field: the key; empty where the whole section was added or removed.
    :param before: the value before, or all values of a removed section.
    :param after: the value after, or all values of an added section.
    """

    kind: str
    name: str
    field: str
    before: Scalar | dict[str, Scalar] | None
    after: Scalar | dict[str, Scalar] | None

    def __str__(self) -> str:
        section = f"[{self.kind} {self.name}]" if self.name else f"[{self.kind}]"
        if self.field:
            before, after = _format_value(self.before), _format_value(self.after)
            return f"{section} {self.field}: {before} -> {after}"
        return f"{section} {'removed' if self.after is None else 'added'}"


@dataclass(frozen=True)
class RetiredNames:
    """Names whose reuse in later versions is restricted.

    :param slots: slots that were removed; no later version may declare them again.
    :param upstreams: name and kind of each removed upstream; a later version may
        declare the name again only with the same kind.
    """

    slots: frozenset[str] = frozenset()
    upstreams: tuple[tuple[str, str], ...] = ()


def compare_declarations(old: Declarations, new: Declarations) -> list[Change]:
    """Return the changes, in the order of kind and name.

    >>> from apricotlift.state.declarations import Account
    >>> old = Declarations(accounts={"a": Account("a", models=("wax",))})
    >>> new = Declarations(accounts={"a": Account("a", models=("wax", "ink"))})
    >>> [str(change) for change in compare_declarations(old, new)]
    ['[account a] models: wax -> wax, ink']
    """
    changes = _compare_fields("fleet", "", old.fleet, new.fleet)
    for attribute, (_, word) in SECTION_KINDS.items():
        before, after = getattr(old, attribute), getattr(new, attribute)
        for name in sorted(before.keys() | after.keys()):
            if name not in after:
                values = _get_values(before[name])
                changes.append(Change(word, name, "", values, None))
            elif name not in before:
                values = _get_values(after[name])
                changes.append(Change(word, name, "", None, values))
            else:
                changes += _compare_fields(word, name, before[name], after[name])
    return changes


def list_declared_slots(declarations: Declarations) -> set[str]:
    """Return the slots of all models: current, previous and exceptions' versions."""
    slots = set()
    for model in declarations.models.values():
        versions = {model.weight_version, model.previous_version} - {""}
        wanted = f"{WEIGHT_VERSION_PREFIX}{model.name}"
        for item in declarations.exceptions.values():
            if item.setting == wanted:
                versions.add(item.value)
        slots |= {build_slot(model, version) for version in versions}
    return slots


def find_retired(old: Declarations, new: Declarations) -> RetiredNames:
    """Return the names that this change retires."""
    upstreams = tuple(
        (name, upstream.kind)
        for name, upstream in sorted(old.upstreams.items())
        if name not in new.upstreams
    )
    slots = list_declared_slots(old) - list_declared_slots(new)
    return RetiredNames(frozenset(slots), upstreams)


def check_change(old: Declarations, new: Declarations, retired: RetiredNames) -> None:
    """Check the rules between versions.

    A delayed order to unload a slot may arrive long after the slot was retired, so a
    retired slot must not be declared again. Orders and fencing numbers are stored by
    the name of the upstream, so a name must keep its kind.

    :param retired: the names retired by all versions up to ``old``.
    :raises ApricotliftError: ``bad_declarations`` with all findings.
    """
    findings = Findings()
    for slot in sorted(list_declared_slots(new) & retired.slots):
        model = slot.partition("@")[0]
        message = (
            f"slot {slot!r} was retired and can't be declared again; "
            "give the weights a new version name"
        )
        findings.add(_build_place("model", model), "retired_weight_version", message)
    kinds = dict(retired.upstreams)
    kinds.update((item.name, item.kind) for item in old.upstreams.values())
    for upstream in new.upstreams.values():
        kind = kinds.get(upstream.name, upstream.kind)
        if kind != upstream.kind:
            message = (
                f"upstream {upstream.name!r} was declared with kind {kind!r}, "
                f"got {upstream.kind!r}; choose a new name"
            )
            place = _build_place("upstream", upstream.name, "kind")
            findings.add(place, "upstream_name_reused", message)
    findings.raise_if_any(Code.BAD_DECLARATIONS)


def _build_place(kind: str, name: str, key: str = "") -> Place:
    return Place("declarations", 0, f"{kind} {name}", key)


def _get_values(item: object) -> dict[str, Scalar]:
    values = asdict(item)
    values.pop("name")
    return values


def _compare_fields(kind: str, name: str, old: object, new: object) -> list[Change]:
    changes = []
    for item in fields(new):
        before, after = getattr(old, item.name), getattr(new, item.name)
        if before != after:
            changes.append(Change(kind, name, item.name, before, after))
    return changes


def _format_value(value: object) -> str:
    if isinstance(value, tuple):
        return ", ".join(value) or "(none)"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "(empty)" if value == "" else str(value)
