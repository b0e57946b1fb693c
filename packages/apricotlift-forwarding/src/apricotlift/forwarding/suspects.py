"""Detects and refuses requests that crash the servers which run them.

A crash is counted against a request when its connection was lost and the server then
refuses new connections. Each crash is a separate row of a table that all nodes follow,
so that no write depends on another.
"""

import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.hashing import digest
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.entities import ClientRequest, Server
from apricotlift.forwarding.feeds import Feed, RowSet, RowSource
from apricotlift.platform.table import Delete, Put, Row

TABLE = "apricotlift-suspects"
PARTITION = ""

#: Number of crashes at which a request is refused.
N_CRASHES_MAX = 3
CRASH_RETENTION_S = 120.0

#: Changes end a poll at once, so only a dead connection goes undetected for this time.
POLL_S = 8.0

_CHECK_PAUSE_S = 0.05
_CHECK_TIMEOUT_S = 0.3


def build_fingerprint(request: ClientRequest) -> str:
    """Return a digest that stays the same when a client sends a request again."""
    account = request.account.name if request.account else ""
    return digest(
        "suspect", account, request.method, request.target, request.body
    ).hex()


@dataclass
class Suspects:
    """The recent crashes known to this node, by fingerprint of the request.

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
        """Refuse a request that has crashed too many servers.

        :raises ApricotliftError: ``request_crashes_upstream``; the request did not run.
        """
        n_crashes = self.count_crashes(fingerprint)
        if n_crashes >= N_CRASHES_MAX:
            message = f"request crashed {n_crashes} servers; limit is {N_CRASHES_MAX}"
            raise ApricotliftError(Code.REQUEST_CRASHES_UPSTREAM, message)

    def count_crashes(self, fingerprint: str) -> int:
        """Return the number of recent crashes of a request."""
        known = self._crashes.get(fingerprint, {})
        counted_from = self.clock() - CRASH_RETENTION_S
        return sum(at > counted_from for at in known.values())

    async def check_for_crash(self, fingerprint: str, server: Server) -> None:
        """Record a crash if the server whose connection was lost refuses new ones."""
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
            await anyio.sleep(CRASH_RETENTION_S)
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

    def _apply(self, rows: RowSet, is_full_table: bool) -> None:
        for row in rows.rows:
            fingerprint, _, crash = row.key.partition(".")
            if row.value is None:
                self._crashes.get(fingerprint, {}).pop(crash, None)
            else:
                known = self._crashes.setdefault(fingerprint, {})
                known.setdefault(crash, self.clock())
