"""Routing, retention, admission and retry decisions.

The modules consist of pure decision functions and small state classes. They do no
I/O; clock values and the random source are passed as arguments.
"""

from apricotlift.policy.accuracy import AccuracySettings, StoreAccuracy
from apricotlift.policy.admission import (
    Admission,
    AdmissionRequest,
    AdmissionSettings,
    RequestClass,
)
from apricotlift.policy.breaker import Breaker, BreakerSettings
from apricotlift.policy.estimates import (
    Candidate,
    Placement,
    RoutingRequest,
    RoutingSettings,
    Store,
)
from apricotlift.policy.limits import Quota, RequestLimiter
from apricotlift.policy.retention import (
    Block,
    RetentionSettings,
    ReturnEstimator,
    choose_drops,
    choose_exports,
)
from apricotlift.policy.retries import (
    FailedAttempt,
    RetryBudget,
    RetrySettings,
    decide_retry,
)
from apricotlift.policy.routing import Plan, choose_upstream
from apricotlift.policy.transfers import (
    LinkScheduler,
    Transfer,
    TransferPriority,
    TransferSettings,
)

__all__ = [
    "AccuracySettings",
    "Admission",
    "AdmissionRequest",
    "AdmissionSettings",
    "Block",
    "Breaker",
    "BreakerSettings",
    "Candidate",
    "FailedAttempt",
    "LinkScheduler",
    "Placement",
    "Plan",
    "Quota",
    "RequestClass",
    "RequestLimiter",
    "RetentionSettings",
    "RetryBudget",
    "RetrySettings",
    "ReturnEstimator",
    "RoutingRequest",
    "RoutingSettings",
    "Store",
    "StoreAccuracy",
    "Transfer",
    "TransferPriority",
    "TransferSettings",
    "choose_drops",
    "choose_exports",
    "choose_upstream",
    "decide_retry",
]
