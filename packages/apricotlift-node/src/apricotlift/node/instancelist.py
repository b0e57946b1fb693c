"""The instances that a caller should use, returned by ``GET /v1/instances``."""

from apricotlift.core.hashing import rank_nodes, spread_over_domains
from apricotlift.node.cluster import Cluster
from apricotlift.state.declarations import Fleet
from apricotlift.wire.messages import MemberSummary

#: Time within which the state ``draining`` reaches every node by gossip.
DRAIN_PROPAGATION_S = 5.0


def list_instances(cluster: Cluster, account: str, fleet: Fleet) -> list[MemberSummary]:
    """Return the instances that a client account should use, best first.

    They are ranked by a rendezvous hash of the account, so that the account's
    requests, and with them its limits, concentrate on few instances. Failure domains
    alternate in the list.
    """
    serving = {
        member.node_id: member for member in cluster.membership.view.get_serving()
    }
    domains = {name: member.failure_domain for name, member in serving.items()}
    ranked = rank_nodes(f"account/{account}", serving)
    chosen = spread_over_domains(ranked, domains, fleet.n_named_instances)
    return [serving[name] for name in chosen]


def build_instances_body(members: list[MemberSummary], fleet: Fleet) -> dict:
    """Return the JSON body of the response to ``GET /v1/instances``.

    :param members: as :func:`list_instances` returns them.
    """
    return {
        "instances": [
            {"address": member.caller_address, "failure_domain": member.failure_domain}
            for member in members
        ],
        "max_age_s": fleet.address_max_age_s,
    }


def compute_linger_s(fleet: Fleet) -> float:
    """Return how long a draining node must serve callers with older lists, in s."""
    return fleet.address_max_age_s + DRAIN_PROPAGATION_S
