"""What this node knows: configuration, named weights and servers.

Each part has the time at which it was learned, so that a decision can tell how old
its inputs are.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from apricotlift.core import clocks, logs
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.dialect import Dialect
from apricotlift.forwarding.facts import (
    Configuration,
    Route,
    Server,
    ServerState,
)
from apricotlift.forwarding.feeds import Feed, RowSet, RowSource

#: Servers whose entries lapsed while the store was away write them again within two
#: seconds of its return.
LAPSE_GRACE_S = 2.3


@dataclass(frozen=True)
class Target:
    """The weight version that is to be loaded.

    :param noticed_at: when this node learned of it.
    """

    version: int
    noticed_at: float


@dataclass
class Knowledge:
    """The newest of everything, fed from the store."""

    dialect: Dialect
    source: RowSource
    metrics: Metrics
    clock: Callable[[], float] = clocks.monotonic
    configuration: Configuration | None = None
    configured_at: float = 0.0
    targets: dict[str, Target] = field(default_factory=dict)
    servers: dict[str, Server] = field(default_factory=dict)
    operator_feed: Feed = field(init=False)
    servers_feed: Feed = field(init=False)
    _missing_until: dict[str, float] = field(default_factory=dict)
    _by_service: dict[str, list[Server]] | None = None
    _routes: dict[str, list[Route]] = field(default_factory=dict)

    def __post_init__(self):
        self.operator_feed = Feed(
            self.source,
            self.dialect.operator_table,
            self._apply_operator,
            self.metrics,
            self.clock,
        )
        self.servers_feed = Feed(
            self.source,
            self.dialect.servers_table,
            self._apply_servers,
            self.metrics,
            self.clock,
        )

    @property
    def is_ready(self) -> bool:
        """Whether requests can be routed."""
        return self.configuration is not None and self.servers_feed.is_loaded

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that begins the path."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def list_servers(self, service: str) -> list[Server]:
        """Return the servers of a service that take new work."""
        self._drop_missing()
        if self._by_service is None:
            self._by_service = {}
            for server in self.servers.values():
                if server.state is ServerState.SERVING:
                    self._by_service.setdefault(server.service, []).append(server)
        return self._by_service.get(service, [])

    def list_all_serving(self) -> list[Server]:
        """Return the servers of all services that take new work."""
        self._drop_missing()
        return [
            server
            for server in self.servers.values()
            if server.state is ServerState.SERVING
        ]

    def is_serving(self, server: Server) -> bool:
        """Return whether this incarnation still takes new work."""
        self._drop_missing()
        known = self.servers.get(server.server_id)
        return (
            known is not None
            and known.state is ServerState.SERVING
            and known.incarnation == server.incarnation
        )

    def list_outdated(self) -> list[tuple[Server, str, int]]:
        """Return engines that lack named weights, with the model and the version.

        All nodes list them in the same order, which is that of the orders.
        """
        if not self.targets:
            return []
        outdated = []
        for server in self.list_all_serving():
            for model, loaded in server.weights.items():
                target = self.targets.get(model)
                if target is not None and loaded < target.version:
                    outdated.append((server, model, target.version))
        return sorted(outdated, key=lambda item: item[0].server_id)

    def apply_configuration(self, configuration: Configuration) -> bool:
        """Take over a configuration unless it is older than the one in force."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self.configured_at = self.clock()
        routes: dict[str, list[Route]] = {}
        for route in configuration.routes:
            routes.setdefault(route.host, []).append(route)
        for listed in routes.values():
            listed.sort(key=lambda route: -len(route.prefix))
        self._routes = routes
        self.metrics.gauge("configuration_version", configuration.version)
        logs.log(
            logs.INFO,
            "configuration_applied",
            version=configuration.version,
            previous=current.version if current else None,
            n_routes=len(configuration.routes),
            n_services=len(configuration.services),
        )
        return True

    def _apply_operator(self, rows: RowSet, is_whole: bool) -> None:
        for row in rows.rows:
            if row.value is None:
                continue
            try:
                instruction = self.dialect.decode_instruction(row.key, row.value)
            except ValueError as error:
                self.metrics.count("rows_refused_total", table="operator")
                logs.log(
                    logs.ERROR, "instruction_refused", row=row.key, reason=str(error)
                )
                continue
            if instruction is None:
                continue
            if instruction.configuration is not None:
                self.apply_configuration(instruction.configuration)
            if instruction.weights is not None:
                self._apply_weights(
                    instruction.weights.model, instruction.weights.version
                )

    def _apply_weights(self, model: str, version: int) -> None:
        known = self.targets.get(model)
        if known is not None and version <= known.version:
            return
        self.targets[model] = Target(version, self.clock())
        logs.log(
            logs.INFO,
            "weights_named",
            model=model,
            version=version,
            previous=known.version if known else None,
        )

    def _apply_servers(self, rows: RowSet, is_whole: bool) -> None:
        seen = set()
        for row in rows.rows:
            server = None
            if row.value is not None:
                server = self._read_server(row.key, row.value)
            if server is not None:
                seen.add(row.key)
                self._put(server)
            elif row.value is not None:
                self._drop(row.key, "unreadable_entry")
            else:
                self._note_missing(row.key)
        if is_whole:
            for server_id in list(self.servers):
                if server_id not in seen:
                    self._note_missing(server_id)
        self._by_service = None

    def _read_server(self, key: str, value: bytes) -> Server | None:
        try:
            return self.dialect.decode_server(key, value)
        except ValueError as error:
            self.metrics.count("rows_refused_total", table="servers")
            logs.log(
                logs.WARNING, "server_entry_refused", server=key, reason=str(error)
            )
            return None

    def _put(self, server: Server) -> None:
        known = self.servers.get(server.server_id)
        self._missing_until.pop(server.server_id, None)
        if known == server:
            return
        self.servers[server.server_id] = server
        logs.log(
            logs.INFO,
            "server_changed" if known else "server_added",
            server=server.server_id,
            service=server.service,
            address=server.address,
            state=server.state,
            weights=server.weights or None,
        )

    def _note_missing(self, server_id: str) -> None:
        if server_id not in self.servers or server_id in self._missing_until:
            return
        left_s = LAPSE_GRACE_S - self.servers_feed.regained_s
        if left_s <= 0:
            self._drop(server_id, "entry_gone")
            return
        self._missing_until[server_id] = self.clock() + left_s

    def _drop_missing(self) -> None:
        if not self._missing_until:
            return
        now = self.clock()
        for server_id, until in list(self._missing_until.items()):
            if now >= until:
                self._drop(server_id, "entry_lapsed")

    def _drop(self, server_id: str, reason: str) -> None:
        self._missing_until.pop(server_id, None)
        self._by_service = None
        if self.servers.pop(server_id, None) is not None:
            logs.log(logs.INFO, "server_dropped", server=server_id, reason=reason)
