"""The two ends of connections between nodes: ``PeerServer`` and ``PeerPool``."""

from apricotlift.wire.listener import PeerServer
from apricotlift.wire.pool import PeerPool

__all__ = ["PeerPool", "PeerServer"]
