"""Keeps long prefills away from the engines that generate long streams.

Between two tokens of its running streams, an engine computes a chunk of a prompt that
it reads. So prompts that are long to read lengthen the pauses between the events of all
streams on their engine, beyond the targets of the routes, while a stream takes little
time from the prompts. The engines of a service are therefore divided into two pools, in
proportion to the work that the two kinds of prompts have caused recently. The division
is a preference with a soft boundary: a prompt uses the other pool where its own is
worse by more than the penalty, for example because its engines have failed or are full.

All nodes rank the engines alike, and each measures the proportion from its own prompts,
so that no messages are needed. Nodes that differ a little in the proportion differ only
in the engines at the boundary.
"""

import math
from collections import defaultdict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from apricotlift.core import clocks
from apricotlift.core.hashing import rank_nodes
from apricotlift.forwarding.entities import Prompt, Route, Service

#: Prompts with more tokens for each expected output token are dominated by prefill.
_PREFILL_RATIO = 20.0

#: Assumed time of a step, which generates a token for each running request. Engines
#: don't report it.
_DECODE_STEP_S = 0.004

#: Assumed prefill throughput of an engine until it has been measured.
_INITIAL_PREFILL_TOKENS_PER_S = 30_000.0
#: The time to the first token of shorter prompts is mostly overhead.
_N_MEASURED_TOKENS_MIN = 1_000
#: Measurements that are kept, and the quantile that is used. Most prompts wait for
#: others before they are read, so that only the fastest show the engines' speed.
_N_MEASUREMENTS = 128
_SPEED_QUANTILE = 0.95

#: Time constant of the moving sums of work.
_WORK_AVERAGE_S = 20.0
#: Prompts in the moving sums that are needed to divide the engines.
_N_PROMPTS_MIN = 6.0

#: Engines are divided only while streams hold at most this share of all slots. With
#: more streams, their pool takes so many engines that prefills wait for the others.
_STREAM_SLOT_SHARE_MAX = 0.15

#: A pool of fewer engines can't absorb the failure of one.
_N_POOL_ENGINES_MIN = 3
#: Share of the engines over which the penalty rises to its full value at the boundary.
_BOUNDARY_SHARE = 0.1


class PromptKind(StrEnum):
    """What an engine mostly does for a prompt."""

    PREFILL = "prefill"
    DECODE = "decode"


def classify_prompt(prompt: Prompt) -> PromptKind:
    """Return whether a prompt causes more work by its reading or by its answer.

    >>> classify_prompt(Prompt("m", (), 9000, 200, 50)).value
    'prefill'
    >>> classify_prompt(Prompt("m", (), 800, 900, 300)).value
    'decode'
    """
    if prompt.n_tokens > _PREFILL_RATIO * prompt.n_expected_output_tokens:
        return PromptKind.PREFILL
    return PromptKind.DECODE


@dataclass
class PromptWork:
    """Moving sums of the engine time that the prompts of a service need, in seconds."""

    prefill_s: float = 0.0
    decode_s: float = 0.0
    slot_s: float = 0.0
    n_prompts: float = 0.0
    updated_at: float = -math.inf
    began_at: float = math.inf

    def add(self, kind: PromptKind, work_s: float, slot_s: float, now: float) -> None:
        """Add the work of one prompt.

        :param slot_s: time for which its answer holds a slot, divided by the number of
            an engine's slots.
        """
        self.began_at = min(self.began_at, now)
        decay = math.exp((self.updated_at - now) / _WORK_AVERAGE_S)
        self.prefill_s *= decay
        self.decode_s *= decay
        self.slot_s *= decay
        self.n_prompts = self.n_prompts * decay + 1
        self.updated_at = now
        if kind is PromptKind.PREFILL:
            self.prefill_s += work_s
        else:
            self.decode_s += work_s
            self.slot_s += slot_s

    @property
    def n_filled_engines(self) -> float:
        """Number of engines whose slots these streams would fill."""
        age_s = self.updated_at - self.began_at
        window_s = _WORK_AVERAGE_S * (1 - math.exp(-age_s / _WORK_AVERAGE_S))
        return self.slot_s / window_s if window_s > 0 else math.inf

    @property
    def decode_share(self) -> float | None:
        """Share of the work that streams cause.

        ``None`` where one kind has caused none, or too few prompts are known.
        """
        if self.n_prompts < _N_PROMPTS_MIN or not (self.prefill_s and self.decode_s):
            return None
        return self.decode_s / (self.prefill_s + self.decode_s)


