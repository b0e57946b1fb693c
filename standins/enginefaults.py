"""Faults of the stand-in engine."""

from dataclasses import dataclass


@dataclass
class Faults:
    """Faults that ``POST /faults`` switches; a field that isn't given is off.

    :param break_after: close each new stream after so many events; 0 is off.
    :param break_before_headers: drop the answer to a prompt after it was queued.
    :param foreign_events: send an event of another attempt before each own one.
    :param foreign_headers: name another attempt in the headers.
    :param wrong_version: report another weight version.
    :param duplicate_every: send each so-many-th event twice.
    :param skip_every: leave out each so-many-th event.
    :param state: ``serving``, ``draining`` or ``full``.
    :param token_s: token interval instead of the option's.
    :param prefill_s_per_token: prefill cost instead of the option's.
    :param answer_delay_s: wait before the headers of each answer.
    :param crash_marker: exit at once on a prompt that contains this text.
    :param crash_after_tokens: exit only after so many tokens of such a prompt.
    :param event_delay_s: publish cache events late, by up to so much.
    :param event_gap_every: lose each so-many-th cache event.
    :param event_duplicate_every: send each so-many-th cache event twice.
    :param load_lag_s: refresh the load report only so often.
    :param orders_fail: refuse orders with 500 before they take effect.
    :param order_answers_lost: drop the answer of an order after it took effect.
    :param import_unchecked: keep imported blocks without checking them.
    """

    break_after: int = 0
    break_before_headers: bool = False
    foreign_events: bool = False
    foreign_headers: bool = False
    wrong_version: bool = False
    duplicate_every: int = 0
    skip_every: int = 0
    state: str = "serving"
    token_s: float | None = None
    prefill_s_per_token: float | None = None
    answer_delay_s: float = 0.0
    crash_marker: str = ""
    crash_after_tokens: int = 0
    event_delay_s: float = 0.0
    event_gap_every: int = 0
    event_duplicate_every: int = 0
    load_lag_s: float = 0.0
    orders_fail: bool = False
    order_answers_lost: bool = False
    import_unchecked: bool = False

    @property
    def header_state(self) -> str:
        """Return the state that headers and ``/health`` show."""
        return "draining" if self.state == "draining" else "serving"
