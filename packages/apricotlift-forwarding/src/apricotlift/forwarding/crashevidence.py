"""Decides which prompt parts crash engines, from the crashes that all nodes report.

A part that crashes engines is in a request that each of these crashes broke off before
its answer was under way. So are other parts: such a request has several of them, and
an engine runs other requests as well. Three observations tell them apart:

- A part on which an engine has written an answer doesn't crash engines. Such an answer
  clears it: its crashes until then don't count any more, at any node.
- Crashes may follow each other faster than an answer on another part can be noticed and
  reported, and all engines may end at once. For a part that was answered shortly before
  its crashes, those that follow each other at once count as one, and it is refused only
  once there has been time for another answer. A report names such parts, because the
  node that decides may have seen none of their answers.
- A crash doesn't count against a part if another part in it, which has reached the
  limit as well, accounts for it: one that wasn't answered before while this one was; or
  else one with more crashes; or with as many and further back in the prompt, where
  parts are shared by fewer requests. This covers parts that are requested seldom, and
  so are cleared late, and parts that were in one more crash for another reason.

Parts with the same crashes and position and without an answer can't be told apart; all
of them are refused.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

#: Number of crashed incarnations at which a part is refused.
N_PART_CRASHES_LIMIT = 3
PART_RETENTION_S = 600.0

#: An answer shortly before the first crash delays the refusal of a part. By the end of
#: the delay, an engine has begun an answer and the clearance has reached all nodes.
RECENT_ANSWER_S = 30.0
SETTLE_S = 2.0
#: Crashes of such a part within this time count as one.
SAME_OUTAGE_S = 1.0

N_CRASHES_KEPT = 256
N_PARTS_KEPT = 4096
#: Share of the parts that is removed at once when too many are kept.
_REMOVED_SHARE = 0.1
#: Time for which a decision on a part holds if no crash or clearance changes it.
_DECISION_HOLD_S = 0.2

Incarnation = tuple[str, int, str]
#: How likely a part is the cause of a crash: whether it wasn't answered before, its
#: crashes, and its position in the prompt.
_Rank = tuple[bool, int, int]


@dataclass
class _Crash:
    """One crash.

    :param is_old: whether it happened before this node started.
    :param counted: parts that the crash counts against, with their positions.
    :param cleared: parts that it doesn't count against, whatever reports follow.
    :param answered: parts that were being answered when it happened.
    :param answered_before: those that were answered not long before it.
    """

    at: float
    is_old: bool = False
    counted: dict[str, int] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)
    answered: set[str] = field(default_factory=set)
    answered_before: set[str] = field(default_factory=set)


@dataclass
class CrashEvidence:
    """The crashes and answers of prompt parts as far as this node knows them."""

    clock: Callable[[], float]
    _crashes: OrderedDict[Incarnation, _Crash] = field(default_factory=OrderedDict)
    _crashes_by_part: OrderedDict[str, dict[Incarnation, float]] = field(
        default_factory=OrderedDict
    )
    _answered_at: OrderedDict[str, float] = field(default_factory=OrderedDict)
    _decisions: dict[str, tuple[float, bool]] = field(default_factory=dict)
    _top_ranks: dict[Incarnation, tuple[float, _Rank | None]] = field(
        default_factory=dict
    )

    def add_crash(
        self,
        incarnation: Incarnation,
        parts: Mapping[str, int],
        answered: Iterable[str] = (),
        recently_answered: Iterable[str] = (),
        is_old: bool = False,
    ) -> None:
        """Add one node's report of a crash; each crash counts once.

        :param parts: shared parts of the requests whose answer wasn't under way, with
            their positions in the prompt.
        :param answered: shared parts of the requests whose answer was under way.
        :param recently_answered: those of ``parts`` that were answered not long ago.
        :param is_old: whether it was reported before this node started, so that the
            time of the crash isn't known.
        """
        self._forget_decisions()
        now = self.clock()
        crash = self._crashes.setdefault(incarnation, _Crash(now, is_old))
        # A report may be written again later; its answers were given before the crash.
        for part in set(answered) - crash.answered:
            self.add_answer(part)
            crash.cleared.add(part)
            crash.answered.add(part)
        for part in set(recently_answered) - crash.answered_before:
            crash.answered_before.add(part)
            if not is_old:
                self._note_answered(part, now)
        for part, position in parts.items():
            if part not in crash.cleared:
                crash.counted.setdefault(part, position)
                known = self._crashes_by_part.setdefault(part, {})
                known.setdefault(incarnation, crash.at)
        self._remove_oldest()

    def add_answer(self, part: str) -> bool:
        """Record that an engine has written an answer on a part.

        :returns: whether this cleared crashes of the part.
        """
        self._note_answered(part, self.clock())
        return self.clear(part)

    def clear(self, part: str) -> bool:
        """Stop counting the crashes of a part until now.

        :returns: whether there were any.
        """
        known = self._crashes_by_part.pop(part, {})
        if known:
            self._forget_decisions()
        for incarnation in known:
            crash = self._crashes[incarnation]
            crash.counted.pop(part, None)
            crash.cleared.add(part)
        return bool(known)

    def list_cleared(self, incarnation: Incarnation) -> set[str]:
        """Return the parts that a crash doesn't count against."""
        crash = self._crashes.get(incarnation)
        return set(crash.cleared) if crash else set()

    def forget_crash(self, incarnation: Incarnation) -> None:
        """Remove a crash whose report was deleted."""
        self._forget_decisions()
        crash = self._crashes.pop(incarnation, None)
        for part in crash.counted if crash else ():
            known = self._crashes_by_part[part]
            del known[incarnation]
            if not known:
                del self._crashes_by_part[part]

    def count_crashes(self, part: str) -> int:
        """Return the number of crashes of a part since it was last cleared."""
        return len(self._list_crashes(part))

    def is_refused(self, part: str) -> bool:
        """Return whether requests with this part have to be refused."""
        if part not in self._crashes_by_part:
            return False
        now = self.clock()
        decided_at, is_refused = self._decisions.get(part, (float("-inf"), False))
        if now >= decided_at + _DECISION_HOLD_S:
            is_refused = self._decide(part)
            self._decisions[part] = (now, is_refused)
        return is_refused

    def _decide(self, part: str) -> bool:
        if not self._is_at_limit(part):
            return False
        n_crashes = sum(
            not self._is_accounted_for(part, incarnation)
            for incarnation in self._list_crashes(part)
        )
        return n_crashes >= N_PART_CRASHES_LIMIT

    def _is_at_limit(self, part: str) -> bool:
        n_crashes = len(self._list_crashes(part))
        return n_crashes >= N_PART_CRASHES_LIMIT and not self._is_unsettled(part)

    def _forget_decisions(self) -> None:
        self._decisions.clear()
        self._top_ranks.clear()

    def _is_accounted_for(self, part: str, incarnation: Incarnation) -> bool:
        top_rank = self._get_top_rank(incarnation)
        position = self._crashes[incarnation].counted[part]
        return top_rank is not None and top_rank > self._rank(part, position)

    def _get_top_rank(self, incarnation: Incarnation) -> _Rank | None:
        """Return the highest rank of a crash's parts that have reached the limit.

        It is computed once for all parts of the crash, as a decision is for one.
        """
        now = self.clock()
        ranked_at, rank = self._top_ranks.get(incarnation, (float("-inf"), None))
        if now >= ranked_at + _DECISION_HOLD_S:
            counted = self._crashes[incarnation].counted
            ranks = (
                self._rank(part, position)
                for part, position in counted.items()
                if self._is_at_limit(part)
            )
            rank = max(ranks, default=None)
            self._top_ranks[incarnation] = (now, rank)
        return rank

    def _rank(self, part: str, position: int) -> _Rank:
        """Return how likely a part is the cause of a crash, compared with others."""
        crashes = self._list_crashes(part)
        was_answered = self._was_answered_before(part, crashes)
        return (not was_answered, len(crashes), position)

    def _was_answered_before(
        self, part: str, crashes: Mapping[Incarnation, float]
    ) -> bool:
        answered_at = self._answered_at.get(part, float("-inf"))
        first_at = min(crashes.values(), default=float("inf"))
        return answered_at >= first_at - RECENT_ANSWER_S or any(
            part in self._crashes[incarnation].answered_before
            for incarnation in crashes
        )

    def was_answered_recently(self, part: str) -> bool:
        """Return whether an answer on a part was reported not long ago."""
        answered_at = self._answered_at.get(part, float("-inf"))
        return answered_at > self.clock() - RECENT_ANSWER_S

    def _list_crashes(self, part: str) -> dict[Incarnation, float]:
        counted_from = self.clock() - PART_RETENTION_S
        known = self._crashes_by_part.get(part, {})
        return {key: at for key, at in known.items() if at > counted_from}

    def _is_unsettled(self, part: str) -> bool:
        """Return whether a part that was answered lately may still be cleared."""
        crashes = self._list_crashes(part)
        n_old = sum(self._crashes[incarnation].is_old for incarnation in crashes)
        if n_old >= N_PART_CRASHES_LIMIT:
            return False
        times = sorted(crashes.values())
        answered_at = self._answered_at.get(part, float("-inf"))
        if not times or answered_at < times[0] - RECENT_ANSWER_S:
            return False
        separate = times[:1]
        for at in times:
            if at >= separate[-1] + SAME_OUTAGE_S:
                separate.append(at)
        if len(separate) < N_PART_CRASHES_LIMIT:
            return True
        return self.clock() < separate[N_PART_CRASHES_LIMIT - 1] + SETTLE_S

    def _note_answered(self, part: str, now: float) -> None:
        self._answered_at[part] = now
        self._answered_at.move_to_end(part)
        if len(self._answered_at) > N_PARTS_KEPT:
            self._answered_at.popitem(last=False)

    def _remove_oldest(self) -> None:
        expired_at = self.clock() - PART_RETENTION_S
        while self._crashes:
            incarnation, crash = next(iter(self._crashes.items()))
            if crash.at > expired_at:
                break
            self.forget_crash(incarnation)
        if len(self._crashes) > N_CRASHES_KEPT:
            self.forget_crash(self._choose_crash_to_remove())
        if len(self._crashes_by_part) > N_PARTS_KEPT:
            self._remove_parts(int(N_PARTS_KEPT * _REMOVED_SHARE))

    def _choose_crash_to_remove(self) -> Incarnation:
        """Return the oldest crash without a part that has reached the limit."""
        for incarnation, crash in self._crashes.items():
            if not any(
                len(self._crashes_by_part[part]) >= N_PART_CRASHES_LIMIT
                for part in crash.counted
            ):
                return incarnation
        return next(iter(self._crashes))

    def _remove_parts(self, n_parts: int) -> None:
        """Remove the parts with the fewest crashes, the oldest ones first."""
        by_count = sorted(
            self._crashes_by_part, key=lambda part: len(self._crashes_by_part[part])
        )
        for part in by_count[:n_parts]:
            for incarnation in self._crashes_by_part.pop(part):
                self._crashes[incarnation].counted.pop(part, None)
