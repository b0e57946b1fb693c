"""Clients of the platform's table service, object store and live list."""

from apricotlift.platform.livelist import LiveList, get_live_list
from apricotlift.platform.objects import ObjectStore
from apricotlift.platform.table import (
    ABSENT,
    ANY,
    PRESENT,
    Condition,
    Delete,
    Put,
    Row,
    Table,
    build_equals,
)

__all__ = [
    "ABSENT",
    "ANY",
    "PRESENT",
    "Condition",
    "Delete",
    "LiveList",
    "ObjectStore",
    "Put",
    "Row",
    "Table",
    "build_equals",
    "get_live_list",
]
