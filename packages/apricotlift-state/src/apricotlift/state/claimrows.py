"""Table rows of claims on non-idempotent calls, with the results recorded in them."""

import json
from dataclasses import dataclass, field
from enum import StrEnum

from apricotlift.core.hashing import digest
from apricotlift.platform import Row

SORT_KEY = "claim"
#: A recorded result can be replayed for 30 days.
EXPIRY_MS = 30 * 24 * 3600 * 1000
#: Larger bodies are stored as objects, so that rows stay within the table's limit.
MAX_INLINE_BYTES = 65_536


class Outcome(StrEnum):
    """How a dispatched call ended."""

    ANSWERED = "answered"
    UNCLEAR = "unclear"


@dataclass(frozen=True)
class CallResult:
    """The answer of an upstream, or the fact that it is missing.

    :param outcome: ``unclear`` if bytes were sent and no answer arrived.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    outcome: Outcome = Outcome.ANSWERED


UNCLEAR_RESULT = CallResult(outcome=Outcome.UNCLEAR)


@dataclass(frozen=True)
class ClaimRow:
    """A claim as stored in the table.

    :param body_digest: digest of the whole call: service, method, path and body.
    :param claimed_at_ms: Unix time in milliseconds at which the claim was written.
    :param recorded_at_ms: the same for the result; 0 while there is none.
    :param expires_at_ms: Unix time in milliseconds from which the key can be claimed
        again; 0 without a result.
    :param object_key: key of the object that holds a large body; empty if the body is
        in the row.
    """

    pk: str
    token: str
    node: str
    incarnation: str
    body_digest: str
    claimed_at_ms: int
    recorded_at_ms: int = 0
    expires_at_ms: int = 0
    outcome: Outcome = Outcome.ANSWERED
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    object_key: str = ""
    body_sha256: str = ""

    @property
    def is_recorded(self) -> bool:
        """Whether the result of the call is recorded."""
        return self.recorded_at_ms > 0

    def is_expired(self, now_ms: int) -> bool:
        """Whether the key can be claimed for a new call.

        A claim without a recorded result never expires, because its call may have run.
        """
        return self.is_recorded and now_ms >= self.expires_at_ms


def build_claim_pk(account: str, key: str) -> str:
    """Return the partition key for an idempotency key of a client account.

    >>> build_claim_pk("north", "k-1")
    'claim#north#d31ef0185e4c9110cdb99c95ab792411'
    """
    return f"claim#{account}#{digest('claim', account, key).hex()}"


def encode_claim(claim: ClaimRow) -> Row:
    """Return the table row that stores a claim."""
    values = {
        "token": claim.token,
        "node": claim.node,
        "incarnation": claim.incarnation,
        "body_digest": claim.body_digest,
        "claimed_at_ms": claim.claimed_at_ms,
    }
    if claim.is_recorded:
        values |= {
            "recorded_at_ms": claim.recorded_at_ms,
            "expires_at_ms": claim.expires_at_ms,
            "outcome": str(claim.outcome),
            "status": claim.status,
            "headers": json.dumps(claim.headers, separators=(",", ":")),
        }
        if claim.object_key:
            values["object_key"] = claim.object_key
            values["body_sha256"] = claim.body_sha256
        else:
            values["body"] = claim.body
    return Row(claim.pk, SORT_KEY, values)


def decode_claim(row: Row) -> ClaimRow:
    """Return the claim stored in a table row."""
    values = row.values
    return ClaimRow(
        row.pk,
        values["token"],
        values["node"],
        values["incarnation"],
        values["body_digest"],
        values["claimed_at_ms"],
        values.get("recorded_at_ms", 0),
        values.get("expires_at_ms", 0),
        Outcome(values.get("outcome", Outcome.ANSWERED)),
        values.get("status", 0),
        json.loads(values.get("headers", "{}")),
        values.get("body", b""),
        values.get("object_key", ""),
        values.get("body_sha256", ""),
    )
