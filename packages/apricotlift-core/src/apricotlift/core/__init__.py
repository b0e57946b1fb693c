"""Error codes, findings, INI files, JSON logs, metrics, clocks and hashing."""

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.findings import Finding, Findings, Place
from apricotlift.core.metrics import Metrics

__all__ = [
    "ApricotliftError",
    "Code",
    "Finding",
    "Findings",
    "Metrics",
    "Place",
    "Ran",
    "Scope",
]
