"""Measures routing policies on synthetic returning conversations.

An event loop models queues, engine caches and store contents of a few servers; it
is not a full cluster simulator. Each engine serves prompts in order of arrival, each
store link serves fetches in order, and exports use only idle link time. Eight nodes
decide independently: reports are delayed, placements of other nodes become visible
late, and some removal events are lost, so hints may be wrong.
"""

import argparse
import heapq
import json
from collections import deque
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from random import Random
from statistics import mean, quantiles

from apricotlift.policy import routing
from apricotlift.policy.accuracy import AccuracySettings, StoreAccuracy
from apricotlift.policy.estimates import (
    RoutingRequest,
    Store,
)
from conversations import DEPLOYMENTS, make_arrivals
from servers import PLACEMENT_LAG_S, Cache, Engine, PlacedRequest

N_NODES = 8
N_STORES = 2
N_PROCESSES = 8
FETCH_HISTORY_S = 20.0
LINK_LATENCY_S = 0.002
IMPORT_TIMEOUT_FACTOR = 2.0
LOST_EVENT_SHARE = 0.1
WARM_UP_SHARE = 0.3


class Replay:
    """The replay of one sequence of requests with one policy."""

    def __init__(self, deployment, policy, uses_stores, seed, options):
        self.deployment = deployment
        self.settings = deployment.settings
        self.policies = [policy() for _ in range(N_NODES)]
        self.random = Random(seed)
        self.options = options
        self.uses_stores = uses_stores
        self.engines = [Engine(deployment) for _ in range(deployment.n_engines)]
        self.stores = [Cache(deployment.store_blocks) for _ in range(N_STORES)]
        self.link_free_at_s = [0.0] * N_STORES
        self.fetches = [deque() for _ in range(N_STORES)]
        accuracy = AccuracySettings()
        self.accuracies = [
            [StoreAccuracy(accuracy) for _ in range(N_STORES)] for _ in range(N_NODES)
        ]
        self.total_expected = 0.0
        self.ttfts, self.costs = [], []
        self.n_prompt = self.n_computed = self.n_fetched = self.n_exported = 0
        self.is_counting = False

    def run(self, arrivals):
        """Replay arrivals.

        :param arrivals: (time in seconds, conversation, prompt tokens) by time.
        """
        events = [(a[0], n, "arrive", a) for n, a in enumerate(arrivals)]
        heapq.heapify(events)
        counted_from_s = arrivals[int(len(arrivals) * WARM_UP_SHARE)][0]
        while events:
            now_s, number, kind, body = heapq.heappop(events)
            if kind == "arrive":
                self.is_counting = now_s >= counted_from_s
                ready_s, body = self.place(now_s, body)
                heapq.heappush(events, (ready_s, number, "dispatch", body))
            else:
                self.dispatch(now_s, body)

    def place(self, now_s, arrival):
        """Route a prompt and fetch blocks.

        :returns: when the prompt reaches the engine, and the arguments of dispatch.
        """
        _, key, n_tokens = arrival
        node = self.random.randrange(N_NODES)
        candidates = [
            engine.build_candidate(number, key, node, now_s)
            for number, engine in enumerate(self.engines)
        ]
        mean_rate = self.total_expected / max(now_s, 60.0)
        request = RoutingRequest(
            n_prompt_tokens=n_tokens,
            n_blocks=n_tokens // self.settings.chunk_tokens,
            shard_key=str(key),
            unreported_tokens=mean_rate * PLACEMENT_LAG_S * (1 - 1 / N_NODES),
        )
        stores = self.build_stores(key, node, now_s)
        plan = self.policies[node](
            request, candidates, stores, self.settings, self.random
        )
        engine = self.engines[int(plan.upstream)]
        run = PlacedRequest(node, now_s, plan.n_recomputed_tokens, n_tokens)
        engine.runs.append(run)
        self.total_expected += plan.n_recomputed_tokens
        ready_s = now_s
        n_imported = 0
        if plan.store is not None:
            ready_s, has_timed_out = self.fetch(plan, node, now_s)
            n_imported = plan.n_reused_blocks + plan.n_fetched_blocks
            n_imported *= not has_timed_out
        return ready_s, (engine, run, key, plan, n_imported)

    def build_stores(self, key, node, now_s):
        """Return the stores as a node sees them."""
        stores = []
        for number, cache in enumerate(self.stores):
            accuracy = self.accuracies[node][number]
            store = Store(
                name=str(number),
                n_blocks=cache.get(key),
                link_bytes_per_s=self.deployment.link_bytes_per_s,
                queued_bytes=self.estimate_link_queue(number, node, now_s),
                time_factor=accuracy.get_time_factor(now_s),
                usable=accuracy.is_usable(now_s),
            )
            if self.options.without_accuracy:
                store = replace(store, time_factor=1.0, usable=True)
            stores.append(store)
        return stores

    def estimate_link_queue(self, number, node, now_s):
        """Return the queued bytes of a link, estimated from fetches known to a node."""
        rate = self.deployment.link_bytes_per_s
        fetches = self.fetches[number]
        while fetches and fetches[0][0] < now_s - FETCH_HISTORY_S:
            fetches.popleft()
        queued, clock_s = 0.0, 0.0
        for placed_s, by, n_bytes in fetches:
            if by == node or placed_s < now_s - PLACEMENT_LAG_S:
                queued = max(0.0, queued - rate * (placed_s - clock_s)) + n_bytes
                clock_s = placed_s
        return max(0.0, queued - rate * (now_s - clock_s))

    def get_slowness(self, number):
        """Return the declared rate of a link over its actual rate."""
        return self.options.slow_store if number == 0 else 1.0

    def fetch(self, plan, node, now_s):
        """Fetch the blocks of a plan.

        :returns: when the fetch ends, and whether it timed out.
        """
        number = int(plan.store)
        n_bytes = plan.n_fetched_blocks * self.settings.chunk_bytes
        rate = self.deployment.link_bytes_per_s / self.get_slowness(number)
        start_s = max(now_s, self.link_free_at_s[number])
        self.fetches[number].append((now_s, node, n_bytes))
        accuracy = self.accuracies[node][number]
        ticket = accuracy.begin(now_s)
        ready_s = start_s + n_bytes / rate + LINK_LATENCY_S
        estimated_s = plan.estimated_fetch_s
        timeout_s = now_s + IMPORT_TIMEOUT_FACTOR * estimated_s
        has_timed_out = ready_s > timeout_s and not self.options.without_accuracy
        if has_timed_out:
            ready_s = timeout_s
        self.link_free_at_s[number] = max(start_s, ready_s - LINK_LATENCY_S)
        if ticket is not None:
            fetch_s = ready_s - now_s
            accuracy.finish(
                ticket, estimated_s, fetch_s, ready_s, self.random, has_timed_out
            )
        self.n_fetched += plan.n_fetched_blocks * self.is_counting
        return ready_s, has_timed_out

    def dispatch(self, now_s, body):
        """Queue a prompt at its engine and update the caches."""
        engine, run, key, plan, n_imported = body
        chunk = self.settings.chunk_tokens
        n_cached = engine.cache.get(key)
        if n_cached >= plan.n_reused_blocks:
            n_cached = max(n_cached, n_imported)
        n_blocks = run.n_prompt_tokens // chunk
        n_computed = max(1, run.n_prompt_tokens - min(n_cached, n_blocks) * chunk)
        start_s = max(now_s, engine.free_at_s)
        engine.free_at_s = start_s + n_computed / engine.rate
        run.dispatched_s, run.finished_s = now_s, engine.free_at_s
        share = n_computed / run.n_prompt_tokens
        engine.uncached_share += 0.05 * (share - engine.uncached_share)
        engine.cache.put(key, n_blocks)
        engine.hints[key] = (n_blocks, run.finished_s)
        for evicted, n_kept in engine.cache.evicted:
            if self.random.random() >= LOST_EVENT_SHARE:
                engine.hints[evicted] = (n_kept, run.finished_s)
        engine.cache.evicted.clear()
        ttft_s = run.finished_s - run.placed_s
        n_exported = self.export(key, n_blocks) if self.uses_stores else 0
        if self.is_counting:
            self.count(run, plan, ttft_s, n_computed, n_exported)

    def export(self, key, n_blocks):
        """Export missing blocks to one store and return their number."""
        held = [store.get(key) for store in self.stores]
        number = held.index(max(held)) if any(held) else key % N_STORES
        n_missing = max(0, n_blocks - held[number])
        self.stores[number].put(key, max(held[number], n_blocks))
        return n_missing

    def count(self, run, plan, ttft_s, n_computed, n_exported):
        """Add a request to the measurements."""
        settings = self.settings
        self.ttfts.append(ttft_s)
        self.n_prompt += run.n_prompt_tokens
        self.n_computed += n_computed
        self.n_exported += n_exported
        n_bytes = (plan.n_fetched_blocks + n_exported) * settings.chunk_bytes
        cost = settings.w_ttft * ttft_s + settings.w_recompute * n_computed
        self.costs.append(cost + settings.w_link * n_bytes)

    def summarise(self):
        """Return the measurements of the replay."""
        cuts = quantiles(self.ttfts, n=20)
        n_blocks = self.n_fetched + self.n_exported
        return {
            "ttft_p50_s": cuts[9],
            "ttft_p95_s": cuts[18],
            "recomputed_share": self.n_computed / self.n_prompt,
            "link_bytes_per_token": n_blocks
            * self.settings.chunk_bytes
            / self.n_prompt,
            "mean_cost": mean(self.costs),
        }


