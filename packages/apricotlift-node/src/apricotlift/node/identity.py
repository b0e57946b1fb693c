"""Identification of callers by the verified key of their request."""

from dataclasses import dataclass

from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.state.snapshots import Snapshot


@dataclass(frozen=True)
class CallerIdentity:
    """The client account of a caller and the consumer within that account."""

    account: str
    consumer: str


def read_bearer(authorization: str) -> str:
    """Return the key of an ``Authorization`` header.

    :raises ApricotliftError: ``unauthenticated``.
    """
    scheme, _, secret = authorization.partition(" ")
    if scheme.lower() != "bearer" or not secret.strip():
        raise ApricotliftError(
            Code.UNAUTHENTICATED,
            "expected an Authorization header of the form 'Bearer KEY'",
        )
    return secret.strip()


def authenticate(snapshot: Snapshot, authorization: str) -> CallerIdentity:
    """Return the identity that the key of an ``Authorization`` header belongs to.

    :raises ApricotliftError: ``unauthenticated``.
    """
    key = snapshot.find_key(read_bearer(authorization))
    return CallerIdentity(key.account, key.consumer)
