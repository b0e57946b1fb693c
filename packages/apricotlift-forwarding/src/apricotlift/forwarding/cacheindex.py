"""Index of the prompt parts that engines and KV stores hold, from their cache events.

Events arrive late and a few are lost, so the entries of an engine are only hints. For a
store, only parts that were reported complete are listed, and none while its events
can't be read: a part that is still being written must not be fetched.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.hashing import rank_nodes
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.dialect import CacheEvents, Dialect
from apricotlift.upstreams.persistentconnections import HttpCall, PersistentConnections
from apricotlift.upstreams.readbudget import ReadBudget

POLL_MS = 1000
_RESPONSE_MARGIN_S = 0.7
_PAUSE_S = 0.3
_MAX_PAUSE_S = 1.0

#: Pause between two polls that return events, so that each poll returns several.
_BATCH_PAUSE_S = 0.5

#: Polls for cache events a second that a node with one processor sends, and the longest
#: time between two polls of one holder.
POLLS_PER_PROCESSOR_S = 25.0
_MAX_POLL_INTERVAL_S = 2.5

#: Time for which a part is expected at an engine that was sent a prompt with it, until
#: the engine's own event arrives. It is longer than the time between two polls.
_EXPECTED_EXPIRY_S = 2.5
_EXPECTED_MARGIN_S = 1.5

_MAX_EXPECTED = 500

#: Concurrent event polls of a holder that are left free for nodes that join or restart.
_N_SPARE_READERS = 3

#: Time for which a requested save reserves space in the store, unless it is reported.
_PENDING_SAVE_EXPIRY_S = 3.0


@dataclass(frozen=True)
class Holder:
    """An engine or a KV store whose cache events are followed.

    :param address: ``IP:PORT``.
    :param capacity_tokens: cache size in tokens.
    :param n_event_readers: largest number of concurrent polls for its events.
    :param is_managed: whether it is a store that evicts nothing by itself.
    """

    address: str
    failure_domain: str
    capacity_tokens: int
    n_event_readers: int
    is_store: bool
    is_managed: bool = False


@dataclass
class HeldParts:
    """The parts that one holder is known to hold, each by salt and part id.

    :param boot: changes when the holder restarts.
    :param next_number: number of the first event that the next poll asks for.
    :param is_current: whether the last poll for its events succeeded.
    :param n_tokens: tokens of all its parts.
    :param parts: tokens of each part that are held.
    :param learned_at: when each part was reported.
    :param pending: tokens of each part that is to be saved, and when this reservation
        expires.
    :param expected: parts of which no event has come yet, and when this expires.
    """

    holder: Holder
    boot: int = 0
    next_number: int = 0
    is_current: bool = False
    n_tokens: int = 0
    parts: dict[tuple[str, str], int] = field(default_factory=dict)
    learned_at: dict[tuple[str, str], float] = field(default_factory=dict)
    pending: dict[tuple[str, str], tuple[int, float]] = field(default_factory=dict)
    expected: dict[tuple[str, str], float] = field(default_factory=dict)

    def clear(self) -> None:
        """Remove all parts, pending saves and expected parts."""
        self.parts.clear()
        self.learned_at.clear()
        self.pending.clear()
        self.expected.clear()
        self.n_tokens = 0

    def set_tokens(self, key: tuple[str, str], n_tokens: int, now: float) -> None:
        """Set how many tokens of a part are held; 0 removes it."""
        self.n_tokens += n_tokens - self.parts.pop(key, 0)
        self.pending.pop(key, None)
        if n_tokens:
            self.parts[key] = n_tokens
            self.learned_at.setdefault(key, now)
        else:
            self.learned_at.pop(key, None)

    def count_free_tokens(self, now: float) -> int:
        """Return the free capacity in tokens, less that of pending saves."""
        for key, (_, until) in list(self.pending.items()):
            if until < now:
                del self.pending[key]
        n_pending = sum(n_tokens for n_tokens, _ in self.pending.values())
        return self.holder.capacity_tokens - self.n_tokens - n_pending


class CacheIndex:
    """The parts that the holders followed by this node are known to hold.

    :param own_name: name of this node.
    :param list_holders: returns the engines and stores of the configuration.
    :param list_live_nodes: returns the names of the live nodes, this one included.
    :param budget: memory that all responses being read share.
    :param n_polls_per_s: polls that this node may send in a second to all holders.
    """

    def __init__(
        self,
        own_name: str,
        dialect: Dialect,
        list_holders: Callable[[], list[Holder]],
        list_live_nodes: Callable[[], list[str]],
        metrics: Metrics,
        clock: Callable[[], float] = clocks.monotonic,
        budget: ReadBudget | None = None,
        n_polls_per_s: float = math.inf,
    ):
        self.held: dict[str, HeldParts] = {}
        self._own_name = own_name
        self._dialect = dialect
        self._list_holders = list_holders
        self._list_live_nodes = list_live_nodes
        self._metrics = metrics
        self._clock = clock
        self._budget = budget or ReadBudget()
        self._n_polls_per_s = n_polls_per_s
        self._scopes: dict[str, anyio.CancelScope] = {}

    def find_holders(self, salt: str, part_id: str) -> list[tuple[HeldParts, int]]:
        """Return the holders of a part, each with the tokens of it that are held."""
        key = (salt, part_id)
        return [
            (held, held.parts[key])
            for held in self.held.values()
            if held.is_current and key in held.parts
        ]

    def has_part(self, address: str, salt: str, part_id: str) -> bool:
        """Return whether an engine holds a part or is expected to hold it soon."""
        held = self.held.get(address)
        if held is None:
            return False
        key = (salt, part_id)
        return key in held.parts or held.expected.get(key, 0.0) > self._clock()

    def mark_expected(self, address: str, salt: str, part_id: str) -> None:
        """Record that an engine has been sent a prompt with a part."""
        held = self.held.get(address)
        if held is None:
            return
        now = self._clock()
        if len(held.expected) > _MAX_EXPECTED:
            kept = {key: until for key, until in held.expected.items() if until > now}
            held.expected = kept
        expiry_s = max(_EXPECTED_EXPIRY_S, self.poll_interval_s + _EXPECTED_MARGIN_S)
        held.expected[(salt, part_id)] = now + expiry_s

    @property
    def poll_interval_s(self) -> float:
        """Shortest time in seconds between two polls of one holder."""
        return min(_MAX_POLL_INTERVAL_S, len(self.held) / self._n_polls_per_s)

    def list_stores(self) -> list[HeldParts]:
        """Return the stores whose events can be read at present."""
        return [
            held
            for held in self.held.values()
            if held.holder.is_store and held.is_current
        ]

    def reserve(self, held: HeldParts, salt: str, part_id: str, n_tokens: int) -> None:
        """Reserve space in a store for a part whose save is requested."""
        held.pending[(salt, part_id)] = (
            n_tokens,
            self._clock() + _PENDING_SAVE_EXPIRY_S,
        )

    async def run(self) -> None:
        """Follow the events of the configured holders until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                wanted = {
                    holder.address: holder
                    for holder in self._list_holders()
                    if self._is_followed_here(holder)
                }
                for address, scope in list(self._scopes.items()):
                    known = self.held.get(address)
                    if known is None or wanted.get(address) != known.holder:
                        scope.cancel()
                        del self._scopes[address]
                        self.held.pop(address, None)
                for address, holder in wanted.items():
                    if address not in self._scopes:
                        scope = self._scopes[address] = anyio.CancelScope()
                        held = self.held[address] = HeldParts(holder)
                        tasks.start_soon(self._follow, held, scope)
                await anyio.sleep(_PAUSE_S)

    def _is_followed_here(self, holder: Holder) -> bool:
        """Return whether this node is among those that poll a holder's events."""
        nodes = self._list_live_nodes()
        n_readers = holder.n_event_readers - _N_SPARE_READERS
        if len(nodes) <= n_readers:
            return True
        return self._own_name in rank_nodes(holder.address, nodes)[:n_readers]

    async def _follow(self, held: HeldParts, scope: anyio.CancelScope) -> None:
        connections = PersistentConnections(
            held.holder.address, 1, self._metrics, self._budget
        )
        retry_pause_s = _PAUSE_S
        with scope:
            while True:
                polled_at = self._clock()
                try:
                    batch = await self._poll(held, connections)
                except (ApricotliftError, ValueError) as error:
                    self._note_failure(held, error)
                    await anyio.sleep(retry_pause_s)
                    retry_pause_s = min(_MAX_PAUSE_S, retry_pause_s * 2)
                    continue
                retry_pause_s = _PAUSE_S
                self._apply(held, batch)
                pause_s = self.poll_interval_s - (self._clock() - polled_at)
                if batch.events:
                    pause_s = max(pause_s, _BATCH_PAUSE_S)
                await anyio.sleep(max(0.0, pause_s))
        await connections.close()

    async def _poll(
        self, held: HeldParts, connections: PersistentConnections
    ) -> CacheEvents:
        call = self._dialect.build_events_call(held.next_number, POLL_MS)
        response = await connections.request(
            HttpCall(call.method, call.target, call.headers, call.body),
            POLL_MS / 1000 + _RESPONSE_MARGIN_S,
        )
        if response.status != 200:
            raise ValueError(f"expected status 200, got {response.status}")
        return self._dialect.decode_events(response.body)

    def _apply(self, held: HeldParts, batch: CacheEvents) -> None:
        is_new_boot = batch.boot != held.boot
        if is_new_boot or (batch.has_gap and held.holder.is_store):
            held.clear()
        if is_new_boot and held.boot and held.next_number:
            # Event numbers start anew at a restart, so the next poll begins at 0.
            held.boot = batch.boot
            held.next_number = 0
            return
        held.boot = batch.boot
        held.next_number = batch.next_number
        now = self._clock()
        for event in batch.events:
            held.set_tokens((event.salt, event.part_id), event.n_tokens, now)
        if batch.has_gap:
            self._metrics.count("cache_event_gaps_total")
        if not held.is_current:
            held.is_current = True
            logs.log(
                logs.INFO,
                "cache_events_regained",
                holder=held.holder.address,
                n_parts=len(held.parts),
            )

    def _note_failure(self, held: HeldParts, error: Exception) -> None:
        reason = error.code if isinstance(error, ApricotliftError) else "bad_answer"
        self._metrics.count("cache_event_polls_failed_total", reason=reason)
        if held.is_current:
            held.is_current = False
            logs.log(
                logs.WARNING,
                "cache_events_lost",
                holder=held.holder.address,
                reason=str(error),
            )
        if held.holder.is_store:
            held.clear()
            held.next_number = 0
