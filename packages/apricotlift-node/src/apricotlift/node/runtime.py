"""The parts of a running node, handed whole to the modules that serve requests."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.node.settings import NodeSettings
from apricotlift.node.snapshot import Identity, Snapshot
from apricotlift.node.streams import StreamRegistry
from apricotlift.state.declarations import Upstream
from apricotlift.upstreams.engine import EngineClient
from apricotlift.upstreams.pool import Pool


@dataclass
class Attempt:
    """An attempt in flight at an engine.

    :param progress_at: when the engine last sent something.
    :param stalled: set when the watchdog ends the attempt.
    """

    attempt_id: str
    upstream: str
    scope: anyio.CancelScope
    progress_at: float
    has_text: bool = False
    stalled: bool = False


@dataclass
class Node:
    """One node process."""

    settings: NodeSettings
    metrics: Metrics
    pool: Pool
    tasks: TaskGroup
    streams: StreamRegistry
    snapshot: Snapshot | None = None
    is_draining: bool = False
    started_at: float = field(default_factory=clocks.monotonic)
    attempts: dict[str, Attempt] = field(default_factory=dict)
    in_flight: dict[str, int] = field(default_factory=dict)
    n_open_requests: int = 0
    addresses: dict[str, str] = field(default_factory=dict)
    admit: Callable[[Identity], None] | None = None
    _engines: dict[str, EngineClient] = field(default_factory=dict)

    def get_snapshot(self) -> Snapshot:
        """Return the configuration in force.

        :raises ApricotliftError: ``no_config`` before the first one is there.
        """
        if self.snapshot is None:
            message = "this node has no configuration yet"
            raise ApricotliftError(
                Code.NO_CONFIG, message, scope=Scope.NODE, retry_after_s=1.0
            )
        return self.snapshot

    def get_engine(self, upstream: Upstream) -> EngineClient:
        """Return the client of an engine, a new one when its address has changed."""
        client = self._engines.get(upstream.name)
        if client is None or client.address != upstream.address:
            client = EngineClient(
                upstream.name,
                upstream.address,
                self.pool,
                self.metrics,
                upstream.tls,
            )
            self._engines[upstream.name] = client
        return client
