"""Sends and receives frames over one WebSocket and counts the bytes."""

from dataclasses import dataclass

from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.wire.frames import ONE_WAY, Frame, decode_frame, encode_frame
from apricotlift.wire.messages import Message
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

CLOSE_NORMAL = 1000
CLOSE_GOING_AWAY = 1001
CLOSE_TOO_LARGE = 1009

#: WebSocket close codes by error code. RFC 6455 reserves 4000 to 4999 for private use.
CLOSE_CODES = {
    Code.PEER_UNAUTHENTICATED: 4001,
    Code.PEER_PROTOCOL: 4002,
    Code.PEER_VERSION: 4003,
    Code.FRAME_TOO_LARGE: CLOSE_TOO_LARGE,
}
_CODES_BY_CLOSE_CODE = {number: code for code, number in CLOSE_CODES.items()}

_MASKING_KEY_BYTES = 4
_MAX_SHORT_PAYLOAD_BYTES = 125
_MAX_MEDIUM_PAYLOAD_BYTES = 65_535


@dataclass
class Link:
    """One WebSocket connection to a peer, before or after authentication.

    :param is_opener: whether this side opened the connection. WebSocket clients mask
        the frames that they send, which adds to their size.
    """

    websocket: Connection
    metrics: Metrics
    is_opener: bool

    async def send(self, message: Message, request_number: int = ONE_WAY) -> None:
        """Send one frame.

        :raises ApricotliftError: ``FRAME_TOO_LARGE``, or the reason for which the
            connection is closed.
        """
        await self.send_bytes(encode_frame(message, request_number))

    async def send_bytes(self, data: bytes) -> None:
        """Send an encoded frame.

        :raises ApricotliftError: the reason for which the connection is closed.
        """
        try:
            await self.websocket.send(data)
        except ConnectionClosed as error:
            raise build_close_error(error) from error
        self._count_bytes("out", len(data), self.is_opener)

    async def receive(self) -> Frame:
        """Return the next frame.

        :raises ApricotliftError: ``PEER_PROTOCOL`` on a text message or a malformed
            frame, or the reason for which the connection is closed.
        """
        try:
            data = await self.websocket.recv()
        except ConnectionClosed as error:
            raise build_close_error(error) from error
        if not isinstance(data, bytes):
            raise ApricotliftError(
                Code.PEER_PROTOCOL, "expected a binary message, got a text message"
            )
        self._count_bytes("in", len(data), not self.is_opener)
        return decode_frame(data)

    async def close(self, code: Code | None = None) -> None:
        """Close the connection.

        :param code: the error for which it is closed, which selects the close code
            that the peer sees; ``None`` for a normal close.
        """
        await self.websocket.close(CLOSE_CODES.get(code, CLOSE_NORMAL))

    def _count_bytes(self, direction: str, size_bytes: int, is_masked: bool) -> None:
        total = size_bytes + get_header_size(size_bytes, is_masked)
        self.metrics.count("peer_bytes_total", total, direction=direction)


def get_header_size(payload_bytes: int, is_masked: bool) -> int:
    """Return the size of a WebSocket frame header (RFC 6455, section 5.2).

    >>> get_header_size(125, False), get_header_size(126, True)
    (2, 8)
    """
    size = 2
    if payload_bytes > _MAX_MEDIUM_PAYLOAD_BYTES:
        size += 8
    elif payload_bytes > _MAX_SHORT_PAYLOAD_BYTES:
        size += 2
    return size + (_MASKING_KEY_BYTES if is_masked else 0)


def build_close_error(error: ConnectionClosed) -> ApricotliftError:
    """Return the error that says why a connection was closed.

    The reason is taken from the close frame that was sent first. That is this side's
    frame when it rejected an oversize message, and otherwise the peer's frame.
    """
    frame = error.sent if error.rcvd is None else error.rcvd
    if error.sent is not None and error.sent.code == CLOSE_TOO_LARGE:
        frame = error.sent
    close_code = None if frame is None else frame.code
    code = _CODES_BY_CLOSE_CODE.get(close_code, Code.PEER_UNREACHABLE)
    return ApricotliftError(
        code,
        f"connection closed with close code {close_code}",
        details={"is_normal": close_code in (CLOSE_NORMAL, CLOSE_GOING_AWAY)},
    )


def count_close(metrics: Metrics, side: str, error: ApricotliftError) -> None:
    """Count a closed connection by its reason.

    :param side: ``opener`` or ``listener``.
    """
    is_normal = error.details.get("is_normal", False)
    reason = "normal" if is_normal else str(error.code)
    metrics.count("peer_closed_total", side=side, reason=reason)
