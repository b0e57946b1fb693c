"""Settings of the command line, read from an INI file and validated as a whole."""

import ssl
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.findings import Findings
from apricotlift.core.inifile import build_sections, read_ini
from apricotlift.state.sections import check_address
from pydantic import BaseModel, Field

Seconds = Annotated[float, Field(gt=0, allow_inf_nan=False)]
Url = Annotated[str, Field(pattern=r"^https?://[^/\s]+(/\S*)?$")]


class PlatformModel(BaseModel):
    """``[platform]``."""

    table_url: Literal[""] | Url = ""
    table_name: str = "apricotlift"
    objects_url: Literal[""] | Url = ""
    authorization: str = ""
    timeout_s: Seconds = 2.0


class OperatorModel(BaseModel):
    """``[operator]``."""

    name: str = ""
    key_file: str = ""


class NodeModel(BaseModel):
    """``[node]``: the admin listener to which commands are sent."""

    admin: str = ""
    tls: bool = False
    timeout_s: Seconds = 5.0


class TlsModel(BaseModel):
    """``[tls]``; by default the system's certificate authorities are trusted."""

    ca: str = ""


@dataclass(frozen=True)
class ControlSettings:
    """All settings; each attribute except ``file`` is one section."""

    file: str
    platform: PlatformModel = field(default_factory=PlatformModel)
    operator: OperatorModel = field(default_factory=OperatorModel)
    node: NodeModel = field(default_factory=NodeModel)
    tls: TlsModel = field(default_factory=TlsModel)


_SECTIONS: dict[str, type[BaseModel]] = {
    "platform": PlatformModel,
    "operator": OperatorModel,
    "node": NodeModel,
    "tls": TlsModel,
}


def load_settings(path: str | Path) -> ControlSettings:
    """Read and check a settings file.

    :raises ApricotliftError: ``bad_settings`` with all findings and their places.
    """
    findings = Findings()
    sections = {section.name: section for section in read_ini(path, findings)}
    built = build_sections(sections.values(), _SECTIONS, findings)
    node = built.get("node")
    if isinstance(node, NodeModel) and node.admin:
        check_address(node.admin, sections["node"], findings, "admin")
    findings.raise_if_any()
    return ControlSettings(str(path), **built)


def require(settings: ControlSettings, section: str, *keys: str) -> None:
    """Raise unless the settings have the keys that a command needs.

    :raises ApricotliftError: ``bad_settings``.
    """
    model = getattr(settings, section)
    for key in keys:
        if not getattr(model, key):
            message = f"{settings.file}: [{section}] {key} is required for this command"
            raise ApricotliftError(Code.BAD_SETTINGS, message)


def read_operator_key(settings: ControlSettings) -> str:
    """Return the operator's key; the file's path is relative to the settings file.

    :raises ApricotliftError: ``bad_settings`` if it can't be read.
    """
    require(settings, "operator", "key_file")
    path = Path(settings.file).parent / settings.operator.key_file
    try:
        key = path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        message = f"{settings.file}: [operator] key_file: {path} can't be read: {error}"
        raise ApricotliftError(Code.BAD_SETTINGS, message) from error
    if not key or not key.isascii() or not key.isprintable():
        message = f"{settings.file}: [operator] key_file: {path} holds no printable key"
        raise ApricotliftError(Code.BAD_SETTINGS, message)
    return key


def build_client_context(settings: ControlSettings) -> ssl.SSLContext | None:
    """Return the TLS context for ``https`` addresses, or ``None`` for the default.

    :raises ApricotliftError: ``bad_settings`` if the file can't be used.
    """
    if not settings.tls.ca:
        return None
    path = Path(settings.file).parent / settings.tls.ca
    try:
        context = ssl.create_default_context(cafile=path)
    except (OSError, ssl.SSLError) as error:
        message = f"{settings.file}: [tls] ca: {path} can't be used: {error}"
        raise ApricotliftError(Code.BAD_SETTINGS, message) from error
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context
