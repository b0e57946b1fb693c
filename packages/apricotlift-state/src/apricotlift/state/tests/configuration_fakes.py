"""In-memory table and object store with faults that scenarios inject per call."""

from collections.abc import Sequence

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.platform import Condition, Put, Row

LOST = "lost"
REFUSED = "refused"


class FakeTable:
    """An in-memory table.

    ``faults`` applies to the next writes, one entry each: ``lost`` loses the answer
    after the write took effect, ``refused`` fails before it takes effect, ``None`` lets
    the write succeed. ``next_reads`` are returned by the next calls of ``get`` instead
    of the stored rows. ``before_write`` is called once, before the next write, and
    ``on_read`` before every read and write.
    """

    def __init__(self):
        self.rows: dict[tuple[str, str], Row] = {}
        self.faults: list[str | None] = []
        self.tokens: set[str] = set()
        self.is_down = False
        self.before_write = None
        self.on_read = lambda: None
        self.next_reads: list[Row] = []

    async def get(self, pk: str, sk: str) -> Row | None:
        self._check_available()
        if self.next_reads:
            return self.next_reads.pop(0)
        return self.rows.get((pk, sk))

    async def query(self, pk: str) -> list[Row]:
        self._check_available()
        return [row for key, row in sorted(self.rows.items()) if key[0] == pk]

    async def transact(self, writes: Sequence[Put], token: str = "") -> None:
        if self.before_write:
            hook, self.before_write = self.before_write, None
            await hook()
        self._check_available()
        fault = self.faults.pop(0) if self.faults else None
        if fault == REFUSED:
            raise _build_error(Code.TABLE_UNCLEAR, Ran.MAYBE)
        if token not in self.tokens:
            self._apply(writes)
            self.tokens.add(token)
        if fault == LOST:
            raise _build_error(Code.TABLE_UNCLEAR, Ran.MAYBE)

    def put(self, pk: str, sk: str, **values) -> None:
        self.rows[pk, sk] = Row(pk, sk, values)

    def _apply(self, writes: Sequence[Put]) -> None:
        failed = [
            index
            for index, write in enumerate(writes)
            if not self._is_condition_met(write.condition, (write.row.pk, write.row.sk))
        ]
        if failed:
            details = {"failed": failed}
            raise ApricotliftError(Code.CONDITION_FAILED, "refused", details=details)
        for write in writes:
            self.rows[write.row.pk, write.row.sk] = write.row

    def _is_condition_met(self, condition: Condition, key: tuple[str, str]) -> bool:
        found = self.rows.get(key)
        if condition.exists not in (None, found is not None):
            return False
        values = found.values if found else {}
        return all(values.get(name) == value for name, value in condition.equals)

    def _check_available(self) -> None:
        self.on_read()
        if self.is_down:
            raise _build_error(Code.TABLE_UNAVAILABLE, Ran.NO)


class FakeObjects:
    """An in-memory object store."""

    def __init__(self):
        self.objects: dict[str, bytes] = {}
        self.is_down = False
        self.refuses_writes = False

    async def get(self, key: str) -> bytes:
        if self.is_down:
            raise _build_error(Code.OBJECTS_UNAVAILABLE, Ran.MAYBE)
        if key not in self.objects:
            raise _build_error(Code.OBJECT_MISSING, Ran.NO)
        return self.objects[key]

    async def put(self, key: str, body: bytes) -> None:
        if self.is_down or self.refuses_writes:
            raise _build_error(Code.OBJECTS_UNAVAILABLE, Ran.MAYBE)
        self.objects.setdefault(key, body)


def _build_error(code: Code, ran: Ran) -> ApricotliftError:
    return ApricotliftError(code, "fault injected by the test", ran, Scope.FLEET)
