"""Connects the exchange of load sums to the other components of a node."""

from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.engineloads import EngineLoads
from apricotlift.forwarding.loadexchange import LoadExchange
from apricotlift.forwarding.loadpeers import Nodes
from apricotlift.forwarding.loadsums import Notices
from apricotlift.forwarding.loadview import FleetLoads
from apricotlift.forwarding.refusals import Refusals
from apricotlift.forwarding.routingstate import RoutingState
from apricotlift.state.view import MembershipView
from apricotlift.wire.connections import PeerPool, PeerServer
from apricotlift.wire.messages import (
    LoadReport,
    LoadShare,
    LoadSumsRequest,
    RefusalNote,
)


def build_load_exchange(
    view: MembershipView,
    pool: PeerPool,
    server: PeerServer,
    routing_state: RoutingState,
    engine_loads: EngineLoads,
    refusals: Refusals,
    metrics: Metrics,
) -> LoadExchange:
    """Return the exchange of load sums, and have ``engine_loads`` use its estimates."""

    def apply_notices(notices: Notices) -> None:
        for refusal in notices.refusals:
            refusals.handle_refusal(RefusalNote(refusal.hex()))
        for server_id in notices.orders:
            engine_loads.note_loading(server_id)

    fleet_loads = FleetLoads(
        engine_loads,
        lambda: len(view.get_eligible()),
        lambda: list_engine_services(routing_state),
        metrics,
    )
    engine_loads.large_fleet = fleet_loads
    exchange = LoadExchange(
        _build_nodes(view, pool),
        fleet_loads,
        lambda: list_engines(routing_state),
        apply_notices,
        metrics,
    )
    server.register(LoadReport, exchange.handle_report)
    server.register(LoadSumsRequest, exchange.handle_sums_request)
    server.register(LoadShare, exchange.handle_share)
    return exchange


def list_engines(routing_state: RoutingState) -> list[str]:
    """Return the ids of all engines, also of those that accept no new requests.

    The list changes less often than the states of the engines do.
    """
    services = _list_services(routing_state)
    return [
        server.server_id
        for server in routing_state.servers.values()
        if server.service in services
    ]


def list_engine_services(routing_state: RoutingState) -> dict[str, str]:
    """Return the service of each engine that accepts new requests, by id."""
    return {
        server.server_id: service
        for service in _list_services(routing_state)
        for server in routing_state.list_servers(service)
    }


def _list_services(routing_state: RoutingState) -> set[str]:
    configuration = routing_state.configuration
    if configuration is None:
        return set()
    services = configuration.services.values()
    return {service.name for service in services if service.engine is not None}


def _build_nodes(view: MembershipView, pool: PeerPool) -> Nodes:
    def get_incarnation(name: str) -> str | None:
        member = view.members.get(name)
        return None if member is None else member.summary.incarnation

    return Nodes(
        view.own.node_id,
        view.get_eligible,
        view.get_address,
        get_incarnation,
        pool.request,
        pool.send,
    )
