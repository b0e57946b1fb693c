"""Rows by which nodes tell each other of crashes and of parts that were cleared."""

from apricotlift.core.hashing import digest
from apricotlift.forwarding.clusterrows import read_content
from apricotlift.forwarding.entities import Prompt
from pydantic import BaseModel, TypeAdapter

N_ITEMS_MAX = 300
_PART_KEY_LENGTH_MAX = 64


class CrashReport(BaseModel):
    """One node's report of one crash; its lists are bounded, as a row's size is.

    :param started_ms: start of the crashed server in Unix milliseconds.
    :param fingerprints: requests that the crash counts against.
    :param parts: shared prompt parts that the crash counts against, with their
        positions in the prompt.
    :param answered: shared parts on which the server was writing answers.
    :param recently_answered: those of ``parts`` that were answered not long ago.
    """

    server_id: str
    started_ms: int
    address: str
    fingerprints: list[str] = []
    parts: dict[str, int] = {}
    answered: list[str] = []
    recently_answered: list[str] = []

    @property
    def incarnation(self) -> tuple[str, int, str]:
        """The crashed incarnation of the server."""
        return (self.server_id, self.started_ms, self.address)


class Clearance(BaseModel):
    """Parts on which a complete answer, or most of one, was written after a crash."""

    cleared: list[str]


_ROW_CONTENT = TypeAdapter(CrashReport | Clearance)


def parse_row(value: bytes) -> CrashReport | Clearance:
    """Return the content of a row.

    :raises ValueError: if the row has another form.
    """
    return _ROW_CONTENT.validate_json(read_content(value))


def list_part_keys(prompt: Prompt | None) -> list[str]:
    """Return the keys of the parts that other requests may share, without repeats.

    A key is the part's id, or a digest of it where the id is long or unusual.
    """
    if prompt is None:
        return []
    return list(dict.fromkeys(_build_part_key(part) for part, _ in prompt.shared_parts))


def _build_part_key(part_id: str) -> str:
    is_plain = part_id.isascii() and part_id.isprintable() and '"' not in part_id
    if is_plain and "\\" not in part_id and len(part_id) <= _PART_KEY_LENGTH_MAX:
        return part_id
    return digest("part", part_id).hex()
