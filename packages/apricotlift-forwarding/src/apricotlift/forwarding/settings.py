"""Settings of a forwarding node: an INI file, checked as a whole."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Annotated

import anyio
from apricotlift.core import logs
from apricotlift.core.findings import Findings
from apricotlift.core.inifile import build_sections, read_ini, require_sections
from pydantic import BaseModel, Field

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Seconds = Annotated[float, Field(gt=0, allow_inf_nan=False)]
Milliseconds = Annotated[float, Field(gt=0, allow_inf_nan=False)]


class NodeModel(BaseModel):
    """``[node]``."""

    name: Name
    failure_domain: Annotated[str, Field(min_length=1)]
    log_level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"


class ListenModel(BaseModel):
    """``[listen]``; an empty address means that the listener isn't started."""

    callers: Address
    readiness: Address
    directory: Address
    peers: Address
    metrics: Address | str = ""


class StoreModel(BaseModel):
    """``[store]``: the platform's store."""

    address: Address
    timeout_s: Seconds = 1.0


class BoundsModel(BaseModel):
    """``[bounds]``: what the users ask for, in the units of their settings."""

    grace_s: Seconds = 8.0
    order_lease_ms: Milliseconds = 3000.0
    weights_ms: Milliseconds = 8000.0
    retry_share: Annotated[float, Field(ge=0)] = 0.2
    n_retries: Annotated[float, Field(ge=0)] = 50.0
    directory_ttl_max_s: Seconds = 5.0


@dataclass(frozen=True)
class ForwardingSettings:
    """All settings of a node; each attribute is one section."""

    node: NodeModel
    listen: ListenModel
    store: StoreModel
    bounds: BoundsModel = field(default_factory=BoundsModel)


_SECTIONS: dict[str, type[BaseModel]] = {
    "node": NodeModel,
    "listen": ListenModel,
    "store": StoreModel,
    "bounds": BoundsModel,
}
_REQUIRED = ("node", "listen", "store")
_POLL_S = 1.0


def load_settings(path: str | Path) -> ForwardingSettings:
    """Read and check a settings file.

    :raises ApricotliftError: ``bad_settings`` with all findings and their places.
    """
    findings = Findings()
    # A key without a value stands for a value that the platform doesn't have.
    sections = [
        replace(section, values={k: text for k, text in section.values.items() if text})
        for section in read_ini(path, findings)
    ]
    built = build_sections(sections, _SECTIONS, findings)
    require_sections(built, _REQUIRED, path, findings)
    findings.raise_if_any()
    return ForwardingSettings(**built)


async def watch_settings(
    path: str | Path, known: bytes, reload: Callable[[], None]
) -> None:
    """Call ``reload`` after each change of the file, for ever.

    :param known: content that is in force; a change since it was read counts too.
    """
    while True:
        try:
            content = await anyio.Path(path).read_bytes()
        except OSError as error:
            logs.log(logs.WARNING, "settings_unreadable", reason=str(error))
        else:
            if content != known:
                known = content
                reload()
        await anyio.sleep(_POLL_S)
