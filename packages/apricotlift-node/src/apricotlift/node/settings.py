"""Settings of a node, read from an INI file and validated together."""

import ipaddress
import ssl
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

from apricotlift.core.findings import Findings
from apricotlift.core.inifile import (
    IniSection,
    build_sections,
    read_ini,
    require_sections,
)
from apricotlift.policy.routing import POLICIES
from pydantic import AfterValidator, BaseModel, Field


def _check_listen_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 <= int(port) < 65536:
        raise ValueError(f"port must be from 0 to 65535, got {port}")
    return value


Address = Annotated[str, AfterValidator(_check_listen_address)]
Seconds = Annotated[float, Field(gt=0, allow_inf_nan=False)]
Bytes = Annotated[int, Field(gt=0)]


class NodeModel(BaseModel):
    """Section ``[node]``: identity and logging of the node."""

    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
    failure_domain: Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,63}$")]
    log_level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"


class ListenModel(BaseModel):
    """Section ``[listen]``: addresses that the listeners bind."""

    callers: Address = "127.0.0.1:0"
    admin: Address = "127.0.0.1:0"
    peers: Address = "127.0.0.1:0"


class AdvertiseModel(BaseModel):
    """Section ``[advertise]``: published addresses; empty means the bound one."""

    callers: str = ""
    peers: str = ""


Url = Annotated[str, Field(pattern=r"^https?://")]


class PlatformModel(BaseModel):
    """Section ``[platform]``: addresses of the platform services."""

    table_url: Url
    table_name: str = "apricotlift"
    objects_url: Url
    livelist_url: str = ""
    authorization: str = ""
    timeout_s: Seconds = 0.8


class ClusterModel(BaseModel):
    """Section ``[cluster]``: the secret that the nodes share."""

    secret: Annotated[str, Field(min_length=16)]


class BorderModel(BaseModel):
    """Section ``[border]``: limits on callers' requests."""

    max_body_bytes: Bytes = 4_194_304
    max_headers: Annotated[int, Field(gt=0)] = 64
    max_header_bytes: Bytes = 16_384
    header_timeout_s: Seconds = 10.0
    body_timeout_s: Seconds = 10.0
    response_timeout_s: Seconds = 30.0
    idle_timeout_s: Seconds = 75.0


class LimitsModel(BaseModel):
    """Section ``[limits]``: what the process may use of its machine.

    The default of ``memory_mb`` gives a budget of 64 MiB.
    """

    memory_mb: Annotated[float, Field(gt=0, allow_inf_nan=False)] = 536.9
    descriptors: Annotated[int, Field(gt=0)] = 4096


class StopModel(BaseModel):
    """Section ``[stop]``: times of a graceful stop.

    A ``deadline_s`` of 0 means no deadline. A negative ``linger_s`` means the maximum
    age of callers' instance lists plus the time within which ``draining`` reaches
    every node.
    """

    linger_s: float = -1.0
    deadline_s: Annotated[float, Field(ge=0)] = 0.0


class TlsModel(BaseModel):
    """Section ``[tls]``: certificate and CA files; empty means plain TCP."""

    certificate: str = ""
    private_key: str = ""
    upstream_ca: str = ""
    peer_ca: str = ""


def _check_policy(value: str) -> str:
    if value not in POLICIES:
        raise ValueError(f"expected one of {', '.join(POLICIES)}, got {value!r}")
    return value


class RoutingModel(BaseModel):
    """Section ``[routing]``; non-default policies exist for comparisons."""

    policy: Annotated[str, AfterValidator(_check_policy)] = "choose_upstream"


class StreamsModel(BaseModel):
    """Section ``[streams]``: retention and time-outs of engine streams."""

    retention_s: Seconds = 120.0
    first_token_timeout_s: Seconds = 120.0
    token_timeout_s: Seconds = 10.0


@dataclass(frozen=True)
class NodeSettings:
    """All settings of a node, one attribute for each section."""

    node: NodeModel
    cluster: ClusterModel
    platform: PlatformModel
    listen: ListenModel = field(default_factory=ListenModel)
    advertise: AdvertiseModel = field(default_factory=AdvertiseModel)
    border: BorderModel = field(default_factory=BorderModel)
    limits: LimitsModel = field(default_factory=LimitsModel)
    stop: StopModel = field(default_factory=StopModel)
    tls: TlsModel = field(default_factory=TlsModel)
    streams: StreamsModel = field(default_factory=StreamsModel)
    routing: RoutingModel = field(default_factory=RoutingModel)


_SECTIONS: dict[str, type[BaseModel]] = {
    "node": NodeModel,
    "cluster": ClusterModel,
    "listen": ListenModel,
    "advertise": AdvertiseModel,
    "platform": PlatformModel,
    "border": BorderModel,
    "limits": LimitsModel,
    "stop": StopModel,
    "tls": TlsModel,
    "streams": StreamsModel,
    "routing": RoutingModel,
}
_REQUIRED = ("node", "cluster", "platform")


def load_settings(path: str | Path) -> NodeSettings:
    """Read and validate a settings file.

    :raises ApricotliftError: ``bad_settings`` with all findings and their places.
    """
    findings = Findings()
    sections = {section.name: section for section in read_ini(path, findings)}
    section_models = build_sections(sections.values(), _SECTIONS, findings)
    require_sections(section_models, _REQUIRED, path, findings)
    _check_tls_files(section_models, sections, findings)
    findings.raise_if_any()
    return NodeSettings(**section_models)


def _check_tls_files(
    section_models: dict[str, BaseModel],
    sections: dict[str, IniSection],
    findings: Findings,
) -> None:
    tls = section_models.get("tls", TlsModel())
    if bool(tls.certificate) != bool(tls.private_key):
        place = sections["tls"].get_place()
        findings.add(
            place, "missing", "certificate and private_key must be given together"
        )


def build_server_context(tls: TlsModel) -> ssl.SSLContext | None:
    """Return the TLS context of listeners, or ``None`` for plain TCP."""
    if not tls.certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.private_key)
    return context


def build_client_context(ca_file: str) -> ssl.SSLContext | None:
    """Return a TLS context that trusts a CA file, or ``None`` without a file."""
    if not ca_file:
        return None
    context = ssl.create_default_context(cafile=ca_file)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context
