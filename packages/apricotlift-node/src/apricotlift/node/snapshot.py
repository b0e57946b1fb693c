"""The configuration in force, with the lookups that each request needs."""

import hashlib
import hmac
from dataclasses import dataclass, field
from datetime import UTC, date, datetime

from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.state.declarations import Declarations, Key


@dataclass(frozen=True)
class Identity:
    """Who sends a request, by the verified key only."""

    account: str
    consumer: str


@dataclass(frozen=True)
class Snapshot:
    """One version of the declarations.

    :param version: 0 for declarations that were read from a file.
    """

    version: int
    declarations: Declarations
    keys_by_digest: dict[str, Key] = field(default_factory=dict)


def build_snapshot(version: int, declarations: Declarations) -> Snapshot:
    """Return a snapshot with its lookups."""
    keys = {key.sha256: key for key in declarations.keys.values()}
    return Snapshot(version, declarations, keys)


def authenticate(
    snapshot: Snapshot, authorization: str, today: date | None = None
) -> Identity:
    """Return whose key an ``Authorization`` header carries.

    Keys are looked up by their SHA-256, so the comparison reveals nothing of a key;
    the found digest is compared once more in constant time.

    :raises ApricotliftError: ``unauthenticated``.
    """
    scheme, _, secret = authorization.partition(" ")
    if scheme.lower() != "bearer" or not secret:
        raise ApricotliftError(Code.UNAUTHENTICATED, "a bearer key is needed")
    digest = hashlib.sha256(secret.strip().encode()).hexdigest()
    key = snapshot.keys_by_digest.get(digest)
    if key is None or not hmac.compare_digest(key.sha256, digest):
        raise ApricotliftError(Code.UNAUTHENTICATED, "the key is not known")
    today = today or datetime.now(UTC).date()
    if key.not_after and today > date.fromisoformat(key.not_after):
        message = f"the key {key.name!r} expired on {key.not_after}"
        raise ApricotliftError(Code.UNAUTHENTICATED, message)
    return Identity(key.account, key.consumer)
