"""Requests that crash the servers which begin to run them.

A crash is counted for a request when its connection broke off and the server then
takes no new connection. The counts are rows of a table that all nodes follow, one row
a crash, so that no write depends on another.
"""

import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.hashing import digest
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.facts import ClientRequest, Server
from apricotlift.forwarding.feeds import Feed, RowSet, RowSource
from apricotlift.platform.table import Delete, Put, Row

TABLE = "apricotlift-suspects"
PARTITION = ""

#: Crashes after which a request is refused.
N_CRASHES = 3
KEPT_S = 120.0

#: News of a crash come at once in any case; only a silent connection waits so long.
POLL_S = 8.0

_CHECK_PAUSE_S = 0.05
_CHECK_TIMEOUT_S = 0.3


def build_fingerprint(request: ClientRequest) -> str:
    """Return what a request that is sent again has in common with the first one."""
    account = request.account.name if request.account else ""
    return digest(
        "suspect", account, request.method, request.target, request.body
    ).hex()


@dataclass
class Suspects:
    """The crashes that are known to this node.

    :param table: writes rows of :data:`TABLE`.
    """

    table: object
    source: RowSource
    metrics: Metrics
    clock: Callable[[], float] = clocks.monotonic
    feed: Feed = field(init=False)
    _crashes: dict[str, dict[str, float]] = field(default_factory=dict)

    def __post_init__(self):
        self.feed = Feed(
            self.source, TABLE, self._apply, self.metrics, self.clock, POLL_S
        )

    def check(self, fingerprint: str) -> None:
        """Refuse a request that has crashed servers.

        :raises ApricotliftError: ``request_crashes_upstream``; this one did not run.
        """
        n_crashes = self.count_crashes(fingerprint)
        if n_crashes >= N_CRASHES:
            message = f"the request has crashed {n_crashes} servers"
            raise ApricotliftError(Code.REQUEST_CRASHES_UPSTREAM, message)

    def count_crashes(self, fingerprint: str) -> int:
        """Return how many crashes are known for a request."""
        known = self._crashes.get(fingerprint, {})
        limit = self.clock() - KEPT_S
        return sum(at > limit for at in known.values())

    async def examine(self, fingerprint: str, server: Server) -> None:
        """Count a crash if the server that broke off takes no connections."""
        await anyio.sleep(_CHECK_PAUSE_S)
        host, _, port = server.address.rpartition(":")
        try:
            with anyio.fail_after(_CHECK_TIMEOUT_S):
                stream = await anyio.connect_tcp(host, int(port))
                await stream.aclose()
            return
        except TimeoutError:
            return
        except OSError:
            await self._record(fingerprint, server)

    async def _record(self, fingerprint: str, server: Server) -> None:
        crash = uuid.uuid4().hex
        self._crashes.setdefault(fingerprint, {})[crash] = self.clock()
        self.metrics.count("crashes_recorded_total")
        logs.log(
            logs.WARNING,
            "crash_recorded",
            fingerprint=fingerprint,
            server=server.server_id,
            n_crashes=self.count_crashes(fingerprint),
        )
        key = f"{fingerprint}.{crash}"
        row = Row(PARTITION, key, {"server": server.server_id})
        try:
            await self.table.transact([Put(row)])
            await anyio.sleep(KEPT_S)
            await self.table.transact([Delete(PARTITION, key)])
        except ApricotliftError as error:
            self.metrics.count("crash_rows_failed_total", reason=error.code)
            logs.log(
                logs.WARNING,
                "crash_row_failed",
                fingerprint=fingerprint,
                code=error.code,
                reason=error.message,
            )

    def _apply(self, rows: RowSet, is_whole: bool) -> None:
        for row in rows.rows:
            fingerprint, _, crash = row.key.partition(".")
            if row.value is None:
                self._crashes.get(fingerprint, {}).pop(crash, None)
            else:
                known = self._crashes.setdefault(fingerprint, {})
                known.setdefault(crash, self.clock())
