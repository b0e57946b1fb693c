"""At-most-once execution of non-idempotent calls by claims on idempotency keys.

A node writes a claim row on condition that the key has none, dispatches the call
once that write is confirmed, and records the result in the row. A claim is never
transferred to another node, so a node that was paused between claim and dispatch
can't cause a second dispatch. If a node fails before it records the result, the call
may have run.
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

_NO_DEADLINE = float("inf")
_MAX_CLAIM_ATTEMPTS = 3
_MAX_READ_BACK_ATTEMPTS = 3
_READ_BACK_PAUSE_S = 0.1
_RETRY_AFTER_S = 2.0


@dataclass(frozen=True)
class ClaimSettings:
    """Limits of the protocol.

    :param max_dispatch_delay_s: longest time in seconds between the start of the claim
        write and the dispatch of the call; an older claim is released without a
        dispatch.
    :param max_write_delay_s: upper bound in seconds on the time that a claim write
        takes to reach the table. Until then a write whose answer is missing may still
        take effect.
    :param record_wait_s: longest time in seconds that an answer to a caller is delayed
        for the write of its result.
    :param release_wait_s: longest time in seconds that a refusal is delayed for the
        release of its claim.
    :param max_pending_writes: number of unfinished result writes and releases from
        which on new claims are refused.
    :param max_pending_bytes: size in bytes of the unrecorded results from which on
        new claims are refused.
    :param max_consecutive_failures: number of consecutive failed claim writes after
        which only one claim per ``probe_interval_s`` is tried, as a probe of the table,
        and the others are refused.
    :param probe_interval_s: seconds between two such probes.
    """

    max_dispatch_delay_s: float = 5.0
    max_write_delay_s: float = 60.0
    record_wait_s: float = 1.0
    release_wait_s: float = 0.5
    max_pending_writes: int = 2_000
    max_pending_bytes: int = 16_777_216
    max_consecutive_failures: int = 3
    probe_interval_s: float = 1.0


class ClaimState(StrEnum):
    """States of a claim that this process wrote."""

    WRITING = "writing"
    CONFIRMED = "confirmed"
    DISPATCHED = "dispatched"
    ENDED = "ended"
    RELEASED = "released"


@dataclass(eq=False)
class Claim:
    """A claim that this process wrote, identified by a unique token.

    :param write_started_at: monotonic time in seconds at which its write started.
    :param was_confirmed: whether its write was ever confirmed, also when it has been
        released since.
    """

    row: ClaimRow
    write_started_at: float
    state: ClaimState = ClaimState.WRITING
    was_confirmed: bool = False
    result: CallResult | None = None

    @property
    def token(self) -> str:
        """The unique token that is stored in the row."""
        return self.row.token


@dataclass(frozen=True)
class RecordedResult:
    """The recorded result of an earlier call with the same key.

    :param expires_at_ms: Unix time in milliseconds at which the key expires; 0 while
        the result is still being written to the table.
    """

    result: CallResult
    expires_at_ms: int


class ClaimManager:
    """Takes, dispatches, records and releases the claims of one node.

    :param write: sends one write, alone or in a batch with others.
    :param node: id of this node.
    :param get_incarnation: returns this node's incarnation.
    :param is_alive: returns whether a node still runs under a given incarnation. A
        wrong answer affects only the error code of a refusal.
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
        self._open_claims: dict[str, Claim] = {}
        self._retries = RetryQueue("claims", metrics)
        self._read_back_limiter = anyio.CapacityLimiter(16)
        self._n_pending_bytes = 0
        self._n_consecutive_failures = 0
        self._next_probe_at = 0.0

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Retry unfinished result writes and releases until cancelled."""
        await self._retries.run(task_status=task_status)

    async def wait_flushed(self) -> None:
        """Wait until no result write or release is pending, as part of a drain."""
        await self._retries.wait_until_idle()

    async def claim(
        self, account: str, key: str, body_digest: str
    ) -> Claim | RecordedResult:
        """Claim an idempotency key, or return the result recorded under it.

        :param account: client account that the key belongs to.
        :param body_digest: digest of the whole call. A key that is used again with a
            different digest is refused.
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
                raise AssertionError(
                    f"the table refused claim {row.token}, yet the row has its token"
                )
            elif row.is_expired(self._get_wall_ms()):
                # The replacement changes the token, so only one of several nodes
                # that see the expired row can replace it.
                condition = equals(token=row.token, recorded_at_ms=row.recorded_at_ms)
            else:
                return await self._resolve_existing(row, body_digest)
        raise self._build_key_refusal(
            Code.IN_PROGRESS, "other calls with the same key compete for the claim"
        )

    def begin_dispatch(self, claim: Claim) -> None:
        """Mark a claim as dispatched. Must be called just before its call is sent.

        :raises ApricotliftError: ``claim_expired`` if the claim is older than
            ``max_dispatch_delay_s``. It is then released, and the call did not run.
        """
        _require(
            self._open_claims.get(claim.token) is claim, "the claim is open", claim
        )
        _require(claim.state is ClaimState.CONFIRMED, "the claim is confirmed", claim)
        age_s = self._clock() - claim.write_started_at
        if age_s > self._settings.max_dispatch_delay_s:
            self._start_release(claim)
            self._metrics.count("claims_total", outcome="expired")
            message = (
                f"the claim is {age_s:.1f} s old; calls are dispatched within "
                f"{self._settings.max_dispatch_delay_s:g} s of their claim"
            )
            raise ApricotliftError(
                Code.CLAIM_EXPIRED, message, Ran.NO, Scope.NODE, _RETRY_AFTER_S
            )
        claim.state = ClaimState.DISPATCHED

    def retract_dispatch(self, claim: Claim) -> None:
        """Undo :meth:`begin_dispatch` for a call of which no byte was sent.

        The claim can then be dispatched to another upstream or released.
        """
        _require(claim.state is ClaimState.DISPATCHED, "the claim is dispatched", claim)
        claim.state = ClaimState.CONFIRMED

    async def record(self, claim: Claim, result: CallResult) -> None:
        """Record the result of a dispatched call.

        Returns when the result is written, or after ``record_wait_s``, in which case
        the write continues in the background.
        """
        _require(
            self._open_claims.get(claim.token) is claim, "the claim is open", claim
        )
        _require(claim.state is ClaimState.DISPATCHED, "the claim is dispatched", claim)
        claim.state = ClaimState.ENDED
        claim.result = result
        self._n_pending_bytes += len(result.body)
        claim.row = self._build_recorded_row(claim.row, result)
        done = self._retries.submit(lambda: self._try_record(claim))
        with anyio.move_on_after(self._settings.record_wait_s):
            await done.wait()
        if not done.is_set():
            self._metrics.count("claim_records_delayed_total")

    async def release(self, claim: Claim) -> None:
        """Release a claim whose call was not dispatched.

        Returns when the row is deleted, or after ``release_wait_s``, in which case
        the deletion continues in the background.
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
        self._open_claims[token] = claim
        return claim

    async def _write_claim(self, claim: Claim, condition: Condition) -> bool:
        """Write a claim row.

        :returns: whether the claim is confirmed. Otherwise the key already has the row
            of another claim.
        """
        send_deadline_at = claim.write_started_at + self._settings.max_dispatch_delay_s
        try:
            await self._write(Put(encode_claim(claim.row), condition), send_deadline_at)
        except ApricotliftError as error:
            if error.code is Code.CONDITION_FAILED:
                self._n_consecutive_failures = 0
                del self._open_claims[claim.token]
                return False
            self._n_consecutive_failures += 1
            if error.code is Code.TABLE_UNCLEAR:
                return await self._read_back(claim, condition)
            del self._open_claims[claim.token]
            raise self._build_store_refusal("store_unavailable", str(error)) from error
        except BaseException:
            # Cancelled: the write may already have been sent and may take effect.
            self._start_release(claim)
            raise
        self._n_consecutive_failures = 0
        self._confirm(claim, "written")
        return True

    def _confirm(self, claim: Claim, outcome: str) -> None:
        claim.state = ClaimState.CONFIRMED
        claim.was_confirmed = True
        self._metrics.count("claims_total", outcome=outcome)

    async def _read_back(self, claim: Claim, condition: Condition) -> bool:
        """Find out by a read whether a claim write whose answer is missing took effect.

        If the row is absent or still the expired one, the write may yet reach the
        table. In that case the call is refused, and the release is retried until the
        write can no longer arrive.

        :returns: whether the claim is confirmed, as for :meth:`_write_claim`.
        """
        try:
            row = await self._read_row_with_retries(claim)
        except BaseException:
            self._start_release(claim)
            raise
        if row is not None and row.token == claim.token:
            self._confirm(claim, "read_back")
            return True
        self._start_release(claim)
        if row is None or ("token", row.token) in condition.equals:
            raise self._build_store_refusal(
                "write_unclear", "it is unknown whether the claim was written"
            )
        return False

    async def _read_row_with_retries(self, claim: Claim) -> ClaimRow | None:
        deadline_at = claim.write_started_at + self._settings.max_dispatch_delay_s
        for n_retries_left in reversed(range(_MAX_READ_BACK_ATTEMPTS)):
            try:
                async with self._read_back_limiter:
                    return await self._read_row(claim.row.pk)
            except ApricotliftError as error:
                if not n_retries_left or self._clock() > deadline_at:
                    raise self._build_store_refusal(
                        "write_unclear", str(error)
                    ) from error
            await anyio.sleep(_READ_BACK_PAUSE_S)
        raise AssertionError("unreachable: the last attempt returns or raises")

    async def _read_existing(self, pk: str) -> ClaimRow | None:
        try:
            return await self._read_row(pk)
        except ApricotliftError as error:
            # Another call has claimed this key, so the call may have run.
            refusal = self._build_store_refusal("existing_unreadable", str(error))
            raise replace(refusal, ran=Ran.MAYBE) from error

    async def _read_row(self, pk: str) -> ClaimRow | None:
        row = await self._table.get(pk, SORT_KEY)
        return None if row is None else decode_claim(row)

    async def _resolve_existing(
        self, row: ClaimRow, body_digest: str
    ) -> RecordedResult:
        if row.body_digest != body_digest:
            self._metrics.count("claims_total", outcome="reused")
            message = "the idempotency key was already used for a different call"
            raise ApricotliftError(Code.IDEMPOTENCY_KEY_REUSED, message)
        open_claim = self._open_claims.get(row.token)
        if open_claim is None and not row.is_recorded and row.node == self._node:
            # The result may have been recorded since the row was read.
            row = await self._read_existing(row.pk) or row
        if row.is_recorded:
            result = await self._read_result(row)
            return self._build_recorded_result(result, row.expires_at_ms)
        if open_claim is not None and open_claim.result is not None:
            return self._build_recorded_result(open_claim.result, 0)
        if open_claim is not None or self._is_owner_alive(row):
            raise self._build_key_refusal(Code.IN_PROGRESS, "the call is in progress")
        message = f"node {row.node} failed before it recorded the result"
        raise self._build_key_refusal(Code.MAY_HAVE_RUN, message)

    def _is_owner_alive(self, row: ClaimRow) -> bool:
        # A claim of this node that isn't open here was left by an earlier process.
        return row.node != self._node and self._is_alive(row.node, row.incarnation)

    def _build_recorded_result(
        self, result: CallResult, expires_at_ms: int
    ) -> RecordedResult:
        if result.outcome is Outcome.UNCLEAR:
            message = "the call was sent to the upstream, but its answer was lost"
            raise self._build_key_refusal(Code.MAY_HAVE_RUN, message)
        self._metrics.count("claims_total", outcome="recorded")
        return RecordedResult(result, expires_at_ms)

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
                message = f"object {row.object_key} doesn't match its recorded digest"
                raise ApricotliftError(Code.OBJECT_CORRUPT, message, Ran.YES)
        return CallResult(row.status, row.headers, body, row.outcome)

    def _build_recorded_row(self, row: ClaimRow, result: CallResult) -> ClaimRow:
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
        """Write the result and return whether that is done; the write is idempotent."""
        try:
            if claim.row.object_key:
                await self._objects.put(claim.row.object_key, claim.result.body)
            write = Put(encode_claim(claim.row), equals(token=claim.token))
            await self._write(write, _NO_DEADLINE)
            self._n_consecutive_failures = 0
            self._metrics.count("claim_records_total", outcome="written")
        except ApricotliftError as error:
            if error.code is not Code.CONDITION_FAILED:
                self._metrics.count("claim_record_retries_total", reason=error.code)
                return False
            # Only the node that wrote a claim may change its row before the result
            # expires, so a row with another token is an error.
            self._metrics.count("claim_records_total", outcome="row_changed")
            logs.log(logs.ERROR, "claim_row_changed", pk=claim.row.pk)
        self._n_pending_bytes -= len(claim.result.body)
        del self._open_claims[claim.token]
        return True

    def _start_release(self, claim: Claim) -> anyio.Event:
        _require(
            self._open_claims.get(claim.token) is claim, "the claim is open", claim
        )
        _require(
            claim.state in (ClaimState.WRITING, ClaimState.CONFIRMED),
            "the claim is not dispatched",
            claim,
        )
        claim.state = ClaimState.RELEASED
        return self._retries.submit(lambda: self._try_release(claim))

    async def _try_release(self, claim: Claim) -> bool:
        started_at = self._clock()
        write = Delete(claim.row.pk, SORT_KEY, equals(token=claim.token))
        try:
            await self._write(write, _NO_DEADLINE)
        except ApricotliftError as error:
            if error.code is not Code.CONDITION_FAILED:
                self._metrics.count("claim_release_retries_total", reason=error.code)
                return False
            # A write that was never confirmed may still reach the table until then.
            is_settled = (
                started_at - claim.write_started_at > self._settings.max_write_delay_s
            )
            if not claim.was_confirmed and not is_settled:
                self._metrics.count("claim_release_retries_total", reason="unsettled")
                return False
        self._metrics.count("claims_total", outcome="released")
        del self._open_claims[claim.token]
        return True

    def _check_capacity(self) -> None:
        settings = self._settings
        if self._retries.n_pending >= settings.max_pending_writes:
            raise self._build_store_refusal(
                "pending",
                f"{self._retries.n_pending} results and releases wait to be written; "
                f"the limit is {settings.max_pending_writes}",
            )
        if self._n_pending_bytes >= settings.max_pending_bytes:
            raise self._build_store_refusal(
                "pending",
                f"{self._n_pending_bytes} bytes of results wait to be written; "
                f"the limit is {settings.max_pending_bytes}",
            )
        if self._n_consecutive_failures >= settings.max_consecutive_failures:
            if self._clock() < self._next_probe_at:
                raise self._build_store_refusal(
                    "paused",
                    f"the last {self._n_consecutive_failures} claim writes failed",
                )
            self._next_probe_at = self._clock() + settings.probe_interval_s

    def _build_store_refusal(self, reason: str, message: str) -> ApricotliftError:
        self._metrics.count("claim_refusals_total", reason=reason)
        text = f"claim store: {message}"
        return ApricotliftError(
            Code.CLAIM_STORE_UNAVAILABLE, text, Ran.NO, Scope.FLEET, _RETRY_AFTER_S
        )

    def _build_key_refusal(self, code: Code, message: str) -> ApricotliftError:
        self._metrics.count("claims_total", outcome=code)
        retry_after_s = _RETRY_AFTER_S if code is Code.IN_PROGRESS else None
        return ApricotliftError(code, message, Ran.MAYBE, Scope.REQUEST, retry_after_s)


def _require(is_met: bool, expected: str, claim: Claim) -> None:
    """Raise ``AssertionError`` unless a condition is met.

    Other than an ``assert`` statement it also works under ``python -O``, where a breach
    of the protocol could run a call twice.
    """
    if not is_met:
        message = f"claim {claim.token} is {claim.state}, but expected: {expected}"
        raise AssertionError(message)
