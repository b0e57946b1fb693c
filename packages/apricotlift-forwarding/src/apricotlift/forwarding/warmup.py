"""Limits what cold servers get, from all nodes together.

A few nodes, the owners, may send to a cold server, each at its share of half of what
the server may get. All nodes choose the same owners while they know the same members;
the other half is room for a second set of owners while they don't. A node gives up its
place as soon as it learns of a better ranked member, and takes that of a lost one only
after the settling time, so that two sets rarely send at once. No message is exchanged.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.hashing import choose_owners
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.availability import COLD_MAX_S, RETRY_AFTER_MAX_S
from apricotlift.forwarding.entities import Server, Service
from apricotlift.forwarding.servers import ServerHandle

#: Number of nodes that may send to a cold server. With one, its crash would leave the
#: server without requests for the settling time.
N_OWNERS = 4

#: Sets of owners that may send at once, while the nodes know different members.
_N_OWNER_SETS = 2

#: Requests sent within this time may arrive within one second. The network delays some
#: of them by up to a retransmission, which takes 200 ms at least.
_WINDOW_S = 1.25

#: A node owns servers only after so long in contact with the others, and a lost member
#: keeps its places for so long. It is longer than the 8 s for which a node that others
#: don't reach any more may believe that it is in contact.
SETTLING_S = 10.0

#: Nodes that start at the same time have written their member rows after this time.
_MEMBER_ROWS_DELAY_S = 2.0

_REFRESH_INTERVAL_S = 0.2
#: Without a look at the members for this long, the process was suspended, and contact
#: counts from anew. Maintenance looks once a second.
_MAX_REFRESH_GAP_S = 4.0

#: Entries are written every 1.2 s and polls take up to 2.5 s. A server may have become
#: cold unnoticed if the store and the other nodes have been silent for longer.
_ENTRIES_AGE_MAX_S = 4.0

#: An entry that arrives within this time may have been written before.
_ENTRY_DELAY_S = 2.0

#: An attempt that isn't sent within this time loses its token. Connections are opened
#: within 0.45 s.
_RESERVATION_S = 1.0

#: Incarnations that are remembered, the ones with the newest entries. One that comes
#: back, for example after an outage of the store, isn't taken for a new one.
N_KNOWN_INCARNATIONS = 4096
_MAX_KNOWN_OWNERS = 4096


@dataclass(frozen=True)
class Members:
    """What this node knows of all nodes.

    :param domains: failure domain of each serving node that isn't suspected, by name.
    :param has_majority: whether more than half of all nodes were heard lately.
    :param read_at: time at which the rows of all members were last read.
    """

    domains: Mapping[str, str]
    has_majority: bool
    read_at: float


@dataclass(frozen=True)
class Share:
    """The part of a server's limit that one owner gets.

    :param interval_s: shortest time between two requests of an owner.
    """

    n_owners: int
    interval_s: float


def compute_share(requests_per_s: float, overage: float, tolerance: float) -> Share:
    """Return the share of each owner in what a cold server may get in any second.

    >>> compute_share(16, overage=1.5, tolerance=5)
    Share(n_owners=4, interval_s=0.4166666666666667)
    >>> compute_share(0.5, overage=1, tolerance=0)
    Share(n_owners=0, interval_s=inf)
    """
    n_max = requests_per_s * overage + tolerance
    if n_max < 1:
        return Share(0, math.inf)
    n_each_set = max(1, int(n_max / _N_OWNER_SETS))
    n_owners = min(N_OWNERS, n_each_set)
    interval_s = _WINDOW_S / (n_each_set // n_owners)
    return Share(n_owners, max(interval_s, n_owners / requests_per_s))


@dataclass(frozen=True)
class Wait:
    """Time until this node may send to a server.

    :param reason: what it waits or waited for; empty for a server without a limit.
    """

    seconds: float
    reason: str = ""


_NO_WAIT = Wait(0.0)


@dataclass
class _Bucket:
    """A token bucket that holds one token, and the attempt that has reserved it."""

    sent_at: float
    permit: "Permit | None" = None
    reserved_until: float = -math.inf

    def get_wait_s(self, interval_s: float, now: float, permit: "Permit | None"):
        """Return the seconds until an attempt may take the token."""
        is_reserved = self.permit is not None and self.reserved_until > now
        if is_reserved and self.permit is not permit:
            return interval_s
        return max(0.0, self.sent_at + interval_s - now)


@dataclass(frozen=True)
class Candidates:
    """The usable servers of a service, by what the limit allows.

    :param groups: servers without a limit, in the groups that were passed.
    :param cold: limited servers that this node may send to now.
    :param held: limited servers that it may not send to now.
    """

    groups: list[list[ServerHandle]]
    cold: list[ServerHandle] = field(default_factory=list)
    held: list[ServerHandle] = field(default_factory=list)


@dataclass(eq=False)
class Permit:
    """The permission of one attempt to send to a server that may be cold."""

    limits: "WarmupLimits"
    handle: ServerHandle

    def check_before_send(self) -> None:
        """Take the server's token if it is cold now.

        :raises ApricotliftError: ``upstream_cold`` if the attempt may not be sent.
        """
        self.limits.take(self)

    def release(self) -> None:
        """Give back the token if the attempt wasn't sent."""
        self.limits.release(self)


