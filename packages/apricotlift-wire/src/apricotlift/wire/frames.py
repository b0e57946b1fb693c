"""Frames: one CBOR array ``[kind, request number, body map]`` each.

CBOR is RFC 8949. Decoding is limited in size and depth and accepts no indefinite
lengths and no duplicate keys, because no node sends them.
"""

import io
from dataclasses import dataclass

import cbor2
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.wire.messages import Message, decode_message
from apricotlift.wire.schema import MAX_INTEGER

MAX_FRAME_BYTES = 256 * 1024

#: The request number of a message that expects no reply.
ONE_WAY = 0

#: The deepest message is frame, body, list of records, record, map of values.
MAX_DEPTH = 16

_N_FRAME_ITEMS = 3


@dataclass(frozen=True)
class Frame:
    """One decoded frame."""

    request_number: int
    message: Message


def encode_frame(message: Message, request_number: int = ONE_WAY) -> bytes:
    """Return the bytes of a frame.

    :raises ApricotliftError: ``FRAME_TOO_LARGE`` above ``MAX_FRAME_BYTES``.
    """
    data = cbor2.dumps([message.kind, request_number, message.to_map()])
    if len(data) > MAX_FRAME_BYTES:
        raise build_size_error(len(data))
    return data


def decode_frame(data: bytes) -> Frame:
    """Return the frame that the bytes hold.

    :raises ApricotliftError: ``FRAME_TOO_LARGE``, or ``PEER_PROTOCOL`` on malformed
        CBOR, an unknown kind, a wrong body or bytes after the array.

    >>> from apricotlift.wire.messages import HeadRequest
    >>> decode_frame(encode_frame(HeadRequest(), 7))
    Frame(request_number=7, message=HeadRequest())
    """
    if len(data) > MAX_FRAME_BYTES:
        raise build_size_error(len(data))
    items = _decode_cbor(data)
    if type(items) is not list or len(items) != _N_FRAME_ITEMS:
        raise ApricotliftError(
            Code.PEER_PROTOCOL, f"frame: expected an array of {_N_FRAME_ITEMS} items"
        )
    kind, request_number, body = items
    if type(request_number) is not int or not 0 <= request_number <= MAX_INTEGER:
        raise ApricotliftError(
            Code.PEER_PROTOCOL, "frame: the request number isn't a 64-bit integer"
        )
    return Frame(request_number, decode_message(kind, body))


def build_size_error(size_bytes: int) -> ApricotliftError:
    """Return the error for an oversize frame."""
    return ApricotliftError(
        Code.FRAME_TOO_LARGE,
        f"frame of {size_bytes} bytes, the limit is {MAX_FRAME_BYTES}",
    )


def _decode_cbor(data: bytes) -> object:
    stream = io.BytesIO(data)
    try:
        decoder = cbor2.CBORDecoder(
            stream,
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
        )
        items = decoder.decode()
    # Decoders of tagged values (dates, fractions, addresses) raise errors of many
    # kinds, and any of them means the same here.
    except Exception as error:
        raise ApricotliftError(
            Code.PEER_PROTOCOL, f"malformed CBOR: {type(error).__name__}"
        ) from error
    if stream.tell() != len(data):
        raise ApricotliftError(Code.PEER_PROTOCOL, "bytes after the frame's array")
    return items
