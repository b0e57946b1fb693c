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
    """

    version: int = -1
    known_from: int = -1
    _rows: dict[str, StoredRow] = field(default_factory=dict)
    _changes: deque[StoredRow] = field(default_factory=deque)
    _changed: anyio.Event = field(default_factory=anyio.Event)

    def apply(self, rows: RowSet, is_full_table: bool) -> None:
        """Apply rows that the store returned.

        :param is_full_table: whether rows that are missing have been deleted.
        """
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
            self._changed.set()
            self._changed = anyio.Event()

    def collect(self, after: int) -> RowSet:
        """Return the changes after a version, or all rows if not all are kept."""
        if after < self.known_from:
            return RowSet(tuple(self._rows.values()), self.version, is_full_table=True)
        rows = {row.key: row for row in self._changes if row.version > after}
        return RowSet(tuple(rows.values()), self.version)

    async def wait_beyond(self, version: int) -> None:
        """Wait until there is a change after a version."""
        while self.version <= version:
            await self._changed.wait()

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
