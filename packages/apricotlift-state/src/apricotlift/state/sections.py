"""Pydantic models that validate the sections of declaration files."""

import ipaddress
import re
from typing import Annotated, Literal

from apricotlift.core.findings import Findings
from apricotlift.core.inifile import IniSection, split_list
from pydantic import BaseModel, BeforeValidator, Field

_NAME = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
_PORT = re.compile(r"[0-9]{1,5}")

Name = Annotated[str, Field(pattern=_NAME)]
Names = Annotated[tuple[Name, ...], BeforeValidator(split_list)]
Sha256 = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
PositiveFloat = Annotated[float, Field(gt=0, allow_inf_nan=False)]
NonNegativeFloat = Annotated[float, Field(ge=0, allow_inf_nan=False)]
PositiveInt = Annotated[int, Field(ge=1)]
Day = Annotated[str, Field(pattern=r"^(\d{4}-\d{2}-\d{2})?$")]


class FleetModel(BaseModel):
    """``[fleet]``."""

    w_ttft: NonNegativeFloat = 1.0
    w_recompute: NonNegativeFloat = 0.0002
    w_link: NonNegativeFloat = 1e-10
    piece_bytes: Annotated[int, Field(ge=256, le=1_000_000)] = 4000
    kv_bytes_per_token: PositiveInt = 131072
    max_in_flight: PositiveInt = 64
    rate_per_s: PositiveFloat = 50.0
    burst: PositiveInt = 100
    consumer_max_in_flight: PositiveInt = 64
    consumer_rate_per_s: PositiveFloat = 50.0
    consumer_burst: PositiveInt = 100
    n_named_instances: PositiveInt = 3
    address_max_age_s: PositiveFloat = 30.0
    default_deadline_ms: PositiveInt = 600_000
    max_retained_kv_copies: Annotated[int, Field(ge=1, le=2)] = 2
    max_weight_loads: PositiveInt = 2


class AccountModel(BaseModel):
    """``[account NAME]``."""

    name: Name
    models: Names = ()
    services: Names = ()


class KeyModel(BaseModel):
    """``[key NAME]``."""

    name: Name
    sha256: Sha256
    account: Name
    consumer: Name = "default"
    not_after: Day = ""


class OperatorModel(BaseModel):
    """``[operator NAME]``."""

    name: Name
    sha256: Sha256
    not_after: Day = ""


class ModelModel(BaseModel):
    """``[model NAME]``."""

    name: Name
    weight_version: Name
    previous_version: Literal[""] | Name = ""
    adapter: Literal[""] | Name = ""


class UpstreamModel(BaseModel):
    """``[upstream NAME]``."""

    name: Name
    kind: Literal["engine", "service"]
    address: str
    failure_domain: Name
    models: Names = ()
    service: Literal[""] | Name = ""
    role: Literal["mixed", "prefill", "decode"] = "mixed"
    fencing: Literal["checked", "ignored"] = "ignored"
    drain: bool = False
    max_in_flight: PositiveInt = 64
    prefill_tokens_per_s: PositiveFloat = 8000.0
    tls: bool = False


class StoreModel(BaseModel):
    """``[store NAME]``."""

    name: Name
    address: str
    failure_domain: Name
    link_bytes_per_s: PositiveFloat = 1.25e9
    link_latency_s: NonNegativeFloat = 0.002
    tls: bool = False


class RuleModel(BaseModel):
    """``[rule NAME]``."""

    name: Name
    service: Name
    method: Literal["*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    path: Annotated[str, Field(pattern=r"^/")]
    repeat: Literal["never", "safe"]


class ExceptionModel(BaseModel):
    """``[exception NAME]``."""

    name: Name
    applies_to: str
    setting: str
    value: str
    reason: str
    author: str
    review_on: str


MODELS: dict[str, type[BaseModel]] = {
    "fleet": FleetModel,
    "account": AccountModel,
    "key": KeyModel,
    "operator": OperatorModel,
    "model": ModelModel,
    "upstream": UpstreamModel,
    "store": StoreModel,
    "rule": RuleModel,
    "exception": ExceptionModel,
}


def is_valid_name(text: str) -> bool:
    """Return whether a text is a valid name of a section or a weight version.

    >>> is_valid_name("2026-11"), is_valid_name("a b")
    (True, False)
    """
    return re.fullmatch(_NAME, text) is not None


def check_address(
    address: str, section: IniSection, findings: Findings, key: str = "address"
) -> None:
    """Add a finding unless the address is an IP address with a port.

    :param key: the key of the section that holds the address.
    """
    host, _, port = address.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    try:
        ipaddress.ip_address(host)
        is_valid = _PORT.fullmatch(port) is not None and 0 < int(port) < 65536
    except ValueError:
        is_valid = False
    if not is_valid:
        message = f"expected IP:PORT, got {address!r}"
        findings.add(section.get_place(key), "bad_address", message)
