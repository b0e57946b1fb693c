"""The messages of the protocol between nodes.

Each class has the ``kind`` that identifies it in a frame, ``to_map`` and ``from_map``.
``MESSAGES`` maps each kind to its class. Ages are sent in milliseconds and rounded up
by the sender, so an age is never understated. Digests are sent as bytes.
"""

from dataclasses import dataclass, field
from typing import ClassVar

from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.wire.schema import OMITTED_DEFAULT, Record, Scalar

#: Protocol version. A node accepts only peers with the same version.
PROTOCOL = 1


@dataclass(frozen=True)
class Message(Record):
    """Base of all messages."""

    kind: ClassVar[str] = ""


@dataclass(frozen=True)
class Hello(Message):
    """The first frame that each side sends."""

    kind: ClassVar[str] = "hello"
    protocol: int
    node_id: str
    incarnation: str
    failure_domain: str
    nonce: bytes


@dataclass(frozen=True)
class Proof(Message):
    """The second frame that each side sends: proof that it knows the cluster secret."""

    kind: ClassVar[str] = "proof"
    mac: bytes


@dataclass(frozen=True)
class Failure(Message):
    """The reply to a request that the handler rejected or failed to process."""

    kind: ClassVar[str] = "failure"
    code: str
    message: str


@dataclass(frozen=True)
class Ack(Message):
    """The reply that reports success and has no further content."""

    kind: ClassVar[str] = "ack"


@dataclass(frozen=True)
class MemberSummary(Record):
    """What gossip distributes about one incarnation of a member."""

    node_id: str
    incarnation: str
    peer_address: str
    caller_address: str
    failure_domain: str
    state: str


@dataclass(frozen=True)
class Heartbeat(Message):
    """One side of a gossip exchange; :class:`HeartbeatReply` has the same fields.

    Between two nodes with the same roster (equal ``roster`` digests), a heartbeat
    carries one byte for each member. Otherwise the reply lists its sender's ``keys``,
    and a second exchange carries the entries that each side lacks.

    :param roster: digest of the sender's member list.
    :param ages: one byte for each member in roster order: time since the member is
        known to have been alive, in units of 50 ms, rounded up; 255 if unknown.
    :param lags: by how many versions members are behind ``base_version``;
        see ``state.gossip``.
    :param base_version: the newest configuration version of any member.
    :param keys: 8 bytes for each member in roster order, or empty.
    :param entries: summaries of members that the other side lacks.
    :param wanted: keys of members whose summaries the sender lacks.
    :param stamp: opaque bytes that identify the sender's process and time.
    :param echo: the last stamp that the sender received from the receiver, or empty.
    :param held_ms: time since the echoed stamp arrived, rounded down.
    :param config_version: the configuration version in force at the sender, 0 if
        none is.
    :param config_age_ms: the sender's freshness age, rounded up; -1 if unconfirmed.
    """

    kind: ClassVar[str] = "heartbeat"
    roster: bytes
    ages: bytes
    lags: bytes
    base_version: int
    keys: bytes
    entries: list[MemberSummary]
    wanted: list[bytes]
    stamp: bytes
    echo: bytes
    held_ms: int
    config_version: int
    config_age_ms: int


@dataclass(frozen=True)
class HeartbeatReply(Heartbeat):
    """The answer to a :class:`Heartbeat`."""

    kind: ClassVar[str] = "heartbeat_reply"


@dataclass(frozen=True)
class HeadRequest(Message):
    """Asks which configuration version is the newest known."""

    kind: ClassVar[str] = "head_request"


@dataclass(frozen=True)
class HeadReply(Message):
    """The newest configuration version that the peer knows, with its freshness age."""

    kind: ClassVar[str] = "head_reply"
    version: int
    digest: str
    age_ms: int
    known: bool


@dataclass(frozen=True)
class DocumentRequest(Message):
    """Asks for a part of the configuration document with a digest.

    :param offset: position of the part's first byte. A document with 2,600 accounts has
        1.2 MB, which is more than fits into one frame.
    """

    kind: ClassVar[str] = "document_request"
    digest: str
    offset: int = 0


