"""The processes of one replay: nodes, stand-ins and their declarations, scaled.

Times are multiplied by one factor and KV bytes divided by another. Rates, weights
and link speeds are scaled to match, so that routing decisions see the same costs as
in the unscaled deployment.
"""

import signal
import time
from collections.abc import Iterable
from dataclasses import dataclass

from bench.traces import CHUNK_TOKENS, N_ACCOUNTS, Deployment
from standins.fleet import Fleet
from standins.processes import Process, Processes

#: KV bytes of a token in the replay, and in the unscaled deployment.
KV_BYTES_PER_TOKEN = 64
UNSCALED_KV_BYTES_PER_TOKEN = 131_072
BYTE_SCALE = KV_BYTES_PER_TOKEN / UNSCALED_KV_BYTES_PER_TOKEN

FAULTS = (
    "none",
    "store_dead",
    "store_slow",
    "store_full",
    "link_tenth",
    "events_stopped",
    "half_nodes",
    "domain_cut",
)
#: Delay before each answer of a slow store, in seconds before scaling.
SLOW_STORE_DELAY_S = 1.0
_STOPPED_EVENTS_S = 1e6


@dataclass
class ReplayFleet:
    """A running fleet of one deployment.

    :param scale: factor by which times are multiplied.
    :param domains: failure domain of each process, by name.
    """

    deployment: Deployment
    scale: float
    policy: str
    fleet: Fleet
    engines: list[str]
    stores: list[str]
    nodes: list[str]
    domains: dict[str, str]

    def get_node_addresses(self) -> dict[str, str]:
        """Return the address for callers of each node."""
        return {name: self.fleet.addresses[name] for name in self.nodes}

    def read_link_bytes(self) -> int:
        """Return the bytes transferred over the links of all running stores."""
        total = 0
        for name in self.stores:
            if self.fleet.processes.running[name].popen.poll() is None:
                total += self.fleet.read_truth(name)["link_bytes"]
        return total

    def read_attempts(self) -> dict[str, list[dict]]:
        """Return the attempts that each engine ran."""
        return {name: self.fleet.read_truth(name)["ran"] for name in self.engines}

    def read_counters(self, ignore: Iterable[str] = ()) -> dict[str, float]:
        """Return the counters by name and labels, summed over the running nodes."""
        totals: dict[str, float] = {}
        for name in self.nodes:
            if name in ignore or self.get_process(name).popen.poll() is not None:
                continue
            for key, value in self.fleet.read_metrics(name).items():
                if key.partition("{")[0].endswith("_total"):
                    totals[key] = totals.get(key, 0.0) + value
        return totals

    def get_process(self, name: str) -> Process:
        """Return a process by name."""
        return self.fleet.processes.running[name]

    def inject_fault(self, fault: str) -> None:
        """Inject a fault that lasts for the rest of the run."""
        first = self.stores[0]
        if fault == "store_dead":
            self.get_process(first).kill()
        elif fault == "store_slow":
            self.fleet.set_faults(first, delay_s=SLOW_STORE_DELAY_S * self.scale)
        elif fault == "store_full":
            for name in self.stores:
                self.fleet.set_faults(name, full=True)
        elif fault == "link_tenth":
            rate = scale_link_rate(self.deployment, self.scale) / 10
            for name in self.stores:
                self.fleet.set_faults(name, link_bytes_per_s=rate)
        elif fault == "events_stopped":
            for name in self.engines:
                self.fleet.set_faults(name, event_delay_s=_STOPPED_EVENTS_S)
        elif fault == "half_nodes":
            for name in self.nodes[::2]:
                self.get_process(name).kill()
        elif fault == "domain_cut":
            # Suspended processes neither answer nor refuse connections.
            cut = self.deployment.domains[0]
            for name, domain in self.domains.items():
                if domain == cut:
                    self.get_process(name).send_signal(signal.SIGSTOP)

    def resume_processes(self, fault: str) -> None:
        """Resume suspended processes, so that their ground truth can be read."""
        if fault == "domain_cut":
            for name in self.domains:
                self.get_process(name).send_signal(signal.SIGCONT)


def scale_link_rate(deployment: Deployment, scale: float) -> float:
    """Return the bytes per second of a store link in the replay."""
    return deployment.link_bytes_per_s * BYTE_SCALE / scale


