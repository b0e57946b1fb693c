"""Responses to clients over ASGI."""

import anyio
from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.forwarding.requeststate import Headers
from apricotlift.forwarding.runtime import Runtime

#: Larger bodies are sent in pieces of this size. It is that of the buffer of a
#: connection, up to which writing doesn't wait for the client.
_PIECE_BYTES = 65_536


class AsgiResponse:
    """Sends the response to a client over ASGI."""

    def __init__(self, send, node: Runtime):
        self._send = send
        self._node = node
        self.is_started = False
        self.is_complete = False
        self.status = 0

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response with its content length.

        A large body counts towards the read budget until the client has taken it.

        :raises ApricotliftError: the errors of the budget, before anything is sent;
            ``slow_reader``.
        """
        all_headers = [*headers, ("content-length", str(len(body)))]
        if len(body) <= _PIECE_BYTES:
            await self.start(status, all_headers)
            await self._send({"type": "http.response.body", "body": body})
            self.is_complete = True
            return
        with self._node.handles.budget.open_reservation() as reservation:
            reservation.resize(len(body))
            await self.start(status, all_headers)
            await self._send_in_pieces(body)

    async def _send_in_pieces(self, body: bytes) -> None:
        """Send a body no faster than the client takes it.

        The client gets all of it even if the request's deadline passes meanwhile.

        :raises ApricotliftError: ``slow_reader`` if the client takes nothing for the
            idle time of connections.
        """
        for offset in range(0, len(body), _PIECE_BYTES):
            end = offset + _PIECE_BYTES
            piece = {"type": "http.response.body", "body": body[offset:end]}
            idle_time_s = self._get_idle_time_s()
            with anyio.move_on_after(idle_time_s, shield=True) as scope:
                await self._send({**piece, "more_body": end < len(body)})
            if scope.cancelled_caught:
                message = f"the client took no part of the body for {idle_time_s:g} s"
                raise ApricotliftError(Code.SLOW_READER, message, Ran.YES)
        self.is_complete = True

    def _get_idle_time_s(self) -> float:
        configuration = self._node.routing_state.configuration
        return configuration.limits.idle_timeout_s

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers; without ``content-length``, the body is chunked."""
        self.is_started = True
        self.status = status
        raw_headers = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]
        if self._node.is_draining:
            raw_headers.append((b"connection", b"close"))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": raw_headers}
        )

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self) -> None:
        """Mark the end of the body."""
        await self._send({"type": "http.response.body", "body": b""})
        self.is_complete = True
