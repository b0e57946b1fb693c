"""The inner protocol between nodes: websockets with CBOR."""

from apricotlift.wire.frames import MAX_FRAME_BYTES, Frame, decode_frame, encode_frame
from apricotlift.wire.messages import MESSAGES, PROTOCOL, Message, decode_message

__all__ = [
    "MAX_FRAME_BYTES",
    "MESSAGES",
    "PROTOCOL",
    "Frame",
    "Message",
    "decode_frame",
    "decode_message",
    "encode_frame",
]
