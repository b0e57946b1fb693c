"""Clients of model engines, plain services and KV stores."""

from apricotlift.upstreams import asynclibraries  # noqa: F401
from apricotlift.upstreams.engine import EngineClient, GenerateCall, TextChunk
from apricotlift.upstreams.engineorders import EngineOrder, send_order
from apricotlift.upstreams.kvevents import KvBatch, KvEvent, follow_events
from apricotlift.upstreams.kvstore import StoreClient, StoreUsage
from apricotlift.upstreams.kvtransfer import StoredBlock, export_blocks, import_blocks
from apricotlift.upstreams.pool import Pool, Response, Timeouts
from apricotlift.upstreams.service import ServiceCall, ServiceClient

__all__ = [
    "EngineClient",
    "EngineOrder",
    "GenerateCall",
    "KvBatch",
    "KvEvent",
    "Pool",
    "Response",
    "ServiceCall",
    "ServiceClient",
    "StoreClient",
    "StoreUsage",
    "StoredBlock",
    "TextChunk",
    "Timeouts",
    "export_blocks",
    "follow_events",
    "import_blocks",
    "send_order",
]
