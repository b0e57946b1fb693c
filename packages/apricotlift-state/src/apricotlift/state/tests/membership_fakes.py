"""A table in memory and a clock, for the tests of membership."""

from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.platform.table import Put, Row
from apricotlift.wire.messages import MemberSummary


class FakeClock:
    def __init__(self):
        self.now = 5000.0

    def __call__(self):
        return self.now


class FakeTable:
    """Rows by sort key; ``faults`` apply to the next writes, one each.

    A fault is ``unavailable``, ``lost before`` or ``lost after`` the effect, or
    ``delayed``: the answer is lost, and the effect comes with ``deliver``.
    """

    def __init__(self, clock=None):
        self.rows = {}
        self.faults = []
        self.delayed = []
        self.is_down = False
        self.write_s = 0
        self.clock = clock

    async def get(self, pk, sk):
        self.check_up()
        return self.rows.get(sk)

    async def query(self, pk):
        self.check_up()
        return [self.rows[sk] for sk in sorted(self.rows)]

    async def transact(self, writes, token=""):
        if self.clock:
            self.clock.now += self.write_s
        self.check_up()
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "unavailable":
            raise ApricotliftError(Code.TABLE_UNAVAILABLE, "injected")
        if fault == "delayed":
            self.delayed.append(writes)
        elif fault != "lost before":
            self.apply(writes)
        if fault:
            raise ApricotliftError(Code.TABLE_UNCLEAR, "injected")

    def deliver(self):
        """Let delayed writes take effect where their conditions still hold."""
        for writes in self.delayed:
            try:
                self.apply(writes)
            except ApricotliftError as error:
                assert error.code == Code.CONDITION_FAILED

    def apply(self, writes):
        for write in writes:
            sk = write.row.sk if isinstance(write, Put) else write.sk
            row = self.rows.get(sk)
            condition = write.condition
            holds = condition.exists in (None, row is not None)
            values = {} if row is None else row.values
            holds &= all(values.get(name) == value for name, value in condition.equals)
            if not holds:
                raise ApricotliftError(Code.CONDITION_FAILED, f"{sk}: {condition}")
            if isinstance(write, Put):
                self.rows[sk] = Row(write.row.pk, sk, dict(write.row.values))
            else:
                self.rows.pop(sk, None)

    def check_up(self):
        if self.is_down:
            raise ApricotliftError(Code.TABLE_UNAVAILABLE, "the table is down")


def build_summary(node_id, incarnation="0" * 20, domain="domain-1", state="serving"):
    return MemberSummary(
        node_id, incarnation, f"{node_id}:1", f"{node_id}:2", domain, state
    )