def start_fleet(
    processes: Processes, deployment: Deployment, policy: str, scale: float
) -> ReplayFleet:
    """Start all processes and wait until all nodes see each other as serving."""
    fleet = Fleet(processes)
    domains = deployment.domains
    engines = [f"e{number}" for number in range(len(deployment.rates))]
    stores = ["kv-1", "kv-2"]
    nodes = [f"n{number}" for number in range(deployment.n_nodes)]
    domain_by_process = {
        name: domains[i % len(domains)] for i, name in enumerate(engines)
    }
    domain_by_process |= dict(zip(stores, deployment.store_domains, strict=True))
    domain_by_process |= {
        name: domains[i % len(domains)] for i, name in enumerate(nodes)
    }
    _launch_standins(processes, deployment, scale, engines, stores)
    fleet.start_platform()
    fleet.add_operator()
    fleet.add_model()
    for number in range(N_ACCOUNTS):
        fleet.add_account(f"a{number}")
    fleet.sections.append(_declare_fleet(deployment, scale))
    for name, rate in zip(engines, deployment.rates, strict=True):
        fleet.addresses[name] = processes.running[name].get_address()
        fleet.sections.append(
            f"[upstream {name}]\nkind = engine\naddress = {fleet.addresses[name]}\n"
            f"failure_domain = {domain_by_process[name]}\nmodels = wax\n"
            f"max_in_flight = {deployment.max_in_flight}\n"
            f"prefill_tokens_per_s = {rate / scale}\n"
        )
    for name in stores:
        fleet.addresses[name] = processes.running[name].get_address()
        fleet.sections.append(
            f"[store {name}]\naddress = {fleet.addresses[name]}\n"
            f"failure_domain = {domain_by_process[name]}\n"
            f"link_bytes_per_s = {scale_link_rate(deployment, scale)}\n"
            f"link_latency_s = {deployment.link_latency_s * scale}\n"
        )
    fleet.apply_declarations()
    for name in nodes:
        routing = f"policy = {policy}"
        fleet.launch_node(name, domain_by_process[name], routing=routing)
    for name in nodes:
        fleet.wait_for_node(name)
    replay_fleet = ReplayFleet(
        deployment, scale, policy, fleet, engines, stores, nodes, domain_by_process
    )
    _wait_for_full_membership(replay_fleet)
    return replay_fleet


def _launch_standins(processes, deployment, scale, engines, stores) -> None:
    block_bytes = CHUNK_TOKENS * KV_BYTES_PER_TOKEN
    for number, (name, rate) in enumerate(zip(engines, deployment.rates, strict=True)):
        processes.start_module(
            name,
            "standins.engine",
            *("--name", name, "--seed", str(number)),
            *("--token-s", str(deployment.token_s * scale)),
            *("--prefill-s-per-token", str(scale / rate)),
            *("--kv-blocks", str(deployment.engine_blocks)),
            *("--block-bytes", str(block_bytes)),
        )
    for name in stores:
        processes.start_module(
            name,
            "standins.kvstore",
            *("--name", name, "--disk-delay-s", str(0.005 * scale)),
            *("--memory-bytes", str(deployment.store_blocks * block_bytes // 4)),
            *("--disk-bytes", str(deployment.store_blocks * block_bytes * 3 // 4)),
            *("--link-bytes-per-s", str(scale_link_rate(deployment, scale))),
        )


def _declare_fleet(deployment: Deployment, scale: float) -> str:
    # Account limits are too high to be reached, so all refusals come from routing.
    return (
        f"[fleet]\nw_ttft = {deployment.w_ttft / scale}\n"
        f"w_recompute = {deployment.w_recompute}\n"
        f"w_link = {deployment.w_link / BYTE_SCALE}\n"
        f"kv_bytes_per_token = {KV_BYTES_PER_TOKEN}\n"
        "max_in_flight = 10000\nrate_per_s = 100000\nburst = 100000\n"
        "consumer_max_in_flight = 10000\nconsumer_rate_per_s = 100000\n"
        "consumer_burst = 100000\n"
    )


def _wait_for_full_membership(
    replay_fleet: ReplayFleet, timeout_s: float = 60.0
) -> None:
    """Wait until each node sees all nodes as serving."""
    wanted = len(replay_fleet.nodes)
    deadline = time.monotonic() + timeout_s
    for name in replay_fleet.nodes:
        while True:
            answer = replay_fleet.fleet.request_admin(
                name, "GET", "/status"
            ).read_json()
            seen = [
                item
                for item in answer["instances"]
                if item["state"] == "serving" and not item["suspected"]
            ]
            if len(seen) >= wanted:
                break
            if time.monotonic() > deadline:
                raise TimeoutError(f"{name} sees {len(seen)} of {wanted} nodes")
            time.sleep(0.1)
