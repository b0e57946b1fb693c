"""The protocol between nodes: CBOR frames over WebSocket connections."""

from apricotlift.wire.connections import PeerPool, PeerServer
from apricotlift.wire.frames import MAX_FRAME_BYTES, Frame, decode_frame, encode_frame
from apricotlift.wire.handshake import Identity
from apricotlift.wire.messages import MESSAGES, PROTOCOL, Message, decode_message
from apricotlift.wire.pool import PoolSettings

__all__ = [
    "MAX_FRAME_BYTES",
    "MESSAGES",
    "PROTOCOL",
    "Frame",
    "Identity",
    "Message",
    "PeerPool",
    "PeerServer",
    "PoolSettings",
    "decode_frame",
    "decode_message",
    "encode_frame",
]
