"""One configuration version as a node uses it, with lookup of keys by their text."""

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

# Number of leading hex digits of the SHA-256 by which keys are grouped. Only the group
# is found by a dictionary lookup; within it every SHA-256 is compared in constant time.
_N_GROUP_DIGITS = 6
_PLACEHOLDER_SHA256 = "0" * 64


class Snapshot:
    """One decoded version of the configuration.

    :param version: the version; 0 before the first one.
    :param digest: digest of the document, which is its name in the object store.
    :param body: the encoded document, which peers may request. It is kept unchanged,
        because a release that doesn't know all of its fields can't encode it again.
    """

    def __init__(self, version: int, digest: str, body: bytes):
        self.version = version
        self.digest = digest
        self.body = body
        self.declarations: Declarations = decode_document(body)
        self._keys = _group_by_prefix(self.declarations.keys.values())
        self._operators = _group_by_prefix(self.declarations.operators.values())

    def find_key(self, text: str, today: date | None = None) -> Key:
        """Return the declaration of a caller's key.

        :param text: the key as the caller sent it.
        :param today: the date in UTC; the current date by default.
        :raises ApricotliftError: ``unauthenticated`` when the key is unknown or is
            past its last day.
        """
        return _find_by_text(self._keys, text, today)

    def find_operator(self, text: str, today: date | None = None) -> Operator:
        """Return the declaration of an operator's key; see :meth:`find_key`."""
        return _find_by_text(self._operators, text, today)


def hash_key(text: str) -> str:
    """Return the SHA-256 under which a key is declared.

    >>> hash_key("abc")[:8]
    'ba7816bf'
    """
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()


def _group_by_prefix(items: Iterable[Key | Operator]) -> dict[str, list]:
    groups: dict[str, list] = {}
    for item in items:
        groups.setdefault(item.sha256[:_N_GROUP_DIGITS], []).append(item)
    return groups


def _find_by_text(groups: dict[str, list], text: str, today: date | None):
    sha256 = hash_key(text)
    found = None
    for item in groups.get(sha256[:_N_GROUP_DIGITS], ()):
        if hmac.compare_digest(item.sha256, sha256):
            found = item
    if found is None:
        # An unknown group costs one comparison as well.
        hmac.compare_digest(_PLACEHOLDER_SHA256, sha256)
        raise ApricotliftError(Code.UNAUTHENTICATED, "the key is unknown")
    today = today or datetime.now(UTC).date()
    if found.not_after and today > date.fromisoformat(found.not_after):
        message = f"the key expired after {found.not_after}"
        raise ApricotliftError(Code.UNAUTHENTICATED, message)
    return found
