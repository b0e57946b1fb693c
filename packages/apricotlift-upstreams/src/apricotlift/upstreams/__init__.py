"""Clients of model engines, plain services and KV stores."""

from apricotlift.upstreams.engine import EngineClient, GenerateCall, TextChunk
from apricotlift.upstreams.pool import Pool, Response, Timeouts

__all__ = [
    "EngineClient",
    "GenerateCall",
    "Pool",
    "Response",
    "TextChunk",
    "Timeouts",
]
