"""Claims on non-repeatable calls: the protocol by which a call runs at most once.

A node writes a claim row on condition that the key has none, dispatches the call
once that write is confirmed, and records the result in the row. Nobody takes over a
claim, so a node that was paused between claim and dispatch can't cause a second
dispatch. A claim whose node was lost before the record may have run.
"""

import hashlib
import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

import anyio
from anyio.abc import TaskStatus
from apricotlift.core import clocks, logs
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.platform import ABSENT, Condition, Delete, ObjectStore, Put, Table
from apricotlift.platform import build_equals as equals
from apricotlift.state.claimbatch import WriteFunction
from apricotlift.state.claimrows import (
    EXPIRY_MS,
    MAX_INLINE_BYTES,
    SORT_KEY,
    CallResult,
    ClaimRow,
    Outcome,
    build_claim_pk,
    decode_claim,
    encode_claim,
)
from apricotlift.state.retryqueue import RetryQueue

_NEVER = float("inf")
_MAX_CLAIM_ATTEMPTS = 3
_MAX_READ_BACKS = 3
_READ_BACK_PAUSE_S = 0.1
_RETRY_AFTER_S = 2.0


@dataclass(frozen=True)
class ClaimSettings:
    """Limits of the protocol.

    :param dispatch_limit_s: a call is dispatched within this time after its claim
        write was begun, or not at all.
    :param settle_s: longer than a claim write can be on its way to the table. Until
        then a write that seems lost may still take effect.
    :param record_wait_s: how long an answer waits for its record.
    :param release_wait_s: how long a refusal waits for its claim's release.
    :param max_pending: unfinished records and releases above which no claim is taken.
    :param max_pending_bytes: the same for the bytes of unrecorded results.
    :param n_failures_to_pause: consecutive failures after which one claim a
        ``pause_s`` probes the table and the others are refused.
    """

    dispatch_limit_s: float = 5.0
    settle_s: float = 60.0
    record_wait_s: float = 1.0
    release_wait_s: float = 0.5
    max_pending: int = 2_000
    max_pending_bytes: int = 16_777_216
    n_failures_to_pause: int = 3
    pause_s: float = 1.0


class ClaimState(StrEnum):
    """The steps of a claim of this process."""

    WRITING = "writing"
    CONFIRMED = "confirmed"
    DISPATCHED = "dispatched"
    ENDED = "ended"
    RELEASED = "released"


@dataclass(eq=False)
class Claim:
    """A claim that this process wrote, under a token that nobody else has."""

    row: ClaimRow
    begun_at: float
    state: ClaimState = ClaimState.WRITING
    was_confirmed: bool = False
    result: CallResult | None = None

    @property
    def token(self) -> str:
        """The token in the row."""
        return self.row.token


@dataclass(frozen=True)
class Recorded:
    """The recorded result of an earlier call with the same key.

    :param expires_at_ms: when the key expires; 0 while the record is on its way.
    """

    result: CallResult
    expires_at_ms: int


