"""The node process."""

from apricotlift.node.settings import NodeSettings, load_settings

__all__ = ["NodeSettings", "load_settings"]
