"""The processes of a randomised run: nodes, stand-ins, and a proxy between them.

Nodes reach engines, services, stores and the platform through the proxy. Each node
has proxy listeners of its own for the platform and for its peer listener, so that a
single node can be cut off.
"""

import hashlib
import json
import signal
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import anyio
import httpcore
from apricotlift.core import clocks, logs

from standins.fleet import CLUSTER_SECRET, OPERATOR_KEY, HttpResponse
from standins.journal import read_journal
from standins.processes import Process, Processes

ENGINES = ("e1", "e2", "e3")
SERVICES = ("d1", "d2")
STORES = ("k1",)
ACCOUNTS = ("fes", "agadir", "meknes")
CRASH_MARKER = "CRASH-THE-ENGINE"
PIECE_BYTES = 512
_CHUNK_TOKENS = PIECE_BYTES // 4
_BYTES_PER_TOKEN = 64
_UNREACHABLE_ADDRESS = "127.0.0.1:1"
#: Exceptions that a request to an ended, frozen or unreachable process may raise.
TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)
_READ_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class Configuration:
    """The settings that operators change during a run."""

    weight_version: str = "v1"
    max_in_flight: int = 60
    extra_keys: tuple[str, ...] = ()


@dataclass
class NodeRun:
    """One process of a node; a restarted node gets a new one.

    :param stop_requested_at: monotonic time of its stop signal in seconds.
    :param is_disturbed: whether it was killed or frozen, so that broken connections
        are expected.
    """

    name: str
    number: int
    process: Process
    address: str = ""
    admin: str = ""
    stop_requested_at: float | None = None
    is_disturbed: bool = False
    is_ended: bool = False


