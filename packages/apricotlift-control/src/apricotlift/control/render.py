"""Formats results as text or JSON."""

import json
from collections.abc import Sequence
from dataclasses import asdict, fields, is_dataclass
from datetime import UTC, datetime

from apricotlift.control.commands import ExceptionReport
from apricotlift.state.acceptance import Acceptance
from apricotlift.state.changes import Change
from apricotlift.state.configuration import HistoryEntry
from apricotlift.state.declarations import SECTION_KINDS, Declarations


def render_json(data: object) -> str:
    """Return JSON with sorted keys; data classes become objects."""
    return json.dumps(data, indent=2, sort_keys=True, default=_encode)


def _encode(item: object) -> object:
    if is_dataclass(item) and not isinstance(item, type):
        return asdict(item)
    return str(item)


def render_changes(changes: Sequence[Change]) -> str:
    """Return one line for each change."""
    return "\n".join(str(change) for change in changes) or "no changes"


def render_history(entries: Sequence[HistoryEntry]) -> str:
    """Return the entries, each with its changes below it."""
    blocks = []
    for entry in entries:
        when = datetime.fromtimestamp(entry.at_ms / 1000, UTC)
        time = when.isoformat(sep=" ", timespec="seconds")
        lines = [f"version {entry.version}  {time}  {entry.author}: {entry.message}"]
        lines += [f"    {change}" for change in entry.summary]
        n_more = entry.n_changes - len(entry.summary)
        if n_more > 0:
            lines.append(f"    and {n_more} more changes")
        blocks.append("\n".join(lines))
    return "\n".join(blocks) or "no version has been applied yet"


def render_declarations(declarations: Declarations) -> str:
    """Return one INI text that has the same declarations.

    >>> from apricotlift.state.declarations import Model
    >>> print(render_declarations(Declarations(models={"wax": Model("wax", "v1")})))
    ... # doctest: +ELLIPSIS
    [fleet]
    w_ttft = 1.0
    ...
    [model wax]
    weight_version = v1
    """
    sections = [_render_section("fleet", declarations.fleet)]
    for attribute, (_, word) in SECTION_KINDS.items():
        for name, item in sorted(getattr(declarations, attribute).items()):
            sections.append(_render_section(f"{word} {name}", item))
    return "\n\n".join(sections)


def _render_section(title: str, item: object) -> str:
    lines = [f"[{title}]"]
    for entry in fields(item):
        value = getattr(item, entry.name)
        if entry.name == "name" or value in ("", ()):
            continue
        if isinstance(value, bool):
            value = "yes" if value else "no"
        elif isinstance(value, tuple):
            value = ", ".join(value)
        # A continuation line of an INI value starts with a blank.
        lines.append(f"{entry.name} = {value}".replace("\n", "\n    "))
    return "\n".join(lines)


def render_exceptions(reports: Sequence[ExceptionReport], version: str) -> str:
    """Return the exceptions as a report for an insurer.

    :param version: the version or files that the declarations come from.
    """
    n_overdue = sum(report.is_overdue for report in reports)
    heading = f"Exceptions in {version}: {len(reports)}, {n_overdue} past their review"
    blocks = [heading]
    for report in reports:
        mark = "  (REVIEW OVERDUE)" if report.is_overdue else ""
        reason = " ".join(report.reason.split())
        blocks.append(
            f"{report.name}: {report.applies_to}\n"
            f"    setting:         {report.setting}\n"
            f"    fleet value:     {report.fleet_value}\n"
            f"    deviating value: {report.value}\n"
            f"    reason:          {reason}\n"
            f"    author:          {report.author}\n"
            f"    review on:       {report.review_on}{mark}"
        )
    return "\n\n".join(blocks)


def render_acceptance(acceptance: Acceptance) -> str:
    """Return whether a version is accepted, and which members it waits for."""
    counts = f"{acceptance.n_confirmed} of {acceptance.n_members} members confirm it"
    version = f"version {acceptance.version}"
    if acceptance.accepted:
        text = f"{version} is accepted: {counts}"
        if acceptance.expired:
            text += f"; expired leases: {', '.join(acceptance.expired)}"
        return text
    lines = [f"{version} is committed, not yet accepted: {counts}"]
    if acceptance.problem:
        lines.append(f"    {acceptance.problem}")
    for member in acceptance.waiting:
        lines.append(
            f"    waiting for {member.node_id} ({member.failure_domain}): "
            f"{member.reason} ({member.confirmed_version})"
        )
    if acceptance.expired:
        lines.append(f"    expired leases: {', '.join(acceptance.expired)}")
    return "\n".join(lines)


def render_fields(data: object, indent: str = "") -> str:
    """Return any JSON data as indented lines.

    All fields are shown in the order in which the node sent them, including those that
    this release doesn't know.

    >>> print(render_fields({"state": "serving", "peers": [{"id": "n1"}], "x": []}))
    state: serving
    peers:
      - id: n1
    x: (none)
    """
    lines = []
    if isinstance(data, dict):
        for key, value in data.items():
            if isinstance(value, dict | list) and value:
                lines.append(f"{indent}{key}:")
                lines.append(render_fields(value, indent + "  "))
            else:
                lines.append(f"{indent}{key}: {_render_scalar(value)}")
    elif isinstance(data, list):
        for value in data:
            text = render_fields(value, indent + "  ")
            lines.append(f"{indent}- {text[len(indent) + 2 :]}")
    else:
        lines.append(f"{indent}{_render_scalar(data)}")
    return "\n".join(lines)


def _render_scalar(value: object) -> str:
    if value in ({}, [], "", None):
        return "(none)"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
