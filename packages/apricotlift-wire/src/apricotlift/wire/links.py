"""A link: one WebSocket that carries frames, with its bytes counted."""

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

#: Close codes of the range that RFC 6455 leaves to applications.
CLOSE_CODES = {
    Code.PEER_UNAUTHENTICATED: 4001,
    Code.PEER_PROTOCOL: 4002,
    Code.PEER_VERSION: 4003,
    Code.FRAME_TOO_LARGE: CLOSE_TOO_LARGE,
}
_CODES_BY_CLOSE = {number: code for code, number in CLOSE_CODES.items()}

_MASK_BYTES = 4
_SHORT_PAYLOAD = 125
_MEDIUM_PAYLOAD = 65_535


@dataclass
class Link:
    """One authenticated or not yet authenticated connection.

    :param is_opener: whether this side opened it; openers mask what they send.
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
            raise translate_close(error) from error
        self._count_bytes("out", len(data), self.is_opener)

    async def receive(self) -> Frame:
        """Return the next frame.

        :raises ApricotliftError: ``PEER_PROTOCOL`` on a text message or a malformed
            frame, or the reason for which the connection is closed.
        """
        try:
            data = await self.websocket.recv()
        except ConnectionClosed as error:
            raise translate_close(error) from error
        if not isinstance(data, bytes):
            raise ApricotliftError(Code.PEER_PROTOCOL, "got a text message")
        self._count_bytes("in", len(data), not self.is_opener)
        return decode_frame(data)

    async def close(self, code: Code | None = None) -> None:
        """Close the connection; a fault's code tells the peer the reason."""
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
    if payload_bytes > _MEDIUM_PAYLOAD:
        size += 8
    elif payload_bytes > _SHORT_PAYLOAD:
        size += 2
    return size + (_MASK_BYTES if is_masked else 0)


def translate_close(error: ConnectionClosed) -> ApricotliftError:
    """Return the error for a closed connection, by the reason of the close.

    The close frame that was sent first is the cause: this side's own when it
    refused an oversize message, otherwise the peer's.
    """
    frame = error.sent if error.rcvd is None else error.rcvd
    if error.sent is not None and error.sent.code == CLOSE_TOO_LARGE:
        frame = error.sent
    close_code = None if frame is None else frame.code
    code = _CODES_BY_CLOSE.get(close_code, Code.PEER_UNREACHABLE)
    return ApricotliftError(
        code,
        f"connection closed, close code {close_code}",
        details={"is_normal": close_code in (CLOSE_NORMAL, CLOSE_GOING_AWAY)},
    )


def count_close(metrics: Metrics, side: str, error: ApricotliftError) -> None:
    """Count the end of a connection by its reason.

    :param side: ``opener`` or ``listener``.
    """
    is_normal = error.details.get("is_normal", False)
    reason = "normal" if is_normal else str(error.code)
    metrics.count("peer_closed_total", side=side, reason=reason)
