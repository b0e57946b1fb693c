"""Implements the commands, without reading arguments and printing results."""

from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass
from datetime import UTC, date, datetime

from apricotlift.control.settings import (
    ControlSettings,
    build_client_context,
    require,
)
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.platform import ObjectStore, Table
from apricotlift.state.acceptance import Acceptance, wait_for_acceptance
from apricotlift.state.changes import Change, check_change, compare_declarations
from apricotlift.state.configuration import (
    CommitResult,
    ConfigurationHead,
    HistoryEntry,
    Proposal,
    apply_change,
    read_declarations,
    read_head,
    read_history,
    read_history_entry,
    read_retired_names,
)
from apricotlift.state.declarations import (
    SECTION_KINDS,
    Declarations,
    load_declarations,
)
from apricotlift.upstreams.pool import Pool


@dataclass(frozen=True)
class Platform:
    """Clients of the table service and the object store."""

    table: Table
    objects: ObjectStore
    metrics: Metrics


@dataclass(frozen=True)
class Difference:
    """The changes between the newest version and given declarations.

    :param head: the newest version.
    :param changes: what differs in the given declarations.
    """

    head: ConfigurationHead
    changes: list[Change]


@dataclass(frozen=True)
class ExceptionReport:
    """One exception with what an insurer has to know about it.

    :param fleet_value: the value that would apply without the exception.
    :param is_overdue: whether the review date has passed.
    """

    name: str
    applies_to: str
    setting: str
    fleet_value: str
    value: str
    reason: str
    author: str
    review_on: str
    is_overdue: bool


@asynccontextmanager
async def open_platform(settings: ControlSettings) -> AsyncIterator[Platform]:
    """Return clients of the platform that the settings name."""
    require(settings, "platform", "table_url", "objects_url")
    platform = settings.platform
    async with Pool(build_client_context(settings)) as pool:
        metrics = Metrics()
        client_options = (platform.timeout_s, platform.authorization)
        table = Table(
            platform.table_url, platform.table_name, pool, metrics, *client_options
        )
        yield Platform(
            table, ObjectStore(platform.objects_url, pool, *client_options), metrics
        )


async def compare_with_head(
    settings: ControlSettings, paths: Sequence[str]
) -> Difference:
    """Compare files with the newest version and check that the change is permitted."""
    new = load_declarations(paths)
    async with open_platform(settings) as platform:
        head = await read_head(platform.table)
        old = await read_declarations(platform.objects, head)
        check_change(old, new, await read_retired_names(platform.table))
    return Difference(head, compare_declarations(old, new))


async def commit(settings: ControlSettings, proposal: Proposal) -> CommitResult:
    """Commit a proposed change as the next version."""
    async with open_platform(settings) as platform:
        return await apply_change(
            platform.table, platform.objects, platform.metrics, proposal
        )


async def wait_until_accepted(
    settings: ControlSettings,
    version: int,
    timeout_s: float,
    report: Callable[[Acceptance], None],
) -> Acceptance:
    """Wait until a version is accepted or the time limit has passed.

    :param timeout_s: time limit in seconds.
    :param report: receives intermediate states.
    """
    async with open_platform(settings) as platform:
        return await wait_for_acceptance(platform.table, version, timeout_s, report)


async def list_history(settings: ControlSettings, n_entries: int) -> list[HistoryEntry]:
    """Return the newest history entries."""
    async with open_platform(settings) as platform:
        return await read_history(platform.table, n_entries)


async def read_version(
    settings: ControlSettings, version: int
) -> tuple[ConfigurationHead, Declarations]:
    """Return a version and its declarations.

    :param version: 0 for the newest.
    :raises ApricotliftError: ``no_config`` where there is no such version.
    """
    async with open_platform(settings) as platform:
        head = await read_head(platform.table)
        if version:
            entry = await read_history_entry(platform.table, version)
            if entry is None:
                message = f"no version {version}; the newest is {head.version}"
                raise ApricotliftError(Code.NO_CONFIG, message)
            head = ConfigurationHead(entry.version, entry.digest)
        return head, await read_declarations(platform.objects, head)


def report_exceptions(
    declarations: Declarations, today: date | None = None
) -> list[ExceptionReport]:
    """Return the exceptions by review date, so that overdue ones come first."""
    today = today or datetime.now(UTC).date()
    reports = []
    for item in declarations.exceptions.values():
        if item.setting.startswith("weight_version."):
            model = declarations.models[item.setting.partition(".")[2]]
            fleet_value = model.weight_version
        else:
            fleet_value = str(getattr(declarations.fleet, item.setting))
        is_overdue = date.fromisoformat(item.review_on) < today
        report = ExceptionReport(
            fleet_value=fleet_value, is_overdue=is_overdue, **asdict(item)
        )
        reports.append(report)
    return sorted(reports, key=lambda item: (item.review_on, item.name))


def count_sections(declarations: Declarations) -> dict[str, int]:
    """Return the number of sections of each kind."""
    return {name: len(getattr(declarations, name)) for name in SECTION_KINDS}
