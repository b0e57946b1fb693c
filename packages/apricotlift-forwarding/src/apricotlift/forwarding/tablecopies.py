"""The rows of a followed table, kept so that other nodes can be given its changes."""

from collections import deque
from dataclasses import dataclass, field

import anyio
from apricotlift.forwarding.feeds import RowSet, StoredRow

#: Number of changes that are kept; a node that lacks older ones gets the whole table.
MAX_KEPT_CHANGES = 2000


@dataclass
class TableCopy:
    """The rows of one table, with its latest changes in order.

    :param version: version of the latest change.
    :param known_from: all changes after this version are kept.
    :param era: era of the store that all versions belong to.
    """

    version: int = -1
    known_from: int = -1
    era: int = 0
    _rows: dict[str, StoredRow] = field(default_factory=dict)
    _changes: deque[StoredRow] = field(default_factory=deque)
    _changed: anyio.Event = field(default_factory=anyio.Event)

    def apply(self, rows: RowSet, is_full_table: bool) -> None:
        """Apply rows that the store returned.

        :param is_full_table: whether rows that are missing have been deleted.
        """
        if rows.era != self.era:
            self._clear(rows)
        changes = [_set_version(row, rows.version) for row in rows.rows]
        if self.version < 0:
            # Rows that were deleted before the first read are not known.
            self.known_from = self.version = rows.version
        if is_full_table:
            listed = {row.key for row in changes}
            gone = [key for key in self._rows if key not in listed]
            changes = [row for row in changes if self._is_new(row)]
            changes += [StoredRow(key, None, rows.version) for key in gone]
        for row in sorted(changes, key=lambda row: row.version):
            self._add_change(row)
        if changes:
            self._wake()

    def collect(self, after: int, era: int | None = None) -> RowSet:
        """Return the changes after a version, or all rows if not all are kept.

        :param era: era that the version belongs to, by default that of the copy. All
            rows are returned for a version of another era.
        """
        is_other_era = era is not None and era != self.era
        if is_other_era or after < self.known_from:
            rows = tuple(self._rows.values())
            return RowSet(rows, self.version, is_full_table=True, era=self.era)
        rows = {row.key: row for row in self._changes if row.version > after}
        return RowSet(tuple(rows.values()), self.version, era=self.era)

    async def wait_beyond(self, version: int, era: int) -> None:
        """Wait until there is a change after a version of an era, or a later era."""
        while self.era < era or (self.era == era and self.version <= version):
            await self._changed.wait()

    def _clear(self, rows: RowSet) -> None:
        """Begin again with the whole table of a new era."""
        self.era = rows.era
        self._rows.clear()
        self._changes.clear()
        self.known_from = self.version = rows.version
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _is_new(self, row: StoredRow) -> bool:
        known = self._rows.get(row.key)
        return known is None or known.version != row.version

    def _add_change(self, row: StoredRow) -> None:
        if row.value is None:
            self._rows.pop(row.key, None)
        else:
            self._rows[row.key] = row
        self._changes.append(row)
        self.version = max(self.version, row.version)
        if len(self._changes) > MAX_KEPT_CHANGES:
            self.known_from = self._changes.popleft().version


def _set_version(row: StoredRow, default: int) -> StoredRow:
    """Return a row with the version of the read where the store states none for it."""
    return row if row.version else StoredRow(row.key, row.value, default)
