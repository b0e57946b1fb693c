"""An in-memory table, rows for feeds, and a dialect that encodes rows as JSON."""

import json
from dataclasses import dataclass, field

from apricotlift.core.errors import ApricotliftError, Code, Ran
from apricotlift.forwarding.dialect import (
    CacheEvents,
    Dialect,
    HeaderNames,
    Instruction,
    OutgoingCall,
)
from apricotlift.forwarding.entities import (
    Configuration,
    Evacuation,
    Route,
    Server,
    ServerState,
    TargetWeights,
)
from apricotlift.forwarding.feeds import RowSet, StoredRow
from apricotlift.platform.table import Put, Row, encode_values
from pydantic import TypeAdapter

_ENCODER = TypeAdapter(dict)

NAMES = HeaderNames(
    *(
        f"x-{name}"
        for name in (
            "id",
            "deadline",
            "key",
            "account",
            "target",
            "answering",
            "stamp",
            "not-run",
            "last-event",
            "priority",
            "weights",
            "salt",
            "fetch",
            "save",
            "leaving",
            "cold",
        )
    )
)


@dataclass
class Clock:
    """A clock that a test sets."""

    now: float = 100.0

    def __call__(self) -> float:
        return self.now


@dataclass
class MemoryTable:
    """The table interface, with conditions and switchable failures.

    :param fails: ``no``: calls are refused; ``maybe``: writes are applied, but their
        answer is lost; empty: no failure.
    """

    rows: dict[tuple[str, str], dict] = field(default_factory=dict)
    fails: str = ""
    n_writes: int = 0

    async def get(self, pk, sk):
        if self.fails == "no":
            raise ApricotliftError(Code.TABLE_UNAVAILABLE, "refused")
        values = self.rows.get((pk, sk))
        return None if values is None else Row(pk, sk, dict(values))

    async def transact(self, writes, token=""):
        if self.fails == "no":
            raise ApricotliftError(Code.TABLE_UNAVAILABLE, "refused")
        for number, write in enumerate(writes):
            place = get_place(write)
            found = self.rows.get(place)
            condition = write.condition
            is_met = condition.exists in (None, found is not None)
            is_met &= all((found or {}).get(k) == v for k, v in condition.equals)
            if not is_met:
                details = {"failed": [number]}
                raise ApricotliftError(Code.CONDITION_FAILED, "", details=details)
        for write in writes:
            self.n_writes += 1
            if isinstance(write, Put):
                self.rows[get_place(write)] = dict(write.row.values)
            else:
                self.rows.pop(get_place(write), None)
        if self.fails == "maybe":
            raise ApricotliftError(Code.TABLE_UNCLEAR, "answer lost", Ran.MAYBE)


@dataclass
class FollowedTable(MemoryTable):
    """A table whose changes are kept as rows of a feed."""

    changes: list[StoredRow] = field(default_factory=list)
    stored: dict[str, StoredRow] = field(default_factory=dict)

    async def transact(self, writes, token=""):
        if self.fails == "no":
            raise ApricotliftError(Code.TABLE_UNAVAILABLE, "refused")
        for write in writes:
            _, key = get_place(write)
            value = None
            if isinstance(write, Put):
                value = _ENCODER.dump_json(encode_values(write.row.values))
            self.add(key, value)
        await super().transact(writes, token)

    def add(self, key, value):
        row = StoredRow(key, value, len(self.changes) + 1)
        self.changes.append(row)
        self.stored.pop(key, None)
        if value is not None:
            self.stored[key] = row


def get_place(write):
    if isinstance(write, Put):
        return write.row.pk, write.row.sk
    return write.pk, write.sk


def encode(value) -> bytes:
    return json.dumps(value).encode()


def build_row(key, value, version=1) -> StoredRow:
    return StoredRow(key, None if value is None else encode(value), version)


def build_rows(*rows, version=1) -> RowSet:
    return RowSet(tuple(build_row(key, value) for key, value in rows), version)


def decode_instruction(key, value):
    if key.startswith("evacuate/"):
        domain = key.removeprefix("evacuate/")
        return Instruction(evacuation=Evacuation(domain, value is not None))
    if value is None:
        return None
    data = json.loads(value)
    if key == "config":
        routes = tuple(
            Route(prefix, host, prefix, False, True, False, (("svc", 1.0),))
            for host, prefix in data.get("routes", [])
        )
        return Instruction(configuration=Configuration(data["version"], routes))
    if key.startswith("weights"):
        return Instruction(weights=TargetWeights(data["model"], data["version"]))
    return None


def decode_server(key, value):
    data = json.loads(value)
    if "service" not in data:
        raise ValueError("no service")
    state = ServerState(data.get("state", "serving"))
    return Server(
        key,
        data["service"],
        data.get("address", f"10.0.0.{len(key)}:80"),
        data.get("domain", "z1"),
        state,
        started_ms=data.get("started", 0),
        weights=data.get("weights", {}),
        write_number=data.get("writes", 0),
        cold_left_s=data.get("cold_s", 0.0),
    )


def build_dialect(**changes) -> Dialect:
    values = {
        "headers": NAMES,
        "operator_table": "operator",
        "servers_table": "servers",
        "decode_instruction": decode_instruction,
        "decode_server": decode_server,
        "decode_prompt": lambda headers: None,
        "build_order": lambda server, order: OutgoingCall(
            "POST",
            "/order",
            (),
            encode([server.server_id, order.version, order.fence, order.n_orders]),
        ),
        "build_report_call": lambda server: OutgoingCall("GET", "/report"),
        "decode_order_count": lambda body: int(json.loads(body)),
        "build_events_call": lambda since, wait_ms: OutgoingCall("GET", "/events"),
        "decode_events": lambda body: CacheEvents(1, 1, False, ()),
        "build_free_call": lambda boot, parts: OutgoingCall("POST", "/free"),
        "read_directory_query": lambda query: "",
        "read_directory_region": lambda query: "",
        "build_directory_body": lambda addresses, ttl_s: b"",
    }
    return Dialect(**{**values, **changes})
