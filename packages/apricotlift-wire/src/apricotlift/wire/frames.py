"""Frames: one CBOR array ``[kind, request number, body map]`` each.

CBOR is specified in RFC 8949. The decoder limits size and nesting depth, and rejects
indefinite lengths and duplicate keys, which no node sends.
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

#: Limits the nesting of a decoded frame. The most deeply nested message needs 5 levels:
#: frame, body, list of records, record, map of values.
MAX_NESTING_DEPTH = 16

_N_FRAME_ITEMS = 3


@dataclass(frozen=True)
class Frame:
    """One decoded frame."""

    request_number: int
    message: Message


def encode_frame(message: Message, request_number: int = ONE_WAY) -> bytes:
    """Return the bytes of a frame.

    :raises ApricotliftError: ``FRAME_TOO_LARGE`` above ``MAX_FRAME_BYTES``, or
        ``PEER_PROTOCOL`` for text that isn't valid Unicode.
    """
    try:
        data = cbor2.dumps([message.kind, request_number, message.to_map()])
    except UnicodeEncodeError as error:
        raise ApricotliftError(
            Code.PEER_PROTOCOL, f"{message.kind} has text that can't be encoded"
        ) from error
    if len(data) > MAX_FRAME_BYTES:
        raise build_size_error(len(data))
    return data


def decode_frame(data: bytes) -> Frame:
    """Decode and validate one frame.

    :raises ApricotliftError: ``FRAME_TOO_LARGE``, or ``PEER_PROTOCOL`` on malformed
        CBOR, an unknown kind, an invalid body or bytes after the array.

    >>> from apricotlift.wire.messages import HeadRequest
    >>> decode_frame(encode_frame(HeadRequest(), 7))
    Frame(request_number=7, message=HeadRequest())
    """
    if len(data) > MAX_FRAME_BYTES:
        raise build_size_error(len(data))
    items = _decode_cbor(data)
    if type(items) is not list or len(items) != _N_FRAME_ITEMS:
        raise ApricotliftError(
            Code.PEER_PROTOCOL,
            f"frame: expected a CBOR array of {_N_FRAME_ITEMS} items",
        )
    kind, request_number, body = items
    if type(request_number) is not int or not 0 <= request_number <= MAX_INTEGER:
        raise ApricotliftError(
            Code.PEER_PROTOCOL,
            f"frame: expected a request number from 0 to {MAX_INTEGER}",
        )
    return Frame(request_number, decode_message(kind, body))


def build_size_error(size_bytes: int) -> ApricotliftError:
    """Return the error for a frame above ``MAX_FRAME_BYTES``."""
    return ApricotliftError(
        Code.FRAME_TOO_LARGE,
        f"frame has {size_bytes} bytes, the limit is {MAX_FRAME_BYTES}",
    )


def _decode_cbor(data: bytes) -> object:
    stream = io.BytesIO(data)
    try:
        decoder = cbor2.CBORDecoder(
            stream,
            max_depth=MAX_NESTING_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
        )
        items = decoder.decode()
    # The library's decoders of tagged values (dates, fractions, addresses) raise many
    # exception types. All of them mean that the frame is malformed.
    except Exception as error:
        raise ApricotliftError(
            Code.PEER_PROTOCOL, f"malformed CBOR: {type(error).__name__}"
        ) from error
    if stream.tell() != len(data):
        raise ApricotliftError(
            Code.PEER_PROTOCOL,
            f"frame: expected {stream.tell()} bytes, got {len(data)}",
        )
    return items
