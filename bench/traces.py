"""Seeded traces of returning conversations for both deployments.

The gap between two turns of a conversation is counted in requests of other
conversations instead of seconds. A gap of minutes to days becomes the number of
requests that evict the same share of the engine caches, whose sizes are reduced by
the same ratio.
"""

import hashlib
import heapq
from dataclasses import dataclass
from random import Random

CHUNK_TOKENS = 1000
BYTES_PER_TOKEN = 4
N_ACCOUNTS = 10
#: Relative traffic of the accounts; the first three send two thirds of it.
ACCOUNT_WEIGHTS = (8, 6, 4, 2, 2, 1, 1, 1, 1, 1)


@dataclass(frozen=True)
class Deployment:
    """Sizes, rates and weights of one deployment, unscaled.

    :param rates: prompt tokens per second of each engine.
    :param gap_requests: median number of requests between two turns.
    :param engine_blocks: blocks of an engine's prefix cache, reduced as the gaps are.
    :param first_tokens: median length of a first prompt without the shared prefix.
    :param shared_tokens: length of the prefix that prompts of an account share.
    :param primary_figure: the most important figure for this deployment.
    """

    name: str
    domains: tuple[str, ...]
    rates: tuple[int, ...]
    store_domains: tuple[str, str]
    w_ttft: float
    w_recompute: float
    w_link: float
    link_bytes_per_s: float
    link_latency_s: float
    max_in_flight: int
    first_tokens: int
    turn_tokens: int
    max_tokens: int
    primary_figure: str
    n_nodes: int = 8
    shared_tokens: int = 2000
    shared_share: float = 0.5
    gap_requests: int = 80
    gap_sigma: float = 1.5
    return_share: float = 0.85
    engine_blocks: int = 80
    store_blocks: int = 4000
    token_s: float = 0.02


DEPLOYMENTS = {
    "cooperative": Deployment(
        "cooperative",
        ("atlas-a", "atlas-b", "atlas-c", "atlas-d"),
        (9000, 9000, 9000, 9000, 6000),
        ("atlas-a", "atlas-c"),
        0.2,
        0.002,
        2e-9,
        6.25e8,
        0.003,
        48,
        5000,
        1500,
        24_000,
        "recomputed_share",
    ),
    "maps": Deployment(
        "maps",
        ("ktm-a", "ktm-b", "ktm-c"),
        (12_000,) * 6,
        ("ktm-a", "ktm-b"),
        5.0,
        0.00005,
        1e-11,
        1.25e9,
        0.002,
        32,
        3000,
        800,
        16_000,
        "ttft_p95_s",
    ),
}


@dataclass(frozen=True)
class Turn:
    """One request of a conversation.

    :param at: arrival time, in mean intervals between requests.
    :param seen_tokens: number of leading tokens that an earlier request also had.
    """

    number: int
    at: float
    account: int
    conversation: int
    n_tokens: int
    seen_tokens: int
    is_shared: bool


def make_trace(deployment: Deployment, n_requests: int, seed: int) -> list[Turn]:
    """Return the requests of one seeded trace in order of arrival."""
    random = Random(f"{deployment.name}/{seed}")
    returns: list[tuple[float, int, int, int, bool]] = []
    turns: list[Turn] = []
    shared_seen: set[int] = set()
    at = 0.0
    n_conversations = 0
    for number in range(n_requests):
        at += random.expovariate(1.0)
        if returns and returns[0][0] <= at:
            _, conversation, account, seen, is_shared = heapq.heappop(returns)
            growth = random.uniform(0.5, 1.5)
            n_tokens = seen + int(deployment.turn_tokens * growth)
        else:
            n_conversations += 1
            conversation = n_conversations
            account = random.choices(range(N_ACCOUNTS), ACCOUNT_WEIGHTS)[0]
            is_shared = random.random() < deployment.shared_share
            length = deployment.first_tokens * random.lognormvariate(0, 0.6)
            n_tokens = min(int(length), deployment.max_tokens)
            seen = 0
            if is_shared:
                n_tokens += deployment.shared_tokens
                seen = deployment.shared_tokens if account in shared_seen else 0
                shared_seen.add(account)
        turns.append(Turn(number, at, account, conversation, n_tokens, seen, is_shared))
        returning = random.random() < deployment.return_share
        if returning and n_tokens < deployment.max_tokens:
            gap = deployment.gap_requests * random.lognormvariate(
                0, deployment.gap_sigma
            )
            # A caller reads the answer before the next turn, hence the minimum gap.
            item = (at + max(5.0, gap), conversation, account, n_tokens, is_shared)
            heapq.heappush(returns, item)
    return turns


def build_prompt(deployment: Deployment, seed: int, turn: Turn) -> str:
    """Return the prompt text, which extends that of the conversation's last turn."""
    n_bytes = turn.n_tokens * BYTES_PER_TOKEN
    own = f"{deployment.name}/{seed}/{turn.conversation}"
    if not turn.is_shared:
        return _make_text(own, n_bytes)
    n_shared = deployment.shared_tokens * BYTES_PER_TOKEN
    shared = _make_text(f"{deployment.name}/{seed}/account/{turn.account}", n_shared)
    return shared + _make_text(own, n_bytes - n_shared)


def _make_text(name: str, n_bytes: int) -> str:
    rng = Random(hashlib.sha256(name.encode()).digest())
    words = []
    length = 0
    while length < n_bytes:
        word = f"{rng.getrandbits(60):015x} "
        words.append(word)
        length += len(word)
    return "".join(words)[:n_bytes]


def compute_recomputed_bound(turns: list[Turn]) -> float:
    """Return the share of tokens computed if each distinct token is computed once."""
    n_tokens = sum(turn.n_tokens for turn in turns)
    return sum(turn.n_tokens - turn.seen_tokens for turn in turns) / n_tokens


def compute_recomputed_block_bound(turns: list[Turn]) -> float:
    """Return the share of tokens computed if all full blocks seen before are reused."""
    n_tokens = sum(turn.n_tokens for turn in turns)
    n_reused = sum(turn.seen_tokens // CHUNK_TOKENS * CHUNK_TOKENS for turn in turns)
    return (n_tokens - n_reused) / n_tokens


def compute_ttft_bounds(deployment: Deployment, turns: list[Turn]) -> list[float]:
    """Return each request's TTFT on the fastest idle engine with all blocks cached."""
    rate = max(deployment.rates)
    return [
        (turn.n_tokens - turn.seen_tokens // CHUNK_TOKENS * CHUNK_TOKENS) / rate
        + deployment.token_s
        for turn in turns
    ]


def compute_request_rate(
    deployment: Deployment, turns: list[Turn], load: float
) -> float:
    """Return the requests per second of a load, unscaled.

    At a load of 1, recomputing every prompt token takes the whole prefill capacity.
    """
    n_tokens = sum(turn.n_tokens for turn in turns) / len(turns)
    return load * sum(deployment.rates) / n_tokens