@dataclass(frozen=True)
class DocumentReply(Message):
    """A part of the document, if the peer has it.

    :param size_bytes: size of the whole document.
    """

    kind: ClassVar[str] = "document_reply"
    found: bool
    body: bytes
    size_bytes: int = 0


@dataclass(frozen=True)
class PrefixRun(Record):
    """The blocks of a prefix chain that one upstream or store has cached.

    :param holder: name of the upstream or store.
    :param is_store: whether the holder is a KV store.
    :param boot_id: boot id of the holder when the run was observed.
    :param blocks: digests of the run in chain order.
    :param sequence: event sequence number at the holder; 0 if unknown.
    :param age_ms: time since the run was observed.
    """

    holder: str
    is_store: bool
    boot_id: str
    blocks: list[bytes]
    sequence: int
    age_ms: int


@dataclass(frozen=True)
class Locate(Message):
    """Asks a shard owner where a chain is cached and how often the request crashed."""

    kind: ClassVar[str] = "locate"
    shard_key: bytes
    chain: list[bytes]
    fingerprint: bytes


@dataclass(frozen=True)
class LocateReply(Message):
    """What the shard owner knows; ``known`` is false if it has no entry."""

    kind: ClassVar[str] = "locate_reply"
    runs: list[PrefixRun]
    crash_count: int
    known: bool


@dataclass(frozen=True)
class RecordRuns(Message):
    """Reports prefix runs to a shard owner."""

    kind: ClassVar[str] = "record_runs"
    shard_key: bytes
    runs: list[PrefixRun]


@dataclass(frozen=True)
class DropBlocks(Message):
    """Reports to a shard owner that a holder no longer has blocks.

    :param boot_id: boot id of the holder when it dropped them.
    :param blocks: digests of the dropped blocks. An empty list means that the holder,
        in this boot, has dropped all blocks of all shards.
    """

    kind: ClassVar[str] = "drop_blocks"
    shard_key: bytes
    holder: str
    boot_id: str
    blocks: list[bytes]


@dataclass(frozen=True)
class ReportCrash(Message):
    """Reports that a request was in flight when an upstream crashed."""

    kind: ClassVar[str] = "report_crash"
    shard_key: bytes
    fingerprint: bytes
    upstream: str
    boot_id: str


@dataclass(frozen=True)
class ClearSuspect(Message):
    """Reports that a request suspected of crashing upstreams has completed."""

    kind: ClassVar[str] = "clear_suspect"
    shard_key: bytes
    fingerprint: bytes


@dataclass(frozen=True)
class RecordAttempt(Message):
    """Reports which attempt and upstream serve a request's stream."""

    kind: ClassVar[str] = "record_attempt"
    request_key: str
    attempt_id: str
    upstream: str
    slot: str


@dataclass(frozen=True)
class FindAttempt(Message):
    """Asks an owner which attempt and upstream serve a request's stream."""

    kind: ClassVar[str] = "find_attempt"
    request_key: str


@dataclass(frozen=True)
class FindAttemptReply(Message):
    """The attempt and upstream of the stream, if the owner knows them."""

    kind: ClassVar[str] = "find_attempt_reply"
    found: bool
    attempt_id: str
    upstream: str
    slot: str


@dataclass(frozen=True)
class LoadNote(Message):
    """Reports load changes that an upstream's load report doesn't show yet."""

    kind: ClassVar[str] = "load_note"
    upstream: str
    n_started: int
    n_finished: int
    prompt_tokens: int


@dataclass(frozen=True)
class PlacementNote(Record):
    """Tells peers that a prompt was sent to an engine.

    :param number: number of the attempt, unique among the sending node's attempts.
    :param server: id of the engine.
    :param address: address of the engine.
    :param n_unread: prompt tokens that the engine has to prefill.
    :param n_own: tokens of engine memory that the request uses in addition to shared
        parts.
    :param salt: cache salt of the parts.
    :param parts: ids of the shared parts that the engine will have cached.
    :param part_tokens: tokens of each shared part.
    """

    number: int
    server: str
    address: str
    n_unread: int
    n_own: int
    salt: str
    parts: list[str]
    part_tokens: list[int]


