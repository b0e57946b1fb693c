"""An in-memory table and a fake clock for the membership tests."""

from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.platform.table import Put, Row
from apricotlift.wire.messages import MemberSummary


class FakeClock:
    def __init__(self):
        self.now = 5000.0

    def __call__(self):
        return self.now


class FakeTable:
    """An in-memory table with rows by sort key.

    ``faults`` applies to the next writes, one entry each: ``unavailable`` fails the
    write, ``lost before`` and ``lost after`` lose the answer before or after the write
    took effect, and with ``delayed`` the answer is lost and the write takes effect when
    ``deliver`` is called.
    """

    def __init__(self, clock=None):
        self.rows = {}
        self.faults = []
        self.delayed = []
        self.is_down = False
        self.write_duration_s = 0
        self.clock = clock

    async def get(self, pk, sk):
        self.check_available()
        return self.rows.get(sk)

    async def query(self, pk):
        self.check_available()
        return [self.rows[sk] for sk in sorted(self.rows)]

    async def transact(self, writes, token=""):
        if self.clock:
            self.clock.now += self.write_duration_s
        self.check_available()
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
        """Apply the delayed writes whose conditions are still met."""
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
            is_met = condition.exists in (None, row is not None)
            values = {} if row is None else row.values
            is_met &= all(values.get(name) == value for name, value in condition.equals)
            if not is_met:
                raise ApricotliftError(Code.CONDITION_FAILED, f"{sk}: {condition}")
            if isinstance(write, Put):
                self.rows[sk] = Row(write.row.pk, sk, dict(write.row.values))
            else:
                self.rows.pop(sk, None)

    def check_available(self):
        if self.is_down:
            raise ApricotliftError(Code.TABLE_UNAVAILABLE, "the table is down")


def build_summary(node_id, incarnation="0" * 20, domain="domain-1", state="serving"):
    return MemberSummary(
        node_id, incarnation, f"{node_id}:1", f"{node_id}:2", domain, state
    )