def compute_penalties(
    ranked_ids: Sequence[str], decode_share: float, kind: PromptKind
) -> dict[str, float]:
    """Return by engine how strongly prompts of a kind should avoid it, from 0 to 1.

    :param ranked_ids: ids of the engines, in an order that all nodes use.
    :param decode_share: share of the engines for streams, which come first.
    :returns: empty where a pool would be too small.
    """
    n_decode = decode_share * len(ranked_ids)
    if min(n_decode, len(ranked_ids) - n_decode) < _N_POOL_ENGINES_MIN:
        return {}
    width = max(1.0, _BOUNDARY_SHARE * len(ranked_ids))
    penalties = {}
    for position, server_id in enumerate(ranked_ids):
        distance = position + 1 - n_decode
        if kind is PromptKind.PREFILL:
            distance = n_decode - position
        # Nodes differ a little in the share, so both kinds avoid the boundary.
        distance += width / 2
        penalties[server_id] = min(1.0, max(0.0, distance / width))
    return penalties


@dataclass
class PrefillSpeed:
    """The speed at which the engines of a service read prompts."""

    _measurements: deque[float] = field(
        default_factory=lambda: deque(maxlen=_N_MEASUREMENTS)
    )
    tokens_per_s: float = _INITIAL_PREFILL_TOKENS_PER_S

    def add(self, n_read: int, seconds: float) -> None:
        """Record the time from sending a prompt to its first token."""
        self._measurements.append(n_read / seconds)
        ordered = sorted(self._measurements)
        self.tokens_per_s = ordered[int(_SPEED_QUANTILE * (len(ordered) - 1))]


@dataclass
class EnginePools:
    """The division of each service's engines between the two kinds of prompts."""

    clock: Callable[[], float] = clocks.monotonic
    _work: dict[str, PromptWork] = field(default_factory=dict)
    _speeds: dict[str, PrefillSpeed] = field(
        default_factory=lambda: defaultdict(PrefillSpeed)
    )

    def add_prompt(
        self, service: Service, route: Route, prompt: Prompt, n_read: int
    ) -> None:
        """Record a prompt that is sent to an engine.

        Streams count only if their route has a target for the pauses between events.

        :param service: a service with engines.
        :param n_read: prompt tokens that the engine has to compute.
        """
        kind = classify_prompt(prompt)
        if kind is PromptKind.DECODE and not route.target_gap_s:
            return
        # A stream holds one of the engine's slots in each step.
        decode_s = prompt.n_expected_output_tokens * _DECODE_STEP_S
        slot_s = decode_s / service.engine.n_slots
        work_s = n_read / self._speeds[service.name].tokens_per_s + slot_s
        work = self._work.setdefault(service.name, PromptWork())
        work.add(kind, work_s, slot_s, self.clock())

    def add_first_token(self, service: str, n_read: int, seconds: float) -> None:
        """Record the time from sending a prompt to its first token.

        :param n_read: prompt tokens that the engine had to compute.
        """
        if n_read >= _N_MEASURED_TOKENS_MIN and seconds > 0:
            self._speeds[service].add(n_read, seconds)

    def get_decode_share(self, service: str) -> float | None:
        """Return the share of a service's engines for streams, if it is divided."""
        work = self._work.get(service)
        return work.decode_share if work is not None else None

    def compute_penalties(
        self, service: str, server_ids: Sequence[str], prompt: Prompt, n_nodes: int
    ) -> dict[str, float]:
        """Return by engine how strongly a prompt should avoid it; empty for not at all.

        :param server_ids: the engines that may run the prompt.
        :param n_nodes: nodes between which the prompts are spread.
        """
        decode_share = self.get_decode_share(service)
        if decode_share is None:
            return {}
        n_filled_engines = n_nodes * self._work[service].n_filled_engines
        if n_filled_engines > _STREAM_SLOT_SHARE_MAX * len(server_ids):
            return {}
        ranked_ids = rank_nodes(f"pools {service}", server_ids)
        return compute_penalties(ranked_ids, decode_share, classify_prompt(prompt))