@dataclass(frozen=True)
class ProgressNote(Record):
    """Tells peers about the progress of a prompt that was sent to an engine.

    :param number: number of the attempt, as in its :class:`PlacementNote`.
    :param is_ended: true if the attempt has ended, false if the engine has finished
        prefilling the prompt.
    """

    number: int
    server: str
    is_ended: bool


@dataclass(frozen=True)
class OrderNote(Record):
    """Tells peers that an engine was ordered to load weights and rejects requests."""

    server: str


@dataclass(frozen=True)
class RefusalNote(Record):
    """Tells peers that a request was refused and that the client will retry it.

    :param request: identifies the request; the retry has the same value.
    """

    request: str


@dataclass(frozen=True)
class Notes(Message):
    """What a node tells all its peers, collected over a short time."""

    kind: ClassVar[str] = "notes"
    placements: list[PlacementNote]
    progress: list[ProgressNote]
    refusals: list[RefusalNote]
    orders: list[OrderNote]


@dataclass(frozen=True)
class LoadReport(Message):
    """Tells an aggregator the load that the sender has given to engines.

    :param engines: digest of the list of engines that the entries refer to.
    :param entries: the load of each engine that has any; see ``forwarding.loadcodes``.
    :param n_parts: uses of shared parts by the sender's running requests.
    :param n_part_tokens: tokens of these parts, counted once for each use.
    :param refusals: digests of prompts that the sender refused, 8 bytes each.
    :param orders: engines that the sender ordered to load weights.
    :param echo_ms: the last stamp that the sender received from the receiver, -1 for
        none.
    :param held_ms: time since the echoed stamp arrived, rounded down.
    """

    kind: ClassVar[str] = "load_report"
    engines: bytes
    entries: bytes
    n_parts: int
    n_part_tokens: int
    refusals: bytes
    orders: list[str]
    echo_ms: int
    held_ms: int


@dataclass(frozen=True)
class LoadReply(Message):
    """Confirms a :class:`LoadReport`.

    :param report_in_ms: time until the next report is expected.
    :param sums_in_ms: time until the sums that include this report can be fetched.
    :param sums_from: node from which they are to be fetched.
    :param stamp_ms: the sender's clock, to be echoed.
    """

    kind: ClassVar[str] = "load_reply"
    report_in_ms: int
    sums_in_ms: int
    sums_from: str
    stamp_ms: int


@dataclass(frozen=True)
class LoadSumsRequest(Message):
    """Asks for the newest sums of the whole fleet."""

    kind: ClassVar[str] = "load_sums_request"


@dataclass(frozen=True)
class LoadSums(Message):
    """The load that several nodes have given to engines.

    :param engines: digest of the list of engines that the columns refer to.
    :param columns: compressed load of all engines; see ``forwarding.loadcodes``.
    :param n_nodes: nodes whose reports are included.
    :param age_ms: age of the oldest part of the sums, rounded up.
    :param n_parts: uses of shared parts by running requests.
    :param n_part_tokens: tokens of these parts, counted once for each use.
    :param refusals: digests of refused prompts, 8 bytes each.
    :param orders: engines that were ordered to load weights.
    """

    kind: ClassVar[str] = "load_sums"
    engines: bytes
    columns: bytes
    n_nodes: int
    age_ms: int
    n_parts: int
    n_part_tokens: int
    refusals: bytes
    orders: list[str]


@dataclass(frozen=True)
class LoadShare(Message):
    """The sums of the reports that one aggregator got, sent to the others.

    :param interval_ms: time between the sender's rounds.
    :param stamp_ms: the sender's clock, to be echoed.
    :param echo_ms: the last stamp that the sender received from the receiver, -1 for
        none.
    :param held_ms: time since the echoed stamp arrived, rounded down.
    """

    kind: ClassVar[str] = "load_share"
    sums: LoadSums
    interval_ms: int
    stamp_ms: int
    echo_ms: int
    held_ms: int


