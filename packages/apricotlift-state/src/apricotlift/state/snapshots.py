"""The configuration in force at a node, with its lookup of keys."""

import hashlib
import hmac
from collections.abc import Iterable
from datetime import UTC, date, datetime

from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.state.declarations import (
    Declarations,
    Key,
    Operator,
    decode_document,
)

# Hex digits by which keys are grouped. Only the group is found by a plain lookup;
# within it every SHA-256 is compared in constant time.
_GROUP_DIGITS = 6
_NO_SHA256 = "0" * 64


class Snapshot:
    """One version of the configuration, ready for use.

    :param version: the version; 0 before the first.
    :param digest: name of the document.
    :param body: the document itself, which peers may ask for. It is kept as it came,
        because a release that doesn't know all of its fields can't encode it again.
    """

    def __init__(self, version: int, digest: str, body: bytes):
        self.version = version
        self.digest = digest
        self.body = body
        self.declarations: Declarations = decode_document(body)
        self._keys = _group(self.declarations.keys.values())
        self._operators = _group(self.declarations.operators.values())

    def find_key(self, text: str, today: date | None = None) -> Key:
        """Return the declaration of a caller's key.

        :param text: the key as the caller sent it.
        :param today: the day in UTC.
        :raises ApricotliftError: ``unauthenticated`` when the key is unknown or is
            past its last day.
        """
        return _find(self._keys, text, today)

    def find_operator(self, text: str, today: date | None = None) -> Operator:
        """Return the declaration of an operator's key, as :meth:`find_key`."""
        return _find(self._operators, text, today)


def hash_key(text: str) -> str:
    """Return the SHA-256 under which a key is declared.

    >>> hash_key("abc")[:8]
    'ba7816bf'
    """
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()


def _group(items: Iterable[Key | Operator]) -> dict[str, list]:
    groups: dict[str, list] = {}
    for item in items:
        groups.setdefault(item.sha256[:_GROUP_DIGITS], []).append(item)
    return groups


def _find(groups: dict[str, list], text: str, today: date | None):
    sha256 = hash_key(text)
    found = None
    for item in groups.get(sha256[:_GROUP_DIGITS], ()):
        if hmac.compare_digest(item.sha256, sha256):
            found = item
    if found is None:
        # An unknown group costs one comparison, too.
        hmac.compare_digest(_NO_SHA256, sha256)
        raise ApricotliftError(Code.UNAUTHENTICATED, "the key is unknown")
    today = today or datetime.now(UTC).date()
    if found.not_after and today > date.fromisoformat(found.not_after):
        message = f"the key expired after {found.not_after}"
        raise ApricotliftError(Code.UNAUTHENTICATED, message)
    return found