@dataclass
class WarmupLimits:
    """Decides which requests this node may send to cold servers.

    :param find_service: returns the configuration of a service by its name.
    :param overage: setting ``cold_overage``.
    :param tolerance: setting ``cold_tolerance``.
    :param observe_members: returns ``None`` until the membership has started.
    :param get_entries_age_s: returns the age of the newest state of the entries.
    """

    own_name: str
    find_service: Callable[[str], Service | None]
    metrics: Metrics
    overage: float = 1.0
    tolerance: float = 0.0
    observe_members: Callable[[], Members | None] = lambda: None
    get_entries_age_s: Callable[[], float] = lambda: 0.0
    clock: Callable[[], float] = clocks.monotonic
    wall_ms: Callable[[], int] = clocks.wall_ms
    _joined_at: float = math.inf
    _cold_since: dict[tuple, float] = field(default_factory=dict)
    _maybe_cold: dict[str, Server] = field(default_factory=dict)
    _declared_until: dict[tuple, float] = field(default_factory=dict)
    _refused_at: dict[tuple, float] = field(default_factory=dict)
    _buckets: dict[str, _Bucket] = field(default_factory=dict)
    _has_majority: bool = False
    _contact_since: float | None = None
    _refreshed_at: float = -math.inf
    _domains: dict[str, str] = field(default_factory=dict)
    _seen_at: dict[str, float] = field(default_factory=dict)
    _owners: dict[tuple[str, int], list[str]] = field(default_factory=dict)

    # Cold servers

    def note_entry(self, server: Server, is_first_load: bool) -> None:
        """Record a written entry of a server.

        A new incarnation counts as cold from now on. The first entries that a node
        reads are those of servers that may have started long ago, so their start time
        counts, by the wall clocks of both machines.

        :param is_first_load: whether the node reads the entries for the first time.
        """
        now = self.clock()
        cold_since = self._cold_since.pop(server.incarnation, None)
        if cold_since is None:
            age_s = 0.0
            if is_first_load:
                age_s = max(0.0, (self.wall_ms() - server.started_ms) / 1000)
            cold_since = now - age_s
            self._maybe_cold[server.server_id] = server
            self._log_new_incarnation(server, age_s)
        self._cold_since[server.incarnation] = cold_since
        if now - self._refused_at.get(server.incarnation, now) > _ENTRY_DELAY_S:
            del self._refused_at[server.incarnation]
        if len(self._cold_since) > N_KNOWN_INCARNATIONS:
            del self._cold_since[next(iter(self._cold_since))]
        if server.cold_left_s > 0:
            self.note_cold(server, server.cold_left_s, "entry")

    def note_cold(
        self, server: Server, seconds: float, source: str = "declared"
    ) -> None:
        """Declare a server cold for a time; a longer declared time stays in force.

        :param source: what declares it, for the log.
        """
        now = self.clock()
        known_until = self._declared_until.get(server.incarnation, -math.inf)
        until = now + min(seconds, COLD_MAX_S)
        if until <= known_until:
            return
        self._declared_until[server.incarnation] = until
        self._maybe_cold[server.server_id] = server
        service = self.find_service(server.service)
        if known_until <= now and service and service.cold_requests_per_s:
            self._log_cold(server, seconds, source)

    def note_refused_connection(self, server: Server) -> None:
        """Count a server as cold that may restart before its entry says so.

        It counts as warm again once its incarnation has written its entry since.
        """
        service = self.find_service(server.service)
        if service and service.cold_requests_per_s:
            if self._get_known_cold_until(server) <= self.clock():
                self._log_cold(server, service.cold_s, "refused_connection")
            self._refused_at[server.incarnation] = self.clock()
            self._maybe_cold[server.server_id] = server

    def get_cold_until(self, handle: ServerHandle) -> float:
        """Return the time until which a server counts as cold."""
        known_until = self._get_known_cold_until(handle.server)
        return max(known_until, handle.availability.cold_until)

    def _get_known_cold_until(self, server: Server) -> float:
        service = self.find_service(server.service)
        cold_s = service.cold_s if service else COLD_MAX_S
        since = max(
            self._cold_since.get(server.incarnation, -math.inf),
            self._refused_at.get(server.incarnation, -math.inf),
        )
        return max(
            since + cold_s,
            self._declared_until.get(server.incarnation, -math.inf),
        )

    def _log_new_incarnation(self, server: Server, age_s: float) -> None:
        service = self.find_service(server.service)
        if service and service.cold_requests_per_s and service.cold_s > age_s:
            self._log_cold(server, service.cold_s - age_s, "new_incarnation")

    def _log_cold(self, server: Server, seconds: float, source: str) -> None:
        self.metrics.count("servers_cold_total", source=source)
        logs.log(
            logs.INFO,
            "server_cold",
            server=server.server_id,
            seconds=round(seconds, 3),
            source=source,
            is_owner=self._is_owner(server),
            entries_age_s=round(self.get_entries_age_s(), 3),
        )

    # Members

    def refresh(self) -> None:
        """Take the present members into account; to be called once a second."""
        now = self.clock()
        members = self.observe_members()
        if members is not None:
            self._joined_at = min(self._joined_at, now)
        if now - self._refreshed_at > _MAX_REFRESH_GAP_S:
            self._contact_since = None
        self._refreshed_at = now
        self._has_majority = members is not None and members.has_majority
        is_in_contact = (
            self._has_majority
            and self.own_name in members.domains
            and members.read_at >= self._joined_at + _MEMBER_ROWS_DELAY_S
        )
        if is_in_contact != (self._contact_since is not None):
            self._contact_since = now if is_in_contact else None
            self._log_contact(members)
        self._update_domains(members.domains if members else {}, now)
        self._remove_expired(now)

    def _log_contact(self, members: Members | None) -> None:
        self.metrics.gauge("warmup_in_contact", self._contact_since is not None)
        logs.log(
            logs.INFO,
            "warmup_contact",
            is_in_contact=self._contact_since is not None,
            has_majority=self._has_majority,
            n_serving=len(members.domains) if members else 0,
        )

    def _update_domains(self, present: Mapping[str, str], now: float) -> None:
        for name in present:
            self._seen_at[name] = now
        domains = {**self._domains, **present}
        for name, seen_at in list(self._seen_at.items()):
            if now - seen_at >= SETTLING_S:
                del self._seen_at[name]
                del domains[name]
        if domains != self._domains:
            self._domains = domains
            self._owners.clear()

    def _remove_expired(self, now: float) -> None:
        for key, until in list(self._declared_until.items()):
            if until <= now:
                del self._declared_until[key]
        for server_id, server in list(self._maybe_cold.items()):
            if self._get_known_cold_until(server) <= now:
                del self._maybe_cold[server_id]
        for key, refused_at in list(self._refused_at.items()):
            if now - refused_at > COLD_MAX_S:
                del self._refused_at[key]
        for server_id, bucket in list(self._buckets.items()):
            # Any bucket is full again long before.
            if now - bucket.sent_at > COLD_MAX_S:
                del self._buckets[server_id]

    def _refresh_if_due(self, now: float) -> None:
        if now - self._refreshed_at >= _REFRESH_INTERVAL_S:
            self.refresh()

    def _get_share(self, service: Service) -> Share:
        return compute_share(service.cold_requests_per_s, self.overage, self.tolerance)

    def _is_owner(self, server: Server) -> bool:
        service = self.find_service(server.service)
        key = (server.server_id, self._get_share(service).n_owners)
        owners = self._owners.get(key)
        if owners is None:
            owners = choose_owners(f"cold:{key[0]}", self._domains, key[1])
            if len(self._owners) >= _MAX_KNOWN_OWNERS:
                self._owners.clear()
            self._owners[key] = owners
        return self.own_name in owners

    # Requests

    def select_candidates(
        self, service: Service, groups: list[list[ServerHandle]], now: float
    ) -> Candidates:
        """Divide the usable servers of a service by what the limit allows.

        :param now: time on the limiter's clock.
        """
        if not service.cold_requests_per_s:
            return Candidates(groups)
        self._refresh_if_due(now)
        is_isolated = self._is_isolated()
        free, cold, held = [], [], []
        for group in groups:
            free.append([])
            for handle in group:
                # Most servers are warm, and this is done for each request.
                may_be_limited = (
                    is_isolated
                    or handle.server.server_id in self._maybe_cold
                    or handle.availability.cold_until > now
                )
                wait = self.compute_wait(handle, now) if may_be_limited else _NO_WAIT
                if not wait.reason:
                    free[-1].append(handle)
                else:
                    (held if wait.seconds > 0 else cold).append(handle)
        return Candidates([group for group in free if group], cold, held)

    def compute_wait(
        self, handle: ServerHandle, now: float, permit: Permit | None = None
    ) -> Wait:
        """Return the time until this node may send to a server, and the reason.

        :param permit: the attempt that may use a token that it has reserved.
        """
        service = self.find_service(handle.server.service)
        if service is None or not service.cold_requests_per_s:
            return _NO_WAIT
        cold_left_s = self.get_cold_until(handle) - now
        if cold_left_s <= 0:
            if not self._is_isolated():
                return _NO_WAIT
            # The server may have become cold unnoticed, so it gets no more than one
            # owner would send.
            return Wait(self._get_token_wait_s(handle, now, permit), "isolated")
        if self._contact_since is None:
            return Wait(cold_left_s, "no_contact")
        if not self._is_owner(handle.server):
            return Wait(cold_left_s, "not_owner")
        settling_left_s = self._contact_since + SETTLING_S - now
        wait_s = max(settling_left_s, self._get_token_wait_s(handle, now, permit))
        reason = "settling" if wait_s == settling_left_s else "token"
        return Wait(min(wait_s, cold_left_s), reason)

    def _is_isolated(self) -> bool:
        """Whether neither the store nor the other nodes have been heard lately."""
        return not self._has_majority and self.get_entries_age_s() > _ENTRIES_AGE_MAX_S

    def _get_token_wait_s(
        self, handle: ServerHandle, now: float, permit: Permit | None
    ) -> float:
        share = self._get_share(self.find_service(handle.server.service))
        # A restart of the server must not fill the bucket, so it belongs to the id.
        bucket = self._buckets.setdefault(handle.server.server_id, _Bucket(now))
        return bucket.get_wait_s(share.interval_s, now, permit)

    def reserve(self, handle: ServerHandle) -> Permit | None:
        """Reserve the token of a server that an attempt was assigned to.

        :returns: ``None`` where the service has no limit.
        """
        service = self.find_service(handle.server.service)
        if service is None or not service.cold_requests_per_s:
            return None
        permit = Permit(self, handle)
        now = self.clock()
        wait = self.compute_wait(handle, now)
        if wait.reason and wait.seconds <= 0:
            bucket = self._buckets[handle.server.server_id]
            bucket.permit = permit
            bucket.reserved_until = now + _RESERVATION_S
        return permit

    def take(self, permit: Permit) -> None:
        """Take a server's token for an attempt that is being sent.

        All conditions are checked again, because the server may have become cold, or
        the process may have been suspended, since the server was chosen.

        :raises ApricotliftError: ``upstream_cold``.
        """
        now = self.clock()
        server = permit.handle.server
        self._refresh_if_due(now)
        wait = self.compute_wait(permit.handle, now, permit)
        if not wait.reason:
            return
        if wait.seconds > 0:
            self.metrics.count("cold_attempts_held_total", reason=wait.reason)
            message = (
                f"{server.server_id} became cold before the request was sent; it takes "
                f"no request of this node for {wait.seconds:.3f} s ({wait.reason})"
            )
            # The server isn't marked as tried: the request didn't reach it.
            raise _build_error(message, wait.seconds, {"try_again": True})
        bucket = self._buckets[server.server_id]
        bucket.sent_at = now
        bucket.permit = None
        self.metrics.count("cold_attempts_total")

    def release(self, permit: Permit) -> None:
        """Give back a token that an attempt has reserved and not taken."""
        bucket = self._buckets.get(permit.handle.server.server_id)
        if bucket is not None and bucket.permit is permit:
            bucket.permit = None

    def build_refusal(
        self, service: str, handles: Iterable[ServerHandle], now: float
    ) -> ApricotliftError:
        """Return the error for a request that only held servers could take.

        It states when the first of them takes a request of this node.

        :param handles: the servers that could take it, paused ones included.
        """
        wait = self.find_shortest_wait(handles, now)
        self.metrics.count("cold_refusals_total", reason=wait.reason)
        message = (
            f"the servers of service {service} that are left are cold, and the first "
            f"one takes a request of this node in {wait.seconds:.3f} s "
            f"({wait.reason}); entries are {self.get_entries_age_s():.1f} s old"
        )
        return _build_error(message, wait.seconds)

    def find_shortest_wait(self, handles: Iterable[ServerHandle], now: float) -> Wait:
        """Return the time until the first of several servers takes a request."""
        waits = []
        for handle in handles:
            wait = self.compute_wait(handle, now)
            pause_left_s = handle.availability.paused_until - now
            if pause_left_s > wait.seconds:
                wait = Wait(pause_left_s, "pause")
            waits.append(wait)
        return min(waits, key=lambda wait: wait.seconds)


def _build_error(
    message: str, wait_s: float, details: dict | None = None
) -> ApricotliftError:
    return ApricotliftError(
        Code.UPSTREAM_COLD,
        message,
        Ran.NO,
        Scope.UPSTREAM,
        min(wait_s, RETRY_AFTER_MAX_S),
        details or {},
    )