@dataclass(frozen=True)
class ClaimItem(Record):
    """One write to a claim row, as part of a group commit.

    :param operation: ``claim``, ``record`` or ``release``.
    :param pk: partition key of the claim row.
    :param token: the token of the attempt.
    :param values: further values of the row.
    """

    operation: str
    pk: str
    token: str
    values: dict[str, Scalar]


@dataclass(frozen=True)
class ClaimResult(Record):
    """The outcome of one item: empty code on success, else an error code.

    :param values: values of the existing row that caused a conflict, if any.
    """

    code: str
    values: dict[str, Scalar]


@dataclass(frozen=True)
class WriteClaims(Message):
    """Asks the node that writes claims to include these in its next batch."""

    kind: ClassVar[str] = "write_claims"
    items: list[ClaimItem]


@dataclass(frozen=True)
class WriteClaimsReply(Message):
    """One result for each item, in order."""

    kind: ClassVar[str] = "write_claims_reply"
    results: list[ClaimResult]


@dataclass(frozen=True)
class RenewLease(Message):
    """Asks a peer to write the sender's lease row.

    :param row: values of the new row.
    :param replaces: the sender's incarnation before a pause, whose row the new row
        may replace; empty for a renewal.
    """

    kind: ClassVar[str] = "renew_lease"
    row: dict[str, Scalar]
    replaces: str


@dataclass(frozen=True)
class RowsRequest(Message):
    """Asks a node that reads a table from the platform's store for its changes.

    :param table: the table's name; see :mod:`.tablenames`.
    :param after: version up to which the sender has the table; negative for none of it.
    :param wait_ms: how long the receiver waits for a change before it replies.
    """

    kind: ClassVar[str] = "rows_request"
    table: str
    after: int
    wait_ms: int


@dataclass(frozen=True)
class RowRecord(Record):
    """A row of a table; the value of a deleted row is empty."""

    key: str
    value: bytes
    version: int
    is_deleted: bool


@dataclass(frozen=True)
class RowsReply(Message):
    """The rows that changed after a version, or all rows of the table.

    :param version: version up to which the rows are complete.
    :param age_ms: time since the store last answered the sender, rounded up.
    :param held_ms: time for which the sender held the request, rounded down.
    :param era: era of the store for the version, 0 if the request states none.
    """

    kind: ClassVar[str] = "rows_reply"
    version: int
    is_full_table: bool
    age_ms: int
    held_ms: int
    rows: list[RowRecord]
    era: int = field(default=0, metadata=OMITTED_DEFAULT)


MESSAGES: dict[str, type[Message]] = {
    message.kind: message
    for message in (
        Hello,
        Proof,
        Failure,
        Ack,
        Heartbeat,
        HeartbeatReply,
        HeadRequest,
        HeadReply,
        DocumentRequest,
        DocumentReply,
        Locate,
        LocateReply,
        RecordRuns,
        DropBlocks,
        ReportCrash,
        ClearSuspect,
        RecordAttempt,
        FindAttempt,
        FindAttemptReply,
        LoadNote,
        Notes,
        LoadReport,
        LoadReply,
        LoadSumsRequest,
        LoadSums,
        LoadShare,
        WriteClaims,
        WriteClaimsReply,
        RenewLease,
        RowsRequest,
        RowsReply,
    )
}


def decode_message(kind: object, body: object) -> Message:
    """Build the message of a kind from its body map.

    :raises ApricotliftError: ``PEER_PROTOCOL`` on an unknown kind or a wrong body.
    """
    if type(kind) is not str or kind not in MESSAGES:
        shown = kind[:40] if type(kind) is str else type(kind).__name__
        raise ApricotliftError(Code.PEER_PROTOCOL, f"unknown message kind {shown!r}")
    return MESSAGES[kind].from_map(body)
