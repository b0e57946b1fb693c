"""What a node knows of routes, services, servers and requests.

An adapter decodes the operator's documents and the servers' entries into these data
classes. Past it, nothing sees a document's own field names.
"""

from dataclasses import dataclass, field
from enum import StrEnum


class ServerState(StrEnum):
    """What a server says of itself."""

    SERVING = "serving"
    DRAINING = "draining"


@dataclass(frozen=True)
class Engine:
    """What the servers of a model service have in common.

    :param n_slots: requests that run at once.
    :param kv_capacity_tokens: memory for running requests and cached parts.
    :param token_bytes: size of one token's KV cache.
    :param link_mbps: rate at which a server fetches and saves cached parts.
    :param n_event_readers: calls for cache events that one server holds at once.
    :param takes_parts_apart: whether each part may have a source and a store of its
        own, or all of them one.
    """

    n_slots: int = 64
    kv_capacity_tokens: int = 0
    token_bytes: int = 163_840
    link_mbps: float = 100_000.0
    n_event_readers: int = 8
    takes_parts_apart: bool = False


@dataclass(frozen=True)
class KvStore:
    """A store of kept KV cache.

    :param address: ``IP:PORT``.
    :param capacity_tokens: room in tokens.
    :param n_event_readers: calls for cache events that it holds at once.
    :param is_managed: it drops nothing by itself; others drop what was used least.
    """

    address: str
    failure_domain: str
    capacity_tokens: int = 0
    n_event_readers: int = 8
    is_managed: bool = False


@dataclass(frozen=True)
class Service:
    """A service; ``engine`` and ``store`` are set for the two special kinds."""

    name: str
    max_connections: int = 100
    engine: Engine | None = None
    store: KvStore | None = None


@dataclass(frozen=True)
class Route:
    """One route of the operator's configuration.

    :param prefix: begins and ends with a slash.
    :param is_stream: whether the answer is a series of events.
    :param is_repeatable: whether a request may run more than once from its start.
    :param is_resumable: whether a stream may go on at another server.
    :param shares: services and their weights.
    :param n_servers_max: servers to which one request may be sent.
    :param timeout_s: the longest time that a request is kept waiting.
    :param target_latency_s: time within which an answer earns its full worth.
    :param target_gap_s: the longest pause between events, 0 where none is set.
    :param priority: 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    is_stream: bool
    is_repeatable: bool
    is_resumable: bool
    shares: tuple[tuple[str, float], ...]
    n_servers_max: int = 1
    timeout_s: float = 30.0
    target_latency_s: float = 1.0
    target_gap_s: float = 0.0
    priority: int = 5
    is_public: bool = False
    has_prompt: bool = False


@dataclass(frozen=True)
class Account:
    """A client account.

    :param priority: replaces the route's, ``None`` where the route's holds.
    :param is_isolated: whether it shares no cached part with any other account.
    """

    name: str
    priority: int | None = None
    is_isolated: bool = False


@dataclass(frozen=True)
class BorderLimits:
    """What a client may send and how long it may stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """One version of the operator's configuration.

    :param accounts: by API key; ``None`` where requests carry no keys.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    accounts: dict[str, Account] | None = None
    limits: BorderLimits = BorderLimits()


@dataclass(frozen=True)
class NamedWeights:
    """The weight version that the operator has named for a model."""

    model: str
    version: int


@dataclass(frozen=True)
class Server:
    """One incarnation of a server, as its entry says.

    :param server_id: the name that requests are addressed to.
    :param started_ms: wall time of its start; an id may start again.
    :param weights: loaded version by model.
    """

    server_id: str
    service: str
    address: str
    failure_domain: str
    state: ServerState = ServerState.SERVING
    n_slots: int = 1
    started_ms: int = 0
    weights: dict[str, int] = field(default_factory=dict)

    @property
    def incarnation(self) -> tuple[str, int, str]:
        """What no other start of any server has."""
        return (self.server_id, self.started_ms, self.address)


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that several requests may share."""

    part_id: str
    n_tokens: int


@dataclass(frozen=True)
class Prompt:
    """What a request says of its prompt.

    :param parts: in the order of the prompt; the last belongs to the request or its
        session.
    :param n_output_tokens: the most that may be generated.
    """

    model: str
    parts: tuple[PromptPart, ...] = ()
    n_prompt_tokens: int = 0
    n_output_tokens: int = 0

    @property
    def n_tokens(self) -> int:
        """Tokens of the prompt."""
        return max(self.n_prompt_tokens, sum(part.n_tokens for part in self.parts))

    @property
    def shared_parts(self) -> list[tuple[str, int]]:
        """Ids and tokens of the parts that other requests may share."""
        return [(part.part_id, part.n_tokens) for part in self.parts[:-1]]

    @property
    def n_own(self) -> int:
        """Tokens of the prompt and its answer that belong to the request alone."""
        n_shared = sum(n_tokens for _, n_tokens in self.shared_parts)
        return self.n_tokens - n_shared + self.n_output_tokens


@dataclass(frozen=True)
class ClientRequest:
    """A client's request, whole and checked.

    :param target: path and query as they came.
    :param headers: lower-case names; hop-by-hop headers and those that the system
        sets itself are left out.
    :param received_at: on the clock of :mod:`apricotlift.core.clocks`.
    :param deadline_at: when the client or the route's timeout ends it.
    :param client_deadline_at: when the client stops waiting, if it said so.
    :param last_event_id: where the client resumes a stream, ``None`` from the start.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    route: Route
    account: Account | None
    received_at: float
    deadline_at: float
    client_deadline_at: float
    prompt: Prompt | None = None
    last_event_id: str | None = None
