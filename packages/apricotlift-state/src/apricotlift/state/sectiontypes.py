"""Data classes of the declarations: one for each kind of section."""

import re
from dataclasses import dataclass, field

from apricotlift.core.errors import ApricotliftError, Code


@dataclass(frozen=True)
class Fleet:
    """Defaults of the whole fleet.

    The three ``w_`` weights are the costs of a second of time to first token (TTFT),
    of a recomputed token and of a byte on a store's link. Only their ratios matter.
    """

    w_ttft: float = 1.0
    w_recompute: float = 0.0002
    w_link: float = 1e-10
    piece_bytes: int = 4000
    kv_bytes_per_token: int = 131072
    max_in_flight: int = 64
    rate_per_s: float = 50.0
    burst: int = 100
    consumer_max_in_flight: int = 64
    consumer_rate_per_s: float = 50.0
    consumer_burst: int = 100
    n_named_instances: int = 3
    address_max_age_s: float = 30.0
    default_deadline_ms: int = 600_000
    max_retained_kv_copies: int = 2
    max_weight_loads: int = 2


@dataclass(frozen=True)
class Account:
    """A client account and the models and services that it may use."""

    name: str
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()


@dataclass(frozen=True)
class Key:
    """A caller's key, declared as the SHA-256 of its text.

    :param not_after: the last day on which the key is valid, ``YYYY-MM-DD`` in UTC;
        empty for no limit.
    """

    name: str
    sha256: str
    account: str
    consumer: str = "default"
    not_after: str = ""


@dataclass(frozen=True)
class Operator:
    """An operator's key for the admin listener."""

    name: str
    sha256: str
    not_after: str = ""


@dataclass(frozen=True)
class Model:
    """A model with its current and its previous weight version."""

    name: str
    weight_version: str
    previous_version: str = ""
    adapter: str = ""


@dataclass(frozen=True)
class Upstream:
    """A model engine or a plain service."""

    name: str
    kind: str
    address: str
    failure_domain: str
    models: tuple[str, ...] = ()
    service: str = ""
    role: str = "mixed"
    fencing: str = "ignored"
    drain: bool = False
    max_in_flight: int = 64
    prefill_tokens_per_s: float = 8000.0
    tls: bool = False


@dataclass(frozen=True)
class Store:
    """A KV store instance and the rate of its link."""

    name: str
    address: str
    failure_domain: str
    link_bytes_per_s: float = 1.25e9
    link_latency_s: float = 0.002
    tls: bool = False


@dataclass(frozen=True)
class Rule:
    """Whether calls of a plain service may be repeated.

    :param repeat: ``never`` or ``safe``.
    """

    name: str
    service: str
    method: str
    path: str
    repeat: str


@dataclass(frozen=True)
class FleetException:
    """A deviation from a fleet default, with its reason."""

    name: str
    applies_to: str
    setting: str
    value: str
    reason: str
    author: str
    review_on: str


@dataclass(frozen=True)
class Declarations:
    """All declarations, by kind of section and name."""

    fleet: Fleet = field(default_factory=Fleet)
    accounts: dict[str, Account] = field(default_factory=dict)
    keys: dict[str, Key] = field(default_factory=dict)
    operators: dict[str, Operator] = field(default_factory=dict)
    models: dict[str, Model] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    stores: dict[str, Store] = field(default_factory=dict)
    rules: dict[str, Rule] = field(default_factory=dict)
    exceptions: dict[str, FleetException] = field(default_factory=dict)

    def get_setting(self, account: str, setting: str) -> float:
        """Return the value of a fleet setting for a client account.

        :returns: the value of the account's exception, or else the fleet default.
        """
        for item in self.exceptions.values():
            if item.applies_to == f"account {account}" and item.setting == setting:
                return type(getattr(self.fleet, setting))(item.value)
        return getattr(self.fleet, setting)

    def resolve_slot(self, account: str, model_name: str) -> str:
        """Return the slot on which a new request of a client account runs.

        :raises ApricotliftError: ``unknown_model``, also when the account may not use
            the model, so that the model names of other accounts aren't revealed.
        """
        granted = self.accounts[account].models
        model = self.models.get(model_name)
        if model is None or model_name not in granted:
            message = f"no model named {model_name!r} for this account"
            raise ApricotliftError(Code.UNKNOWN_MODEL, message)
        version = model.weight_version
        wanted = f"weight_version.{model_name}"
        for item in self.exceptions.values():
            if item.applies_to == f"account {account}" and item.setting == wanted:
                version = item.value
        return build_slot(model, version)

    def list_slots(self, upstream: Upstream) -> list[str]:
        """Return the slots that an engine should have loaded."""
        slots = []
        for name in upstream.models:
            model = self.models[name]
            versions = {model.weight_version, model.previous_version} - {""}
            for item in self.exceptions.values():
                if item.setting == f"weight_version.{name}":
                    versions.add(item.value)
            slots += [build_slot(model, version) for version in sorted(versions)]
        return slots

    def find_rule(self, service: str, method: str, path: str) -> str:
        """Return whether a call may be repeated: ``never`` or ``safe``.

        The rule with the longest matching path decides; among rules of equal length,
        ``never`` wins. A call that no rule matches is ``never``.
        """
        matches = [
            rule
            for rule in self.rules.values()
            if rule.service == service
            and rule.method in ("*", method)
            and _match_path(rule.path, path)
        ]
        if not matches:
            return "never"
        longest = max(len(rule.path) for rule in matches)
        values = {rule.repeat for rule in matches if len(rule.path) == longest}
        return "never" if "never" in values else "safe"


def build_slot(model: Model, version: str) -> str:
    """Return the immutable name under which an engine loads a weight version.

    >>> build_slot(Model("wax", "v2"), "v2")
    'wax@v2'
    """
    slot = f"{model.name}@{version}"
    return f"{slot}+{model.adapter}" if model.adapter else slot


def _match_path(pattern: str, path: str) -> bool:
    # "*" matches within one path segment and "**" across segments.
    parts = re.split(r"(\*\*|\*)", pattern)
    translated = {"**": ".*", "*": "[^/]*"}
    regex = "".join(translated.get(part, re.escape(part)) for part in parts)
    return re.fullmatch(regex, path) is not None
