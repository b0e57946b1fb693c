"""Faults of the stand-in engine."""

from dataclasses import dataclass


@dataclass
class Faults:
    """Faults that ``POST /faults`` sets; a field that isn't given is off.

    :param break_after: close each new stream after this number of events; 0 is
        off.
    :param break_before_headers: queue the prompt, then close the connection before
        any headers.
    :param foreign_events: send an event of another attempt before each event.
    :param foreign_headers: name another attempt in the headers.
    :param refusals_without_id: name no attempt in refusals of prompts.
    :param wrong_version: report another weight version and generate another text.
    :param duplicate_every: send every n-th event twice.
    :param skip_every: leave out every n-th event.
    :param state: ``serving``, ``draining`` or ``full``.
    :param token_s: token interval in seconds, in place of the option's.
    :param prefill_s_per_token: prefill time per token, in place of the option's.
    :param answer_delay_s: seconds to wait before the headers of each answer.
    :param crash_marker: exit at once on a prompt that contains this text.
    :param crash_after_tokens: exit only after generating this number of tokens
        for such a prompt.
    :param event_delay_s: maximum delay of a cache event in seconds.
    :param event_gap_every: leave out every n-th cache event.
    :param event_duplicate_every: send every n-th cache event twice.
    :param load_lag_s: seconds for which a load report is reused.
    :param orders_fail: refuse orders with 500 before they take effect.
    :param order_answers_lost: close the connection after an order took effect,
        without an answer.
    :param import_unchecked: import blocks without checking their generation,
        length and digest.
    """

    break_after: int = 0
    break_before_headers: bool = False
    foreign_events: bool = False
    foreign_headers: bool = False
    refusals_without_id: bool = False
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
