"""State that routing decisions rest on: configuration, named weights and servers.

The time at which configuration and weights were learned is kept with them, so that a
decision can take the age of its inputs into account.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from apricotlift.core import clocks, logs
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.dialect import Dialect
from apricotlift.forwarding.entities import (
    Configuration,
    Route,
    Server,
    ServerState,
)
from apricotlift.forwarding.evacuations import Evacuations
from apricotlift.forwarding.feeds import (
    Feed,
    RowSet,
    RowSource,
    StoredRow,
    apply_rows,
    describe_error,
)
from apricotlift.forwarding.restoredentries import RestoredEntries
from apricotlift.forwarding.weighttargets import NamedWeights, WeightTargets

#: Time for which lapsed entries are kept once the store is available again. Servers
#: whose entries lapsed during an outage write them again within two seconds of its end.
LAPSED_ENTRY_GRACE_S = 2.3
#: No entry is kept for longer after the last call that the store didn't answer. The
#: store may have come back right after that call, and the node notices it later.
_LAPSED_ENTRY_LIMIT_S = 2.9


@dataclass
class RoutingState:
    """The newest configuration, weight versions and servers, read from the store.

    :param weight_targets: weight versions to be loaded.
    :param servers: listed servers by id, draining ones included.
    :param note_cold: called with a server that counts as cold because the evacuation of
        its failure domain has ended, and for how many seconds.
    :param evacuations: failure domains whose servers may get no requests.
    :param watch_entry: called with each valid entry, and whether the table is read for
        the first time.
    :param watch_weights: called when a newer weight version was learned of.
    :param has_recorded_weights: returns whether the versions that the nodes have
        recorded are known.
    """

    dialect: Dialect
    source: RowSource
    metrics: Metrics
    clock: Callable[[], float] = clocks.monotonic
    configuration: Configuration | None = None
    configured_at: float = 0.0
    weight_targets: WeightTargets = field(default_factory=WeightTargets)
    servers: dict[str, Server] = field(default_factory=dict)
    note_cold: Callable[[Server, float], None] = lambda server, seconds: None
    evacuations: Evacuations = field(init=False)
    watch_entry: Callable[[Server, bool], None] = lambda server, is_first: None
    watch_weights: Callable[[], None] = lambda: None
    has_recorded_weights: Callable[[], bool] = lambda: True
    operator_feed: Feed = field(init=False)
    servers_feed: Feed = field(init=False)
    _configuration_row: tuple[int, int] = (0, 0)
    _restored_entries: RestoredEntries = field(default_factory=RestoredEntries)
    _removal_due_at: dict[str, float] = field(default_factory=dict)
    _serving_by_service: dict[str, list[Server]] | None = None
    _routes_by_host: dict[str, list[Route]] = field(default_factory=dict)

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
        self.evacuations = Evacuations(
            self.metrics,
            LAPSED_ENTRY_GRACE_S,
            self._handle_evacuation_end,
            lambda: self.operator_feed.age_s,
            self.clock,
        )

    @property
    def is_ready(self) -> bool:
        """Whether requests can be routed."""
        return (
            self.configuration is not None
            and self.servers_feed.is_loaded
            and self.has_recorded_weights()
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of the path, if any."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def list_servers(self, service: str) -> list[Server]:
        """Return the servers of a service that serve, also in evacuated domains."""
        self._remove_lapsed()
        if self._serving_by_service is None:
            self._serving_by_service = {}
            for server in self.servers.values():
                if server.state is ServerState.SERVING:
                    self._serving_by_service.setdefault(server.service, []).append(
                        server
                    )
        return self._serving_by_service.get(service, [])

    def list_request_servers(self, service: str) -> list[Server]:
        """Return the servers of a service that may get new requests."""
        servers = self.list_servers(service)
        domains = self.evacuations.list_domains()
        if not domains:
            return servers
        return [server for server in servers if server.failure_domain not in domains]

    def list_all_serving(self) -> list[Server]:
        """Return the servers of all services that accept new requests."""
        self._remove_lapsed()
        return [
            server
            for server in self.servers.values()
            if server.state is ServerState.SERVING
        ]

    def is_serving(self, server: Server) -> bool:
        """Return whether this incarnation of a server still accepts new requests."""
        self._remove_lapsed()
        known = self.servers.get(server.server_id)
        return (
            known is not None
            and known.state is ServerState.SERVING
            and known.incarnation == server.incarnation
        )

    def list_outdated_engines(self) -> list[tuple[Server, str, int]]:
        """Return the engines that lack named weights, with the model and the version.

        All nodes list them in the same sequence, in which they are ordered to load:
        those with the oldest weights first, because their limit is reached first.
        """
        outdated = []
        for server in self.list_all_serving():
            for model, loaded in server.weights.items():
                target = self.weight_targets.get_newest(model)
                if target is not None and loaded < target.version:
                    outdated.append((server, model, target.version))
        return sorted(
            outdated,
            key=lambda item: (item[0].weights[item[1]], item[0].server_id),
        )

    def apply_configuration(
        self, configuration: Configuration, row: tuple[int, int] = (0, 0)
    ) -> bool:
        """Apply a configuration if it is newer than the one in force.

        A version that is given out again after the store lost it may have another
        content; the later write holds.

        :param row: era and version of the row that contains it.
        :returns: whether it was applied.
        """
        current = self.configuration
        if current is not None:
            if configuration.version < current.version:
                return False
            if configuration.version == current.version:
                is_later = row > self._configuration_row
                if not is_later or configuration == current:
                    return False
        self._configuration_row = row
        self.configuration = configuration
        self.configured_at = self.clock()
        routes: dict[str, list[Route]] = {}
        for route in configuration.routes:
            routes.setdefault(route.host, []).append(route)
        for listed in routes.values():
            listed.sort(key=lambda route: -len(route.prefix))
        self._routes_by_host = routes
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

    def _apply_operator(self, rows: RowSet, is_full_table: bool) -> None:
        if is_full_table:
            self.evacuations.begin_table(rows.era)
        apply_rows(
            "operator",
            rows.rows,
            lambda row: self._apply_operator_row(row, rows.era, is_full_table),
            self.metrics,
        )
        if is_full_table:
            self.evacuations.finish_table()

    def _apply_operator_row(
        self, row: StoredRow, era: int, is_full_table: bool
    ) -> None:
        try:
            instruction = self.dialect.decode_instruction(row.key, row.value)
        # Whatever the decoder raises, the row can't be used.
        except Exception as error:
            self.metrics.count("rows_refused_total", table="operator")
            logs.log(
                logs.ERROR,
                "instruction_refused",
                row=row.key,
                reason=describe_error(error),
            )
            return
        if instruction is None:
            return
        if instruction.configuration is not None:
            self.apply_configuration(instruction.configuration, (era, row.version))
        if instruction.weights is not None:
            self._apply_weights(
                instruction.weights.model,
                instruction.weights.version,
                is_full_table,
            )

        if instruction.evacuation is not None:
            self.evacuations.apply(instruction.evacuation, row.version)

    def _handle_evacuation_end(self, failure_domain: str) -> None:
        for server in self.servers.values():
            if server.failure_domain == failure_domain:
                self._note_return(server)

    def _note_return(self, server: Server) -> None:
        """Report a server as cold if the evacuation of its domain ended recently.

        It may have lost its warmth without requests, so all nodes that return to it at
        once could overload it.
        """
        services = self.configuration.services if self.configuration else {}
        service = services.get(server.service)
        if service is None or service.cold_s <= 0:
            return
        if self.evacuations.get_ended_ago_s(server.failure_domain) < service.cold_s:
            self.note_cold(server, service.cold_s)

    def _apply_weights(
        self, model: str, version: int, is_full_table: bool = False
    ) -> None:
        named = NamedWeights(version, self.clock(), self.operator_feed.unchanged_until)
        self._add_weights(model, named, "full_table" if is_full_table else "change")

    def apply_recorded_weights(self, model: str, version: int) -> None:
        """Apply a version that a node has recorded, which counts as named long ago."""
        self._add_weights(model, NamedWeights(version, self.clock()), "record")

    def _add_weights(self, model: str, named: NamedWeights, source: str) -> None:
        known = self.weight_targets.get_newest(model)
        if not self.weight_targets.add(model, named):
            if source != "record" and named.version < known.version:
                self.metrics.count("older_weights_ignored_total")
                logs.log(
                    logs.WARNING,
                    "older_weights_ignored",
                    model=model,
                    version=named.version,
                    known=known.version,
                    source=source,
                )
            return
        self.watch_weights()
        logs.log(
            logs.INFO,
            "weights_named",
            model=model,
            version=named.version,
            previous=known.version if known else None,
            source=source,
            named_within_s=_round_age_s(named.noticed_at - named.named_after),
        )

    def _apply_servers(self, rows: RowSet, is_full_table: bool) -> None:
        self._restored_entries.note_rows(rows, is_full_table)
        apply_rows(
            "servers",
            rows.rows,
            lambda row: self._apply_server_row(row, is_full_table),
            self.metrics,
        )
        if is_full_table:
            listed = {row.key for row in rows.rows}
            for server_id in list(self.servers):
                if server_id not in listed:
                    self._schedule_removal(server_id)
        self._serving_by_service = None

    def _apply_server_row(self, row: StoredRow, is_full_table: bool) -> None:
        if row.value is None:
            self._schedule_removal(row.key)
        else:
            is_restored = self._restored_entries.is_restored(row, is_full_table)
            self._apply_entry(row, is_restored)

    def _apply_entry(self, row: StoredRow, is_restored: bool) -> None:
        server = self._decode_server(row.key, row.value)
        known = self.servers.get(row.key)
        if server is None:
            if is_restored:
                self._schedule_removal(row.key)
            else:
                self._remove_server(row.key, "unreadable_entry")
        elif is_restored and self._restored_entries.is_superseded(server, known):
            is_same = known is not None and known.incarnation == server.incarnation
            if is_same:
                self._removal_due_at.pop(row.key, None)
            elif known is not None:
                self._schedule_removal(row.key)
            self.metrics.count("restored_entries_ignored_total")
        else:
            self._update_server(server)

    def _decode_server(self, key: str, value: bytes) -> Server | None:
        try:
            return self.dialect.decode_server(key, value)
        # Whatever the decoder raises, the entry can't be used.
        except Exception as error:
            self.metrics.count("rows_refused_total", table="servers")
            logs.log(
                logs.WARNING,
                "server_entry_refused",
                server=key,
                reason=describe_error(error),
            )
            return None

    def _update_server(self, server: Server) -> None:
        known = self.servers.get(server.server_id)
        self._removal_due_at.pop(server.server_id, None)
        self.watch_entry(server, not self.servers_feed.is_loaded)
        if known is not None and known.incarnation != server.incarnation:
            self._restored_entries.note_left(known)
        if known == server:
            # Only the write number differs.
            self.servers[server.server_id] = server
            return
        self.servers[server.server_id] = server
        if known is None or known.incarnation != server.incarnation:
            self._note_return(server)
        logs.log(
            logs.INFO,
            "server_changed" if known else "server_added",
            server=server.server_id,
            service=server.service,
            address=server.address,
            state=server.state,
            weights=server.weights or None,
        )

    def _schedule_removal(self, server_id: str) -> None:
        if server_id not in self.servers or server_id in self._removal_due_at:
            return
        due_at = min(
            self.servers_feed.recovered_at + LAPSED_ENTRY_GRACE_S,
            self.servers_feed.unanswered_at + _LAPSED_ENTRY_LIMIT_S,
        )
        if due_at <= self.clock():
            self._remove_server(server_id, "entry_gone")
            return
        self._removal_due_at[server_id] = due_at

    def _remove_lapsed(self) -> None:
        if not self._removal_due_at:
            return
        now = self.clock()
        for server_id, due_at in list(self._removal_due_at.items()):
            if now >= due_at:
                self._remove_server(server_id, "entry_lapsed")

    def _remove_server(self, server_id: str, reason: str) -> None:
        self._removal_due_at.pop(server_id, None)
        self._serving_by_service = None
        server = self.servers.pop(server_id, None)
        if server is not None:
            if reason != "unreadable_entry":
                self._restored_entries.note_left(server)
            logs.log(logs.INFO, "server_dropped", server=server_id, reason=reason)


def _round_age_s(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
