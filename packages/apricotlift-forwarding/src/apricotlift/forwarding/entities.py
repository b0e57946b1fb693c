"""Data classes for routes, services, servers and requests.

An adapter decodes the operator's documents and the servers' entries into these classes.
No other code depends on the field names of the documents.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property


class ServerState(StrEnum):
    """The state that a server reports in its entry."""

    SERVING = "serving"
    DRAINING = "draining"


@dataclass(frozen=True)
class Engine:
    """Properties that all inference engines of a service share.

    :param n_slots: requests that an engine runs at once.
    :param kv_capacity_tokens: memory for running requests and cached parts, in tokens;
        0 where it isn't known.
    :param token_bytes: size of one token's KV cache.
    :param link_mbps: rate in Mbit/s at which an engine fetches and saves cached parts.
    :param n_event_readers: concurrent polls for cache events that an engine accepts.
    :param has_per_part_addresses: whether each part of a prompt may have its own source
        and store; else one source and one store hold for all parts.
    """

    n_slots: int = 64
    kv_capacity_tokens: int = 0
    token_bytes: int = 163_840
    link_mbps: float = 100_000.0
    n_event_readers: int = 8
    has_per_part_addresses: bool = False


@dataclass(frozen=True)
class KvStore:
    """A store of KV cache that engines have saved.

    :param address: ``IP:PORT``.
    :param capacity_tokens: capacity in tokens.
    :param n_event_readers: concurrent polls for cache events that it accepts.
    :param is_managed: whether it evicts nothing by itself; other stores evict the least
        used parts.
    """

    address: str
    failure_domain: str
    capacity_tokens: int = 0
    n_event_readers: int = 8
    is_managed: bool = False


@dataclass(frozen=True)
class Service:
    """A service of the operator's configuration.

    :param max_connections: limit of connections to one server, from all nodes together.
    :param cold_s: time in seconds for which a server is cold after its start.
    :param cold_requests_per_s: requests a second that a cold server tolerates from all
        nodes together; 0 where there is no limit.
    :param engine: set where the servers are inference engines.
    :param store: set where the service is a KV store.
    """

    name: str
    max_connections: int = 100
    cold_s: float = 0.0
    cold_requests_per_s: float = 0.0
    engine: Engine | None = None
    store: KvStore | None = None


@dataclass(frozen=True)
class Route:
    """One route of the operator's configuration.

    :param prefix: path prefix; begins and ends with a slash.
    :param is_stream: whether the response is a stream of events.
    :param is_repeatable: whether a request may run again from its start.
    :param is_resumable: whether another server may continue a stream.
    :param shares: names of the services and their traffic weights.
    :param n_servers_max: number of servers to which one request may be sent.
    :param timeout_s: longest time in seconds that a request may take.
    :param target_latency_s: latency target in seconds; later responses are worth less.
    :param target_gap_s: target for the longest pause between events in seconds, 0 where
        none is set.
    :param priority: 0 is the most urgent.
    :param allowed_regions: regions in which requests may run; empty for any region.
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
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Account:
    """A client account.

    :param priority: overrides the priority of the route unless it is ``None``.
    :param is_isolated: whether it shares no cached parts with other accounts.
    :param allowed_regions: regions in which its requests may run; empty for any region.
    """

    name: str
    priority: int | None = None
    is_isolated: bool = False
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True)
class ClientLimits:
    """Limits on the size of client requests and on idle connections.

    :param header_timeout_s: time in which a client has to send the head of a request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_s: float = 15.0
    header_timeout_s: float = 10.0


@dataclass(frozen=True)
class Configuration:
    """One version of the operator's configuration.

    :param accounts: by API key; ``None`` where requests carry no keys.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    accounts: dict[str, Account] | None = None
    limits: ClientLimits = ClientLimits()


@dataclass(frozen=True)
class TargetWeights:
    """The weight version that the operator has named for a model."""

    model: str
    version: int


@dataclass(frozen=True)
class Evacuation:
    """The operator's instruction on the servers of a failure domain.

    :param is_active: whether they may get no requests; ``False`` once the instruction
        has been withdrawn.
    """

    failure_domain: str
    is_active: bool


@dataclass(frozen=True)
class Server:
    """One incarnation of a server, from its entry in the store.

    :param server_id: name that requests are addressed to.
    :param n_slots: requests that it runs at once.
    :param started_ms: time of its start in Unix milliseconds; another start may use the
        same id.
    :param weights: loaded weight version by model.
    :param write_number: rises with each write of the entry by this incarnation; a write
        that changes nothing else doesn't make another server.
    :param n_orders: number of orders that it has accepted since its start, ``None``
        where the entry doesn't state it.
    :param cold_left_s: how much longer it was cold when it wrote the entry, in seconds.
    """

    server_id: str
    service: str
    address: str
    failure_domain: str
    state: ServerState = ServerState.SERVING
    n_slots: int = 1
    started_ms: int = 0
    weights: dict[str, int] = field(default_factory=dict)
    write_number: int = field(default=0, compare=False)
    n_orders: int | None = None
    cold_left_s: float = field(default=0.0, compare=False)

    @property
    def incarnation(self) -> tuple[str, int, str]:
        """A key that differs for each start of each server."""
        return (self.server_id, self.started_ms, self.address)


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that several requests may share."""

    part_id: str
    n_tokens: int


@dataclass(frozen=True)
class Prompt:
    """The description of a prompt in a request.

    :param parts: in prompt order; the last one belongs to the request or its session
        alone.
    :param n_output_tokens: largest number of tokens that may be generated.
    :param n_hinted_tokens: the client's estimate of the number of tokens that will be
        generated, ``None`` where it gives none.
    """

    model: str
    parts: tuple[PromptPart, ...] = ()
    n_prompt_tokens: int = 0
    n_output_tokens: int = 0
    n_hinted_tokens: int | None = None

    @cached_property
    def n_tokens(self) -> int:
        """Number of tokens of the prompt."""
        return max(self.n_prompt_tokens, sum(part.n_tokens for part in self.parts))

    @property
    def n_expected_output_tokens(self) -> int:
        """Number of tokens that will probably be generated."""
        if self.n_hinted_tokens is None:
            return self.n_output_tokens
        return min(self.n_hinted_tokens, self.n_output_tokens)

    @cached_property
    def shared_parts(self) -> list[tuple[str, int]]:
        """Ids and tokens of the parts that other requests may share."""
        return [(part.part_id, part.n_tokens) for part in self.parts[:-1]]

    @cached_property
    def n_shared(self) -> int:
        """Tokens of the parts that other requests may share."""
        return sum(n_tokens for _, n_tokens in self.shared_parts)

    @property
    def n_own(self) -> int:
        """Tokens of the prompt and its answer that belong to the request alone."""
        return self.n_tokens - self.n_shared + self.n_output_tokens


@dataclass(frozen=True)
class ClientRequest:
    """A client's request, complete and validated.

    :param target: path and query as received.
    :param headers: names in lower case and values; hop-by-hop headers and those that
        the system sets itself are left out.
    :param received_at: time on the clock of :mod:`apricotlift.core.clocks`.
    :param deadline_at: when the request ends by the client's deadline or the route's
        timeout.
    :param client_deadline_at: when the client stops waiting, if it has said so.
    :param last_event_id: event after which the client resumes a stream, ``None`` for a
        stream from its start.
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
