"""Who sends a request, by the verified key only."""

from dataclasses import dataclass

from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.state.snapshots import Snapshot


@dataclass(frozen=True)
class Identity:
    """A client account and the consumer within it."""

    account: str
    consumer: str


def read_bearer(authorization: str) -> str:
    """Return the key of an ``Authorization`` header.

    :raises ApricotliftError: ``unauthenticated``.
    """
    scheme, _, secret = authorization.partition(" ")
    if scheme.lower() != "bearer" or not secret.strip():
        raise ApricotliftError(Code.UNAUTHENTICATED, "a bearer key is needed")
    return secret.strip()


def authenticate(snapshot: Snapshot, authorization: str) -> Identity:
    """Return whose key an ``Authorization`` header carries.

    :raises ApricotliftError: ``unauthenticated``.
    """
    key = snapshot.find_key(read_bearer(authorization))
    return Identity(key.account, key.consumer)