class Claims:
    """The claims of one node.

    :param write: sends one write, alone or in batches.
    :param is_alive: whether a node still runs under an incarnation; an answer that
        is wrong changes only the code of a refusal.
    :param get_incarnation: returns this node's incarnation.
    """

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        write: WriteFunction,
        metrics: Metrics,
        node: str,
        get_incarnation: Callable[[], str],
        is_alive: Callable[[str, str], bool],
        settings: ClaimSettings | None = None,
        clock: Callable[[], float] = clocks.monotonic,
        get_wall_ms: Callable[[], int] = clocks.wall_ms,
    ):
        self._table = table
        self._objects = objects
        self._write = write
        self._metrics = metrics
        self._node = node
        self._get_incarnation = get_incarnation
        self._is_alive = is_alive
        self._settings = settings or ClaimSettings()
        self._clock = clock
        self._get_wall_ms = get_wall_ms
        self._held: dict[str, Claim] = {}
        self._retries = RetryQueue("claims", metrics)
        self._read_backs = anyio.CapacityLimiter(16)
        self._n_pending_bytes = 0
        self._n_failures = 0
        self._paused_until = 0.0

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Finish records and releases in the background until cancelled."""
        await self._retries.run(task_status=task_status)

    async def wait_flushed(self) -> None:
        """Wait until no record or release is pending, for a drain."""
        await self._retries.wait_idle()

    async def claim(self, account: str, key: str, body_digest: str) -> Claim | Recorded:
        """Claim a key, or return the result of the call that had it.

        :param body_digest: of the whole call; a key is for one call only.
        :raises ApricotliftError: ``idempotency_key_reused``, ``in_progress``,
            ``may_have_run`` or ``claim_store_unavailable``.
        """
        self._check_capacity()
        pk = build_claim_pk(account, key)
        condition = ABSENT
        for _ in range(_MAX_CLAIM_ATTEMPTS):
            claim = self._build_claim(pk, body_digest)
            if await self._write_claim(claim, condition):
                return claim
            row = await self._read_existing(pk)
            if row is None:
                condition = ABSENT
            elif row.token == claim.token:
                raise AssertionError(f"claim {row.token} was refused and is in the row")
            elif row.is_expired(self._get_wall_ms()):
                # The token changes with the replacement, so one of several nodes
                # that see the expired row replaces it.
                condition = equals(token=row.token, recorded_at_ms=row.recorded_at_ms)
            else:
                return await self._answer_existing(row, body_digest)
        raise self._refuse_existing(Code.IN_PROGRESS, "other calls compete for the key")

    def begin_dispatch(self, claim: Claim) -> None:
        """Mark a claim as dispatched, just before its call is sent.

        :raises ApricotliftError: ``claim_expired`` when the claim is too old; it is
            released, and the call did not run.
        """
        _require(self._held.get(claim.token) is claim, "the claim is held", claim)
        _require(claim.state is ClaimState.CONFIRMED, "the claim is confirmed", claim)
        age_s = self._clock() - claim.begun_at
        if age_s > self._settings.dispatch_limit_s:
            self._start_release(claim)
            self._metrics.count("claims_total", outcome="expired")
            message = f"the claim is {age_s:.1f} s old"
            raise ApricotliftError(
                Code.CLAIM_EXPIRED, message, Ran.NO, Scope.NODE, _RETRY_AFTER_S
            )
        claim.state = ClaimState.DISPATCHED

    def retract_dispatch(self, claim: Claim) -> None:
        """Take back a dispatch of which no byte was sent.

        The claim may then be dispatched to another upstream or released.
        """
        _require(claim.state is ClaimState.DISPATCHED, "it was dispatched", claim)
        claim.state = ClaimState.CONFIRMED

    async def record(self, claim: Claim, result: CallResult) -> None:
        """Record how a dispatched call ended.

        Returns when the record is written, or after ``record_wait_s`` with the
        writing going on in the background.
        """
        _require(self._held.get(claim.token) is claim, "the claim is held", claim)
        _require(claim.state is ClaimState.DISPATCHED, "it was dispatched", claim)
        claim.state = ClaimState.ENDED
        claim.result = result
        self._n_pending_bytes += len(result.body)
        claim.row = self._build_record(claim.row, result)
        done = self._retries.submit(lambda: self._try_record(claim))
        with anyio.move_on_after(self._settings.record_wait_s):
            await done.wait()
        if not done.is_set():
            self._metrics.count("claim_records_delayed_total")

    async def release(self, claim: Claim) -> None:
        """Give up a claim whose call was not dispatched.

        Returns when the row is deleted, or after ``release_wait_s`` with the
        deletion going on in the background.
        """
        done = self._start_release(claim)
        with anyio.move_on_after(self._settings.release_wait_s):
            await done.wait()

    def _build_claim(self, pk: str, body_digest: str) -> Claim:
        token = uuid.uuid4().hex
        incarnation = self._get_incarnation()
        now_ms = self._get_wall_ms()
        row = ClaimRow(pk, token, self._node, incarnation, body_digest, now_ms)
        claim = Claim(row, self._clock())
        self._held[token] = claim
        return claim

    async def _write_claim(self, claim: Claim, condition: Condition) -> bool:
        """Return whether the claim is confirmed; otherwise the key has another row."""
        give_up_at = claim.begun_at + self._settings.dispatch_limit_s
        try:
            await self._write(Put(encode_claim(claim.row), condition), give_up_at)
        except ApricotliftError as error:
            if error.code is Code.CONDITION_FAILED:
                self._n_failures = 0
                del self._held[claim.token]
                return False
            self._n_failures += 1
            if error.code is Code.TABLE_UNCLEAR:
                return await self._read_back(claim, condition)
            del self._held[claim.token]
            raise self._refuse_store("store_unavailable", str(error)) from error
        except BaseException:
            # Cancelled while the write may be on its way.
            self._start_release(claim)
            raise
        self._n_failures = 0
        self._confirm(claim, "written")
        return True

    def _confirm(self, claim: Claim, outcome: str) -> None:
        claim.state = ClaimState.CONFIRMED
        claim.was_confirmed = True
        self._metrics.count("claims_total", outcome=outcome)

    async def _read_back(self, claim: Claim, condition: Condition) -> bool:
        """Resolve a claim write whose answer is missing.

        An absent row, or the expired one, proves nothing: the write may still be on
        its way. The call is refused then, and the release outlasts the write.
        """
        try:
            row = await self._read_until_limit(claim)
        except BaseException:
            self._start_release(claim)
            raise
        if row is not None and row.token == claim.token:
            self._confirm(claim, "read_back")
            return True
        self._start_release(claim)
        if row is None or ("token", row.token) in condition.equals:
            raise self._refuse_store("write_unclear", "the claim's write is unclear")
        return False

    async def _read_until_limit(self, claim: Claim) -> ClaimRow | None:
        limit_at = claim.begun_at + self._settings.dispatch_limit_s
        for n_left in reversed(range(_MAX_READ_BACKS)):
            try:
                async with self._read_backs:
                    return await self._get(claim.row.pk)
            except ApricotliftError as error:
                if not n_left or self._clock() > limit_at:
                    raise self._refuse_store("write_unclear", str(error)) from error
            await anyio.sleep(_READ_BACK_PAUSE_S)
        raise AssertionError("the loop returns or raises")

    async def _read_existing(self, pk: str) -> ClaimRow | None:
        try:
            return await self._get(pk)
        except ApricotliftError as error:
            # A call with this key exists and its row can't be read.
            refusal = self._refuse_store("existing_unreadable", str(error))
            raise replace(refusal, ran=Ran.MAYBE) from error

    async def _get(self, pk: str) -> ClaimRow | None:
        row = await self._table.get(pk, SORT_KEY)
        return None if row is None else decode_claim(row)

    async def _answer_existing(self, row: ClaimRow, body_digest: str) -> Recorded:
        if row.body_digest != body_digest:
            self._metrics.count("claims_total", outcome="reused")
            message = "the idempotency key was used for another call"
            raise ApricotliftError(Code.IDEMPOTENCY_KEY_REUSED, message)
        held = self._held.get(row.token)
        if held is None and not row.is_recorded and row.node == self._node:
            # The record may have been finished since the row was read.
            row = await self._read_existing(row.pk) or row
        if row.is_recorded:
            result = await self._read_result(row)
            return self._answer_result(result, row.expires_at_ms)
        if held is not None and held.result is not None:
            return self._answer_result(held.result, 0)
        if held is not None or self._is_owner_alive(row):
            raise self._refuse_existing(Code.IN_PROGRESS, "the call is in progress")
        message = f"node {row.node} was lost before it recorded the result"
        raise self._refuse_existing(Code.MAY_HAVE_RUN, message)

    def _is_owner_alive(self, row: ClaimRow) -> bool:
        # A claim of this node that it doesn't hold is of an earlier process.
        return row.node != self._node and self._is_alive(row.node, row.incarnation)

    def _answer_result(self, result: CallResult, expires_at_ms: int) -> Recorded:
        if result.outcome is Outcome.UNCLEAR:
            message = "the call was sent and its answer was lost"
            raise self._refuse_existing(Code.MAY_HAVE_RUN, message)
        self._metrics.count("claims_total", outcome="recorded")
        return Recorded(result, expires_at_ms)

    async def _read_result(self, row: ClaimRow) -> CallResult:
        body = row.body
        if row.object_key:
            try:
                body = await self._objects.get(row.object_key)
            except ApricotliftError as error:
                self._metrics.count("claims_total", outcome="result_unreadable")
                raise replace(error, ran=Ran.YES) from error
            if hashlib.sha256(body).hexdigest() != row.body_sha256:
                self._metrics.count("claims_total", outcome="result_corrupt")
                message = f"object {row.object_key} differs from its recorded digest"
                raise ApricotliftError(Code.OBJECT_CORRUPT, message, Ran.YES)
        return CallResult(row.status, row.headers, body, row.outcome)

    def _build_record(self, row: ClaimRow, result: CallResult) -> ClaimRow:
        now_ms = self._get_wall_ms()
        is_inline = len(result.body) <= MAX_INLINE_BYTES
        return replace(
            row,
            recorded_at_ms=now_ms,
            expires_at_ms=now_ms + EXPIRY_MS,
            outcome=result.outcome,
            status=result.status,
            headers=result.headers,
            body=result.body if is_inline else b"",
            object_key="" if is_inline else f"claim-results/{row.token}",
            body_sha256="" if is_inline else hashlib.sha256(result.body).hexdigest(),
        )

    async def _try_record(self, claim: Claim) -> bool:
        """Write the record; writing it twice has the effect of once."""
        try:
            if claim.row.object_key:
                await self._objects.put(claim.row.object_key, claim.result.body)
            write = Put(encode_claim(claim.row), equals(token=claim.token))
            await self._write(write, _NEVER)
            self._n_failures = 0
            self._metrics.count("claim_records_total", outcome="written")
        except ApricotliftError as error:
            if error.code is not Code.CONDITION_FAILED:
                self._metrics.count("claim_record_retries_total", reason=error.code)
                return False
            # Nobody but its owner changes a row before the record expires.
            self._metrics.count("claim_records_total", outcome="row_changed")
            logs.log(logs.ERROR, "claim_row_changed", pk=claim.row.pk)
        self._n_pending_bytes -= len(claim.result.body)
        del self._held[claim.token]
        return True

    def _start_release(self, claim: Claim) -> anyio.Event:
        _require(self._held.get(claim.token) is claim, "the claim is held", claim)
        _require(
            claim.state in (ClaimState.WRITING, ClaimState.CONFIRMED),
            "the claim wasn't dispatched",
            claim,
        )
        claim.state = ClaimState.RELEASED
        return self._retries.submit(lambda: self._try_release(claim))

    async def _try_release(self, claim: Claim) -> bool:
        started_at = self._clock()
        write = Delete(claim.row.pk, SORT_KEY, equals(token=claim.token))
        try:
            await self._write(write, _NEVER)
        except ApricotliftError as error:
            if error.code is not Code.CONDITION_FAILED:
                self._metrics.count("claim_release_retries_total", reason=error.code)
                return False
            is_settled = started_at - claim.begun_at > self._settings.settle_s
            if not claim.was_confirmed and not is_settled:
                self._metrics.count("claim_release_retries_total", reason="unsettled")
                return False
        self._metrics.count("claims_total", outcome="released")
        del self._held[claim.token]
        return True

    def _check_capacity(self) -> None:
        settings = self._settings
        if self._retries.n_pending >= settings.max_pending:
            raise self._refuse_store("pending", "too many results aren't recorded yet")
        if self._n_pending_bytes >= settings.max_pending_bytes:
            raise self._refuse_store("pending", "too many bytes aren't recorded yet")
        if self._n_failures >= settings.n_failures_to_pause:
            if self._clock() < self._paused_until:
                raise self._refuse_store("paused", "the table service fails")
            self._paused_until = self._clock() + settings.pause_s

    def _refuse_store(self, reason: str, message: str) -> ApricotliftError:
        self._metrics.count("claim_refusals_total", reason=reason)
        text = f"claim store: {message}"
        return ApricotliftError(
            Code.CLAIM_STORE_UNAVAILABLE, text, Ran.NO, Scope.FLEET, _RETRY_AFTER_S
        )

    def _refuse_existing(self, code: Code, message: str) -> ApricotliftError:
        self._metrics.count("claims_total", outcome=code)
        retry_after_s = _RETRY_AFTER_S if code is Code.IN_PROGRESS else None
        return ApricotliftError(code, message, Ran.MAYBE, Scope.REQUEST, retry_after_s)


def _require(holds: bool, expected: str, claim: Claim) -> None:
    """Stop a call that would break the protocol, also under ``python -O``."""
    if not holds:
        message = f"claim {claim.token} is {claim.state}; expected that {expected}"
        raise AssertionError(message)
