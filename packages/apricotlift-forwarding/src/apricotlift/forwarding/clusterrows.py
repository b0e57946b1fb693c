"""The rows that the nodes write for each other, all in one followed table.

One feed serves all kinds of rows, because each followed table costs every reader a call
to the store in each poll interval. The prefix of a row's key names its kind.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from apricotlift.core import clocks
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.feeds import Feed, RowSet, RowSource, StoredRow
from apricotlift.platform.table import Row, decode_values
from pydantic import BaseModel, TypeAdapter

#: The name is older than the other kinds of rows. It stays, because nodes of two
#: versions read each other's rows during an upgrade.
TABLE = "apricotlift-suspects"
PARTITION = ""

_JSON_OBJECT = TypeAdapter(dict)

Apply = Callable[[RowSet, bool], None]


def build_row(key: str, content: BaseModel) -> Row:
    """Return the row that holds a document."""
    return Row(PARTITION, key, {"content": content.model_dump_json()})


def read_content(value: bytes) -> str:
    """Return the document of a row as JSON text.

    :raises ValueError: if the row has another form.
    """
    try:
        return decode_values(_JSON_OBJECT.validate_json(value))["content"]
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"row has no content: {error!r}") from error


@dataclass
class ClusterRows:
    """Follows the table and passes each kind of row to its reader."""

    source: RowSource
    metrics: Metrics
    clock: Callable[[], float] = clocks.monotonic
    feed: Feed = field(init=False)
    _readers: dict[str, Apply] = field(default_factory=dict)

    def __post_init__(self):
        self.feed = Feed(self.source, TABLE, self._apply, self.metrics, self.clock)

    def register(self, prefix: str, apply: Apply) -> None:
        """Pass the rows whose keys begin with a prefix to a reader.

        :param prefix: the longest matching one decides; the empty one stands for all
            rows that no other prefix matches.
        :param apply: called as ``apply`` of :class:`~.feeds.Feed` with these rows only.
        """
        self._readers[prefix] = apply

    def _apply(self, rows: RowSet, is_full_table: bool) -> None:
        rows_by_prefix: dict[str, list[StoredRow]] = {}
        for row in rows.rows:
            rows_by_prefix.setdefault(self._find_prefix(row.key), []).append(row)
        for prefix, apply in self._readers.items():
            matching = tuple(rows_by_prefix.get(prefix, ()))
            if matching or is_full_table:
                apply(replace(rows, rows=matching), is_full_table)

    def _find_prefix(self, key: str) -> str:
        matching = (prefix for prefix in self._readers if key.startswith(prefix))
        return max(matching, key=len, default="")
