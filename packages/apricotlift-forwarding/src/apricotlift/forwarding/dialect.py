"""The names of headers and calls that an adapter supplies.

The product decides what is sent; a dialect says how it is spelled.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from apricotlift.forwarding.facts import (
    Configuration,
    NamedWeights,
    Prompt,
    Server,
)


@dataclass(frozen=True)
class HeaderNames:
    """Header names in lower case.

    :param origin_stamp: a server's signature on its answer.
    :param not_run: a server's statement that it did not run a request.
    :param dropped: headers that a client may not set.
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
    dropped: frozenset[str] = frozenset()


@dataclass(frozen=True)
class CacheEvent:
    """One change of what a server or store holds.

    :param n_tokens: tokens of the part that are held now; 0 when it is gone.
    """

    salt: str
    part_id: str
    n_tokens: int


@dataclass(frozen=True)
class CacheEvents:
    """An answer to a call for cache events.

    :param boot: changes at a restart.
    :param next_number: what the next call asks for.
    :param has_gap: whether events before these were lost.
    """

    boot: int
    next_number: int
    has_gap: bool
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True)
class WeightOrder:
    """An order to load a weight version.

    :param fence: grows with each holder.
    """

    model: str
    version: int
    holder: str
    fence: int


@dataclass(frozen=True)
class OutgoingCall:
    """A call to a server besides clients' requests."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True)
class Instruction:
    """What the operator has written in one row; at most one of the two is set."""

    configuration: Configuration | None = None
    weights: NamedWeights | None = None


class Decoder(Protocol):
    """Decodes one row; ``None`` for a row of another kind.

    :raises ValueError: when the row can't be read.
    """

    def __call__(self, key: str, value: bytes) -> Instruction | None:
        """Return what the row says."""


@dataclass(frozen=True)
class Dialect:
    """How requests, orders and rows are spelled.

    :param operator_table: the table in which the operator writes.
    :param servers_table: the table in which servers keep their entries.
    """

    headers: HeaderNames
    operator_table: str
    servers_table: str
    decode_instruction: Decoder
    decode_server: Callable[[str, bytes], Server | None]
    decode_prompt: Callable[[dict[str, str]], Prompt | None]
    build_order: Callable[[Server, WeightOrder], OutgoingCall]
    build_events_call: Callable[[int, int], OutgoingCall]
    decode_events: Callable[[bytes], CacheEvents]
    build_free_call: Callable[[int, list[tuple[str, str]]], OutgoingCall]
    read_directory_query: Callable[[dict[str, str]], str]
    build_directory_body: Callable[[list[str], float], bytes]
