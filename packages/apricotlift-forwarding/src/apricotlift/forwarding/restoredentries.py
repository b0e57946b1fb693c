"""Which entries of a restored table of servers still hold.

A store that comes back from a copy shows entries that are some seconds old. A server
that has left since may be listed again, and one that drains may be listed as serving.
Such an entry counts again once it is written in the new era, or if the server has
written it later than what is known of it: its write number is higher.
"""

from dataclasses import dataclass, field

from apricotlift.forwarding.entities import Server
from apricotlift.forwarding.feeds import RowSet, StoredRow

#: Incarnations that left are kept for so many, the newest ones.
N_LEFT_KEPT = 4096


@dataclass
class RestoredEntries:
    """Tells restored entries apart from those that were written in the era.

    :param era: era of the rows that were applied last; ``None`` before the first ones.
    """

    era: int | None = None
    _restored_version: int = -1
    _left: dict[tuple, int] = field(default_factory=dict)

    def note_rows(self, rows: RowSet, is_full_table: bool) -> None:
        """Note the era of rows before they are applied."""
        if self.era is not None and rows.era != self.era and is_full_table:
            # A few of these rows may have been written in the new era already. Their
            # write numbers tell.
            self._restored_version = rows.version
        self.era = rows.era

    def is_restored(self, row: StoredRow, is_full_table: bool) -> bool:
        """Return whether a row may be one that the store had in the copy."""
        return is_full_table and row.version <= self._restored_version

    def note_left(self, server: Server) -> None:
        """Remember an incarnation whose entry was removed or replaced."""
        self._left.pop(server.incarnation, None)
        self._left[server.incarnation] = server.write_number
        if len(self._left) > N_LEFT_KEPT:
            del self._left[next(iter(self._left))]

    def is_superseded(self, server: Server, known: Server | None) -> bool:
        """Return whether more is known of a server than its restored entry says.

        :param known: the server that has the same id, if there is one.
        """
        if known is not None and known.incarnation == server.incarnation:
            return server.write_number <= known.write_number
        if known is not None and server.started_ms < known.started_ms:
            return True
        n_written = self._left.get(server.incarnation)
        return n_written is not None and server.write_number <= n_written
