"""The node process: it serves callers and routes requests to upstreams."""

from apricotlift.node.settings import NodeSettings, load_settings

__all__ = ["NodeSettings", "load_settings"]
