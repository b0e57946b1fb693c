"""An in-memory platform whose faults a scenario switches call by call."""

from collections.abc import Sequence

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.platform import Condition, Put, Row

LOST = "lost"
REFUSED = "refused"


class FakeTable:
    """Rows in memory.

    :param faults: taken by the next writes: ``lost`` drops the answer after the
        effect, ``refused`` fails before it, ``None`` does nothing.
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
        self._check()
        if self.next_reads:
            return self.next_reads.pop(0)
        return self.rows.get((pk, sk))

    async def query(self, pk: str) -> list[Row]:
        self._check()
        return [row for key, row in sorted(self.rows.items()) if key[0] == pk]

    async def transact(self, writes: Sequence[Put], token: str = "") -> None:
        if self.before_write:
            hook, self.before_write = self.before_write, None
            await hook()
        self._check()
        fault = self.faults.pop(0) if self.faults else None
        if fault == REFUSED:
            raise _refuse(Code.TABLE_UNCLEAR, Ran.MAYBE)
        if token not in self.tokens:
            self._apply(writes)
            self.tokens.add(token)
        if fault == LOST:
            raise _refuse(Code.TABLE_UNCLEAR, Ran.MAYBE)

    def put(self, pk: str, sk: str, **values) -> None:
        self.rows[pk, sk] = Row(pk, sk, values)

    def _apply(self, writes: Sequence[Put]) -> None:
        failed = [
            index
            for index, write in enumerate(writes)
            if not self._holds(write.condition, (write.row.pk, write.row.sk))
        ]
        if failed:
            details = {"failed": failed}
            raise ApricotliftError(Code.CONDITION_FAILED, "refused", details=details)
        for write in writes:
            self.rows[write.row.pk, write.row.sk] = write.row

    def _holds(self, condition: Condition, key: tuple[str, str]) -> bool:
        found = self.rows.get(key)
        if condition.exists not in (None, found is not None):
            return False
        values = found.values if found else {}
        return all(values.get(name) == value for name, value in condition.equals)

    def _check(self) -> None:
        self.on_read()
        if self.is_down:
            raise _refuse(Code.TABLE_UNAVAILABLE, Ran.NO)


class FakeObjects:
    """Objects in memory."""

    def __init__(self):
        self.objects: dict[str, bytes] = {}
        self.is_down = False
        self.refuses_writes = False

    async def get(self, key: str) -> bytes:
        if self.is_down:
            raise _refuse(Code.OBJECTS_UNAVAILABLE, Ran.MAYBE)
        if key not in self.objects:
            raise _refuse(Code.OBJECT_MISSING, Ran.NO)
        return self.objects[key]

    async def put(self, key: str, body: bytes) -> None:
        if self.is_down or self.refuses_writes:
            raise _refuse(Code.OBJECTS_UNAVAILABLE, Ran.MAYBE)
        self.objects.setdefault(key, body)


def _refuse(code: Code, ran: Ran) -> ApricotliftError:
    return ApricotliftError(code, "switched off by the test", ran, Scope.FLEET)
