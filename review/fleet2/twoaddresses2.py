"""A store with a second address, at which it may be silent. Run as :mod:`standins2`.

The call ``/_silent`` of the script begins or ends the silence, and ``/_waiting/TABLE``
tells how long ago the last call for changes of a table came to the second address in
the silence. A call that comes in the silence, or waits when it begins, gets no answer,
also after its end; its connection delivers nothing further. Writes of the operator and
of the servers (``/_put``) are answered with the time at which they are done.
"""

import asyncio
import json
import sys
import time
from urllib.parse import parse_qs, urlsplit

import standins2

_SILENCE_S = 3600


class TwoAddresses(standins2.Store):
    """Rows that are served at two addresses."""

    def __init__(self):
        super().__init__()
        self.is_silent = False
        self.n_silences = 0
        self.called_at = {}

    async def handle(self, method, target, body):
        """Return the response to one call of the script, or at the first address."""
        if target == "/_silent":
            self.is_silent = json.loads(body)["is_silent"]
            self.n_silences += self.is_silent
            return self.answer({})
        if target.startswith("/_waiting/"):
            called_at = self.called_at.get(target.rpartition("/")[2], 0.0)
            return self.answer({"waiting_s": time.time() - called_at})
        if target == "/_put":
            await super().handle(method, target, body)
            return self.answer({"done_at": time.time()})
        return await super().handle(method, target, body)

    async def handle_second(self, method, target, body):
        """Return the response to one call at the second address, or none."""
        n_silences = self.n_silences
        url = urlsplit(target)
        if self.is_silent and url.path == "/rows-feed":
            self.called_at[parse_qs(url.query)["table"][0]] = time.time()
        if not self.is_silent:
            answer = await super().handle(method, target, body)
            if n_silences == self.n_silences:
                return answer
        await asyncio.sleep(_SILENCE_S)
        return b""

    async def serve_second(self, reader, writer):
        """Serve one connection at the second address."""
        try:
            while request := await standins2.read_request(reader):
                method, target, _, body = request
                writer.write(await self.handle_second(method, target, body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


async def run_store(record):
    """Serve the store at both addresses until the process is stopped."""
    store = TwoAddresses()
    noting = standins2.Servers(record)
    first = await asyncio.start_server(store.serve, "127.0.0.1", 0, limit=1 << 24)
    noting.note(listening="first", port=first.sockets[0].getsockname()[1])
    second = await asyncio.start_server(
        store.serve_second, "127.0.0.1", 0, limit=1 << 24
    )
    noting.note(listening="second", port=second.sockets[0].getsockname()[1])
    await asyncio.gather(first.serve_forever(), second.serve_forever())


if __name__ == "__main__":
    asyncio.run(run_store(sys.argv[2]))