# By name: a factory, because a policy may keep state and each node needs its own
# instance of it, and whether the policy uses stores.
POLICIES = {
    "choose_upstream": (lambda: routing.choose_upstream, True),
    "round_robin": (routing.make_round_robin, False),
    "least_load": (lambda: routing.least_load, False),
    "prefix_affinity": (lambda: routing.prefix_affinity, False),
    "always_fetch": (lambda: routing.always_fetch, True),
    "always_recompute": (lambda: routing.always_recompute, False),
}


def replay_seed(job):
    """Replay the arrivals of one seed with one policy and return the measurements."""
    deployment, policy, seed, options = job
    arrivals = make_arrivals(deployment, options.requests, seed)
    replay = Replay(deployment, *POLICIES[policy], seed, options)
    replay.run(arrivals)
    return replay.summarise()


def read_options():
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[101, 102, 103, 104])
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--deployments", nargs="+", default=list(DEPLOYMENTS))
    parser.add_argument("--policies", nargs="+", default=list(POLICIES))
    parser.add_argument("--slow-store", type=float, default=1.0, metavar="FACTOR")
    parser.add_argument("--without-accuracy", action="store_true")
    parser.add_argument("--set", nargs="*", default=[], metavar="SETTING=NUMBER")
    parser.add_argument("--json", type=Path)
    return parser.parse_args()


