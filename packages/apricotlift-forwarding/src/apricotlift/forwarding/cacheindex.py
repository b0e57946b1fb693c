"""Index of the prompt parts that engines and KV stores hold, from their cache events.

Events arrive late and a few are lost, so the entries of an engine are only hints. For a
store, only parts that were reported complete are listed, and none while its events
can't be read: a part that is still being written must not be fetched.
"""

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import anyio.lowlevel
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

_N_EXPECTED_MAX = 20_000

#: Concurrent event polls of a holder that are left free for nodes that join or restart.
_N_SPARE_READERS = 3

#: Time for which a requested save reserves space in the store, unless it is reported.
_PENDING_SAVE_EXPIRY_S = 3.0

#: Other tasks run after so many events of one poll.
_N_EVENTS_AT_ONCE = 500

#: A prompt part in the cache: its salt and its id.
PartKey = tuple[str, str]


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
        expires; the earliest first.
    :param n_pending: tokens of all parts that are to be saved.
    :param expected: parts of which no event has come yet, and when this expires; the
        earliest first.
    """

    holder: Holder
    boot: int = 0
    next_number: int = 0
    is_current: bool = False
    n_tokens: int = 0
    parts: dict[PartKey, int] = field(default_factory=dict)
    learned_at: dict[PartKey, float] = field(default_factory=dict)
    pending: OrderedDict[PartKey, tuple[int, float]] = field(
        default_factory=OrderedDict
    )
    n_pending: int = 0
    expected: OrderedDict[PartKey, float] = field(default_factory=OrderedDict)

    def clear(self) -> None:
        """Remove all parts, pending saves and expected parts."""
        self.parts.clear()
        self.learned_at.clear()
        self.pending.clear()
        self.n_pending = 0
        self.expected.clear()
        self.n_tokens = 0

    def set_tokens(self, key: PartKey, n_tokens: int, now: float) -> None:
        """Set how many tokens of a part are held; 0 removes it."""
        self.n_tokens += n_tokens - self.parts.pop(key, 0)
        self._drop_pending(key)
        if n_tokens:
            self.parts[key] = n_tokens
            self.learned_at.setdefault(key, now)
        else:
            self.learned_at.pop(key, None)

    def count_free_tokens(self, now: float) -> int:
        """Return the free capacity in tokens, less that of pending saves."""
        while self.pending:
            key, (_, until) = next(iter(self.pending.items()))
            if until >= now:
                break
            self._drop_pending(key)
        return self.holder.capacity_tokens - self.n_tokens - self.n_pending

    def reserve(self, key: PartKey, n_tokens: int, until: float) -> None:
        """Reserve space for a part that is to be saved.

        :param until: when the reservation expires, no earlier than those before it.
        """
        self._drop_pending(key)
        self.pending[key] = (n_tokens, until)
        self.n_pending += n_tokens

    def expect(self, key: PartKey, now: float, until: float) -> None:
        """Expect a part until an event reports it or this expires."""
        self.expected.pop(key, None)
        self.expected[key] = until
        while len(self.expected) > _N_EXPECTED_MAX or self._get_first_expiry() <= now:
            self.expected.popitem(last=False)

    def _get_first_expiry(self) -> float:
        return next(iter(self.expected.values()), math.inf)

    def _drop_pending(self, key: PartKey) -> None:
        n_tokens, _ = self.pending.pop(key, (0, 0.0))
        self.n_pending -= n_tokens


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

    def is_held(self, salt: str, part_id: str) -> bool:
        """Return whether any holder whose events can be read holds a part."""
        key = (salt, part_id)
        return any(held.is_current and key in held.parts for held in self.held.values())

    def find_uses(
        self, key: PartKey, n_tokens: int, learned_before: float | None = None
    ) -> tuple[list[str], list[Holder]]:
        """Return who needn't compute a part, and where it can be fetched.

        The time grows with the number of holders.

        :param n_tokens: tokens of the whole part.
        :param learned_before: time before which a source must have reported the part;
            only stores are sources then. ``None`` for all complete parts.
        :returns: the addresses that hold the part or are expected to hold it soon, and
            the holders that have all of it.
        """
        now = self._clock()
        keepers = []
        sources = []
        for address, held in self.held.items():
            n_held = held.parts.get(key)
            if n_held is None:
                if held.expected and held.expected.get(key, 0.0) > now:
                    keepers.append(address)
                continue
            keepers.append(address)
            if n_held < n_tokens or not held.is_current:
                continue
            if learned_before is None or (
                held.holder.is_store and held.learned_at[key] < learned_before
            ):
                sources.append(held.holder)
        return keepers, sources

    def mark_expected(self, address: str, salt: str, part_id: str) -> None:
        """Record that an engine has been sent a prompt with a part."""
        held = self.held.get(address)
        if held is None:
            return
        now = self._clock()
        expiry_s = max(_EXPECTED_EXPIRY_S, self.poll_interval_s + _EXPECTED_MARGIN_S)
        held.expect((salt, part_id), now, now + expiry_s)

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
        until = self._clock() + _PENDING_SAVE_EXPIRY_S
        held.reserve((salt, part_id), n_tokens, until)

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
                await self._apply(held, batch)
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

    async def _apply(self, held: HeldParts, batch: CacheEvents) -> None:
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
        for number, event in enumerate(batch.events, start=1):
            held.set_tokens((event.salt, event.part_id), event.n_tokens, now)
            if number % _N_EVENTS_AT_ONCE == 0:
                await anyio.lowlevel.checkpoint()
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
