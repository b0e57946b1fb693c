"""Reads and validates the INI settings file of a forwarding node."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Annotated

import anyio
from apricotlift.core import logs
from apricotlift.core.findings import Findings
from apricotlift.core.inifile import build_sections, read_ini, require_sections
from pydantic import BaseModel, ConfigDict, Field

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Seconds = Annotated[float, Field(gt=0, allow_inf_nan=False)]
Milliseconds = Annotated[float, Field(gt=0, allow_inf_nan=False)]


class NodeModel(BaseModel):
    """The section ``[node]``: identity of this node, and how it works with others.

    ``load_sums`` states whether nodes of a fleet that is too large for notes exchange
    sums of the engines' load.
    """

    name: Name
    failure_domain: Annotated[str, Field(min_length=1)]
    load_sums: bool = False
    log_level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"


class ListenModel(BaseModel):
    """The section ``[listen]``; an empty address disables the metrics listener."""

    callers: Address
    readiness: Address
    directory: Address
    peers: Address
    metrics: Address | str = ""


class StoreModel(BaseModel):
    """The section ``[store]``: connection to the platform's store."""

    address: Address
    timeout_s: Seconds = 1.0


class BoundsModel(BaseModel):
    """The section ``[bounds]``: limits from the users' brief, in its units."""

    grace_s: Seconds = 8.0
    order_lease_ms: Milliseconds = 3000.0
    weights_ms: Milliseconds = 8000.0
    configuration_ms: Milliseconds = 2000.0
    drain_ms: Milliseconds = 2000.0
    evacuate_ms: Milliseconds = 5000.0
    cold_overage: Annotated[float, Field(ge=1, allow_inf_nan=False)] = 1.0
    cold_tolerance: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 0.0
    retry_share: Annotated[float, Field(ge=0)] = 0.2
    n_retries: Annotated[float, Field(ge=0)] = 50.0
    directory_ttl_max_s: Seconds = 5.0


class LimitsModel(BaseModel):
    """The section ``[limits]``: what the process may use of its machine.

    A time of 0 means the configuration's idle time of connections. ``link_mbps`` is
    accepted for deployments that state it; nothing uses it yet.
    """

    memory_mb: Annotated[float, Field(gt=0, allow_inf_nan=False)] = 300.0
    processor_share: Annotated[float, Field(gt=0, allow_inf_nan=False)] = 1.0
    processor_speed: Annotated[float, Field(gt=0, allow_inf_nan=False)] = 1.0
    descriptors: Annotated[int, Field(gt=0)] = 4096
    link_mbps: Annotated[float, Field(gt=0, allow_inf_nan=False)] = 1000.0
    body_timeout_s: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 0.0
    response_timeout_s: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 0.0

    @property
    def n_processors(self) -> float:
        """Processors of usual speed that the process may use, as a fraction."""
        return self.processor_share * self.processor_speed


class RegionsModel(BaseModel):
    """The section ``[regions]``: the region of each failure domain."""

    model_config = ConfigDict(extra="allow")
    __pydantic_extra__: dict[str, Name] = Field(init=False)

    def get_region(self, failure_domain: str) -> str | None:
        """Return the region of a failure domain, ``None`` where it isn't known."""
        return (self.__pydantic_extra__ or {}).get(failure_domain)


@dataclass(frozen=True)
class ForwardingSettings:
    """All settings of a node; each attribute holds one section of the file."""

    node: NodeModel
    listen: ListenModel
    store: StoreModel
    bounds: BoundsModel = field(default_factory=BoundsModel)
    limits: LimitsModel = field(default_factory=LimitsModel)
    regions: RegionsModel = field(default_factory=RegionsModel)


_SECTION_MODELS: dict[str, type[BaseModel]] = {
    "node": NodeModel,
    "listen": ListenModel,
    "store": StoreModel,
    "bounds": BoundsModel,
    "limits": LimitsModel,
    "regions": RegionsModel,
}
_REQUIRED_SECTIONS = ("node", "listen", "store")
_FILE_POLL_INTERVAL_S = 1.0


def load_settings(path: str | Path) -> ForwardingSettings:
    """Read and validate a settings file.

    :raises ApricotliftError: ``bad_settings`` with all findings and their line numbers.
    """
    findings = Findings()
    # The platform fills in the file and leaves a key empty if it has no value for it;
    # the default applies then.
    non_empty_sections = [
        replace(
            section,
            values={key: value for key, value in section.values.items() if value},
        )
        for section in read_ini(path, findings)
    ]
    models = build_sections(non_empty_sections, _SECTION_MODELS, findings)
    require_sections(models, _REQUIRED_SECTIONS, path, findings)
    findings.raise_if_any()
    return ForwardingSettings(**models)


@dataclass(frozen=True)
class SettingsFile:
    """A settings file as it was when it was loaded.

    :param content: bytes of the file.
    """

    path: str
    content: bytes
    settings: ForwardingSettings


async def read_settings_file(path: str) -> SettingsFile:
    """Load a settings file together with its content.

    :raises ApricotliftError: ``bad_settings``, also for a file that can't be read.
    """
    try:
        # Read first, so that the watcher detects a change between the two reads.
        content = await anyio.Path(path).read_bytes()
    except OSError:
        content = b""
    return SettingsFile(path, content, load_settings(path))


async def watch_settings(
    settings_file: SettingsFile, reload: Callable[[], None]
) -> None:
    """Call ``reload`` after each change of the settings file, until cancelled.

    :param settings_file: the file, and the content that the current settings were read
        from. If it has changed since then, ``reload`` is called at once.
    :param reload: reads and applies the settings.
    """
    applied_content = settings_file.content
    while True:
        try:
            content = await anyio.Path(settings_file.path).read_bytes()
        except OSError as error:
            logs.log(logs.WARNING, "settings_unreadable", reason=str(error))
        else:
            if content != applied_content:
                applied_content = content
                reload()
        await anyio.sleep(_FILE_POLL_INTERVAL_S)
