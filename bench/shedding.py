"""Compares load-shedding policies for a few large and many small accounts.

Requests arrive at random, last two seconds on average, and are refused when the
capacity is used up. ``max_min`` is :mod:`apricotlift.policy.admission` without waiting;
``first_come`` admits requests while there is capacity; ``proportional`` refuses each
account with a probability proportional to its share of the requests in flight.
"""

import argparse
import heapq
from dataclasses import dataclass
from random import Random
from statistics import mean

from apricotlift.core.errors import ApricotliftError
from apricotlift.policy.admission import (
    Admission,
    AdmissionRequest,
    AdmissionSettings,
    compute_fair_share,
)

CAPACITY = 100
DURATION_S = 2.0
N_SMALL = 20
SMALL_RATE = 0.75
BURST_S = 20.0


@dataclass(frozen=True)
class Case:
    """One load pattern.

    :param large_rates: arrivals per second of each large account.
    :param bursts: whether the large accounts are active only half of the time.
    """

    name: str
    large_rates: tuple[float, ...]
    bursts: bool = False


CASES = (
    Case("load 1.2", (20.0, 15.0, 10.0)),
    Case("load 2.2", (45.0, 30.0, 20.0)),
    Case("load 5", (110.0, 75.0, 50.0)),
    Case("bursts", (60.0, 45.0, 30.0), bursts=True),
)


class FirstCome:
    """Admits requests while the capacity isn't reached."""

    def __init__(self):
        self.n_in_flight = 0

    def admits(self, account, now_s, random):
        """Return whether one request is admitted."""
        if self.n_in_flight >= CAPACITY:
            return False
        self.n_in_flight += 1
        return True

    def end(self, account, duration_s):
        """Record the end of a request."""
        self.n_in_flight -= 1


class Proportional:
    """Refuses accounts in proportion to their requests in flight.

    The proportion is adjusted continuously to keep 95% of the capacity in use.
    """

    def __init__(self):
        self.in_flight = {}
        self.factor = 0.0

    def admits(self, account, now_s, random):
        """Return whether one request is admitted."""
        n_total = sum(self.in_flight.values())
        self.factor = max(0.0, self.factor + (n_total / CAPACITY - 0.95) * 0.1)
        n_own = self.in_flight.get(account, 0)
        p_refuse = self.factor * n_own / max(1, n_total)
        if n_total >= CAPACITY or random.random() < p_refuse:
            return False
        self.in_flight[account] = n_own + 1
        return True

    def end(self, account, duration_s):
        """Record the end of a request."""
        self.in_flight[account] -= 1


class MaxMin:
    """Max-min fair admission, as the product has it."""

    def __init__(self):
        self.admission = Admission(AdmissionSettings(n_waiting_max=0), CAPACITY)

    def admits(self, account, now_s, random):
        """Return whether one request is admitted."""
        try:
            self.admission.decide(AdmissionRequest("", account), now_s)
        except ApricotliftError:
            return False
        return True

    def end(self, account, duration_s):
        """Record the end of a request."""
        self.admission.end(account, duration_s)


POLICIES = {"first_come": FirstCome, "proportional": Proportional, "max_min": MaxMin}


def make_arrivals(case, seconds, random):
    """Return the arrivals and the arrival rates.

    :returns: (time, account, duration) in order of time, in seconds, and the arrivals
        per second of each account.
    """
    rates = {f"large-{n}": rate for n, rate in enumerate(case.large_rates)}
    rates.update({f"small-{n}": SMALL_RATE for n in range(N_SMALL)})
    arrivals = []
    for account, rate in rates.items():
        now_s = random.expovariate(rate)
        while now_s < seconds:
            if not case.bursts or is_active(account, now_s):
                duration_s = random.expovariate(1 / DURATION_S)
                arrivals.append((now_s, account, duration_s))
            now_s += random.expovariate(rate)
    return sorted(arrivals), rates


def is_active(account, now_s):
    """Return whether an account sends; large ones do so half of the time, in turns."""
    if account.startswith("small"):
        return True
    return int(now_s / BURST_S + int(account[-1])) % 2 == 0


def run(case, policy_name, seed, seconds):
    """Return the measurements of one policy with one sequence of arrivals."""
    random = Random(seed)
    arrivals, rates = make_arrivals(case, seconds, random)
    policy = POLICIES[policy_name]()
    ends = []
    offered = dict.fromkeys(rates, 0)
    served = dict.fromkeys(rates, 0)
    served_s = dict.fromkeys(rates, 0.0)
    max_in_flight = 0
    for now_s, account, duration_s in arrivals:
        while ends and ends[0][0] <= now_s:
            _, ended, ended_duration_s = heapq.heappop(ends)
            policy.end(ended, ended_duration_s)
        offered[account] += 1
        if policy.admits(account, now_s, random):
            served[account] += 1
            served_s[account] += duration_s
            heapq.heappush(ends, (now_s + duration_s, account, duration_s))
        max_in_flight = max(max_in_flight, len(ends))
    demands = {name: offered[name] * DURATION_S / seconds for name in rates}
    share = compute_fair_share(demands.values(), CAPACITY)
    large = [name for name in rates if name.startswith("large")]
    small = [name for name in rates if name.startswith("small")]
    parts = [
        served_s[name] / seconds / min(share, demand)
        for name, demand in demands.items()
    ]
    return {
        "small refused": 1 - sum(map(served.get, small)) / sum(map(offered.get, small)),
        "large refused": 1 - sum(map(served.get, large)) / sum(map(offered.get, large)),
        "least part of share": min(parts),
        "use": sum(served_s.values()) / seconds / CAPACITY,
        "most in flight": max_in_flight,
    }


def main():
    """Print a table of all cases and policies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3, 4, 5])
    parser.add_argument("--seconds", type=float, default=400.0)
    options = parser.parse_args()
    for case in CASES:
        for policy in POLICIES:
            rows = [run(case, policy, seed, options.seconds) for seed in options.seeds]
            figures = "  ".join(
                f"{key} {mean(row[key] for row in rows):.3f}" for key in rows[0]
            )
            print(f"{case.name:9} {policy:13} {figures}")


if __name__ == "__main__":
    main()
