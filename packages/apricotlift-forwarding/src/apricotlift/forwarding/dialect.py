"""Interface to the platform's wire format, implemented by an adapter.

The forwarding code decides what is sent; a dialect defines the names and the encoding.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from apricotlift.forwarding.entities import (
    Configuration,
    Evacuation,
    Prompt,
    Server,
    TargetWeights,
)


@dataclass(frozen=True)
class HeaderNames:
    """Header names in lower case.

    :param origin_stamp: mark by which a server signs its response.
    :param not_run: set by a server that did not run a request.
    :param leaving: set to ``1`` by a server that is about to stop.
    :param cold_ms: set by a server that has just started to the milliseconds for which
        it stays cold.
    :param dropped: headers that are removed from clients' requests.
    """

    request_id: str
    deadline_ms: str
    api_key: str
    account: str
    target_server: str
    answering_server: str
    origin_stamp: str
    not_run: str
    last_event_id: str
    priority: str
    expected_weights: str
    cache_salt: str
    kv_fetch: str
    kv_save: str
    leaving: str
    cold_ms: str
    dropped: frozenset[str] = frozenset()


@dataclass(frozen=True)
class CacheEvent:
    """One change in the cache of an engine or a KV store.

    :param n_tokens: tokens of the part that are held now; 0 when it was evicted.
    """

    salt: str
    part_id: str
    n_tokens: int


@dataclass(frozen=True)
class CacheEvents:
    """The response to a poll for cache events.

    :param boot: changes when the holder restarts.
    :param next_number: number of the first event that the next poll asks for.
    :param has_gap: whether events before these were lost.
    """

    boot: int
    next_number: int
    has_gap: bool
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True)
class WeightOrder:
    """An order to load a weight version.

    :param holder: name of the node that holds the lease for orders.
    :param fence: fencing number of the lease; increases with each holder.
    :param n_orders: the engine carries the order out only if it has accepted this many
        orders until then; ``None`` to carry it out in any case.
    """

    model: str
    version: int
    holder: str
    fence: int
    n_orders: int | None = None


@dataclass(frozen=True)
class OutgoingCall:
    """A call to a server that isn't a client's request."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True)
class Instruction:
    """The content of one of the operator's rows; at most one field is set."""

    configuration: Configuration | None = None
    weights: TargetWeights | None = None
    evacuation: Evacuation | None = None


class Decoder(Protocol):
    """Decodes one of the operator's rows.

    :raises ValueError: when the row can't be read.
    """

    def __call__(self, key: str, value: bytes | None) -> Instruction | None:
        """Return the row's content, ``None`` for a row of another kind.

        The value is ``None`` for a row that was removed.
        """


@dataclass(frozen=True)
class Dialect:
    """Names and encodings of requests, orders and rows.

    :param operator_table: table in which the operator writes.
    :param servers_table: table in which servers keep their entries.
    :param decode_server: decodes a server's entry from its key and value.
    :param decode_prompt: returns the prompt that the headers of a request describe.
    :param build_order: builds the call that orders an engine to load weights.
    :param build_report_call: builds a call that returns a server's report on itself.
    :param decode_order_count: returns the number of accepted orders from a report.
    :param build_events_call: builds a poll for cache events, from the number of the
        first event and the time to wait in milliseconds.
    :param build_free_call: builds the call that frees parts in a store, from the
        store's boot and the salt and id of each part.
    :param read_directory_query: returns the failure domain that a directory query asks
        for.
    :param read_directory_region: returns the region that a directory query asks for;
        empty where it names none.
    :param build_directory_body: builds the response to a directory query, from
        addresses and their time to live in seconds.
    """

    headers: HeaderNames
    operator_table: str
    servers_table: str
    decode_instruction: Decoder
    decode_server: Callable[[str, bytes], Server | None]
    decode_prompt: Callable[[dict[str, str]], Prompt | None]
    build_order: Callable[[Server, WeightOrder], OutgoingCall]
    build_report_call: Callable[[Server], OutgoingCall]
    decode_order_count: Callable[[bytes], int]
    build_events_call: Callable[[int, int], OutgoingCall]
    decode_events: Callable[[bytes], CacheEvents]
    build_free_call: Callable[[int, list[tuple[str, str]]], OutgoingCall]
    read_directory_query: Callable[[dict[str, str]], str]
    read_directory_region: Callable[[dict[str, str]], str]
    build_directory_body: Callable[[list[str], float], bytes]
