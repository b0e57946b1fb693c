"""Synthetic conversations of the two deployments in the design document."""

import heapq
from dataclasses import dataclass
from random import Random

from apricotlift.policy.estimates import RoutingSettings


@dataclass(frozen=True)
class Deployment:
    """Sizes and weights of one deployment."""

    n_engines: int
    settings: RoutingSettings
    requests_per_s: float
    first_tokens: int
    turn_tokens: int
    gap_median_s: float
    gap_sigma: float
    prefill_tokens_per_s: float = 8000.0
    link_bytes_per_s: float = 1.25e9
    engine_blocks: int = 1000
    store_blocks: int = 20_000
    return_share: float = 0.85


DEPLOYMENTS = {
    "atlas": Deployment(
        5, RoutingSettings(w_ttft=0.5, w_link=3e-10), 2.6, 6000, 1500, 900, 1.5
    ),
    "kathmandu": Deployment(
        6, RoutingSettings(w_recompute=0.00005), 6.0, 4000, 700, 600, 1.5
    ),
}


def make_arrivals(deployment, n_requests, seed):
    """Return the requests of conversations, whose turns follow after random gaps.

    :returns: (arrival time in seconds, conversation, prompt tokens) in order of time.
    """
    random = Random(seed)
    returns = []
    arrivals = []
    now_s = 0.0
    n_conversations = 0
    while len(arrivals) < n_requests:
        now_s += random.expovariate(deployment.requests_per_s)
        if returns and returns[0][0] <= now_s:
            _, key, n_tokens = heapq.heappop(returns)
            n_tokens += int(deployment.turn_tokens * random.uniform(0.5, 1.5))
        else:
            n_conversations += 1
            key = n_conversations
            n_tokens = int(deployment.first_tokens * random.lognormvariate(0, 0.6))
        arrivals.append((now_s, key, n_tokens))
        if random.random() < deployment.return_share and n_tokens < 32_000:
            gap_s = deployment.gap_median_s
            gap_s *= random.lognormvariate(0, deployment.gap_sigma)
            heapq.heappush(returns, (now_s + gap_s, key, n_tokens))
    return arrivals
