"""Connections between nodes: ``PeerServer`` accepts them, ``PeerPool`` opens them."""

from apricotlift.wire.listener import PeerServer
from apricotlift.wire.pool import PeerPool

__all__ = ["PeerPool", "PeerServer"]