@dataclass
class Testbed:
    """All processes of a run and their addresses.

    :param without: mechanism that is disabled in the nodes; empty for none.
    :param proxy_addresses: addresses of the listeners of the proxy, by target.
    :param direct_addresses: addresses of the stand-ins and of the proxy's control.
    :param reserved: targets of a current fault, which get no other fault.
    """

    processes: Processes
    n_nodes: int = 4
    without: str = ""
    proxy_addresses: dict[str, str] = field(default_factory=dict)
    direct_addresses: dict[str, str] = field(default_factory=dict)
    standin_processes: dict[str, Process] = field(default_factory=dict)
    nodes: dict[str, NodeRun] = field(default_factory=dict)
    all_nodes: list[NodeRun] = field(default_factory=list)
    metrics: dict[str, dict[str, float]] = field(default_factory=dict)
    configuration: Configuration = field(default_factory=Configuration)
    reserved: set[str] = field(default_factory=set)
    pool: httpcore.AsyncConnectionPool = field(init=False)

    def __post_init__(self):
        # With reused connections, it would be unclear which process caused a failure.
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=2000, max_keepalive_connections=0
        )

    @property
    def node_names(self) -> list[str]:
        """Return the names of all nodes."""
        return [f"n{number + 1}" for number in range(self.n_nodes)]

    # Start

    def start(self) -> None:
        """Start all processes except the nodes."""
        self._start_standin("platform")
        for name in (*ENGINES, *SERVICES, *STORES):
            self._start_standin(name, *self._get_first_options(name))
        targets = {
            name: self.direct_addresses[name] for name in (*ENGINES, *SERVICES, *STORES)
        }
        for name in (*self.node_names, "operators"):
            targets[f"platform-{name}"] = self.direct_addresses["platform"]
        for name in self.node_names:
            targets[f"peers-{name}"] = _UNREACHABLE_ADDRESS
        listeners = ",".join(f"{key}={value}" for key, value in targets.items())
        proxy = self.processes.start_module(
            "proxy", "standins.proxy", "--listeners", listeners
        )
        self.standin_processes["proxy"] = proxy
        for name in targets:
            self.proxy_addresses[name] = proxy.get_address(name)
        self.direct_addresses["proxy"] = proxy.get_address("control")
        self.processes.write_file(
            "control.ini",
            f"[platform]\ntable_url = http://{self.proxy_addresses['platform-operators']}\n"
            f"objects_url = http://{self.proxy_addresses['platform-operators']}/objects\n",
        )

    def launch_node(self, name: str) -> NodeRun:
        """Start a node without waiting until it serves."""
        number = int(name[1:])
        url = f"http://{self.proxy_addresses[f'platform-{name}']}"
        text = (
            f"[node]\nname = {name}\nfailure_domain = z{number % 2 + 1}\n"
            f"[cluster]\nsecret = {CLUSTER_SECRET}\n"
            f"[platform]\ntable_url = {url}\nobjects_url = {url}/objects\n"
            f"[advertise]\npeers = {self.proxy_addresses[f'peers-{name}']}\n"
            "[stop]\nlinger_s = 2\n"
            "[streams]\ntoken_timeout_s = 3\nfirst_token_timeout_s = 8\n"
        )
        path = self.processes.write_file(f"{name}.ini", text)
        module = "apricotlift.nodeprogram"
        arguments = ["serve", "--settings", str(path)]
        if self.without:
            module = "bench.faultnode"
            arguments = [self.without, *arguments]
        process = self.processes.start_module(name, module, *arguments)
        run = NodeRun(name, len(self.all_nodes), process)
        self.all_nodes.append(run)
        return run

    async def start_node(self, name: str) -> NodeRun:
        """Start a node and wait until it serves."""
        run = self.launch_node(name)
        await self.wait_for_node(run)
        return run

    async def wait_for_node(self, run: NodeRun) -> None:
        """Wait until a node listens and has a configuration in force."""
        wait = anyio.to_thread.run_sync
        run.address = await wait(run.process.get_address, "callers")
        run.admin = await wait(run.process.get_address, "admin")
        peers = await wait(run.process.get_address, "peers")
        await self.set_target(f"peers-{run.name}", peers)
        await wait(run.process.wait_for_event, "configuration_in_force", 60.0)
        self.nodes[run.name] = run

    async def restart_standin(self, name: str, *options: str) -> None:
        """Restart a stand-in that has ended, and point the proxy to its new address."""
        await anyio.to_thread.run_sync(
            partial(self._start_standin, name, *(options or self._get_options(name)))
        )
        await self.set_target(name, self.direct_addresses[name])

    def _start_standin(self, name: str, *options: str) -> None:
        modules = {"e": "engine", "d": "service", "k": "kvstore", "p": "platform"}
        process = self.processes.start_module(
            name, f"standins.{modules[name[0]]}", "--name", name, *options
        )
        self.standin_processes[name] = process
        self.direct_addresses[name] = process.get_address()

    def _get_first_options(self, name: str) -> list[str]:
        options = self._get_options(name)
        return [*options, "--slots", "wax@v1"] if name in ENGINES else options

    def _get_options(self, name: str) -> list[str]:
        if name in STORES:
            return ["--memory-bytes", "2000000", "--disk-bytes", "4000000"]
        if name not in ENGINES:
            return []
        # A restarted engine has no weights until the engine reconciler loads them.
        return [
            *("--slots", "", "--token-s", "0.02", "--fencing", "checked"),
            *("--prefill-s-per-token", "0.0002", "--kv-blocks", "200"),
            *("--chunk-tokens", str(_CHUNK_TOKENS)),
            *("--block-bytes", str(_CHUNK_TOKENS * _BYTES_PER_TOKEN)),
            *("--crash-marker", CRASH_MARKER),
            *("--journal", str(self.get_journal(name))),
        ]

    def get_journal(self, name: str) -> Path:
        """Return the path of an engine's journal, which is its ground truth."""
        return self.processes.directory / f"{name}.journal"

    def read_journals(self) -> list[dict]:
        """Return the journal entries of all engines."""
        return [
            {"engine": name, **line}
            for name in ENGINES
            for line in read_journal(self.get_journal(name))
        ]

    # Configuration

    def build_declarations(self, configuration: Configuration) -> str:
        """Return the declarations of the fleet as INI text."""
        previous = {"v1": "", "v2": "v1"}[configuration.weight_version]
        lines = [
            f"[fleet]\npiece_bytes = {PIECE_BYTES}\n"
            f"kv_bytes_per_token = {_BYTES_PER_TOKEN}\n"
            f"max_in_flight = {configuration.max_in_flight}\n"
            "rate_per_s = 400\nburst = 400\nconsumer_rate_per_s = 400\n"
            "consumer_burst = 400\nn_named_instances = 3\naddress_max_age_s = 1\n",
            f"[model wax]\nweight_version = {configuration.weight_version}\n",
            f"previous_version = {previous}\n" if previous else "",
            f"[operator tests]\nsha256 = {_compute_sha256(OPERATOR_KEY)}\n",
            "[rule reads]\nservice = desk\nmethod = GET\npath = /\nrepeat = safe\n",
        ]
        for account in ACCOUNTS:
            lines.append(
                f"[account {account}]\nmodels = wax\nservices = desk\n"
                f"[key {account}]\nsha256 = {_compute_sha256(get_key(account))}\n"
                f"account = {account}\n"
            )
        for key in configuration.extra_keys:
            lines.append(
                f"[key {key}]\nsha256 = {_compute_sha256(key)}\naccount = fes\n"
            )
        for name in ENGINES:
            lines.append(
                f"[upstream {name}]\nkind = engine\nmodels = wax\nfencing = checked\n"
                f"address = {self.proxy_addresses[name]}\nfailure_domain = z1\n"
                "prefill_tokens_per_s = 5000\n"
            )
        for name in SERVICES:
            lines.append(
                f"[upstream {name}]\nkind = service\nservice = desk\n"
                f"address = {self.proxy_addresses[name]}\nfailure_domain = z1\n"
            )
        for name in STORES:
            lines.append(
                f"[store {name}]\naddress = {self.proxy_addresses[name]}\n"
                "failure_domain = z1\n"
            )
        return "".join(lines)

    # Requests and faults

    async def send(
        self,
        address: str,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = _READ_TIMEOUT_S,
    ) -> HttpResponse:
        """Send a request to an address and return the complete response."""
        content = b"" if body is None else json.dumps(body).encode()
        with anyio.fail_after(timeout_s):
            response = await self.pool.request(
                method,
                f"http://{address}{path}",
                headers={"content-type": "application/json", **(headers or {})},
                content=content,
            )
        decoded = {
            key.decode().lower(): value.decode() for key, value in response.headers
        }
        return HttpResponse(response.status, decoded, response.content)

    async def set_faults(self, name: str, **faults: object) -> None:
        """Replace the faults of a stand-in."""
        answer = await self.send(self.direct_addresses[name], "POST", "/faults", faults)
        assert answer.status == 200, answer

    async def set_proxy(self, name: str, **faults: object) -> None:
        """Replace the faults of one listener of the proxy."""
        await self.set_faults("proxy", listener=name, **faults)

    async def set_target(self, name: str, address: str) -> None:
        """Change the address that a listener of the proxy forwards to."""
        body = {"listener": name, "target": address}
        answer = await self.send(
            self.direct_addresses["proxy"], "POST", "/target", body
        )
        assert answer.status == 200, answer

    async def read_truth(self, name: str) -> dict:
        """Return the ground truth that a stand-in recorded."""
        answer = await self.send(self.direct_addresses[name], "GET", "/truth")
        return answer.read_json()

    async def read_metrics(self, run: NodeRun) -> None:
        """Read and store a node's metrics; do nothing if it doesn't respond."""
        headers = {"authorization": f"Bearer {OPERATOR_KEY}"}
        try:
            answer = await self.send(run.admin, "GET", "/metrics", headers=headers)
        except TRANSPORT_ERRORS:
            return
        values = {}
        for line in answer.body.decode().splitlines():
            if line and not line.startswith("#"):
                name, _, value = line.rpartition(" ")
                values[name] = float(value)
        self.metrics[f"{run.name}.{run.number}"] = values

    async def watch_engines(self) -> None:
        """Restart engines that have ended, until cancelled."""
        while True:
            await anyio.sleep(0.05)
            for name in ENGINES:
                process = self.standin_processes[name].popen
                if process.poll() is not None:
                    await anyio.sleep(0.5)
                    await self._restart_engine(name)

    async def _restart_engine(self, name: str) -> None:
        try:
            await self.restart_standin(name)
        except AssertionError as error:
            if self.standin_processes[name].popen.poll() != -signal.SIGKILL:
                raise
            # Another fault killed it before it listened; `watch_engines` retries.
            logs.log(logs.WARNING, "engine_killed_at_start", reason=str(error))

    def signal(self, run: NodeRun, number: signal.Signals) -> None:
        """Send a signal to a node and record its effect on connections."""
        run.is_disturbed = run.is_disturbed or number is not signal.SIGTERM
        if number is signal.SIGTERM:
            run.stop_requested_at = clocks.monotonic()
        run.process.send_signal(number)


def get_key(account: str) -> str:
    """Return the API key of an account."""
    return f"key-of-{account}"


def _compute_sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