#: Names that ``--set`` takes for routing settings whose fields are named otherwise.
_FIELDS_BY_OPTION = {
    "drain_max_s": "credited_work_max_s",
    "gap_factor": "event_gap_factor",
    "n_evaluated": "n_extra_evaluated",
    "tolerance_s": "cost_tolerance",
}


def main():
    """Print a table for each deployment and write the rows as JSON if requested."""
    options = read_options()
    changes = {
        _FIELDS_BY_OPTION.get(name, name): float(value)
        for name, value in (item.split("=") for item in options.set)
    }
    rows = []
    with ProcessPoolExecutor(N_PROCESSES) as pool:
        for name in options.deployments:
            deployment = DEPLOYMENTS[name]
            settings = replace(deployment.settings, **changes)
            deployment = replace(deployment, settings=settings)
            print(f"{name}, mean over seeds {options.seeds}")
            for policy in options.policies:
                jobs = [(deployment, policy, seed, options) for seed in options.seeds]
                results = list(pool.map(replay_seed, jobs))
                row = {key: mean(r[key] for r in results) for key in results[0]}
                rows.append({"deployment": name, "policy": policy, **row})
                figures = "  ".join(f"{key} {value:.4g}" for key, value in row.items())
                print(f"  {policy:17}{figures}", flush=True)
    if options.json:
        options.json.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
